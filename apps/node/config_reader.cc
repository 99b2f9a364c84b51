#include "apps/node/config_reader.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

constexpr base::duration read_timeout = milliseconds(900);
// After a failure the next read comes sooner than usual.
constexpr base::duration retry_interval = milliseconds(250);
constexpr base::duration connect_timeout = milliseconds(400);

}  // namespace

config_reader::config_reader(context& shared, state_handler on_state)
    : m_context(shared),
      m_on_state(std::move(on_state)),
      m_interval_timer(shared.io),
      m_timeout_timer(shared.io) {}

config_reader::~config_reader() {
  if (m_channel) {
    m_channel->cancel();
  }
}

void config_reader::start() {
  begin_read();
}

void config_reader::schedule_next() {
  const base::duration interval = milliseconds(m_context.settings.config_read_interval_ms());
  m_interval_timer.expires_after(m_failures > 0 ? std::min(interval, retry_interval) : interval);
  m_interval_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      begin_read();
    }
  });
}

void config_reader::begin_read() {
  m_items.clear();
  m_asked_at = base::boot_clock::now();
  m_timeout_timer.expires_after(read_timeout);
  m_timeout_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      on_failure("no answer in time");
    }
  });
  read_page();
}

void config_reader::read_page() {
  const std::string& address = m_context.settings.config_service_address();
  if (!m_channel || !m_channel->is_reusable()) {
    m_channel = relay::upstream_channel::create(m_context.io, parse_endpoint(address),
                                                {.connect_timeout = connect_timeout});
  }
  m_body.clear();
  m_status = 0;
  const std::string after = m_items.empty() ? std::string() : m_items.back().key;
  m_channel->send(
      platform::read_all_call(address, after), nullptr, nullptr,
      [this](const relay::channel_event& event) {
        std::visit(
            relay::overloaded{
                [this](const relay::response_started& started) { m_status = started.head.status; },
                [this](const relay::body_received& received) { m_body += received.bytes; },
                [this](const relay::response_ended&) { on_page(); },
                [this](const relay::channel_failed& failed) { on_failure(failed.detail); }},
            event);
      });
}

void config_reader::on_page() {
  m_context.metrics.count("fuchsia_config_reads_total", "Calls to the configuration service.",
                          {{"status", std::to_string(m_status)}});
  if (m_status != 200) {
    on_failure("status " + std::to_string(m_status));
    return;
  }
  auto page = platform::decode_page(m_body);
  if (!page) {
    on_failure(page.error().message);
    return;
  }
  m_items.insert(m_items.end(), std::make_move_iterator(page.value().items.begin()),
                 std::make_move_iterator(page.value().items.end()));
  if (page.value().has_more && !page.value().items.empty()) {
    read_page();
    return;
  }
  m_timeout_timer.cancel();
  if (m_failures > 0) {
    m_context.log.write(telemetry::level::info, "agent", "config_service_regained",
                        {{"failed_reads", m_failures}});
  }
  m_failures = 0;
  m_on_state(platform::decode_state(m_items, page.value().revision), m_asked_at);
  schedule_next();
}

void config_reader::on_failure(const std::string& detail) {
  m_timeout_timer.cancel();
  if (m_channel) {
    m_channel->cancel();
    m_channel = nullptr;
  }
  if (++m_failures == 1) {
    m_context.log.write(
        telemetry::level::warn, "agent", "config_service_lost",
        {{"detail", detail},
         {"config_age_ms",
          m_context.lease.age(base::boot_clock::now()).value_or(base::duration{})}});
  }
  m_context.metrics.count("fuchsia_config_read_failures_total",
                          "Reads of the configuration service that failed.", {});
  schedule_next();
}

}  // namespace fuchsiaspring::node_app
