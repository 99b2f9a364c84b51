#include "standins/common/http_stub.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <utility>

namespace fuchsiaspring::standins {
namespace {

constexpr unsigned max_connections = 8000;
constexpr unsigned listen_backlog = 1024;
// Size of the buffer in which the HTTP library builds one chunk.
constexpr std::size_t stream_block_bytes = 16384;

std::uint64_t caller_key(const sockaddr* address) {
  if (address == nullptr || address->sa_family != AF_INET) {
    return 0;
  }
  sockaddr_in in{};
  std::memcpy(&in, address, sizeof in);
  return (static_cast<std::uint64_t>(in.sin_addr.s_addr) << 16) | in.sin_port;
}

void on_connection(void* context, MHD_Connection* connection, void** /*socket_context*/,
                   MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<http_stub*>(context);
  const auto* address = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const auto* socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (address == nullptr || socket == nullptr) {
    return;
  }
  const std::uint64_t caller = caller_key(address->client_addr);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    server->connection_closed(caller);
    return;
  }
  const int on = 1;
  setsockopt(socket->connect_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  server->connection_opened(caller, socket->connect_fd);
}

ssize_t read_stream(void* context, std::uint64_t /*offset*/, char* buffer, std::size_t size) {
  auto* reader = static_cast<stream_reader*>(context);
  const std::ptrdiff_t count = (*reader)(std::span<char>(buffer, size));
  if (count == stream_end) {
    return static_cast<ssize_t>(U_STREAM_END);
  }
  if (count == stream_broken) {
    return static_cast<ssize_t>(U_STREAM_ERROR);
  }
  return count;
}

void free_stream(void* context) {
  const std::unique_ptr<stream_reader> reader(static_cast<stream_reader*>(context));
}

void send_reply(reply content, _u_response* response) {
  u_map_put(response->map_header, "Content-Type", content.content_type.c_str());
  for (const auto& [name, value] : content.headers) {
    u_map_put(response->map_header, name.c_str(), value.c_str());
  }
  const auto status = static_cast<unsigned>(content.status);
  if (content.stream) {
    auto reader = std::make_unique<stream_reader>(std::move(content.stream));
    ulfius_set_stream_response(response, status, read_stream, free_stream, U_STREAM_SIZE_UNKNOWN,
                               stream_block_bytes, reader.release());
    return;
  }
  if (content.body.empty()) {
    // ulfius rejects an empty body and would leave the status at 200.
    response->status = content.status;
    return;
  }
  ulfius_set_binary_body_response(response, status, content.body.data(), content.body.size());
}

}  // namespace

struct http_stub::endpoint {
  std::string method;
  std::string path;
  handler handle;
  http_stub* server = nullptr;

  static int call(const _u_request* raw, _u_response* response, void* context) {
    const auto* self = static_cast<const endpoint*>(context);
    request incoming;
    incoming.method = self->method;
    incoming.path = self->path;
    if (raw->binary_body != nullptr) {
      incoming.body.assign(static_cast<const char*>(raw->binary_body), raw->binary_body_length);
    }
    incoming.peer = peer_connection(self->server->descriptor_of(*raw));
    incoming.raw = raw;
    try {
      send_reply(self->handle(incoming), response);
    } catch (const nlohmann::json::exception& failure) {
      // A field of an unexpected type; exceptions must not reach the HTTP library.
      send_reply(error_reply(400, "invalid_request_error", failure.what()), response);
    }
    return U_CALLBACK_COMPLETE;
  }
};

bool peer_connection::wait_until(base::time_point deadline) const {
  while (true) {
    const auto left = std::max(deadline - base::boot_clock::now(), base::duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    const timespec timeout{static_cast<time_t>(seconds.count()),
                           static_cast<long>((left - seconds).count())};
    pollfd entry{m_descriptor, POLLRDHUP, 0};
    const int ready = ppoll(&entry, 1, &timeout, nullptr);
    if (ready > 0) {
      return false;
    }
    if (ready == 0) {
      return true;
    }
  }
}

void peer_connection::abort() const {
  if (m_descriptor >= 0) {
    shutdown(m_descriptor, SHUT_RDWR);
  }
}

std::string request::header(const char* name) const {
  const char* value = u_map_get_case(raw->map_header, name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string request::query(const char* name) const {
  const char* value = u_map_get(raw->map_url, name);
  return value == nullptr ? std::string() : std::string(value);
}

reply json_reply(int status, const nlohmann::json& body) {
  reply response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

reply error_reply(int status, std::string_view type, std::string_view message) {
  return json_reply(status, {{"error", {{"type", type}, {"message", message}, {"code", type}}}});
}

http_stub::http_stub(socket_address address)
    : m_address(std::move(address)), m_instance(std::make_unique<_u_instance>()) {}

http_stub::~http_stub() {
  if (m_started) {
    ulfius_stop_framework(m_instance.get());
    ulfius_clean_instance(m_instance.get());
  }
}

void http_stub::route(std::string method, std::string path, handler handle) {
  m_endpoints.push_back(std::make_unique<endpoint>(
      endpoint{std::move(method), std::move(path), std::move(handle), this}));
}

bool http_stub::start() {
  sockaddr_in bind_address{};
  bind_address.sin_family = AF_INET;
  bind_address.sin_port = htons(m_address.port);
  if (inet_pton(AF_INET, m_address.ip.c_str(), &bind_address.sin_addr) != 1 ||
      ulfius_init_instance(m_instance.get(), m_address.port, &bind_address, nullptr) != U_OK) {
    return false;
  }
  m_instance->allowed_post_processor = U_POST_PROCESS_NONE;
  m_instance->check_utf8 = 0;
  for (const auto& each : m_endpoints) {
    ulfius_add_endpoint_by_val(m_instance.get(), each->method.c_str(), each->path.c_str(), nullptr,
                               0, &endpoint::call, each.get());
  }
  std::vector<MHD_OptionItem> options;
  options.push_back(
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(mhd_request_completed), nullptr});
  options.push_back(
      {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr});
  options.push_back(
      {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&on_connection), this});
  options.push_back({MHD_OPTION_SOCK_ADDR, 0, &bind_address});
  options.push_back({MHD_OPTION_CONNECTION_LIMIT, max_connections, nullptr});
  options.push_back({MHD_OPTION_LISTEN_BACKLOG_SIZE, listen_backlog, nullptr});
  options.push_back({MHD_OPTION_END, 0, nullptr});
  const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD;
  m_started =
      ulfius_start_framework_with_mhd_options(m_instance.get(), flags, options.data()) == U_OK;
  return m_started;
}

int http_stub::descriptor_of(const _u_request& raw) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_descriptors.find(caller_key(raw.client_address));
  return found == m_descriptors.end() ? -1 : found->second;
}

void http_stub::connection_opened(std::uint64_t caller, int descriptor) {
  const std::lock_guard lock(m_mutex);
  m_descriptors[caller] = descriptor;
}

void http_stub::connection_closed(std::uint64_t caller) {
  const std::lock_guard lock(m_mutex);
  m_descriptors.erase(caller);
}

void block_stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace fuchsiaspring::standins
