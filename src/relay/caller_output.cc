// Responses to a caller: renders and writes them.
#include <boost/asio/write.hpp>
#include <utility>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/caller_state.h"

namespace fuchsiaspring::relay {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// A connection is closed when a write of response bytes does not complete within this time.
constexpr base::duration write_timeout = std::chrono::seconds(10);
// Interval of the interim responses that show whether a caller still reads. Work for a caller that
// has left must stop within 500 ms.
constexpr base::duration presence_check_interval = std::chrono::milliseconds(250);
// HTTP/1.0 has neither interim responses nor chunked encoding.
constexpr unsigned http_1_1 = 11;

// RFC 9110, section 8.6: no Content-Length with 204; with 304 it would be that of the omitted body.
bool has_body(unsigned status) {
  constexpr unsigned no_content = 204;
  constexpr unsigned not_modified = 304;
  return status != no_content && status != not_modified;
}

}  // namespace

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
  update_charge();
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
  update_charge();
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

}  // namespace fuchsiaspring::relay
