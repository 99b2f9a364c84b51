// Splits a server-sent event stream into events.
//
//   event_stream::event_splitter splitter;
//   splitter.append(bytes);
//   while (auto event = splitter.next()) {
//     if (fit_behind(*event, last_id) != event_fit::unfit) { relay(event->raw); }
//   }
//
// A splitter is not thread-safe.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaspring::event_stream {

struct stream_event {
  std::string raw;   // the event as received, with its closing blank line
  std::string data;  // the text of its data lines; empty for a comment
  std::string id;    // the text of its id line; empty if it has none
};

// How an event relates to the events of its stream so far.
enum class event_fit {
  follows,  // an event of the stream
  idle,     // a comment, a reconnection time or an empty line: no event
  unfit,    // repeats an event or goes back, or has no id behind events with ids
};

// Whether `event` may come behind the event `last_id`; an empty id means that the stream has had no
// event with an id, so that all events fit. Ids that are numbers must increase, other ones differ
// from the last one. The customary end marker, whose data is "[DONE]", needs no id.
event_fit fit_behind(const stream_event& event, std::string_view last_id);

class event_splitter {
 public:
  // `max_event_bytes` is the threshold of is_oversized(), which the caller uses to bound the memory
  // for an event that the upstream never ends.
  explicit event_splitter(std::size_t max_event_bytes = 1U << 20U)
      : m_max_event_bytes(max_event_bytes) {}

  void append(std::string_view bytes);

  // The next complete event, if there is one.
  std::optional<stream_event> next();

  // Whether the buffer holds bytes of an incomplete event.
  bool has_partial_event() const { return m_buffer.size() > m_offset; }

  // Whether the incomplete event exceeds `max_event_bytes`.
  bool is_oversized() const { return m_buffer.size() - m_offset > m_max_event_bytes; }

 private:
  std::size_t m_max_event_bytes;
  std::string m_buffer;
  std::size_t m_offset = 0;
};

}  // namespace fuchsiaspring::event_stream
