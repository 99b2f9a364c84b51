#include "apps/node/store_lister.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::node_app {
namespace {

constexpr base::duration connect_timeout = std::chrono::milliseconds(400);

base::error failure(std::string message) {
  return {base::error_code::unavailable, std::move(message)};
}

}  // namespace

store_lister::store_lister(node_context& context, std::string_view prefix, fleet::key_range range,
                           handler on_done)
    : m_context(context),
      m_prefix(prefix),
      m_range(std::move(range)),
      m_on_done(std::move(on_done)),
      m_timer(context.io),
      m_last_key(m_range.after) {}

store_lister::~store_lister() {
  if (m_channel) {
    m_channel->cancel();
  }
}

void store_lister::start(base::time_point deadline) {
  m_deadline = deadline;
  m_progress_at = base::boot_clock::now();
  m_channel = relay::upstream_channel::create(
      m_context.io, parse_endpoint(m_context.settings.config_service_address()),
      {.connect_timeout = connect_timeout});
  request_page();
  wait();
}

void store_lister::wait() {
  const base::time_point now = base::boot_clock::now();
  m_timer.expires_after(std::min(m_progress_at + service_timeout, m_deadline) - now);
  m_timer.async_wait([this, is_alive = std::weak_ptr<bool>(m_is_alive)](
                         const boost::system::error_code& cancelled) {
    if (cancelled || is_alive.expired()) {
      return;
    }
    const base::time_point end = std::min(m_progress_at + service_timeout, m_deadline);
    if (base::boot_clock::now() < end) {
      wait();
      return;
    }
    finish(failure("no progress for " + std::to_string(base::to_milliseconds(service_timeout)) +
                   " ms, or not complete in time"));
  });
}

void store_lister::request_page() {
  m_body.clear();
  m_head = {};
  const std::string& address = m_context.settings.config_service_address();
  m_channel->send(platform::make_list_request(address, m_prefix, m_last_key), nullptr, nullptr,
                  [this](const relay::channel_event& event) { on_event(event); });
}

void store_lister::on_event(const relay::channel_event& event) {
  m_progress_at = base::boot_clock::now();
  std::visit(relay::overloaded{
                 [this](const relay::response_started& started) { m_head = started.head; },
                 [this](const relay::body_received& received) { on_body(received.bytes); },
                 [this](const relay::response_ended&) { on_page(); },
                 [this](const relay::channel_failed& failed) { finish(failure(failed.detail)); }},
             event);
}

void store_lister::on_body(std::string_view bytes) {
  if (m_body.size() + bytes.size() > max_response_bytes) {
    finish(failure("more than " + std::to_string(max_response_bytes) + " bytes"));
    return;
  }
  m_body += bytes;
}

void store_lister::on_page() {
  m_context.metrics.count("fuchsia_config_reads_total", "Calls to the configuration service.",
                          {{"status", std::to_string(m_head.status)}});
  m_context.metrics.count("fuchsia_config_read_bytes_total",
                          "Bytes of responses to reads of the configuration.",
                          {{"source", "service"}}, static_cast<double>(m_body.size()));
  if (m_head.status != 200) {
    finish(failure("service returned status " + std::to_string(m_head.status)));
    return;
  }
  auto page = platform::decode_page(m_body);
  if (!page) {
    finish(page.error());
    return;
  }
  platform::store_page& read = page.value();
  for (auto& [key, value] : read.content) {
    if (!key.starts_with(m_prefix) || !m_range.contains(key)) {
      continue;
    }
    m_content_bytes += key.size() + value.size();
    m_listing.content[key] = std::move(value);
  }
  if (m_content_bytes > max_content_bytes) {
    finish(failure("more than " + std::to_string(max_content_bytes) + " bytes of content"));
    return;
  }
  const std::optional<std::uint64_t> era = platform::read_era(m_head.headers).era;
  if (m_pages++ == 0) {
    m_listing.version = {era, read.revision};
  } else if (era != m_listing.version.era) {
    finish(failure("pages of one listing have different eras"));
    return;
  }
  const bool is_past_end = !m_range.until.empty() && read.last_key >= m_range.until;
  if (!read.has_more || read.last_key.empty() || is_past_end) {
    finish(std::move(m_listing));
    return;
  }
  m_last_key = std::move(read.last_key);
  if (!m_channel->is_reusable()) {
    finish(failure("service closed the connection between pages"));
    return;
  }
  request_page();
}

void store_lister::finish(base::result<listing> result) {
  m_timer.cancel();
  m_channel->cancel();
  const handler on_done = std::exchange(m_on_done, nullptr);
  if (on_done) {
    on_done(std::move(result));
  }
}

}  // namespace fuchsiaspring::node_app
