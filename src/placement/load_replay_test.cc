#include <cppunit/extensions/HelperMacros.h>

#include "placement/engine_replay.h"

namespace fuchsiaspring::placement {
namespace {

using testing::engine_replay;
using testing::replay_load;
using testing::replay_result;

replay_result play(replay_load load, std::uint64_t seed) {
  load.seed = seed;
  return engine_replay(load).run();
}

double share(int part, int whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

class load_replay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_replay_test);
  CPPUNIT_TEST(shared_parts_are_fetched_rather_than_read_again);
  CPPUNIT_TEST(questions_are_kept_apart_from_long_prompts);
  CPPUNIT_TEST(burst_of_long_prompts_is_served_in_time);
  CPPUNIT_TEST(rare_subjects_are_found_across_domains);
  CPPUNIT_TEST_SUITE_END();

  // Guards against engines that spend a burst of long prompts on reading the same beginnings.
  void shared_parts_are_fetched_rather_than_read_again() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      replay_load load;
      const replay_result with = play(load, seed);
      load.can_fetch = false;
      const replay_result without = play(load, seed);
      load.how = strategy::round_robin;
      const replay_result baseline = play(load, seed);
      CPPUNIT_ASSERT(with.shared_tokens_read_again * 3 < without.shared_tokens_read_again);
      CPPUNIT_ASSERT(with.shared_tokens_read_again * 10 < baseline.shared_tokens_read_again);
    }
  }

  // Guards against streams that stall each time their engine reads a long prompt.
  void questions_are_kept_apart_from_long_prompts() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      replay_load load;
      load.long_prompts_per_s = 12;
      load.questions_per_s = 30;
      const replay_result apart = play(load, seed);
      load.has_gap_target = false;
      const replay_result mixed = play(load, seed);
      CPPUNIT_ASSERT(2 * share(apart.questions_broken, apart.questions) <
                     share(mixed.questions_broken, mixed.questions));
      CPPUNIT_ASSERT(share(apart.long_prompts_in_time, apart.long_prompts) > 0.95);
    }
  }

  // Guards against questions that are protected at the cost of the long prompts.
  void burst_of_long_prompts_is_served_in_time() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const replay_result burst = play({.long_prompts_per_s = 30, .questions_per_s = 60}, seed);
      CPPUNIT_ASSERT(share(burst.long_prompts_in_time, burst.long_prompts) > 0.9);
    }
  }

  // Guards against subjects that are read again because nodes are told of prompts only inside their
  // failure domain, where a subject is rarely asked for twice.
  void rare_subjects_are_found_across_domains() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      replay_load load{.engines = 20, .nodes = 16, .long_prompts_per_s = 60, .questions_per_s = 40};
      load.has_gap_target = false;
      load.subjects = 300;
      load.domains = 4;
      load.view = fleet_view::work_only;
      const replay_result with_homes = play(load, seed);
      load.uses_view = false;
      const replay_result without = play(load, seed);
      CPPUNIT_ASSERT(with_homes.shared_tokens_read_again * 2 < without.shared_tokens_read_again);
      CPPUNIT_ASSERT(share(with_homes.long_prompts_in_time, with_homes.long_prompts) > 0.9);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_replay_test);

}  // namespace
}  // namespace fuchsiaspring::placement
