// Return values that hold either a value or an error.
//
//   base::result<int> parse_port(std::string_view text);
//
//   auto port = parse_port("8080");
//   if (!port) {
//     return port.error();
//   }
//   use(port.value());
//
// Reading the value of a failed result is a programming error and terminates the process.
#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <compare>
#include <string>
#include <string_view>

namespace fuchsiaspring::base {

enum class error_code {
  invalid_argument,     // the input can never be accepted
  not_found,            // the named object does not exist
  unavailable,          // the peer cannot be reached; a retry may succeed
  timed_out,            // a time limit expired
  unauthenticated,      // a signature or token does not verify
  failed_precondition,  // the current state does not allow the operation
  cancelled,            // the operation was cancelled by its caller
  internal,             // a library reported an unexpected failure
};

// Stable lower-case name of `code`, for logs and counters.
std::string_view to_string(error_code code);

// Cause of a failure. `message` is one short sentence without a trailing period.
struct error {
  error_code code = error_code::internal;
  std::string message;

  friend auto operator<=>(const error&, const error&) = default;
};

template <typename Value>
using result = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::terminate>;

inline boost::outcome_v2::success_type<void> success() {
  return boost::outcome_v2::success();
}

}  // namespace fuchsiaspring::base
