// The processes and stand-ins of a soak test: nodes that reach the store through fault relays,
// replicas behind fault relays, the store itself, and the API keys of the teams.
//
//   soak_fleet fleet(io, {.nodes = 3, .replicas = 4}, random, checker);
//   fleet.nodes()[0].process->signal(SIGSTOP);
//   fleet.keys()[1].is_granted = false;
//   fleet.publish_config();
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "deploy/loopback_range.h"
#include "deploy/node_process.h"
#include "deploy/soak/fault_relay.h"
#include "deploy/soak/fleet_config.h"
#include "deploy/soak/invariant_checker.h"
#include "deploy/soak/soak_replica.h"
#include "deploy/store_stand_in.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

struct fleet_node {
  std::unique_ptr<fault_relay> to_store;
  std::unique_ptr<deploy_test::node_process> process;
  bool is_faulted = false;    // suspended, killed or shutting down
  clock::time_point started;  // in the future while the process is suspended before its main()
};

struct fleet_replica {
  std::unique_ptr<soak_replica> replica;
  std::unique_ptr<fault_relay> relay;
  bool is_leaving = false;      // or has left and not started again yet
  std::string published_state;  // empty: no entry
};

class soak_fleet {
 public:
  static constexpr std::chrono::milliseconds revocation_bound{3000};
  static constexpr std::chrono::milliseconds grace_period{8000};
  // Share of requests that every replica fails outside of injected faults.
  static constexpr double base_fault_rate = 0.03;

  struct size {
    std::size_t nodes = 0;
    std::size_t replicas = 0;
  };

  soak_fleet(boost::asio::io_context& io, size of_fleet, base::random_source& random,
             invariant_checker& checker);

  std::vector<fleet_node>& nodes() { return m_nodes; }
  std::vector<fleet_replica>& replicas() { return m_replicas; }
  std::vector<team_key>& keys() { return m_keys; }
  fleet_config& config() { return m_config; }
  deploy_test::store_stand_in& store() { return m_store; }

  // Publishes config() with the granted keys as the next version.
  void publish_config();
  void publish_replica(std::size_t number, const std::string& state);
  void remove_replica_entry(std::size_t number);

  // The steps of a store that is lost and comes back from a copy: the copy is made, the store is
  // away, it is back and the operator writes again, running replicas write again, the other entries
  // of the copy expire.
  enum class return_step { copied, away, back, rewritten, expired };
  void take_return_step(return_step step);
  bool is_store_returning() const { return m_return_step != return_step::expired; }

  tcp::endpoint caller_endpoint(std::size_t node) const;

  // Waits up to 1 s for the process to exit, then starts it again.
  void restart(std::size_t node);

  // Whether GET /readyz on the node's readiness port returns 200.
  bool is_ready(const fleet_node& node);

  // Log lines of all nodes that name the request.
  std::string log_lines_on(const std::string& request_id) const;
  // The last 4000 bytes of each node's log, and the status of a node that has ended.
  std::string last_log_lines() const;

 private:
  static constexpr std::size_t servers_host = 200;

  void put_config();
  void write_replicas_again();
  void remove_lost_entries();
  void make_teams();
  void add_replica(const std::string& id, base::random_source& random, invariant_checker& checker);
  void choose_ports();
  void add_node(std::size_t number);

  boost::asio::io_context& m_io;
  // A separate generator: the choice of addresses must not affect the fault schedule of a seed.
  deploy_test::loopback_range m_range{m_io, base::system_seed()};
  // The store, the replicas and the relays before them. On the common loopback address their ports
  // would compete with those of outgoing connections that wait for their end (TIME_WAIT), some ten
  // thousand of them while several soak processes run.
  boost::asio::ip::address_v4 m_servers_address =
      boost::asio::ip::make_address_v4(m_range.address(servers_host));
  deploy_test::store_stand_in m_store;
  std::vector<team_key> m_keys;
  fleet_config m_config;
  std::vector<fleet_replica> m_replicas;
  std::vector<fleet_node> m_nodes;
  deploy_test::node_process::node_ports m_ports;  // the same for all nodes, on different addresses
  int m_version = 0;
  return_step m_return_step = return_step::expired;
};

}  // namespace fuchsiaspring::soak
