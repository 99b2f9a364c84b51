// Runs the steps of one scenario and counts its passed and failed checks.
//
//   scenario_runner runner(options, tests_folder);
//   runner.run(steps);
//   runner.passed(), runner.failed();
//
// A step that cannot be executed counts as failed and ends the scenario. A failed check counts as
// failed, and the scenario continues. Not thread-safe.
#pragma once

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/base/result.h"
#include "tests/scenario/child_process.h"
#include "tests/scenario/environment.h"
#include "tests/scenario/script.h"

namespace fuchsiaspring::scenario {

class scenario_runner {
 public:
  // Paths in the scenario are relative to `scenario_folder`. The run ends early once `interrupted`
  // is true.
  scenario_runner(environment_options options, std::filesystem::path scenario_folder,
                  const std::atomic<bool>& interrupted);

  void run(const std::vector<step>& steps);

  int passed() const { return m_passed; }
  int failed() const { return m_failed; }

 private:
  using outcome = base::result<void>;
  struct load_run {
    child_process child;
    std::string report_path;
    bool collected = false;
  };

  outcome execute(const step& current);
  outcome start(const step& current);
  outcome stop(const step& current);
  outcome signal(const step& current);
  outcome publish(const step& current);
  outcome set_out_of_service(const step& current);
  outcome control(const step& current);
  outcome change_link(const step& current);
  outcome begin_load(const step& current);
  outcome wait_for_load(const step& current);
  outcome pause(const step& current);
  outcome remember(const step& current);
  outcome expect(const step& current);

  // The words of a step before `within T` or `for T`, and T.
  struct time_bounded_words {
    std::vector<std::string> words;
    std::chrono::milliseconds within{0};
    std::chrono::milliseconds hold_time{0};
  };
  static base::result<time_bounded_words> split_time_bound(const step& current, std::size_t first);

  std::optional<double> evaluate_term(const std::string& term);
  std::optional<double> read_json(const std::string& url, const std::string& path);
  void check(bool is_true, const step& current, const std::string& found);
  void sleep(std::chrono::milliseconds time) const;

  test_environment m_environment;
  std::filesystem::path m_folder;
  const std::atomic<bool>& m_interrupted;
  std::map<std::string, std::unique_ptr<load_run>> m_loads;
  std::map<std::string, double> m_remembered;
  int m_passed = 0;
  int m_failed = 0;
};

}  // namespace fuchsiaspring::scenario
