#include <algorithm>
#include <unordered_set>
#include <utility>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/routing/subset.h"
#include "routing/router_state.h"

namespace fuchsiaspring::routing::internal {
namespace {

const domain_config* find_domain(const router_config& config, std::string_view name) {
  const auto found = std::ranges::find(config.domains, name, &domain_config::name);
  return found == config.domains.end() ? nullptr : &*found;
}

bool is_out_of_service(const router_config& config, std::string_view domain) {
  const domain_config* found = find_domain(config, domain);
  return found != nullptr && found->out_of_service;
}

// Position of `domain` in the own domain's order of nearness; 0 is the own domain.
std::uint32_t rank_of(const router_config& config, std::string_view domain) {
  if (domain == config.self.failure_domain) {
    return 0;
  }
  const domain_config* own = find_domain(config, config.self.failure_domain);
  if (own == nullptr) {
    return 1;
  }
  const auto found = std::ranges::find(own->nearest, domain);
  return 1 + static_cast<std::uint32_t>(found - own->nearest.begin());
}

base::result<void> check_unique_names(const router_config& config) {
  std::unordered_set<std::string_view> seen;
  for (const pool_config& pool : config.pools) {
    for (const upstream_config& upstream : pool.upstreams) {
      if (!seen.insert(upstream.name).second) {
        return base::error{base::error_code::invalid_argument,
                           "upstream " + upstream.name + " is configured twice"};
      }
    }
  }
  return base::success();
}

}  // namespace

member router_state::make_member(const upstream_config& upstream, base::time_point now) const {
  member result;
  result.name = upstream.name;
  result.seed = base::hash64(upstream.name);
  result.ramp.configure(upstream.limit, upstream.cold_limit);
  result.ramp.reset(now, false);
  const auto removed = m_removed_in_flight.find(upstream.name);
  if (removed != m_removed_in_flight.end()) {
    result.in_flight = removed->second;
  }
  return result;
}

std::vector<member> router_state::build_members(const router_config& config,
                                                const pool_config& pool, const pool_state* old,
                                                base::time_point now) {
  std::vector<member> members;
  for (const std::size_t index : choose_subset(config, pool, config.self)) {
    const upstream_config& upstream = pool.upstreams[index];
    const member* previous = nullptr;
    if (old != nullptr) {
      const auto found = std::ranges::find(old->members, upstream.name, &member::name);
      previous = found == old->members.end() ? nullptr : &*found;
    }
    member next = previous != nullptr ? *previous : make_member(upstream, now);
    const bool was_out = next.marked_out || next.domain_out;
    next.failure_domain = upstream.failure_domain;
    next.rank = rank_of(config, upstream.failure_domain);
    next.limit = upstream.limit;
    next.marked_out = upstream.out_of_service;
    next.domain_out = is_out_of_service(config, upstream.failure_domain);
    next.ramp.configure(upstream.limit, upstream.cold_limit);
    if (was_out && !next.marked_out && !next.domain_out) {
      next.ramp.reset(now, false);
      next.leaving_at.reset();
    }
    members.push_back(std::move(next));
  }
  std::ranges::stable_sort(members, {}, &member::rank);
  return members;
}

base::result<void> router_state::update(const router_config& config, base::time_point now) {
  if (auto checked = check_unique_names(config); !checked) {
    return checked;
  }
  std::vector<pool_state> pools;
  pools.reserve(config.pools.size());
  for (const pool_config& pool : config.pools) {
    const auto known = m_pool_index.find(pool.name);
    pool_state* old = known == m_pool_index.end() ? nullptr : &m_pools[known->second];
    pool_state next;
    next.name = pool.name;
    next.members = build_members(config, pool, old, now);
    if (old != nullptr) {
      std::vector<int> new_index;
      for (const member& previous : old->members) {
        const auto found = std::ranges::find(next.members, previous.name, &member::name);
        new_index.push_back(
            found == next.members.end() ? -1 : static_cast<int>(found - next.members.begin()));
      }
      next.affinity = std::move(old->affinity);
      next.affinity.remap(new_index, next.members.size());
      next.baseline = old->baseline;
    }
    next.affinity.resize(next.members.size());
    enforce_ejection_cap(next, now);
    pools.push_back(std::move(next));
  }
  m_config = config;
  m_own_domain_out = is_out_of_service(config, config.self.failure_domain);
  replace_pools(std::move(pools));
  return base::success();
}

void router_state::replace_pools(std::vector<pool_state> pools) {
  string_map<member_location> locations;
  m_pool_index.clear();
  for (std::size_t pool = 0; pool < pools.size(); ++pool) {
    m_pool_index.emplace(pools[pool].name, pool);
    for (std::size_t index = 0; index < pools[pool].members.size(); ++index) {
      locations.emplace(pools[pool].members[index].name, member_location{pool, index});
      m_removed_in_flight.erase(pools[pool].members[index].name);
    }
  }
  for (const pool_state& old : m_pools) {
    for (const member& departed : old.members) {
      if (departed.in_flight > 0 && !locations.contains(departed.name)) {
        m_removed_in_flight[departed.name] = departed.in_flight;
      }
    }
  }
  m_locations = std::move(locations);
  m_pools = std::move(pools);
}

}  // namespace fuchsiaspring::routing::internal
