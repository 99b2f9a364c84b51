#include <utility>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/caller_state.h"
#include "relay/socket_options.h"

namespace fuchsiaspring::relay {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Delay after a failed accept(), which is usually caused by a lack of file descriptors.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds(50);
// Bytes that are read from a refused connection before its response is written. Closing a socket
// with unread bytes resets the connection, and the caller may lose the response.
constexpr std::size_t max_discarded_bytes = 65536;
constexpr std::size_t discard_buffer_bytes = 2048;
// A refused connection stays open for this long unless its caller closes it first: a request that
// arrives at a closed connection resets it as well.
constexpr base::duration refused_connection_time = std::chrono::milliseconds(500);
// Refused connections beyond this number are closed at once. They come on top of max_connections.
constexpr std::size_t max_refused_connections = 64;
// A request without progress for this long may be ended when memory or connections are short.
constexpr base::duration stall_time = std::chrono::seconds(1);
constexpr std::string_view refusal_retry_after_s = "1";
constexpr unsigned refusal_status = 503;

// Returns the number of bytes that had arrived, up to a limit. Does not block.
std::size_t discard_received_bytes(tcp::socket& socket) {
  std::array<char, discard_buffer_bytes> buffer{};
  std::size_t discarded = 0;
  error_code error;
  socket.non_blocking(true, error);
  while (!error && discarded < max_discarded_bytes) {
    discarded += socket.read_some(boost::asio::buffer(buffer), error);
  }
  return discarded;
}

// Returns whether the whole response fitted into the send buffer. Does not block.
bool write_refusal(tcp::socket& socket) {
  const std::string body =
      R"({"error":")" + std::string(to_string(close_reason::too_many_connections)) + R"("})";
  const std::string bytes =
      internal::render_response_head(
          {refusal_status,
           {{"Content-Type", "application/json"},
            {"Retry-After", std::string(refusal_retry_after_s)}}},
          {.body = internal::framing::length, .length = body.size(), .close_connection = true}) +
      body;
  error_code error;
  socket.non_blocking(true, error);
  if (error) {
    return false;
  }
  const std::size_t written = socket.write_some(boost::asio::buffer(bytes), error);
  error_code ignored;  // the caller may have closed first
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  return !error && written == bytes.size();
}

// A connection whose caller has got a refusal and has not closed it yet.
struct refused_connection {
  refused_connection(tcp::socket accepted, std::shared_ptr<std::size_t> open_connections)
      : socket(std::move(accepted)),
        timer(socket.get_executor()),
        count(std::move(open_connections)) {
    ++*count;
  }
  ~refused_connection() { --*count; }
  refused_connection(const refused_connection&) = delete;
  refused_connection& operator=(const refused_connection&) = delete;
  refused_connection(refused_connection&&) = delete;
  refused_connection& operator=(refused_connection&&) = delete;

  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::shared_ptr<std::size_t> count;  // of the listener's refused connections that are open
};

void discard_until_closed(const std::shared_ptr<refused_connection>& refused) {
  refused->socket.async_wait(tcp::socket::wait_read, [refused](const error_code& error) {
    if (error || discard_received_bytes(refused->socket) == 0) {
      refused->timer.cancel();
      return;
    }
    discard_until_closed(refused);
  });
}

// The pending operations own the connection.
void close_with_caller(const std::shared_ptr<refused_connection>& refused) {
  refused->timer.expires_after(refused_connection_time);
  refused->timer.async_wait([refused](const error_code&) {
    error_code ignored;  // the socket is not used again
    refused->socket.close(ignored);
  });
  discard_until_closed(refused);
}

}  // namespace

caller_listener::caller_listener(boost::asio::io_context& io,
                                 const boost::asio::ip::tcp::endpoint& address,
                                 caller_limits limits, std::size_t max_connections,
                                 request_handler on_request, fault_handler on_fault,
                                 std::shared_ptr<memory_budget> budget)
    : m_state(std::make_shared<state>(io, address,
                                      budget ? std::move(budget) : memory_budget::create())) {
  m_state->limits = limits;
  m_state->max_connections = max_connections;
  m_state->on_request = std::move(on_request);
  m_state->on_fault = std::move(on_fault);
}

caller_listener::~caller_listener() {
  m_state->is_destroyed = true;
  // Connections that requests still hold may outlive the handlers' owner.
  m_state->on_close = nullptr;
  m_state->on_fault = nullptr;
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
  if (m_state->connections.size() >= m_state->max_connections &&
      !m_state->close_longest_idle_connection() && !m_state->close_stalled_connection()) {
    refuse_connection(std::move(socket));
    return;
  }
  std::shared_ptr<caller_connection> connection(new caller_connection(
      std::make_unique<caller_connection::state>(std::move(socket), m_state)));
  connection->start();
}

// Connections inherit the size of the receive buffer, which must be set before listen().
void caller_listener::state::listen(const boost::asio::ip::tcp::endpoint& address) {
  acceptor.open(address.protocol());
  acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(
      static_cast<int>(internal::receive_buffer_bytes / 2)));  // the system doubles it
  acceptor.bind(address);
  acceptor.listen();
}

bool caller_listener::state::close_longest_idle_connection() {
  while (!idle_connections.empty()) {
    caller_connection& candidate = *idle_connections.front();
    if (candidate.has_received_bytes()) {
      candidate.read_head();  // it is not idle any more
      continue;
    }
    candidate.report_close(close_reason::evicted);
    candidate.close();
    return true;
  }
  return false;
}

caller_connection* caller_listener::state::find_stalled(bool needs_reservation) const {
  const base::time_point now = base::boot_clock::now();
  for (caller_connection* each : reading_connections) {
    if (now - each->m_state->progress_at < stall_time) {
      return nullptr;
    }
    if (!needs_reservation || each->m_state->body_charge.is_reservation()) {
      return each;
    }
  }
  return nullptr;
}

bool caller_listener::state::shed_connection() {
  if (caller_connection* stalled = find_stalled(false)) {
    stalled->reject(input_fault::no_memory);
    return true;
  }
  return close_longest_idle_connection();
}

bool caller_listener::state::shed_stalled_body() {
  caller_connection* stalled = find_stalled(true);
  if (stalled == nullptr) {
    return false;
  }
  stalled->reject(input_fault::no_memory);
  return true;
}

bool caller_listener::state::close_stalled_connection() {
  caller_connection* stalled = find_stalled(false);
  if (stalled == nullptr) {
    return false;
  }
  stalled->report_close(close_reason::stalled);
  stalled->close();
  return true;
}

void caller_listener::refuse_connection(boost::asio::ip::tcp::socket socket) {
  const std::size_t discarded_bytes = discard_received_bytes(socket);
  const bool is_answered = write_refusal(socket);
  if (m_state->on_close) {
    m_state->on_close({.reason = close_reason::too_many_connections,
                       .unread_bytes = is_answered ? 0 : discarded_bytes,
                       .responses = is_answered ? 1U : 0U});
  }
  if (is_answered && m_state->refused_connections < max_refused_connections) {
    close_with_caller(std::make_shared<refused_connection>(
        std::move(socket), std::shared_ptr<std::size_t>(m_state, &m_state->refused_connections)));
  }
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
  internal::ignore_new_connections(m_state->acceptor);
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
