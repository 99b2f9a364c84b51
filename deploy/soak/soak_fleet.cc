#include "deploy/soak/soak_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace fuchsiaspring::soak {
namespace {

using deploy_test::node_process;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t teams = 2;
constexpr std::size_t spare_keys_per_team = 1;

// A free port below those that the system gives to outgoing connections, so that it is still free
// when a process that listened on it is started again.
std::uint16_t free_server_port(boost::asio::io_context& io, base::random_source& random) {
  constexpr std::uint16_t first_port = 12'000;
  constexpr std::uint16_t ports = 18'000;
  while (true) {
    const auto port = static_cast<std::uint16_t>(first_port + random.uniform_below(ports));
    tcp::acceptor probe(io, tcp::v4());
    boost::system::error_code failed;
    probe.bind({boost::asio::ip::address_v4::loopback(), port}, failed);
    if (!failed) {
      return port;
    }
  }
}

}  // namespace

soak_fleet::soak_fleet(boost::asio::io_context& io, size of_fleet, base::random_source& random,
                       promises& seen)
    : m_io(io), m_store(io) {
  make_teams();
  for (std::size_t i = 0; i < of_fleet.replicas; ++i) {
    add_replica("i-" + std::to_string(i), random, seen);
  }
  publish_config();
  for (std::size_t i = 0; i < of_fleet.nodes; ++i) {
    add_node(i);
  }
}

void soak_fleet::make_teams() {
  for (std::size_t team = 0; team < teams; ++team) {
    for (std::size_t key = 0; key <= spare_keys_per_team; ++key) {
      m_keys.push_back({"team-" + std::to_string(team),
                        "key-" + std::to_string(team) + "-" + std::to_string(key)});
    }
  }
}

void soak_fleet::add_replica(const std::string& id, base::random_source& random, promises& seen) {
  fleet_replica made;
  made.replica = std::make_unique<soak_replica>(m_io, id, random, seen);
  made.replica->set_fault_share(usual_fault_share);
  made.relay = std::make_unique<fault_relay>(m_io, made.replica->endpoint());
  m_replicas.push_back(std::move(made));
  publish_replica(m_replicas.size() - 1, "ready");
}

void soak_fleet::publish_replica(std::size_t number, const std::string& state) {
  const fleet_replica& each = m_replicas[number];
  m_store.put("servers/" + each.replica->id(),
              {{"service", "app"},
               {"address", "127.0.0.1:" + std::to_string(each.relay->port())},
               {"zone", "a"},
               {"slots", 8},
               {"state", state},
               {"cold-remaining-ms", 0},
               {"born", 1}});
}

void soak_fleet::publish_config() {
  const auto route = [](const std::string& name, const std::string& kind) {
    return json{{"name", name},
                {"hostname", "h.example"},
                {"prefix", "/" + name + "/"},
                {"kind", kind},
                {"timeout-ms", route_timeout.count()},
                {"target-latency-ms", 200},
                {"priority", 1},
                {"service", "app"},
                {"max-attempts", 2},
                {"public", false},
                {"session-affinity", false},
                {"stream-resumption", kind == "streaming"}};
  };
  json tenants = json::array();
  for (std::size_t team = 0; team < teams; ++team) {
    const std::string name = "team-" + std::to_string(team);
    json keys = json::array();
    for (const team_key& each : m_keys) {
      if (each.team == name && each.is_granted) {
        keys.push_back(each.key);
      }
    }
    tenants.push_back({{"name", name}, {"api-keys", keys}});
  }
  m_store.put(
      "op/config",
      {{"version", ++m_version},
       {"routes", {route("safe", "safe"), route("once", "unsafe"), route("stream", "streaming")}},
       {"services", {{{"name", "app"}, {"health-check-path", "/health"}}}},
       {"tenants", tenants}});
}

void soak_fleet::add_node(std::size_t number) {
  fleet_node made;
  made.to_store = std::make_unique<fault_relay>(m_io, m_store.endpoint());
  const std::uint16_t peers = m_nodes.empty() ? free_server_port(m_io, m_port_random)
                                              : m_nodes.front().process->ports().peers;
  made.process = std::make_unique<node_process>(
      "vm-" + std::to_string(number),
      node_process::addresses{free_server_port(m_io, m_port_random),
                              free_server_port(m_io, m_port_random),
                              free_server_port(m_io, m_port_random), peers, made.to_store->port(),
                              "127.0.0." + std::to_string(number + 1)},
      static_cast<unsigned>(revocation_bound.count()));
  made.started = clock::now();
  m_nodes.push_back(std::move(made));
}

void soak_fleet::restart(std::size_t node) {
  constexpr milliseconds longest_end{1000};
  fleet_node& on = m_nodes[node];
  on.process->wait_for_end(longest_end);
  on.process->restart();
  on.started = clock::now();
}

bool soak_fleet::answers_ready(const fleet_node& on) {
  try {
    relay::testing::raw_caller caller(
        m_io, {boost::asio::ip::address_v4::loopback(), on.process->ports().readiness});
    caller.write("GET /readyz HTTP/1.1\r\n\r\n");
    constexpr milliseconds patience{300};
    relay::testing::run_until(
        m_io, [&] { return caller.received().ends_with("\n"); }, patience);
    return caller.received().starts_with("HTTP/1.1 200");
  } catch (const boost::system::system_error&) {
    return false;  // the process does not listen yet
  }
}

std::string soak_fleet::log_lines_on(const std::string& request_id) const {
  std::string lines;
  if (request_id.empty()) {
    return lines;
  }
  for (const fleet_node& node : m_nodes) {
    std::istringstream log(node.process->log());
    for (std::string line; std::getline(log, line);) {
      if (line.find("id=" + request_id + " ") != std::string::npos) {
        lines += line + "\n";
      }
    }
  }
  return lines;
}

std::string soak_fleet::last_log_lines() const {
  constexpr std::size_t last_bytes = 4000;
  std::string lines;
  for (const fleet_node& node : m_nodes) {
    const std::string log = node.process->log();
    lines += log.substr(log.size() - std::min(log.size(), last_bytes)) + "\n";
  }
  return lines;
}

}  // namespace fuchsiaspring::soak
