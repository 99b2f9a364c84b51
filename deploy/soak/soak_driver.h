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
#include <functional>
#include <string>
#include <vector>

#include "deploy/soak/invariant_checker.h"

namespace fuchsiaspring::soak {

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{20'000};  // of the phase with faults
  std::size_t nodes = 3;
  std::size_t replicas = 4;
  std::size_t callers = 40;
};

struct soak_result {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t faults = 0;           // injected
  std::size_t changes = 0;          // of the configuration
  std::vector<std::string> events;  // faults and changes with their times, in order
  std::vector<violation> violations;
  std::string log_lines;  // of all nodes, for the requests in `violations`
  std::chrono::seconds duration{};
  bool is_interrupted = false;
};

// Called while a run goes on; both may be empty.
struct soak_observer {
  // Gets the result so far, without log lines, every few seconds.
  std::function<void(const soak_result&)> on_progress;
  // The run ends early, with its processes, once this returns true.
  std::function<bool()> is_interrupted;
};

soak_result run_soak(const soak_options& options, const soak_observer& observer = {});

}  // namespace fuchsiaspring::soak
