#include "apps/node/operator_pages.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace fuchsiaspring::node_app {
namespace {

// Learned factor on the expected wait from which a replica counts as slow.
constexpr double slow_replica_factor = 1.5;
// Operators' requests have no body.
constexpr std::size_t max_request_body_bytes = 1024;
constexpr std::size_t max_header_bytes = 4096;

relay::response make_page(unsigned status, const char* type, std::string body) {
  return {{status, {{"Content-Type", type}}}, std::move(body)};
}

}  // namespace

std::string not_ready_reason(const node_context& context, base::time_point now) {
  if (context.is_draining) {
    return "draining";
  }
  if (context.table == nullptr) {
    return "no_configuration";
  }
  return context.lease.is_valid(now) ? "" : "configuration_outdated";
}

operator_pages::operator_pages(node_context& context, const fleet::peer_directory& peers,
                               std::function<std::size_t()> open_connections)
    : m_context(context),
      m_peers(peers),
      m_open_connections(std::move(open_connections)),
      m_readiness_listener(
          context.io, parse_endpoint(context.settings.operator_address()),
          relay::caller_limits{.header_bytes = max_header_bytes,
                               .body_bytes = max_request_body_bytes},
          context.connections().operators,
          [this](relay::caller_connection& caller, const relay::request& message) {
            serve(caller, message);
          },
          nullptr, context.memory),
      m_metrics_listener(
          context.io, parse_endpoint(context.settings.metrics_address()),
          relay::caller_limits{.header_bytes = max_header_bytes,
                               .body_bytes = max_request_body_bytes},
          context.connections().operators,
          [this](relay::caller_connection& caller, const relay::request& message) {
            serve(caller, message);
          },
          nullptr, context.memory) {}

void operator_pages::start() {
  m_readiness_listener.start();
  m_metrics_listener.start();
}

void operator_pages::serve(relay::caller_connection& caller, const relay::request& message) {
  if (message.target == "/readyz") {
    caller.respond(readiness_page());
  } else if (message.target == "/healthz") {
    caller.respond(make_page(200, "text/plain", "ok\n"));
  } else if (message.target == "/metrics") {
    update_gauges();
    caller.respond(make_page(200, "text/plain; version=0.0.4", m_context.metrics.text()));
  } else if (message.target == "/status") {
    caller.respond(status_page());
  } else {
    caller.respond(make_page(404, "text/plain", "unknown page\n"));
  }
}

relay::response operator_pages::readiness_page() const {
  const std::string reason = not_ready_reason(m_context, base::boot_clock::now());
  return reason.empty() ? make_page(200, "text/plain", "ready\n")
                        : make_page(503, "text/plain", reason + "\n");
}

void operator_pages::update_gauges() {
  const base::time_point now = base::boot_clock::now();
  const auto age = m_context.lease.age(now);
  m_context.metrics.set("fuchsia_config_proof_age_seconds",
                        "Age of the last proof that the configuration is the newest.", {},
                        age ? base::to_seconds(*age) : -1);
  m_context.metrics.set("fuchsia_waiting_requests", "Requests in the queue.", {},
                        static_cast<double>(m_context.scheduler.waiting()));
  m_context.metrics.set("fuchsia_known_nodes", "Nodes among which limits are divided.", {},
                        static_cast<double>(m_context.known_nodes));
  m_context.metrics.set("fuchsia_log_lines_dropped", "Log lines that were not written.", {},
                        static_cast<double>(m_context.log.dropped()));
  m_context.metrics.set("fuchsia_upstream_connections_opened", "Connections made to upstreams.", {},
                        static_cast<double>(m_context.channels.opened_connections()));
  update_memory_gauges();
  for (const auto& [service, share] : m_context.scheduler.placer().prompt_pool_shares()) {
    m_context.metrics.set("fuchsia_long_prompt_pool_share",
                          "Share of the service's replicas that take long prompts.",
                          {{"service", service}}, share);
  }
  std::map<std::string, int> slow_replicas;
  for (const auto& each : m_context.scheduler.placer().status(now)) {
    slow_replicas[each.service] += each.slowness >= slow_replica_factor ? 1 : 0;
    m_context.metrics.set("fuchsia_upstream_running", "Requests of this node at the upstream.",
                          {{"upstream", each.id}}, each.running);
  }
  for (const auto& [service, count] : slow_replicas) {
    m_context.metrics.set("fuchsia_slow_replicas",
                          "Replicas that are at least 1.5 times slower than expected.",
                          {{"service", service}}, count);
  }
}

void operator_pages::update_memory_gauges() {
  const relay::memory_budget& memory = *m_context.memory;
  const auto set = [this](const char* name, const char* help, std::size_t value) {
    m_context.metrics.set(name, help, {}, static_cast<double>(value));
  };
  set("fuchsia_caller_memory_bytes", "Bytes that are held for callers.", memory.used_bytes());
  set("fuchsia_caller_memory_limit_bytes", "Budget of these bytes.", memory.limits().bytes);
  set("fuchsia_caller_memory_reserved_bytes", "Bytes reserved for large request bodies.",
      memory.reserved_bytes());
  set("fuchsia_caller_memory_waiting", "Request bodies that wait for memory.", memory.waiting());
  set("fuchsia_caller_memory_refusals", "Requests refused for lack of memory.", memory.refusals());
  set("fuchsia_caller_connections", "Open connections of callers.", m_open_connections());
  set("fuchsia_caller_connections_limit", "Connections of callers that may be open.",
      m_context.connections().callers);
}

relay::response operator_pages::status_page() const {
  const base::time_point now = base::boot_clock::now();
  nlohmann::json body;
  body["vm"] = m_context.settings.vm();
  body["not_ready_reason"] = not_ready_reason(m_context, now);
  body["config_version"] = m_context.table ? m_context.table->config().version : 0;
  body["waiting"] = m_context.scheduler.waiting();
  body["nodes"] = m_peers.known_nodes(now);
  body["long_prompt_pool_shares"] = m_context.scheduler.placer().prompt_pool_shares();
  for (const auto& each : m_context.scheduler.placer().status(now)) {
    body["upstreams"].push_back({{"id", each.id},
                                 {"service", each.service},
                                 {"running", each.running},
                                 {"remote_running", each.remote_running},
                                 {"read_tokens", each.prefill_tokens},
                                 {"draining", each.is_draining},
                                 {"cold", each.is_cold},
                                 {"ejected", each.is_ejected},
                                 {"leaving", each.is_leaving},
                                 {"held_ms", base::to_milliseconds(each.hold_left)},
                                 {"slowness", each.slowness}});
  }
  return make_page(200, "application/json", body.dump());
}

}  // namespace fuchsiaspring::node_app
