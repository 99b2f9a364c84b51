#include "routing/cold_start_ramp.h"

#include <algorithm>

namespace fuchsiaspring::routing::internal {

void cold_start_ramp::configure(std::uint32_t limit, std::uint32_t cold_limit) {
  m_limit = limit;
  m_cold_limit = std::max<std::uint32_t>(cold_limit, 1);
  m_step = std::clamp(m_step, first_step(), m_limit);
}

void cold_start_ramp::set_step(std::uint32_t step) {
  m_step = step;
  m_in_time = 0;
  m_finished = 0;
  m_slow_streak = 0;
  m_busy_reports = 0;
}

bool cold_start_ramp::reset(base::time_point now, bool detected) {
  const bool fell = m_step > first_step();
  if (detected) {
    m_detected_at = now;
  }
  set_step(first_step());
  return fell;
}

bool cold_start_ramp::lower_to(std::uint32_t bound, base::time_point now) {
  const std::uint32_t target = std::max(bound, first_step());
  m_detected_at = now;
  if (target >= m_step) {
    return false;
  }
  set_step(target);
  return true;
}

bool cold_start_ramp::raise_to(std::uint32_t bound, base::time_point now) {
  const bool in_holdoff = m_detected_at && now - *m_detected_at < raise_holdoff;
  if (m_reported_cold || in_holdoff || bound <= m_step || warm()) {
    return false;
  }
  set_step(std::min({bound, m_step * 2, m_limit}));
  return true;
}

bool cold_start_ramp::on_first_token(std::optional<double> ratio) {
  if (!ratio || *ratio <= in_time_ratio) {
    ++m_in_time;
  }
  if (!ratio) {
    return false;
  }
  m_slow_streak = *ratio >= cold_ratio ? m_slow_streak + 1 : 0;
  return m_slow_streak >= cold_streak;
}

bool cold_start_ramp::on_finish(std::uint32_t own_share) {
  ++m_finished;
  const std::uint32_t needed = std::max<std::uint32_t>(std::min(own_share, m_step), 1);
  if (m_reported_cold || warm() || std::min(m_in_time, m_finished) < needed) {
    return false;
  }
  set_step(std::min(m_step * 2, m_limit));
  return true;
}

bool cold_start_ramp::on_report(std::uint32_t running, std::uint32_t queued, base::time_point now) {
  const bool in_holdoff = m_detected_at && now - *m_detected_at < report_holdoff;
  // With a queue longer than a quarter of the running requests the upstream is overloaded.
  const bool busy = running >= m_step && queued <= running / 4;
  if (m_reported_cold || warm() || in_holdoff || !busy) {
    m_busy_reports = 0;
    return false;
  }
  if (++m_busy_reports < busy_reports_per_step) {
    return false;
  }
  set_step(std::min(m_step * 2, m_limit));
  return true;
}

}  // namespace fuchsiaspring::routing::internal
