#include "deploy/soak/soak_driver.h"

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

// Shorter than the average fault, so that several faults overlap.
constexpr double mean_between_faults_s = 0.3;
constexpr milliseconds shortest_fault{200};
// Longer than the revocation bound, so that a suspended node resumes with an expired lease.
constexpr milliseconds longest_fault{4500};
// Time for the nodes to recover after the last fault.
constexpr milliseconds recovery_time{6000};
constexpr milliseconds tick{20};
// A tick later than this means that the test process itself was stalled.
constexpr milliseconds driver_stall_threshold{250};

class soak_driver {
 public:
  explicit soak_driver(const soak_options& options)
      : m_options(options),
        m_random(options.seed),
        m_checker(
            {.revocation = soak_fleet::revocation_bound, .timeout = soak_fleet::route_timeout}),
        m_fleet(m_io, {.nodes = options.nodes, .replicas = options.replicas}, m_random, m_checker) {
  }

  soak_result run() {
    if (!run_until_ready()) {
      return result_with_violation("every node becomes ready after its start");
    }
    start_callers();
    m_faults_end = clock::now() + m_options.length;
    schedule_deadline_check();
    schedule_fault();
    run_for(m_options.length + longest_fault);
    clear_faults();
    run_for(recovery_time);
    m_is_sending = false;
    run_for(soak_fleet::route_timeout + milliseconds(1000));
    m_checker.check_deadlines(clock::now());
    if (!run_until_ready()) {
      return result_with_violation("every node becomes ready again after the faults");
    }
    return make_result();
  }

 private:
  // --- callers

  void start_callers() {
    for (std::size_t i = 0; i < m_options.callers; ++i) {
      m_callers.push_back(std::make_unique<soak_caller>(
          m_io, m_checker,
          [this, node = i % m_fleet.nodes().size()] { return next_request(node); }));
      m_callers.back()->start();
    }
  }

  std::optional<soak_caller::planned_request> next_request(std::size_t usual_node) {
    if (!m_is_sending) {
      return std::nullopt;
    }
    constexpr double other_node_probability = 0.1;
    const std::size_t node = m_random.uniform() < other_node_probability
                                 ? m_random.uniform_below(m_fleet.nodes().size())
                                 : usual_node;
    const team_key& key = m_fleet.keys()[m_random.uniform_below(m_fleet.keys().size())];
    const auto kind = static_cast<request_kind>(m_random.uniform_below(3));
    return soak_caller::planned_request{{.id = "r" + std::to_string(++m_requests),
                                         .kind = kind,
                                         .key = key.key,
                                         .team = key.team,
                                         .node = node,
                                         .sent = {}},
                                        m_fleet.caller_endpoint(node)};
  }

  // --- faults

