#include "fuchsiaspring/node/stop_rule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point signalled{seconds(1000)};
constexpr stop_schedule stop{signalled + seconds(3), signalled + seconds(7)};

class stop_rule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stop_rule_test);
  CPPUNIT_TEST(requests_that_come_early_are_served);
  CPPUNIT_TEST(late_requests_are_served_if_they_can_end);
  CPPUNIT_TEST(longest_recent_response_is_expected);
  CPPUNIT_TEST_SUITE_END();

  static bool can_end(base::duration after, base::duration time_limit,
                      std::optional<base::duration> expected) {
    const base::time_point now = signalled + after;
    return can_end_before(stop, {.now = now, .deadline = now + time_limit, .expected = expected});
  }

  // Guards against refusals while callers still come to the node.
  void requests_that_come_early_are_served() {
    CPPUNIT_ASSERT(can_end(milliseconds(2999), seconds(60), seconds(60)));
    CPPUNIT_ASSERT(can_end(seconds(0), seconds(60), std::nullopt));
  }

  // Guards against requests that end with the node, and against refusals of those that need not.
  void late_requests_are_served_if_they_can_end() {
    CPPUNIT_ASSERT(can_end(seconds(4), seconds(15), seconds(3)));
    CPPUNIT_ASSERT(!can_end(seconds(4), seconds(15), milliseconds(3001)));
    CPPUNIT_ASSERT(!can_end(seconds(4), seconds(15), std::nullopt));
    CPPUNIT_ASSERT(can_end(seconds(4), seconds(3), std::nullopt));
    CPPUNIT_ASSERT(!can_end(seconds(8), seconds(1), milliseconds(1)));
  }

  // Guards against an average, with which half of the requests would be cut.
  void longest_recent_response_is_expected() {
    response_times times;
    CPPUNIT_ASSERT(!times.expected("a"));
    times.record("a", milliseconds(100));
    times.record("a", milliseconds(2000));
    times.record("a", milliseconds(100));
    CPPUNIT_ASSERT(*times.expected("a") > milliseconds(1900));
    for (int i = 0; i < 500; ++i) {
      times.record("a", milliseconds(100));
    }
    CPPUNIT_ASSERT(*times.expected("a") < milliseconds(150));
    CPPUNIT_ASSERT(!times.expected("b"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_rule_test);

}  // namespace
}  // namespace fuchsiaspring::node
