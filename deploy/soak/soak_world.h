// A small fleet on one machine under random faults: node programs as separate processes, replicas
// and a store behind relays that harm connections, and callers that never stop asking.
//
//   const soak_result result = run_soak({.seed = 7, .length = 20s});
//   for (const violation& each : result.violations) { print(each); }
//
// The same seed gives the same schedule of faults and the same requests; what meets what also
// depends on the machine's timing.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "deploy/soak/promises.h"

namespace fuchsiaspring::soak {

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{20'000};  // of the time with faults
  std::size_t nodes = 3;
  std::size_t replicas = 4;
  std::size_t callers = 24;
};

struct soak_result {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::vector<std::string> faults;  // what was done when, in order
  std::vector<violation> violations;
  std::string log_lines;  // of the nodes, on the requests of the violations
};

soak_result run_soak(const soak_options& options);

}  // namespace fuchsiaspring::soak
