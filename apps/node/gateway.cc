#include "apps/node/gateway.h"

#include <boost/asio/post.hpp>
#include <exception>
#include <utility>
#include <vector>

#include "apps/node/event_loop.h"
#include "apps/node/refusal_body.h"
#include "platform/headers.h"

namespace fuchsiaspring::node_app {
namespace {

// Interval at which queued requests are retried when no other event triggers it.
constexpr base::duration pump_interval = std::chrono::milliseconds(15);
constexpr base::duration retry_after_internal_error = std::chrono::milliseconds(500);

// Callers may follow a new idle timeout for the whole time that the router has to apply it.
base::duration idle_grace(const schema::NodeSettings& settings) {
  return std::chrono::milliseconds(settings.promises().config_apply_ms());
}

relay::caller_limits to_caller_limits(const routes::request_limits& limits,
                                      const schema::NodeSettings& settings) {
  return {.header_bytes = limits.header_bytes,
          .body_bytes = limits.body_bytes,
          .header_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout,
          .idle_grace = idle_grace(settings),
          .body_timeout = std::chrono::milliseconds(settings.body_timeout_ms())};
}

}  // namespace

gateway::gateway(node_context& context)
    : m_context(context),
      m_listener(
          context.io, parse_endpoint(context.settings.listen_address()),
          relay::caller_limits{.idle_grace = idle_grace(context.settings)},
          context.connections().callers,
          [this](relay::caller_connection& caller, relay::request message) {
            on_request(caller, std::move(message));
          },
          [this](relay::input_fault fault) {
            m_context.metrics.count("fuchsia_input_faults_total", "Input that is no request.",
                                    {{"reason", std::string(relay::to_string(fault))}});
            m_context.log.write(telemetry::level::warn, "gateway", "input_refused",
                                {{"reason", relay::to_string(fault)}});
          },
          context.memory),
      m_pump_timer(context.io),
      m_crash_detector(
          context, [this](const quarantine::crash_report& report) { on_replica_ended(report); }),
      m_prober(context) {
  m_listener.set_close_handler(
      [this](const relay::closed_connection& closed) { on_connection_closed(closed); });
  m_context.memory->set_shortage_handler([this](bool is_short) { on_memory_edge(is_short); });
}

gateway::~gateway() {
  m_context.memory->set_shortage_handler(nullptr);
}

void gateway::start() {
  m_listener.start();
}

void gateway::adopt(std::shared_ptr<const routes::route_table> table) {
  m_listener.set_limits(to_caller_limits(table->config().limits, m_context.settings));
  m_context.table = std::move(table);
}

void gateway::begin_drain() {
  m_listener.begin_drain();
}

void gateway::stop_accepting() {
  m_listener.stop_accepting();
}

void gateway::end_requests() {
  m_is_stopping = true;
  std::vector<std::uint64_t> numbers;  // an end removes its request from m_requests
  numbers.reserve(m_requests.size());
  for (const auto& [number, request] : m_requests) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    with_request(number, [](proxied_request& request) { request.on_stopping(); });
  }
}

void gateway::on_request(relay::caller_connection& caller, relay::request message) {
  const std::uint64_t number = m_next_number++;
  check_connection_edge(false);
  try {
    m_requests.emplace(number, std::make_unique<proxied_request>(
                                   *this, number, caller.shared_from_this(), std::move(message)));
  } catch (const std::exception& error) {
    report_handler_failure(error, m_context.log, m_context.metrics);
    relay::response response{{503, {{"Content-Type", "application/json"}}},
                             refusal_body(503, "internal_error", false)};
    platform::set_retry_after(response.head.headers, retry_after_internal_error);
    caller.respond(response);
    return;
  }
  with_request(number, [this](proxied_request& request) {
    if (m_is_stopping) {
      request.on_stopping();
      return;
    }
    request.start();
  });
}

void gateway::on_connection_closed(const relay::closed_connection& closed) {
  check_connection_edge(closed.reason == relay::close_reason::evicted ||
                        closed.reason == relay::close_reason::stalled ||
                        closed.reason == relay::close_reason::too_many_connections);
  const bool has_unread_bytes = closed.unread_bytes > 0;
  m_context.metrics.count("fuchsia_caller_connections_closed_total",
                          "Callers' connections closed by the router, other than after a response.",
                          {{"reason", std::string(relay::to_string(closed.reason))},
                           {"unread", has_unread_bytes ? "yes" : "no"}});
  m_context.log.write(
      has_unread_bytes ? telemetry::level::warn : telemetry::level::info, "gateway",
      "connection_closed",
      {{"reason", relay::to_string(closed.reason)},
       {"unread_bytes", closed.unread_bytes},
       {"idle_ms", closed.idle_time},
       {"idle_timeout_ms", closed.idle_timeout},
       {"responses", closed.responses},
       {"config_version", m_context.table != nullptr ? m_context.table->config().version : 0}});
}

