// Requests of a caller: reads their heads, hands them to the listener's handler, and watches for
// the end of the connection meanwhile.
#include <algorithm>
#include <utility>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/caller_state.h"
#include "relay/framing.h"
#include "relay/socket_options.h"

namespace fuchsiaspring::relay {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Limit for bytes of pipelined requests that are read while a request is being handled.
constexpr std::size_t max_pipelined_bytes = 16384;
constexpr std::size_t watch_read_bytes = 2048;
// The parser throws for a field of 64 KiB or more, so that a head may not exceed that either.
constexpr std::size_t max_head_bytes = 65535;
// HTTP/1.0 has neither interim responses nor chunked encoding.
constexpr unsigned http_1_1 = 11;
constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
// A timer with this time runs after the event loop has looked at the sockets again.
constexpr base::duration next_turn{};
constexpr std::string_view overload_retry_after_s = "1";

unsigned rejection_status(input_fault fault) {
  switch (fault) {
    case input_fault::malformed:
      return 400;
    case input_fault::header_too_large:
      return 431;
    case input_fault::body_too_large:
      return 413;
    case input_fault::header_timeout:
    case input_fault::body_timeout:
      return 408;
    case input_fault::no_memory:
      return 503;
    case input_fault::unsupported_coding:
      return 501;
  }
  return 400;
}

input_fault to_input_fault(internal::framing_fault fault) {
  switch (fault) {
    case internal::framing_fault::ambiguous:
      return input_fault::malformed;
    case internal::framing_fault::unsupported_coding:
      return input_fault::unsupported_coding;
  }
  return input_fault::malformed;
}

}  // namespace

void caller_connection::read_head() {
  state& s = *m_state;
  s.current_phase = state::phase::reading;
  s.is_response_queued = false;
  s.has_begun_response = false;
  s.is_input_ended = false;
  s.is_chunked = false;
  leave_idle_connections();
  s.parser.emplace();
  if (!charge_head()) {
    reject(input_fault::no_memory);
    return;
  }
  note_progress();
  s.parser->header_limit(
      static_cast<std::uint32_t>(std::min(s.listener->limits.header_bytes, max_head_bytes)));
  s.parser->body_limit(s.listener->limits.body_bytes);
  start_input_timer(s.listener->limits.header_timeout, input_fault::header_timeout);
  http::async_read_header(s.socket, s.buffer, *s.parser,
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            self->m_state->head_bytes = 2 * size;  // as received and as parsed
                            self->update_charge();
                            self->on_head(error);
                          });
}

// Until the head is complete, it is charged with the greatest size: its reading is one operation.
bool caller_connection::charge_head() {
  state& s = *m_state;
  s.head_bytes = std::min(s.listener->limits.header_bytes, max_head_bytes);
  do {
    if (s.charge.try_resize(charged_bytes())) {
      return true;
    }
  } while (s.listener->shed_connection());
  return false;
}

void caller_connection::start_input_timer(base::duration timeout, input_fault fault) {
  start_timer(timeout, [this, fault] { on_input_timeout(fault, received_bytes()); });
}

// When the event loop was busy, bytes that arrived in time are read behind this timer. Only the
// `arrived_bytes` are waited for, so that a slow caller gains no time with further ones.
void caller_connection::on_input_timeout(input_fault fault, std::size_t arrived_bytes) {
  if (has_received_bytes() && m_state->buffer.size() < arrived_bytes) {
    start_timer(next_turn,
                [this, fault, arrived_bytes] { on_input_timeout(fault, arrived_bytes); });
    return;
  }
  // The handler of the last read may be queued behind this one.
  start_timer(next_turn, [this, fault] { reject(fault); });
}

void caller_connection::on_head(const error_code& error) {
  state& s = *m_state;
  if (s.current_phase != state::phase::reading) {
    return;
  }
  s.received_at = base::boot_clock::now();
  if (error == http::error::header_limit) {
    reject(input_fault::header_too_large);
    return;
  }
  if (error == http::error::body_limit) {
    reject(input_fault::body_too_large);
    return;
  }
  if (error == http::error::end_of_stream || error == asio::error::operation_aborted ||
      error.category() == boost::system::system_category() || error == asio::error::eof) {
    if (error) {
      close();
      return;
    }
  }
  if (error) {
    reject(input_fault::malformed);
    return;
  }
  if (const auto fault = internal::find_framing_fault(s.parser->get(), s.parser->get().version())) {
    reject(to_input_fault(*fault));
    return;
  }
  s.expects_continue = s.parser->get()[http::field::expect] == "100-continue";
  take_head();
  s.parser->eager(true);
  s.body_deadline = s.received_at + s.listener->limits.body_timeout;
  read_body();
}

