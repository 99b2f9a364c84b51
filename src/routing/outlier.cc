#include "routing/outlier.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::routing::internal {

double outlier_history::failure_rate(base::time_point now) const {
  return m_failure_rate *
         std::exp2(-base::to_seconds(now - m_failure_rate_at) / base::to_seconds(rate_half_life));
}

void outlier_history::add_sample(double failed, base::time_point now) {
  m_failure_rate = (1.0 - sample_weight) * failure_rate(now) + sample_weight * failed;
  m_failure_rate_at = now;
}

void outlier_history::on_success(base::time_point now) {
  m_consecutive_failures = 0;
  m_ejections = 0;
  if (m_failure_rate > 0.0) {
    add_sample(0.0, now);
  }
}

bool outlier_history::on_failure(base::time_point now) {
  ++m_consecutive_failures;
  add_sample(1.0, now);
  return m_consecutive_failures >= consecutive_limit;
}

void outlier_history::eject(base::time_point now) {
  m_ejected_until = now + base_ejection * (1U << std::min(m_ejections, max_doublings));
  ++m_ejections;
  // After the ejection one further failure is enough to eject again.
  m_consecutive_failures = consecutive_limit - 1;
}

double outlier_history::load_penalty(base::time_point now) const {
  constexpr double negligible = 0.001;
  return m_failure_rate < negligible ? 0.0 : penalty_weight * failure_rate(now);
}

}  // namespace fuchsiaspring::routing::internal
