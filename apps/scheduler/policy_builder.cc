#include "apps/scheduler/policy_builder.h"

#include <algorithm>
#include <map>

namespace fuchsiaspring::scheduler {
namespace {

using std::chrono::milliseconds;

admission::team_policy make_team(const schema::Team& team, double vms) {
  admission::team_policy policy{.name = team.name(), .weight = team.weight()};
  for (const schema::TeamGuarantee& guarantee : team.guarantees()) {
    policy.guarantees.push_back({.request_class = guarantee.request_class(),
                                 .requests_per_second = guarantee.requests_per_second() / vms,
                                 .burst = std::max(1.0, guarantee.burst() / vms)});
  }
  return policy;
}

}  // namespace

admission::policy make_admission_policy(const schema::Catalog& objects, std::size_t live_vms) {
  admission::policy policy;
  std::map<std::string, milliseconds> first_token_targets;
  for (const schema::ServiceLevel& level : objects.service_levels()) {
    first_token_targets[level.name()] = milliseconds(level.first_token_ms());
  }
  for (const schema::Tier& tier : objects.tiers()) {
    policy.tiers.push_back({.name = tier.name(), .rank = tier.rank()});
  }
  for (const schema::RequestClass& item : objects.classes()) {
    policy.classes.push_back({.name = item.name(),
                              .tier = item.tier(),
                              .pool = item.pool(),
                              .first_token_target = first_token_targets[item.service_level()],
                              .floor_per_mille = item.floor_per_mille(),
                              .max_queue = item.max_queue(),
                              .preemptible = item.preemptible() && item.idempotent()});
  }
  const double vms = static_cast<double>(std::max<std::size_t>(1, live_vms));
  for (const schema::Team& team : objects.teams()) {
    policy.teams.push_back(make_team(team, vms));
  }
  return policy;
}

routing::router_config make_router_config(const schema::Catalog& objects,
                                          const routing::vm_identity& self,
                                          std::size_t subset_size) {
  routing::router_config config{.self = self, .subset_size = subset_size};
  for (const schema::Pool& pool : objects.pools()) {
    routing::pool_config converted{.name = pool.name()};
    for (const schema::Upstream& upstream : pool.upstreams()) {
      converted.upstreams.push_back({.name = upstream.name(),
                                     .failure_domain = upstream.failure_domain(),
                                     .limit = upstream.limit(),
                                     .cold_limit = upstream.cold_limit(),
                                     .out_of_service = upstream.out_of_service()});
    }
    config.pools.push_back(std::move(converted));
  }
  for (const schema::FailureDomain& domain : objects.failure_domains()) {
    config.domains.push_back({.name = domain.name(),
                              .nearest = {domain.nearest().begin(), domain.nearest().end()},
                              .out_of_service = domain.out_of_service()});
  }
  return config;
}

std::vector<routing::vm_identity> sharing_vms(const schema::VmList& list) {
  std::vector<routing::vm_identity> vms;
  for (const schema::VmEntry& vm : list.vms()) {
    vms.push_back({.name = vm.name(), .failure_domain = vm.failure_domain()});
  }
  return vms;
}

}  // namespace fuchsiaspring::scheduler
