#include <cppunit/extensions/HelperMacros.h>

#include "fuchsiaspring/node/attempt_rule.h"

namespace fuchsiaspring::node {
namespace {

using placement::outcome;

constexpr outcome all_outcomes[] = {outcome::answered, outcome::server_error,  outcome::rejected,
                                    outcome::replaced, outcome::not_connected, outcome::broken,
                                    outcome::silent,   outcome::cancelled};

request_progress after_one_attempt(outcome how, bool was_sent) {
  request_progress progress;
  progress.dispatches = was_sent ? 1 : 0;
  progress.runs = may_have_run(how, was_sent) ? 1 : 0;
  progress.has_budget = true;
  progress.has_time = true;
  return progress;
}

class attempt_rule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_rule_test);
  CPPUNIT_TEST(non_idempotent_request_is_never_sent_after_it_may_have_run);
  CPPUNIT_TEST(refusal_is_given_only_if_nothing_can_have_run);
  CPPUNIT_TEST(attempts_and_budget_bound_repetitions);
  CPPUNIT_TEST(started_answer_is_resumed_or_broken_off);
  CPPUNIT_TEST(failure_of_the_upstream_is_passed_on);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a card that is charged twice.
  void non_idempotent_request_is_never_sent_after_it_may_have_run() {
    for (const outcome how : all_outcomes) {
      for (const bool was_sent : {false, true}) {
        const request_progress progress = after_one_attempt(how, was_sent);
        const next_step step = decide_next(progress, how);
        CPPUNIT_ASSERT_EQUAL(progress.runs == 0, step == next_step::try_again);
        CPPUNIT_ASSERT(step != next_step::resume);
      }
    }
  }

  // Guards against "not run" said of a request that has run.
  void refusal_is_given_only_if_nothing_can_have_run() {
    for (const outcome how : all_outcomes) {
      for (const bool was_sent : {false, true}) {
        request_progress progress = after_one_attempt(how, was_sent);
        progress.has_time = false;
        const next_step step = decide_next(progress, how);
        CPPUNIT_ASSERT_EQUAL(progress.runs == 0, step == next_step::refuse);
        CPPUNIT_ASSERT_EQUAL(progress.runs > 0, step == next_step::fail);
      }
    }
  }

  // Guards against a retry storm and against more runs than the route permits.
  void attempts_and_budget_bound_repetitions() {
    request_progress progress = after_one_attempt(outcome::broken, true);
    progress.is_repeatable = true;
    progress.max_runs = 2;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::try_again);
    progress.has_budget = false;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::fail);
    progress.has_budget = true;
    progress.runs = 2;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::fail);
    progress.runs = 0;
    progress.dispatches = 4;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::refuse);
  }

  // Guards against a cut stream that looks complete.
  void started_answer_is_resumed_or_broken_off() {
    request_progress progress = after_one_attempt(outcome::broken, true);
    progress.is_answer_started = true;
    progress.max_runs = 2;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::break_off);
    progress.is_resumable = true;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::resume);
    progress.runs = 2;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::break_off);
  }

  void failure_of_the_upstream_is_passed_on() {
    request_progress progress = after_one_attempt(outcome::server_error, true);
    progress.has_failure_answer = true;
    CPPUNIT_ASSERT(decide_next(progress, outcome::server_error) == next_step::pass_failure);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_rule_test);

}  // namespace
}  // namespace fuchsiaspring::node
