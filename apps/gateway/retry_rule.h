// Whether a failed attempt may be followed by another one.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "apps/gateway/attempt.h"
#include "apps/gateway/caller_request.h"

namespace fuchsiaspring::gateway {

inline constexpr std::array<std::string_view, 7> all_retry_reasons{
    "grant_expired",    "preempted",        "upstream_connect",   "upstream_error",
    "upstream_timeout", "upstream_invalid", "upstream_incomplete"};

// To be called only while nothing has reached the caller. A request of which a byte was sent is
// repeated only if it is idempotent. The scheduler applies the class's retry budget when the next
// attempt requests admission.
bool is_retry_allowed(const attempt_failed& failed, const caller_request& request,
                      std::uint32_t attempt);

}  // namespace fuchsiaspring::gateway
