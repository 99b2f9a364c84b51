// Raw TCP peers for the tests of the relay: a caller and an upstream that send exact bytes.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace fuchsiaspring::relay::testing {

using boost::asio::ip::tcp;

// Runs the loop until `done` or a timeout, and returns whether it is done.
inline bool run_until(boost::asio::io_context& io, const std::function<bool()>& done,
                      std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(std::chrono::milliseconds(2));
  }
  return done();
}

// A caller that writes bytes and collects what comes back.
class raw_caller {
 public:
  raw_caller(boost::asio::io_context& io, const tcp::endpoint& to)
      : m_state(std::make_shared<state>(io)) {
    m_state->socket.connect(to);
    read(m_state);
  }
  ~raw_caller() { close(); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;
  raw_caller(raw_caller&&) = delete;
  raw_caller& operator=(raw_caller&&) = delete;

  void write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(m_state->socket, boost::asio::buffer(bytes), ignored);
  }

  void close() {
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
  }

  const std::string& received() const { return m_state->received; }
  bool is_closed() const { return m_state->is_closed; }

 private:
  struct state {
    explicit state(boost::asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    bool is_closed = false;
  };

  // The pending read keeps the state alive when the caller is gone.
  static void read(const std::shared_ptr<state>& from) {
    from->socket.async_read_some(boost::asio::buffer(from->buffer),
                                 [from](const boost::system::error_code& failed, std::size_t size) {
                                   from->received.append(from->buffer.data(), size);
                                   if (failed) {
                                     from->is_closed = true;
                                     return;
                                   }
                                   read(from);
                                 });
  }

  std::shared_ptr<state> m_state;
};

// A request head that an upstream has received.
struct seen_request {
  int connection = 0;  // number of the connection
  int number = 0;      // of the request on its connection
  std::string head;

  // Value of a header, empty if there is none.
  std::string header(const std::string& name) const {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
};

// An upstream that hands each accepted connection to `on_request` once a request head is in.
class raw_upstream {
 public:
  using request_handler = std::function<void(tcp::socket&, const seen_request&)>;

  raw_upstream(boost::asio::io_context& io, request_handler on_request)
      : m_acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        m_on_request(std::move(on_request)) {
    accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  int connections() const { return m_connections; }
  int requests() const { return m_requests; }
  int closed() const { return m_closed; }

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string input;
    std::array<char, 4096> buffer{};
    int number = 0;
    int requests = 0;
  };

  void accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& failed, tcp::socket socket) {
      if (failed) {
        return;
      }
      auto made = std::make_shared<connection>(std::move(socket));
      made->number = m_connections++;
      read(made);
      accept();
    });
  }

  void read(const std::shared_ptr<connection>& from) {
    from->socket.async_read_some(
        boost::asio::buffer(from->buffer),
        [this, from](const boost::system::error_code& failed, std::size_t size) {
          if (failed) {
            ++m_closed;
            return;
          }
          from->input.append(from->buffer.data(), size);
          std::size_t end = 0;
          while ((end = from->input.find("\r\n\r\n")) != std::string::npos) {
            const seen_request seen{from->number, from->requests++, from->input.substr(0, end + 2)};
            from->input.erase(0, end + 4);
            ++m_requests;
            m_on_request(from->socket, seen);
          }
          if (from->socket.is_open()) {
            read(from);
          }
        });
  }

  tcp::acceptor m_acceptor;
  request_handler m_on_request;
  int m_connections = 0;
  int m_requests = 0;
  int m_closed = 0;
};

inline void write_all(tcp::socket& socket, const std::string& bytes) {
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

}  // namespace fuchsiaspring::relay::testing
