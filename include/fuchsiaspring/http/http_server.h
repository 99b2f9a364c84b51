// HTTP server for callers and operators, based on ulfius and libmicrohttpd.
//
//   http::http_server server({.listen_address = "127.0.0.1:8080"},
//                            [](http::http_request& request) {
//                              return http::http_response::text(200, "ok\n");
//                            });
//   auto started = server.start();
//   ...
//   server.stop_accepting();
//   while (server.requests_in_flight() > 0) { wait(); }
//   server.stop();
//
// Each connection has its own thread, which runs the handler and then reads the body stream. The
// handler must therefore be thread-safe, and it may block.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::http {

// The connection of a request's caller, valid while the request is handled.
class caller_socket {
 public:
  caller_socket() = default;
  explicit caller_socket(int descriptor) : m_descriptor(descriptor) {}

  // Whether the caller closed the connection. Never blocks.
  bool is_closed() const;
  // Socket to poll, or -1 if unknown.
  int descriptor() const { return m_descriptor; }

 private:
  int m_descriptor = -1;
};

struct http_request {
  std::string method;
  std::string target;                             // path and query as sent
  std::string path;                               // target without the query
  std::map<std::string, std::string> parameters;  // of the query, decoded
  std::map<std::string, std::string> headers;     // names in lower case
  std::string body;
  bool body_too_large = false;  // `body` is truncated
  caller_socket connection;

  // Value of the header with the lower-case `name`, or an empty string.
  const std::string& header(const std::string& name) const;
};

// Result of reading a body stream.
enum class stream_state {
  data,    // bytes were written to the buffer
  end,     // the body is complete
  broken,  // the connection is closed so that the caller sees an incomplete body
};

struct stream_read {
  stream_state state = stream_state::end;
  std::size_t size = 0;  // bytes written, for `data`
};

// A body that is produced while it is sent. Read on the connection's thread; destroyed when the
// response ends or the caller disconnects.
class body_stream {
 public:
  body_stream() = default;
  body_stream(const body_stream&) = delete;
  body_stream& operator=(const body_stream&) = delete;
  body_stream(body_stream&&) = delete;
  body_stream& operator=(body_stream&&) = delete;
  virtual ~body_stream() = default;

  // Blocks until bytes are available. `buffer` is never empty.
  virtual stream_read read(std::span<char> buffer) = 0;
};

struct http_response {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::variant<std::string, std::unique_ptr<body_stream>> body;

  static http_response text(int status, std::string body);
  static http_response json(int status, std::string body);
};

struct server_options {
  std::string listen_address;              // ip:port
  std::size_t max_body_bytes = 4U << 20U;  // a longer body sets `body_too_large`
  unsigned connection_timeout_s = 30;      // limit for a connection without traffic
  unsigned max_connections = 4000;
  std::string tls_certificate_pem;  // empty: plain HTTP
  std::string tls_key_pem;
};

class http_server {
 public:
  using handler = std::function<http_response(http_request&)>;

  http_server(server_options options, handler on_request);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  http_server(http_server&&) = delete;
  http_server& operator=(http_server&&) = delete;
  ~http_server();

  // Errors: invalid_argument for a malformed address, unavailable when it cannot be bound.
  base::result<void> start();

  // Closes the listening socket. Open connections stay; their next responses carry
  // "Connection: close".
  void stop_accepting();

  // Requests whose response has not been sent completely.
  std::size_t requests_in_flight() const;

  // Closes all connections.
  void stop();

 private:
  struct state;
  std::unique_ptr<state> m_state;
};

// Splits "ip:port". Errors: invalid_argument.
struct host_port {
  std::string host;
  std::uint16_t port = 0;
  friend auto operator<=>(const host_port&, const host_port&) = default;
};
base::result<host_port> parse_host_port(const std::string& address);

}  // namespace fuchsiaspring::http
