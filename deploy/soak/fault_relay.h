// A relay on a loopback port that harms the connections between a process and a server.
//
//   fault_relay relay(io, server.endpoint());
//   relay.set_fault({.kind = link_fault::silent_to_server});
//   relay.reset_all();
//   relay.set_fault({});          // faultless again
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaspring::soak {

using boost::asio::ip::tcp;

struct link_fault {
  enum class fault_kind {
    none,
    delayed,           // bytes of both directions arrive late
    silent_to_server,  // bytes to the server are lost, connections stay open
    silent_to_client,
    silent,   // both directions
    refused,  // new connections are reset
  };
  fault_kind kind = fault_kind::none;
  std::chrono::milliseconds delay{};

  friend bool operator==(const link_fault&, const link_fault&) = default;
};

class fault_relay {
 public:
  fault_relay(boost::asio::io_context& io, tcp::endpoint server)
      : m_io(io),
        m_server(std::move(server)),
        m_acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    accept();
  }

  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
  const link_fault& fault() const { return m_fault; }
  void set_fault(link_fault fault) { m_fault = fault; }

  // Resets the open connections.
  void reset_all() {
    for (const std::weak_ptr<link>& each : m_links) {
      if (const auto open = each.lock()) {
        reset(open->client);
        reset(open->server);
      }
    }
    m_links.clear();
  }

 private:
  struct link {
    explicit link(tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor()) {}
    tcp::socket client;
    tcp::socket server;
  };

  enum class direction { to_server, to_client };

  static void reset(tcp::socket& socket) {
    boost::system::error_code ignored;  // the socket may be closed already
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  void accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& failed, tcp::socket socket) {
      if (failed) {
        return;
      }
      if (m_fault.kind == link_fault::fault_kind::refused) {
        reset(socket);
      } else {
        connect(std::make_shared<link>(std::move(socket)));
      }
      accept();
    });
  }

  void connect(const std::shared_ptr<link>& made) {
    std::erase_if(m_links, [](const auto& each) { return each.expired(); });
    m_links.push_back(made);
    made->server.async_connect(m_server, [this, made](const boost::system::error_code& failed) {
      if (failed) {
        reset(made->client);
        return;
      }
      pass_on(made, direction::to_server);
      pass_on(made, direction::to_client);
    });
  }

  bool is_lost(direction way) const {
    using enum link_fault::fault_kind;
    return m_fault.kind == silent ||
           m_fault.kind == (way == direction::to_server ? silent_to_server : silent_to_client);
  }

  void pass_on(const std::shared_ptr<link>& on, direction way) {
    auto buffer = std::make_shared<std::array<char, 8192>>();
    tcp::socket& from = way == direction::to_server ? on->client : on->server;
    from.async_read_some(
        boost::asio::buffer(*buffer),
        [this, on, way, buffer](const boost::system::error_code& failed, std::size_t size) {
          if (failed) {
            close_both(*on);
            return;
          }
          deliver(on, way, std::string(buffer->data(), size));
        });
  }

  void deliver(const std::shared_ptr<link>& on, direction way, std::string bytes) {
    if (is_lost(way)) {
      pass_on(on, way);
      return;
    }
    const auto delay = m_fault.kind == link_fault::fault_kind::delayed
                           ? m_fault.delay
                           : std::chrono::milliseconds(0);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    auto kept = std::make_shared<std::string>(std::move(bytes));
    timer->async_wait([this, on, way, timer, kept](const boost::system::error_code&) {
      tcp::socket& to = way == direction::to_server ? on->server : on->client;
      boost::asio::async_write(
          to, boost::asio::buffer(*kept),
          [this, on, way, kept](const boost::system::error_code& failed, std::size_t) {
            if (failed) {
              close_both(*on);
              return;
            }
            pass_on(on, way);
          });
    });
  }

  static void close_both(link& on) {
    boost::system::error_code ignored;  // either may be closed already
    on.client.close(ignored);
    on.server.close(ignored);
  }

  boost::asio::io_context& m_io;
  tcp::endpoint m_server;
  tcp::acceptor m_acceptor;
  link_fault m_fault;
  std::vector<std::weak_ptr<link>> m_links;
};

}  // namespace fuchsiaspring::soak
