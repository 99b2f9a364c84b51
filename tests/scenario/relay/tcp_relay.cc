#include "tests/scenario/relay/tcp_relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

namespace fuchsiaspring::scenario {
namespace {

constexpr int tick_ms = 2;
constexpr int listen_backlog = 256;
constexpr std::size_t max_queued_bytes = 1U << 20U;
// First bytes of a connection that are searched for the sender's name, which is near their start.
constexpr std::size_t identification_bytes = 512;

std::optional<sockaddr_in> socket_address(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

void set_nonblocking_nodelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

// Starts a non-blocking connect. Returns the socket, or -1 on an immediate error.
int connect_to(const sockaddr_in& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  set_nonblocking_nodelay(descriptor);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace

tcp_relay::~tcp_relay() {
  m_stopping = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
  for (connection& entry : m_connections) {
    close_connection(entry, false);
  }
  if (m_listener >= 0) {
    close(m_listener);
  }
}

bool tcp_relay::start(const std::string& listen_ip, std::uint16_t listen_port,
                      const std::string& target_ip, std::uint16_t target_port) {
  const auto address = socket_address(listen_ip, listen_port);
  if (!address || !socket_address(target_ip, target_port)) {
    return false;
  }
  m_target_ip = target_ip;
  m_target_port = target_port;
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(m_listener, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
      listen(m_listener, listen_backlog) != 0) {
    return false;
  }
  m_thread = std::thread([this] { run(); });
  return true;
}

void tcp_relay::set_held(direction towards, const std::string& sender, bool held) {
  const std::lock_guard lock(m_mutex);
  faults& found = m_faults[sender];
  (towards == direction::forward ? found.hold_forward : found.hold_backward) = held;
}

void tcp_relay::set_delay(const std::string& sender, std::chrono::milliseconds delay) {
  const std::lock_guard lock(m_mutex);
  m_faults[sender].delay = delay;
}

void tcp_relay::set_dropping(const std::string& sender, bool dropping) {
  const std::lock_guard lock(m_mutex);
  m_faults[sender].dropping = dropping;
}

void tcp_relay::silence(const std::string& sender) {
  const std::lock_guard lock(m_mutex);
  for (connection& entry : m_connections) {
    entry.silenced = entry.silenced || sender.empty() || entry.sender == sender;
  }
}

void tcp_relay::restore(const std::string& sender) {
  const std::lock_guard lock(m_mutex);
  m_faults.erase(sender);
}

std::size_t tcp_relay::open_connections() {
  const std::lock_guard lock(m_mutex);
  return m_connections.size();
}

void tcp_relay::run() {
  while (!m_stopping) {
    std::vector<pollfd> poll_entries{{m_listener, POLLIN, 0}};
    {
      const std::lock_guard lock(m_mutex);
      for (const connection& entry : m_connections) {
        for (const pipe* flow : {&entry.forward, &entry.backward}) {
          if (!entry.silenced && !flow->source_ended && flow->queued < max_queued_bytes) {
            poll_entries.push_back({flow->source, POLLIN, 0});
          }
        }
      }
    }
    // The short timeout retries bytes that are delayed or did not fit into the socket buffer.
    poll(poll_entries.data(), poll_entries.size(), tick_ms);
    const std::lock_guard lock(m_mutex);
    accept_all();
    for (connection& entry : m_connections) {
      forward_bytes(entry);
    }
    m_connections.remove_if([](const connection& entry) { return entry.ended; });
  }
}

void tcp_relay::accept_all() {
  while (true) {
    const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    set_nonblocking_nodelay(client);
    const int server = connect_to(*socket_address(m_target_ip, m_target_port));
    if (server < 0) {
      close(client);
      continue;
    }
    connection added;
    added.forward.source = client;
    added.forward.sink = server;
    added.backward.source = server;
    added.backward.sink = client;
    m_connections.push_back(std::move(added));
  }
}

tcp_relay::faults tcp_relay::faults_of(const connection& entry) const {
  faults sum;
  for (const auto& [sender, found] : m_faults) {
    if (!sender.empty() && sender != entry.sender) {
      continue;
    }
    sum.hold_forward = sum.hold_forward || found.hold_forward;
    sum.hold_backward = sum.hold_backward || found.hold_backward;
    sum.dropping = sum.dropping || found.dropping;
    sum.delay = std::max(sum.delay, found.delay);
  }
  return sum;
}

void tcp_relay::identify_sender(connection& entry) {
  if (!entry.sender.empty()) {
    return;
  }
  for (const auto& [sender, found] : m_faults) {
    if (!sender.empty() && entry.first_bytes.find(sender + "/") != std::string::npos) {
      entry.sender = sender;
    }
  }
}

void tcp_relay::forward_bytes(connection& entry) {
  if (entry.silenced) {
    return;
  }
  read_source(entry.forward, &entry.first_bytes);
  read_source(entry.backward, nullptr);
  // Between reading and writing, so that even the first message of a sender is subject to its
  // faults.
  identify_sender(entry);
  const faults found = faults_of(entry);
  if (found.dropping) {
    close_connection(entry, true);
    return;
  }
  write_sink(entry.forward, found.hold_forward, found.delay);
  write_sink(entry.backward, found.hold_backward, found.delay);
  if (entry.forward.sink_closed && entry.backward.sink_closed) {
    close_connection(entry, false);
  }
}

void tcp_relay::read_source(pipe& flow, std::string* first_bytes) {
  std::array<char, 65536> buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (!flow.source_ended && flow.queued < max_queued_bytes) {
    const ssize_t count = recv(flow.source, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN)) {
      break;
    }
    if (count <= 0) {
      flow.source_ended = true;
      break;
    }
    const auto size = static_cast<std::size_t>(count);
    if (first_bytes != nullptr && first_bytes->size() < identification_bytes) {
      first_bytes->append(buffer.data(), std::min(size, identification_bytes));
    }
    flow.chunks.push_back({clock::now(), std::string(buffer.data(), size)});
    flow.queued += size;
  }
}

// Writes the chunks whose delay has passed, and closes the sink's write side after the last byte.
void tcp_relay::write_sink(pipe& flow, bool held, std::chrono::milliseconds delay) {
  if (held || flow.sink_closed) {
    return;
  }
  while (!flow.chunks.empty() && flow.chunks.front().arrived + delay <= clock::now()) {
    std::string& bytes = flow.chunks.front().bytes;
    const ssize_t count = send(flow.sink, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN) {
        flow.sink_closed = true;
        flow.source_ended = true;
      }
      return;
    }
    flow.queued -= static_cast<std::size_t>(count);
    bytes.erase(0, static_cast<std::size_t>(count));
    if (!bytes.empty()) {
      return;
    }
    flow.chunks.pop_front();
  }
  if (flow.source_ended && flow.chunks.empty() && !flow.sink_closed) {
    shutdown(flow.sink, SHUT_WR);
    flow.sink_closed = true;
  }
}

void tcp_relay::close_connection(connection& entry, bool reset) {
  if (std::exchange(entry.ended, true)) {
    return;
  }
  if (reset) {
    const linger now{1, 0};
    setsockopt(entry.forward.source, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    setsockopt(entry.forward.sink, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  close(entry.forward.source);
  close(entry.forward.sink);
}

}  // namespace fuchsiaspring::scenario
