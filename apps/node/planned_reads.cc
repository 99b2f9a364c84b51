// The reads of config_reader where the list of replicas exceeds a page of the service.
#include <algorithm>
#include <utility>

#include "apps/node/config_reader.h"

namespace fuchsiaspring::node_app {
namespace {

// A peer that gave no answer is not asked again within this time.
constexpr base::duration peer_failure_pause = std::chrono::milliseconds(3000);

}  // namespace

base::duration config_reader::max_proof_age() const {
  const base::duration interval = read_interval(m_context.settings);
  const base::duration validity = m_context.content_proof.bound();
  const base::duration read_time =
      m_context.snapshot.read_time.value_or(fleet::max_read_time(interval, validity));
  return fleet::max_proof_age({interval, read_time}, validity);
}

fleet::read_step config_reader::plan_read() {
  const base::time_point now = base::boot_clock::now();
  std::erase_if(m_failed_peers,
                [&](const auto& item) { return now - item.second > peer_failure_pause; });
  fleet::read_situation situation{.uptime = now - m_started_at,
                                  .proof_age = m_context.content_proof.age(now),
                                  .max_proof_age = max_proof_age(),
                                  .did_service_fail = m_source_status.did_service_fail,
                                  .since_service_failure = {},
                                  .failed_peers = {}};
  if (m_service_failed_at) {
    situation.since_service_failure = now - *m_service_failed_at;
  }
  for (const auto& [address, failed_at] : m_failed_peers) {
    situation.failed_peers.insert(address);
  }
  return fleet::next_read(m_peers.self(), m_peers.live(now), situation, m_random);
}

void config_reader::take_step(const fleet::read_step& step) {
  const bool was_service = std::holds_alternative<fleet::service_source>(m_step);
  const bool is_service = std::holds_alternative<fleet::service_source>(step);
  m_step = step;
  if (std::holds_alternative<fleet::wait_for_turn>(step)) {
    schedule_after(fleet::interval_after(step, read_interval(m_context.settings)));
    return;
  }
  const auto* question = std::get_if<fleet::peer_question>(&step);
  if (is_service != was_service) {
    m_context.log.write(
        telemetry::level::info, "agent", "configuration_source_changed",
        {{"source", question != nullptr ? question->address : std::string("service")},
         {"proof_age_ms",
          m_context.content_proof.age(base::boot_clock::now()).value_or(base::duration{})},
         {"max_proof_age_ms", max_proof_age()}});
  }
  read_from(question != nullptr ? fleet::config_source(fleet::peer_source{question->address})
                                : fleet::service_source{});
}

void config_reader::request_ranges(const std::vector<fleet::peer_info>& live) {
  m_range_reader.read(m_peers.self(), live, m_deadline, [this](base::result<listing> read) {
    if (!read) {
      on_failure(read.error().message);
      return;
    }
    adopt(std::move(read.value().content), read.value().version, m_requested_at);
  });
}

void config_reader::on_planned_failure(const std::string& detail) {
  const base::time_point now = base::boot_clock::now();
  const auto* peer = std::get_if<fleet::peer_source>(&m_source);
  // After a peer has been tried as well, the service is due again.
  m_source_status = {.did_service_fail = peer == nullptr};
  if (peer != nullptr && m_response_head.status == 0) {
    m_failed_peers[peer->address] = now;
  }
  const auto age = m_context.content_proof.age(now);
  if (age && *age > max_proof_age() && ++m_failed_rounds == 1) {
    m_context.log.write(telemetry::level::warn, "agent", "configuration_lost",
                        {{"detail", detail}});
  }
  log_lease_change();
  schedule_after(peer != nullptr ? fleet::interval_after(m_step, read_interval(m_context.settings))
                                 : retry_interval);
}

}  // namespace fuchsiaspring::node_app
