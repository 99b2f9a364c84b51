#include "admission/pool_rate.h"

#include <cmath>

namespace fuchsiaspring::admission::internal {
namespace {

// Long enough to average over a batch of finished requests, short enough to follow a failure domain
// that leaves within a few seconds.
constexpr double rate_decay_seconds = 5.0;

// A request that is dispatched on arrival spends some microseconds in the queue, which is no
// backlog.
constexpr base::duration min_backlog = std::chrono::milliseconds(5);

constexpr double min_dispatches = 3.0;
constexpr double min_observed_seconds = 0.2;

constexpr double average_decay_seconds = 40.0;

double decay(base::duration elapsed) {
  return std::exp(-base::to_seconds(elapsed) / rate_decay_seconds);
}

}  // namespace

void decayed_rate::record(base::time_point now) {
  m_count = m_count * decay(now - m_last) + 1;
  m_last = now;
}

double decayed_rate::per_second(base::time_point now) const {
  return m_count * decay(now - m_last) / rate_decay_seconds;
}

double decayed_average::update(double sample, base::time_point now) {
  const double kept = std::exp(-base::to_seconds(now - m_last) / average_decay_seconds);
  m_value = sample + (m_value - sample) * kept;
  m_last = now;
  return m_value;
}

void pool_rate::observe(std::size_t queued, base::time_point now) {
  if (queued == 0) {
    m_backlog_since = base::time_point::max();
    return;
  }
  if (m_backlog_since == base::time_point::max()) {
    m_backlog_since = now;
    m_last = now;
    return;
  }
  const base::duration elapsed = now - m_last;
  const double factor = decay(elapsed);
  m_dispatches *= factor;
  m_seconds = m_seconds * factor + base::to_seconds(elapsed);
  m_last = now;
}

void pool_rate::record_dispatch(base::time_point now) {
  if (m_backlog_since != base::time_point::max() && now - m_backlog_since >= min_backlog) {
    m_dispatches += 1;
  }
}

std::optional<double> pool_rate::per_second() const {
  if (m_dispatches < min_dispatches || m_seconds < min_observed_seconds) {
    return std::nullopt;
  }
  return m_dispatches / m_seconds;
}

}  // namespace fuchsiaspring::admission::internal
