// Moving average of measured over expected times of one replica, from the samples of one node.
//
//   capability::own_average average;
//   average.record(2.5, now);                  // took 2.5 times as long as expected
//   double factor = average.estimate(now);     // returns to 1 without further samples
//
// Serves small fleets, where every node has enough samples of every replica.
#pragma once

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::capability {

class own_average {
 public:
  // The ratio is limited to the range of plausible speeds.
  void record(double ratio, base::time_point now);

  double estimate(base::time_point now) const;

 private:
  double m_average = 1;
  base::time_point m_at{};  // of the last sample
};

}  // namespace fuchsiaspring::capability