  void schedule_fault() {
    run_after(milliseconds(static_cast<int>(1000 * m_random.exponential(mean_between_faults_s))),
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
    const double fraction = m_random.uniform() * m_random.uniform();
    return shortest_fault + milliseconds(static_cast<int>(fraction * span));
  }

  void begin_fault() {
    const std::size_t node = m_random.uniform_below(m_fleet.nodes().size());
    const std::size_t replica = m_random.uniform_below(m_fleet.replicas().size());
    const milliseconds length = fault_length();
    constexpr std::uint64_t kinds = 11;
    switch (m_random.uniform_below(kinds)) {
      case 0:
        suspend(node, length);
        return;
      case 1:
        kill(node, length);
        return;
      case 2:
        stop(node);
        return;
      case 3:
        reload_settings(node);
        return;
      case 4:
        silence_store(length);
        return;
      case 5:
        inject_link_fault(*m_fleet.nodes()[node].to_store, "store link", node, length);
        return;
      case 6:
        inject_link_fault(*m_fleet.replicas()[replica].relay, "replica link", replica, length);
        return;
      case 7:
        raise_replica_fault_rate(replica, length);
        return;
      case 8:
        drain(replica, length);
        return;
      case 9:
        revoke_while_unreachable(node);
        return;
      default:
        revoke(length);
        return;
    }
  }

  void record_fault(const std::string& fault, std::size_t which, milliseconds length) {
    std::ostringstream text;
    const auto at = std::chrono::duration_cast<milliseconds>(clock::now() - m_begin);
    text << at.count() << " ms: " << fault << " " << which << " for " << length.count() << " ms";
    m_faults.push_back(text.str());
  }

  void reload_settings(std::size_t node) {
    // Before main() installs its handler, SIGHUP ends the process by default.
    constexpr milliseconds main_start_allowance{100};
    if (clock::now() - m_fleet.nodes()[node].started < main_start_allowance) {
      return;
    }
    record_fault("hup", node, milliseconds(0));
    m_fleet.nodes()[node].process->signal(SIGHUP);
  }

  void silence_store(milliseconds length) {
    record_fault("store silent", 0, length);
    m_fleet.store().set_silent(true);
    run_after(length, [this] { m_fleet.store().set_silent(false); });
  }

  void suspend(std::size_t node, milliseconds length) {
    fleet_node& target = m_fleet.nodes()[node];
    if (target.is_faulted) {
      return;
    }
    record_fault("suspend", node, length);
    mark_node_faulted(node);
    target.process->signal(SIGSTOP);
    run_after(length, [this, node] {
      m_fleet.nodes()[node].process->signal(SIGCONT);
      mark_node_recovered(node);
    });
  }

  void kill(std::size_t node, milliseconds length) {
    if (m_fleet.nodes()[node].is_faulted) {
      return;
    }
    record_fault("kill", node, length);
    mark_node_faulted(node);
    m_fleet.nodes()[node].process->signal(SIGKILL);
    run_after(length, [this, node] { restart(node); });
  }

  void stop(std::size_t node) {
    if (m_fleet.nodes()[node].is_faulted) {
      return;
    }
    record_fault("stop", node, soak_fleet::grace_period);
    m_checker.on_graceful_stop(node, clock::now());
    mark_node_faulted(node);
    m_fleet.nodes()[node].process->signal(SIGTERM);
    run_after(soak_fleet::grace_period, [this, node] {
      m_fleet.nodes()[node].process->signal(SIGKILL);
      restart(node);
    });
  }

  void restart(std::size_t node) {
    m_fleet.restart(node);
    mark_node_recovered(node);
  }

  void mark_node_faulted(std::size_t node) {
    m_fleet.nodes()[node].is_faulted = true;
    m_checker.waive_time_bounds(node, clock::time_point::max());
  }

  void mark_node_recovered(std::size_t node) {
    constexpr milliseconds recovery_margin{1000};
    m_fleet.nodes()[node].is_faulted = false;
    m_checker.waive_time_bounds(node, clock::now() + recovery_margin);
  }

  void inject_link_fault(fault_relay& link, const std::string& name, std::size_t which,
                         milliseconds length) {
    constexpr std::uint64_t kinds = 6;
    const auto kind = static_cast<link_fault::fault_kind>(m_random.uniform_below(kinds));
    record_fault(name + " fault " + std::to_string(static_cast<int>(kind)), which, length);
    if (kind == link_fault::fault_kind::none) {
      link.reset_all();
      return;
    }
    constexpr int longest_delay_ms = 700;
    link.set_fault({kind, milliseconds(m_random.uniform_below(longest_delay_ms))});
    run_after(length, [&link] { link.set_fault({}); });
  }

  void raise_replica_fault_rate(std::size_t replica, milliseconds length) {
    constexpr double raised_fault_rate = 0.3;
    record_fault("replica faults", replica, length);
    m_fleet.replicas()[replica].replica->set_fault_rate(raised_fault_rate);
    run_after(length, [this, replica] {
      m_fleet.replicas()[replica].replica->set_fault_rate(soak_fleet::base_fault_rate);
    });
  }

  void drain(std::size_t replica, milliseconds length) {
    record_fault("drain", replica, length);
    m_fleet.publish_replica(replica, "draining");
    run_after(length, [this, replica] { m_fleet.publish_replica(replica, "ready"); });
  }

  void revoke(milliseconds length) {
    const std::size_t number = m_random.uniform_below(m_fleet.keys().size());
    if (!m_fleet.keys()[number].is_granted) {
      return;
    }
    // Leaves time after the bound in which requests with the revoked key must be refused.
    const milliseconds duration = length + soak_fleet::revocation_bound;
    record_fault("revoke " + m_fleet.keys()[number].key, number, duration);
    m_fleet.keys()[number].is_granted = false;
    m_fleet.publish_config();
    m_checker.on_revoked(m_fleet.keys()[number].key, clock::now());
    run_after(duration, [this, number] { grant(number); });
  }

  // Revokes a key while one node is suspended or the store is silent, so that the change cannot
  // reach the node within the revocation bound.
  void revoke_while_unreachable(std::size_t node) {
    constexpr double suspend_probability = 0.5;
    if (m_random.uniform() < suspend_probability) {
      suspend(node, longest_fault);
    } else {
      silence_store(longest_fault);
    }
    constexpr milliseconds fault_lead_time{200};
    run_after(fault_lead_time, [this] { revoke(longest_fault); });
  }

  void grant(std::size_t number) {
    m_checker.on_granted(m_fleet.keys()[number].key);
    m_fleet.keys()[number].is_granted = true;
    m_fleet.publish_config();
  }

  void clear_faults() {
    m_fleet.store().set_silent(false);
    for (fleet_node& each : m_fleet.nodes()) {
      each.to_store->set_fault({});
    }
    for (fleet_replica& each : m_fleet.replicas()) {
      each.relay->set_fault({});
      each.replica->set_fault_rate(0);
    }
  }

  // --- time

  void run_after(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
  }

  void schedule_deadline_check() {
    const clock::time_point due = clock::now() + tick;
    run_after(tick, [this, due] {
      if (clock::now() - due > driver_stall_threshold) {
        m_checker.on_driver_stalled(clock::now());
        record_fault("driver stalled", 0,
                     std::chrono::duration_cast<milliseconds>(clock::now() - due));
      }
      m_checker.check_deadlines(clock::now());
      schedule_deadline_check();
    });
  }

  void run_for(milliseconds duration) {
    m_io.restart();
    m_io.run_for(duration);
  }

  // Runs the loop until every node is ready; false if one is not within `recovery_time`.
  bool run_until_ready() {
    for (const fleet_node& each : m_fleet.nodes()) {
      const bool is_ready = relay::testing::run_until(
          m_io, [&] { return m_fleet.is_ready(each); }, recovery_time);
      if (!is_ready) {
        return false;
      }
    }
    return true;
  }

  // --- results

  soak_result result_with_violation(const std::string& broken_invariant) {
    soak_result result = make_result();
    result.violations.push_back({broken_invariant, "", ""});
    result.log_lines += m_fleet.last_log_lines();
    return result;
  }

  soak_result make_result() const {
    soak_result result{.sent = m_checker.sent(),
                       .served = m_checker.served(),
                       .faults = m_faults,
                       .violations = m_checker.violations(),
                       .log_lines = {}};
    for (const violation& each : result.violations) {
      result.log_lines += m_fleet.log_lines_on(each.id);
    }
    return result;
  }

  soak_options m_options;
  base::random_source m_random;
  invariant_checker m_checker;
  boost::asio::io_context m_io;
  soak_fleet m_fleet;
  std::vector<std::unique_ptr<soak_caller>> m_callers;
  std::vector<std::string> m_faults;
  clock::time_point m_begin = clock::now();
  clock::time_point m_faults_end;
  std::uint64_t m_requests = 0;
  bool m_is_sending = true;
};

}  // namespace

soak_result run_soak(const soak_options& options) {
  return soak_driver(options).run();
}

}  // namespace fuchsiaspring::soak
