#include "deploy/soak/soak_driver.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "deploy/soak/config_changes.h"
#include "deploy/soak/node_faults.h"
#include "deploy/soak/replica_faults.h"
#include "deploy/soak/soak_caller.h"
#include "deploy/soak/soak_fleet.h"
#include "deploy/soak/soak_schedule.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {
namespace {

using std::chrono::milliseconds;

// Shorter than the average fault, so that several faults overlap.
constexpr double mean_between_faults_s = 0.3;
// Time for the nodes to recover after the last fault.
constexpr milliseconds recovery_time{6000};
constexpr milliseconds tick{20};
constexpr milliseconds progress_interval{5000};
// A tick later than this means that the test process itself was stalled.
constexpr milliseconds driver_stall_threshold{250};

// Each part of a run has a generator of its own, so that its choices do not depend on how often the
// others are asked.
enum class random_use : std::uint64_t { faults, callers, replicas, config_changes, store };

base::random_source make_random(std::uint64_t seed, random_use use) {
  constexpr int use_shift = 60;
  return base::random_source(seed ^ (static_cast<std::uint64_t>(use) << use_shift));
}

class soak_driver {
 public:
  soak_driver(const soak_options& options, soak_observer observer)
      : m_options(options),
        m_observer(std::move(observer)),
        m_fault_random(make_random(options.seed, random_use::faults)),
        m_caller_random(make_random(options.seed, random_use::callers)),
        m_replica_random(make_random(options.seed, random_use::replicas)),
        m_checker({.revocation = soak_fleet::revocation_bound,
                   .response_timeout = response_timeouts,
                   .stream_timeout = stream_timeouts}),
        m_schedule(m_io),
        m_fleet(m_io, {.nodes = options.nodes, .replicas = options.replicas}, m_replica_random,
                m_checker),
        m_node_faults(m_fleet, m_checker, m_schedule),
        m_replica_faults(m_fleet, m_checker, m_schedule),
        m_config_changes(m_fleet, m_checker, m_schedule,
                         make_random(options.seed, random_use::config_changes)) {}

  soak_result run() {
    schedule_tick();
    schedule_progress();
    if (!run_until_ready()) {
      return result_with_violation("every node becomes ready after its start");
    }
    start_callers();
    m_faults_end = clock::now() + m_options.length;
    schedule_fault();
    schedule_store_return();
    m_config_changes.start();
    run_for(m_options.length + longest_fault);
    clear_faults();
    run_for(recovery_time);
    m_is_sending = false;
    wait_for_callers();
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
    const std::size_t node = m_caller_random.uniform() < other_node_probability
                                 ? m_caller_random.uniform_below(m_fleet.nodes().size())
                                 : usual_node;
    const team_key& key = m_fleet.keys()[m_caller_random.uniform_below(m_fleet.keys().size())];
    const auto kind = static_cast<request_kind>(m_caller_random.uniform_below(3));
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
    const double pause_s = m_fault_random.exponential(mean_between_faults_s);
    m_schedule.run_after(milliseconds(static_cast<int>(1000 * pause_s)), [this] {
      if (clock::now() >= m_faults_end) {
        return;
      }
      begin_fault();
      schedule_fault();
    });
  }

  // Once a run, in its first half, so that entries of the copy expire before the end.
  void schedule_store_return() {
    constexpr milliseconds shortest_copy_age{2000};
    constexpr std::uint64_t copy_age_spread_ms = 1500;
    constexpr milliseconds shortest_absence{300};
    constexpr std::uint64_t absence_spread_ms = 900;
    base::random_source random = make_random(m_options.seed, random_use::store);
    const auto half = static_cast<std::uint64_t>(m_options.length / milliseconds(2));
    const milliseconds begin(random.uniform_below(half + 1));
    const milliseconds copy_age =
        shortest_copy_age + milliseconds(random.uniform_below(copy_age_spread_ms));
    const milliseconds absence =
        shortest_absence + milliseconds(random.uniform_below(absence_spread_ms));
    m_schedule.run_after(
        begin, [this, copy_age, absence] { m_node_faults.return_store(copy_age, absence); });
  }

