#include "fuchsiaspring/retry/fleet_retry_budget.h"

#include <algorithm>

namespace fuchsiaspring::retry {
namespace {

// The remaining 20% covers nodes that are missing in this node's count, and responses in flight.
constexpr double usable_fraction = 0.8;

void drop_before(std::deque<base::time_point>& times, base::time_point start) {
  while (!times.empty() && times.front() < start) {
    times.pop_front();
  }
}

}  // namespace

void fleet_retry_budget::expire(base::time_point now) {
  drop_before(m_requests, now - m_limits.window);
  drop_before(m_spent, now - m_limits.window);
}

void fleet_retry_budget::record_request(base::time_point now) {
  expire(now);
  m_requests.push_back(now);
}

double fleet_retry_budget::remaining_retries(base::time_point now) {
  expire(now);
  const double allowed =
      usable_fraction * (m_limits.ratio * static_cast<double>(m_requests.size()) +
                         static_cast<double>(m_limits.slack) / static_cast<double>(m_nodes));
  return std::max(0.0, allowed - static_cast<double>(m_spent.size()));
}

bool fleet_retry_budget::try_spend(base::time_point now) {
  if (remaining_retries(now) < 1) {
    return false;
  }
  m_spent.push_back(now);
  return true;
}

}  // namespace fuchsiaspring::retry
