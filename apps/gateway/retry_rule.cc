#include "apps/gateway/retry_rule.h"

namespace fuchsiaspring::gateway {
namespace {

constexpr std::uint32_t max_attempts = 3;

}  // namespace

bool is_retry_allowed(const attempt_failed& failed, const caller_request& request,
                      std::uint32_t attempt) {
  if (attempt >= max_attempts || failed.reason == "caller_gone") {
    return false;
  }
  return !failed.sent || request.idempotent;
}

}  // namespace fuchsiaspring::gateway
