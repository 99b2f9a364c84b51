// A TCP relay on a loopback port that injects network faults between a process and a server.
//
//   fault_relay relay(io, server.endpoint());
//   relay.set_fault({.kind = link_fault::fault_kind::silent_to_server});
//   relay.reset_all();
//   relay.set_fault({});          // forwards normally again
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
    delayed,           // bytes are delayed in both directions
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
  // Listens at the address of the server.
  fault_relay(boost::asio::io_context& io, tcp::endpoint server)
      : m_io(io),
        m_server(std::move(server)),
        m_acceptor(io, tcp::endpoint(m_server.address(), 0)) {
    accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  const link_fault& fault() const { return m_fault; }
  void set_fault(link_fault fault) { m_fault = fault; }

  // Closes every open connection with a TCP reset.
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
    // TCP delivers no bytes behind lost ones: once bytes were lost, all later ones are lost too.
    bool has_lost_to_server = false;
    bool has_lost_to_client = false;
  };

  enum class direction { to_server, to_client };

  static void reset(tcp::socket& socket) {
    boost::system::error_code ignored;  // the socket may be closed already
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  void accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) {
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

  void connect(const std::shared_ptr<link>& added) {
    std::erase_if(m_links, [](const auto& each) { return each.expired(); });
    m_links.push_back(added);
    added->server.async_connect(m_server, [this, added](const boost::system::error_code& error) {
      if (error) {
        reset(added->client);
        return;
      }
      forward(added, direction::to_server);
      forward(added, direction::to_client);
    });
  }

  bool is_lost(direction towards) const {
    using enum link_fault::fault_kind;
    return m_fault.kind == silent ||
           m_fault.kind == (towards == direction::to_server ? silent_to_server : silent_to_client);
  }

  void forward(const std::shared_ptr<link>& open_link, direction towards) {
    auto buffer = std::make_shared<std::array<char, 8192>>();
    tcp::socket& from = towards == direction::to_server ? open_link->client : open_link->server;
    from.async_read_some(boost::asio::buffer(*buffer),
                         [this, open_link, towards, buffer](const boost::system::error_code& error,
                                                            std::size_t size) {
                           if (error) {
                             close_both(*open_link);
                             return;
                           }
                           deliver(open_link, towards, std::string(buffer->data(), size));
                         });
  }

  void deliver(const std::shared_ptr<link>& open_link, direction towards, std::string bytes) {
    bool& has_lost = towards == direction::to_server ? open_link->has_lost_to_server
                                                     : open_link->has_lost_to_client;
    has_lost = has_lost || is_lost(towards);
    if (has_lost) {
      forward(open_link, towards);
      return;
    }
    const auto delay = m_fault.kind == link_fault::fault_kind::delayed
                           ? m_fault.delay
                           : std::chrono::milliseconds(0);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    auto owned_bytes = std::make_shared<std::string>(std::move(bytes));
    timer->async_wait(
        [this, open_link, towards, timer, owned_bytes](const boost::system::error_code&) {
          tcp::socket& to = towards == direction::to_server ? open_link->server : open_link->client;
          boost::asio::async_write(to, boost::asio::buffer(*owned_bytes),
                                   [this, open_link, towards, owned_bytes](
                                       const boost::system::error_code& error, std::size_t) {
                                     if (error) {
                                       close_both(*open_link);
                                       return;
                                     }
                                     forward(open_link, towards);
                                   });
        });
  }

  static void close_both(link& open_link) {
    boost::system::error_code ignored;  // either may be closed already
    open_link.client.close(ignored);
    open_link.server.close(ignored);
  }

  boost::asio::io_context& m_io;
  tcp::endpoint m_server;
  tcp::acceptor m_acceptor;
  link_fault m_fault;
  std::vector<std::weak_ptr<link>> m_links;
};

}  // namespace fuchsiaspring::soak
