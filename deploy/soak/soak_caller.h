// A caller of a soak: it sends one request after the other, keeps its connection as long as the
// node does, and tells what it saw.
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

#include "deploy/soak/promises.h"

namespace fuchsiaspring::soak {

using boost::asio::ip::tcp;

class soak_caller {
 public:
  struct plan {
    sent_request request;
    std::uint16_t port = 0;  // of the node
  };
  // What to ask next; nothing ends the caller.
  using planner = std::function<std::optional<plan>()>;

  soak_caller(boost::asio::io_context& io, promises& seen, planner next)
      : m_io(io), m_seen(seen), m_next(std::move(next)), m_pause(io) {}

  void start() { ask_next(); }
  bool is_done() const { return m_is_done; }

 private:
  using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  struct exchange {
    explicit exchange(boost::asio::io_context& io) : socket(io), patience(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::unique_ptr<parser> answer;
    std::string head;
    boost::asio::steady_timer patience;
    std::uint16_t port = 0;
    bool is_reusable = false;
  };

  // Longer than the routes' timeout with its slack, so that a missing answer is seen as such.
  static constexpr std::chrono::milliseconds longest_wait{4000};
  static constexpr std::chrono::milliseconds pause_between{20};
  static constexpr std::chrono::milliseconds pause_after_failure{100};

  void ask_next() {
    std::optional<plan> planned = m_next();
    if (!planned) {
      m_is_done = true;
      return;
    }
    if (!m_exchange || !m_exchange->is_reusable || m_exchange->port != planned->port) {
      m_exchange = std::make_shared<exchange>(m_io);
      m_exchange->port = planned->port;
      boost::system::error_code failed;
      m_exchange->socket.connect({boost::asio::ip::address_v4::loopback(), planned->port}, failed);
      if (failed) {
        m_exchange.reset();
        wait(pause_after_failure);
        return;
      }
    }
    send(planned->request);
  }

  void send(sent_request request) {
    const auto on = m_exchange;
    const std::string path = request.kind == request_kind::safe   ? "/safe/"
                             : request.kind == request_kind::once ? "/once/"
                                                                  : "/stream/";
    on->head = "POST " + path +
               "1 HTTP/1.1\r\nHost: h.example\r\nFuchsiaspring-Attempt-Id: " + request.id +
               "\r\nAuthorization: Bearer " + request.key +
               "\r\nFuchsiaspring-Tenant: forged\r\nContent-Length: 0\r\n\r\n";
    request.sent = clock::now();
    m_seen.on_sent(request);
    on->answer = std::make_unique<parser>();
    on->patience.expires_after(longest_wait);
    on->patience.async_wait([on](const boost::system::error_code& cancelled) {
      boost::system::error_code ignored;  // an answer may have ended the exchange meanwhile
      if (!cancelled) {
        on->socket.close(ignored);
      }
    });
    boost::system::error_code ignored;  // seen as an answer that does not come
    boost::asio::write(on->socket, boost::asio::buffer(on->head), ignored);
    boost::beast::http::async_read(
        on->socket, on->buffer, *on->answer,
        [this, on, id = request.id](const boost::system::error_code& failed, std::size_t) {
          on->patience.cancel();
          finish(*on, id, !failed);
        });
  }

  void finish(exchange& on, const std::string& id, bool is_complete) {
    seen_answer answer;
    if (on.answer->is_header_done()) {
      const auto& message = on.answer->get();
      answer = {.status = message.result_int(),
                .is_complete = is_complete,
                .is_signed = message.count("Fuchsiaspring-Response-Signature") > 0,
                .body = message.body()};
    }
    m_seen.on_answer(id, answer, clock::now());
    on.is_reusable = is_complete && on.answer->get().keep_alive();
    wait(answer.status == 200 ? pause_between : pause_after_failure);
  }

  void wait(std::chrono::milliseconds time) {
    m_pause.expires_after(time);
    m_pause.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        ask_next();
      }
    });
  }

  boost::asio::io_context& m_io;
  promises& m_seen;
  planner m_next;
  boost::asio::steady_timer m_pause;
  std::shared_ptr<exchange> m_exchange;
  bool m_is_done = false;
};

}  // namespace fuchsiaspring::soak
