#include <cppunit/extensions/HelperMacros.h>

#include "fuchsiaspring/node/attempt_rule.h"

namespace fuchsiaspring::node {
namespace {

using placement::outcome;

constexpr outcome all_outcomes[] = {outcome::answered, outcome::server_error,  outcome::rejected,
                                    outcome::replaced, outcome::not_connected, outcome::broken,
                                    outcome::silent,   outcome::cancelled};

request_progress after_one_attempt(outcome attempt_outcome, bool was_sent) {
  request_progress progress;
  progress.dispatches = was_sent ? 1 : 0;
  progress.runs = may_have_run(attempt_outcome, was_sent) ? 1 : 0;
  progress.has_budget = true;
  progress.has_time = true;
  return progress;
}

class attempt_rule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_rule_test);
  CPPUNIT_TEST(non_idempotent_request_is_not_retried_after_it_may_have_run);
  CPPUNIT_TEST(refusal_says_not_run_only_if_no_upstream_can_have_run_it);
  CPPUNIT_TEST(run_limit_dispatch_limit_and_budget_end_retries);
  CPPUNIT_TEST(started_response_is_resumed_or_aborted);
  CPPUNIT_TEST(error_response_of_the_upstream_is_forwarded);
  CPPUNIT_TEST(stalled_attempt_is_abandoned_only_for_another_attempt);
  CPPUNIT_TEST(given_up_attempt_does_not_cost_the_response);
  CPPUNIT_TEST(request_that_no_replica_may_get_is_not_attempted_again);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a non-idempotent request, such as a payment, that runs twice.
  void non_idempotent_request_is_not_retried_after_it_may_have_run() {
    for (const outcome attempt_outcome : all_outcomes) {
      for (const bool was_sent : {false, true}) {
        const request_progress progress = after_one_attempt(attempt_outcome, was_sent);
        const next_step step = decide_next(progress, attempt_outcome);
        CPPUNIT_ASSERT_EQUAL(progress.runs == 0, step == next_step::try_again);
        CPPUNIT_ASSERT(step != next_step::resume);
      }
    }
  }

  // Guards against a caller that repeats a request because a refusal wrongly says "not run".
  void refusal_says_not_run_only_if_no_upstream_can_have_run_it() {
    for (const outcome attempt_outcome : all_outcomes) {
      for (const bool was_sent : {false, true}) {
        request_progress progress = after_one_attempt(attempt_outcome, was_sent);
        progress.has_time = false;
        const next_step step = decide_next(progress, attempt_outcome);
        CPPUNIT_ASSERT_EQUAL(progress.runs == 0, step == next_step::refuse);
        CPPUNIT_ASSERT_EQUAL(progress.runs > 0, step == next_step::fail);
      }
    }
  }

  // Guards against retry storms and against more runs than the route permits.
  void run_limit_dispatch_limit_and_budget_end_retries() {
    request_progress progress = after_one_attempt(outcome::broken, true);
    progress.is_idempotent = true;
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

  // Guards against a truncated stream that looks complete to the caller.
  void started_response_is_resumed_or_aborted() {
    request_progress progress = after_one_attempt(outcome::broken, true);
    progress.is_response_started = true;
    progress.max_runs = 2;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::break_off);
    progress.is_resumable = true;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::resume);
    progress.runs = 2;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::break_off);
  }

  // Guards against an upstream's error response that is replaced by the node's own 502.
  void error_response_of_the_upstream_is_forwarded() {
    request_progress progress = after_one_attempt(outcome::server_error, true);
    progress.has_error_response = true;
    CPPUNIT_ASSERT(decide_next(progress, outcome::server_error) == next_step::pass_failure);
  }

  // Guards against a request whose key was revoked after its first attempt: it was granted and
  // refused to be sent in a loop until its deadline, and each round drew on the retry budget.
  void request_that_no_replica_may_get_is_not_attempted_again() {
    for (const outcome attempt_outcome : all_outcomes) {
      request_progress progress = after_one_attempt(outcome::broken, true);
      progress.is_idempotent = true;
      progress.max_runs = 3;
      CPPUNIT_ASSERT(decide_next(progress, attempt_outcome) == next_step::try_again);
      progress.is_permitted = false;
      CPPUNIT_ASSERT(decide_next(progress, attempt_outcome) == next_step::fail);
      progress.has_error_response = true;
      CPPUNIT_ASSERT(decide_next(progress, attempt_outcome) == next_step::pass_failure);
      progress.is_response_started = true;
      progress.is_resumable = true;
      CPPUNIT_ASSERT(decide_next(progress, attempt_outcome) == next_step::break_off);
    }
  }

  // Guards against a response that is broken off because the router gave up a sound attempt and the
  // retry budget or the configuration's lease is used up for a moment.
  void given_up_attempt_does_not_cost_the_response() {
    request_progress progress = after_one_attempt(outcome::broken, true);
    progress.is_response_started = true;
    progress.is_resumable = true;
    progress.max_runs = 2;
    progress.has_budget = false;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::break_off);
    progress.has_given_up_attempt = true;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::wait);
    progress.has_budget = true;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::resume);
    progress.dispatches = 40;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::resume);
    progress.is_permitted = false;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::break_off);
    progress.is_config_outdated = true;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::wait);
    progress.has_time = false;
    CPPUNIT_ASSERT(decide_next(progress, outcome::rejected) == next_step::break_off);
    progress.has_time = true;
    progress.runs = 2;
    CPPUNIT_ASSERT(decide_next(progress, outcome::broken) == next_step::break_off);
  }

  // Guards against giving up an attempt that may still succeed when nothing can replace it.
  void stalled_attempt_is_abandoned_only_for_another_attempt() {
    request_progress progress;
    progress.dispatches = 1;
    progress.max_runs = 2;
    progress.has_budget = true;
    progress.has_time = true;
    CPPUNIT_ASSERT(!may_abandon_attempt(progress));
    progress.is_idempotent = true;
    CPPUNIT_ASSERT(may_abandon_attempt(progress));
    progress.is_response_started = true;
    CPPUNIT_ASSERT(!may_abandon_attempt(progress));
    progress.is_resumable = true;
    CPPUNIT_ASSERT(may_abandon_attempt(progress));
    progress.has_time = false;
    CPPUNIT_ASSERT(!may_abandon_attempt(progress));
    progress.has_time = true;
    progress.has_budget = false;
    CPPUNIT_ASSERT(!may_abandon_attempt(progress));
    progress.has_budget = true;
    progress.runs = 1;
    CPPUNIT_ASSERT(!may_abandon_attempt(progress));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_rule_test);

}  // namespace
}  // namespace fuchsiaspring::node
