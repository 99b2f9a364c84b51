#include "fuchsiaspring/http/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <mutex>
#include <utility>

namespace fuchsiaspring::http {
namespace {

constexpr std::size_t stream_block_bytes = 16U << 10U;
// Handlers keep little on the stack; the default of 8 MB would cost address space per connection.
constexpr std::size_t thread_stack_bytes = 256U << 10U;
// Holds the request line and headers; libmicrohttpd rejects a larger head with status 431.
constexpr std::size_t connection_memory_bytes = 32U << 10U;

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

std::uint64_t address_key(const sockaddr* address) {
  if (address == nullptr || address->sa_family != AF_INET) {
    return 0;
  }
  sockaddr_in value{};
  std::memcpy(&value, address, sizeof value);
  return (static_cast<std::uint64_t>(value.sin_addr.s_addr) << 16U) | value.sin_port;
}

struct open_connection {
  int descriptor = -1;
  MHD_Connection* handle = nullptr;
};

// The open connections by the caller's address. libmicrohttpd reports a connection only when it
// starts; ulfius passes only the address with a request.
class connection_registry {
 public:
  static void on_notify(void* self, MHD_Connection* connection, void** /*socket_context*/,
                        MHD_ConnectionNotificationCode code) {
    const auto* address = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const auto* descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (address == nullptr || descriptor == nullptr) {
      return;
    }
    auto& registry = *static_cast<connection_registry*>(self);
    const std::lock_guard lock(registry.m_mutex);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      registry.m_connections[address_key(address->client_addr)] = {descriptor->connect_fd,
                                                                   connection};
    } else {
      registry.m_connections.erase(address_key(address->client_addr));
    }
  }

  open_connection find(const sockaddr* address) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(address_key(address));
    return found == m_connections.end() ? open_connection{} : found->second;
  }

 private:
  mutable std::mutex m_mutex;
  std::map<std::uint64_t, open_connection> m_connections;
};

std::map<std::string, std::string> copy_map(const _u_map* map, bool lower_case_names) {
  std::map<std::string, std::string> copy;
  const char** keys = u_map_enum_keys(map);
  for (std::size_t i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
    const char* value = u_map_get(map, keys[i]);
    copy[lower_case_names ? lower_case(keys[i]) : keys[i]] = value == nullptr ? "" : value;
  }
  return copy;
}

}  // namespace

struct http_server::state {
  server_options options;
  handler request_handler;
  connection_registry connections;
  _u_instance instance{};
  bool initialized = false;
  bool running = false;
  std::atomic<bool> draining{false};
  std::atomic<std::size_t> in_flight{0};

  static int on_request(const _u_request* request, _u_response* response, void* self);
  int handle_request(const _u_request* request, _u_response* response);
  http_request convert(const _u_request* request) const;
};

namespace {

// Owns a body until libmicrohttpd has sent it; the request counts as in flight for that time.
struct stream_context {
  std::unique_ptr<body_stream> body;
  std::atomic<std::size_t>* in_flight = nullptr;
  MHD_Connection* connection = nullptr;
  unsigned connection_timeout_s = 0;

  // libmicrohttpd counts the time in which the body is awaited towards the connection's timeout,
  // although the caller is not late. A change from "no timeout" restarts that time.
  void restart_connection_timeout() const {
    if (connection != nullptr) {
      MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
      MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, connection_timeout_s);
    }
  }

  static ssize_t on_read(void* self, std::uint64_t /*offset*/, char* buffer, std::size_t size) {
    const auto& context = *static_cast<stream_context*>(self);
    const stream_read read = context.body->read({buffer, size});
    context.restart_connection_timeout();
    switch (read.state) {
      case stream_state::data:
        return static_cast<ssize_t>(read.size);
      case stream_state::end:
        return static_cast<ssize_t>(U_STREAM_END);
      case stream_state::broken:
        break;
    }
    return static_cast<ssize_t>(U_STREAM_ERROR);
  }

  static void on_free(void* self) {
    auto* context = static_cast<stream_context*>(self);
    std::atomic<std::size_t>* in_flight = context->in_flight;
    delete context;
    in_flight->fetch_sub(1);
  }
};

// Sends a complete body as a stream, so that the request counts as in flight until it is sent.
class string_body_stream : public body_stream {
 public:
  explicit string_body_stream(std::string text) : m_text(std::move(text)) {}

  stream_read read(std::span<char> buffer) override {
    if (m_offset == m_text.size()) {
      return {stream_state::end, 0};
    }
    const std::size_t size = std::min(buffer.size(), m_text.size() - m_offset);
    std::memcpy(buffer.data(), m_text.data() + m_offset, size);
    m_offset += size;
    return {stream_state::data, size};
  }

 private:
  std::string m_text;
  std::size_t m_offset = 0;
};

}  // namespace

