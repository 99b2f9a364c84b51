// Soak test of a small fleet on one machine: nodes as separate processes, replicas and a store
// behind fault relays, and callers that send requests continuously while random faults are
// injected.
//
//   const soak_result result = run_soak({.seed = 7, .length = 20s});
//   for (const violation& each : result.violations) { print(each); }
//
// A seed determines the random choices of faults and requests. How they interleave also depends on
// the timing of the machine, so a run is not exactly reproducible.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "deploy/soak/invariant_checker.h"

namespace fuchsiaspring::soak {

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{20'000};  // of the phase with faults
  std::size_t nodes = 3;
  std::size_t replicas = 4;
  std::size_t callers = 24;
};

struct soak_result {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::vector<std::string> faults;  // injected faults with their times, in order
  std::vector<violation> violations;
  std::string log_lines;  // of all nodes, for the requests in `violations`
};

soak_result run_soak(const soak_options& options);

}  // namespace fuchsiaspring::soak
