#include "bench/engine_model.h"

#include <algorithm>
#include <limits>

namespace fuchsiaspring::bench {
namespace {

// Absorbs rounding errors, which could leave a counter just below a milestone.
constexpr double counter_tolerance = 1e-7;

}  // namespace

engine_pool::engine_pool(const pool_spec& spec, double measure_from_s, double measure_to_s)
    : m_spec(spec),
      m_from(measure_from_s),
      m_to(measure_to_s),
      m_upstreams(static_cast<std::size_t>(spec.upstreams)) {}

int engine_pool::running_requests(int upstream) const {
  return static_cast<int>(m_upstreams[upstream].running.size());
}

double engine_pool::rate(const upstream_state& upstream) const {
  if (upstream.running.empty()) {
    return 0;
  }
  const double warm = 1 / m_spec.token_seconds(static_cast<int>(upstream.running.size()));
  return upstream.updated < upstream.cold_until ? warm * m_spec.cold_speed : warm;
}

void engine_pool::integrate(upstream_state& upstream, double now) {
  upstream.counter += std::max(0.0, now - upstream.updated) * rate(upstream);
  upstream.updated = std::max(upstream.updated, now);
}

// Advances the counter to `now` in steps that end at a change of the rate and at the start and end
// of the measured interval.
void engine_pool::update(upstream_state& upstream, double now) {
  std::vector<double> steps = {upstream.cold_until, m_from, m_to};
  std::ranges::sort(steps);
  for (const double step : steps) {
    if (step <= now) {
      integrate(upstream, step);
      if (step == m_from && upstream.counter_at_from < 0) {
        upstream.counter_at_from = upstream.counter;
      }
      if (step == m_to && upstream.counter_at_to < 0) {
        upstream.counter_at_to = upstream.counter;
      }
    }
  }
  integrate(upstream, now);
}

void engine_pool::start(int index, std::uint64_t attempt, double prompt_work, double output_tokens,
                        double now) {
  upstream_state& upstream = m_upstreams[index];
  update(upstream, now);
  attempt_state state;
  state.upstream = index;
  state.start_counter = upstream.counter;
  state.first_token_counter = state.start_counter + prompt_work + 1;
  state.finish_counter = state.start_counter + prompt_work + std::max(1.0, output_tokens);
  upstream.milestones.emplace(state.first_token_counter, attempt, milestone_kind::first_token);
  upstream.milestones.emplace(state.finish_counter, attempt, milestone_kind::finished);
  upstream.running.insert(attempt);
  m_attempts[attempt] = state;
  if (now < upstream.cold_until && running_requests(index) > m_spec.cold_limit) {
    restart(index, now);
  }
}

void engine_pool::stop(std::uint64_t attempt, upstream_state& upstream) {
  attempt_state& state = m_attempts.at(attempt);
  state.end_counter = upstream.counter;
  upstream.running.erase(attempt);
  upstream.milestones.erase({state.first_token_counter, attempt, milestone_kind::first_token});
  upstream.milestones.erase({state.finish_counter, attempt, milestone_kind::finished});
}

void engine_pool::cancel(std::uint64_t attempt, double now) {
  const auto place = m_attempts.find(attempt);
  if (place == m_attempts.end() || place->second.end_counter >= 0) {
    return;
  }
  upstream_state& upstream = m_upstreams[place->second.upstream];
  update(upstream, now);
  stop(attempt, upstream);
}

void engine_pool::fail_all(int index) {
  upstream_state& upstream = m_upstreams[index];
  const std::set<std::uint64_t> running = upstream.running;
  for (const std::uint64_t attempt : running) {
    stop(attempt, upstream);
    m_pending.push_back({attempt, index, milestone_kind::failed});
  }
}

void engine_pool::restart(int index, double now) {
  update(m_upstreams[index], now);
  fail_all(index);
  m_upstreams[index].cold_until = now + m_spec.cold_seconds;
}

void engine_pool::abort_running(int index, double now) {
  update(m_upstreams[index], now);
  fail_all(index);
}

double engine_pool::next_event() const {
  if (!m_pending.empty()) {
    return 0;
  }
  double earliest = std::numeric_limits<double>::infinity();
  for (const upstream_state& upstream : m_upstreams) {
    if (upstream.milestones.empty()) {
      continue;
    }
    const double remaining = std::get<double>(*upstream.milestones.begin()) - upstream.counter;
    double time = upstream.updated + std::max(0.0, remaining) / rate(upstream);
    if (upstream.updated < upstream.cold_until) {
      time = std::min(time, upstream.cold_until);
    }
    earliest = std::min(earliest, time);
  }
  return earliest;
}

std::vector<milestone> engine_pool::advance(double now) {
  std::vector<milestone> reached;
  reached.swap(m_pending);
  for (int index = 0; index < size(); ++index) {
    upstream_state& upstream = m_upstreams[index];
    update(upstream, now);
    while (!upstream.milestones.empty()) {
      const auto [counter, attempt, kind] = *upstream.milestones.begin();
      if (counter > upstream.counter + counter_tolerance) {
        break;
      }
      reached.push_back({attempt, index, kind});
      if (kind == milestone_kind::finished) {
        stop(attempt, upstream);
      } else {
        upstream.milestones.erase(upstream.milestones.begin());
      }
    }
  }
  return reached;
}

double engine_pool::tokens(std::uint64_t attempt) const {
  const attempt_state& state = m_attempts.at(attempt);
  return std::max(0.0, m_upstreams[state.upstream].counter - state.first_token_counter + 1);
}

double engine_pool::measured_work(std::uint64_t attempt) const {
  const attempt_state& state = m_attempts.at(attempt);
  const upstream_state& upstream = m_upstreams[state.upstream];
  if (upstream.counter_at_from < 0) {
    return 0;
  }
  const double from = upstream.counter_at_from;
  const double to = upstream.counter_at_to < 0 ? upstream.counter : upstream.counter_at_to;
  const double end_counter = state.end_counter < 0 ? upstream.counter : state.end_counter;
  return std::clamp(end_counter, from, to) - std::clamp(state.start_counter, from, to);
}

}  // namespace fuchsiaspring::bench
