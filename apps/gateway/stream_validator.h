// Checks that the events of an engine's stream belong to one completion.
//
// Guards callers against invalid data, against another request's completion and against an
// incomplete completion that looks complete. Not thread-safe.
#pragma once

#include <string>
#include <string_view>

#include "fuchsiaspring/event_stream/event_splitter.h"

namespace fuchsiaspring::gateway {

enum class event_kind {
  token,    // a chunk of the completion
  done,     // the end marker of a complete stream
  comment,  // an event without data
  failed,   // the engine reports an error
  invalid,  // not an event, not a chunk, or of another completion
};

class stream_validator {
 public:
  // Classifies the next event.
  event_kind check(const event_stream::stream_event& event);

 private:
  event_kind check_data(std::string_view data);

  std::string m_completion_id;
};

// Whether `body` is a JSON object.
bool is_json_object(std::string_view body);

}  // namespace fuchsiaspring::gateway
