// A client of a soak test: sends one request after another over a keep-alive connection and reports
// each request and response to the invariant checker.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "deploy/soak/invariant_checker.h"

namespace fuchsiaspring::soak {

using boost::asio::ip::tcp;

class soak_caller {
 public:
  struct planned_request {
    sent_request request;
    tcp::endpoint node;
    bool has_given_up = false;  // waited in vain for the response
  };
  // Returns the next request; std::nullopt ends the caller.
  using request_source = std::function<std::optional<planned_request>()>;

  soak_caller(boost::asio::io_context& io, invariant_checker& checker, request_source next)
      : m_io(io), m_checker(checker), m_next_request(std::move(next)), m_pause(io) {}

  void start() { send_next(); }
  bool is_done() const { return m_is_done; }

 private:
  using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  struct exchange {
    explicit exchange(boost::asio::io_context& io) : socket(io), response_timer(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::unique_ptr<parser> response_parser;
    std::string head;
    boost::asio::steady_timer response_timer;
    tcp::endpoint node;
    bool has_given_up = false;  // waited in vain for the response
    bool is_reusable = false;
  };

  // Exceed the route's timeout plus its slack, so that the checker reports a missing response
  // first.
  static constexpr std::chrono::milliseconds response_wait{4000};
  static constexpr std::chrono::milliseconds stream_wait{8000};
  static constexpr std::chrono::milliseconds pause_between{20};
  static constexpr std::chrono::milliseconds pause_after_failure{100};

  void send_next() {
    std::optional<planned_request> planned = m_next_request();
    if (!planned) {
      m_is_done = true;
      return;
    }
    if (!m_exchange || !m_exchange->is_reusable || m_exchange->node != planned->node) {
      m_exchange = std::make_shared<exchange>(m_io);
      m_exchange->node = planned->node;
      boost::system::error_code error;
      m_exchange->socket.connect(planned->node, error);
      if (error) {
        m_exchange.reset();
        schedule_next(pause_after_failure);
        return;
      }
    }
    send(planned->request);
  }

  void send(sent_request request) {
    const auto current = m_exchange;
    const std::string path = request.kind == request_kind::safe     ? "/safe/"
                             : request.kind == request_kind::unsafe ? "/once/"
                                                                    : "/stream/";
    current->head =
        "POST " + path +
        "1/item HTTP/1.1\r\nHost: h.example\r\nFuchsiaspring-Attempt-Id: " + request.id +
        "\r\nAuthorization: Bearer " + request.key +
        "\r\nFuchsiaspring-Tenant: forged\r\nContent-Length: 0\r\n\r\n";
    request.sent = clock::now();
    m_checker.on_sent(request);
    current->response_parser = std::make_unique<parser>();
    current->response_timer.expires_after(request.kind == request_kind::stream ? stream_wait
                                                                               : response_wait);
    current->response_timer.async_wait([current](const boost::system::error_code& cancelled) {
      boost::system::error_code ignored;  // the response may have completed meanwhile
      if (!cancelled) {
        current->has_given_up = true;
        current->socket.close(ignored);
      }
    });
    boost::system::error_code ignored;  // a failed write shows as a missing response
    boost::asio::write(current->socket, boost::asio::buffer(current->head), ignored);
    boost::beast::http::async_read(
        current->socket, current->buffer, *current->response_parser,
        [this, current, id = request.id](const boost::system::error_code& error, std::size_t) {
          current->response_timer.cancel();
          finish(*current, id, !error);
        });
  }

  void finish(exchange& current, const std::string& id, bool is_complete) {
    observed_response response{.has_caller_left = current.has_given_up};
    if (current.response_parser->is_header_done()) {
      const auto& message = current.response_parser->get();
      response = {.status = message.result_int(),
                  .is_complete = is_complete,
                  .is_signed = message.count("Fuchsiaspring-Response-Signature") > 0,
                  .has_caller_left = current.has_given_up,
                  .body = message.body()};
    }
    m_checker.on_response(id, response, clock::now());
    current.is_reusable = is_complete && current.response_parser->get().keep_alive();
    schedule_next(response.status == 200 ? pause_between : pause_after_failure);
  }

  void schedule_next(std::chrono::milliseconds pause) {
    m_pause.expires_after(pause);
    m_pause.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        send_next();
      }
    });
  }

  boost::asio::io_context& m_io;
  invariant_checker& m_checker;
  request_source m_next_request;
  boost::asio::steady_timer m_pause;
  std::shared_ptr<exchange> m_exchange;
  bool m_is_done = false;
};

}  // namespace fuchsiaspring::soak