// The parser adds the fields of a trailer to its message, where they would pass for headers.
void caller_connection::take_head() {
  state& s = *m_state;
  auto& head = s.parser->get();
  s.request_keep_alive = head.keep_alive();
  s.http_version = head.version();
  s.is_head_request = head.method() == http::verb::head;
  s.request_head.method = std::string(head.method_string());
  s.request_head.target = std::string(head.target());
  s.request_head.headers = internal::to_headers(head);
  head.clear();
}

void caller_connection::dispatch_request() {
  state& s = *m_state;
  ++s.timer_generation;
  s.timer.cancel();
  s.current_phase = state::phase::handling;
  request message = std::exchange(s.request_head, {});
  message.body = take_body();
  s.parser.reset();
  leave_reading_connections();
  watch_for_disconnect();
  s.listener->on_request(*this, std::move(message));
}

void caller_connection::watch_for_disconnect() {
  if (m_state->is_read_wait_pending || m_state->buffer.size() > max_pipelined_bytes) {
    return;
  }
  m_state->is_read_wait_pending = true;
  m_state->socket.async_wait(
      asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        state& s = *self->m_state;
        s.is_read_wait_pending = false;
        if (s.current_phase != state::phase::handling) {
          return;
        }
        if (error) {
          self->on_disconnect();
          return;
        }
        error_code result;
        s.socket.non_blocking(true, result);
        const std::size_t received = s.socket.read_some(s.buffer.prepare(watch_read_bytes), result);
        s.buffer.commit(received);
        self->update_charge();
        if (result == asio::error::eof) {
          self->on_end_of_input();
          return;
        }
        if (result && result != asio::error::would_block) {
          self->on_disconnect();
          return;
        }
        self->watch_for_disconnect();
      });
}

// A caller that has closed its connection and one that has shut down only its sending side, and
// awaits its response, look the same until bytes are sent: the former answers them with a reset.
// Clients of HTTP/1.1 accept interim responses at any time (RFC 9110, section 15.2). Within a
// response there is nothing that could be sent, and its caller counts as gone.
void caller_connection::on_end_of_input() {
  state& s = *m_state;
  if (s.is_response_queued) {
    return;  // no work is left to stop, and the writes show whether the caller is there
  }
  if (s.has_begun_response || s.http_version < http_1_1) {
    on_disconnect();
    return;
  }
  s.is_input_ended = true;
  s.socket.async_wait(asio::ip::tcp::socket::wait_error,
                      [self = shared_from_this()](const error_code& error) {
                        if (!error && self->m_state->current_phase == state::phase::handling) {
                          self->on_disconnect();
                        }
                      });
  if (!s.is_writing) {
    check_presence();
  }
}

void caller_connection::check_presence() {
  write(std::string(interim_response));
}

void caller_connection::on_disconnect() {
  state& s = *m_state;
  const auto on_disconnected = std::exchange(s.on_disconnected, nullptr);
  close();
  if (on_disconnected) {
    on_disconnected();
  }
}

void caller_connection::reject(input_fault fault) {
  state& s = *m_state;
  if (s.listener->on_fault) {
    s.listener->on_fault(fault);
  }
  s.current_phase = state::phase::handling;
  leave_reading_connections();
  discard_body();
  s.request_keep_alive = false;
  s.http_version = http_1_1;
  s.is_head_request = false;
  const std::string text = std::string(R"({"error":")") + std::string(to_string(fault)) + R"("})";
  response message{{rejection_status(fault), {{"Content-Type", "application/json"}}}, text};
  if (fault == input_fault::no_memory) {
    s.listener->budget->record_refusal();
    message.head.headers.set("Retry-After", std::string(overload_retry_after_s));
  }
  respond(message);
}

}  // namespace fuchsiaspring::relay
