// Datagrams between the nodes: who is there and what work each has at the replicas.
//
// Every node sends a heartbeat to each peer at an interval, and at once when it dispatches a long
// prompt or such a prompt was read, so that several nodes don't place long prompts on the same
// replica. A lost datagram is repaired by the next heartbeat, which carries the whole load.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "apps/node/context.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/placement/types.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {

class peer_exchange {
 public:
  // Throws boost::system::system_error when the peers' address cannot be bound. `on_nodes` is
  // called at every heartbeat, since the set of nodes may have changed, and `on_remote_load` when
  // the load of other nodes has.
  peer_exchange(context& shared, std::function<void()> on_nodes,
                std::function<void()> on_remote_load);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;
  peer_exchange(peer_exchange&&) = delete;
  peer_exchange& operator=(peer_exchange&&) = delete;

  void start();

  // Work was dispatched to a replica, or has changed there.
  void on_load(const std::string& replica_id, const placement::work& work, bool is_dispatch);

  // Tells the peers that this node stops.
  void announce_leaving();

  const fleet::peer_directory& directory() const { return m_directory; }

 private:
  void arm_heartbeat();
  void greet(const std::vector<std::string>& addresses);
  void send_to_group();
  // Tells how much work this node has, without the prompts that it placed.
  void send_amounts(const std::vector<std::string>& addresses);
  schema::PeerHeartbeat make_heartbeat();
  void add_load(schema::PeerHeartbeat& message);
  void send(const schema::PeerHeartbeat& message, const std::vector<std::string>& addresses);
  void receive();
  void on_datagram(std::size_t size);
  void take_load(const schema::PeerHeartbeat& message, base::time_point now);

  context& m_context;
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
  std::vector<schema::PromptPlacement> m_placements;  // since the last datagram
};

}  // namespace fuchsiaspring::node_app
