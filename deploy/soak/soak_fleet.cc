#include "deploy/soak/soak_fleet.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "deploy/server_ports.h"

namespace fuchsiaspring::soak {
namespace {

using deploy_test::node_process;
using std::chrono::milliseconds;

constexpr std::size_t team_count = 2;
constexpr std::size_t extra_keys_per_team = 1;

std::string to_string(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

soak_fleet::soak_fleet(boost::asio::io_context& io, size of_fleet, base::random_source& random,
                       invariant_checker& checker)
    : m_io(io), m_store(io, m_servers_address) {
  make_teams();
  for (std::size_t i = 0; i < of_fleet.replicas; ++i) {
    add_replica("i-" + std::to_string(i), random, checker);
  }
  publish_config();
  choose_ports();
  for (std::size_t i = 0; i < of_fleet.nodes; ++i) {
    add_node(i);
  }
}

void soak_fleet::make_teams() {
  for (std::size_t team = 0; team < team_count; ++team) {
    for (std::size_t key = 0; key <= extra_keys_per_team; ++key) {
      m_keys.push_back({"team-" + std::to_string(team),
                        "key-" + std::to_string(team) + "-" + std::to_string(key)});
    }
  }
}

void soak_fleet::add_replica(const std::string& id, base::random_source& random,
                             invariant_checker& checker) {
  fleet_replica added;
  added.replica = std::make_unique<soak_replica>(m_io, m_servers_address, id, random, checker);
  added.replica->set_fault_rate(base_fault_rate);
  added.relay = std::make_unique<fault_relay>(m_io, added.replica->endpoint());
  m_replicas.push_back(std::move(added));
  publish_replica(m_replicas.size() - 1, "ready");
}

void soak_fleet::publish_replica(std::size_t number, const std::string& state) {
  fleet_replica& each = m_replicas[number];
  each.published_state = state;
  m_store.put("servers/" + each.replica->id(), {{"service", "app"},
                                                {"address", to_string(each.relay->endpoint())},
                                                {"zone", "a"},
                                                {"slots", 16},
                                                {"state", state},
                                                {"cold-remaining-ms", 0},
                                                {"born", each.replica->start_number()}});
}

void soak_fleet::remove_replica_entry(std::size_t number) {
  m_replicas[number].published_state.clear();
  m_store.remove("servers/" + m_replicas[number].replica->id());
}

void soak_fleet::take_return_step(return_step step) {
  m_return_step = step;
  switch (step) {
    case return_step::copied:
      m_store.keep_copy();
      return;
    case return_step::away:
      m_store.leave();
      return;
    case return_step::back:
      m_store.come_back();
      put_config();
      return;
    case return_step::rewritten:
      write_replicas_again();
      return;
    case return_step::expired:
      remove_lost_entries();
      return;
  }
}

void soak_fleet::write_replicas_again() {
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    if (!m_replicas[i].published_state.empty()) {
      publish_replica(i, m_replicas[i].published_state);
    }
  }
}

void soak_fleet::remove_lost_entries() {
  for (const std::string& key : m_store.keys()) {
    const bool is_running =
        std::any_of(m_replicas.begin(), m_replicas.end(), [&](const fleet_replica& each) {
          return !each.published_state.empty() && key == "servers/" + each.replica->id();
        });
    if (key.starts_with("servers/") && !is_running) {
      m_store.remove(key);
    }
  }
}

void soak_fleet::publish_config() {
  ++m_version;
  put_config();
}

void soak_fleet::put_config() {
  m_store.put("op/config", to_json(m_config, m_keys, m_version));
}

void soak_fleet::choose_ports() {
  const std::string first_address = m_range.address(1);
  deploy_test::server_ports free_ports(m_io, base::system_seed(),
                                       boost::asio::ip::make_address_v4(first_address));
  m_ports = {.caller_port = free_ports.next(),
             .readiness_port = free_ports.next(),
             .metrics_port = free_ports.next(),
             .peer_port = free_ports.next(),
             .seed_ip = first_address};
}

void soak_fleet::add_node(std::size_t number) {
  fleet_node added;
  added.to_store = std::make_unique<fault_relay>(m_io, m_store.endpoint());
  node_process::node_ports ports = m_ports;
  ports.config_service_ip = added.to_store->endpoint().address().to_string();
  ports.config_service_port = added.to_store->endpoint().port();
  ports.peer_ip = m_range.address(number + 1);
  ports.listen_ip = ports.peer_ip;
  added.process = std::make_unique<node_process>("vm-" + std::to_string(number), ports,
                                                 static_cast<unsigned>(revocation_bound.count()),
                                                 static_cast<unsigned>(grace_period.count()));
  added.started = clock::now();
  m_nodes.push_back(std::move(added));
}

void soak_fleet::restart(std::size_t node) {
  constexpr milliseconds exit_timeout{1000};
  fleet_node& restarted = m_nodes[node];
  restarted.process->wait_for_end(exit_timeout);
  restarted.process->restart();
  restarted.started = clock::now();
}

tcp::endpoint soak_fleet::caller_endpoint(std::size_t node) const {
  const node_process::node_ports& ports = m_nodes[node].process->ports();
  return {boost::asio::ip::make_address_v4(ports.listen_ip), ports.caller_port};
}

bool soak_fleet::is_ready(const fleet_node& node) {
  try {
    const node_process::node_ports& ports = node.process->ports();
    relay::testing::raw_caller caller(
        m_io, {boost::asio::ip::make_address_v4(ports.listen_ip), ports.readiness_port});
    caller.write("GET /readyz HTTP/1.1\r\n\r\n");
    constexpr milliseconds response_timeout{300};
    relay::testing::run_until(
        m_io, [&] { return caller.received().ends_with("\n"); }, response_timeout);
    return caller.received().starts_with("HTTP/1.1 200");
  } catch (const boost::system::system_error&) {
    return false;  // the process is not listening yet
  }
}

std::string soak_fleet::log_lines_on(const std::string& request_id) const {
  std::string log_lines;
  if (request_id.empty()) {
    return log_lines;
  }
  for (const fleet_node& node : m_nodes) {
    std::istringstream log(node.process->log());
    for (std::string line; std::getline(log, line);) {
      if (line.find("id=" + request_id + " ") != std::string::npos) {
        log_lines += line + "\n";
      }
    }
  }
  return log_lines;
}

std::string soak_fleet::last_log_lines() const {
  constexpr std::size_t max_bytes_per_node = 4000;
  std::string log_lines;
  for (const fleet_node& node : m_nodes) {
    const std::string log = node.process->log();
    if (const auto status = node.process->wait_for_end(milliseconds(1))) {
      log_lines += "ended with status " + std::to_string(*status) + ", last lines:\n";
    }
    log_lines += log.substr(log.size() - std::min(log.size(), max_bytes_per_node)) + "\n";
  }
  return log_lines;
}

}  // namespace fuchsiaspring::soak
