// Merges successive reads of the configuration service, so that an outage of the service does not
// remove replicas that are still running, and a service that comes back from an older copy undoes
// nothing (see return_guard.h).
//
//   node::state_merger merger;
//   const node::published_state& state = merger.merge(read, {proved_at, service_failed_at}, now);
//
// Entries of replicas expire while the service is down and are listed again within about 2 s of its
// recovery. A replica that is missing after an outage is therefore kept for that time, and removed
// if it is still missing afterwards. A late read alone shows no outage: the node or its peers may
// have been slow, and a replica that is missing then has left. A configuration is never replaced by
// an older version.
//
// Not thread-safe; time is an argument.
#pragma once

#include <optional>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/return_guard.h"
#include "fuchsiaspring/node/types.h"

namespace fuchsiaspring::node {

// What a read tells about the service.
struct read_evidence {
  base::time_point proved_at{};  // what was read was the newest content at this time
  std::optional<base::time_point> service_failed_at;  // the last failed call of this node

  friend bool operator==(const read_evidence&, const read_evidence&) = default;
};

class state_merger {
 public:
  // Returns the state to use. A read of an older state changes nothing.
  const published_state& merge(published_state read, const read_evidence& evidence,
                               base::time_point now);

  // Whether missing replicas are currently kept.
  bool is_holding(base::time_point now) const { return m_guard.is_holding(now); }
  const return_guard& guard() const { return m_guard; }
  std::uint32_t returns() const { return m_returns; }  // of the service, seen so far

 private:
  published_state m_state;
  std::optional<proved_version> m_proved;  // of m_state
  return_guard m_guard;
  std::uint32_t m_returns = 0;
};

}  // namespace fuchsiaspring::node
