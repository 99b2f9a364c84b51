// Raw TCP peers for the tests of the relay: a caller and an upstream that send exact bytes.
#pragma once

#include <sys/socket.h>

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
#include <vector>

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
  raw_caller(boost::asio::io_context& io, const tcp::endpoint& remote)
      : m_state(std::make_shared<state>(io)) {
    m_state->socket.connect(remote);
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

  // Ends the bytes to the peer; the caller still reads.
  void shut_down_sending() {
    boost::system::error_code ignored;
    m_state->socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  const std::string& received() const { return m_state->received; }
  bool is_closed() const { return m_state->is_closed; }
  // How the connection was closed by the peer.
  const boost::system::error_code& end() const { return m_state->end; }

 private:
  struct state {
    explicit state(boost::asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    bool is_closed = false;
    boost::system::error_code end;
  };

  // The pending read keeps the state alive after the caller is destroyed.
  static void read(const std::shared_ptr<state>& peer) {
    peer->socket.async_read_some(boost::asio::buffer(peer->buffer),
                                 [peer](const boost::system::error_code& error, std::size_t size) {
                                   peer->received.append(peer->buffer.data(), size);
                                   if (error) {
                                     peer->is_closed = true;
                                     peer->end = error;
                                     return;
                                   }
                                   read(peer);
                                 });
  }

  std::shared_ptr<state> m_state;
};

// A request head that raw_upstream has received.
struct received_request {
  int connection = 0;  // index of the connection
  int number = 0;      // index of the request on its connection
  std::string head;

  // Value of a header, empty if there is none.
  std::string header(const std::string& name) const {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t value_begin = at + name.size() + 4;
    return head.substr(value_begin, head.find("\r\n", value_begin) - value_begin);
  }
};

// An upstream that calls `on_request` with the connection's socket for each request head received.
class raw_upstream {
 public:
  using request_handler = std::function<void(tcp::socket&, const received_request&)>;

  raw_upstream(boost::asio::io_context& io, request_handler on_request,
               const boost::asio::ip::address_v4& address = boost::asio::ip::address_v4::loopback())
      : m_acceptor(io, tcp::endpoint(address, 0)), m_on_request(std::move(on_request)) {
    accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  // Refuses new connections; open ones stay open.
  void stop_accepting() {
    // Child processes inherit the descriptor, so closing it does not suffice.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
  }

  // Leaves new connections to the system, which completes only one or two of them.
  void leave_connections_waiting() {
    m_acceptor.cancel();
    m_acceptor.listen(1);
  }

  int connections() const { return m_connections; }
  int requests() const { return m_requests; }
  int closed_connections() const { return m_closed_connections; }

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
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      auto accepted = std::make_shared<connection>(std::move(socket));
      accepted->number = m_connections++;
      m_accepted.push_back(accepted);
      read(accepted);
      accept();
    });
  }

  void read(const std::shared_ptr<connection>& peer) {
    peer->socket.async_read_some(boost::asio::buffer(peer->buffer), [this, peer](
                                                                        const boost::system::
                                                                            error_code& error,
                                                                        std::size_t size) {
      if (error) {
        ++m_closed_connections;
        boost::system::error_code ignored;  // the peer has closed the connection
        peer->socket.close(ignored);
        return;
      }
      peer->input.append(peer->buffer.data(), size);
      std::size_t end = 0;
      while ((end = peer->input.find("\r\n\r\n")) != std::string::npos) {
        const received_request seen{peer->number, peer->requests++, peer->input.substr(0, end + 2)};
        peer->input.erase(0, end + 4);
        ++m_requests;
        m_on_request(peer->socket, seen);
      }
      if (peer->socket.is_open()) {
        read(peer);
      }
    });
  }

  tcp::acceptor m_acceptor;
  request_handler m_on_request;
  // Request handlers keep references to the sockets.
  std::vector<std::shared_ptr<connection>> m_accepted;
  int m_connections = 0;
  int m_requests = 0;
  int m_closed_connections = 0;
};

inline void write_all(tcp::socket& socket, const std::string& bytes) {
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

// Writes `bytes` again and again until the peer closes the connection.
inline void write_endlessly(tcp::socket& socket, const std::string& bytes) {
  const auto repeated = std::make_shared<const std::string>(bytes);
  boost::asio::async_write(
      socket, boost::asio::buffer(*repeated),
      [&socket, repeated](const boost::system::error_code& error, std::size_t) {
        if (!error) {
          write_endlessly(socket, *repeated);
        }
      });
}

}  // namespace fuchsiaspring::relay::testing
