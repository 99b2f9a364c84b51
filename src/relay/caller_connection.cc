#include "fuchsiaspring/relay/caller_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <limits>
#include <utility>

#include "relay/caller_state.h"
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
// A connection is closed when a write of response bytes does not complete within this time.
constexpr base::duration write_timeout = std::chrono::seconds(10);
// A stopped listener waits this long for the first request on a connection: callers send one as
// soon as they are connected, and do not repeat it if it may have run.
constexpr base::duration first_request_time = std::chrono::milliseconds(500);
// Interval of the interim responses that show whether a caller still reads. Work for a caller that
// has left must stop within 500 ms.
constexpr base::duration presence_check_interval = std::chrono::milliseconds(250);
// HTTP/1.0 has neither interim responses nor chunked encoding.
constexpr unsigned http_1_1 = 11;
constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
// A timer with this time runs after the event loop has looked at the sockets again.
constexpr base::duration next_turn{};

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
  }
  return 400;
}

// RFC 9110, section 8.6: no Content-Length with 204; with 304 it would be that of the omitted body.
bool has_body(unsigned status) {
  constexpr unsigned no_content = 204;
  constexpr unsigned not_modified = 304;
  return status != no_content && status != not_modified;
}

}  // namespace

std::string_view to_string(input_fault fault) {
  switch (fault) {
    case input_fault::malformed:
      return "malformed";
    case input_fault::header_too_large:
      return "header_too_large";
    case input_fault::body_too_large:
      return "body_too_large";
    case input_fault::header_timeout:
      return "header_timeout";
    case input_fault::body_timeout:
      return "body_timeout";
  }
  return "unknown";
}

std::string_view to_string(close_reason reason) {
  switch (reason) {
    case close_reason::idle_timeout:
      return "idle_timeout";
    case close_reason::stopped:
      return "stopped";
    case close_reason::too_many_connections:
      return "too_many_connections";
    case close_reason::evicted:
      return "evicted";
    case close_reason::aborted:
      return "aborted";
    case close_reason::write_timeout:
      return "write_timeout";
  }
  return "unknown";
}

caller_connection::caller_connection(std::unique_ptr<state> initial) : m_state(std::move(initial)) {
  m_state->listener->connections.insert(this);
}

caller_connection::~caller_connection() {
  leave_idle_connections();
  m_state->listener->connections.erase(this);
  error_code ignored;              // the socket is not used again
  m_state->socket.close(ignored);  // the destructor of the socket would clear its linger option
}

void caller_connection::start() {
  internal::set_connection_options(m_state->socket, std::chrono::seconds(4));
  wait_for_request();
}

base::time_point caller_connection::received_at() const {
  return m_state->received_at;
}
std::size_t caller_connection::unsent_bytes() const {
  return m_state->unsent_bytes;
}

void caller_connection::set_drained_handler(std::function<void()> on_drained) {
  m_state->on_drained = std::move(on_drained);
}

void caller_connection::set_disconnect_handler(std::function<void()> on_disconnected) {
  m_state->on_disconnected = std::move(on_disconnected);
}

void caller_connection::start_timer(base::duration timeout, std::function<void()> on_timeout) {
  state& s = *m_state;
  const std::uint64_t generation = ++s.timer_generation;
  s.timer.expires_after(timeout);
  s.timer.async_wait([self = shared_from_this(), generation,
                      on_timeout = std::move(on_timeout)](const error_code& error) {
    if (!error && self->m_state->timer_generation == generation) {
      on_timeout();
    }
  });
}

void caller_connection::wait_for_request() {
  state& s = *m_state;
  s.current_phase = state::phase::idle;
  s.idle_since = base::boot_clock::now();
  if (s.buffer.size() > 0) {
    read_head();
    return;
  }
  if (s.listener->is_stopped && s.responses > 0 && !has_received_bytes()) {
    report_close(close_reason::stopped);
    close();
    return;
  }
  std::list<caller_connection*>& idle = s.listener->idle_connections;
  s.idle_position = idle.insert(idle.end(), this);
  start_idle_timer(idle_limit());
  s.socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [self = shared_from_this()](const error_code& error) {
                        if (self->m_state->current_phase != state::phase::idle) {
                          return;
                        }
                        if (error) {
                          self->close();
                          return;
                        }
                        self->read_head();
                      });
}

void caller_connection::leave_idle_connections() {
  state& s = *m_state;
  if (s.idle_position) {
    s.listener->idle_connections.erase(*s.idle_position);
    s.idle_position.reset();
  }
}

