// Exchange of bundles and VM lists with peers, updates to the local programs, and /status.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "apps/agent/agent.h"

namespace fuchsiaspring::agent {
namespace {

using std::chrono::milliseconds;

constexpr base::duration repush_interval = milliseconds(500);

const char* peer_state_name(membership::peer_state state) {
  switch (state) {
    case membership::peer_state::unheard:
      return "unheard";
    case membership::peer_state::live:
      return "live";
    case membership::peer_state::suspected:
      return "suspected";
    case membership::peer_state::leaving:
      return "leaving";
  }
  return "unknown";
}

}  // namespace

void agent::handle_fetch(const schema::Envelope& envelope) {
  const std::string& address = envelope.reply_address();
  if (envelope.has_fetch_vm_list()) {
    for (const schema::VmList* list :
         m_view.lists_above(envelope.fetch_vm_list().above_version())) {
      schema::Envelope reply;
      *reply.mutable_vm_list_reply()->mutable_list() = *list;
      m_messenger.send(address, std::move(reply));
    }
    return;
  }
  schema::Envelope reply;
  schema::BundleReply& bundle_reply = *reply.mutable_bundle_reply();
  const bool has_newer = m_store.revision() > envelope.fetch_bundle().above_revision();
  if (has_newer && m_slots.take(address, m_store.revision(), m_now)) {
    *bundle_reply.mutable_bundle() = *m_store.current();
    m_metrics.count("fuchsia_bundles_served_total", "Bundles sent to peers.");
  }
  m_messenger.send(address, std::move(reply));
}

void agent::fetch_from_peers() {
  fetch_bundle();
  fetch_lists();
}

void agent::fetch_bundle() {
  const std::uint64_t highest_known = std::max(m_store.revision(), m_store.refused_revision());
  if (m_highest_peer_revision <= highest_known) {
    return;
  }
  std::vector<std::string> candidates;
  for (const membership::peer_view& peer : m_peers.peers(m_now)) {
    if (peer.bundle_revision <= highest_known || peer.state == membership::peer_state::suspected) {
      continue;
    }
    candidates.push_back(peer.name);
  }
  if (candidates.empty()) {
    return;
  }
  const auto peer = m_bundle_fetch.next_peer(highest_known + 1, candidates, m_now, m_random);
  if (!peer) {
    return;
  }
  schema::Envelope request;
  request.mutable_fetch_bundle()->set_above_revision(highest_known);
  send_to_vm(*peer, std::move(request));
}

void agent::fetch_lists() {
  std::uint64_t above = m_view.adopted_version();
  if (!m_view.missing_versions().empty()) {
    above = *m_view.missing_versions().begin() - 1;
  } else if (m_view.highest_reported_version() <= above) {
    return;
  }
  std::vector<std::string> candidates;
  for (const auto& [vm, address] : m_reply_addresses) {
    candidates.push_back(vm);
  }
  const auto peer = m_list_fetch.next_peer(above + 1, candidates, m_now, m_random);
  if (!peer) {
    return;
  }
  schema::Envelope request;
  request.mutable_fetch_vm_list()->set_above_version(above);
  send_to_vm(*peer, std::move(request));
}

schema::ConfigUpdate agent::make_update() const {
  schema::ConfigUpdate update;
  if (const schema::VmList* list = m_view.adopted_list()) {
    *update.mutable_list() = *list;
  }
  for (const std::string& vm : m_peers.suspected(m_now)) {
    update.add_suspected_vms(vm);
  }
  update.set_isolated(m_peers.is_isolated(m_now));
  update.set_activated_version(m_view.activated_version());
  return update;
}

void agent::push(const std::string& address, bool with_bundle) {
  const bool is_ready = !m_store.not_ready_reason(m_view.adopted_list(), m_settings.vm());
  schema::Envelope envelope;
  *envelope.mutable_config_update() = make_update();
  envelope.mutable_config_update()->set_contact_age_ms(
      static_cast<std::uint32_t>(base::to_milliseconds(m_peers.contact_age(m_now))));
  if (with_bundle && is_ready && m_store.current() != nullptr) {
    *envelope.mutable_config_update()->mutable_bundle() = *m_store.current();
    m_local_programs[address].pushed_revision = m_store.revision();
  }
  m_local_programs[address].pushed_at = m_now;
  m_messenger.send(address, std::move(envelope));
}

// Schedulers' share ledgers depend on the time without contact, so it is sent at every interval.
void agent::push_contact_age() {
  for (const auto& [address, program] : m_local_programs) {
    schema::Envelope envelope;
    auto& update = *envelope.mutable_config_update();
    update.set_isolated(m_peers.is_isolated(m_now));
    update.set_contact_age_ms(
        static_cast<std::uint32_t>(base::to_milliseconds(m_peers.contact_age(m_now))));
    m_messenger.send(address, std::move(envelope));
  }
}

void agent::push_changes() {
  m_push_due = false;
  const bool is_ready = !m_store.not_ready_reason(m_view.adopted_list(), m_settings.vm());
  const std::string digest = make_update().SerializeAsString();
  const bool changed = digest != m_pushed_digest;
  m_pushed_digest = digest;
  for (auto& [address, program] : m_local_programs) {
    const bool is_new = is_ready && program.pushed_revision < m_store.revision();
    // The update may have been lost, or the program restarted.
    const bool is_missing = is_ready && program.held_revision < m_store.revision() &&
                            m_now - program.pushed_at > repush_interval;
    if (changed || is_new || is_missing) {
      push(address, is_new || is_missing);
    }
  }
}

std::string agent::status() const {
  const std::lock_guard lock(m_status_mutex);
  return m_status;
}

std::optional<std::string> agent::not_ready_reason() const {
  const std::lock_guard lock(m_status_mutex);
  return m_not_ready;
}

void agent::publish_status() {
  auto not_ready = m_store.not_ready_reason(m_view.adopted_list(), m_settings.vm());
  const bool isolated = m_peers.is_isolated(m_now);
  if (!not_ready && isolated) {
    not_ready = "isolated";
  }
  nlohmann::json peers = nlohmann::json::array();
  for (const membership::peer_view& peer : m_peers.peers(m_now)) {
    peers.push_back({{"vm", peer.name},
                     {"failure_domain", peer.failure_domain},
                     {"state", peer_state_name(peer.state)},
                     {"revision", peer.bundle_revision},
                     {"list_version", peer.list_version}});
  }
  const auto& records = m_claims.recorder().counts();
  const auto messages = m_messenger.counts();
  const auto reads = m_reader.counts();
  const nlohmann::json page{
      {"vm", m_settings.vm()},
      {"ready", !not_ready.has_value()},
      {"not_ready_reason", not_ready.value_or("")},
      {"isolated", isolated},
      {"revision", m_store.revision()},
      {"digest", m_store.current() == nullptr ? "" : m_store.current()->digest()},
      {"refused_revision", m_store.refused_revision()},
      {"refusal", m_store.refused_revision() == 0 ? "" : m_store.refusal_reason()},
      {"refused_bundles", m_store.refused_count()},
      {"list_version", m_view.adopted_version()},
      {"activated_version", m_view.activated_version()},
      {"acting_version", m_view.acting_version(m_now, m_wall_ms)},
      {"older_sets", m_view.lists_for_claim(0).size()},
      {"voter", m_view.is_voter()},
      {"watching", m_is_watching},
      {"service_calls", {{"made", reads.calls}, {"failed", reads.failed}}},
      {"peers", peers},
      {"records",
       {{"held", m_claims.recorder().size()},
        {"recorded", records.recorded},
        {"duplicates", records.duplicates},
        {"abstained_after_start", records.abstained_after_start},
        {"abstained_full", records.abstained_full},
        {"abstained_key_time", records.abstained_key_time},
        {"other_version", records.other_version}}},
      {"messages",
       {{"sent", messages.sent},
        {"dropped", messages.send_dropped},
        {"received", messages.received},
        {"rejected", messages.rejected_mac + messages.rejected_format}}}};
  m_metrics.set("fuchsia_key_records", "Idempotency records held.", {},
                static_cast<double>(m_claims.recorder().size()));
  const std::lock_guard lock(m_status_mutex);
  m_status = page.dump(2) + "\n";
  m_not_ready = not_ready;
}

}  // namespace fuchsiaspring::agent
