// TCP socket options that detect dead connections, and a look at what has arrived. Private to the
// library.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <optional>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::relay::internal {

// Disables Nagle's algorithm and makes the system close the connection when sent bytes stay
// unacknowledged, or keep-alive probes unanswered, for about `dead_peer_timeout`.
inline void set_connection_options(boost::asio::ip::tcp::socket& socket,
                                   base::duration dead_peer_timeout) {
  const int descriptor = socket.native_handle();
  const int enabled = 1;
  const int timeout_ms = static_cast<int>(base::to_milliseconds(dead_peer_timeout));
  constexpr int probe_interval_s = 1;
  const int probe_count = std::max(1, timeout_ms / 1000);
  // Errors are ignored: without one of these options a dead connection is only detected later.
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  (void)::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s,
                     sizeof probe_interval_s);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s,
                     sizeof probe_interval_s);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof probe_count);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

// Whether bytes, the end of the connection or its error can be read at once.
inline bool has_unread_input(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Whether the end of a connection attempt has arrived. When the event loop was busy, its timeout
// may run before its handler.
inline bool has_connect_result(boost::asio::ip::tcp::socket& socket) {
  pollfd descriptor{socket.native_handle(), POLLOUT, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

// Time since the peer's system last acknowledged bytes or a keep-alive probe.
inline std::optional<base::duration> time_since_acknowledgement(
    boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(info.tcpi_last_ack_recv);
}

}  // namespace fuchsiaspring::relay::internal
