#include "deploy/soak/soak_world.h"

#include <signal.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <sstream>
#include <utility>

#include "deploy/node_process.h"
#include "deploy/soak/fault_relay.h"
#include "deploy/soak/soak_caller.h"
#include "deploy/soak/soak_replica.h"
#include "deploy/store_stand_in.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {
namespace {

using deploy_test::node_process;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds route_timeout{1500};
constexpr milliseconds revocation_bound{3000};
constexpr milliseconds grace_period{3000};
// Faults begin this far apart on average, so that several overlap.
constexpr double mean_between_faults_s = 0.3;
constexpr milliseconds shortest_fault{200};
// Longer than the revocation bound: a suspended node wakes up with an outdated proof.
constexpr milliseconds longest_fault{4500};
// Time in which a node recovers once nothing harms it any more.
constexpr milliseconds recovery_time{6000};
// The driver's own loop is held up when a tick comes later than this.
constexpr milliseconds tick{20};
constexpr milliseconds held_up_after{250};
// Share of requests at which every replica misbehaves all the time.
constexpr double usual_fault_share = 0.03;
constexpr std::size_t teams = 2;
constexpr std::size_t spare_keys_per_team = 1;

// A free port below those that the system gives to outgoing connections, so that it is still free
// when a process that listened on it is started again.
std::uint16_t free_server_port(boost::asio::io_context& io, base::random_source& random) {
  constexpr std::uint16_t first_port = 12'000;
  constexpr std::uint16_t ports = 18'000;
  while (true) {
    const auto port = static_cast<std::uint16_t>(first_port + random.below(ports));
    tcp::acceptor probe(io, tcp::v4());
    boost::system::error_code failed;
    probe.bind({boost::asio::ip::address_v4::loopback(), port}, failed);
    if (!failed) {
      return port;
    }
  }
}

struct fleet_node {
  std::unique_ptr<fault_relay> to_store;
  std::unique_ptr<node_process> process;
  bool is_harmed = false;  // stopped, killed or about to end
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

class soak_world {
 public:
  explicit soak_world(const soak_options& options)
      : m_options(options),
        m_random(options.seed),
        m_seen({.revocation = revocation_bound, .timeout = route_timeout}),
        m_store(m_io) {
    make_teams();
    for (std::size_t i = 0; i < options.replicas; ++i) {
      add_replica("i-" + std::to_string(i));
    }
    publish_config();
    for (std::size_t i = 0; i < options.nodes; ++i) {
      add_node(i);
    }
  }

  soak_result run() {
    if (!run_until_ready()) {
      return result_with("nodes serve after their start");
    }
    start_callers();
    m_faults_end = clock::now() + m_options.length;
    watch_times();
    schedule_fault();
    run_for(m_options.length + longest_fault);
    heal();
    run_for(recovery_time);
    m_is_asking = false;
    run_for(route_timeout + milliseconds(1000));
    m_seen.check_times(clock::now());
    if (!run_until_ready()) {
      return result_with("nodes serve again after the faults");
    }
    return make_result();
  }

 private:
  // --- the fleet

  void make_teams() {
    for (std::size_t team = 0; team < teams; ++team) {
      for (std::size_t key = 0; key <= spare_keys_per_team; ++key) {
        m_keys.push_back({"team-" + std::to_string(team),
                          "key-" + std::to_string(team) + "-" + std::to_string(key)});
      }
    }
  }

  void add_replica(const std::string& id) {
    fleet_replica made;
    made.replica = std::make_unique<soak_replica>(m_io, id, m_random, m_seen);
    made.replica->set_fault_share(usual_fault_share);
    made.relay = std::make_unique<fault_relay>(m_io, made.replica->endpoint());
    m_replicas.push_back(std::move(made));
    publish_replica(m_replicas.size() - 1, "ready");
  }

