// The processes and stand-ins of a soak: nodes with harmed links to their store, replicas behind
// relays, the store, and the teams' keys.
//
//   soak_fleet fleet(io, {.nodes = 3, .replicas = 4}, random, seen);
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

#include "deploy/node_process.h"
#include "deploy/soak/fault_relay.h"
#include "deploy/soak/promises.h"
#include "deploy/soak/soak_replica.h"
#include "deploy/store_stand_in.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

struct fleet_node {
  std::unique_ptr<fault_relay> to_store;
  std::unique_ptr<deploy_test::node_process> process;
  bool is_harmed = false;  // stopped, killed or about to end
  clock::time_point started;
};

struct fleet_replica {
  std::unique_ptr<soak_replica> replica;
  std::unique_ptr<fault_relay> relay;
};

struct team_key {
  std::string team;
  std::string key;
  bool is_granted = true;
};

class soak_fleet {
 public:
  static constexpr std::chrono::milliseconds route_timeout{1500};
  static constexpr std::chrono::milliseconds revocation_bound{3000};
  static constexpr std::chrono::milliseconds grace_period{3000};
  // Share of requests at which every replica misbehaves all the time.
  static constexpr double usual_fault_share = 0.03;

  struct size {
    std::size_t nodes = 0;
    std::size_t replicas = 0;
  };

  soak_fleet(boost::asio::io_context& io, size of_fleet, base::random_source& random,
             promises& seen);

  std::vector<fleet_node>& nodes() { return m_nodes; }
  std::vector<fleet_replica>& replicas() { return m_replicas; }
  std::vector<team_key>& keys() { return m_keys; }
  deploy_test::store_stand_in& store() { return m_store; }

  void publish_config();
  void publish_replica(std::size_t number, const std::string& state);

  // Starts a process again that has ended or is about to.
  void restart(std::size_t node);

  // Whether the node answers on its operator address that it is ready.
  bool answers_ready(const fleet_node& on);

  // Log lines of all nodes on a request.
  std::string log_lines_on(const std::string& request_id) const;
  // The ends of all nodes' logs.
  std::string last_log_lines() const;

 private:
  void make_teams();
  void add_replica(const std::string& id, base::random_source& random, promises& seen);
  void add_node(std::size_t number);

  boost::asio::io_context& m_io;
  deploy_test::store_stand_in m_store;
  // Ports are no part of the schedule that a seed stands for.
  base::random_source m_port_random{base::system_seed()};
  std::vector<team_key> m_keys;
  std::vector<fleet_replica> m_replicas;
  std::vector<fleet_node> m_nodes;
  int m_version = 0;
};

}  // namespace fuchsiaspring::soak
