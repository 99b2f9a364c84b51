// Faults of the replicas of a soak test and of the links to them.
//
//   replica_faults faults(fleet, checker, schedule);
//   faults.drain(1, 800ms);
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "deploy/soak/invariant_checker.h"
#include "deploy/soak/soak_fleet.h"
#include "deploy/soak/soak_schedule.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

class replica_faults {
 public:
  replica_faults(soak_fleet& fleet, invariant_checker& checker, soak_schedule& schedule)
      : m_fleet(fleet), m_checker(checker), m_schedule(schedule) {}

  void disturb_link(std::size_t replica, std::chrono::milliseconds length,
                    base::random_source& random);
  void raise_fault_rate(std::size_t replica, std::chrono::milliseconds length);
  // The replica turns most requests away for a while and states when it wants the next ones.
  void turn_away(std::size_t replica, std::chrono::milliseconds length);
  // The replica registers as draining and serves on.
  void drain(std::size_t replica, std::chrono::milliseconds length);
  // All responses of one to all replicas stand still at once and go on later.
  void silence(base::random_source& random);

  // The replica states in all responses that it is leaving, ends and starts again under its id or
  // another one. Its entry is registered as draining after a while, or stays as it is until the
  // end, or the store is silent meanwhile.
  void leave(std::size_t replica, base::random_source& random);

  void clear();

 private:
  void end_drain(std::size_t replica);
  void end(std::size_t replica, std::chrono::milliseconds absence, const std::string& next_id);
  void start_again(std::size_t replica, const std::string& next_id);

  soak_fleet& m_fleet;
  invariant_checker& m_checker;
  soak_schedule& m_schedule;
};

}  // namespace fuchsiaspring::soak
