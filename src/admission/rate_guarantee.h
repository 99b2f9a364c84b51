// Guaranteed rate of one team in one class, kept as the earliest times of the next conforming
// arrival and dispatch (generic cell rate algorithm), so that teams can be ordered by that time.
//
//   rate_guarantee guarantee(2.0, 1.0, now);   // 2 requests/s, burst 1
//   if (guarantee.ready_at() <= now) {
//     guarantee.charge(offered_at);
//   }
//
// Arrivals are counted apart from dispatches. A team that sends at its rate conforms with every
// arrival, however late its earlier requests were dispatched.
#pragma once

#include <algorithm>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::admission::internal {

class rate_guarantee {
 public:
  // Starts with a full bucket. `requests_per_second` must be positive; rates under one request in
  // 1,000,000 s count as that rate, which keeps times within the range of the clock.
  rate_guarantee(double requests_per_second, double burst, base::time_point now)
      : m_interval(base::from_seconds(1.0 / std::max(requests_per_second, 1e-6))),
        m_tolerance(base::from_seconds(
            std::min((std::max(burst, 1.0) - 1.0) * base::to_seconds(m_interval), 1e9))),
        m_ready_at(now - m_tolerance),
        m_arrival_at(m_ready_at) {}

  // From this time on a dispatch is within the rate.
  base::time_point ready_at() const { return m_ready_at; }

  // Counts the dispatch of a request that was offered at `offered`. Counting from that time
  // lets the guarantee accrue while the request is queued.
  void charge(base::time_point offered) {
    m_ready_at = std::max(m_ready_at, offered - m_tolerance) + m_interval;
  }

  void refund() { m_ready_at -= m_interval; }

  bool arrival_conforms(base::time_point now) const { return m_arrival_at <= now; }

  // Counts a conforming arrival. Arrivals beyond the rate are not counted.
  void charge_arrival(base::time_point now) {
    m_arrival_at = std::max(m_arrival_at, now - m_tolerance) + m_interval;
  }

  // Takes over the state of the same team's guarantee under the previous policy.
  void inherit_from(const rate_guarantee& previous, base::time_point now) {
    m_ready_at = std::clamp(previous.m_ready_at, now - m_tolerance, now + m_interval);
    m_arrival_at = std::clamp(previous.m_arrival_at, now - m_tolerance, now + m_interval);
  }

 private:
  base::duration m_interval;
  base::duration m_tolerance;
  base::time_point m_ready_at;
  base::time_point m_arrival_at;
};

}  // namespace fuchsiaspring::admission::internal
