#include "fuchsiaspring/retry/retry.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::retry {

double retry_budget::decay(base::time_point now) const {
  // If time goes back, the time of the last call is used, so that decay never raises the counts.
  const double elapsed = std::max(0.0, base::to_seconds(now - m_last));
  return std::exp(-elapsed / base::to_seconds(m_window));
}

void retry_budget::advance(base::time_point now) {
  const double factor = decay(now);
  m_requests *= factor;
  m_retries *= factor;
  m_last = std::max(m_last, now);
}

void retry_budget::record_request(base::time_point now) {
  advance(now);
  m_requests += 1;
}

bool retry_budget::can_spend(base::time_point now) const {
  const double factor = decay(now);
  return m_retries * factor + 1 <= m_requests * factor * m_per_mille / 1000.0;
}

bool retry_budget::try_spend(base::time_point now) {
  if (!can_spend(now)) {
    return false;
  }
  advance(now);
  m_retries += 1;
  return true;
}

std::string_view to_string(no_retry_reason reason) {
  switch (reason) {
    case no_retry_reason::answer_started:
      return "answer_started";
    case no_retry_reason::not_idempotent:
      return "not_idempotent";
    case no_retry_reason::attempts_exhausted:
      return "attempts_exhausted";
    case no_retry_reason::budget_exhausted:
      return "budget_exhausted";
  }
  return "budget_exhausted";
}

retry_decision decide_retry(const failed_attempt& failed, retry_budget& budget,
                            base::time_point now) {
  const bool not_sent = failed.to_upstream == byte_progress::none;
  const execution executed = not_sent ? execution::no : execution::unknown;
  if (failed.to_caller != byte_progress::none) {
    return no_retry{no_retry_reason::answer_started, executed};
  }
  if (failed.kind == work_kind::non_idempotent && !not_sent) {
    return no_retry{no_retry_reason::not_idempotent, executed};
  }
  if (failed.attempts >= failed.max_attempts) {
    return no_retry{no_retry_reason::attempts_exhausted, executed};
  }
  if (!budget.try_spend(now)) {
    return no_retry{no_retry_reason::budget_exhausted, executed};
  }
  return retry{failed.attempts + 1};
}

}  // namespace fuchsiaspring::retry
