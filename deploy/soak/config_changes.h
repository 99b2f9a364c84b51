// Changes of the configuration in a soak test: one every one to two seconds, and revoked keys.
//
//   config_changes changes(fleet, checker, schedule, random);
//   changes.start();
//   changes.revoke(800ms, random);
#pragma once

#include <chrono>
#include <cstddef>

#include "deploy/soak/invariant_checker.h"
#include "deploy/soak/soak_fleet.h"
#include "deploy/soak/soak_schedule.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

class config_changes {
 public:
  // `random` is used for the regular changes only, so that they do not depend on the faults.
  config_changes(soak_fleet& fleet, invariant_checker& checker, soak_schedule& schedule,
                 base::random_source random)
      : m_fleet(fleet), m_checker(checker), m_schedule(schedule), m_random(random) {}

  // Begins the regular changes, which go on until the end of the test.
  void start() { schedule_next(); }

  // Revokes a random key and grants it again after `length` plus the revocation bound. Does nothing
  // if that key is revoked already.
  void revoke(std::chrono::milliseconds length, base::random_source& random);

 private:
  void schedule_next();
  void grant(std::size_t number);

  soak_fleet& m_fleet;
  invariant_checker& m_checker;
  soak_schedule& m_schedule;
  base::random_source m_random;
};

}  // namespace fuchsiaspring::soak
