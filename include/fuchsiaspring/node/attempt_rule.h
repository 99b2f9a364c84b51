// Decides how a request continues after an attempt at an upstream has ended without a complete
// response for the caller.
//
//   node::next_step step = node::decide_next(progress, placement::outcome::broken);
//
// A non-idempotent request is sent to a second upstream only if no upstream can have run it. Only
// under the same condition does the response state that the request did not run.
#pragma once

#include <cstdint>
#include <string_view>

#include "fuchsiaspring/placement/types.h"

namespace fuchsiaspring::node {

struct request_progress {
  bool is_idempotent = false;  // may run more than once
  bool is_resumable = false;   // a stream that can continue after its last event
  std::uint32_t runs = 0;      // attempts that an upstream may have begun to run
  std::uint32_t max_runs = 1;
  std::uint32_t dispatches = 0;      // attempts of which at least one byte was sent
  bool is_response_started = false;  // the caller has received response bytes
  bool has_error_response = false;   // an upstream's error response can be forwarded
  bool has_budget = false;           // the fleet's retry budget permits one more dispatch
  bool has_time = false;             // the deadline leaves enough time for another attempt
  bool is_permitted = true;          // nothing forbids an attempt at every replica
  bool is_config_outdated = false;   // only the age of the configuration forbids it
  // The router itself gave an attempt up at a replica that may have been sound.
  bool has_given_up_attempt = false;

  friend bool operator==(const request_progress&, const request_progress&) = default;
};

enum class next_step {
  try_again,     // another attempt from the start
  resume,        // another attempt that continues after the last event
  wait,          // the same, once an obstacle that passes is gone
  pass_failure,  // forward the upstream's error response
  refuse,        // 503: the request was not run
  fail,          // 502: the request may have run
  break_off,     // close the connection, so that a partial response does not look complete
};

// Stable lower-case name, for log lines.
std::string_view to_string(next_step step);

next_step decide_next(const request_progress& progress, placement::outcome attempt_outcome);

// Whether an attempt that has stalled may be given up while its upstream may be at work on it: only
// if the request is then repeated or resumed. `progress` describes the request without the attempt.
bool may_abandon_attempt(const request_progress& progress);

// Whether callers take this status for a promise that their request did not run and never will. A
// response that is passed on lacks the upstream's statement of this.
bool promises_no_run(unsigned status);

// Whether the upstream may have run an attempt that ended with `attempt_outcome`. `was_sent`: a
// byte of the attempt may have reached the upstream.
bool may_have_run(placement::outcome attempt_outcome, bool was_sent);

}  // namespace fuchsiaspring::node
