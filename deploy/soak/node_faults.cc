#include "deploy/soak/node_faults.h"

#include <signal.h>

namespace fuchsiaspring::soak {

using std::chrono::milliseconds;

namespace {

// Before main() ignores it, SIGHUP ends the process by default. Running time of the process.
constexpr milliseconds main_start_allowance{100};

}  // namespace

void node_faults::reload_settings(std::size_t node) {
  if (clock::now() - m_fleet.nodes()[node].started < main_start_allowance) {
    return;
  }
  m_schedule.record_fault("hup", node, milliseconds(0));
  m_fleet.nodes()[node].process->signal(SIGHUP);
}

void node_faults::silence_store(milliseconds length) {
  m_schedule.record_fault("store silent", 0, length);
  m_fleet.store().set_silent(true);
  m_schedule.run_after(length, [this] { m_fleet.store().set_silent(false); });
}

void node_faults::return_store(milliseconds copy_age, milliseconds length) {
  using enum soak_fleet::return_step;
  // Replicas write every 1.2 s; entries expire after three missed writes.
  constexpr milliseconds rewrite_time{1000};
  constexpr milliseconds expiry_time{3600};
  if (m_fleet.is_store_returning()) {
    return;
  }
  m_fleet.take_return_step(copied);
  const auto take_step_after = [this](milliseconds time, soak_fleet::return_step step) {
    m_schedule.run_after(time, [this, step] { m_fleet.take_return_step(step); });
  };
  m_schedule.run_after(copy_age - length, [this, length] {
    m_schedule.record_fault("store returns older", 0, length);
    m_fleet.take_return_step(away);
  });
  take_step_after(copy_age, back);
  take_step_after(copy_age + rewrite_time, rewritten);
  take_step_after(copy_age + expiry_time, expired);
}

void node_faults::disturb_store_link(std::size_t node, milliseconds length,
                                     base::random_source& random) {
  inject_link_fault(*m_fleet.nodes()[node].to_store, "store link", node, length, random,
                    m_schedule);
}

void node_faults::suspend(std::size_t node, milliseconds length) {
  fleet_node& target = m_fleet.nodes()[node];
  if (target.is_faulted) {
    return;
  }
  m_schedule.record_fault("suspend", node, length);
  mark_faulted(node);
  m_checker.on_node_disturbed(node, clock::now());
  target.process->signal(SIGSTOP);
  if (clock::now() - target.started < main_start_allowance) {
    target.started = clock::now() + length;
  }
  m_schedule.run_after(length, [this, node] {
    m_fleet.nodes()[node].process->signal(SIGCONT);
    mark_recovered(node);
  });
}

void node_faults::kill(std::size_t node, milliseconds length) {
  if (m_fleet.nodes()[node].is_faulted) {
    return;
  }
  m_schedule.record_fault("kill", node, length);
  mark_faulted(node);
  m_checker.on_node_disturbed(node, clock::now());
  m_fleet.nodes()[node].process->signal(SIGKILL);
  m_schedule.run_after(length, [this, node] { restart(node); });
}

void node_faults::stop(std::size_t node) {
  if (m_fleet.nodes()[node].is_faulted) {
    return;
  }
  m_schedule.record_fault("stop", node, soak_fleet::grace_period);
  // A stream whose replica is still at work then may be broken off before the process is killed.
  constexpr milliseconds end_of_grace_period = soak_fleet::grace_period / 6;
  const clock::time_point last_moment =
      clock::now() + soak_fleet::grace_period - end_of_grace_period;
  m_checker.on_graceful_stop(node, clock::now(), last_moment);
  mark_faulted(node);
  m_checker.on_node_disturbed(node, last_moment);
  m_fleet.nodes()[node].process->signal(SIGTERM);
  restart_after_end(node, clock::now() + soak_fleet::grace_period);
}

void node_faults::restart_after_end(std::size_t node, clock::time_point grace_period_end) {
  constexpr milliseconds check_interval{100};
  m_schedule.run_after(check_interval, [this, node, grace_period_end] {
    deploy_test::node_process& process = *m_fleet.nodes()[node].process;
    if (!process.wait_for_end(milliseconds(1)) && clock::now() < grace_period_end) {
      restart_after_end(node, grace_period_end);
      return;
    }
    process.signal(SIGKILL);
    restart(node);
  });
}

void node_faults::restart(std::size_t node) {
  m_fleet.restart(node);
  mark_recovered(node);
}

void node_faults::mark_faulted(std::size_t node) {
  m_fleet.nodes()[node].is_faulted = true;
  m_checker.waive_time_bounds(node, clock::time_point::max());
  m_checker.forget_statements_to(node);
}

void node_faults::mark_recovered(std::size_t node) {
  constexpr milliseconds recovery_margin{1000};
  m_fleet.nodes()[node].is_faulted = false;
  m_checker.waive_time_bounds(node, clock::now() + recovery_margin);
  m_checker.on_node_recovered(node, clock::now() + recovery_margin);
  m_checker.forget_statements_to(node);
}

void inject_link_fault(fault_relay& link, const std::string& name, std::size_t which,
                       milliseconds length, base::random_source& random, soak_schedule& schedule) {
  constexpr std::uint64_t kinds = 6;
  const auto kind = static_cast<link_fault::fault_kind>(random.uniform_below(kinds));
  schedule.record_fault(name + " fault " + std::to_string(static_cast<int>(kind)), which, length);
  if (kind == link_fault::fault_kind::none) {
    link.reset_all();
    return;
  }
  constexpr int longest_delay_ms = 700;
  link.set_fault({kind, milliseconds(random.uniform_below(longest_delay_ms))});
  schedule.run_after(length, [&link] { link.set_fault({}); });
}

}  // namespace fuchsiaspring::soak
