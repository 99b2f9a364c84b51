#include <utility>
#include <vector>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/caller_state.h"

namespace fuchsiaspring::relay {
namespace {

// Pause after accept() has failed, usually for want of descriptors.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds(50);

}  // namespace

caller_listener::caller_listener(boost::asio::io_context& io,
                                 const boost::asio::ip::tcp::endpoint& address,
                                 caller_limits limits, std::size_t max_connections,
                                 request_handler on_request, fault_handler on_fault)
    : m_shared(std::make_shared<shared>(io, address)) {
  m_shared->limits = limits;
  m_shared->max_connections = max_connections;
  m_shared->on_request = std::move(on_request);
  m_shared->on_fault = std::move(on_fault);
}

caller_listener::~caller_listener() {
  stop_accepting();
}

void caller_listener::start() {
  accept();
}

void caller_listener::accept() {
  m_shared->acceptor.async_accept([of = m_shared, this](const boost::system::error_code& failed,
                                                        boost::asio::ip::tcp::socket socket) {
    if (of->is_stopped) {
      return;
    }
    if (failed) {
      of->retry_timer.expires_after(accept_retry_delay);
      of->retry_timer.async_wait([of, this](const boost::system::error_code& cancelled) {
        if (!cancelled && !of->is_stopped) {
          accept();
        }
      });
      return;
    }
    if (of->connections.size() < of->max_connections) {
      std::shared_ptr<caller_connection> connection(
          new caller_connection(std::make_unique<caller_connection::state>(std::move(socket), of)));
      connection->start();
    }
    accept();
  });
}

void caller_listener::set_limits(const caller_limits& limits) {
  m_shared->limits = limits;
}

void caller_listener::begin_drain() {
  m_shared->is_draining = true;
}

void caller_listener::stop_accepting() {
  if (std::exchange(m_shared->is_stopped, true)) {
    return;
  }
  m_shared->is_draining = true;
  boost::system::error_code ignored;  // the acceptor is not used again
  m_shared->acceptor.close(ignored);
  m_shared->retry_timer.cancel();
  const std::vector<caller_connection*> open(m_shared->connections.begin(),
                                             m_shared->connections.end());
  for (caller_connection* each : open) {
    each->close_when_idle();
  }
}

std::size_t caller_listener::open_connections() const {
  return m_shared->connections.size();
}

boost::asio::ip::tcp::endpoint caller_listener::local_endpoint() const {
  return m_shared->acceptor.local_endpoint();
}

}  // namespace fuchsiaspring::relay