  void begin_fault() {
    const std::size_t node = m_fault_random.uniform_below(m_fleet.nodes().size());
    const std::size_t replica = m_fault_random.uniform_below(m_fleet.replicas().size());
    const milliseconds length = random_fault_length(m_fault_random);
    constexpr std::uint64_t kinds = 14;
    switch (m_fault_random.uniform_below(kinds)) {
      case 0:
        m_node_faults.suspend(node, length);
        return;
      case 1:
        m_node_faults.kill(node, length);
        return;
      case 2:
        m_node_faults.stop(node);
        return;
      case 3:
        m_node_faults.reload_settings(node);
        return;
      case 4:
        m_node_faults.silence_store(length);
        return;
      case 5:
        m_node_faults.disturb_store_link(node, length, m_fault_random);
        return;
      case 6:
        m_replica_faults.disturb_link(replica, length, m_fault_random);
        return;
      case 7:
        m_replica_faults.raise_fault_rate(replica, length);
        return;
      case 8:
        m_replica_faults.drain(replica, length);
        return;
      case 9:
        m_replica_faults.silence(m_fault_random);
        return;
      case 10:
        m_replica_faults.leave(replica, m_fault_random);
        return;
      case 11:
        m_replica_faults.turn_away(replica, length);
        return;
      case 12:
        revoke_while_unreachable(node);
        return;
      default:
        m_config_changes.revoke(length, m_fault_random);
        return;
    }
  }

  // Revokes a key while one node is suspended or the store is silent, so that the change cannot
  // reach the node within the revocation bound.
  void revoke_while_unreachable(std::size_t node) {
    constexpr double suspend_probability = 0.5;
    if (m_fault_random.uniform() < suspend_probability) {
      m_node_faults.suspend(node, longest_fault);
    } else {
      m_node_faults.silence_store(longest_fault);
    }
    constexpr milliseconds fault_lead_time{200};
    m_schedule.run_after(fault_lead_time,
                         [this] { m_config_changes.revoke(longest_fault, m_fault_random); });
  }

  void clear_faults() {
    m_fleet.store().set_silent(false);
    for (fleet_node& each : m_fleet.nodes()) {
      each.to_store->set_fault({});
    }
    m_replica_faults.clear();
  }

  // --- time

  void schedule_tick() {
    const clock::time_point due = clock::now() + tick;
    m_schedule.run_after(tick, [this, due] {
      if (m_observer.is_interrupted && m_observer.is_interrupted()) {
        m_is_interrupted = true;
        m_io.stop();
        return;
      }
      if (clock::now() - due > driver_stall_threshold) {
        m_checker.on_driver_stalled(clock::now());
        m_schedule.record_fault("driver stalled", 0,
                                std::chrono::duration_cast<milliseconds>(clock::now() - due));
      }
      m_checker.check_deadlines(clock::now());
      schedule_tick();
    });
  }

  void schedule_progress() {
    m_schedule.run_after(progress_interval, [this] {
      if (m_observer.on_progress) {
        m_observer.on_progress(observed_so_far());
      }
      schedule_progress();
    });
  }

  // Ends early when the run is interrupted.
  void run_for(milliseconds duration) {
    if (!m_is_interrupted) {
      m_io.restart();
      m_io.run_for(duration);
    }
  }

  // Every request ends within its timeout and slack, because the callers give up after that.
  void wait_for_callers() {
    constexpr milliseconds slack{1000};
    const auto is_done = [this] {
      return m_is_interrupted || std::all_of(m_callers.begin(), m_callers.end(),
                                             [](const auto& each) { return each->is_done(); });
    };
    relay::testing::run_until(m_io, is_done, stream_timeouts.longest + slack);
  }

  // Runs the loop until every node is ready or the run is interrupted; false if a node is not ready
  // within `recovery_time`.
  bool run_until_ready() {
    for (const fleet_node& each : m_fleet.nodes()) {
      const bool is_ready = relay::testing::run_until(
          m_io, [&] { return m_is_interrupted || m_fleet.is_ready(each); }, recovery_time);
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

  soak_result observed_so_far() const {
    return {.sent = m_checker.sent(),
            .served = m_checker.served(),
            .faults = m_schedule.faults(),
            .changes = m_schedule.changes(),
            .events = m_schedule.events(),
            .violations = m_checker.violations(),
            .log_lines = {},
            .duration = std::chrono::duration_cast<std::chrono::seconds>(m_schedule.elapsed()),
            .is_interrupted = m_is_interrupted};
  }

  soak_result make_result() const {
    soak_result result = observed_so_far();
    for (const violation& each : result.violations) {
      result.log_lines += m_fleet.log_lines_on(each.id);
    }
    return result;
  }

  soak_options m_options;
  soak_observer m_observer;
  base::random_source m_fault_random;
  base::random_source m_caller_random;
  base::random_source m_replica_random;
  invariant_checker m_checker;
  boost::asio::io_context m_io;
  soak_schedule m_schedule;
  soak_fleet m_fleet;
  node_faults m_node_faults;
  replica_faults m_replica_faults;
  config_changes m_config_changes;
  std::vector<std::unique_ptr<soak_caller>> m_callers;
  clock::time_point m_faults_end;
  std::uint64_t m_requests = 0;
  bool m_is_sending = true;
  bool m_is_interrupted = false;
};

}  // namespace

soak_result run_soak(const soak_options& options, const soak_observer& observer) {
  return soak_driver(options, observer).run();
}

}  // namespace fuchsiaspring::soak
