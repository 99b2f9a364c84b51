#include "fuchsiaspring/relay/caller_connection.h"

#include <algorithm>
#include <utility>

#include "relay/caller_state.h"
#include "relay/socket_options.h"

namespace fuchsiaspring::relay {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// A stopped listener waits this long for the first request on a connection: callers send one as
// soon as they are connected, and do not repeat it if it may have run.
constexpr base::duration first_request_time = std::chrono::milliseconds(500);
// Read buffers of idle connections above this size are given back.
constexpr std::size_t max_idle_buffer_bytes = 4096;
// Socket, timers and state of a connection, of the process and the system.
constexpr std::size_t connection_bytes = 4096;

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
    case input_fault::no_memory:
      return "no_memory";
    case input_fault::unsupported_coding:
      return "unsupported_coding";
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
    case close_reason::stalled:
      return "stalled";
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
  leave_reading_connections();
  m_state->listener->connections.erase(this);
  error_code ignored;              // the socket is not used again
  m_state->socket.close(ignored);  // the destructor of the socket would clear its linger option
}

void caller_connection::start() {
  internal::set_connection_options(m_state->socket, std::chrono::seconds(4));
  update_charge();
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
  s.head_bytes = 0;
  if (s.buffer.size() == 0 && s.buffer.capacity() > max_idle_buffer_bytes) {
    s.buffer.shrink_to_fit();
  }
  update_charge();
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

void caller_connection::leave_reading_connections() {
  state& s = *m_state;
  if (s.reading_position) {
    s.listener->reading_connections.erase(*s.reading_position);
    s.reading_position.reset();
  }
  s.listener->budget->stop_waiting(this);
}

void caller_connection::update_charge() {
  m_state->charge.resize(charged_bytes());
}

// Without the body, which has a charge of its own.
std::size_t caller_connection::charged_bytes() const {
  const state& s = *m_state;
  return connection_bytes + s.buffer.capacity() + s.head_bytes + s.unsent_bytes;
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
  leave_reading_connections();
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