  void publish_replica(std::size_t number, const std::string& state) {
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

  void publish_config() {
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

  void add_node(std::size_t number) {
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
    m_nodes.push_back(std::move(made));
  }

  // --- callers

  void start_callers() {
    for (std::size_t i = 0; i < m_options.callers; ++i) {
      m_callers.push_back(std::make_unique<soak_caller>(
          m_io, m_seen, [this, node = i % m_nodes.size()] { return next_request(node); }));
      m_callers.back()->start();
    }
  }

  std::optional<soak_caller::plan> next_request(std::size_t usual_node) {
    if (!m_is_asking) {
      return std::nullopt;
    }
    constexpr double other_node_share = 0.1;
    const std::size_t node =
        m_random.uniform() < other_node_share ? m_random.below(m_nodes.size()) : usual_node;
    const team_key& key = m_keys[m_random.below(m_keys.size())];
    const auto kind = static_cast<request_kind>(m_random.below(3));
    return soak_caller::plan{{.id = "r" + std::to_string(++m_requests),
                              .kind = kind,
                              .key = key.key,
                              .team = key.team,
                              .node = node,
                              .sent = {}},
                             m_nodes[node].process->ports().callers};
  }

  // --- faults

  void schedule_fault() {
    after(milliseconds(static_cast<int>(1000 * m_random.exponential(mean_between_faults_s))),
          [this] {
            if (clock::now() >= m_faults_end) {
              return;
            }
            begin_fault();
            schedule_fault();
          });
  }

  milliseconds fault_length() {
    const double span = static_cast<double>((longest_fault - shortest_fault).count());
    // Short faults are more frequent than long ones.
    const double part = m_random.uniform() * m_random.uniform();
    return shortest_fault + milliseconds(static_cast<int>(part * span));
  }

  void begin_fault() {
    const std::size_t node = m_random.below(m_nodes.size());
    const std::size_t replica = m_random.below(m_replicas.size());
    const milliseconds length = fault_length();
    constexpr std::uint64_t kinds = 11;
    switch (m_random.below(kinds)) {
      case 0:
        freeze(node, length);
        return;
      case 1:
        kill(node, length);
        return;
      case 2:
        stop(node);
        return;
      case 3:
        note("hup", node, milliseconds(0));
        m_nodes[node].process->signal(SIGHUP);
        return;
      case 4:
        silence_store(length);
        return;
      case 5:
        harm(*m_nodes[node].to_store, "store link", node, length);
        return;
      case 6:
        harm(*m_replicas[replica].relay, "replica link", replica, length);
        return;
      case 7:
        misbehave(replica, length);
        return;
      case 8:
        drain(replica, length);
        return;
      case 9:
        revoke_unseen(node);
        return;
      default:
        revoke(length);
        return;
    }
  }

  void note(const std::string& fault, std::size_t which, milliseconds length) {
    std::ostringstream text;
    const auto at = std::chrono::duration_cast<milliseconds>(clock::now() - m_begin);
    text << at.count() << " ms: " << fault << " " << which << " for " << length.count() << " ms";
    m_faults.push_back(text.str());
  }

  void silence_store(milliseconds length) {
    note("store silent", 0, length);
    m_store.set_silent(true);
    after(length, [this] { m_store.set_silent(false); });
  }

  void freeze(std::size_t node, milliseconds length) {
    fleet_node& on = m_nodes[node];
    if (on.is_harmed) {
      return;
    }
    note("freeze", node, length);
    harm_node(node);
    on.process->signal(SIGSTOP);
    after(length, [this, node] {
      m_nodes[node].process->signal(SIGCONT);
      release_node(node);
    });
  }

  void kill(std::size_t node, milliseconds length) {
    if (m_nodes[node].is_harmed) {
      return;
    }
    note("kill", node, length);
    harm_node(node);
    m_nodes[node].process->signal(SIGKILL);
    after(length, [this, node] { restart(node); });
  }

  void stop(std::size_t node) {
    if (m_nodes[node].is_harmed) {
      return;
    }
    note("stop", node, grace_period);
    m_seen.on_planned_stop(node, clock::now());
    harm_node(node);
    m_nodes[node].process->signal(SIGTERM);
    after(grace_period, [this, node] {
      m_nodes[node].process->signal(SIGKILL);
      restart(node);
    });
  }

  void restart(std::size_t node) {
    m_nodes[node].process->wait_for_end(milliseconds(1000));
    m_nodes[node].process->restart();
    release_node(node);
  }

  void harm_node(std::size_t node) {
    m_nodes[node].is_harmed = true;
    m_seen.on_node_disturbed(node, clock::time_point::max());
  }

  void release_node(std::size_t node) {
    constexpr milliseconds time_to_serve{1000};
    m_nodes[node].is_harmed = false;
    m_seen.on_node_disturbed(node, clock::now() + time_to_serve);
  }

  void harm(fault_relay& link, const std::string& name, std::size_t which, milliseconds length) {
    constexpr std::uint64_t kinds = 6;
    const auto kind = static_cast<link_fault::fault_kind>(m_random.below(kinds));
    note(name + " fault " + std::to_string(static_cast<int>(kind)), which, length);
    if (kind == link_fault::fault_kind::none) {
      link.reset_all();
      return;
    }
    constexpr int longest_delay_ms = 700;
    link.set_fault({kind, milliseconds(m_random.below(longest_delay_ms))});
    after(length, [&link] { link.set_fault({}); });
  }

  void misbehave(std::size_t replica, milliseconds length) {
    constexpr double faulty_share = 0.3;
    note("replica faults", replica, length);
    m_replicas[replica].replica->set_fault_share(faulty_share);
    after(length,
          [this, replica] { m_replicas[replica].replica->set_fault_share(usual_fault_share); });
  }

  void drain(std::size_t replica, milliseconds length) {
    note("drain", replica, length);
    publish_replica(replica, "draining");
    after(length, [this, replica] { publish_replica(replica, "ready"); });
  }

  void revoke(milliseconds length) {
    const std::size_t number = m_random.below(m_keys.size());
    if (!m_keys[number].is_granted) {
      return;
    }
    // Long enough for requests to come after the bound.
    const milliseconds time = length + revocation_bound;
    note("revoke " + m_keys[number].key, number, time);
    m_keys[number].is_granted = false;
    publish_config();
    m_seen.on_revoked(m_keys[number].key, clock::now());
    after(time, [this, number] { grant(number); });
  }

  // A key is revoked while no node, or one that is suspended, can learn of it in time.
  void revoke_unseen(std::size_t node) {
    constexpr double suspended_share = 0.5;
    if (m_random.uniform() < suspended_share) {
      freeze(node, longest_fault);
    } else {
      silence_store(longest_fault);
    }
    constexpr milliseconds until_unseen{200};
    after(until_unseen, [this] { revoke(longest_fault); });
  }

  void grant(std::size_t number) {
    m_seen.on_granted(m_keys[number].key);
    m_keys[number].is_granted = true;
    publish_config();
  }

  void heal() {
    m_store.set_silent(false);
    for (fleet_node& each : m_nodes) {
      each.to_store->set_fault({});
    }
    for (fleet_replica& each : m_replicas) {
      each.relay->set_fault({});
      each.replica->set_fault_share(0);
    }
  }

  // --- time

  void after(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
  }

  void watch_times() {
    const clock::time_point due = clock::now() + tick;
    after(tick, [this, due] {
      if (clock::now() - due > held_up_after) {
        m_seen.on_held_up(clock::now());
        note("driver held up", 0, std::chrono::duration_cast<milliseconds>(clock::now() - due));
      }
      m_seen.check_times(clock::now());
      watch_times();
    });
  }

  void run_for(milliseconds time) {
    m_io.restart();
    m_io.run_for(time);
  }

  // Whether each node answers on its operator address that it is ready.
  bool run_until_ready() {
    for (const fleet_node& each : m_nodes) {
      const bool is_ready = relay::testing::run_until(
          m_io, [&] { return answers_ready(each); }, recovery_time);
      if (!is_ready) {
        return false;
      }
    }
    return true;
  }

  bool answers_ready(const fleet_node& on) {
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

  // --- results

  soak_result result_with(const std::string& broken_promise) {
    soak_result made = make_result();
    made.violations.push_back({broken_promise, "", ""});
    constexpr std::size_t last_bytes = 4000;
    for (const fleet_node& node : m_nodes) {
      const std::string log = node.process->log();
      made.log_lines += log.substr(log.size() - std::min(log.size(), last_bytes)) + "\n";
    }
    return made;
  }

  soak_result make_result() const {
    soak_result made{.sent = m_seen.sent(),
                     .served = m_seen.served(),
                     .faults = m_faults,
                     .violations = m_seen.violations(),
                     .log_lines = {}};
    for (const violation& each : made.violations) {
      made.log_lines += log_lines_on(each.id);
    }
    return made;
  }

  std::string log_lines_on(const std::string& id) const {
    std::string lines;
    if (id.empty()) {
      return lines;
    }
    for (const fleet_node& node : m_nodes) {
      std::istringstream log(node.process->log());
      for (std::string line; std::getline(log, line);) {
        if (line.find("id=" + id + " ") != std::string::npos) {
          lines += line + "\n";
        }
      }
    }
    return lines;
  }

  soak_options m_options;
  base::random_source m_random;
  // Ports are no part of the schedule that a seed stands for.
  base::random_source m_port_random{base::system_seed()};
  promises m_seen;
  boost::asio::io_context m_io;
  deploy_test::store_stand_in m_store;
  std::vector<team_key> m_keys;
  std::vector<fleet_replica> m_replicas;
  std::vector<fleet_node> m_nodes;
  std::vector<std::unique_ptr<soak_caller>> m_callers;
  std::vector<std::string> m_faults;
  clock::time_point m_begin = clock::now();
  clock::time_point m_faults_end;
  std::uint64_t m_requests = 0;
  int m_version = 0;
  bool m_is_asking = true;
};

}  // namespace

soak_result run_soak(const soak_options& options) {
  return soak_world(options).run();
}

}  // namespace fuchsiaspring::soak
