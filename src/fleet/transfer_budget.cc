#include "fuchsiaspring/fleet/transfer_budget.h"

#include <algorithm>

namespace fuchsiaspring::fleet {

bool transfer_budget::try_begin(std::size_t bytes, base::time_point now) {
  while (!m_ends.empty() && m_ends.front() <= now) {
    m_ends.pop_front();
  }
  if (m_ends.size() >= m_limits.concurrent_transfers) {
    return false;
  }
  // Transfers share the rate, so that a further one ends after those that are running.
  const base::time_point begin = m_ends.empty() ? now : m_ends.back();
  m_ends.push_back(begin +
                   base::from_seconds(static_cast<double>(bytes) / m_limits.bytes_per_second));
  return true;
}

std::size_t transfer_budget::running(base::time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(m_ends.begin(), m_ends.end(), [&](base::time_point end) { return end > now; }));
}

}  // namespace fuchsiaspring::fleet
