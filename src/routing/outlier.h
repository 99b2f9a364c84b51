// Failure history of one upstream: consecutive failures, ejection, and a penalty on its load.
//
// An upstream that fails fast has a low load; the penalty keeps it from attracting requests while
// the cap on ejections leaves it in use.
#pragma once

#include <cstdint>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::routing::internal {

class outlier_history {
 public:
  static constexpr std::uint32_t consecutive_limit = 5;
  static constexpr base::duration base_ejection = std::chrono::seconds(5);
  static constexpr std::uint32_t max_doublings = 4;  // 80 s at the most
  static constexpr base::duration rate_half_life = std::chrono::seconds(10);
  static constexpr double penalty_weight = 2.0;  // in units of a full upstream

  void on_success(base::time_point now);

  // Returns whether the upstream should be ejected.
  bool on_failure(base::time_point now);

  // Ejects for a time that doubles with each ejection without a success in between.
  void eject(base::time_point now);
  void readmit() { m_ejected_until = {}; }

  bool ejected(base::time_point now) const { return now < m_ejected_until; }
  base::time_point ejected_until() const { return m_ejected_until; }

  // Added to the load estimate.
  double load_penalty(base::time_point now) const;

 private:
  static constexpr double sample_weight = 0.2;

  double failure_rate(base::time_point now) const;
  void add_sample(double failed, base::time_point now);

  std::uint32_t m_consecutive_failures = 0;
  std::uint32_t m_ejections = 0;
  double m_failure_rate = 0.0;
  base::time_point m_failure_rate_at{};
  base::time_point m_ejected_until{};
};

}  // namespace fuchsiaspring::routing::internal
