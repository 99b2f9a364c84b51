// Limits retries to a share of the requests and never retries work that may have been executed.
#include <chrono>
#include <variant>

#include "expectation.h"
#include "fuchsiaspring/retry/retry.h"

namespace base = fuchsiaspring::base;
namespace retry = fuchsiaspring::retry;

int main() {
  expectation check;
  retry::retry_budget budget(100);  // 100 per mille
  base::time_point now{};

  // Each of 1,000 requests fails to connect and requests a retry.
  const retry::failed_attempt not_connected{.kind = retry::work_kind::idempotent,
                                            .to_upstream = retry::byte_progress::none,
                                            .to_caller = retry::byte_progress::none};
  int retries = 0;
  retry::no_retry last_refusal;
  for (int i = 0; i < 1000; ++i) {
    now += std::chrono::milliseconds(10);
    budget.record_request(now);
    const retry::retry_decision decision = retry::decide_retry(not_connected, budget, now);
    if (const auto* refused = std::get_if<retry::no_retry>(&decision)) {
      last_refusal = *refused;
    } else {
      ++retries;
    }
  }
  std::cout << retries << " retries of 1000 failed requests, then "
            << retry::to_string(last_refusal.reason) << "\n";
  check.that(retries >= 90 && retries <= 100, "retries stay within a tenth of the requests");
  check.that(last_refusal.reason == retry::no_retry_reason::budget_exhausted,
             "further retries are refused because the budget is exhausted");
  check.that(last_refusal.executed == retry::execution::no,
             "a request that was never sent was not executed");

  retry::retry_budget full_budget(1000);
  full_budget.record_request(now);
  const retry::failed_attempt redemption{.kind = retry::work_kind::non_idempotent,
                                         .to_upstream = retry::byte_progress::sent,
                                         .to_caller = retry::byte_progress::none};
  const retry::retry_decision decision = retry::decide_retry(redemption, full_budget, now);
  const auto* refused = std::get_if<retry::no_retry>(&decision);
  check.that(refused != nullptr && refused->reason == retry::no_retry_reason::not_idempotent,
             "non-idempotent work that was sent is not retried");
  check.that(refused != nullptr && refused->executed == retry::execution::unknown,
             "whether it was executed is unknown");
  return check.exit_status();
}
