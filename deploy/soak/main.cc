// Runs soak tests by hand: node_soak [--seed N] [--count N] [--seconds N] [--nodes N].
//
// Prints the counts of each seed and, for each violated invariant, the injected faults and the log
// lines of the nodes. Exit status: 0, 1 if an invariant was violated, 2 for an unknown argument.
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "deploy/soak/soak_driver.h"

namespace {

using fuchsiaspring::soak::soak_options;
using fuchsiaspring::soak::soak_result;
using fuchsiaspring::soak::violation;

void print(const soak_options& options, const soak_result& result) {
  std::cout << "seed " << options.seed << ": " << result.sent << " requests, " << result.served
            << " served, " << result.faults.size() << " faults, " << result.violations.size()
            << " violated invariants\n";
  if (result.violations.empty()) {
    return;
  }
  for (const violation& each : result.violations) {
    std::cout << "  violated: " << each.invariant << ": " << each.id << " " << each.detail << "\n";
  }
  for (const std::string& each : result.faults) {
    std::cout << "  " << each << "\n";
  }
  std::cout << result.log_lines;
}

}  // namespace

int main(int argument_count, char** arguments) {
  std::map<std::string, std::uint64_t> values{
      {"--seed", 1}, {"--count", 1}, {"--seconds", 20}, {"--nodes", 3}};
  const std::vector<std::string> words(arguments + 1, arguments + argument_count);
  for (std::size_t i = 0; i < words.size(); i += 2) {
    if (!values.contains(words[i]) || i + 1 == words.size()) {
      std::cerr << "usage: node_soak [--seed N] [--count N] [--seconds N] [--nodes N]\n";
      return 2;
    }
    values[words[i]] = std::strtoull(words[i + 1].c_str(), nullptr, 10);
  }
  std::size_t failed_seeds = 0;
  for (std::uint64_t i = 0; i < values["--count"]; ++i) {
    const soak_options options{.seed = values["--seed"] + i,
                               .length = std::chrono::seconds(values["--seconds"]),
                               .nodes = values["--nodes"]};
    const soak_result result = run_soak(options);
    print(options, result);
    failed_seeds += result.violations.empty() ? 0 : 1;
  }
  std::cout << values["--count"] - failed_seeds << " seeds passed, " << failed_seeds
            << " violated an invariant\n";
  return failed_seeds == 0 ? 0 : 1;
}
