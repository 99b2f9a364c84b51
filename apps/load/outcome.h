// Outcome of one request of the load generator.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "apps/load/load_plan.h"

namespace fuchsiaspring::load {

enum class outcome_kind {
  ok,
  refused,      // an error response with `executed: no`
  rejected,     // another 4xx response, such as 409 for a duplicate key
  failed,       // another 5xx response
  cut,          // a stream that ended without [DONE], or with an error event
  corrupt,      // wrong content, or words missing before [DONE]
  unreachable,  // no connection
  lost,         // connection lost before a complete response
  timed_out,
};

std::string to_string(outcome_kind kind);

// Times count from the scheduled arrival, in milliseconds.
struct request_outcome {
  outcome_kind kind = outcome_kind::lost;
  std::size_t entry = 0;
  long status = 0;
  std::string executed;  // "no", "unknown" or empty
  std::string reason;
  std::string request_id;
  std::string key;
  std::string fault;  // human-readable
  double first_token_ms = 0;
  double total_ms = 0;
  double sent_late_ms = 0;     // delay of the start, caused by the generator itself
  std::vector<float> gaps_ms;  // between tokens
  std::uint32_t tokens = 0;
};

// Whether the response is complete and within the targets of its entry. The target between tokens
// applies to the mean.
bool meets_targets(const request_outcome& outcome, const mix_entry& entry);

}  // namespace fuchsiaspring::load
