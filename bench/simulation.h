// One run of a workload against one scheduler in virtual time.
//
//   auto result = bench::simulate(workload, arrivals, bench::scheduler_kind::fuchsia, seed);
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "bench/schedulers.h"
#include "bench/workload.h"

namespace fuchsiaspring::bench {

// Counts of one class over the requests that arrived in the measured interval, and over the
// dispatches in that interval.
struct class_result {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  std::uint64_t refused = 0;    // by the scheduler
  std::uint64_t abandoned = 0;  // cancelled by the caller's timeout
  std::uint64_t late = 0;       // completed after a target
  std::uint64_t failed = 0;     // failed or preempted, and not retried
  std::uint64_t dispatched = 0;
};

constexpr int recovery_seconds = 30;

// Requests of the highest tier by second of arrival after an event.
struct recovery_result {
  std::array<std::uint64_t, recovery_seconds> offered{};
  std::array<std::uint64_t, recovery_seconds> in_time{};
};

struct run_result {
  std::vector<class_result> classes;
  double good_work = 0;   // tokens of responses completed in time
  double total_work = 0;  // tokens generated
  double capacity_work = 0;
  double offered_work = 0;               // of all arrivals in the measured interval
  std::uint64_t conforming = 0;          // requests within the rate of the smallest guarantee
  std::uint64_t conforming_in_time = 0;  // of these, completed in time
  // Requests of the highest tier from teams that no burst event names.
  std::uint64_t other_teams_offered = 0;
  std::uint64_t other_teams_in_time = 0;
  std::uint64_t preempted = 0;
  std::uint64_t retries = 0;
  // One for each cold event, and for each start and end of a domain_out event.
  std::vector<recovery_result> recoveries;
};

run_result simulate(const workload& source, const std::vector<arrival>& arrivals,
                    scheduler_kind kind, std::uint64_t seed);

}  // namespace fuchsiaspring::bench
