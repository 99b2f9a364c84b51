// Time points and durations for decisions, leases and timeouts.
//
// Decision code takes the current time as an argument and never reads a clock:
//
//   base::time_point now = base::boot_clock::now();   // in a daemon
//   budget.record_request(now);
//
// The clock is CLOCK_BOOTTIME: unlike CLOCK_MONOTONIC it advances while a VM is suspended, so a
// lease also expires during a suspension.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace fuchsiaspring::base {

// Monotonic clock that includes the time the VM was suspended. Thread-safe.
class boot_clock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

// Milliseconds since the Unix epoch by the wall clock. Used for times carried in idempotency keys
// and for display, never for leases.
std::uint64_t wall_clock_ms() noexcept;

// Whole milliseconds of `value`, at least 0.
constexpr std::int64_t to_milliseconds(duration value) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  return count < 0 ? 0 : count;
}

// Seconds as a floating-point number.
constexpr double to_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

// A duration of `seconds`, rounded to nanoseconds.
constexpr duration from_seconds(double seconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace fuchsiaspring::base
