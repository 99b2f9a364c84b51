// Times carried in idempotency keys.
//
//   const std::uint64_t time_ms = key_time_ms(key);          // 0: the key is opaque
//   if (check_key_time(time_ms, wall_ms, rules) != key_time_verdict::acceptable) { refuse }
//
// All functions are pure and thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::idempotency {

// Retention of keys. The same values must be set on every agent of a fleet.
struct retention_rules {
  base::duration window = std::chrono::hours(1);                // guaranteed for opaque keys
  base::duration clock_error = std::chrono::seconds(5);         // largest difference of wall clocks
  base::duration max_claim_duration = std::chrono::seconds(2);  // bound on the duration of a claim
  // A record without outcome is reported as unknown after this time: longer than any request.
  base::duration open_record_limit = std::chrono::minutes(11);
  std::size_t max_records = 200'000;  // about 40 MB
};

// Milliseconds since the Unix epoch that `key` carries as a UUIDv7 or ULID, or 0.
//
// A text of ULID form whose time lies outside the years 2015 to 2099 counts as opaque: a random
// 26-character key has such a time in 99 of 100 cases and would otherwise be refused.
std::uint64_t key_time_ms(std::string_view key);

enum class key_time_verdict {
  acceptable,
  in_future,  // reason key_time_invalid, executed no
  expired,    // reason key_expired, executed unknown
};

// Checks the time of a key at wall time `wall_ms`. Opaque keys (`time_ms` 0) are acceptable.
key_time_verdict check_key_time(std::uint64_t time_ms, std::uint64_t wall_ms,
                                const retention_rules& rules);

}  // namespace fuchsiaspring::idempotency
