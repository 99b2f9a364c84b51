#include "fuchsiaspring/relay/upstream_channel.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <limits>
#include <utility>

#include "relay/socket_options.h"
#include "relay/wire.h"

namespace fuchsiaspring::relay {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t read_buffer_bytes = 4096;
constexpr std::size_t max_response_header_bytes = 32768;
// Answers that belong to no request may be dropped this often for one request.
constexpr int max_foreign_answers = 3;

std::optional<base::duration> parse_keep_alive(const header_list& headers) {
  const std::string* value = headers.find("Keep-Alive");
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::size_t at = value->find("timeout=");
  if (at == std::string::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* first = value->data() + at + std::string_view("timeout=").size();
  if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

std::string_view to_string(channel_fault fault) {
  switch (fault) {
    case channel_fault::connect_failed:
      return "connect_failed";
    case channel_fault::connect_timeout:
      return "connect_timeout";
    case channel_fault::refused_to_send:
      return "refused_to_send";
    case channel_fault::broken:
      return "broken";
    case channel_fault::malformed:
      return "malformed";
  }
  return "unknown";
}

struct upstream_channel::state {
  state(asio::io_context& loop, asio::ip::tcp::endpoint to, channel_options wanted)
      : io(loop), endpoint(std::move(to)), options(wanted), socket(loop), timer(loop) {}

  asio::io_context& io;
  asio::ip::tcp::endpoint endpoint;
  channel_options options;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  std::array<char, read_buffer_bytes> body_buffer{};
  std::optional<http::response_parser<http::buffer_body>> parser;
  response_head head;
  std::string outgoing;
  ownership_check belongs;
  send_check may_send;
  event_handler handler;
  std::optional<base::duration> idle_timeout;
  int foreign_answers = 0;
  bool is_connected = false;
  bool was_connected = false;
  bool is_sent = false;
  bool is_written = false;
  bool is_head_request = false;
  bool is_dropping = false;  // the answer being read belongs to no request
  bool is_paused = false;
  bool is_waiting_to_read = false;
  bool is_busy = false;
  bool is_reusable = false;
};

std::shared_ptr<upstream_channel> upstream_channel::create(asio::io_context& io,
                                                           asio::ip::tcp::endpoint endpoint,
                                                           channel_options options) {
  return std::shared_ptr<upstream_channel>(
      new upstream_channel(std::make_unique<state>(io, std::move(endpoint), options)));
}

upstream_channel::upstream_channel(std::unique_ptr<state> initial) : m_state(std::move(initial)) {}
upstream_channel::~upstream_channel() = default;

void upstream_channel::send(const request& message, ownership_check belongs, send_check may_send,
                            event_handler handler) {
  state& s = *m_state;
  s.outgoing = internal::render_request(message);
  s.is_head_request = message.method == "HEAD";
  s.belongs = std::move(belongs);
  s.may_send = std::move(may_send);
  s.handler = std::move(handler);
  s.is_busy = true;
  s.is_sent = false;
  s.is_written = false;
  s.is_reusable = false;
  s.is_paused = false;
  s.is_waiting_to_read = false;
  s.foreign_answers = 0;
  s.was_connected = s.is_connected;
  if (!s.is_connected) {
    connect();
    return;
  }
  asio::post(s.io, [self = shared_from_this()] {
    if (self->m_state->is_busy) {
      self->write();
    }
  });
}

void upstream_channel::connect() {
  state& s = *m_state;
  error_code failed;
  s.socket.open(asio::ip::tcp::v4(), failed);
  if (failed) {
    asio::post(s.io, [self = shared_from_this(), failed] {
      self->fail(channel_fault::connect_failed, failed.message());
    });
    return;
  }
  internal::set_connection_options(s.socket, s.options.silence_timeout);
  s.timer.expires_after(s.options.connect_timeout);
  s.timer.async_wait([self = shared_from_this()](const error_code& cancelled) {
    if (!cancelled && !self->m_state->is_connected) {
      self->fail(channel_fault::connect_timeout, "no connection in time");
    }
  });
  s.socket.async_connect(s.endpoint, [self = shared_from_this()](const error_code& result) {
    self->on_connected(result);
  });
}

void upstream_channel::on_connected(const error_code& failed) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  s.timer.cancel();
  if (failed) {
    fail(channel_fault::connect_failed, failed.message());
    return;
  }
  s.is_connected = true;
  write();
}

void upstream_channel::write() {
  state& s = *m_state;
  if (s.may_send && !s.may_send()) {
    fail(channel_fault::refused_to_send, "the request may not be sent any more");
    return;
  }
  s.is_sent = true;
  asio::async_write(s.socket, asio::buffer(s.outgoing),
                    [self = shared_from_this()](const error_code& failed, std::size_t) {
                      // A failed write shows on the reading side too, after any answer that the
                      // upstream sent before it closed.
                      self->m_state->is_written = !failed;
                    });
  read_head();
}

void upstream_channel::read_head() {
  state& s = *m_state;
  s.parser.emplace();
  s.parser->header_limit(max_response_header_bytes);
  s.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (s.is_head_request) {
    s.parser->skip(true);
  }
  http::async_read_header(s.socket, s.buffer, *s.parser,
                          [self = shared_from_this()](const error_code& failed, std::size_t) {
                            self->on_head(failed);
                          });
}

void upstream_channel::on_head(const error_code& failed) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  if (failed) {
    const bool is_http_error =
        failed.category() == http::make_error_code(http::error::bad_version).category() &&
        failed != http::error::end_of_stream && failed != http::error::partial_message;
    fail(is_http_error ? channel_fault::malformed : channel_fault::broken, failed.message());
    return;
  }
  s.head.status = s.parser->get().result_int();
  s.head.headers = internal::to_headers(s.parser->get());
  constexpr unsigned first_final_status = 200;
  if (s.head.status < first_final_status) {
    read_head();
    return;
  }
  s.is_dropping = s.belongs && !s.belongs(s.head);
  if (s.is_dropping && ++s.foreign_answers > max_foreign_answers) {
    fail(channel_fault::malformed, "answers that belong to no request");
    return;
  }
  if (const auto stated = parse_keep_alive(s.head.headers)) {
    s.idle_timeout = stated;
  }
  if (!s.is_dropping) {
    emit(response_started{s.head});
    if (!s.is_busy) {
      return;
    }
  }
  if (s.parser->is_done()) {
    finish();
    return;
  }
  read_body();
}

void upstream_channel::read_body() {
  state& s = *m_state;
  if (s.is_paused) {
    s.is_waiting_to_read = true;
    return;
  }
  s.parser->get().body().data = s.body_buffer.data();
  s.parser->get().body().size = s.body_buffer.size();
  s.parser->get().body().more = true;
  http::async_read_some(s.socket, s.buffer, *s.parser,
                        [self = shared_from_this()](const error_code& failed, std::size_t) {
                          self->on_body(failed);
                        });
}

void upstream_channel::on_body(const error_code& failed) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  const std::size_t received = s.body_buffer.size() - s.parser->get().body().size;
  if (received > 0 && !s.is_dropping) {
    emit(body_received{std::string_view(s.body_buffer.data(), received)});
    if (!s.is_busy) {
      return;
    }
  }
  if (failed && failed != http::error::need_buffer) {
    fail(channel_fault::broken, failed.message());
    return;
  }
  if (s.parser->is_done()) {
    finish();
    return;
  }
  read_body();
}

