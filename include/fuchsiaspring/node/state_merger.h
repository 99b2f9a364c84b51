// Merges successive reads of the configuration service, so that an outage of the service does not
// remove replicas that are still running, and a service that comes back from an older copy undoes
// nothing (see return_guard.h).
//
//   node::state_merger merger;
//   const node::published_state& state = merger.merge(read, {proved_at, service_failed_at}, now);
//   merger.learn(held_by_a_peer, now);
//
// Entries of replicas expire while the service is down and are listed again within about 2 s of its
// recovery. A replica that is missing after an outage is therefore kept for that time, and removed
// if it is still missing afterwards. A late read alone shows no outage: the node or its peers may
// have been slow, and a replica that is missing then has left. A configuration is never replaced by
// an older version.
//
// What a copy lacks can also be learned from another node. A configuration is learned only if the
// service may have lost it: within an era it loses nothing, so that a content which is not older
// contains the newest configuration.
//
// Not thread-safe; time is an argument.
#pragma once

#include <optional>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/held_state.h"
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
  // A configuration that the service has not listed for this time is told to no other node, and not
  // learned. It bounds how long a fleet keeps a version that the service never lists again.
  static constexpr base::duration config_memory = return_guard::departure_memory;

  // Returns the state to use. A read of an older state changes nothing.
  const published_state& merge(published_state read, const read_evidence& evidence,
                               base::time_point now);

  // Adds what another node holds and the content that was read lacks. Does nothing before the first
  // merge.
  const published_state& learn(const held_state& told, base::time_point now);

  // What another node may learn; without the text of the configuration, and without the
  // configuration itself if the other node has that version.
  held_state held(std::uint64_t known_config_version, base::time_point now) const;

  const published_state& state() const { return m_state; }
  // Of the configuration in use; 0: none.
  std::uint64_t config_version() const { return m_state.config ? m_state.config->version : 0; }
  // Of the configuration in the content that was last read; 0: none.
  std::uint64_t listed_config_version() const { return m_listed_config_version; }
  // The version to state to other nodes.
  std::uint64_t told_config_version(base::time_point now) const;

  // Whether missing replicas are currently kept.
  bool is_holding(base::time_point now) const { return m_guard.is_holding(now); }
  const return_guard& guard() const { return m_guard; }
  std::uint32_t returns() const { return m_returns; }  // of the service, seen so far

 private:
  bool may_be_lost(const held_config& config) const;

  published_state m_state;
  std::optional<proved_version> m_proved;  // of m_state
  std::uint64_t m_listed_config_version = 0;
  proved_version m_config_listed;  // the last content that contained the configuration of m_state
  return_guard m_guard;
  std::uint32_t m_returns = 0;
};

}  // namespace fuchsiaspring::node
