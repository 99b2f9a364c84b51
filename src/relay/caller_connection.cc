#include "fuchsiaspring/relay/caller_connection.h"

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

// Bytes of further requests that are read while one is being handled.
constexpr std::size_t max_pipelined_bytes = 16384;
constexpr std::size_t watch_read_bytes = 2048;
// A caller that takes no byte of its answer for this long has its connection closed.
constexpr base::duration write_timeout = std::chrono::seconds(10);

unsigned status_of(input_fault fault) {
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

caller_connection::caller_connection(std::unique_ptr<state> initial) : m_state(std::move(initial)) {
  m_state->owner->connections.insert(this);
}

caller_connection::~caller_connection() {
  m_state->owner->connections.erase(this);
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

void caller_connection::set_gone_handler(std::function<void()> on_gone) {
  m_state->on_gone = std::move(on_gone);
}

void caller_connection::arm_timer(base::duration timeout, std::function<void()> on_timeout) {
  state& s = *m_state;
  const std::uint64_t number = ++s.timer_number;
  s.timer.expires_after(timeout);
  s.timer.async_wait([self = shared_from_this(), number,
                      on_timeout = std::move(on_timeout)](const error_code& cancelled) {
    if (!cancelled && self->m_state->timer_number == number) {
      on_timeout();
    }
  });
}

void caller_connection::wait_for_request() {
  state& s = *m_state;
  s.now = state::phase::idle;
  if (s.owner->is_stopped) {
    close();
    return;
  }
  if (s.buffer.size() > 0) {
    read_head();
    return;
  }
  arm_timer(s.owner->limits.idle_timeout, [this] { close(); });
  s.socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [self = shared_from_this()](const error_code& failed) {
                        if (self->m_state->now != state::phase::idle) {
                          return;
                        }
                        if (failed) {
                          self->close();
                          return;
                        }
                        self->read_head();
                      });
}

void caller_connection::read_head() {
  state& s = *m_state;
  s.now = state::phase::reading;
  s.parser.emplace();
  s.parser->header_limit(static_cast<std::uint32_t>(s.owner->limits.header_bytes));
  s.parser->body_limit(s.owner->limits.body_bytes);
  arm_timer(s.owner->limits.header_timeout, [this] { refuse(input_fault::header_timeout); });
  http::async_read_header(s.socket, s.buffer, *s.parser,
                          [self = shared_from_this()](const error_code& failed, std::size_t) {
                            self->on_head(failed);
                          });
}

void caller_connection::on_head(const error_code& failed) {
  state& s = *m_state;
  if (s.now != state::phase::reading) {
    return;
  }
  s.received_at = base::boot_clock::now();
  if (failed == http::error::header_limit) {
    refuse(input_fault::header_too_large);
    return;
  }
  if (failed == http::error::body_limit) {
    refuse(input_fault::body_too_large);
    return;
  }
  if (failed == http::error::end_of_stream || failed == asio::error::operation_aborted ||
      failed.category() == boost::system::system_category() || failed == asio::error::eof) {
    if (failed) {
      close();
      return;
    }
  }
  if (failed) {
    refuse(input_fault::malformed);
    return;
  }
  if (s.parser->get()[http::field::expect] == "100-continue") {
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  read_body();
}

void caller_connection::read_body() {
  state& s = *m_state;
  if (s.parser->is_done()) {
    hand_over();
    return;
  }
  arm_timer(s.owner->limits.idle_timeout, [this] { refuse(input_fault::body_timeout); });
  http::async_read_some(s.socket, s.buffer, *s.parser,
                        [self = shared_from_this()](const error_code& failed, std::size_t) {
                          self->on_body(failed);
                        });
}

void caller_connection::on_body(const error_code& failed) {
  state& s = *m_state;
  if (s.now != state::phase::reading) {
    return;
  }
  if (failed == http::error::body_limit) {
    refuse(input_fault::body_too_large);
    return;
  }
  if (failed == http::error::partial_message || failed == http::error::end_of_stream ||
      failed.category() == boost::system::system_category()) {
    if (failed) {
      close();
      return;
    }
  }
  if (failed && failed != http::error::need_buffer) {
    refuse(input_fault::malformed);
    return;
  }
  read_body();
}

void caller_connection::hand_over() {
  state& s = *m_state;
  ++s.timer_number;
  s.timer.cancel();
  s.now = state::phase::handling;
  s.is_answered = false;
  s.wants_keep_alive = s.parser->get().keep_alive();
  s.version = s.parser->get().version();
  request message;
  message.method = std::string(s.parser->get().method_string());
  message.target = std::string(s.parser->get().target());
  message.headers = internal::to_headers(s.parser->get());
  message.body = std::move(s.parser->get().body());
  s.parser.reset();
  watch_caller();
  s.owner->on_request(*this, std::move(message));
}

void caller_connection::watch_caller() {
  state& s = *m_state;
  if (s.is_watching || s.buffer.size() > max_pipelined_bytes) {
    return;
  }
  s.is_watching = true;
  s.socket.async_wait(
      asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code& failed) {
        state& s = *self->m_state;
        s.is_watching = false;
        if (s.now != state::phase::handling) {
          return;
        }
        if (failed) {
          self->on_caller_gone();
          return;
        }
        error_code result;
        s.socket.non_blocking(true, result);
        const std::size_t got = s.socket.read_some(s.buffer.prepare(watch_read_bytes), result);
        s.buffer.commit(got);
        if (result && result != asio::error::would_block) {
          self->on_caller_gone();
          return;
        }
        self->watch_caller();
      });
}

void caller_connection::on_caller_gone() {
  state& s = *m_state;
  const auto on_gone = std::exchange(s.on_gone, nullptr);
  close();
  if (on_gone) {
    on_gone();
  }
}

void caller_connection::refuse(input_fault fault) {
  state& s = *m_state;
  if (s.owner->on_fault) {
    s.owner->on_fault(fault);
  }
  s.now = state::phase::handling;
  s.wants_keep_alive = false;
  s.version = 11;
  const std::string text = std::string(R"({"error":")") + std::string(to_string(fault)) + R"("})";
  respond({{status_of(fault), {{"Content-Type", "application/json"}}}, text});
}

void caller_connection::respond(const response& answer) {
  state& s = *m_state;
  if (s.now != state::phase::handling || s.is_answered) {
    return;
  }
  s.closes_after = !s.wants_keep_alive || s.owner->is_draining;
  std::string bytes =
      internal::render_response_head(answer.head, {.body = internal::framing::length,
                                                   .length = answer.body.size(),
                                                   .closes = s.closes_after,
                                                   .version = s.version});
  bytes += answer.body;
  s.is_answered = true;
  write(std::move(bytes));
}

void caller_connection::begin_stream(const response_head& head) {
  state& s = *m_state;
  if (s.now != state::phase::handling || s.is_answered) {
    return;
  }
  // HTTP/1.0 has no chunks; the end of the connection ends such an answer.
  constexpr unsigned first_version_with_chunks = 11;
  s.is_chunked = s.version >= first_version_with_chunks;
  s.closes_after = !s.wants_keep_alive || s.owner->is_draining || !s.is_chunked;
  write(internal::render_response_head(
      head, {.body = s.is_chunked ? internal::framing::chunked : internal::framing::until_close,
             .closes = s.closes_after,
             .version = s.version}));
}

void caller_connection::send(std::string_view bytes) {
  state& s = *m_state;
  if (s.now != state::phase::handling || s.is_answered || bytes.empty()) {
    return;
  }
  write(s.is_chunked ? internal::render_chunk(bytes) : std::string(bytes));
}

void caller_connection::end_stream() {
  state& s = *m_state;
  if (s.now != state::phase::handling || s.is_answered) {
    return;
  }
  s.is_answered = true;
  if (s.is_chunked) {
    write(internal::render_last_chunk());
    return;
  }
  if (!s.is_writing) {
    finish_answer();
  }
}

void caller_connection::abort() {
  state& s = *m_state;
  s.on_gone = nullptr;
  s.on_drained = nullptr;
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
  arm_timer(write_timeout, [this] { on_caller_gone(); });
  asio::async_write(s.socket, asio::buffer(s.unsent.front()),
                    [self = shared_from_this()](const error_code& failed, std::size_t) {
                      self->on_written(failed);
                    });
}

void caller_connection::on_written(const error_code& failed) {
  state& s = *m_state;
  s.is_writing = false;
  if (s.now == state::phase::closed) {
    return;
  }
  if (failed) {
    on_caller_gone();
    return;
  }
  s.unsent_bytes -= s.unsent.front().size();
  s.unsent.pop_front();
  if (!s.unsent.empty()) {
    write_next();
    return;
  }
  if (s.now != state::phase::handling) {
    return;
  }
  ++s.timer_number;
  if (s.is_answered) {
    finish_answer();
    return;
  }
  // A copy keeps the handler alive if it replaces itself.
  if (const auto on_drained = s.on_drained) {
    on_drained();
  }
}

void caller_connection::finish_answer() {
  state& s = *m_state;
  s.on_gone = nullptr;
  s.on_drained = nullptr;
  if (s.closes_after) {
    error_code ignored;  // the caller may have closed first
    s.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    close();
    return;
  }
  wait_for_request();
}

void caller_connection::close() {
  state& s = *m_state;
  if (s.now == state::phase::closed) {
    return;
  }
  s.now = state::phase::closed;
  ++s.timer_number;
  s.timer.cancel();
  error_code ignored;  // closing cannot fail in a way that matters here
  s.socket.close(ignored);
}

void caller_connection::close_when_idle() {
  if (m_state->now == state::phase::idle) {
    close();
  }
}

}  // namespace fuchsiaspring::relay
