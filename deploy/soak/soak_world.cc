#include "deploy/soak/soak_world.h"

#include <signal.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <sstream>
#include <utility>

#include "deploy/soak/soak_caller.h"
#include "deploy/soak/soak_fleet.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {
namespace {

using std::chrono::milliseconds;

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

class soak_world {
 public:
  explicit soak_world(const soak_options& options)
      : m_options(options),
        m_random(options.seed),
        m_seen({.revocation = soak_fleet::revocation_bound, .timeout = soak_fleet::route_timeout}),
        m_fleet(m_io, {.nodes = options.nodes, .replicas = options.replicas}, m_random, m_seen) {}

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
    run_for(soak_fleet::route_timeout + milliseconds(1000));
    m_seen.check_times(clock::now());
    if (!run_until_ready()) {
      return result_with("nodes serve again after the faults");
    }
    return make_result();
  }

 private:
  // --- callers

  void start_callers() {
    for (std::size_t i = 0; i < m_options.callers; ++i) {
      m_callers.push_back(std::make_unique<soak_caller>(
          m_io, m_seen, [this, node = i % m_fleet.nodes().size()] { return next_request(node); }));
      m_callers.back()->start();
    }
  }

  std::optional<soak_caller::plan> next_request(std::size_t usual_node) {
    if (!m_is_asking) {
      return std::nullopt;
    }
    constexpr double other_node_share = 0.1;
    const std::size_t node = m_random.uniform() < other_node_share
                                 ? m_random.uniform_below(m_fleet.nodes().size())
                                 : usual_node;
    const team_key& key = m_fleet.keys()[m_random.uniform_below(m_fleet.keys().size())];
    const auto kind = static_cast<request_kind>(m_random.uniform_below(3));
    return soak_caller::plan{{.id = "r" + std::to_string(++m_requests),
                              .kind = kind,
                              .key = key.key,
                              .team = key.team,
                              .node = node,
                              .sent = {}},
                             m_fleet.nodes()[node].process->ports().callers};
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
    const std::size_t node = m_random.uniform_below(m_fleet.nodes().size());
    const std::size_t replica = m_random.uniform_below(m_fleet.replicas().size());
    const milliseconds length = fault_length();
    constexpr std::uint64_t kinds = 11;
    switch (m_random.uniform_below(kinds)) {
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
        ask_to_read_settings(node);
        return;
      case 4:
        silence_store(length);
        return;
      case 5:
        harm(*m_fleet.nodes()[node].to_store, "store link", node, length);
        return;
      case 6:
        harm(*m_fleet.replicas()[replica].relay, "replica link", replica, length);
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

  void ask_to_read_settings(std::size_t node) {
    // Until its main function runs, a process cannot choose what the signal does.
    constexpr milliseconds time_to_main{100};
    if (clock::now() - m_fleet.nodes()[node].started < time_to_main) {
      return;
    }
    note("hup", node, milliseconds(0));
    m_fleet.nodes()[node].process->signal(SIGHUP);
  }

  void silence_store(milliseconds length) {
    note("store silent", 0, length);
    m_fleet.store().set_silent(true);
    after(length, [this] { m_fleet.store().set_silent(false); });
  }

  void freeze(std::size_t node, milliseconds length) {
    fleet_node& on = m_fleet.nodes()[node];
    if (on.is_harmed) {
      return;
    }
    note("freeze", node, length);
    harm_node(node);
    on.process->signal(SIGSTOP);
    after(length, [this, node] {
      m_fleet.nodes()[node].process->signal(SIGCONT);
      release_node(node);
    });
  }

  void kill(std::size_t node, milliseconds length) {
    if (m_fleet.nodes()[node].is_harmed) {
      return;
    }
    note("kill", node, length);
    harm_node(node);
    m_fleet.nodes()[node].process->signal(SIGKILL);
    after(length, [this, node] { restart(node); });
  }

  void stop(std::size_t node) {
    if (m_fleet.nodes()[node].is_harmed) {
      return;
    }
    note("stop", node, soak_fleet::grace_period);
    m_seen.on_planned_stop(node, clock::now());
    harm_node(node);
    m_fleet.nodes()[node].process->signal(SIGTERM);
    after(soak_fleet::grace_period, [this, node] {
      m_fleet.nodes()[node].process->signal(SIGKILL);
      restart(node);
    });
  }

  void restart(std::size_t node) {
    m_fleet.restart(node);
    release_node(node);
  }

  void harm_node(std::size_t node) {
    m_fleet.nodes()[node].is_harmed = true;
    m_seen.on_node_disturbed(node, clock::time_point::max());
  }

  void release_node(std::size_t node) {
    constexpr milliseconds time_to_serve{1000};
    m_fleet.nodes()[node].is_harmed = false;
    m_seen.on_node_disturbed(node, clock::now() + time_to_serve);
  }

  void harm(fault_relay& link, const std::string& name, std::size_t which, milliseconds length) {
    constexpr std::uint64_t kinds = 6;
    const auto kind = static_cast<link_fault::fault_kind>(m_random.uniform_below(kinds));
    note(name + " fault " + std::to_string(static_cast<int>(kind)), which, length);
    if (kind == link_fault::fault_kind::none) {
      link.reset_all();
      return;
    }
    constexpr int longest_delay_ms = 700;
    link.set_fault({kind, milliseconds(m_random.uniform_below(longest_delay_ms))});
    after(length, [&link] { link.set_fault({}); });
  }

  void misbehave(std::size_t replica, milliseconds length) {
    constexpr double faulty_share = 0.3;
    note("replica faults", replica, length);
    m_fleet.replicas()[replica].replica->set_fault_share(faulty_share);
    after(length, [this, replica] {
      m_fleet.replicas()[replica].replica->set_fault_share(soak_fleet::usual_fault_share);
    });
  }

  void drain(std::size_t replica, milliseconds length) {
    note("drain", replica, length);
    m_fleet.publish_replica(replica, "draining");
    after(length, [this, replica] { m_fleet.publish_replica(replica, "ready"); });
  }

  void revoke(milliseconds length) {
    const std::size_t number = m_random.uniform_below(m_fleet.keys().size());
    if (!m_fleet.keys()[number].is_granted) {
      return;
    }
    // Long enough for requests to come after the bound.
    const milliseconds time = length + soak_fleet::revocation_bound;
    note("revoke " + m_fleet.keys()[number].key, number, time);
    m_fleet.keys()[number].is_granted = false;
    m_fleet.publish_config();
    m_seen.on_revoked(m_fleet.keys()[number].key, clock::now());
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
    m_seen.on_granted(m_fleet.keys()[number].key);
    m_fleet.keys()[number].is_granted = true;
    m_fleet.publish_config();
  }

  void heal() {
    m_fleet.store().set_silent(false);
    for (fleet_node& each : m_fleet.nodes()) {
      each.to_store->set_fault({});
    }
    for (fleet_replica& each : m_fleet.replicas()) {
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
    for (const fleet_node& each : m_fleet.nodes()) {
      const bool is_ready = relay::testing::run_until(
          m_io, [&] { return m_fleet.answers_ready(each); }, recovery_time);
      if (!is_ready) {
        return false;
      }
    }
    return true;
  }

  // --- results

  soak_result result_with(const std::string& broken_promise) {
    soak_result made = make_result();
    made.violations.push_back({broken_promise, "", ""});
    made.log_lines += m_fleet.last_log_lines();
    return made;
  }

  soak_result make_result() const {
    soak_result made{.sent = m_seen.sent(),
                     .served = m_seen.served(),
                     .faults = m_faults,
                     .violations = m_seen.violations(),
                     .log_lines = {}};
    for (const violation& each : made.violations) {
      made.log_lines += m_fleet.log_lines_on(each.id);
    }
    return made;
  }

  soak_options m_options;
  base::random_source m_random;
  promises m_seen;
  boost::asio::io_context m_io;
  soak_fleet m_fleet;
  std::vector<std::unique_ptr<soak_caller>> m_callers;
  std::vector<std::string> m_faults;
  clock::time_point m_begin = clock::now();
  clock::time_point m_faults_end;
  std::uint64_t m_requests = 0;
  bool m_is_asking = true;
};

}  // namespace

soak_result run_soak(const soak_options& options) {
  return soak_world(options).run();
}

}  // namespace fuchsiaspring::soak
