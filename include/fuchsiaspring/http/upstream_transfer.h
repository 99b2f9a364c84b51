// One HTTP request to an upstream whose response is read as it arrives, based on libcurl.
//
//   http::transfer_pool pool;
//   http::upstream_transfer transfer(pool, {.url = "http://10.0.0.9:8000/v1/models"});
//   auto status = transfer.wait_for_head();
//   std::array<char, 4096> buffer;
//   while (auto size = transfer.read(buffer)) {
//     if (size.value() == 0) break;      // complete
//     consume(buffer.data(), size.value());
//   }
//
// A connection is reused only after a response without an error status, and while nothing has
// arrived on it since: such bytes belong to no request, but would be read as the next response.
// After a transfer that timed out, connections to the same address that were idle by then are not
// reused: what keeps bytes from one connection, such as a middlebox that forgot it, may affect
// others.
//
// Every wait is bounded. Destroying a transfer that has not ended closes its connection, which
// cancels the request at the upstream. One thread owns a transfer; only cancel() may be called
// from another one.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/http/http_server.h"

namespace fuchsiaspring::http {

// Connections that one transfer at a time uses. Private to the library.
struct transfer_handle;

// Connections that later transfers reuse. Thread-safe. Must outlive its transfers.
class transfer_pool {
 public:
  transfer_pool();
  transfer_pool(const transfer_pool&) = delete;
  transfer_pool& operator=(const transfer_pool&) = delete;
  transfer_pool(transfer_pool&&) = delete;
  transfer_pool& operator=(transfer_pool&&) = delete;
  ~transfer_pool();

 private:
  friend class upstream_transfer;
  // `origin` is the scheme and authority of the URL.
  std::unique_ptr<transfer_handle> acquire(const std::string& origin);
  void release(std::unique_ptr<transfer_handle> handle, const std::string& origin);
  void record_timeout(const std::string& origin);
  bool is_suspect(const transfer_handle& handle, const std::string& origin) const;

  std::mutex m_mutex;
  std::vector<std::unique_ptr<transfer_handle>> m_idle;
  std::map<std::string, base::time_point> m_timeouts;  // the latest of each origin
};

struct transfer_options {
  std::string url;
  std::string method = "GET";
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
  base::duration connect_timeout = std::chrono::seconds(1);
  base::duration first_byte_timeout = std::chrono::seconds(60);
  base::duration idle_timeout = std::chrono::seconds(30);
  // Uses a new connection and closes it afterwards. libcurl resends a request on its own when a
  // reused connection fails before any response, which must not happen to a non-idempotent request.
  bool fresh_connection = false;
  // Called right before the first byte is sent; false aborts with nothing sent.
  std::function<bool()> before_send;
  std::string ca_file;   // trusted CA certificates; empty: the system's
  caller_socket caller;  // the transfer fails with `cancelled` if the caller disconnects
};

class upstream_transfer {
 public:
  upstream_transfer(transfer_pool& pool, transfer_options options);
  upstream_transfer(const upstream_transfer&) = delete;
  upstream_transfer& operator=(const upstream_transfer&) = delete;
  upstream_transfer(upstream_transfer&&) = delete;
  upstream_transfer& operator=(upstream_transfer&&) = delete;
  ~upstream_transfer();

  // Waits for the response headers and returns the status, which is 200 to 599. Errors: unavailable
  // (connection refused or broken), invalid_argument (malformed response, a status outside 100 to
  // 599, or 101), timed_out, cancelled (cancel() was called or the caller disconnected),
  // failed_precondition (`before_send` returned false).
  base::result<int> wait_for_head();

  // Reads the next bytes of the body; 0 at its complete end. Errors as above; a body shorter than
  // its Content-Length is `unavailable`.
  base::result<std::size_t> read(std::span<char> buffer);

  // Whether any byte of the request may have been sent.
  bool is_sent() const;

  // Value of the response header with the lower-case `name`, or an empty string.
  std::string header(const std::string& name) const;

  // Ends the transfer from another thread.
  void cancel();

 private:
  struct state;
  base::result<void> wait(base::duration timeout, const std::function<bool()>& is_ready);

  transfer_pool& m_pool;
  std::unique_ptr<state> m_state;
};

}  // namespace fuchsiaspring::http