void upstream_channel::finish() {
  state& s = *m_state;
  const bool keeps = s.parser->get().keep_alive() && !s.parser->get().need_eof();
  if (s.is_dropping) {
    if (!keeps) {
      fail(channel_fault::broken, "the connection ended after an answer to another request");
      return;
    }
    read_head();
    return;
  }
  s.is_reusable = keeps && s.is_written && s.buffer.size() == 0;
  s.is_busy = false;
  const event_handler handler = std::exchange(s.handler, nullptr);
  if (!s.is_reusable) {
    close();
  }
  if (handler) {
    handler(response_ended{});
  }
}

void upstream_channel::fail(channel_fault fault, const std::string& detail) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  s.is_busy = false;
  s.is_reusable = false;
  close();
  const event_handler handler = std::exchange(s.handler, nullptr);
  if (handler) {
    handler(channel_failed{fault, s.is_sent ? sent_state::sent : sent_state::none, detail});
  }
}

void upstream_channel::emit(const channel_event& event) {
  // A copy keeps the handler alive if it cancels the channel.
  const event_handler handler = m_state->handler;
  if (handler) {
    handler(event);
  }
}

void upstream_channel::pause() {
  m_state->is_paused = true;
}

void upstream_channel::resume() {
  state& s = *m_state;
  s.is_paused = false;
  if (std::exchange(s.is_waiting_to_read, false) && s.is_busy) {
    read_body();
  }
}

void upstream_channel::cancel() {
  state& s = *m_state;
  s.is_busy = false;
  s.is_reusable = false;
  s.handler = nullptr;
  close();
}

bool upstream_channel::is_reusable() {
  state& s = *m_state;
  if (!s.is_reusable || !s.socket.is_open()) {
    return false;
  }
  char byte = 0;
  const ssize_t got = ::recv(s.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return true;
  }
  s.is_reusable = false;
  close();
  return false;
}

bool upstream_channel::was_connected() const {
  return m_state->was_connected;
}

const asio::ip::tcp::endpoint& upstream_channel::endpoint() const {
  return m_state->endpoint;
}

std::optional<base::duration> upstream_channel::idle_timeout() const {
  return m_state->idle_timeout;
}

void upstream_channel::watch_idle(std::function<void()> on_readable) {
  m_state->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), on_readable = std::move(on_readable)](const error_code& failed) {
        if (failed || self->m_state->is_busy) {
          return;
        }
        on_readable();
      });
}

void upstream_channel::close() {
  state& s = *m_state;
  error_code ignored;  // closing cannot fail in a way that matters here
  s.timer.cancel();
  s.socket.close(ignored);
  s.is_connected = false;
}

}  // namespace fuchsiaspring::relay
