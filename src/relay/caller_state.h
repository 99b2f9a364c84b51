// State of a caller's connection and what the connections of a listener share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <unordered_set>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/wire.h"

namespace fuchsiaspring::relay {

struct caller_listener::shared {
  shared(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& address)
      : io(loop), acceptor(loop, address), retry_timer(loop) {}

  boost::asio::io_context& io;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer retry_timer;
  caller_limits limits;
  std::size_t max_connections = 0;
  request_handler on_request;
  fault_handler on_fault;
  std::unordered_set<caller_connection*> connections;
  bool is_draining = false;
  bool is_stopped = false;
};

struct caller_connection::state {
  state(boost::asio::ip::tcp::socket accepted, std::shared_ptr<caller_listener::shared> of)
      : socket(std::move(accepted)), timer(socket.get_executor()), owner(std::move(of)) {}

  enum class phase { idle, reading, handling, closed };

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::shared_ptr<caller_listener::shared> owner;
  boost::beast::flat_buffer buffer;
  std::optional<internal::http::request_parser<internal::http::string_body>> parser;
  phase now = phase::idle;
  base::time_point received_at{};
  std::uint64_t timer_number = 0;  // a timer that was replaced must not act

  std::deque<std::string> unsent;
  std::size_t unsent_bytes = 0;
  bool is_writing = false;
  bool is_answered = false;   // the last byte of the answer is in `unsent` or sent
  bool is_chunked = false;    // the answer that is being sent
  bool is_watching = false;   // an operation waits for bytes from the caller
  bool closes_after = false;  // the answer says that the connection ends
  bool wants_keep_alive = true;
  unsigned version = 11;
  std::function<void()> on_drained;
  std::function<void()> on_gone;
};

}  // namespace fuchsiaspring::relay
