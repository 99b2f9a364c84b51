#include "apps/gateway/stream_relay.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace fuchsiaspring::gateway {
namespace {

constexpr std::size_t read_bytes = 8U << 10U;

}  // namespace

stream_relay::stream_relay(std::unique_ptr<request_record> record,
                           std::unique_ptr<http::upstream_transfer> transfer)
    : m_record(std::move(record)), m_transfer(std::move(transfer)) {}

stream_relay::~stream_relay() {
  if (m_record) {
    m_record->clear_preemption();
  }
}

std::unique_ptr<request_record> stream_relay::release_record() {
  m_record->clear_preemption();
  return std::move(m_record);
}

std::optional<stream_failure> stream_relay::wait_for_first_event() {
  while (m_output.empty() && !m_done && !m_failure) {
    read_events();
  }
  return m_output.empty() ? m_failure : std::nullopt;
}

stream_failure stream_relay::to_failure(const base::error& error) const {
  switch (error.code) {
    case base::error_code::timed_out:
      return {"upstream_timeout", "The upstream went silent."};
    case base::error_code::cancelled:
      return m_record->request().connection.is_closed()
                 ? stream_failure{"caller_gone", "The caller closed the connection."}
                 : stream_failure{"preempted", "The request gave way to a higher tier."};
    case base::error_code::invalid_argument:
      return {"upstream_invalid", "The upstream's answer is not HTTP."};
    default:
      return {"upstream_incomplete", "The upstream broke off its answer."};
  }
}

void stream_relay::read_events() {
  std::array<char, read_bytes> buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init)
  const auto size = m_transfer->read(buffer);
  if (!size) {
    m_failure = to_failure(size.error());
    return;
  }
  if (size.value() == 0) {
    m_failure = {"upstream_incomplete", "The upstream ended its answer without the end marker."};
    return;
  }
  m_splitter.append({buffer.data(), size.value()});
  process_events();
}

void stream_relay::process_events() {
  while (auto event = m_splitter.next()) {
    switch (m_validator.check(*event)) {
      case event_kind::token:
        m_record->on_token();
        break;
      case event_kind::done:
        m_output += event->raw;
        m_done = true;
        return;
      case event_kind::comment:
        break;
      case event_kind::failed:
        m_failure = {"upstream_error", "The upstream reported an error within its answer."};
        return;
      case event_kind::invalid:
        m_failure = {"upstream_invalid", "The upstream sent an event of no or another answer."};
        return;
    }
    m_output += event->raw;
  }
  if (m_splitter.is_oversized()) {
    m_failure = {"upstream_invalid", "The upstream sent an event without end."};
  }
}

http::stream_read stream_relay::read(std::span<char> buffer) {
  if (m_offset == m_output.size()) {
    m_output.clear();
    m_offset = 0;
    while (m_output.empty() && !m_done && !m_failure) {
      read_events();
    }
  }
  if (m_offset < m_output.size()) {
    const std::size_t size = std::min(buffer.size(), m_output.size() - m_offset);
    std::memcpy(buffer.data(), m_output.data() + m_offset, size);
    m_offset += size;
    return {http::stream_state::data, size};
  }
  if (std::exchange(m_end_reported, true)) {
    return {m_failure ? http::stream_state::broken : http::stream_state::end, 0};
  }
  m_record->clear_preemption();
  if (!m_failure) {
    m_record->on_finished(200);
    return {http::stream_state::end, 0};
  }
  const refusal refused{.status = 502,
                        .reason = m_failure->reason,
                        .message = m_failure->message,
                        .executed = execution::unknown};
  m_record->on_failed(m_failure->reason, true);
  m_record->finish_claim(schema::KEY_STATE_UNKNOWN, 0);
  if (m_failure->reason == "caller_gone") {
    return {http::stream_state::broken, 0};
  }
  m_output = "data: " + to_json(refused) + "\n\n";
  m_offset = 0;
  return read(buffer);
}

}  // namespace fuchsiaspring::gateway
