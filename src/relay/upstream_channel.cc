#include "fuchsiaspring/relay/upstream_channel.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <limits>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/hash.h"
#include "relay/framing.h"
#include "relay/socket_options.h"
#include "relay/wire.h"

namespace fuchsiaspring::relay {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t read_buffer_bytes = 4096;
constexpr std::size_t max_response_header_bytes = 32768;
// Bytes that are read ahead of the parser, which must hold a whole head, chunk header or trailer.
// An upstream that never ends one of these fills the buffer and the request fails.
constexpr std::size_t max_buffered_bytes = 2 * max_response_header_bytes;
// Responses to other requests that are discarded while one request waits for its response.
constexpr int max_discarded_responses = 3;
// Body bytes of these responses; more than a late copy of a response that this router buffers.
constexpr std::size_t max_discarded_bytes = 1U << 20U;
// Interim responses (1xx) before the final one. The usual number is 0 or 1.
constexpr int max_interim_responses = 16;
// Requests whose ids a connection remembers, 8 bytes each, and after which it is closed.
constexpr std::size_t max_carried_requests = 1024;

std::optional<base::duration> parse_keep_alive_timeout(const header_list& headers) {
  const std::string* value = headers.find("Keep-Alive");
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::size_t position = value->find("timeout=");
  if (position == std::string::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* first = value->data() + position + std::string_view("timeout=").size();
  if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

// Whether a response with this status is an answer to a request. Other statuses are none of HTTP,
// and no request asks for another protocol (101).
bool is_answer(unsigned status) {
  constexpr unsigned first_status = 100;
  constexpr unsigned end_of_statuses = 600;
  constexpr unsigned switching_protocols = 101;
  return status >= first_status && status < end_of_statuses && status != switching_protocols;
}

// A connection that ends within a response is broken; other parser errors mean bytes that are not
// HTTP, or more of them than the limits allow.
channel_fault to_fault(const error_code& error) {
  const bool is_parser_error =
      error.category() == http::make_error_code(http::error::bad_version).category() &&
      error != http::error::end_of_stream && error != http::error::partial_message;
  return is_parser_error ? channel_fault::malformed : channel_fault::broken;
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
  state(asio::io_context& loop, asio::ip::tcp::endpoint remote, channel_options connect_options)
      : io(loop),
        endpoint(std::move(remote)),
        options(connect_options),
        socket(loop),
        timer(loop) {}

  asio::io_context& io;
  asio::ip::tcp::endpoint endpoint;
  channel_options options;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer{max_buffered_bytes};
  std::array<char, read_buffer_bytes> body_buffer{};
  std::optional<http::response_parser<http::buffer_body>> parser;
  response_head head;
  std::string outgoing_head;
  message_body outgoing_body;  // until it is written
  ownership_check is_own_response;
  send_check may_send;
  event_handler handler;
  std::optional<base::duration> idle_timeout;
  std::vector<std::uint64_t> carried_ids;  // hashes
  int discarded_responses = 0;
  std::size_t discarded_bytes = 0;
  int interim_responses = 0;
  bool is_connected = false;
  bool was_connected = false;
  bool is_request_sent = false;
  bool is_request_written = false;
  error_code write_error;
  bool is_end_undecided = false;  // the outcome of the write tells how the connection ended
  bool is_head_request = false;
  bool is_discarding = false;  // the response being read belongs to another request
  bool is_paused = false;
  bool has_deferred_read = false;
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

void upstream_channel::send(const request& message, ownership_check is_own_response,
                            send_check may_send, event_handler handler) {
  state& s = *m_state;
  s.outgoing_head = internal::render_request_head(message);
  s.outgoing_body = message.body;
  s.is_head_request = message.method == "HEAD";
  s.is_own_response = std::move(is_own_response);
  s.may_send = std::move(may_send);
  s.handler = std::move(handler);
  s.is_busy = true;
  s.is_request_sent = false;
  s.is_request_written = false;
  s.write_error = {};
  s.is_end_undecided = false;
  s.is_reusable = false;
  s.is_paused = false;
  s.has_deferred_read = false;
  s.discarded_responses = 0;
  s.discarded_bytes = 0;
  s.interim_responses = 0;
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
  error_code error;
  s.socket.open(asio::ip::tcp::v4(), error);
  if (error) {
    asio::post(s.io, [self = shared_from_this(), error] {
      self->fail(channel_fault::connect_failed, error.message());
    });
    return;
  }
  internal::set_connection_options(s.socket, s.options.dead_peer_timeout);
  s.timer.expires_after(s.options.connect_timeout);
  s.timer.async_wait([self = shared_from_this()](const error_code& wait_error) {
    state& waiting = *self->m_state;
    const bool is_over = waiting.is_connected || !waiting.socket.is_open() ||
                         internal::has_connect_result(waiting.socket);
    if (!wait_error && !is_over) {
      self->fail(channel_fault::connect_timeout,
                 "no connection within " +
                     std::to_string(base::to_milliseconds(self->m_state->options.connect_timeout)) +
                     " ms");
    }
  });
  s.socket.async_connect(s.endpoint, [self = shared_from_this()](const error_code& result) {
    self->on_connected(result);
  });
}

void upstream_channel::on_connected(const error_code& error) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  s.timer.cancel();
  if (error) {
    fail(channel_fault::connect_failed, error.message());
    return;
  }
  s.is_connected = true;
  write();
}

void upstream_channel::write() {
  state& s = *m_state;
  if (s.may_send && !s.may_send()) {
    fail(channel_fault::refused_to_send, "the send check failed; no byte of the request was sent");
    return;
  }
  s.is_request_sent = true;
  std::vector<asio::const_buffer> buffers{asio::buffer(s.outgoing_head)};
  for (const std::string& piece : s.outgoing_body.pieces()) {
    buffers.push_back(asio::buffer(piece));
  }
  asio::async_write(
      s.socket, buffers,
      [self = shared_from_this(), body = s.outgoing_body](const error_code& error, std::size_t) {
        // A write error is reported by the pending read, which first delivers any response that the
        // upstream sent before it closed the connection.
        self->on_written(error);
      });
  read_head();
}

void upstream_channel::on_written(const error_code& error) {
  state& s = *m_state;
  s.is_request_written = !error;
  s.write_error = error;
  s.outgoing_head = std::string();
  s.outgoing_body = message_body();
  if (std::exchange(s.is_end_undecided, false) && s.is_busy) {
    finish_at_end();
  }
}

void upstream_channel::read_head() {
  state& s = *m_state;
  s.parser.emplace();
  s.parser->header_limit(max_response_header_bytes);
  s.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (s.is_head_request) {
    s.parser->skip(true);
  }
  http::async_read_header(
      s.socket, s.buffer, *s.parser,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->on_head(error); });
}

void upstream_channel::on_head(const error_code& error) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  if (error) {
    fail(to_fault(error), error.message());
    return;
  }
  s.head.status = s.parser->get().result_int();
  s.head.headers = internal::to_headers(s.parser->get());
  if (!is_answer(s.head.status)) {
    fail(channel_fault::malformed,
         "status " + std::to_string(s.head.status) + " answers no request");
    return;
  }
  constexpr unsigned first_final_status = 200;
  if (s.head.status < first_final_status) {
    if (++s.interim_responses > max_interim_responses) {
      fail(channel_fault::malformed,
           "more than " + std::to_string(max_interim_responses) + " interim responses");
      return;
    }
    read_head();
    return;
  }
  if (internal::find_framing_fault(s.parser->get(), s.parser->get().version())) {
    fail(channel_fault::malformed, "the end of the response or its transfer coding is unclear");
    return;
  }
  s.is_discarding = s.is_own_response && !s.is_own_response(s.head);
  if (s.is_discarding && ++s.discarded_responses > max_discarded_responses) {
    fail(channel_fault::malformed, "more than " + std::to_string(max_discarded_responses) +
                                       " responses belong to another request");
    return;
  }
  if (s.is_discarding && s.is_head_request) {
    fail(channel_fault::malformed, "the length of a response to another request is unknown");
    return;
  }
  if (s.is_discarding && s.parser->need_eof()) {
    fail(channel_fault::malformed, "a response to another request ends with the connection");
    return;
  }
  if (const auto timeout = parse_keep_alive_timeout(s.head.headers)) {
    s.idle_timeout = timeout;
  }
  if (!s.is_discarding) {
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
    s.has_deferred_read = true;
    return;
  }
  s.parser->get().body().data = s.body_buffer.data();
  s.parser->get().body().size = s.body_buffer.size();
  s.parser->get().body().more = true;
  http::async_read_some(
      s.socket, s.buffer, *s.parser,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->on_body(error); });
}

