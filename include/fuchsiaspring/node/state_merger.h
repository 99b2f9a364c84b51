// Merges successive reads of the configuration service, so that an outage of the service does not
// remove replicas that are still running.
//
//   node::state_merger merger(expected_interval);
//   const node::published_state& state = merger.merge(read, now);
//
// Entries of replicas expire while the service is down and are listed again within about 2 s of its
// recovery. A replica that is missing after an outage is therefore kept for that time, and removed
// if it is still missing afterwards. A configuration is never replaced by an older version.
//
// Not thread-safe; time is an argument.
#pragma once

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/types.h"

namespace fuchsiaspring::node {

class state_merger {
 public:
  // `expected_interval` is the usual time between two reads.
  explicit state_merger(base::duration expected_interval)
      : m_expected_interval(expected_interval) {}

  const published_state& merge(published_state read, base::time_point now);

  // Whether missing replicas are currently kept.
  bool is_holding(base::time_point now) const { return now < m_hold_until; }

 private:
  base::duration m_expected_interval;
  published_state m_state;
  bool m_has_state = false;
  base::time_point m_last_read{};
  base::time_point m_hold_until{};
};

}  // namespace fuchsiaspring::node
