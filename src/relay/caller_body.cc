// Bodies of requests: reads them in pieces that the listener's memory budget has room for.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/caller_state.h"
#include "relay/socket_options.h"

namespace fuchsiaspring::relay {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Bodies above this size are read through a larger buffer, to save system calls.
constexpr std::size_t short_body_bytes = 4096;
constexpr std::size_t read_buffer_bytes = 16384;
// A body that got fewer new bytes than this has made no progress. Less than 4 KiB a second would
// take 17 minutes for a body of 4 MiB, and every request is out of time before.
constexpr std::size_t min_progress_bytes = 4096;
// A request that gets no memory for this long is refused. Callers wait longer for a response.
constexpr base::duration max_reservation_wait = std::chrono::seconds(5);
constexpr base::duration reservation_check_interval = std::chrono::milliseconds(100);
constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

void caller_connection::read_body() {
  state& s = *m_state;
  if (s.parser->is_done()) {
    dispatch_request();
    return;
  }
  if (!make_space_for_body()) {
    return;  // it waits for memory, or the request has been refused
  }
  if (std::exchange(s.expects_continue, false)) {
    write(std::string(interim_response));
  }
  const base::duration time_left = s.body_deadline - base::boot_clock::now();
  start_input_timer(std::clamp(time_left, base::duration{}, s.listener->limits.idle_timeout),
                    input_fault::body_timeout);
  const std::span<char> space = s.body.space();
  s.parser->get().body().data = space.data();
  s.parser->get().body().size = space.size();
  s.parser->get().body().more = true;
  http::async_read_some(
      s.socket, s.buffer, *s.parser,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->on_body(error); });
}

void caller_connection::on_body(const error_code& error) {
  state& s = *m_state;
  if (s.current_phase != state::phase::reading) {
    return;
  }
  s.body.commit(s.body.space().size() - s.parser->get().body().size);
  if (s.body.size() >= s.progress_bytes + min_progress_bytes) {
    note_progress();
  }
  if (error == http::error::body_limit) {
    reject(input_fault::body_too_large);
    return;
  }
  if (error == http::error::partial_message || error == http::error::end_of_stream ||
      error.category() == boost::system::system_category()) {
    if (error) {
      close();
      return;
    }
  }
  if (error && error != http::error::need_buffer) {
    reject(input_fault::malformed);
    return;
  }
  read_body();
}

void caller_connection::note_progress() {
  state& s = *m_state;
  std::list<caller_connection*>& reading = s.listener->reading_connections;
  if (!s.reading_position) {
    s.reading_position = reading.insert(reading.end(), this);
  } else {
    reading.splice(reading.end(), reading, *s.reading_position);
  }
  s.progress_bytes = s.body.size();
  s.progress_at = base::boot_clock::now();
}

bool caller_connection::make_space_for_body() {
  state& s = *m_state;
  if (!s.body.space().empty()) {
    return true;
  }
  std::optional<std::size_t> bytes_left;
  if (const auto length = s.parser->content_length()) {
    bytes_left = static_cast<std::size_t>(*length) - s.body.size();
  }
  const std::size_t piece = s.body.next_piece(bytes_left);
  const std::size_t expected = s.body.size() + bytes_left.value_or(piece);
  if (s.body_charge.is_reservation()) {
    // Pieces may exceed the greatest body that was reserved by a part of the last one.
    s.body_charge.resize(std::max(s.body_charge.bytes(), s.body.capacity() + piece));
  } else if (expected > small_body_bytes) {
    return reserve_body(bytes_left ? expected : s.listener->limits.body_bytes);
  } else {
    while (!s.body_charge.try_resize(s.body.capacity() + piece)) {
      if (!s.listener->shed_connection()) {
        reject(input_fault::no_memory);
        return false;
      }
    }
  }
  if (expected > short_body_bytes && s.buffer.capacity() < read_buffer_bytes) {
    s.buffer.reserve(read_buffer_bytes);
    update_charge();
  }
  s.body.add_piece(piece);
  return true;
}

// Returns whether the body may be read on at once.
bool caller_connection::reserve_body(std::size_t bytes) {
  state& s = *m_state;
  if (auto reserved = s.listener->budget->try_reserve(bytes)) {
    s.body_charge = std::move(*reserved);
    return make_space_for_body();
  }
  // It is not the caller's fault that the body makes no progress meanwhile.
  leave_reading_connections();
  const bool is_waiting = s.listener->budget->wait(
      this, bytes, internal::receive_buffer_bytes,
      [weak = weak_from_this()](memory_charge granted) {
        if (const auto self = weak.lock()) {
          self->m_state->body_charge = std::move(granted);
          // The call that returned the bytes may be one of another connection.
          asio::post(self->m_state->socket.get_executor(), [self] { self->on_reserved(); });
        }
      });
  if (!is_waiting) {
    reject(input_fault::no_memory);
    return false;
  }
  check_reservation(base::boot_clock::now());
  return false;
}

void caller_connection::check_reservation(base::time_point since) {
  state& s = *m_state;
  start_timer(reservation_check_interval, [this, since] { check_reservation(since); });
  if (base::boot_clock::now() - since >= max_reservation_wait) {
    reject(input_fault::no_memory);
    return;
  }
  s.listener->shed_stalled_body();
}

void caller_connection::on_reserved() {
  state& s = *m_state;
  if (s.current_phase != state::phase::reading) {
    return;
  }
  note_progress();
  read_body();
}

message_body caller_connection::take_body() {
  state& s = *m_state;
  if (s.body.size() == 0) {
    discard_body();
    return {};
  }
  s.body_charge.resize(s.body.capacity());
  return {s.body.take(), std::exchange(s.body_charge, memory_charge(s.listener->budget))};
}

// A read that is still pending finds no space to write to.
void caller_connection::discard_body() {
  state& s = *m_state;
  if (s.parser) {
    s.parser->get().body().data = nullptr;
    s.parser->get().body().size = 0;
  }
  (void)s.body.take();
  s.body_charge = memory_charge(s.listener->budget);
}

}  // namespace fuchsiaspring::relay
