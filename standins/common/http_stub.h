// Small HTTP server on ulfius that the stand-ins share.
//
//   http_stub server({"127.0.0.1", 22000});
//   server.route("GET", "/counters", [](const request&) { return json_reply(200, counters()); });
//   if (!server.start()) { return 1; }
//   wait_for_stop_signal();
//
// Handlers run on one thread per connection and may block. A handler or stream that blocks checks
// its connection with `request::peer`, so that its work is cancelled when the caller disconnects.
#pragma once

#include <ulfius.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::standins {

// An IPv4 address and port.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;
};

// The caller's connection. Valid for the lifetime of its request or stream.
class peer_connection {
 public:
  peer_connection() = default;
  explicit peer_connection(int descriptor) : m_descriptor(descriptor) {}

  // Waits until `deadline`. Returns false immediately when the caller closes the connection.
  bool wait_until(base::time_point deadline) const;

  // Whether the caller closed its side.
  bool is_closed() const { return !wait_until(base::time_point{}); }

  // Shuts the connection down in both directions without a response.
  void abort() const;

 private:
  int m_descriptor = -1;
};

struct request {
  std::string method;
  std::string path;
  std::string body;
  peer_connection peer;
  const _u_request* raw = nullptr;

  // Value of a header, empty when absent. Names are case-insensitive.
  std::string header(const char* name) const;

  // Value of a query parameter, empty when absent.
  std::string query(const char* name) const;
};

// Result of one read of a stream: bytes written, or one of these values.
inline constexpr std::ptrdiff_t stream_end = -1;
inline constexpr std::ptrdiff_t stream_broken = -2;

// Fills the buffer with the next part of the body; may block. Destroyed when the stream has ended
// or the caller has disconnected.
using stream_reader = std::function<std::ptrdiff_t(std::span<char>)>;

struct reply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  stream_reader stream;  // replaces `body` when set
};

reply json_reply(int status, const nlohmann::json& body);

// An OpenAI error object with `type` and `message`.
reply error_reply(int status, std::string_view type, std::string_view message);

using handler = std::function<reply(const request&)>;

class http_stub {
 public:
  explicit http_stub(socket_address address);
  ~http_stub();
  http_stub(const http_stub&) = delete;
  http_stub& operator=(const http_stub&) = delete;
  http_stub(http_stub&&) = delete;
  http_stub& operator=(http_stub&&) = delete;

  // Adds an endpoint. Call it before start().
  void route(std::string method, std::string path, handler handle);

  // Listens on the address. Returns false when it cannot be bound.
  bool start();

  // Descriptor of the connection with the caller address of `raw`, -1 when unknown.
  int descriptor_of(const _u_request& raw);

  // Track open connections by the caller's address and port. Called by the HTTP library.
  void connection_opened(std::uint64_t caller, int descriptor);
  void connection_closed(std::uint64_t caller);

 private:
  struct endpoint;

  socket_address m_address;
  std::unique_ptr<_u_instance> m_instance;
  std::vector<std::unique_ptr<endpoint>> m_endpoints;
  std::mutex m_mutex;
  std::map<std::uint64_t, int> m_descriptors;
  bool m_started = false;
};

// Blocks SIGTERM and SIGINT in this thread and those it starts. Call it first in main().
void block_stop_signals();

// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

}  // namespace fuchsiaspring::standins