void upstream_channel::on_body(const error_code& error) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  const std::size_t received = s.body_buffer.size() - s.parser->get().body().size;
  if (received > 0 && !s.is_discarding) {
    emit(body_received{std::string_view(s.body_buffer.data(), received)});
    if (!s.is_busy) {
      return;
    }
  }
  if (error && error != http::error::need_buffer) {
    fail(to_fault(error), error.message());
    return;
  }
  if (s.is_discarding && (s.discarded_bytes += received) > max_discarded_bytes) {
    fail(channel_fault::malformed, "more than " + std::to_string(max_discarded_bytes) +
                                       " bytes of responses to other requests");
    return;
  }
  if (s.parser->is_done()) {
    if (s.parser->need_eof()) {
      finish_at_end();
      return;
    }
    finish();
    return;
  }
  read_body();
}

// A response without a length is complete only if the upstream ended the connection in order. The
// system reports a reset once, to the read or to the write of the request, whichever is first; a
// read that comes after the write sees the end of the connection.
void upstream_channel::finish_at_end() {
  state& s = *m_state;
  internal::peer_end end = internal::end_of_peer(s.socket);
  if (end == internal::peer_end::unknown && !s.is_request_written) {
    if (!s.write_error) {
      s.is_end_undecided = true;  // the handler of the write runs later
      return;
    }
    // A broken pipe means that the upstream ended the connection in order before it reset it.
    end = s.write_error == asio::error::broken_pipe ? internal::peer_end::orderly
                                                    : internal::peer_end::reset;
  }
  if (end == internal::peer_end::reset) {
    fail(channel_fault::broken,
         s.write_error ? s.write_error.message() : "reset behind a response without a length");
    return;
  }
  finish();
}

