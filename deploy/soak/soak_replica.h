// A replica of a soak test: an HTTP server that fails a random share of the requests, pauses in
// others, writes some responses a second time, and reports each execution to the invariant checker.
//
//   soak_replica replica(io, address, "i-1", random, checker);
//   replica.set_fault_rate(0.03);
//   replica.pause_responses(800ms);
//   fault_relay relay(io, replica.endpoint());
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "deploy/soak/invariant_checker.h"
#include "deploy/soak/replica_response.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

using boost::asio::ip::tcp;

class soak_replica {
 public:
  soak_replica(boost::asio::io_context& io, const boost::asio::ip::address_v4& address,
               std::string id, base::random_source& random, invariant_checker& checker);

  const std::string& id() const { return m_id; }
  // Number of this start, from 1 on.
  int start_number() const { return m_start_number; }
  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

  // Share of requests that are rejected, fail, or get a truncated, lost or missing response.
  void set_fault_rate(double rate) { m_fault_rate = rate; }

  // Turns a share of the requests away with Retry-After.
  void set_turn_away_rate(double rate) { m_turn_away_rate = rate; }

  // All responses stand still for `length` and go on. No response pauses for longer than
  // `longest_pause` in all.
  void pause_responses(std::chrono::milliseconds length);

  // From now on all responses state that the replica is leaving.
  void announce_leaving() { m_is_leaving = true; }
  // Resets all connections and every further one until start_again().
  void end();
  void start_again(const std::string& id);

 private:
  using message = boost::beast::http::request<boost::beast::http::string_body>;

  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    message request;
    std::vector<response_part> parts;  // of the current response
    std::size_t next_part = 0;
    std::chrono::milliseconds pause_left{};  // of the current response
    bool closes_after_response = false;
    bool is_writing = false;
    std::size_t bytes_before_first_event_end = 0;  // still to be written
    replica_response last_response;
    std::optional<observed_refusal> refusal;  // to be reported once it is written
    std::string copy;                         // to be written before the next response
    bool has_unnamed_copy = false;  // a copy without the request's id precedes the next response
  };
  using connection_ptr = std::shared_ptr<connection>;

  enum class behavior {
    respond,
    reject,
    fail,
    truncate,
    close_early,
    hang,
    misdirected,
    turn_away
  };

  std::string incarnation() const { return m_id + "/" + std::to_string(m_start_number); }
  void accept();
  void read(const connection_ptr& client);
  void handle_request(const connection_ptr& client);
  bool is_misdirected(const message& request) const;
  behavior choose_behavior(const message& request);
  void report_request(const connection& client, behavior chosen);
  void finish(const connection_ptr& client, behavior chosen);
  replica_response make_response(connection& client, behavior chosen);
  replica_response turn_away(connection& client, const std::string& id);
  void add_random_pause(std::vector<response_part>& parts, std::size_t head_size);

  void write_next_part(const connection_ptr& client);
  void write_unless_paused(const connection_ptr& client);
  void report_begin(connection& client, std::size_t written);
  void end_response(const connection_ptr& client);
  void repeat_last_response(const connection_ptr& client);
  void write_copy(const connection_ptr& client, const replica_response& copy);
  void run_after(std::chrono::milliseconds delay, std::function<void()> action);

  boost::asio::io_context& m_io;
  std::string m_id;
  base::random_source& m_random;
  invariant_checker& m_checker;
  tcp::acceptor m_acceptor;
  double m_fault_rate = 0;
  double m_turn_away_rate = 0;
  clock::time_point m_paused_until;
  int m_start_number = 1;
  bool m_is_leaving = false;
  bool m_is_running = true;
  std::vector<std::weak_ptr<connection>> m_connections;
};

}  // namespace fuchsiaspring::soak
