// A replica of a soak test: an HTTP server that fails a random share of the requests and reports
// each execution to the invariant checker.
//
//   soak_replica replica(io, "i-1", random, checker);
//   replica.set_fault_rate(0.03);
//   fault_relay relay(io, replica.endpoint());
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>

#include "deploy/soak/invariant_checker.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

using boost::asio::ip::tcp;

class soak_replica {
 public:
  soak_replica(boost::asio::io_context& io, std::string id, base::random_source& random,
               invariant_checker& checker)
      : m_io(io),
        m_id(std::move(id)),
        m_random(random),
        m_checker(checker),
        m_acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    accept();
  }

  const std::string& id() const { return m_id; }
  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

  // Share of requests that are rejected, fail, or get a truncated, lost or missing response.
  void set_fault_rate(double rate) { m_fault_rate = rate; }

 private:
  using message = boost::beast::http::request<boost::beast::http::string_body>;

  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    message request;
  };

  enum class behavior { respond, reject, fail, truncate, close_early, hang };

  void accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      read(std::make_shared<connection>(std::move(socket)));
      accept();
    });
  }

  void read(const std::shared_ptr<connection>& client) {
    client->request = {};
    boost::beast::http::async_read(
        client->socket, client->buffer, client->request,
        [this, client](const boost::system::error_code& error, std::size_t) {
          if (!error) {
            handle_request(client);
          }
        });
  }

  void handle_request(const std::shared_ptr<connection>& client) {
    const behavior chosen = choose_behavior();
    const std::string id(client->request["Fuchsiaspring-Attempt-Id"]);
    if (chosen != behavior::reject) {
      m_checker.on_run(
          id, {.replica = m_id,
               .team = std::string(client->request["Fuchsiaspring-Tenant"]),
               .has_key = client->request.count("Authorization") > 0,
               .sends_full_response = chosen == behavior::respond || chosen == behavior::fail,
               .at = clock::now()});
    }
    constexpr double mean_work_ms = 15;
    const auto work =
        std::chrono::milliseconds(static_cast<int>(m_random.exponential(mean_work_ms)));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, work);
    timer->async_wait([this, client, chosen, id, timer](const boost::system::error_code&) {
      finish(client, chosen, id);
    });
  }

  behavior choose_behavior() {
    if (m_random.uniform() >= m_fault_rate) {
      return behavior::respond;
    }
    constexpr std::uint64_t faults = 5;
    return static_cast<behavior>(1 + m_random.uniform_below(faults));
  }

  void finish(const std::shared_ptr<connection>& client, behavior chosen, const std::string& id) {
    switch (chosen) {
      case behavior::reject:
        respond(client, response_head(id, "503 Full", "Fuchsiaspring-Not-Executed: 1\r\n", 0));
        return;
      case behavior::fail:
        respond(client, response_head(id, "500 Failed", "", 0));
        return;
      case behavior::hang:
        read(client);  // the connection stays open until the node closes it
        return;
      case behavior::close_early:
        close(*client);
        return;
      case behavior::respond:
      case behavior::truncate:
        break;
    }
    const std::string full_response = success_response(*client, id);
    if (chosen == behavior::respond && m_random.uniform() < slow_response_share) {
      respond_in_two_parts(client, full_response);
      return;
    }
    if (chosen == behavior::respond) {
      respond(client, full_response);
      return;
    }
    boost::system::error_code ignored;  // the node may have closed the connection
    boost::asio::write(
        client->socket,
        boost::asio::buffer(full_response.substr(0, m_random.uniform_below(full_response.size()))),
        ignored);
    close(*client);
  }

  static std::string response_head(const std::string& id, const std::string& status,
                                   const std::string& extra_headers, std::size_t size) {
    return "HTTP/1.1 " + status + "\r\nFuchsiaspring-Attempt-Id: " + id +
           "\r\nFuchsiaspring-Response-Signature: s\r\n" + extra_headers +
           "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  }

  static std::string success_response(const connection& client, const std::string& id) {
    if (client.request.target().find("/stream/") != 0) {
      const std::string body = response_body(id);
      return response_head(id, "200 OK", "", body.size()) + body;
    }
    const std::string last_event_header(client.request["Last-Event-Id"]);
    const int last_event_id = last_event_header.empty() ? 0 : std::atoi(last_event_header.c_str());
    const std::string body =
        stream_events(id, last_event_id, invariant_checker::events_per_stream - last_event_id);
    return response_head(id, "200 OK", "Content-Type: text/event-stream\r\n", body.size()) + body;
  }

  void respond(const std::shared_ptr<connection>& client, const std::string& bytes) {
    auto owned_bytes = std::make_shared<std::string>(bytes);
    boost::asio::async_write(
        client->socket, boost::asio::buffer(*owned_bytes),
        [this, client, owned_bytes](const boost::system::error_code& error, std::size_t) {
          if (!error) {
            read(client);
          }
        });
  }

  // The head may come long before the first event, and an event in two pieces.
  void respond_in_two_parts(const std::shared_ptr<connection>& client, const std::string& bytes) {
    const std::size_t first_part = m_random.uniform_below(bytes.size());
    boost::system::error_code ignored;  // the node may have closed the connection
    boost::asio::write(client->socket, boost::asio::buffer(bytes.substr(0, first_part)), ignored);
    const auto pause = std::chrono::milliseconds(m_random.uniform_below(max_pause_ms));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, pause);
    timer->async_wait([this, client, timer, rest = bytes.substr(first_part)](
                          const boost::system::error_code&) { respond(client, rest); });
  }

  // Sound responses that pause in the middle, for up to twice the shortest stall timeout of a node.
  static constexpr double slow_response_share = 0.1;
  static constexpr std::uint64_t max_pause_ms = 700;

  static void close(connection& client) {
    boost::system::error_code ignored;  // the node may have closed it already
    client.socket.close(ignored);
  }

  boost::asio::io_context& m_io;
  std::string m_id;
  base::random_source& m_random;
  invariant_checker& m_checker;
  tcp::acceptor m_acceptor;
  double m_fault_rate = 0;
};

}  // namespace fuchsiaspring::soak