void gateway::on_memory_edge(bool is_short) {
  const relay::memory_budget& memory = *m_context.memory;
  m_context.log.write(is_short ? telemetry::level::warn : telemetry::level::info, "gateway",
                      is_short ? "memory_short" : "memory_regained",
                      {{"used_bytes", memory.used_bytes()},
                       {"limit_bytes", memory.limits().bytes},
                       {"reserved_bytes", memory.reserved_bytes()},
                       {"waiting", memory.waiting()},
                       {"refused", memory.refusals()}});
}

void gateway::check_connection_edge(bool is_exhausted) {
  const std::size_t open = m_listener.open_connections();
  const bool is_short =
      is_exhausted || (m_are_connections_short && open > m_context.connections().callers / 8 * 7);
  if (std::exchange(m_are_connections_short, is_short) == is_short) {
    return;
  }
  m_context.log.write(is_short ? telemetry::level::warn : telemetry::level::info, "gateway",
                      is_short ? "connections_short" : "connections_regained",
                      {{"open", open}, {"limit", m_context.connections().callers}});
}

void gateway::with_request(std::uint64_t number,
                           const std::function<void(proxied_request&)>& function) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  proxied_request& request = *found->second;
  try {
    function(request);
  } catch (const std::exception& error) {
    report_handler_failure(error, m_context.log, m_context.metrics);
    end_failed_request(number, request);
  }
}

void gateway::end_failed_request(std::uint64_t number, proxied_request& request) {
  try {
    request.on_internal_error();
  } catch (const std::exception& error) {
    report_handler_failure(error, m_context.log, m_context.metrics);
  }
  release(number);
}

void gateway::release(std::uint64_t number) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  // This may be called from a member function of the request, so its destruction is deferred.
  std::shared_ptr<proxied_request> ended = std::move(found->second);
  m_requests.erase(found);
  boost::asio::post(m_context.io, [ended = std::move(ended)] {});
  schedule_pump();
}

void gateway::set_load_handler(
    std::function<void(const std::string&, const placement::request_profile&, bool)> on_load) {
  m_on_load = std::move(on_load);
}

void gateway::notify_load(const std::string& replica_id, const placement::request_profile& profile,
                          bool is_dispatch) {
  if (m_on_load) {
    m_on_load(replica_id, profile, is_dispatch);
  }
}

void gateway::set_evidence_handler(std::function<void()> on_evidence) {
  m_on_evidence = std::move(on_evidence);
}

void gateway::on_attempt_broken(const placement::choice& chosen,
                                const std::vector<quarantine::suspect>& suspects) {
  m_crash_detector.on_attempt_broken(chosen, suspects);
}

void gateway::on_replica_ended(const quarantine::crash_report& report) {
  m_context.prompt_quarantine.record_crash(report, base::boot_clock::now());
  notify_evidence();
}

void gateway::on_parts_answered(const std::vector<std::uint64_t>& parts,
                                base::time_point begun_at) {
  m_context.prompt_quarantine.record_answer(parts, begun_at, base::boot_clock::now());
  notify_evidence();
}

void gateway::notify_evidence() {
  if (m_on_evidence && m_context.prompt_quarantine.has_changes()) {
    m_on_evidence();
  }
}

void gateway::schedule_pump() {
  if (m_context.scheduler.waiting() == 0 || std::exchange(m_is_pump_posted, true)) {
    return;
  }
  boost::asio::post(m_context.io, [this] {
    m_is_pump_posted = false;
    m_context.scheduler.pump(base::boot_clock::now());
  });
}

void gateway::arm_pump_timer() {
  if (m_context.scheduler.waiting() == 0 || std::exchange(m_is_pump_timer_armed, true)) {
    return;
  }
  m_pump_timer.expires_after(pump_interval);
  m_pump_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    m_is_pump_timer_armed = false;
    m_context.scheduler.pump(base::boot_clock::now());
    arm_pump_timer();
  });
}

}  // namespace fuchsiaspring::node_app
