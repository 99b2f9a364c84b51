#include "bench/upstream_choice.h"

#include <algorithm>

namespace fuchsiaspring::bench {
namespace {

constexpr double slow_first_token_factor = 5;
constexpr int max_consecutive_slow = 3;
constexpr double normal_first_token_factor = 2;
constexpr double median_step = 0.02;  // relative step of the running median

}  // namespace

upstream_choice::upstream_choice(choice_kind kind, const pool_spec& spec)
    : m_kind(kind),
      m_slots(spec.slots),
      m_cold_limit(spec.cold_limit),
      m_ramps(static_cast<std::size_t>(spec.upstreams)) {
  for (ramp& state : m_ramps) {
    state.limit = spec.slots;
  }
}

int upstream_choice::free_slots_of(const engine_pool& pool, int upstream) const {
  if (pool.out_of_service(upstream)) {
    return 0;
  }
  const int limit =
      m_kind == choice_kind::ramped_least_requests ? m_ramps[upstream].limit : m_slots;
  return std::max(0, limit - pool.running_requests(upstream));
}

std::size_t upstream_choice::free_slots(const engine_pool& pool) const {
  std::size_t result = 0;
  for (int upstream = 0; upstream < pool.size(); ++upstream) {
    result += static_cast<std::size_t>(free_slots_of(pool, upstream));
  }
  return result;
}

std::optional<int> upstream_choice::choose(const engine_pool& pool, int excluded) {
  std::optional<int> best;
  const auto load = [&](int upstream) {
    return pool.running_requests(upstream) + (upstream == excluded ? m_slots : 0);
  };
  for (int offset = 0; offset < pool.size(); ++offset) {
    const int upstream = (m_next + offset) % pool.size();
    if (free_slots_of(pool, upstream) == 0) {
      continue;
    }
    if (m_kind == choice_kind::round_robin && upstream != excluded) {
      best = upstream;
      break;
    }
    if (!best || load(upstream) < load(*best)) {
      best = upstream;
    }
  }
  if (best) {
    m_next = (*best + 1) % pool.size();
  }
  return best;
}

void upstream_choice::on_first_token(int upstream, double seconds) {
  ramp& state = m_ramps[upstream];
  state.last_first_token_normal =
      m_warm_first_token <= 0 || seconds <= normal_first_token_factor * m_warm_first_token;
  state.consecutive_slow =
      seconds > slow_first_token_factor * m_warm_first_token ? state.consecutive_slow + 1 : 0;
  if (m_warm_first_token <= 0) {
    m_warm_first_token = seconds;
  }
  m_warm_first_token *= seconds > m_warm_first_token ? 1 + median_step : 1 - median_step;
  if (state.consecutive_slow >= max_consecutive_slow) {
    reset_to_cold_limit(upstream);
  }
}

void upstream_choice::on_finished(int upstream) {
  ramp& state = m_ramps[upstream];
  if (state.limit >= m_slots || !state.last_first_token_normal) {
    return;
  }
  state.finished += 1;
  if (state.finished >= state.limit) {
    state.limit = std::min(m_slots, 2 * state.limit);
    state.finished = 0;
  }
}

void upstream_choice::on_failed(int upstream) {
  reset_to_cold_limit(upstream);
}

void upstream_choice::on_back_in_service(int upstream) {
  reset_to_cold_limit(upstream);
}

void upstream_choice::reset_to_cold_limit(int upstream) {
  m_ramps[upstream] = {m_cold_limit, 0, 0, true};
}

}  // namespace fuchsiaspring::bench
