// Common parts of the daemons: signals, operator endpoints, decision log.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "apps/common/command_line.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/http/http_server.h"

namespace fuchsiaspring::apps {

enum class signal_event { none, reload, terminate };

// Blocks SIGTERM, SIGINT and SIGHUP for all threads started afterwards and ignores SIGPIPE. Must be
// called before main() starts a thread.
void block_signals();

// Waits for a blocked signal; returns `none` after `timeout`.
signal_event wait_for_signal(base::duration timeout);

// Decisions about recent requests, with their reasons. Thread-safe; holds a bounded number of
// requests and drops the oldest.
class decision_log {
 public:
  void add(const std::string& request_id, const std::string& line);
  // JSON with the lines of one request, or nothing if the log does not have it.
  std::optional<std::string> find(const std::string& request_id) const;

 private:
  mutable std::mutex m_mutex;
  std::unordered_map<std::string, std::vector<std::string>> m_lines;
  std::deque<std::string> m_order;
};

struct operator_endpoints {
  std::function<std::optional<std::string>()> not_ready_reason;  // nothing when ready
  std::function<std::string()> metrics;
  std::function<std::string()> status;  // JSON
  const decision_log* decisions = nullptr;
};

// Serves /healthz, /readyz, /metrics, /status and /explain on the operator address.
base::result<std::unique_ptr<http::http_server>> start_operator_server(
    const std::string& address, operator_endpoints endpoints);

// Content of a file. Errors: not_found.
base::result<std::string> read_file(const std::string& path);

}  // namespace fuchsiaspring::apps
