// One node's part of a retry budget for the whole fleet.
//
//   retry::fleet_retry_budget budget({.ratio = 0.2, .slack = 50});
//   budget.set_nodes(6);
//   budget.record_request(now);                         // for each caller's request
//   if (budget.try_spend(now)) { dispatch_again(); }    // for each further dispatch of it
//
// In any window the fleet may retry `ratio` times its requests, plus `slack`. Each node uses the
// ratio of its own requests and an equal part of the slack, so the fleet stays within the budget
// without coordination between nodes. The window is a sliding one. Not thread-safe; time is an
// argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::retry {

struct fleet_budget_limits {
  double ratio = 0;
  std::uint32_t slack = 0;
  base::duration window = std::chrono::seconds(10);

  friend bool operator==(const fleet_budget_limits&, const fleet_budget_limits&) = default;
};

class fleet_retry_budget {
 public:
  explicit fleet_retry_budget(fleet_budget_limits limits) : m_limits(limits) {}

  void set_nodes(std::size_t nodes) { m_nodes = nodes == 0 ? 1 : nodes; }
  void set_limits(fleet_budget_limits limits) { m_limits = limits; }

  void record_request(base::time_point now);

  // Counts a retry if it is within the budget, and returns whether it is.
  bool try_spend(base::time_point now);

  // Retries left in the current window, at least 0.
  double remaining_retries(base::time_point now);

 private:
  void expire(base::time_point now);

  fleet_budget_limits m_limits;
  std::size_t m_nodes = 1;
  std::deque<base::time_point> m_requests;
  std::deque<base::time_point> m_spent;
};

}  // namespace fuchsiaspring::retry
