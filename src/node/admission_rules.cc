// Policy of the admission queue for a configuration.
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/node/scheduler.h"
#include "fuchsiaspring/routes/urgency.h"

namespace fuchsiaspring::node {
namespace {

// Queued requests of one class at one node for one service.
constexpr std::uint32_t max_queue = 400;
// Share of a service's dispatches that every class gets at least, so that none starves.
constexpr std::uint32_t floor_per_mille = 50;
constexpr std::uint32_t late_floor_per_mille = 1;
// Each urgency has a rank for requests that can meet their target and, right after it, one for late
// requests, which still precede all less urgent requests.
constexpr std::uint32_t ranks_per_level = 2;
// A late request is queued for at most this share of the time that its caller waits for a first
// event: the rest is left for the replica, or for a retry by the caller after a refusal.
constexpr double late_wait_share = 0.5;

std::string tier_name(const routes::urgency& level, bool is_late) {
  return (is_late ? "late-" : "") + routes::to_string(level);
}

base::duration max_late_wait(const routes::route& route) {
  const bool has_caller_limit = route.caller_idle_timeout.count() > 0;
  const base::duration max_response_time =
      has_caller_limit ? std::min(route.timeout, route.caller_idle_timeout) : route.timeout;
  return base::from_seconds(late_wait_share * base::to_seconds(max_response_time));
}

}  // namespace

std::string request_group(const routes::route& route) {
  return route.services.front().service + "/" + std::to_string(static_cast<int>(route.kind)) + "/" +
         std::to_string(base::to_milliseconds(route.latency_target)) + "/" +
         std::to_string(base::to_milliseconds(max_late_wait(route)));
}

std::string class_name(std::string_view group, const routes::urgency& level, bool is_late) {
  return std::string(group) + "/" + tier_name(level, is_late);
}

std::string find_group(const admission::policy& policy, const std::string& group,
                       std::string_view service, const routes::urgency& level) {
  const std::string wanted = class_name(group, level, false);
  const std::string suffix = class_name("", level, false);
  std::string alternative;
  for (const admission::class_policy& each : policy.classes) {
    if (each.name == wanted) {
      return group;
    }
    if (alternative.empty() && each.pool == service && each.name.ends_with(suffix)) {
      alternative = each.name.substr(0, each.name.size() - suffix.size());
    }
  }
  return alternative.empty() ? group : alternative;
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
                                .first_token_target = max_late_wait(each),
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

admission::policy with_classes_only(const admission::policy& given,
                                    const std::set<std::string>& names) {
  admission::policy kept;
  std::set<std::string_view> tiers;
  for (const admission::class_policy& each : given.classes) {
    if (names.contains(each.name)) {
      kept.classes.push_back(each);
      tiers.insert(each.tier);
    }
  }
  for (const admission::tier_policy& each : given.tiers) {
    if (tiers.contains(each.name)) {
      kept.tiers.push_back(each);
    }
  }
  return kept;
}

}  // namespace fuchsiaspring::node
