// Discovery of the other nodes from a few seed addresses, and their liveness.
//
//   fleet::peer_directory peers({.vm = "vm-1", .address = "10.0.0.1:7200"}, seeds);
//   peers.on_heartbeat({.vm = "vm-2", .address = "10.0.0.2:7200", .incarnation = 7}, now);
//   for (const std::string& address : peers.group_addresses(now)) { send_load(address); }
//   for (const std::string& address : peers.discovery_addresses(now, random)) {
//     send_discovery(address);
//   }
//
// Two sets are distinguished. Live peers sent a heartbeat a short time ago and receive messages.
// Known nodes sent one, or were listed by another node, within a longer time. A limit is divided by
// the number of known nodes, since a partitioned node may still use its share.
//
// In a small fleet every node reports all of its work to all others. In a larger one it reports
// each long prompt to its failure domain (the group) and only its load to the other nodes, at a
// longer interval. In a still larger one it only sends discovery heartbeats to a few of the other
// nodes at each interval, so that messages per node grow with the size of a domain and not of the
// fleet. A discovery heartbeat lists some of the live peers of its sender.
//
// Not thread-safe; one task owns the directory. Time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::fleet {

struct peer_info {
  std::string vm;
  std::string address;            // ip:port
  std::uint64_t incarnation = 0;  // changes with each start of the process
  std::string failure_domain;

  friend bool operator==(const peer_info&, const peer_info&) = default;
};

// What the nodes report to each other of their work.
enum class work_sharing {
  full,                 // all nodes report all work to all others immediately
  load_outside_domain,  // all work inside a failure domain, the load to the others at an interval
  domain_only,          // all work inside a failure domain, nothing to the others
};

class peer_directory {
 public:
  // `seeds` may contain this node's own address and addresses where nothing runs.
  peer_directory(peer_info self, std::vector<std::string> seeds);

  // A message from `peer` itself. Returns whether the peer is new, live again or restarted.
  bool on_heartbeat(const peer_info& peer, base::time_point now);

  // Another node listed this peer. It is contacted, and counts as live after its first heartbeat.
  void on_peer_listed(const std::string& vm, const std::string& address, base::time_point now);

  // The node announced that it stops.
  void on_leaving(const std::string& vm, base::time_point now);

  // Returns how much work information is shared, which depends on the number of known nodes.
  work_sharing sharing_level(base::time_point now) const;

  // Live peers to which this node reports its work immediately.
  std::vector<std::string> group_addresses(base::time_point now) const;

  // Live peers to which this node reports its load at an interval.
  std::vector<std::string> other_domain_addresses(base::time_point now) const;

  // Addresses to send discovery heartbeats to: peers that are not live and were listed or last
  // heard from a short time ago, one of those that were lost or stopped longer ago, seeds that are
  // not the address of a live peer, and, if work is shared inside domains only, a few live peers of
  // other domains. A node that starts again hears from its former peers in this way, although its
  // seeds may be down.
  std::vector<std::string> discovery_addresses(base::time_point now,
                                               base::random_source& random) const;

  // At most `per_domain` live peers of each other failure domain, chosen at random.
  std::vector<std::string> forwarder_addresses(std::size_t per_domain, base::time_point now,
                                               base::random_source& random) const;

  std::vector<peer_info> live(base::time_point now) const;

  const peer_info& self() const { return m_self; }

  // Whether there are seeds besides this node.
  bool has_seeds() const;

  // Number of nodes that may use a share of a limit, this one included.
  std::size_t known_count(base::time_point now) const;

  // Names of all nodes that may use a share of a limit, this one included, in order.
  std::vector<std::string> known_nodes(base::time_point now) const;

  // Forgets nodes that were lost or stopped minutes ago. Returns the names of the peers that ceased
  // to be live since the last call.
  std::vector<std::string> expire(base::time_point now);

 private:
  struct peer_record {
    peer_info info;
    base::time_point last_heartbeat{};  // zero after the node announced that it stops
    base::time_point last_message{};    // heartbeat or announcement
    // When another node listed this peer. Not renewed while it is recent enough to count as known.
    base::time_point listed_at{};
    bool was_live = false;
    bool has_heartbeat = false;
  };

  bool is_live(const peer_record& peer, base::time_point now) const;
  bool is_in_group(const peer_record& peer, base::time_point now) const;
  static bool is_known(const peer_record& peer, base::time_point now);
  static bool is_lost(const peer_record& peer, base::time_point now);
  std::size_t fleet_size() const;

  peer_info m_self;
  std::vector<std::string> m_seeds;
  std::map<std::string, peer_record> m_records;  // by VM
  std::size_t m_lost_records = 0;  // of nodes that were not known at the last expire()
};

}  // namespace fuchsiaspring::fleet
