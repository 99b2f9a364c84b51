// Random schedules of the idempotency protocol. A failure prints its seed; FUCHSIA_SCHEDULE_SEED=N
// replays it, and FUCHSIA_SCHEDULE_RUNS=N sets the number of schedules.
#include "idempotency/schedule_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiaspring::idempotency::schedules {
namespace {

std::uint64_t environment_number(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(schedule_test);
  CPPUNIT_TEST(no_key_is_dispatched_twice);
  CPPUNIT_TEST(mutated_rules_are_caught);
  CPPUNIT_TEST(needless_refusals_are_bounded);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a second dispatch of a key, and a dispatch of an attempt that was refused.
  void no_key_is_dispatched_twice() {
    const std::uint64_t first = environment_number("FUCHSIA_SCHEDULE_SEED", 1);
    const bool replay = std::getenv("FUCHSIA_SCHEDULE_SEED") != nullptr;
    const std::uint64_t runs = environment_number("FUCHSIA_SCHEDULE_RUNS", replay ? 1 : 60);
    std::uint64_t dispatched = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
      const schedule_result result = schedule(seed, all_faults, mutation::none).run();
      dispatched += result.dispatched;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("FUCHSIA_SCHEDULE_SEED=" + std::to_string(seed), std::string(),
                                   result.violation);
    }
    std::cout << runs << " schedules from seed " << first << ": " << dispatched << " dispatches\n";
    CPPUNIT_ASSERT(dispatched >= runs);
  }

  // Guards against a simulation that does not detect violations: each mutation must cause one.
  void mutated_rules_are_caught() {
    const std::uint64_t runs = environment_number("FUCHSIA_SCHEDULE_MUTANT_RUNS", 400);
    for (int number = static_cast<int>(environment_number("FUCHSIA_MUTANT", 1));
         number <= static_cast<int>(mutation::abandoned_dispatch); ++number) {
      std::uint64_t seed = 1;
      while (seed <= runs &&
             schedule(seed, all_faults, static_cast<mutation>(number)).run().violation.empty()) {
        ++seed;
      }
      std::cout << "mutation " << number << ": caught at seed " << seed << "\n";
      CPPUNIT_ASSERT_MESSAGE("mutation " + std::to_string(number), seed <= runs);
    }
  }

  // Guards against a protocol that prevents second dispatches by refusing too much.
  void needless_refusals_are_bounded() {
    const std::vector<std::tuple<const char*, faults, double>> cases{
        {"none", {}, 0.0},
        {"loss", {.loss = true}, 0.1},
        {"delay", {.delay = true}, 0.1},
        {"restarts", {.restarts = true}, 0.9},
        {"partitions", {.partitions = true}, 0.5},
        {"pauses", {.pauses = true}, 0.5},
        {"list changes", {.list_changes = true}, 0.6},
        {"all", all_faults, 1.0}};
    for (const auto& [name, enabled, bound] : cases) {
      std::uint64_t single = 0;
      std::uint64_t refused = 0;
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const schedule_result result = schedule(seed, enabled, mutation::none).run();
        single += result.single;
        refused += result.single_refused;
      }
      const double share = static_cast<double>(refused) / static_cast<double>(single);
      std::cout << "needless refusals, faults " << name << ": " << refused << " of " << single
                << "\n";
      CPPUNIT_ASSERT_MESSAGE(name, share <= bound);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(schedule_test);

}  // namespace
}  // namespace fuchsiaspring::idempotency::schedules
