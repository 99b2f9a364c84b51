// Policy of the admission queue for a configuration.
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/node/scheduler.h"
#include "fuchsiaspring/routes/urgency.h"

namespace fuchsiaspring::node {
namespace {

// Requests of a class that wait at one node for one service.
constexpr std::uint32_t max_queue = 400;
// Part of a service's dispatches that every class gets, so that none starves.
constexpr std::uint32_t floor_per_mille = 50;
constexpr std::uint32_t late_floor_per_mille = 1;
// Requests that cannot meet their target any more come right after those of the same urgency that
// can, and before everything that is less urgent.
constexpr std::uint32_t ranks_per_level = 2;
// A late request waits for at most this part of the time that its caller waits for a first event:
// the rest is for the replica, and for a return after a refusal.
constexpr double late_wait_share = 0.5;

std::string tier_name(const routes::urgency& level, bool is_late) {
  return (is_late ? "late-" : "") + routes::to_string(level);
}

base::duration longest_late_wait(const routes::route& of_route) {
  const bool is_impatient = of_route.caller_patience.count() > 0;
  const base::duration awaited =
      is_impatient ? std::min(of_route.timeout, of_route.caller_patience) : of_route.timeout;
  return base::from_seconds(late_wait_share * base::to_seconds(awaited));
}

}  // namespace

std::string request_group(const routes::route& of_route) {
  return of_route.services.front().service + "/" + std::to_string(static_cast<int>(of_route.kind)) +
         "/" + std::to_string(base::to_milliseconds(of_route.latency_target)) + "/" +
         std::to_string(base::to_milliseconds(longest_late_wait(of_route)));
}

std::string class_name(std::string_view group, const routes::urgency& level, bool is_late) {
  return std::string(group) + "/" + tier_name(level, is_late);
}

admission::policy make_admission_policy(const routes::configuration& config,
                                        const routes::urgency_order& order) {
  admission::policy policy;
  for (const routes::team& each : config.teams) {
    policy.teams.push_back({.name = each.name});
  }
  policy.teams.push_back({.name = ""});
  std::set<std::string> groups;
  for (const routes::route& each : config.routes) {
    const std::string group = request_group(each);
    const std::string service = each.services.front().service;
    for (const routes::urgency& level : order.levels_of(each)) {
      if (!groups.insert(class_name(group, level, false)).second) {
        continue;
      }
      policy.classes.push_back({.name = class_name(group, level, false),
                                .tier = tier_name(level, false),
                                .pool = service,
                                .first_token_target = each.latency_target,
                                .floor_per_mille = floor_per_mille,
                                .max_queue = max_queue});
      policy.classes.push_back({.name = class_name(group, level, true),
                                .tier = tier_name(level, true),
                                .pool = service,
                                .first_token_target = longest_late_wait(each),
                                .floor_per_mille = late_floor_per_mille,
                                .max_queue = max_queue});
    }
  }
  for (const routes::urgency& level : order.levels()) {
    const std::uint32_t rank = order.rank(level) * ranks_per_level;
    policy.tiers.push_back({tier_name(level, false), rank});
    policy.tiers.push_back({tier_name(level, true), rank + 1});
  }
  return policy;
}

admission::policy with_former_classes(admission::policy next, const admission::policy& former) {
  std::set<std::string_view> tiers;
  for (const admission::tier_policy& each : next.tiers) {
    tiers.insert(each.name);
  }
  std::set<std::string_view> classes;
  for (const admission::class_policy& each : next.classes) {
    classes.insert(each.name);
  }
  std::vector<admission::tier_policy> kept_tiers;
  for (const admission::tier_policy& each : former.tiers) {
    if (!tiers.contains(each.name)) {
      kept_tiers.push_back(each);
    }
  }
  std::vector<admission::class_policy> kept_classes;
  for (const admission::class_policy& each : former.classes) {
    if (!classes.contains(each.name)) {
      kept_classes.push_back(each);
    }
  }
  next.tiers.insert(next.tiers.end(), kept_tiers.begin(), kept_tiers.end());
  next.classes.insert(next.classes.end(), kept_classes.begin(), kept_classes.end());
  return next;
}

}  // namespace fuchsiaspring::node
