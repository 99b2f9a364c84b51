// TCP socket options that detect dead connections and end listening without losses, and a look at
// what has arrived. Private to the library.
#pragma once

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <optional>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::relay::internal {

// Memory of the system for bytes of a caller that are not read yet. Unread bytes count towards the
// memory of a process. Half of it is offered to the peer, which suffices for 180 Mbit/s at a
// round-trip time of 2.8 ms, that of the remotest domains.
inline constexpr std::size_t receive_buffer_bytes = 131072;

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

// Whether bytes, the end of the connection or its error can be read at once. Does not take the
// error, which the system reports only once and the read needs.
inline bool has_unread_input(boost::asio::ip::tcp::socket& socket) {
  pollfd descriptor{socket.native_handle(), POLLIN, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

// How the peer ended a connection of which a read has returned the end.
enum class peer_end {
  orderly,  // it closed the connection, or its sending direction
  reset,
  unknown,  // a write took the error of the connection, or the system does not tell
};

inline peer_end end_of_peer(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return peer_end::unknown;
  }
  if (info.tcpi_state == TCP_CLOSE_WAIT) {
    return peer_end::orderly;
  }
  int error = 0;
  socklen_t error_size = sizeof error;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &error_size) != 0 ||
      error == 0) {
    return peer_end::unknown;
  }
  // A reset that follows the orderly end, which answers bytes that were sent later.
  return error == EPIPE ? peer_end::orderly : peer_end::reset;
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

// Makes the system ignore further attempts to connect to `acceptor`. Connections that are already
// established can then be accepted to the last one before the acceptor is closed, which would reset
// them. A caller that is ignored tries again after 1 s.
inline void ignore_new_connections(boost::asio::ip::tcp::acceptor& acceptor) {
  constexpr std::uint32_t flags_offset = 13;  // in the TCP header
  constexpr std::uint32_t syn_flag = 0x02;
  constexpr std::uint32_t keep_whole_packet = 0xffffffff;
  std::array<sock_filter, 4> instructions{
      sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
      sock_filter BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, syn_flag, 0, 1),
      sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
      sock_filter BPF_STMT(BPF_RET | BPF_K, keep_whole_packet)};
  const sock_fprog program{static_cast<unsigned short>(instructions.size()), instructions.data()};
  // Errors are ignored: without the filter a connection may be lost as described above.
  (void)::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                     sizeof program);
}

}  // namespace fuchsiaspring::relay::internal
