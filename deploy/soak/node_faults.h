// Faults of the node processes of a soak test and of their way to the store.
//
//   node_faults faults(fleet, checker, schedule);
//   faults.suspend(1, 800ms);
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "deploy/soak/fault_relay.h"
#include "deploy/soak/invariant_checker.h"
#include "deploy/soak/soak_fleet.h"
#include "deploy/soak/soak_schedule.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

class node_faults {
 public:
  node_faults(soak_fleet& fleet, invariant_checker& checker, soak_schedule& schedule)
      : m_fleet(fleet), m_checker(checker), m_schedule(schedule) {}

  // The following three do nothing to a node that is suspended, killed or shutting down.
  void suspend(std::size_t node, std::chrono::milliseconds length);
  // Kills the process and starts it again after `length`.
  void kill(std::size_t node, std::chrono::milliseconds length);
  // Sends SIGTERM, kills the process if it still runs after its grace period, and starts it again.
  void stop(std::size_t node);

  void reload_settings(std::size_t node);
  void silence_store(std::chrono::milliseconds length);
  // The store is away for `length` and comes back from a copy that is `copy_age` old then.
  void return_store(std::chrono::milliseconds copy_age, std::chrono::milliseconds length);
  void disturb_store_link(std::size_t node, std::chrono::milliseconds length,
                          base::random_source& random);

 private:
  void restart_after_end(std::size_t node, clock::time_point grace_period_end);
  void restart(std::size_t node);
  void mark_faulted(std::size_t node);
  void mark_recovered(std::size_t node);

  soak_fleet& m_fleet;
  invariant_checker& m_checker;
  soak_schedule& m_schedule;
};

// Injects a random fault into the relay and records it.
void inject_link_fault(fault_relay& link, const std::string& name, std::size_t which,
                       std::chrono::milliseconds length, base::random_source& random,
                       soak_schedule& schedule);

}  // namespace fuchsiaspring::soak
