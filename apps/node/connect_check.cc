#include "apps/node/connect_check.h"

#include <poll.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace fuchsiaspring::node_app {
namespace {

using boost::system::error_code;
using result_handler = std::function<void(const error_code&)>;

struct pending_check {
  pending_check(boost::asio::io_context& io, result_handler on_result)
      : socket(io), timer(io), handler(std::move(on_result)) {}

  // The end of the connection attempt and the timeout may both be due.
  void finish(const error_code& result) {
    const result_handler on_result = std::exchange(handler, nullptr);
    if (!on_result) {
      return;
    }
    timer.cancel();
    error_code ignored;  // the socket is not used again
    socket.close(ignored);
    on_result(result);
  }

  // Whether the result has arrived. When the event loop was busy or suspended, the timeout may run
  // before the handler of the connection attempt.
  bool has_result() {
    pollfd descriptor{socket.native_handle(), POLLOUT, 0};
    return socket.is_open() && ::poll(&descriptor, 1, 0) > 0;
  }

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  result_handler handler;
};

}  // namespace

void check_connect(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& endpoint,
                   base::duration timeout, result_handler handler) {
  const auto check = std::make_shared<pending_check>(io, std::move(handler));
  check->timer.expires_after(timeout);
  check->timer.async_wait([check](const error_code& cancelled) {
    if (!cancelled && !check->has_result()) {
      check->finish(boost::asio::error::timed_out);
    }
  });
  check->socket.async_connect(endpoint, [check](const error_code& result) {
    if (result != boost::asio::error::operation_aborted) {
      check->finish(result);
    }
  });
}

}  // namespace fuchsiaspring::node_app
