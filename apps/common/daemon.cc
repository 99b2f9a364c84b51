#include "apps/common/daemon.h"

#include <array>
#include <csignal>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace fuchsiaspring::apps {
namespace {

constexpr std::size_t max_logged_requests = 4096;

sigset_t handled_signals() {
  sigset_t set{};
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

void block_signals() {
  const sigset_t set = handled_signals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  struct sigaction ignore {};
  ignore.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &ignore, nullptr);
}

signal_event wait_for_signal(base::duration timeout) {
  const sigset_t set = handled_signals();
  const auto ms = base::to_milliseconds(timeout);
  const timespec wait{.tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1'000'000};
  switch (sigtimedwait(&set, nullptr, &wait)) {
    case SIGHUP:
      return signal_event::reload;
    case SIGTERM:
    case SIGINT:
      return signal_event::terminate;
    default:
      return signal_event::none;
  }
}

void decision_log::add(const std::string& request_id, const std::string& line) {
  const std::lock_guard lock(m_mutex);
  auto [entry, inserted] = m_lines.try_emplace(request_id);
  entry->second.push_back(line);
  if (!inserted) {
    return;
  }
  m_order.push_back(request_id);
  if (m_order.size() > max_logged_requests) {
    m_lines.erase(m_order.front());
    m_order.pop_front();
  }
}

std::optional<std::string> decision_log::find(const std::string& request_id) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_lines.find(request_id);
  if (found == m_lines.end()) {
    return std::nullopt;
  }
  return nlohmann::json{{"request_id", request_id}, {"decisions", found->second}}.dump(2) + "\n";
}

base::result<std::unique_ptr<http::http_server>> start_operator_server(
    const std::string& address, operator_endpoints endpoints) {
  auto handle = [endpoints = std::move(endpoints)](http::http_request& request) {
    if (request.path == "/healthz") {
      return http::http_response::text(200, "ok\n");
    }
    if (request.path == "/readyz") {
      const auto reason = endpoints.not_ready_reason();
      return reason ? http::http_response::text(503, *reason + "\n")
                    : http::http_response::text(200, "ready\n");
    }
    if (request.path == "/metrics") {
      return http::http_response::text(200, endpoints.metrics());
    }
    if (request.path == "/status") {
      return http::http_response::json(200, endpoints.status());
    }
    if (request.path == "/explain" && endpoints.decisions != nullptr) {
      const auto found = endpoints.decisions->find(request.parameters["id"]);
      return found ? http::http_response::json(200, *found)
                   : http::http_response::json(404, "{\"error\":\"unknown request id\"}\n");
    }
    return http::http_response::text(404, "not found\n");
  };
  auto server = std::make_unique<http::http_server>(
      http::server_options{.listen_address = address, .max_connections = 64}, std::move(handle));
  if (auto started = server->start(); !started) {
    return started.error();
  }
  return server;
}

base::result<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return base::error{base::error_code::not_found, "cannot read " + path};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace fuchsiaspring::apps
