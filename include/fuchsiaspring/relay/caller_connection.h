// HTTP connections of callers, and the listener that accepts them.
//
//   relay::caller_listener listener(io, endpoint, limits, [](relay::caller_connection& caller,
//                                                            relay::request message) {
//     caller.respond({{200, {}}, "hello"});
//   });
//   listener.start();
//
// The request handler is called once the body of a request is complete. It sends the response with
// respond(), or with begin_stream(), send() and end_stream(). abort() closes the connection in the
// middle of a response, so that the caller does not take it for complete. A request that is
// malformed, too large or too slow gets an error response and is reported to the fault handler.
//
// Handlers run in the event loop. Pending operations keep a connection alive, hence the shared
// ownership.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/relay/memory_budget.h"
#include "fuchsiaspring/relay/message.h"

namespace fuchsiaspring::relay {

struct caller_limits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4194304;
  base::duration header_timeout = std::chrono::seconds(3);
  base::duration idle_timeout = std::chrono::seconds(15);
  // An idle connection stays open for this long beyond its idle timeout: callers may rely on a
  // raised idle timeout before the listener gets it.
  base::duration idle_grace{};
  // From the end of a head to the end of the body, without waits for memory.
  base::duration body_timeout = std::chrono::seconds(120);

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

// Why a request was rejected, with the status of the response.
enum class input_fault {
  malformed,           // not HTTP, or ambiguous framing: 400
  header_too_large,    // 431
  body_too_large,      // 413
  header_timeout,      // 408
  body_timeout,        // 408
  no_memory,           // the memory budget has no room for it: 503
  unsupported_coding,  // a transfer coding other than `chunked`: 501
};

// Stable lower-case name, for logs and counters.
std::string_view to_string(input_fault fault);

// Why the router closed a caller's connection without a response to a last request.
enum class close_reason {
  idle_timeout,          // no request arrived within the idle timeout
  stopped,               // idle when the listener stopped
  too_many_connections,  // accepted beyond the limit while no connection was idle
  evicted,               // idle longest when connections or memory were short
  stalled,               // without progress in sending a request when connections were short
  aborted,               // a response was broken off
  write_timeout,         // the caller did not take response bytes in time
};

// Stable lower-case name, for logs and counters.
std::string_view to_string(close_reason reason);

struct closed_connection {
  close_reason reason = close_reason::idle_timeout;
  std::size_t unread_bytes = 0;   // that had arrived and were not read
  base::duration idle_time{};     // since the last response, or since the connection was accepted
  base::duration idle_timeout{};  // in force for this connection when it was closed, with grace
  std::uint64_t responses = 0;    // that were complete on this connection

  friend bool operator==(const closed_connection&, const closed_connection&) = default;
};

class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  ~caller_connection();
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  caller_connection(caller_connection&&) = delete;
  caller_connection& operator=(caller_connection&&) = delete;

  // Sends a complete response.
  void respond(const response& message);

  // Starts a response of unknown length.
  void begin_stream(const response_head& head);
  void send(std::string_view bytes);
  void end_stream();

  // Closes the connection without completing the response. The caller can tell the partial response
  // from a complete one, also where the end of the connection is the end of the response.
  void abort();

  // Response bytes that are not written to the socket yet.
  std::size_t unsent_bytes() const;

  // Called when all bytes of an unfinished response have been written to the socket.
  void set_drained_handler(std::function<void()> on_drained);

  // Called once when the caller disconnects, or a write times out, before the response is complete.
  // A caller of HTTP/1.1 that shuts down its sending side before its response begins still gets it;
  // until then it gets interim responses (100 Continue), which show whether it has left.
  void set_disconnect_handler(std::function<void()> on_disconnected);

  // Time at which the head of the current request was complete.
  base::time_point received_at() const;

 private:
  friend class caller_listener;
  struct state;

  explicit caller_connection(std::unique_ptr<state> initial);

  void start();
  void wait_for_request();
  void read_head();
  void on_head(const boost::system::error_code& error);
  bool charge_head();
  void take_head();
  void read_body();
  void on_body(const boost::system::error_code& error);
  void note_progress();
  bool make_space_for_body();
  bool reserve_body(std::size_t bytes);
  void check_reservation(base::time_point since);
  void on_reserved();
  message_body take_body();
  void discard_body();
  void leave_reading_connections();
  void update_charge();
  std::size_t charged_bytes() const;
  void dispatch_request();
  void watch_for_disconnect();
  void on_disconnect();
  void on_end_of_input();
  void check_presence();
  void reject(input_fault fault);
  bool closes_after_response() const;
  void write(std::string bytes);
  void write_next();
  void on_written(const boost::system::error_code& error);
  void finish_response();
  void start_timer(base::duration timeout, std::function<void()> on_timeout);
  void start_idle_timer(base::duration timeout);
  void on_idle_timer();
  base::duration idle_limit() const;
  void leave_idle_connections();
  void start_input_timer(base::duration timeout, input_fault fault);
  void on_input_timeout(input_fault fault, std::size_t arrived_bytes);
  void report_close(close_reason reason) const;
  void close();
  void close_when_idle();
  std::size_t received_bytes() const;
  bool has_received_bytes() const;

  std::unique_ptr<state> m_state;
};

class caller_listener {
 public:
  using request_handler = std::function<void(caller_connection&, request)>;
  using fault_handler = std::function<void(input_fault)>;
  using close_handler = std::function<void(const closed_connection&)>;

  // A connection beyond `max_connections` takes the place of the one that has been idle longest, or
  // of one that has stopped in the middle of a request. If there is none, it gets a response with
  // status 503. What the connections hold is charged to `budget`, which listeners may share;
  // without one it is not limited. Throws boost::system::system_error when the address cannot be
  // bound.
  caller_listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                  caller_limits limits, std::size_t max_connections, request_handler on_request,
                  fault_handler on_fault, std::shared_ptr<memory_budget> budget = nullptr);
  ~caller_listener();
  caller_listener(const caller_listener&) = delete;
  caller_listener& operator=(const caller_listener&) = delete;
  caller_listener(caller_listener&&) = delete;
  caller_listener& operator=(caller_listener&&) = delete;

  void start();

  // Called right before the listener closes a connection for one of the reasons above.
  void set_close_handler(close_handler on_close);

  // Limits for subsequent requests. A connection is idle for too long only by the longest idle
  // timeout that was in force since it became idle.
  void set_limits(const caller_limits& limits);

  // Each further response closes its connection, unless a pipelined request has arrived behind it.
  void begin_drain();

  // Accepts no further connections and closes the idle ones. A request that has arrived on an idle
  // connection, or on one that was not accepted yet, still gets its response, and so does the first
  // request on a connection that is less than 500 ms old. Implies begin_drain().
  void stop_accepting();

  std::size_t open_connections() const;

  boost::asio::ip::tcp::endpoint local_endpoint() const;

 private:
  friend class caller_connection;
  struct state;

  void accept();
  void accept_pending();
  void start_connection(boost::asio::ip::tcp::socket socket);
  void refuse_connection(boost::asio::ip::tcp::socket socket);
  void close();

  std::shared_ptr<state> m_state;  // shared with the connections, which may outlive the listener
};

}  // namespace fuchsiaspring::relay
