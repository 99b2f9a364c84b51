#include <utility>
#include <vector>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/caller_state.h"

namespace fuchsiaspring::relay {
namespace {

// Delay after a failed accept(), which is usually caused by a lack of file descriptors.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds(50);

}  // namespace

caller_listener::caller_listener(boost::asio::io_context& io,
                                 const boost::asio::ip::tcp::endpoint& address,
                                 caller_limits limits, std::size_t max_connections,
                                 request_handler on_request, fault_handler on_fault)
    : m_state(std::make_shared<state>(io, address)) {
  m_state->limits = limits;
  m_state->max_connections = max_connections;
  m_state->on_request = std::move(on_request);
  m_state->on_fault = std::move(on_fault);
}

caller_listener::~caller_listener() {
  m_state->is_destroyed = true;
  close();
}

void caller_listener::start() {
  accept();
}

void caller_listener::accept() {
  m_state->acceptor.async_accept(
      [listener_state = m_state, this](const boost::system::error_code& error,
                                       boost::asio::ip::tcp::socket socket) {
        if (listener_state->is_destroyed) {
          return;
        }
        if (listener_state->is_stopped) {
          if (!error) {
            start_connection(std::move(socket));
          }
          return;
        }
        if (error) {
          listener_state->retry_timer.expires_after(accept_retry_delay);
          listener_state->retry_timer.async_wait(
              [listener_state, this](const boost::system::error_code& wait_error) {
                if (!wait_error && !listener_state->is_stopped) {
                  accept();
                }
              });
          return;
        }
        start_connection(std::move(socket));
        accept();
      });
}

void caller_listener::start_connection(boost::asio::ip::tcp::socket socket) {
  if (m_state->connections.size() >= m_state->max_connections) {
    if (m_state->on_close) {
      m_state->on_close({.reason = close_reason::too_many_connections});
    }
    return;
  }
  std::shared_ptr<caller_connection> connection(new caller_connection(
      std::make_unique<caller_connection::state>(std::move(socket), m_state)));
  connection->start();
}

// Closing the acceptor resets the connections that the system has established and this process has
// not accepted yet, although requests may have arrived on them.
void caller_listener::accept_pending() {
  boost::system::error_code error;
  m_state->acceptor.non_blocking(true, error);
  for (std::size_t i = 0; i < m_state->max_connections && !error; ++i) {
    boost::asio::ip::tcp::socket socket(m_state->io);
    m_state->acceptor.accept(socket, error);
    if (!error) {
      start_connection(std::move(socket));
    }
  }
}

void caller_listener::set_close_handler(close_handler on_close) {
  m_state->on_close = std::move(on_close);
}

void caller_listener::set_limits(const caller_limits& limits) {
  m_state->replace_limits(limits, base::boot_clock::now());
}

void caller_listener::state::replace_limits(const caller_limits& next, base::time_point now) {
  std::deque<former_idle_timeout>& former = former_idle_timeouts;
  former.push_back({limits.idle_timeout, now});
  limits = next;
  while (!former.empty() && former.back().value <= limits.idle_timeout) {
    former.pop_back();
  }
  // Connections that were idle under such a limit have exceeded it.
  while (!former.empty() &&
         now - former.front().replaced_at > former.front().value + limits.idle_grace) {
    former.pop_front();
  }
}

base::duration caller_listener::state::idle_limit(base::time_point since) const {
  for (const former_idle_timeout& former : former_idle_timeouts) {
    if (former.replaced_at > since) {
      return former.value + limits.idle_grace;
    }
  }
  return limits.idle_timeout + limits.idle_grace;
}

void caller_listener::begin_drain() {
  m_state->is_draining = true;
}

void caller_listener::stop_accepting() {
  if (m_state->is_stopped) {
    return;
  }
  begin_drain();
  accept_pending();
  close();
}

void caller_listener::close() {
  m_state->is_stopped = true;
  boost::system::error_code ignored;  // the acceptor is not used again
  m_state->acceptor.close(ignored);
  m_state->retry_timer.cancel();
  const std::vector<caller_connection*> open(m_state->connections.begin(),
                                             m_state->connections.end());
  for (caller_connection* connection : open) {
    connection->close_when_idle();
  }
}

std::size_t caller_listener::open_connections() const {
  return m_state->connections.size();
}

boost::asio::ip::tcp::endpoint caller_listener::local_endpoint() const {
  return m_state->acceptor.local_endpoint();
}

}  // namespace fuchsiaspring::relay
