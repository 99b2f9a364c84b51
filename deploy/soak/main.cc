// Runs soak tests by hand: node_soak [--seed N] [--count N] [--seconds N] [--nodes N], or
// node_soak --regressions 1 for all seeds that found a fault once.
//
// Prints the counts of each seed when it ends and, for each violated invariant, the injected faults
// and the log lines of the nodes; a line of progress every few seconds. SIGTERM and SIGINT end the
// seed that runs, with its processes and temporary folders, and print what was found until then.
// Exit status: 0, 1 if an invariant was violated, 2 for an unknown argument, 3 if interrupted.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "deploy/soak/regression_seeds.h"
#include "deploy/soak/soak_driver.h"

namespace {

using fuchsiaspring::soak::soak_options;
using fuchsiaspring::soak::soak_result;
using fuchsiaspring::soak::violation;

volatile std::sig_atomic_t interrupt_signal = 0;

void on_interrupt(int number) {
  interrupt_signal = number;
}

std::string to_string(const soak_result& result) {
  return std::to_string(result.sent) + " requests, " + std::to_string(result.served) + " served, " +
         std::to_string(result.faults) + " faults, " + std::to_string(result.changes) +
         " changes, " + std::to_string(result.violations.size()) + " violated invariants";
}

void print(const soak_options& options, const soak_result& result) {
  std::cout << "seed " << options.seed << (result.is_interrupted ? " interrupted by signal " : ": ")
            << (result.is_interrupted ? std::to_string(interrupt_signal) + ": " : "")
            << to_string(result) << std::endl;
  if (result.violations.empty()) {
    return;
  }
  for (const violation& each : result.violations) {
    std::cout << "  violated: " << each.invariant << ": " << each.id << " " << each.detail << "\n";
  }
  for (const std::string& each : result.events) {
    std::cout << "  " << each << "\n";
  }
  std::cout << result.log_lines << std::flush;
}

void print_progress(const soak_options& options, const soak_result& so_far) {
  std::cout << "seed " << options.seed << " after " << so_far.duration.count()
            << " s: " << to_string(so_far) << std::endl;
}

std::vector<soak_options> planned_runs(std::map<std::string, std::uint64_t>& values) {
  std::vector<soak_options> runs;
  if (values["--regressions"] != 0) {
    for (const auto& each : fuchsiaspring::soak::regression_seeds) {
      std::cout << "seed " << each.seed << " found: " << each.cause << "\n";
      runs.push_back({.seed = each.seed, .length = each.length, .nodes = values["--nodes"]});
    }
    return runs;
  }
  for (std::uint64_t i = 0; i < values["--count"]; ++i) {
    runs.push_back({.seed = values["--seed"] + i,
                    .length = std::chrono::seconds(values["--seconds"]),
                    .nodes = values["--nodes"]});
  }
  return runs;
}

}  // namespace

int main(int argument_count, char** arguments) {
  std::map<std::string, std::uint64_t> values{
      {"--seed", 1}, {"--count", 1}, {"--seconds", 20}, {"--nodes", 3}, {"--regressions", 0}};
  const std::vector<std::string> words(arguments + 1, arguments + argument_count);
  for (std::size_t i = 0; i < words.size(); i += 2) {
    if (!values.contains(words[i]) || i + 1 == words.size()) {
      std::cerr << "usage: node_soak [--seed N] [--count N] [--seconds N] [--nodes N] "
                   "[--regressions 1]\n";
      return 2;
    }
    values[words[i]] = std::strtoull(words[i + 1].c_str(), nullptr, 10);
  }
  std::signal(SIGTERM, on_interrupt);
  std::signal(SIGINT, on_interrupt);
  std::size_t passed_seeds = 0;
  std::size_t failed_seeds = 0;
  for (const soak_options& options : planned_runs(values)) {
    if (interrupt_signal != 0) {
      break;
    }
    const soak_result result = run_soak(
        options,
        {.on_progress = [&options](const soak_result& so_far) { print_progress(options, so_far); },
         .is_interrupted = [] { return interrupt_signal != 0; }});
    print(options, result);
    failed_seeds += result.violations.empty() ? 0 : 1;
    passed_seeds += result.violations.empty() && !result.is_interrupted ? 1 : 0;
  }
  std::cout << passed_seeds << " seeds passed, " << failed_seeds << " violated an invariant"
            << std::endl;
  if (failed_seeds > 0) {
    return 1;
  }
  return interrupt_signal == 0 ? 0 : 3;
}
