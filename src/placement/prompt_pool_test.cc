#include "placement/prompt_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include "placement/prefix_demand.h"

namespace fuchsiaspring::placement::internal {
namespace {

using std::chrono::milliseconds;

class prompt_pool_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prompt_pool_test);
  CPPUNIT_TEST(share_follows_the_demand_slowly);
  CPPUNIT_TEST(neither_side_loses_all_replicas);
  CPPUNIT_TEST(pool_of_a_smaller_share_is_part_of_the_larger_one);
  CPPUNIT_TEST(rate_of_a_prefix_rises_and_decays);
  CPPUNIT_TEST(many_prefixes_take_bounded_memory);
  CPPUNIT_TEST_SUITE_END();

  static void update_for(prompt_pool& pool, const pool_demand& demand, base::time_point& now,
                         base::duration time) {
    for (const base::time_point end = now + time; now < end; now += milliseconds(100)) {
      pool.update(demand, now);
    }
  }

  // Guards against homes that move with each short wave, and against a share that stays behind.
  void share_follows_the_demand_slowly() {
    prompt_pool pool;
    base::time_point now{std::chrono::seconds(100)};
    update_for(pool, {.prefill_replicas = 40, .stream_replicas = 40}, now, std::chrono::seconds(5));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, pool.share(), 0.02);
    update_for(pool, {.prefill_replicas = 100, .stream_replicas = 40}, now, milliseconds(300));
    CPPUNIT_ASSERT(pool.share() < 0.55);
    update_for(pool, {.prefill_replicas = 100, .stream_replicas = 40}, now,
               std::chrono::seconds(9));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.71, pool.share(), 0.03);
  }

  void neither_side_loses_all_replicas() {
    prompt_pool pool;
    base::time_point now{std::chrono::seconds(100)};
    update_for(pool, {.prefill_replicas = 1e9, .stream_replicas = -1}, now,
               std::chrono::seconds(60));
    CPPUNIT_ASSERT(pool.share() <= 0.8);
    update_for(pool, {.prefill_replicas = 0, .stream_replicas = 1e9}, now,
               std::chrono::seconds(60));
    CPPUNIT_ASSERT(pool.share() >= 0.2);
  }

  // Guards against nodes with slightly different demand that send long prompts to different pools.
  void pool_of_a_smaller_share_is_part_of_the_larger_one() {
    prompt_pool small;
    prompt_pool large;
    base::time_point now{std::chrono::seconds(100)};
    base::time_point same_now = now;
    update_for(small, {.prefill_replicas = 10, .stream_replicas = 40}, now,
               std::chrono::seconds(9));
    update_for(large, {.prefill_replicas = 14, .stream_replicas = 40}, same_now,
               std::chrono::seconds(9));
    for (double position = 0.005; position < 1; position += 0.01) {
      CPPUNIT_ASSERT(!small.contains(position) || large.contains(position));
    }
  }

  // Guards against a single home for a subject that gets a large part of the prompts, and against
  // more homes than one for a subject that had such a time.
  void rate_of_a_prefix_rises_and_decays() {
    prefix_demand demand;
    base::time_point now{std::chrono::seconds(100)};
    for (int i = 0; i < 400; ++i, now += milliseconds(10)) {
      demand.record(7, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, demand.rate(7, now), 20);
    CPPUNIT_ASSERT(demand.rate(7, now + std::chrono::seconds(10)) < 1);
    CPPUNIT_ASSERT_EQUAL(0.0, demand.rate(8, now));
  }

  void many_prefixes_take_bounded_memory() {
    prefix_demand demand;
    const base::time_point now{std::chrono::seconds(100)};
    for (std::uint64_t id = 0; id < 20'000; ++id) {
      demand.record(id, now);
      CPPUNIT_ASSERT(demand.size() <= 4096);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_pool_test);

}  // namespace
}  // namespace fuchsiaspring::placement::internal
