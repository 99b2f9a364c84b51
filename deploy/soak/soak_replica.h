// A replica of a soak: it speaks the wire's protocol, misbehaves at random and tells each run.
//
//   soak_replica replica(io, "i-1", random, seen);
//   store.put("servers/i-1", entry_of(replica.port()));
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

#include "deploy/soak/promises.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

using boost::asio::ip::tcp;

class soak_replica {
 public:
  soak_replica(boost::asio::io_context& io, std::string id, base::random_source& random,
               promises& seen)
      : m_io(io),
        m_id(std::move(id)),
        m_random(random),
        m_seen(seen),
        m_acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    accept();
  }

  const std::string& id() const { return m_id; }
  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

  // Share of requests that are rejected, fail, or whose answers are cut, lost or never come.
  void set_fault_share(double share) { m_fault_share = share; }

 private:
  using message = boost::beast::http::request<boost::beast::http::string_body>;

  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    message request;
  };

  enum class behavior { answer, reject, fail, cut, lose, hang };

  void accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& failed, tcp::socket socket) {
      if (failed) {
        return;
      }
      read(std::make_shared<connection>(std::move(socket)));
      accept();
    });
  }

  void read(const std::shared_ptr<connection>& on) {
    on->request = {};
    boost::beast::http::async_read(
        on->socket, on->buffer, on->request,
        [this, on](const boost::system::error_code& failed, std::size_t) {
          if (!failed) {
            begin(on);
          }
        });
  }

  void begin(const std::shared_ptr<connection>& on) {
    const behavior how = choose_behavior();
    const std::string id(on->request["Fuchsiaspring-Attempt-Id"]);
    if (how != behavior::reject) {
      m_seen.on_run(id, {.replica = m_id,
                         .team = std::string(on->request["Fuchsiaspring-Tenant"]),
                         .has_key = on->request.count("Authorization") > 0,
                         .is_sound = how == behavior::answer || how == behavior::fail,
                         .at = clock::now()});
    }
    constexpr double usual_ms = 15;
    const auto work = std::chrono::milliseconds(static_cast<int>(m_random.exponential(usual_ms)));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, work);
    timer->async_wait(
        [this, on, how, id, timer](const boost::system::error_code&) { finish(on, how, id); });
  }

  behavior choose_behavior() {
    if (m_random.uniform() >= m_fault_share) {
      return behavior::answer;
    }
    constexpr std::uint64_t faults = 5;
    return static_cast<behavior>(1 + m_random.uniform_below(faults));
  }

  void finish(const std::shared_ptr<connection>& on, behavior how, const std::string& id) {
    switch (how) {
      case behavior::reject:
        respond(on, head(id, "503 Full", "Fuchsiaspring-Not-Executed: 1\r\n", 0));
        return;
      case behavior::fail:
        respond(on, head(id, "500 Failed", "", 0));
        return;
      case behavior::hang:
        read(on);  // the connection stays open until the router closes it
        return;
      case behavior::lose:
        close(*on);
        return;
      case behavior::answer:
      case behavior::cut:
        break;
    }
    const std::string whole = answer_to(*on, id);
    if (how == behavior::answer) {
      respond(on, whole);
      return;
    }
    boost::system::error_code ignored;  // the router may be gone
    boost::asio::write(on->socket,
                       boost::asio::buffer(whole.substr(0, m_random.uniform_below(whole.size()))),
                       ignored);
    close(*on);
  }

  static std::string head(const std::string& id, const std::string& status, const std::string& more,
                          std::size_t size) {
    return "HTTP/1.1 " + status + "\r\nFuchsiaspring-Attempt-Id: " + id +
           "\r\nFuchsiaspring-Response-Signature: s\r\n" + more +
           "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  }

  static std::string answer_to(const connection& on, const std::string& id) {
    if (on.request.target().find("/stream/") != 0) {
      const std::string body = answer_body(id);
      return head(id, "200 OK", "", body.size()) + body;
    }
    const std::string after(on.request["Last-Event-Id"]);
    const int passed = after.empty() ? 0 : std::atoi(after.c_str());
    const std::string body = stream_events(id, passed, promises::events_per_stream - passed);
    return head(id, "200 OK", "Content-Type: text/event-stream\r\n", body.size()) + body;
  }

  void respond(const std::shared_ptr<connection>& on, const std::string& bytes) {
    auto kept = std::make_shared<std::string>(bytes);
    boost::asio::async_write(
        on->socket, boost::asio::buffer(*kept),
        [this, on, kept](const boost::system::error_code& failed, std::size_t) {
          if (!failed) {
            read(on);
          }
        });
  }

  static void close(connection& on) {
    boost::system::error_code ignored;  // the router may have closed it before
    on.socket.close(ignored);
  }

  boost::asio::io_context& m_io;
  std::string m_id;
  base::random_source& m_random;
  promises& m_seen;
  tcp::acceptor m_acceptor;
  double m_fault_share = 0;
};

}  // namespace fuchsiaspring::soak
