// What happens to a request after an attempt at an upstream has ended without an answer for the
// caller.
//
//   node::next_step step = node::decide_next(progress, placement::outcome::broken);
//
// A request that is not repeatable goes to a second upstream only if no upstream can have run it. A
// refusal that says "not run" is given only under the same condition.
#pragma once

#include <cstdint>
#include <string_view>

#include "fuchsiaspring/placement/types.h"

namespace fuchsiaspring::node {

struct request_progress {
  bool is_repeatable = false;
  bool is_resumable = false;  // a stream may go on behind its last event
  std::uint32_t runs = 0;     // attempts that an upstream may have begun to run
  std::uint32_t max_runs = 1;
  std::uint32_t dispatches = 0;     // attempts of which a byte was sent
  bool is_answer_started = false;   // the caller has bytes of the answer
  bool has_failure_answer = false;  // the upstream's own failure can be passed on
  bool has_budget = false;          // the fleet's retry budget permits one more dispatch
  bool has_time = false;            // enough is left for another attempt

  friend bool operator==(const request_progress&, const request_progress&) = default;
};

enum class next_step {
  try_again,     // another attempt from the start
  resume,        // another attempt behind the last event
  pass_failure,  // give the caller the upstream's own failure answer
  refuse,        // 503: not run
  fail,          // 502: may have run
  break_off,     // end the connection, so that the answer does not look complete
};

// Stable lower-case name, for log lines.
std::string_view to_string(next_step step);

next_step decide_next(const request_progress& progress, placement::outcome how);

// Whether an attempt that ended so may have been run by the upstream. `was_sent`: a byte of it may
// have reached the upstream.
bool may_have_run(placement::outcome how, bool was_sent);

}  // namespace fuchsiaspring::node
