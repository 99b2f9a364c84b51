#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/retry/retry.h"

namespace fuchsiaspring::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};

class retry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_test);
  CPPUNIT_TEST(every_combination_of_inputs_follows_the_rules);
  CPPUNIT_TEST(share_holds_over_random_traffic);
  CPPUNIT_TEST(budget_of_a_past_peak_decays);
  CPPUNIT_TEST(refused_retry_spends_no_budget);
  CPPUNIT_TEST_SUITE_END();

  static retry_budget budget_for_one_retry() {
    retry_budget budget(100);
    for (int i = 0; i < 15; ++i) {
      budget.record_request(start);
    }
    return budget;
  }

  // Guards against a second execution (I7), a response that starts twice (I5) and a refusal that
  // wrongly reports that nothing was executed (I6).
  void every_combination_of_inputs_follows_the_rules() {
    constexpr byte_progress all[] = {byte_progress::none, byte_progress::sent,
                                     byte_progress::unknown};
    for (const work_kind kind : {work_kind::idempotent, work_kind::non_idempotent}) {
      for (const byte_progress upstream : all) {
        for (const byte_progress caller : all) {
          for (const std::uint32_t attempts : {1U, 3U}) {
            retry_budget budget = budget_for_one_retry();
            const auto decision =
                decide_retry({kind, upstream, caller, attempts, 3}, budget, start);
            const bool allowed = caller == byte_progress::none && attempts < 3 &&
                                 (kind == work_kind::idempotent || upstream == byte_progress::none);
            CPPUNIT_ASSERT_EQUAL(allowed, std::holds_alternative<retry>(decision));
            if (const auto* refused = std::get_if<no_retry>(&decision)) {
              CPPUNIT_ASSERT_EQUAL(upstream == byte_progress::none,
                                   refused->executed == execution::no);
            }
          }
        }
      }
    }
  }

  // Guards against retries that multiply the load while all upstreams fail.
  void share_holds_over_random_traffic() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      base::random_source random(seed);
      retry_budget budget(100);
      base::time_point now = start;
      int requests = 0;
      int retries = 0;
      for (int i = 0; i < 5000; ++i) {
        now += base::from_seconds(random.exponential(random.uniform_below(2) == 0 ? 0.01 : 2.0));
        budget.record_request(now);
        requests += 1;
        while (budget.try_spend(now)) {
          retries += 1;
        }
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), retries <= 0.1 * requests + 1e-9);
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), retries > 0.05 * requests);
    }
  }

  // Guards against a traffic peak that allows retries long after it has ended.
  void budget_of_a_past_peak_decays() {
    retry_budget budget(100);
    for (int i = 0; i < 1000; ++i) {
      budget.record_request(start);
    }
    CPPUNIT_ASSERT(budget.can_spend(start + seconds(60)));
    CPPUNIT_ASSERT(!budget.can_spend(start + seconds(600)));
    // A share of 0 allows no retry.
    CPPUNIT_ASSERT(!retry_budget(0).can_spend(start));
  }

  // Guards against refusals that use up the budget of allowed retries.
  void refused_retry_spends_no_budget() {
    retry_budget budget = budget_for_one_retry();
    decide_retry({work_kind::non_idempotent, byte_progress::sent, byte_progress::none, 1, 3},
                 budget, start);
    CPPUNIT_ASSERT(budget.can_spend(start));
    const failed_attempt idempotent{work_kind::idempotent, byte_progress::sent, byte_progress::none,
                                    1, 3};
    CPPUNIT_ASSERT((decide_retry(idempotent, budget, start) == retry_decision(retry{2})));
    CPPUNIT_ASSERT(
        (decide_retry(idempotent, budget, start) ==
         retry_decision(no_retry{no_retry_reason::budget_exhausted, execution::unknown})));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_test);

}  // namespace
}  // namespace fuchsiaspring::retry