void caller_connection::start_idle_timer(base::duration timeout) {
  start_timer(timeout, [this] { on_idle_timer(); });
}

// The limit is determined only now: the idle timeout may have been raised since the timer started,
// and callers rely on the new one.
void caller_connection::on_idle_timer() {
  const state& s = *m_state;
  const base::duration limit = idle_limit();
  const base::duration idle_time = base::boot_clock::now() - s.idle_since;
  if (idle_time < limit) {
    start_idle_timer(limit - idle_time);
    return;
  }
  // When the event loop was busy, the wait for readability completes behind this timer.
  if (has_received_bytes()) {
    read_head();
    return;
  }
  report_close(s.listener->is_stopped ? close_reason::stopped : close_reason::idle_timeout);
  close();
}

base::duration caller_connection::idle_limit() const {
  const state& s = *m_state;
  const base::duration limit = s.listener->idle_limit(s.idle_since);
  if (!s.listener->is_stopped) {
    return limit;
  }
  const bool awaits_request = s.responses == 0 && !s.listener->is_destroyed;
  return awaits_request ? std::min(limit, first_request_time) : base::duration{};
}

void caller_connection::read_head() {
  state& s = *m_state;
  s.current_phase = state::phase::reading;
  s.is_response_queued = false;
  s.has_begun_response = false;
  s.is_input_ended = false;
  s.is_chunked = false;
  leave_idle_connections();
  s.parser.emplace();
  s.parser->header_limit(
      static_cast<std::uint32_t>(std::min(s.listener->limits.header_bytes, max_head_bytes)));
  s.parser->body_limit(s.listener->limits.body_bytes);
  start_input_timer(s.listener->limits.header_timeout, input_fault::header_timeout);
  http::async_read_header(
      s.socket, s.buffer, *s.parser,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->on_head(error); });
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
  if (s.parser->get()[http::field::expect] == "100-continue") {
    write(std::string(interim_response));
  }
  read_body();
}

void caller_connection::read_body() {
  state& s = *m_state;
  if (s.parser->is_done()) {
    dispatch_request();
    return;
  }
  start_input_timer(s.listener->limits.idle_timeout, input_fault::body_timeout);
  http::async_read_some(
      s.socket, s.buffer, *s.parser,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->on_body(error); });
}

