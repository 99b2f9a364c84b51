// Routes, services and teams of one configuration, and the lookups that a request needs.
//
//   routes::route_table table(configuration);
//   const routes::route* route = table.find_route("shop.example", "/buy/1");
//   const routes::team* team = table.find_team(api_key);
//
// A table is immutable; each configuration has a table of its own. The returned pointers are valid
// as long as the table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/base/region_limit.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/routes/team_list.h"

namespace fuchsiaspring::routes {

enum class request_kind {
  idempotent,      // may run more than once
  non_idempotent,  // runs at most once
  stream,          // server-sent events; idempotent only where the stream may be resumed
};

struct weighted_service {
  std::string service;
  double weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

struct route {
  std::string name;
  std::string host;    // lower case, without port
  std::string prefix;  // begins and ends with a slash
  request_kind kind = request_kind::non_idempotent;
  base::duration timeout{};              // longest time until the final response, 0: none
  base::duration latency_target{};       // to the response, or to the first event of a stream
  base::duration event_gap_target{};     // longest pause between the events of a stream, 0: none
  base::duration caller_idle_timeout{};  // time without data until callers leave, 0: the timeout
  std::uint32_t max_attempts = 1;        // upstreams that may run one request of a caller
  std::uint32_t priority = 0;            // 0 is the highest
  std::vector<weighted_service> services;
  base::region_limit home_regions;  // where requests may run
  bool is_public = false;           // needs no API key
  bool has_affinity = false;        // requests of a session share a prompt prefix
  bool is_resumable = false;        // a broken stream may continue at another upstream

  // Whether a request may run more than once.
  bool is_idempotent() const {
    return kind == request_kind::idempotent || (kind == request_kind::stream && is_resumable);
  }

  friend bool operator==(const route&, const route&) = default;
};

// Capacity of one replica of a model engine.
struct engine_limits {
  std::uint32_t slots = 0;        // requests in one batch
  std::uint64_t kv_tokens = 0;    // capacity of the KV cache
  double kv_bytes_per_token = 0;  // KV cache size per token
  double link_mbps = 0;           // bandwidth for KV cache transfers
  std::uint32_t tokens_per_event = 1;
  bool can_fetch = false;  // fetches the KV cache of a prompt's prefix from another replica

  friend bool operator==(const engine_limits&, const engine_limits&) = default;
};

struct service {
  std::string name;
  std::string health_path;
  std::uint32_t connection_limit = 0;  // connections of one replica over all callers, 0: none
  base::duration cold_start{};         // time for which a started replica stays cold
  double cold_requests_per_s = 0;      // highest rate at a cold replica, 0: no limit
  std::optional<engine_limits> engine;

  friend bool operator==(const service&, const service&) = default;
};

// Bounds on what one caller may send.
struct request_limits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4194304;
  base::duration header_timeout = std::chrono::seconds(3);
  base::duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const request_limits&, const request_limits&) = default;
};

struct configuration {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  team_list teams;
  std::size_t unreadable_teams = 0;  // entries of the list that admit nobody for that
  request_limits limits;

  friend bool operator==(const configuration&, const configuration&) = default;
};

// Whether the key of a request admits it to a route.
enum class key_verdict {
  not_needed,
  valid,
  missing,
  unknown,
};

// What a key is good for on a route.
struct key_check {
  key_verdict verdict = key_verdict::missing;
  const team* owner = nullptr;  // of a valid key; lives as long as the table

  friend bool operator==(const key_check&, const key_check&) = default;
};

class route_table {
 public:
  explicit route_table(configuration config);
  route_table(const route_table&) = delete;
  route_table& operator=(const route_table&) = delete;
  route_table(route_table&&) = delete;
  route_table& operator=(route_table&&) = delete;
  ~route_table() = default;

  const configuration& config() const { return m_config; }

  // The route of `host` with the longest prefix of `path`; nullptr when none matches. A port in
  // `host` is ignored, and so are a query in `path` and the case of `host`.
  const route* find_route(std::string_view host, std::string_view path) const;

  const team* find_team(std::string_view api_key) const;
  const service* find_service(std::string_view name) const;

  // Whether a request on `r` with this key (nothing: without one) is admitted. Public routes ignore
  // keys. Where the configuration has no list of teams, requests without a key are admitted; a key
  // that a request does present is unknown there, for it may be one that was revoked.
  key_check check_key(const route& r, const std::optional<std::string>& api_key) const;

 private:
  configuration m_config;
  std::unordered_map<std::string, std::vector<const route*>> m_by_host;  // longest prefix first
  std::unordered_map<std::string_view, const team*> m_by_key;
  std::unordered_map<std::string_view, const service*> m_by_name;
};

// Where a request of `owner` (nullptr: of no team) on `r` may run: both limits bind.
base::region_limit home_regions(const route& r, const team* owner);

// One of the services of `r`, chosen by weight with `draw` from [0, 1). The route must have one.
const std::string& choose_service(const route& r, double draw);

}  // namespace fuchsiaspring::routes
