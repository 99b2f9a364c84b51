// The operators' configuration of a soak test, and random changes to it.
//
//   fleet_config config;
//   const std::string change = change_config(config, random);
//   store.put("op/config", to_json(config, keys, version));
//
// Every change keeps each request of the callers valid: what is added or removed is not used by
// them or handles their requests in the same way.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "deploy/soak/invariant_checker.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

struct team_key {
  std::string team;
  std::string key;
  bool is_granted = true;
};

constexpr timeout_range response_timeouts{std::chrono::milliseconds(1300),
                                          std::chrono::milliseconds(1500)};
// Long enough for the pauses of the replicas.
constexpr timeout_range stream_timeouts{std::chrono::milliseconds(5500),
                                        std::chrono::milliseconds(6000)};

struct fleet_config {
  std::chrono::milliseconds response_timeout = response_timeouts.longest;
  std::chrono::milliseconds stream_timeout = stream_timeouts.longest;
  std::optional<std::chrono::milliseconds> idle_timeout;  // of callers' connections
  std::set<std::string> nested_routes;  // names of routes with a longer route beside them
  bool has_unused_route = false;
  bool has_unused_team = false;
  std::set<std::string> teams_with_unused_key;

  friend bool operator==(const fleet_config&, const fleet_config&) = default;
};

// Changes one property at random and returns its description.
std::string change_config(fleet_config& config, base::random_source& random);

// The document in the store. `keys` are those of the callers.
nlohmann::json to_json(const fleet_config& config, const std::vector<team_key>& keys, int version);

}  // namespace fuchsiaspring::soak
