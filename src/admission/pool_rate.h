// Rates from which the expected wait in a queue is computed.
//
//   pool_rate rate;
//   rate.observe(queued_before_the_event, now);   // before every change of the queue
//   rate.record_dispatch(now);
//   if (auto per_second = rate.per_second()) { ... }
#pragma once

#include <cstddef>
#include <optional>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::admission::internal {

// Events per second, averaged with exponential decay.
class decayed_rate {
 public:
  void record(base::time_point now);
  double per_second(base::time_point now) const;

 private:
  double m_count = 0;
  base::time_point m_last{};
};

// Average of a sampled number over about the last 40 s, the time that a long request holds a slot.
class decayed_average {
 public:
  // Takes a sample and returns the average.
  double update(double sample, base::time_point now);

 private:
  double m_value = 0;
  base::time_point m_last{};
};

// Dispatches per second of a pool while requests waited for it. Time without queued
// requests does not show the pool's capacity and leaves the estimate unchanged.
class pool_rate {
 public:
  void observe(std::size_t queued, base::time_point now);
  void record_dispatch(base::time_point now);

  // Nothing until enough dispatches were observed.
  std::optional<double> per_second() const;

 private:
  double m_dispatches = 0;
  double m_seconds = 0;
  base::time_point m_last{};
  base::time_point m_backlog_since = base::time_point::max();
};

}  // namespace fuchsiaspring::admission::internal
