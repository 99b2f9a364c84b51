// Heartbeat datagrams between the nodes: membership, the load of each node at the replicas, and
// where it placed long prompts.
//
// Load pattern that it handles: many nodes in several failure domains whose callers use the same
// prompt prefixes. Every node must know where a prefix was placed last, while bytes between domains
// are dear: a heartbeat crosses to each other domain once and is passed on there, with the next
// heartbeat of the node that received it, so that datagrams per node do not grow with the fleet.
//
// Every node sends a heartbeat to its peers at an interval, and immediately when it dispatches a
// long prompt or a replica has read one, so that several nodes don't place long prompts on the same
// replica. The next heartbeat makes up for a lost datagram, since it carries the complete load.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "apps/node/node_context.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/placement/types.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {

class peer_exchange {
 public:
  // Throws boost::system::system_error when the peers' address cannot be bound. `on_nodes` is
  // called at every heartbeat interval, because the set of nodes may have changed, and
  // `on_remote_load` for every datagram of a peer, because its load may have changed.
  peer_exchange(node_context& context, std::function<void()> on_nodes,
                std::function<void()> on_remote_load);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;
  peer_exchange(peer_exchange&&) = delete;
  peer_exchange& operator=(peer_exchange&&) = delete;

  void start();

  // Reports work that was dispatched to a replica, whose prompt has been read there, or that has
  // ended.
  void on_load_changed(const std::string& replica_id, const placement::request_profile& profile,
                       bool is_dispatch);

  // Notifies the peers that this node is shutting down.
  void announce_leaving();

  const fleet::peer_directory& directory() const { return m_directory; }

 private:
  void arm_heartbeat();
  // Sends a heartbeat that names some of the live peers.
  void send_discovery(const std::vector<std::string>& addresses);
  void send_to_group();
  // Reports to the other failure domains if there is anything new, or nothing was sent for long.
  void send_to_relays(base::time_point now);
  schema::PeerHeartbeat make_heartbeat();
  void add_load(schema::PeerHeartbeat& message);
  void send(const schema::PeerHeartbeat& message, const std::vector<std::string>& addresses);
  void receive();
  void on_datagram(std::size_t size);
  // Returns whether the heartbeat is of a peer that is new, live again or restarted.
  bool on_heartbeat(const schema::PeerHeartbeat& message, base::time_point now);
  bool is_newest(const schema::PeerHeartbeat& message);
  void apply_remote_load(const schema::PeerHeartbeat& message, base::time_point now);

  node_context& m_context;
  std::function<void()> m_on_nodes;
  std::function<void()> m_on_remote_load;
  fleet::peer_directory m_directory;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_sender;
  boost::asio::steady_timer m_heartbeat_timer;
  std::array<char, 8192> m_buffer{};
  base::random_source m_random;
  std::uint64_t m_incarnation;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_heartbeats = 0;
  bool m_is_flush_posted = false;
  bool m_is_leaving = false;
  std::vector<schema::PromptPlacement> m_placements;  // since the last datagram to the group
  std::vector<schema::PromptPlacement> m_relayed_placements;  // since the last one to relays
  std::vector<schema::PeerHeartbeat> m_forwarded;             // to be passed on to the group
  base::time_point m_relayed_at{};
  bool m_has_new_placement = false;  // since the last datagram to relays
  bool m_had_load = false;           // in the last datagram to relays

  struct last_heartbeat {
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
  };
  std::map<std::string, last_heartbeat, std::less<>> m_last_heartbeats;  // by VM
};

}  // namespace fuchsiaspring::node_app
