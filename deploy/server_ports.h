// Loopback ports for the programs of a test.
//
//   deploy_test::server_ports ports(io, base::system_seed());
//   const std::uint16_t caller_port = ports.next();
//
// Each port is returned once and lies below the ephemeral range. Two addresses of one node can
// therefore not get the same port, and no outgoing connection takes a port before its program has
// bound it. Another process may still take one in between, unless the address belongs to a
// loopback_range. Not thread-safe.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <set>

#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::deploy_test {

class server_ports {
 public:
  server_ports(boost::asio::io_context& io, std::uint64_t seed,
               const boost::asio::ip::address_v4& address = boost::asio::ip::address_v4::loopback())
      : m_io(io), m_random(seed), m_address(address) {}

  // A port that is free for TCP and UDP on the address.
  std::uint16_t next() {
    constexpr std::uint16_t first_port = 12'000;
    constexpr std::uint16_t port_count = 18'000;
    while (true) {
      const auto port = static_cast<std::uint16_t>(first_port + m_random.uniform_below(port_count));
      if (!m_returned.contains(port) && can_bind<boost::asio::ip::tcp::acceptor>(port) &&
          can_bind<boost::asio::ip::udp::socket>(port)) {
        m_returned.insert(port);
        return port;
      }
    }
  }

 private:
  template <typename Socket>
  bool can_bind(std::uint16_t port) {
    using protocol = typename Socket::protocol_type;
    Socket probe(m_io, protocol::v4());
    boost::system::error_code error;
    probe.bind({m_address, port}, error);
    return !error;
  }

  boost::asio::io_context& m_io;
  base::random_source m_random;
  boost::asio::ip::address_v4 m_address;
  std::set<std::uint16_t> m_returned;
};

}  // namespace fuchsiaspring::deploy_test
