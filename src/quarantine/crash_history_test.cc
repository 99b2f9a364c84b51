#include "fuchsiaspring/quarantine/crash_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace fuchsiaspring::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration min_separation = milliseconds(300);
const base::time_point start = base::time_point(std::chrono::hours(1));

class crash_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_history_test);
  CPPUNIT_TEST(burst_leaves_earlier_moments_in_the_summary);
  CPPUNIT_TEST(merging_is_idempotent_and_independent_of_the_order);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a burst that pushes the crashes of earlier moments out of a message.
  void burst_leaves_earlier_moments_in_the_summary() {
    crash_history history;
    history.add({.replica = 1, .at = start});
    history.add({.replica = 2, .at = start + seconds(5)});
    for (std::uint32_t i = 0; i < 12; ++i) {
      history.add({.replica = 10 + i, .at = start + seconds(10) + milliseconds(i)});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.separate(min_separation));
    crash_history received;
    for (const crash& each : history.summary(8, min_separation)) {
      received.add(each);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, received.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, received.separate(min_separation));
  }

  // Guards against nodes that come to different conclusions because messages came in another
  // order or more than once, also when entries are dropped.
  void merging_is_idempotent_and_independent_of_the_order() {
    std::mt19937_64 random(1);
    for (int drawn = 0; drawn < 200; ++drawn) {
      std::vector<crash> reports;
      const std::size_t count = 1 + random() % (2 * crash_history::capacity);
      for (std::size_t i = 0; i < count; ++i) {
        const auto replica = static_cast<std::uint32_t>(random() % 50);
        // Nodes see the same end at slightly different times.
        const base::time_point at = start + milliseconds(100 * replica + random() % 50);
        reports.push_back({.replica = replica, .at = at});
      }
      crash_history expected;
      for (const crash& each : reports) {
        expected.add(each);
      }
      CPPUNIT_ASSERT(expected.size() <= crash_history::capacity);
      std::vector<crash> received = reports;
      received.insert(received.end(), reports.begin(), reports.end());
      std::ranges::shuffle(received, random);
      crash_history merged;
      for (const crash& each : received) {
        merged.add(each);
      }
      CPPUNIT_ASSERT(merged == expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_history_test);

}  // namespace
}  // namespace fuchsiaspring::quarantine
