#include "fuchsiaspring/http/upstream_transfer.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

namespace fuchsiaspring::http {
namespace {

// The transfer is paused above this size, which bounds the memory used for a slow caller.
constexpr std::size_t max_buffered_bytes = 64U << 10U;
constexpr long receive_buffer_bytes = 16L << 10U;
constexpr std::size_t max_idle_handles = 512;
constexpr long connections_per_handle = 4;
// A connection that a middlebox dropped while idle fails only by a timeout, so old ones are not
// reused.
constexpr std::chrono::seconds max_idle_connection_age(10);
// A faulty upstream may write a refusal once more, which would answer the next request on its
// connection; from this status on the connection is not reused.
constexpr long first_error_status = 400;
// Upper bound for the delay until cancel() or a disconnect of the caller is detected.
constexpr int poll_interval_ms = 250;
// Bytes of all heads and trailers of a response. libcurl keeps each of their lines and does not
// limit trailers, so that an upstream that never ends them fills the memory.
constexpr std::size_t max_header_bytes = 128U << 10U;
// Interim responses (1xx) before the final one. The usual number is 0 or 1.
constexpr int max_interim_responses = 16;

std::string to_lower_case(std::string_view line) {
  std::string name(line);
  std::transform(name.begin(), name.end(), name.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

std::string origin_of(const std::string& url) {
  const std::size_t authority = url.find("://") + 3;
  return url.substr(0, url.find('/', authority));
}

// Connections that were idle for longer are not reused in any case.
void forget_old(std::map<std::string, base::time_point>& times, base::time_point now) {
  std::erase_if(times,
                [now](const auto& each) { return now - each.second > max_idle_connection_age; });
}

bool has_local_port(curl_socket_t descriptor, int port) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  return ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
         ntohs(address.sin_port) == port;
}

bool has_received_bytes(curl_socket_t descriptor) {
  char byte = 0;
  return ::recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

struct transfer_handle {
  transfer_handle() : multi(curl_multi_init()) {
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, connections_per_handle);
  }
  transfer_handle(const transfer_handle&) = delete;
  transfer_handle& operator=(const transfer_handle&) = delete;
  transfer_handle(transfer_handle&&) = delete;
  transfer_handle& operator=(transfer_handle&&) = delete;
  ~transfer_handle() { curl_multi_cleanup(multi); }

  // Called before a request is sent on the connection with `local_port`: libcurl does not tell the
  // descriptor. Returns false if bytes have arrived since the last response on that connection.
  bool begin_request(int local_port) {
    for (auto& [descriptor, is_used] : connections) {
      if (has_local_port(descriptor, local_port)) {
        return !std::exchange(is_used, true) || !has_received_bytes(descriptor);
      }
    }
    return true;
  }

  static curl_socket_t on_open(void* self, curlsocktype /*purpose*/, curl_sockaddr* address) {
    const curl_socket_t descriptor =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (descriptor != CURL_SOCKET_BAD) {
      static_cast<transfer_handle*>(self)->connections.emplace(descriptor, false);
    }
    return descriptor;
  }
  static int on_close(void* self, curl_socket_t descriptor) {
    static_cast<transfer_handle*>(self)->connections.erase(descriptor);
    return ::close(descriptor);
  }

  CURLM* multi;
  std::map<curl_socket_t, bool> connections;          // by descriptor; whether a request was sent
  std::map<std::string, base::time_point> last_uses;  // by origin
};

transfer_pool::transfer_pool() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

transfer_pool::~transfer_pool() = default;

std::unique_ptr<transfer_handle> transfer_pool::acquire(const std::string& origin) {
  std::vector<std::unique_ptr<transfer_handle>> discarded;  // closed without the lock
  const std::lock_guard lock(m_mutex);
  while (!m_idle.empty()) {
    auto handle = std::move(m_idle.back());
    m_idle.pop_back();
    if (!is_suspect(*handle, origin)) {
      return handle;
    }
    discarded.push_back(std::move(handle));
  }
  return std::make_unique<transfer_handle>();
}

void transfer_pool::release(std::unique_ptr<transfer_handle> handle, const std::string& origin) {
  const base::time_point now = base::boot_clock::now();
  forget_old(handle->last_uses, now);
  handle->last_uses[origin] = now;
  const std::lock_guard lock(m_mutex);
  if (m_idle.size() < max_idle_handles) {
    m_idle.push_back(std::move(handle));
  }
}

void transfer_pool::record_timeout(const std::string& origin) {
  const base::time_point now = base::boot_clock::now();
  const std::lock_guard lock(m_mutex);
  forget_old(m_timeouts, now);
  m_timeouts[origin] = now;
}

bool transfer_pool::is_suspect(const transfer_handle& handle, const std::string& origin) const {
  const auto timeout = m_timeouts.find(origin);
  const auto last_use = handle.last_uses.find(origin);
  return timeout != m_timeouts.end() && last_use != handle.last_uses.end() &&
         last_use->second <= timeout->second;
}

struct upstream_transfer::state {
  transfer_options options;
  std::string origin;
  std::unique_ptr<transfer_handle> handle;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::string buffer;
  std::size_t offset = 0;
  std::map<std::string, std::string> response_headers;
  int status = 0;
  std::size_t header_bytes = 0;
  int interim_responses = 0;
  bool is_within_head = false;
  bool head_complete = false;
  bool is_malformed = false;
  bool sent = false;
  bool send_refused = false;
  bool has_unread_bytes = false;  // the reused connection had them, and nothing was sent on it
  bool paused = false;
  bool poll_caller_socket = true;
  bool body_started = false;
  std::optional<CURLcode> result;
  std::atomic<bool> cancelled{false};

  std::size_t buffered() const { return buffer.size() - offset; }

  static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
  static int on_before_send(void* self, char* remote_ip, char* local_ip, int remote_port,
                            int local_port);
  bool take_header_line(std::string_view line);
  bool finish_head();
  void configure();
  void perform();
  void restart();
  base::error to_error() const;
  bool is_caller_closed();
};

std::size_t upstream_transfer::state::on_body(char* data, std::size_t size, std::size_t count,
                                              void* self) {
  auto& transfer = *static_cast<state*>(self);
  if (transfer.buffered() > max_buffered_bytes) {
    transfer.paused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  transfer.buffer.append(data, size * count);
  return size * count;
}

std::size_t upstream_transfer::state::on_header(char* data, std::size_t size, std::size_t count,
                                                void* self) {
  auto& transfer = *static_cast<state*>(self);
  const std::size_t bytes = size * count;
  transfer.header_bytes += bytes;
  transfer.is_malformed = transfer.header_bytes > max_header_bytes ||
                          !transfer.take_header_line(std::string_view(data, bytes));
  return transfer.is_malformed ? 0 : bytes;  // 0 ends the transfer
}

// Returns false if the response is malformed.
bool upstream_transfer::state::take_header_line(std::string_view line) {
  if (line.starts_with("HTTP/")) {
    response_headers.clear();
    return !std::exchange(is_within_head, true);
  }
  if (line == "\r\n" || line == "\n") {
    return !std::exchange(is_within_head, false) || finish_head();
  }
  if (const auto colon = line.find(':'); colon != std::string_view::npos) {
    const auto begin = line.find_first_not_of(" \t", colon + 1);
    const auto end = line.find_last_not_of(" \t\r\n");
    if (begin != std::string_view::npos && end != std::string_view::npos && begin <= end) {
      response_headers[to_lower_case(line.substr(0, colon))] =
          std::string(line.substr(begin, end - begin + 1));
    }
  }
  return true;
}

// Returns false if the status is none of HTTP, or an interim response cannot be meant: no request
// asks for another protocol (101).
bool upstream_transfer::state::finish_head() {
  constexpr long switching_protocols = 101;
  constexpr long first_final_status = 200;
  constexpr long end_of_statuses = 600;
  long code = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &code);
  if (code < 100 || code >= end_of_statuses || code == switching_protocols) {
    return false;
  }
  if (code < first_final_status) {
    return ++interim_responses <= max_interim_responses;
  }
  head_complete = true;
  status = static_cast<int>(code);
  if (code >= first_error_status) {
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  return true;
}

int upstream_transfer::state::on_before_send(void* self, char* /*remote_ip*/, char* /*local_ip*/,
                                             int /*remote_port*/, int local_port) {
  auto& transfer = *static_cast<state*>(self);
  if (!transfer.handle->begin_request(local_port)) {
    transfer.has_unread_bytes = true;
    return CURL_PREREQFUNC_ABORT;
  }
  if (transfer.options.before_send && !transfer.options.before_send()) {
    transfer.send_refused = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer.sent = true;
  return CURL_PREREQFUNC_OK;
}

void upstream_transfer::state::configure() {
  curl_easy_setopt(easy, CURLOPT_URL, options.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receive_buffer_bytes);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(max_idle_connection_age.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(base::to_milliseconds(options.connect_timeout)));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &state::on_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &state::on_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &state::on_before_send);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &transfer_handle::on_open);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, handle.get());
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &transfer_handle::on_close);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, handle.get());
  if (options.fresh_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!options.ca_file.empty()) {
    curl_easy_setopt(easy, CURLOPT_CAINFO, options.ca_file.c_str());
  }
  // Without this libcurl waits up to a second for "100 Continue" before it sends a large body.
  headers = curl_slist_append(headers, "Expect:");
  for (const std::string& header : options.headers) {
    headers = curl_slist_append(headers, header.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options.method.c_str());
  if (!options.body.empty() || options.method == "POST" || options.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(options.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, options.body.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options.method.c_str());
  }
}

void upstream_transfer::state::perform() {
  int running = 0;
  curl_multi_perform(handle->multi, &running);
  int queued_messages = 0;
  while (const CURLMsg* message = curl_multi_info_read(handle->multi, &queued_messages)) {
    if (message->msg == CURLMSG_DONE && message->easy_handle == easy) {
      result = message->data.result;
    }
  }
  if (result && std::exchange(has_unread_bytes, false)) {
    restart();
  }
}

// Uses a new connection.
void upstream_transfer::state::restart() {
  result.reset();
  curl_multi_remove_handle(handle->multi, easy);
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle(handle->multi, easy);
  int running = 0;
  curl_multi_perform(handle->multi, &running);
}

base::error upstream_transfer::state::to_error() const {
  if (send_refused) {
    return {base::error_code::failed_precondition,
            "the send check failed; no byte of the request was sent"};
  }
  if (*result == CURLE_OPERATION_TIMEDOUT) {
    return {base::error_code::timed_out,
            "no connection to the upstream within " +
                std::to_string(base::to_milliseconds(options.connect_timeout)) + " ms"};
  }
  if (is_malformed || *result == CURLE_UNSUPPORTED_PROTOCOL ||
      *result == CURLE_WEIRD_SERVER_REPLY) {
    return {base::error_code::invalid_argument, "the response is not HTTP"};
  }
  return {base::error_code::unavailable, curl_easy_strerror(*result)};
}

bool upstream_transfer::state::is_caller_closed() {
  return options.caller.is_closed();
}

upstream_transfer::upstream_transfer(transfer_pool& pool, transfer_options options)
    : m_pool(pool), m_state(std::make_unique<state>()) {
  m_state->options = std::move(options);
  m_state->origin = origin_of(m_state->options.url);
  m_state->handle = pool.acquire(m_state->origin);
  m_state->easy = curl_easy_init();
  m_state->configure();
  curl_multi_add_handle(m_state->handle->multi, m_state->easy);
}

upstream_transfer::~upstream_transfer() {
  curl_multi_remove_handle(m_state->handle->multi, m_state->easy);
  curl_easy_cleanup(m_state->easy);
  curl_slist_free_all(m_state->headers);
  m_pool.release(std::move(m_state->handle), m_state->origin);
}

base::result<void> upstream_transfer::wait(base::duration timeout,
                                           const std::function<bool()>& is_ready) {
  state& transfer = *m_state;
  const base::time_point deadline = base::boot_clock::now() + timeout;
  while (true) {
    if (!transfer.result) {
      transfer.perform();
    }
    if (is_ready()) {
      return base::success();
    }
    if (transfer.result) {
      return transfer.to_error();
    }
    if (transfer.cancelled) {
      return base::error{base::error_code::cancelled, "the transfer was cancelled"};
    }
    const auto left_ms = base::to_milliseconds(deadline - base::boot_clock::now());
    if (left_ms == 0) {
      m_pool.record_timeout(transfer.origin);
      return base::error{base::error_code::timed_out,
                         "no data from the upstream within " +
                             std::to_string(base::to_milliseconds(timeout)) + " ms"};
    }
    if (transfer.is_caller_closed()) {
      return base::error{base::error_code::cancelled, "the caller closed the connection"};
    }
    curl_waitfd caller{
        .fd = transfer.options.caller.descriptor(), .events = CURL_WAIT_POLLIN, .revents = 0};
    const bool poll_caller = transfer.poll_caller_socket && caller.fd >= 0;
    const int wait_ms = static_cast<int>(std::min<std::int64_t>(left_ms, poll_interval_ms));
    curl_multi_poll(transfer.handle->multi, poll_caller ? &caller : nullptr, poll_caller ? 1 : 0,
                    wait_ms, nullptr);
    if (poll_caller && caller.revents != 0 && !transfer.is_caller_closed()) {
      // The caller sent more bytes, which stay unread during the transfer; polling its socket would
      // busy-loop.
      transfer.poll_caller_socket = false;
    }
  }
}

base::result<int> upstream_transfer::wait_for_head() {
  const state& transfer = *m_state;
  auto ready = wait(transfer.options.connect_timeout + transfer.options.first_byte_timeout,
                    [&] { return transfer.head_complete; });
  if (!ready) {
    return ready.error();
  }
  return transfer.status;
}

base::result<std::size_t> upstream_transfer::read(std::span<char> buffer) {
  state& transfer = *m_state;
  if (transfer.buffered() == 0) {
    transfer.buffer.clear();
    transfer.offset = 0;
    if (std::exchange(transfer.paused, false)) {
      curl_easy_pause(transfer.easy, CURLPAUSE_CONT);
    }
    // Engines send the head before the first token, which takes longer than the later ones.
    const base::duration timeout =
        transfer.body_started ? transfer.options.idle_timeout : transfer.options.first_byte_timeout;
    auto ready =
        wait(timeout, [&] { return transfer.buffered() > 0 || transfer.result == CURLE_OK; });
    if (!ready) {
      return ready.error();
    }
  }
  transfer.body_started = true;
  const std::size_t size = std::min(buffer.size(), transfer.buffered());
  std::memcpy(buffer.data(), transfer.buffer.data() + transfer.offset, size);
  transfer.offset += size;
  return size;
}

bool upstream_transfer::is_sent() const {
  return m_state->sent;
}

std::string upstream_transfer::header(const std::string& name) const {
  const auto found = m_state->response_headers.find(name);
  return found == m_state->response_headers.end() ? std::string() : found->second;
}

void upstream_transfer::cancel() {
  m_state->cancelled = true;
  curl_multi_wakeup(m_state->handle->multi);
}

}  // namespace fuchsiaspring::http
