// The VM list joined with the heartbeats of the other agents.
//
//   peer_table peers("vm1", "domain-a", rules, now);
//   peers.set_list(list, now);
//   peers.on_heartbeat("vm2", incarnation, sequence, heartbeat, now);
//   if (peers.on_tick(now)) { drop leases, loans and grants }       // this process was paused
//   for (const std::string& name : peers.heartbeat_targets(random)) { ... }
//
// Suspicion is advice for routing and for the choice of peers; no rule of at-most-once execution
// depends on it. Not thread-safe; the agent's task owns it. `now` must not decrease between calls.
#pragma once

#include <messages.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::membership {

struct peer_rules {
  base::duration heartbeat_interval = std::chrono::seconds(1);
  base::duration suspicion_timeout = std::chrono::seconds(3);
  base::duration isolation_limit = std::chrono::minutes(5);
  // A tick that is late by more than this shows that this process was paused.
  base::duration pause_limit = std::chrono::seconds(1);
  // Up to this many peers get every heartbeat: 24 x 250 B/s is a fifth of the budget of a node.
  std::size_t full_mesh_peers = 24;
  // Heartbeats per interval in a larger list, beside one to each other failure domain.
  std::size_t rotation_targets = 16;
};

enum class peer_state { unheard, live, suspected, leaving };

struct peer_view {
  std::string name;
  std::string failure_domain;
  std::string agent_address;  // ip:port
  peer_state state = peer_state::unheard;
  std::uint64_t incarnation = 0;  // 0 before the first heartbeat
  std::uint64_t bundle_revision = 0;
  std::uint64_t list_version = 0;

  friend bool operator==(const peer_view&, const peer_view&) = default;
};

enum class heartbeat_result {
  ignored,       // not in the list, reordered, or of a process before a restart
  same_process,  // the same process as before
  first,         // the first heartbeat of this peer
  restarted,     // a new incarnation: the peer has lost its earlier state
};

class peer_table {
 public:
  peer_table(std::string self, std::string failure_domain, const peer_rules& rules,
             base::time_point now);

  // Replaces the VM list. The state of peers that are in both lists is kept.
  void set_list(const schema::VmList& list, base::time_point now);

  heartbeat_result on_heartbeat(const std::string& name, std::uint64_t incarnation,
                                std::uint64_t sequence, const schema::Heartbeat& heartbeat,
                                base::time_point now);

  // To be called at each heartbeat interval. Returns whether this process was paused since the last
  // call; the silence of peers then counts from now, since their heartbeats were not read.
  bool on_tick(base::time_point now);

  // The configuration service replied.
  void on_service_contact(base::time_point now) { m_service_contact = now; }

  // Peers that get the heartbeat of this interval. Every peer gets one within `heartbeat_cycle()`.
  std::vector<std::string> heartbeat_targets(base::random_source& random);

  // Longest time between two heartbeats to the same peer when nothing is lost.
  base::duration heartbeat_cycle() const;

  // All other VMs of the list, by name.
  std::vector<peer_view> peers(base::time_point now) const;
  // The peer, or one with an empty name when the list does not have it.
  peer_view find(const std::string& name, base::time_point now) const;
  std::vector<std::string> suspected(base::time_point now) const;

  // Whether this VM has reached neither the service nor a majority of its list for the isolation
  // limit.
  bool is_isolated(base::time_point now) const;
  // Time since the last such contact.
  base::duration contact_age(base::time_point now) const;
  // Whether the list marks this VM as leaving, or does not contain it.
  bool is_leaving() const { return m_leaving; }

 private:
  struct peer {
    schema::VmEntry entry;
    bool has_heartbeat = false;
    bool reported_leaving = false;
    std::uint64_t incarnation = 0;
    std::uint64_t previous_incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t bundle_revision = 0;
    std::uint64_t list_version = 0;
    // Last heartbeat, or a later time at which the peer was listed or this process resumed.
    base::time_point silent_since;
  };

  peer_view view_of(const peer& item, base::time_point now) const;
  base::duration silence_limit() const;
  void refill_rotation(base::random_source& random);

  const std::string m_self;
  const std::string m_failure_domain;
  const peer_rules m_rules;
  std::map<std::string, peer> m_peers;
  std::vector<std::string> m_rotation;  // peers that still get a heartbeat in this cycle
  bool m_leaving = false;
  base::time_point m_last_tick;
  base::time_point m_service_contact;
  base::time_point m_majority_contact;
};

}  // namespace fuchsiaspring::membership
