// Limits what a node sends to others of large contents, in bytes per second and transfers at once.
//
//   fleet::transfer_budget budget({});
//   if (!budget.try_begin(bytes, now)) { refuse(); }   // the requester asks another node
//
// A transfer counts as running for the time that its bytes take at the rate of the limit. Designed
// for a fleet of a few hundred nodes that all start at once: every node that has the content passes
// it on to a few others immediately, and no link is kept busy for longer. Not thread-safe; time is
// an argument.
#pragma once

#include <cstddef>
#include <deque>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::fleet {

struct transfer_limits {
  // Half of a link of 10 Mbit/s, the slowest of the deployments.
  double bytes_per_second = 600'000;
  // Contents of 3,000 replicas take 0.2 to 0.4 MB each.
  std::size_t concurrent_transfers = 3;

  friend bool operator==(const transfer_limits&, const transfer_limits&) = default;
};

class transfer_budget {
 public:
  explicit transfer_budget(transfer_limits limits) : m_limits(limits) {}

  // Counts the transfer and returns true if it may begin.
  bool try_begin(std::size_t bytes, base::time_point now);

  std::size_t running(base::time_point now) const;

 private:
  transfer_limits m_limits;
  std::deque<base::time_point> m_ends;  // in order
};

}  // namespace fuchsiaspring::fleet