bool caller_socket::is_closed() const {
  if (m_descriptor < 0) {
    return false;
  }
  pollfd entry{.fd = m_descriptor, .events = POLLRDHUP, .revents = 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

const std::string& http_request::header(const std::string& name) const {
  static const std::string empty;
  const auto found = headers.find(name);
  return found == headers.end() ? empty : found->second;
}

http_response http_response::text(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

http_response http_response::json(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

http_request http_server::state::convert(const _u_request* request) const {
  http_request converted;
  converted.method = request->http_verb;
  converted.target = request->http_url;
  converted.path = converted.target.substr(0, converted.target.find('?'));
  converted.parameters = copy_map(request->map_url, false);
  converted.headers = copy_map(request->map_header, true);
  if (request->binary_body != nullptr) {
    converted.body.assign(static_cast<const char*>(request->binary_body),
                          request->binary_body_length);
  }
  converted.body_too_large = converted.body.size() > options.max_body_bytes;
  converted.connection = caller_socket(connections.find(request->client_address).descriptor);
  return converted;
}

int http_server::state::handle_request(const _u_request* request, _u_response* response) {
  in_flight.fetch_add(1);
  http_request converted = convert(request);
  http_response reply = request_handler(converted);
  response->status = reply.status;
  for (const auto& [name, value] : reply.headers) {
    u_map_put(response->map_header, name.c_str(), value.c_str());
  }
  if (draining) {
    u_map_put(response->map_header, "Connection", "close");
  }
  std::uint64_t size = U_STREAM_SIZE_UNKNOWN;
  if (auto* text = std::get_if<std::string>(&reply.body)) {
    size = text->size();
    reply.body = std::make_unique<string_body_stream>(std::move(*text));
  }
  auto context = std::make_unique<stream_context>();
  context->body = std::move(std::get<std::unique_ptr<body_stream>>(reply.body));
  context->in_flight = &in_flight;
  context->connection = connections.find(request->client_address).handle;
  context->connection_timeout_s = options.connection_timeout_s;
  if (size == 0) {
    in_flight.fetch_sub(1);
    return U_CALLBACK_COMPLETE;
  }
  ulfius_set_stream_response(response, static_cast<unsigned>(reply.status),
                             &stream_context::on_read, &stream_context::on_free, size,
                             stream_block_bytes, context.release());
  return U_CALLBACK_COMPLETE;
}

int http_server::state::on_request(const _u_request* request, _u_response* response, void* self) {
  return static_cast<state*>(self)->handle_request(request, response);
}

http_server::http_server(server_options options, handler on_request)
    : m_state(std::make_unique<state>()) {
  m_state->options = std::move(options);
  m_state->request_handler = std::move(on_request);
}

http_server::~http_server() {
  stop();
}

base::result<void> http_server::start() {
  auto parsed = parse_host_port(m_state->options.listen_address);
  if (!parsed) {
    return parsed.error();
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(parsed.value().port);
  inet_pton(AF_INET, parsed.value().host.c_str(), &address.sin_addr);
  if (ulfius_init_instance(&m_state->instance, parsed.value().port, &address, nullptr) != U_OK) {
    return base::error{base::error_code::internal,
                       "cannot initialize the HTTP server on " + m_state->options.listen_address};
  }
  m_state->initialized = true;
  // One byte above the limit distinguishes a longer body from one of exactly the limit.
  m_state->instance.max_post_body_size = m_state->options.max_body_bytes + 1;
  m_state->instance.check_utf8 = 0;
  m_state->instance.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&m_state->instance, &state::on_request, m_state.get());

  unsigned flags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
  const auto& options = m_state->options;
  std::vector<MHD_OptionItem> items{
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
      {MHD_OPTION_SOCK_ADDR, 0, &address},
      {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&connection_registry::on_notify),
       &m_state->connections},
      {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options.connection_timeout_s), nullptr},
      {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options.max_connections), nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(connection_memory_bytes), nullptr},
      {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(thread_stack_bytes), nullptr},
  };
  std::string certificate = options.tls_certificate_pem;
  std::string key = options.tls_key_pem;
  if (!certificate.empty()) {
    flags |= MHD_USE_TLS;
    items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, certificate.data()});
    items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, key.data()});
  }
  items.push_back({MHD_OPTION_END, 0, nullptr});
  if (ulfius_start_framework_with_mhd_options(&m_state->instance, flags, items.data()) != U_OK) {
    return base::error{base::error_code::unavailable, "cannot listen on " + options.listen_address};
  }
  m_state->running = true;
  return base::success();
}

void http_server::stop_accepting() {
  if (!m_state->running || m_state->draining.exchange(true)) {
    return;
  }
  const MHD_socket listening = MHD_quiesce_daemon(m_state->instance.mhd_daemon);
  if (listening != MHD_INVALID_SOCKET) {
    ::close(listening);
  }
}

std::size_t http_server::requests_in_flight() const {
  return m_state->in_flight;
}

void http_server::stop() {
  if (m_state->running) {
    ulfius_stop_framework(&m_state->instance);
    m_state->running = false;
  }
  if (m_state->initialized) {
    ulfius_clean_instance(&m_state->instance);
    m_state->initialized = false;
  }
}

base::result<host_port> parse_host_port(const std::string& address) {
  const auto colon = address.rfind(':');
  const base::error malformed{
      base::error_code::invalid_argument,
      "\"" + address + "\" is not an ip:port with an IPv4 address and a port from 1 to 65535"};
  if (colon == std::string::npos) {
    return malformed;
  }
  host_port parsed{.host = address.substr(0, colon)};
  in_addr ignored{};
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [rest, status] = std::from_chars(begin, end, parsed.port);
  if (status != std::errc{} || rest != end || parsed.port == 0 ||
      inet_pton(AF_INET, parsed.host.c_str(), &ignored) != 1) {
    return malformed;
  }
  return parsed;
}

}  // namespace fuchsiaspring::http
