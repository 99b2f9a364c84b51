#include "fuchsiaspring/node/notice_rule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fuchsiaspring::node {
namespace {

using std::chrono::seconds;

class notice_rule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(notice_rule_test);
  CPPUNIT_TEST(answer_that_may_come_from_elsewhere_marks_nobody);
  CPPUNIT_TEST(only_status_503_holds_a_replica);
  CPPUNIT_TEST(unreadable_time_is_reported_for_holds_only);
  CPPUNIT_TEST_SUITE_END();

  static response_metadata make_answer() {
    return {.has_request_id = true, .is_leaving = true, .retry_after = seconds(2)};
  }

  // Guards against a sound replica that is marked by a copy of another request's answer, or by the
  // replica that has taken over its address.
  void answer_that_may_come_from_elsewhere_marks_nobody() {
    CPPUNIT_ASSERT(read_notice(503, make_answer()) ==
                   (placement::replica_notice{.is_leaving = true, .hold = seconds(2)}));
    response_metadata answer = make_answer();
    answer.has_request_id = false;
    CPPUNIT_ASSERT(read_notice(503, answer) == placement::replica_notice{});
    answer = make_answer();
    answer.matches_request = false;
    CPPUNIT_ASSERT(read_notice(503, answer) == placement::replica_notice{});
    answer = make_answer();
    answer.is_from_other_replica = true;
    CPPUNIT_ASSERT(read_notice(421, answer) == placement::replica_notice{});
  }

  // Guards against replicas that get no requests because an application limits one caller.
  void only_status_503_holds_a_replica() {
    for (const unsigned status : {200U, 202U, 404U, 429U, 500U, 502U, 504U}) {
      CPPUNIT_ASSERT(read_notice(status, make_answer()) ==
                     placement::replica_notice{.is_leaving = true});
    }
    response_metadata answer = make_answer();
    answer.retry_after = base::duration{};
    CPPUNIT_ASSERT(!read_notice(503, answer).hold);
    answer.retry_after = std::nullopt;
    CPPUNIT_ASSERT(!read_notice(503, answer).hold);
  }

  // Guards against log lines about dates that applications send to callers.
  void unreadable_time_is_reported_for_holds_only() {
    response_metadata answer = make_answer();
    CPPUNIT_ASSERT(!has_unreadable_hold(503, answer));
    answer.unreadable_retry_after = "soon";
    CPPUNIT_ASSERT(has_unreadable_hold(503, answer));
    CPPUNIT_ASSERT(!has_unreadable_hold(429, answer));
    answer.has_request_id = false;
    CPPUNIT_ASSERT(!has_unreadable_hold(503, answer));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(notice_rule_test);

}  // namespace
}  // namespace fuchsiaspring::node
