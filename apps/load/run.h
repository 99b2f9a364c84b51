// Runs a load plan and collects the outcomes.
//
//   run_result result = run_load(plan, stop_requested, print_progress);
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <vector>

#include "apps/load/load_plan.h"
#include "apps/load/outcome.h"

namespace fuchsiaspring::load {

struct run_result {
  std::vector<request_outcome> outcomes;
  std::uint64_t sent = 0;
  double duration_s = 0;  // until the last outcome
};

// Sums for the progress line.
struct run_progress {
  double elapsed_s = 0;
  std::uint64_t sent = 0;
  std::uint64_t ended = 0;
  std::uint64_t ok = 0;
  std::uint64_t refused = 0;
};

// Sends each arrival at its scheduled time and returns when all requests have ended, each after at
// most the plan's timeout. Sends none after `stop_requested` becomes true. Calls `report_progress`
// once a second on the calling thread.
run_result run_load(const load_plan& plan, const std::atomic<bool>& stop_requested,
                    const std::function<void(const run_progress&)>& report_progress);

}  // namespace fuchsiaspring::load
