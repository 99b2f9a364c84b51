// Options of TCP sockets that make silent connections show. Private to the library.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::relay::internal {

// Disables Nagle's algorithm and ends the connection when sent bytes stay unacknowledged, or
// keep-alive probes unanswered, for about `silence_timeout`.
inline void set_connection_options(boost::asio::ip::tcp::socket& socket,
                                   base::duration silence_timeout) {
  const int descriptor = socket.native_handle();
  const int on = 1;
  const int timeout_ms = static_cast<int>(base::to_milliseconds(silence_timeout));
  constexpr int probe_interval_s = 1;
  const int probes = std::max(1, timeout_ms / 1000);
  // An option that the system refuses leaves only a slower detection of silence.
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  (void)::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s,
                     sizeof probe_interval_s);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s,
                     sizeof probe_interval_s);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

}  // namespace fuchsiaspring::relay::internal
