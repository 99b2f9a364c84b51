// Checks whether an endpoint accepts connections.
//
//   check_connect(io, endpoint, milliseconds(300), [](const error_code& result) { ... });
//
// A process that has ended refuses connections, a machine without power or behind a cut link does
// not respond, and a process that is merely silent accepts them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::node_app {

// Connects to `endpoint`, closes the connection and calls `handler` once from the event loop: with
// the error of the connection, if any, or boost::asio::error::timed_out after `timeout`.
void check_connect(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& endpoint,
                   base::duration timeout,
                   std::function<void(const boost::system::error_code& result)> handler);

}  // namespace fuchsiaspring::node_app