void upstream_channel::finish() {
  state& s = *m_state;
  // The parser, unlike the message, knows that a response to HEAD has no body.
  const bool keep_alive_allowed = s.parser->keep_alive();
  if (s.is_discarding) {
    if (!keep_alive_allowed) {
      fail(channel_fault::broken,
           "the upstream closes the connection after a response to another request");
      return;
    }
    read_head();
    return;
  }
  s.is_reusable = keep_alive_allowed && s.is_request_written && s.buffer.size() == 0 &&
                  s.carried_ids.size() < max_carried_requests;
  const bool is_delimited = !s.parser->need_eof();
  s.is_busy = false;
  const event_handler handler = std::exchange(s.handler, nullptr);
  if (!s.is_reusable) {
    close();
  }
  if (handler) {
    handler(response_ended{is_delimited});
  }
}

void upstream_channel::fail(channel_fault fault, const std::string& detail) {
  state& s = *m_state;
  if (!s.is_busy) {
    return;
  }
  s.is_busy = false;
  s.is_reusable = false;
  if (s.is_request_sent) {
    reset_on_close();
  }
  close();
  const event_handler handler = std::exchange(s.handler, nullptr);
  if (handler) {
    handler(
        channel_failed{fault, s.is_request_sent ? sent_state::sent : sent_state::not_sent, detail});
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
  if (std::exchange(s.has_deferred_read, false) && s.is_busy) {
    read_body();
  }
}

bool upstream_channel::has_unread_input() const {
  state& s = *m_state;
  return s.is_connected && (s.buffer.size() > 0 || internal::has_unread_input(s.socket));
}

std::optional<base::duration> upstream_channel::time_since_acknowledgement() const {
  return m_state->is_connected ? internal::time_since_acknowledgement(m_state->socket)
                               : std::nullopt;
}

void upstream_channel::cancel() {
  state& s = *m_state;
  const bool is_given_up = s.is_busy && s.is_request_sent;
  s.is_busy = false;
  s.is_reusable = false;
  s.handler = nullptr;
  if (is_given_up) {
    reset_on_close();
  }
  close();
}

bool upstream_channel::is_reusable() {
  state& s = *m_state;
  if (!s.is_reusable || !s.socket.is_open()) {
    return false;
  }
  if (!internal::has_unread_input(s.socket)) {
    return true;
  }
  s.is_reusable = false;
  close();
  return false;
}

void upstream_channel::record_request_id(std::string_view request_id) {
  if (!request_id.empty()) {
    m_state->carried_ids.push_back(base::hash64(request_id));
  }
}

bool upstream_channel::has_carried(std::string_view request_id) const {
  return !request_id.empty() && std::ranges::find(m_state->carried_ids, base::hash64(request_id)) !=
                                    m_state->carried_ids.end();
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
      [self = shared_from_this(), on_readable = std::move(on_readable)](const error_code& error) {
        if (error || self->m_state->is_busy) {
          return;
        }
        on_readable();
      });
}

// Bytes that a partition holds up are delivered behind it, and the request would then run, although
// it was given up. A reset discards them.
void upstream_channel::reset_on_close() {
  error_code ignored;  // the connection may have ended already
  m_state->socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void upstream_channel::close() {
  state& s = *m_state;
  error_code ignored;  // the descriptor is released even if close() reports an error
  s.timer.cancel();
  s.socket.close(ignored);
  s.is_connected = false;
}

}  // namespace fuchsiaspring::relay
