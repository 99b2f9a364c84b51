// Rules for retries of failed attempts.
//
//   retry::retry_budget budget(100);   // 100 per mille of the class's recent requests
//   budget.record_request(now);        // for each first attempt
//
//   const retry::retry_decision decision = retry::decide_retry(failed, budget, now);
//   if (const auto* refused = std::get_if<retry::no_retry>(&decision)) {
//     respond(refused->reason, refused->executed);
//   }
//
// A request that is not idempotent is never retried once a byte of it may have reached an upstream,
// and no request is retried once a byte of the response has reached the caller. A budget bounds the
// load that retries add while upstreams fail. Time is an argument. Not thread-safe.
#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::retry {

// Limits the retries of one class to a share of its recent requests. Requests and retries are
// counted with the same exponential decay, so the share holds in the long run and in every burst.
class retry_budget {
 public:
  explicit retry_budget(std::uint32_t per_mille, base::duration window = std::chrono::seconds(60))
      : m_per_mille(per_mille), m_window(window) {}

  // Counts the first attempt of a request.
  void record_request(base::time_point now);

  // Whether one more retry is within the budget.
  bool can_spend(base::time_point now) const;

  // Counts a retry if it is within the budget, and returns whether it is.
  bool try_spend(base::time_point now);

  // Changes the share; counts are kept.
  void set_per_mille(std::uint32_t per_mille) { m_per_mille = per_mille; }

 private:
  double decay(base::time_point now) const;
  void advance(base::time_point now);

  std::uint32_t m_per_mille;
  base::duration m_window;
  double m_requests = 0;
  double m_retries = 0;
  base::time_point m_last{};
};

enum class work_kind { idempotent, non_idempotent };

// Whether any attempt of the request transferred bytes to the peer. `unknown` is treated as `sent`.
enum class byte_progress { none, sent, unknown };

// A request whose last attempt failed.
struct failed_attempt {
  work_kind kind = work_kind::non_idempotent;
  byte_progress to_upstream = byte_progress::unknown;
  byte_progress to_caller = byte_progress::unknown;
  std::uint32_t attempts = 1;  // made so far, at least 1
  std::uint32_t max_attempts = 3;

  friend bool operator==(const failed_attempt&, const failed_attempt&) = default;
};

enum class no_retry_reason {
  answer_started,      // a byte of the response reached the caller
  not_idempotent,      // a byte of a non-idempotent request may have reached an upstream
  attempts_exhausted,  // max_attempts were made
  budget_exhausted,    // the retry budget of the class is used up
};

// Stable lower-case name of `reason`, for counters.
std::string_view to_string(no_retry_reason reason);

// Whether the request may have been executed, as reported to the caller.
enum class execution { no, unknown };

struct retry {
  std::uint32_t attempt = 2;  // number of the next attempt

  friend bool operator==(const retry&, const retry&) = default;
};

struct no_retry {
  no_retry_reason reason = no_retry_reason::not_idempotent;
  execution executed = execution::unknown;

  friend bool operator==(const no_retry&, const no_retry&) = default;
};

using retry_decision = std::variant<retry, no_retry>;

// Decides whether to retry, and counts an allowed retry against the budget. The reasons are checked
// in the order of their declaration, so a retry that is refused for another reason spends no
// budget.
retry_decision decide_retry(const failed_attempt& failed, retry_budget& budget,
                            base::time_point now);

}  // namespace fuchsiaspring::retry
