// State of a caller's connection, and the listener state that its connections share. Private to the
// library.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <optional>
#include <unordered_set>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/body_builder.h"
#include "relay/wire.h"

namespace fuchsiaspring::relay {

struct caller_listener::state {
  state(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& address,
        std::shared_ptr<memory_budget> memory)
      : io(loop), acceptor(loop), retry_timer(loop), budget(std::move(memory)) {
    listen(address);
  }

  // An idle timeout that is not in force any more.
  struct former_idle_timeout {
    base::duration value{};
    base::time_point replaced_at{};
  };

  void replace_limits(const caller_limits& next, base::time_point now);
  // The longest idle timeout that was in force since `since`, with the grace period.
  base::duration idle_limit(base::time_point since) const;

  void listen(const boost::asio::ip::tcp::endpoint& address);

  // End the request, or close the idle connection, that has made no progress for longest. They
  // return false if there is none that has made none for some time.
  bool shed_connection();    // answers the request
  bool shed_stalled_body();  // one with a reservation
  bool close_stalled_connection();
  bool close_longest_idle_connection();
  // The connection that has been reading a request without progress for longest, or nullptr.
  caller_connection* find_stalled(bool needs_reservation) const;

  boost::asio::io_context& io;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer retry_timer;
  std::shared_ptr<memory_budget> budget;
  caller_limits limits;
  // In the order of their replacement. Each is longer than those after it and than the one in
  // force; the others cannot be the longest for any connection.
  std::deque<former_idle_timeout> former_idle_timeouts;
  std::size_t max_connections = 0;
  request_handler on_request;
  fault_handler on_fault;
  close_handler on_close;
  std::unordered_set<caller_connection*> connections;  // open ones
  std::list<caller_connection*> idle_connections;      // the one that has been idle longest first
  // Those that read a request, the one without progress for longest first. Bodies that wait for
  // memory are not among them.
  std::list<caller_connection*> reading_connections;
  std::size_t refused_connections = 0;  // open until their callers close them
  bool is_draining = false;
  bool is_stopped = false;
  bool is_destroyed = false;
};

// Bytes that are read ahead of the parser beside a head: pipelined requests, chunk headers and
// trailers.
inline constexpr std::size_t max_bytes_beside_head = 65536;

struct caller_connection::state {
  state(boost::asio::ip::tcp::socket accepted,
        std::shared_ptr<caller_listener::state> listener_state)
      : socket(std::move(accepted)),
        timer(socket.get_executor()),
        listener(std::move(listener_state)),
        buffer(listener->limits.header_bytes + max_bytes_beside_head),
        charge(listener->budget),
        body_charge(listener->budget) {}

  enum class phase { idle, reading, handling, closed };

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::shared_ptr<caller_listener::state> listener;
  boost::beast::flat_buffer buffer;
  std::optional<internal::http::request_parser<internal::http::buffer_body>> parser;
  memory_charge charge;        // for all but the body
  std::size_t head_bytes = 0;  // that are charged for the head of the current request
  request request_head;        // of the request whose body is being read
  internal::body_builder body;
  memory_charge body_charge;
  bool expects_continue = false;  // an interim response is sent once the body may be read
  base::time_point body_deadline{};
  // While reading a request.
  std::optional<std::list<caller_connection*>::iterator> reading_position;
  base::time_point progress_at{};
  std::size_t progress_bytes = 0;  // of the body, at that time
  phase current_phase = phase::idle;
  std::optional<std::list<caller_connection*>::iterator> idle_position;  // while waiting idly
  base::time_point received_at{};
  base::time_point idle_since{};  // end of the last response, or the time of accepting
  std::uint64_t responses = 0;
  std::uint64_t timer_generation = 0;  // callbacks of replaced timers are ignored

  std::deque<std::string> unsent;
  std::size_t unsent_bytes = 0;
  bool is_writing = false;
  bool is_response_queued = false;  // the last byte of the response is in `unsent` or written
  bool has_begun_response = false;  // the head of the response is in `unsent` or written
  bool is_input_ended = false;      // the caller sends nothing more, but may await its response
  bool is_chunked = false;          // the current response uses chunked transfer encoding
  bool is_read_wait_pending = false;
  bool closes_connection = false;  // the connection is closed after the response
  bool request_keep_alive = true;
  bool is_head_request = false;  // the response has a head only
  unsigned http_version = 11;
  std::function<void()> on_drained;
  std::function<void()> on_disconnected;
};

}  // namespace fuchsiaspring::relay