void caller_connection::on_body(const error_code& error) {
  state& s = *m_state;
  if (s.current_phase != state::phase::reading) {
    return;
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

void caller_connection::dispatch_request() {
  state& s = *m_state;
  ++s.timer_generation;
  s.timer.cancel();
  s.current_phase = state::phase::handling;
  s.request_keep_alive = s.parser->get().keep_alive();
  s.http_version = s.parser->get().version();
  s.is_head_request = s.parser->get().method() == http::verb::head;
  request message;
  message.method = std::string(s.parser->get().method_string());
  message.target = std::string(s.parser->get().target());
  message.headers = internal::to_headers(s.parser->get());
  message.body = std::move(s.parser->get().body());
  s.parser.reset();
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
  s.request_keep_alive = false;
  s.http_version = http_1_1;
  s.is_head_request = false;
  const std::string text = std::string(R"({"error":")") + std::string(to_string(fault)) + R"("})";
  respond({{rejection_status(fault), {{"Content-Type", "application/json"}}}, text});
}

// A pipelined request that has arrived is still answered by a listener that is being drained.
bool caller_connection::closes_after_response() const {
  const state& s = *m_state;
  return !s.request_keep_alive || (s.listener->is_draining && received_bytes() == 0);
}

void caller_connection::respond(const response& message) {
  state& s = *m_state;
  if (s.current_phase != state::phase::handling || s.is_response_queued) {
    return;
  }
  s.has_begun_response = true;
  s.closes_connection = closes_after_response();
  std::string bytes = internal::render_response_head(
      message.head,
      {.body = has_body(message.head.status) ? internal::framing::length : internal::framing::none,
       .length = message.body.size(),
       .close_connection = s.closes_connection,
       .version = s.http_version});
  if (!s.is_head_request) {
    bytes += message.body;
  }
  s.is_response_queued = true;
  write(std::move(bytes));
}

void caller_connection::begin_stream(const response_head& head) {
  state& s = *m_state;
  if (s.current_phase != state::phase::handling || s.is_response_queued) {
    return;
  }
  s.has_begun_response = true;
  // Without chunked encoding, closing the connection marks the end of the response.
  s.is_chunked = s.http_version >= http_1_1;
  s.closes_connection = closes_after_response() || !s.is_chunked;
  if (!s.is_chunked) {
    // Only a reset shows that such a response is not complete. The option makes every close a
    // reset, also that of the kernel when this process ends.
    error_code ignored;  // the caller may have closed first
    s.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  write(internal::render_response_head(
      head, {.body = s.is_chunked ? internal::framing::chunked : internal::framing::until_close,
             .close_connection = s.closes_connection,
             .version = s.http_version}));
}

void caller_connection::send(std::string_view bytes) {
  state& s = *m_state;
  if (s.current_phase != state::phase::handling || s.is_response_queued || bytes.empty() ||
      s.is_head_request) {
    return;
  }
  write(s.is_chunked ? internal::render_chunk(bytes) : std::string(bytes));
}

void caller_connection::end_stream() {
  state& s = *m_state;
  if (s.current_phase != state::phase::handling || s.is_response_queued) {
    return;
  }
  s.is_response_queued = true;
  if (s.is_chunked && !s.is_head_request) {
    write(internal::render_last_chunk());
    return;
  }
  if (!s.is_writing) {
    finish_response();
  }
}

void caller_connection::abort() {
  state& s = *m_state;
  s.on_disconnected = nullptr;
  s.on_drained = nullptr;
  report_close(close_reason::aborted);
  close();
}

void caller_connection::write(std::string bytes) {
  state& s = *m_state;
  s.unsent_bytes += bytes.size();
  s.unsent.push_back(std::move(bytes));
  if (!s.is_writing) {
    write_next();
  }
}

void caller_connection::write_next() {
  state& s = *m_state;
  s.is_writing = true;
  start_timer(write_timeout, [this] {
    report_close(close_reason::write_timeout);
    on_disconnect();
  });
  asio::async_write(s.socket, asio::buffer(s.unsent.front()),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      self->on_written(error);
                    });
}

void caller_connection::on_written(const error_code& error) {
  state& s = *m_state;
  s.is_writing = false;
  if (s.current_phase == state::phase::closed) {
    return;
  }
  if (error) {
    on_disconnect();
    return;
  }
  s.unsent_bytes -= s.unsent.front().size();
  s.unsent.pop_front();
  if (!s.unsent.empty()) {
    write_next();
    return;
  }
  if (s.current_phase != state::phase::handling) {
    return;
  }
  ++s.timer_generation;
  if (s.is_response_queued) {
    finish_response();
    return;
  }
  if (s.is_input_ended && !s.has_begun_response) {
    start_timer(presence_check_interval, [this] { check_presence(); });
    return;
  }
  // A copy keeps the handler alive if it replaces itself.
  if (const auto on_drained = s.on_drained) {
    on_drained();
  }
}

void caller_connection::finish_response() {
  state& s = *m_state;
  s.on_disconnected = nullptr;
  s.on_drained = nullptr;
  ++s.responses;
  if (s.closes_connection) {
    error_code ignored;  // the caller may have closed first
    s.socket.set_option(asio::socket_base::linger(false, 0), ignored);
    s.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    close();
    return;
  }
  wait_for_request();
}

void caller_connection::report_close(close_reason reason) const {
  const state& s = *m_state;
  if (!s.listener->on_close || s.current_phase == state::phase::closed) {
    return;
  }
  s.listener->on_close({.reason = reason,
                        .unread_bytes = received_bytes(),
                        .idle_time = base::boot_clock::now() - s.idle_since,
                        .idle_timeout = idle_limit(),
                        .responses = s.responses});
}

void caller_connection::close() {
  state& s = *m_state;
  if (s.current_phase == state::phase::closed) {
    return;
  }
  s.current_phase = state::phase::closed;
  leave_idle_connections();
  s.listener->connections.erase(this);
  ++s.timer_generation;
  s.timer.cancel();
  error_code ignored;  // the socket is not used again
  s.socket.close(ignored);
}

void caller_connection::close_when_idle() {
  if (m_state->current_phase == state::phase::idle && !has_received_bytes()) {
    on_idle_timer();
  }
}

std::size_t caller_connection::received_bytes() const {
  error_code ignored;  // no bytes are available on a failed connection
  return m_state->buffer.size() + m_state->socket.available(ignored);
}

bool caller_connection::has_received_bytes() const {
  error_code ignored;  // no bytes are available on a failed connection
  return m_state->socket.available(ignored) > 0;
}

}  // namespace fuchsiaspring::relay
