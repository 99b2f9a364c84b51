// Policy of the admission queue for a configuration.
#include <set>

#include "fuchsiaspring/node/scheduler.h"

namespace fuchsiaspring::node {
namespace {

// Requests of a class that wait at one node for one service.
constexpr std::uint32_t max_queue = 400;
// Part of a service's dispatches that every class gets, so that none starves.
constexpr std::uint32_t floor_per_mille = 50;
constexpr std::uint32_t late_floor_per_mille = 1;
// Requests that cannot meet their target any more come right after those of the same priority that
// can, and before everything that is less urgent.
constexpr std::uint32_t ranks_per_priority = 2;
// A late request waits for at most this part of its route's timeout.
constexpr double late_wait_share = 0.6;

std::string tier_name(std::uint32_t priority, bool is_late) {
  return (is_late ? "late-" : "") + std::to_string(priority);
}

}  // namespace

std::string class_name(std::string_view route, std::uint32_t priority, bool is_late) {
  return std::string(route) + "/" + tier_name(priority, is_late);
}

admission::policy make_admission_policy(const routes::configuration& config) {
  admission::policy policy;
  std::set<std::uint32_t> team_priorities;
  for (const routes::team& each : config.teams) {
    policy.teams.push_back({.name = each.name});
    if (each.priority) {
      team_priorities.insert(*each.priority);
    }
  }
  policy.teams.push_back({.name = ""});
  std::set<std::uint32_t> priorities = team_priorities;
  for (const routes::route& each : config.routes) {
    priorities.insert(each.priority);
    std::set<std::uint32_t> used = team_priorities;
    used.insert(each.priority);
    const std::string service = each.services.front().service;
    for (const std::uint32_t priority : used) {
      policy.classes.push_back({.name = class_name(each.name, priority, false),
                                .tier = tier_name(priority, false),
                                .pool = service,
                                .first_token_target = each.latency_target,
                                .floor_per_mille = floor_per_mille,
                                .max_queue = max_queue});
      policy.classes.push_back({.name = class_name(each.name, priority, true),
                                .tier = tier_name(priority, true),
                                .pool = service,
                                .first_token_target = base::from_seconds(
                                    late_wait_share * base::to_seconds(each.timeout)),
                                .floor_per_mille = late_floor_per_mille,
                                .max_queue = max_queue});
    }
  }
  for (const std::uint32_t priority : priorities) {
    policy.tiers.push_back({tier_name(priority, false), priority * ranks_per_priority});
    policy.tiers.push_back({tier_name(priority, true), priority * ranks_per_priority + 1});
  }
  return policy;
}

}  // namespace fuchsiaspring::node
