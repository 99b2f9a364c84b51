// Cost of single decisions at a given number of teams.
#pragma once

#include <cstddef>
#include <cstdint>

namespace fuchsiaspring::bench {

struct decision_cost {
  std::size_t teams = 0;
  std::size_t decisions = 0;
  std::size_t queued = 0;  // during the measurement
  double offer_p50_us = 0;
  double offer_p99_us = 0;
  double next_p50_us = 0;
  double next_p99_us = 0;
  double blocked_p99_us = 0;     // next() while no pool has a free slot
  double preemption_p99_us = 0;  // one proposal with 200 running requests
  double update_policy_ms = 0;   // one change of the policy with full queues
  double memory_mb = 0;          // allocated by the queue
};

// Measures offer() and next() of one queue with `teams` teams, 3 tiers, 6 classes and 17 pools, all
// of them overloaded.
decision_cost measure_decision_cost(std::size_t teams, std::uint64_t seed);

}  // namespace fuchsiaspring::bench
