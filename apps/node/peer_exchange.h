// Heartbeat datagrams between the nodes: membership and the load of each node at the replicas.
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
#include <string>
#include <vector>

#include "apps/node/node_context.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/capability/speed_table.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/placement/types.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {

class peer_exchange {
 public:
  // What a datagram or its absence shows.
  struct handlers {
    // At every heartbeat interval: the set of nodes may have changed.
    std::function<void()> on_nodes = [] {};
    // For every datagram: the load of its sender may have changed.
    std::function<void()> on_remote_load = [] {};
    // For every datagram: the configuration that its sender holds.
    std::function<void(const std::string& peer, const node::config_claim& stated)> on_config_claim =
        [](const std::string&, const node::config_claim&) {};
    std::function<void(const std::string& peer)> on_peer_lost = [](const std::string&) {};
  };

  // Throws boost::system::system_error when the peers' address cannot be bound.
  explicit peer_exchange(node_context& context);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;
  peer_exchange(peer_exchange&&) = delete;
  peer_exchange& operator=(peer_exchange&&) = delete;

  // Sends and receives from now on.
  void start(handlers on_event);

  // Reports work that was dispatched to a replica, whose prompt has been read there, or that has
  // ended.
  void on_load_changed(const std::string& replica_id, const placement::request_profile& profile,
                       bool is_dispatch);

  // Sends what is new in this node's evidence about prompt parts.
  void on_evidence_changed();

  // Notifies the peers that this node is shutting down.
  void announce_leaving();

  const fleet::peer_directory& directory() const { return m_directory; }

 private:
  void arm_heartbeat();
  // Sends a heartbeat that names some of the live peers.
  void send_discovery(const std::vector<std::string>& addresses);
  enum class content { load, load_and_speeds };
  void send_to_group(content sent);
  // Sends the load of this node without its prompt placements.
  void send_load_totals(const std::vector<std::string>& addresses);
  schema::PeerHeartbeat make_heartbeat();
  void add_load(schema::PeerHeartbeat& message);
  // Adds speeds of replicas that this node measured, as many as `receivers` allow.
  void add_speeds(schema::PeerHeartbeat& message, capability::audience to, std::size_t receivers);
  void send(const schema::PeerHeartbeat& message, const std::vector<std::string>& addresses);
  void receive();
  void on_message(const schema::PeerHeartbeat& message);
  // Sends changes of the evidence to all nodes, where needed through nodes of the other domains.
  void send_evidence_changes();
  // Sends some of the evidence to one live peer, other parts each time, which makes up for lost
  // datagrams.
  void send_evidence_to_one_peer();
  void apply_speeds(const schema::PeerHeartbeat& message, base::time_point now);
  void apply_remote_load(const schema::PeerHeartbeat& message, base::time_point now);

  node_context& m_context;
  handlers m_on_event;
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
  bool m_is_evidence_flush_posted = false;
  bool m_is_leaving = false;
  std::vector<schema::PromptPlacement> m_placements;  // since the last datagram
};

}  // namespace fuchsiaspring::node_app
