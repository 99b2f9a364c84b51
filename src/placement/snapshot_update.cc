// Adoption of published snapshots: the services, their replicas, and the nodes that share them.
#include <algorithm>
#include <utility>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::replica_state;
using internal::service_state;

// State of an unlisted replica is kept this long, so that a replica that is listed again unchanged
// does not count as new.
constexpr base::duration unlisted_retention = std::chrono::seconds(30);
// A cold replica has as many owner nodes as can each get at least this many requests/s, at least 1.
constexpr double min_cold_rate_per_owner = 2;
// Latest start time by address, of replicas of configured services. Replicas that were started
// earlier at the same address have been replaced, though their entries have not expired yet.
template <typename Services>
std::map<std::string_view, std::uint64_t> latest_start_by_address(std::span<const replica> replicas,
                                                                  const Services& services) {
  std::map<std::string_view, std::uint64_t> starts;
  for (const replica& each : replicas) {
    const auto service = services.find(each.service);
    if (service == services.end() || !service->second->is_configured) {
      continue;  // most likely of another writer
    }
    std::uint64_t& last = starts[each.address];
    last = std::max(last, each.started_at_ms);
  }
  return starts;
}

}  // namespace

void placer::adopt_services(std::span<const service_profile> services) {
  for (auto& [name, state] : m_services) {
    state->is_configured = false;
    state->replica_ids.clear();
  }
  for (const service_profile& each : services) {
    auto& state = m_services[each.name];
    if (state == nullptr) {
      state = std::make_unique<service_state>();
    }
    state->profile = each;
    state->is_configured = true;
  }
}

void placer::update(std::span<const service_profile> services, std::span<const replica> replicas,
                    const std::set<std::string>& evacuated_domains, base::time_point now) {
  adopt_services(services);
  for (auto& [id, state] : m_replicas) {
    if (state->is_listed) {
      state->is_listed = false;
      state->unlisted_since = now;
    }
  }
  const std::map<std::string_view, std::uint64_t> starts =
      latest_start_by_address(replicas, m_services);
  for (const replica& each : replicas) {
    const auto service = m_services.find(each.service);
    if (service == m_services.end() || !service->second->is_configured) {
      continue;
    }
    if (each.started_at_ms < starts.at(each.address)) {
      continue;
    }
    auto& state = m_replicas[each.id];
    const bool is_new = state == nullptr;
    if (is_new) {
      state = std::make_unique<replica_state>();
    }
    const bool is_restarted = !is_new && state->entry.started_at_ms != each.started_at_ms;
    const bool is_changed = is_new || state->entry != each;
    if (is_restarted) {
      state->cached.clear();
      state->failure_share = 0;
      state->own_speed = {};
      state->down_until = {};
      state->ejected_until = {};
    }
    if ((is_new && m_has_snapshot) || is_restarted) {
      state->cold_until = now + service->second->profile.cold_start;
    }
    if (is_changed && each.cold_remaining.count() > 0) {
      state->cold_until = std::max(state->cold_until, now + each.cold_remaining);
    }
    state->entry = each;
    state->service = service->second.get();
    state->is_listed = true;
    state->is_evacuated = evacuated_domains.contains(each.failure_domain);
    service->second->replica_ids.push_back(each.id);
  }
  m_has_snapshot = true;
  for (auto& [name, service] : m_services) {
    assign_pool_positions(*service);
  }
  std::erase_if(m_replicas, [&](const auto& item) {
    const replica_state& state = *item.second;
    return !state.is_listed && state.running == 0 &&
           now - state.unlisted_since > unlisted_retention;
  });
  assign_cold_rates();
  rebuild_hash_index();
  list_speeds();
}

// Applies all remote loads again, since earlier ones may name replicas that are new in the
// snapshot.
void placer::rebuild_hash_index() {
  m_by_hash.clear();
  for (auto& [id, state] : m_replicas) {
    m_by_hash[hash_replica_id(id)] = state.get();
    state->remote_running = 0;
    state->remote_prefill_tokens = 0;
    state->remote_gap_sensitivity = 0;
  }
  for (const auto& [vm, loads] : m_remote_loads) {
    apply_remote_load(loads, change::added);
  }
}

void placer::set_nodes(std::vector<std::string> vms) {
  std::sort(vms.begin(), vms.end());
  if (vms == m_vms) {
    return;
  }
  m_vms = std::move(vms);
  assign_cold_rates();
}

void placer::assign_cold_rates() {
  for (auto& [id, state] : m_replicas) {
    if (state->service == nullptr) {
      continue;
    }
    const double rate = state->service->profile.cold_requests_per_s;
    const auto owners =
        std::clamp<std::size_t>(static_cast<std::size_t>(rate / min_cold_rate_per_owner), 1,
                                std::max<std::size_t>(1, m_vms.size()));
    state->cold.rate = 0;
    for (const std::size_t index : base::rendezvous_top(id, m_vms, owners)) {
      if (m_vms[index] == m_config.vm) {
        state->cold.rate = rate / static_cast<double>(owners);
      }
    }
  }
}

}  // namespace fuchsiaspring::placement
