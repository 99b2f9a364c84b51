// Learned factors on the expected wait: the speed of a replica and the effect of its load.
#include <algorithm>
#include <cmath>
#include <vector>

#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {

namespace {

using internal::replica_state;

constexpr base::duration compare_interval = std::chrono::milliseconds(500);
// Shares of the replicas that differ, and of samples in slow phases, from which all replicas are
// compared by shared speeds. Below, small differences are mostly due to the requests, and following
// them would move requests away from the prefixes that they share.
constexpr double min_distinct_share = 0.04;
constexpr double min_slow_phase_share = 0.08;

}  // namespace

double internal::load_share(const replica_state& state) {
  return state.entry.slots == 0 ? 0 : static_cast<double>(state.all_running()) / state.entry.slots;
}

std::optional<double> placer::shared_speed(const replica_state& state, base::time_point now) const {
  if (m_view == fleet_view::full || state.service == nullptr ||
      (!state.service->replicas_differ && !m_speeds.is_distinct(state.speed_key, now))) {
    return std::nullopt;
  }
  return m_speeds.estimate(state.speed_key, state.service->capability.slow_phases(), now);
}

double placer::speed_factor(const replica_state& state, base::time_point now) const {
  return shared_speed(state, now).value_or(state.own_speed.estimate(now));
}

double placer::load_factor(const replica_state& state) const {
  if (m_view == fleet_view::full || state.service == nullptr) {
    return 1;
  }
  return state.service->capability.load_factor(internal::load_share(state));
}

double placer::apply_factors(const replica_state& state, choice& candidate,
                             base::time_point now) const {
  candidate.shared_speed = shared_speed(state, now);
  candidate.load_factor = load_factor(state);
  candidate.load_share = internal::load_share(state);
  return candidate.shared_speed.value_or(state.own_speed.estimate(now)) * candidate.load_factor;
}

void placer::record_speed(replica_state& state, const choice& chosen, double ratio,
                          base::time_point now) {
  state.own_speed.record(ratio, now);
  if (!std::isfinite(ratio) || chosen.started_at_ms != state.entry.started_at_ms) {
    return;  // measured at another start of the replica
  }
  // A response within a fraction of a millisecond is no evidence of a speed.
  constexpr double min_ratio = 0.05;
  const double relative =
      state.service->capability.record({.log_ratio = std::log(std::max(ratio, min_ratio)),
                                        .log_usual = m_speeds.log_usual(state.speed_key, now),
                                        .log_speed = std::log(chosen.shared_speed.value_or(1)),
                                        .log_load = std::log(chosen.load_factor),
                                        .load_share = chosen.load_share,
                                        .is_long_prompt = chosen.is_long_prompt});
  m_speeds.record(state.speed_key, relative, now);
  compare_replicas(*state.service, now);
}

void placer::compare_replicas(internal::service_state& service, base::time_point now) const {
  if (now - service.compared_at < compare_interval) {
    return;
  }
  service.compared_at = now;
  const auto distinct = std::count_if(
      service.replica_ids.begin(), service.replica_ids.end(), [&](const std::string& id) {
        return m_speeds.is_distinct(m_replicas.find(id)->second->speed_key, now);
      });
  service.replicas_differ =
      static_cast<double>(distinct) >
          min_distinct_share * static_cast<double>(service.replica_ids.size()) ||
      service.capability.slow_phases().share > min_slow_phase_share;
}

void placer::list_speeds() {
  std::vector<capability::replica_key> listed;
  listed.reserve(m_replicas.size());
  for (auto& [id, state] : m_replicas) {
    state->speed_key = {hash_replica_id(id), capability::hash_start(state->entry.started_at_ms)};
    listed.push_back(state->speed_key);
  }
  m_speeds.set_replicas(listed);
}

}  // namespace fuchsiaspring::placement
