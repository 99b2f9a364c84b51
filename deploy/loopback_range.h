// A block of loopback addresses that belongs to this process.
//
//   deploy_test::loopback_range range(io, base::system_seed());
//   const std::string address = range.address(1);  // e.g. "127.83.201.1"
//
// Ports that are probed and bound later can be taken by another test process in between. Here each
// process takes a whole block 127.x.y.0/24 instead: it binds one socket in the block for as long as
// it runs, and the kernel refuses that bind to every other process. There is no file to clean up,
// and the block is free again when the process ends in any way.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::deploy_test {

class loopback_range {
 public:
  loopback_range(boost::asio::io_context& io, std::uint64_t seed) : m_reservation(io) {
    base::random_source random(seed);
    do {
      m_prefix = "127." + std::to_string(random_octet(random)) + "." +
                 std::to_string(random_octet(random)) + ".";
    } while (!can_reserve());
  }

  // `host` is 1 to 253.
  std::string address(std::size_t host) const { return m_prefix + std::to_string(host); }

 private:
  // 127.0.x.y and 127.x.0.y are left to tests that use fixed addresses.
  static std::uint64_t random_octet(base::random_source& random) {
    constexpr std::uint64_t octets = 254;
    return 1 + random.uniform_below(octets);
  }

  bool can_reserve() {
    constexpr std::size_t reservation_host = 254;
    constexpr std::uint16_t reservation_port = 11'999;
    boost::system::error_code error;
    m_reservation = boost::asio::ip::tcp::acceptor(m_reservation.get_executor());
    m_reservation.open(boost::asio::ip::tcp::v4());
    // Without SO_REUSEADDR, which would let two processes bind the same address.
    m_reservation.bind(
        {boost::asio::ip::make_address_v4(address(reservation_host)), reservation_port}, error);
    return !error;
  }

  boost::asio::ip::tcp::acceptor m_reservation;
  std::string m_prefix;
};

}  // namespace fuchsiaspring::deploy_test
