// The nodes that one node knows of, found from a few seed addresses.
//
//   fleet::peer_directory peers({.vm = "vm-1", .address = "10.0.0.1:7200"}, seeds);
//   peers.on_heartbeat({.vm = "vm-2", .address = "10.0.0.2:7200", .incarnation = 7}, now);
//   for (const std::string& address : peers.group_addresses(now)) { send_load(address); }
//   for (const std::string& address : peers.addresses_to_greet(now, random)) { greet(address); }
//
// Two sets are kept apart. Live peers were heard a short time ago; messages go to them. Known nodes
// were heard within a longer time and are counted where a limit is divided: a node that is cut off
// may still be using its share, so the widest set that is known decides.
//
// In a small fleet every node shares all that it does with all others. In a larger one it tells the
// nodes of its failure domain of each long prompt, and all others how much work it has, at a longer
// interval. In a still larger one the others are only greeted now and then, so that messages per
// node grow with the size of a domain and not of the fleet.
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

// What the nodes tell each other of their work.
enum class work_sharing {
  everything,   // all to all, at once
  amounts,      // inside a failure domain at once, and to the others the amounts at an interval
  domain_only,  // inside a failure domain only
};

class peer_directory {
 public:
  // `seeds` may contain this node's own address and addresses where nothing runs.
  peer_directory(peer_info self, std::vector<std::string> seeds);

  // A message from the node itself. Returns whether it is new or was started anew.
  bool on_heartbeat(const peer_info& peer, base::time_point now);

  // Another node names this one. It is contacted, and counts as live once it answers.
  void on_mention(const std::string& vm, const std::string& address, base::time_point now);

  // The node says that it stops.
  void on_leaving(const std::string& vm);

  // By the number of known nodes.
  work_sharing sharing(base::time_point now) const;

  // Live peers that are told of this node's work at once.
  std::vector<std::string> group_addresses(base::time_point now) const;

  // Live peers that are told the amount of this node's work at an interval.
  std::vector<std::string> distant_addresses(base::time_point now) const;

  // Nodes to be greeted beside the group: those that were mentioned and have not answered yet,
  // seeds that no live peer answers, and a few of the peers outside the group.
  std::vector<std::string> addresses_to_greet(base::time_point now,
                                              base::random_source& random) const;

  std::vector<peer_info> live(base::time_point now) const;

  const peer_info& self() const { return m_self; }

  // Number of nodes that may use a share of a limit, this one included.
  std::size_t known_count(base::time_point now) const;

  // Names of all nodes that may use a share of a limit, this one included, in order.
  std::vector<std::string> known_nodes(base::time_point now) const;

  // Removes nodes that were not heard for the longer time. Returns the names of live peers that
  // have fallen silent since the last call.
  std::vector<std::string> expire(base::time_point now);

 private:
  struct record {
    peer_info info;
    base::time_point heard{};      // from the node itself
    base::time_point mentioned{};  // first mention that was not answered
    bool was_live = false;
    bool is_heard = false;
  };

  bool is_live(const record& peer, base::time_point now) const;
  bool is_in_group(const record& peer, base::time_point now) const;

  peer_info m_self;
  std::vector<std::string> m_seeds;
  std::map<std::string, record> m_records;  // by VM
};

}  // namespace fuchsiaspring::fleet
