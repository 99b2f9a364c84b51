// A connection to an upstream that carries one request at a time.
//
//   auto channel = relay::upstream_channel::create(io, endpoint, options);
//   channel->send(request, is_own_response, may_send, [&](const relay::channel_event& event) {
//     std::visit(relay::overloaded{
//         [&](const relay::response_started& started) { ... },
//         [&](const relay::body_received& received) { ... },
//         [&](const relay::response_ended& ended) { ... },
//         [&](const relay::channel_failed& failed) { ... }}, event);
//   });
//
// A channel connects when the first request is sent. A response that does not belong to the
// request, such as a second response to the previous one, is discarded and the next one is read; if
// only the end of the connection ends it, or the request is a HEAD request, so that the method of
// the other request decides whether a body follows, the request fails at once.
// Bytes that follow a complete response close the connection. A request is never resent. A response
// without a length is complete if the upstream ended the connection in order; one that is reset
// fails.
//
// An upstream that sends bytes without end fails the request: heads, chunk headers, trailers,
// interim responses and responses to other requests are all limited. The body of the request's own
// response is not; the handler limits what it keeps of it.
//
// The handler is called from the event loop, never from within a member function, and not
// after cancel(). The last event is response_ended or channel_failed. Pending operations keep the
// channel alive, hence the shared ownership.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/relay/message.h"

namespace fuchsiaspring::relay {

// A visitor made of lambdas.
template <typename... Functions>
struct overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

// Whether a byte of the request may have reached the upstream.
enum class sent_state { not_sent, sent };

enum class channel_fault {
  connect_failed,   // refused or reset before the connection was established
  connect_timeout,  // not connected within `connect_timeout`
  refused_to_send,  // the send check returned false
  broken,           // the connection failed, or the response is incomplete
  malformed,        // not HTTP, or more than the limits of this channel
};

// Stable lower-case name, for logs and counters.
std::string_view to_string(channel_fault fault);

struct response_started {
  const response_head& head;
};
struct body_received {
  std::string_view bytes;
};
struct response_ended {
  // Whether a length or chunks marked the end. Otherwise the end of the connection did, which an
  // upstream that fails causes as well.
  bool is_delimited = true;
};
struct channel_failed {
  channel_fault fault = channel_fault::broken;
  sent_state sent = sent_state::not_sent;
  std::string detail;
};

using channel_event = std::variant<response_started, body_received, response_ended, channel_failed>;

struct channel_options {
  base::duration connect_timeout = std::chrono::milliseconds(300);
  // Time after which unacknowledged bytes or unanswered keep-alive probes end the connection.
  base::duration dead_peer_timeout = std::chrono::milliseconds(1500);
};

class upstream_channel : public std::enable_shared_from_this<upstream_channel> {
 public:
  using event_handler = std::function<void(const channel_event&)>;
  // Whether a response belongs to the request that was sent.
  using ownership_check = std::function<bool(const response_head&)>;
  // Called right before the first byte is written; false fails the request with `refused_to_send`.
  using send_check = std::function<bool()>;

  static std::shared_ptr<upstream_channel> create(boost::asio::io_context& io,
                                                  boost::asio::ip::tcp::endpoint endpoint,
                                                  channel_options options);
  ~upstream_channel();
  upstream_channel(const upstream_channel&) = delete;
  upstream_channel& operator=(const upstream_channel&) = delete;
  upstream_channel(upstream_channel&&) = delete;
  upstream_channel& operator=(upstream_channel&&) = delete;

  // Sends a request. The channel must be new or reusable.
  void send(const request& message, ownership_check is_own_response, send_check may_send,
            event_handler handler);

  // Suspends and resumes the delivery of body_received.
  void pause();
  void resume();

  // Whether bytes, or the end of the connection, have arrived that no event has reported yet.
  bool has_unread_input() const;

  // Time since the upstream's system last acknowledged bytes or a keep-alive probe, if known.
  std::optional<base::duration> time_since_acknowledgement() const;

  // Aborts the request and closes the connection without further events. Bytes of the request that
  // have not arrived at the upstream are dropped.
  void cancel();

  // Whether the connection can carry another request. False also when data or the end of the
  // connection has arrived since the last response; the connection is then closed.
  bool is_reusable();

  // Notes that the connection carries the request with this id, unless it is empty. A connection
  // whose memory for ids is full is not reusable any more.
  void record_request_id(std::string_view request_id);

  // Whether the connection has carried a request with this id. In rare cases true for another id.
  bool has_carried(std::string_view request_id) const;

  // Whether the channel was already connected when the current request was sent.
  bool was_connected() const;

  const boost::asio::ip::tcp::endpoint& endpoint() const;

  // Idle timeout that the upstream states in its Keep-Alive header, if any.
  std::optional<base::duration> idle_timeout() const;

  // Calls `on_readable` once when data or the end of the connection arrives while it is idle.
  void watch_idle(std::function<void()> on_readable);

 private:
  struct state;

  explicit upstream_channel(std::unique_ptr<state> initial);

  void connect();
  void on_connected(const boost::system::error_code& error);
  void write();
  void on_written(const boost::system::error_code& error);
  void read_head();
  void on_head(const boost::system::error_code& error);
  void read_body();
  void on_body(const boost::system::error_code& error);
  void finish_at_end();
  void finish();
  void fail(channel_fault fault, const std::string& detail);
  void emit(const channel_event& event);
  void reset_on_close();
  void close();

  std::unique_ptr<state> m_state;
};

}  // namespace fuchsiaspring::relay
