#include <cppunit/extensions/HelperMacros.h>

#include "placement/engine_simulation.h"

namespace fuchsiaspring::placement {
namespace {

using testing::engine_simulation;
using testing::simulated_load;
using testing::simulation_result;

simulation_result simulate(simulated_load load, std::uint64_t seed) {
  load.seed = seed;
  return engine_simulation(load).run();
}

double share(int part, int whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

class load_simulation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_simulation_test);
  CPPUNIT_TEST(shared_parts_are_fetched_rather_than_recomputed);
  CPPUNIT_TEST(short_prompts_are_separated_from_long_prompts);
  CPPUNIT_TEST(burst_of_long_prompts_is_served_in_time);
  CPPUNIT_TEST(rare_prefixes_are_found_across_domains);
  CPPUNIT_TEST(many_nodes_with_late_reports_keep_streams_apart_from_long_prompts);
  CPPUNIT_TEST_SUITE_END();

  // Guards against engines that compute the same prefixes again in a burst of long prompts.
  void shared_parts_are_fetched_rather_than_recomputed() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      simulated_load load;
      const simulation_result with_fetch = simulate(load, seed);
      load.can_fetch = false;
      const simulation_result without_fetch = simulate(load, seed);
      load.choice_strategy = strategy::round_robin;
      const simulation_result round_robin_result = simulate(load, seed);
      CPPUNIT_ASSERT(with_fetch.shared_tokens_recomputed * 3 <
                     without_fetch.shared_tokens_recomputed);
      CPPUNIT_ASSERT(with_fetch.shared_tokens_recomputed * 10 <
                     round_robin_result.shared_tokens_recomputed);
    }
  }

  // Guards against streams that stall at each prefill of a long prompt on their engine.
  void short_prompts_are_separated_from_long_prompts() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      simulated_load load;
      load.long_prompts_per_s = 12;
      load.short_prompts_per_s = 30;
      const simulation_result separated = simulate(load, seed);
      load.has_gap_target = false;
      const simulation_result mixed = simulate(load, seed);
      CPPUNIT_ASSERT(2 * share(separated.short_prompts_stalled, separated.short_prompts) <
                     share(mixed.short_prompts_stalled, mixed.short_prompts));
      CPPUNIT_ASSERT(share(separated.long_prompts_in_time, separated.long_prompts) > 0.95);
    }
  }

  // Guards against long prompts that miss their target because short prompts are protected.
  void burst_of_long_prompts_is_served_in_time() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const simulation_result burst =
          simulate({.long_prompts_per_s = 30, .short_prompts_per_s = 60}, seed);
      CPPUNIT_ASSERT(share(burst.long_prompts_in_time, burst.long_prompts) > 0.9);
    }
  }

  // Guards against prefixes that are computed again because prompts are announced only inside a
  // failure domain, where a prefix is rarely used twice.
  void rare_prefixes_are_found_across_domains() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      simulated_load load{
          .engines = 20, .nodes = 16, .long_prompts_per_s = 60, .short_prompts_per_s = 40};
      load.has_gap_target = false;
      load.shared_prefixes = 300;
      load.domains = 4;
      load.view = fleet_view::load_only;
      const simulation_result with_homes = simulate(load, seed);
      load.sets_view = false;
      const simulation_result without_homes = simulate(load, seed);
      CPPUNIT_ASSERT(with_homes.shared_tokens_recomputed * 2 <
                     without_homes.shared_tokens_recomputed);
      CPPUNIT_ASSERT(share(with_homes.long_prompts_in_time, with_homes.long_prompts) > 0.9);
    }
  }

  // Guards against nodes that learn of each other's loads only every 400 ms and place long prompts
  // and streams on the same engines, or all at once on the engine that seemed idle.
  void many_nodes_with_late_reports_keep_streams_apart_from_long_prompts() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const simulation_result result = simulate({.engines = 60,
                                                 .nodes = 60,
                                                 .long_prompts_per_s = 60,
                                                 .short_prompts_per_s = 70,
                                                 .shared_prefixes = 300,
                                                 .can_fetch = false,
                                                 .domains = 3,
                                                 .view = fleet_view::load_only,
                                                 .report_interval_ms = 400,
                                                 .slots = 16},
                                                seed);
      CPPUNIT_ASSERT(share(result.short_prompts_stalled, result.short_prompts) < 0.12);
      CPPUNIT_ASSERT(share(result.long_prompts_in_time, result.long_prompts) > 0.95);
      CPPUNIT_ASSERT(result.dispatched_to_full_engine < 10);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_simulation_test);

}  // namespace
}  // namespace fuchsiaspring::placement
