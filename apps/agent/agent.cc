#include "apps/agent/agent.h"

#include <algorithm>
#include <utility>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/catalog/bundle.h"

namespace fuchsiaspring::agent {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration pending_claim_wait = milliseconds(10);
constexpr base::duration pending_fetch_wait = milliseconds(20);
constexpr base::duration max_receive_wait = milliseconds(200);
constexpr base::duration max_grant_validity = std::chrono::minutes(10);
// Maximum age, in intervals, of heartbeats that confirm a list version. With 16 targets per
// interval in a fleet of 410, heartbeats of three quarters of the members arrive within 20
// intervals; half of them are needed.
constexpr int confirmation_intervals = 20;
constexpr std::uint64_t connection_lifetime_intervals = 30;
constexpr double seconds_per_minute = 60;

base::duration max_claim_duration(const schema::AgentSettings& settings) {
  return std::max<base::duration>(seconds(2), 2 * milliseconds(settings.claim_timeout_ms()));
}

membership::view_rules view_rules_of(const schema::AgentSettings& settings) {
  return {
      .confirmation_limit = confirmation_intervals * milliseconds(settings.heartbeat_interval_ms()),
      .clock_error = milliseconds(settings.clock_error_ms()),
      .key_retention = milliseconds(settings.key_retention_ms()),
      .max_claim_duration = max_claim_duration(settings)};
}

membership::peer_rules peer_rules_of(const schema::AgentSettings& settings) {
  membership::peer_rules rules;
  rules.heartbeat_interval = milliseconds(settings.heartbeat_interval_ms());
  rules.suspicion_timeout = milliseconds(settings.suspicion_timeout_ms());
  rules.isolation_limit = milliseconds(settings.isolation_limit_ms());
  return rules;
}

claim_settings claim_settings_of(const schema::AgentSettings& settings) {
  claim_settings result;
  result.retention.window = milliseconds(settings.key_retention_ms());
  result.retention.clock_error = milliseconds(settings.clock_error_ms());
  result.retention.max_claim_duration = max_claim_duration(settings);
  result.limits.timeout = milliseconds(settings.claim_timeout_ms());
  result.limits.resend_interval = result.limits.timeout / 5;
  result.grant_validity = std::min<base::duration>(max_grant_validity, result.retention.window / 2);
  return result;
}

base::result<void> verify(const schema::Bundle& bundle) {
  auto parsed = catalog::parse_bundle(bundle);
  if (!parsed) {
    return parsed.error();
  }
  return base::success();
}

// VM name of a sender such as "vm1/agent", or an empty string if the sender is not an agent.
std::string agent_vm(const std::string& sender) {
  constexpr std::string_view suffix = "/agent";
  return sender.ends_with(suffix) ? sender.substr(0, sender.size() - suffix.size()) : std::string();
}

}  // namespace

agent::agent(const schema::AgentSettings& settings, transport::messenger& messenger,
             telemetry::metrics& metrics, std::shared_ptr<spdlog::logger> log)
    : m_settings(settings),
      m_interval(milliseconds(settings.heartbeat_interval_ms())),
      m_messenger(messenger),
      m_metrics(metrics),
      m_log(std::move(log)),
      m_random(base::system_seed()),
      m_now(base::boot_clock::now()),
      m_wall_ms(base::wall_clock_ms()),
      m_view(settings.vm(), view_rules_of(settings), m_wall_ms),
      m_peers(settings.vm(), settings.failure_domain(), peer_rules_of(settings), m_now),
      m_store(verify),
      m_reader_rules{
          .readers_per_domain = settings.readers_per_domain(),
          .fleet_reads_per_second = settings.fallback_reads_per_minute() / seconds_per_minute},
      m_fallback(m_reader_rules, m_now, m_random),
      m_claims(settings.vm(), claim_settings_of(settings), m_view,
               {.to_vm = [this](const std::string& vm,
                                schema::Envelope envelope) { send_to_vm(vm, std::move(envelope)); },
                .to_gateway =
                    [this](const std::string& address, schema::Envelope envelope) {
                      m_messenger.send(address, std::move(envelope));
                    }},
               metrics, m_now, m_wall_ms),
      m_next_interval(m_now),
      m_reader({.url = settings.config_service_url(),
                .wait = milliseconds(settings.watch_timeout_ms()),
                .seed = m_random.next()},
               [&messenger](schema::Envelope envelope) {
                 messenger.send(messenger.listen_address(), std::move(envelope));
               }) {
  for (const std::string& address : settings.local_mailboxes()) {
    m_local_programs[address];
  }
}

void agent::run() {
  while (!m_stopping) {
    const auto envelope = m_messenger.receive(next_receive_timeout());
    m_now = base::boot_clock::now();
    m_wall_ms = base::wall_clock_ms();
    if (m_now >= m_next_interval) {
      on_interval();
    }
    if (envelope) {
      handle(*envelope);
    }
    m_view.advance(m_now, m_wall_ms);
    m_claims.advance(m_now, m_wall_ms);
    if (m_view.activated_version() != m_last_activated_version) {
      m_last_activated_version = m_view.activated_version();
      m_log->info("VM list version {} is active.", m_last_activated_version);
      send_heartbeats(false);  // announces the activation without waiting for the next interval
      m_push_due = true;
    }
    fetch_from_peers();
    if (m_push_due) {
      push_changes();
    }
  }
  send_heartbeats(true);
}

base::duration agent::next_receive_timeout() const {
  if (m_claims.has_pending()) {
    return pending_claim_wait;
  }
  const bool is_behind = m_view.highest_reported_version() > m_view.adopted_version() ||
                         !m_view.missing_versions().empty() || m_bundle_fetch.is_active();
  const base::duration left = m_next_interval - base::boot_clock::now();
  return std::clamp<base::duration>(left, base::duration{},
                                    is_behind ? pending_fetch_wait : max_receive_wait);
}

void agent::on_interval() {
  m_next_interval = m_now + m_interval;
  if (m_peers.on_tick(m_now)) {
    m_log->warn("The agent was paused; silence of peers during the pause is not counted.");
    m_metrics.count("fuchsia_own_pauses_total", "Pauses of this process.");
  }
  replace_connections();
  send_heartbeats(false);
  update_config_reads();
  publish_status();
  push_contact_age();
  m_push_due = true;
}

void agent::replace_connections() {
  const auto suspected = m_peers.suspected(m_now);
  for (const std::string& vm : suspected) {
    if (!m_suspected.contains(vm)) {
      m_log->warn("The agent of {} is suspected.", vm);
      m_messenger.replace_link(address_of(vm));
    }
  }
  m_suspected = {suspected.begin(), suspected.end()};
  // A sender notices a dead connection only when its send buffer is full, so each connection is
  // also replaced periodically.
  ++m_intervals;
  for (const membership::peer_view& peer : m_peers.peers(m_now)) {
    if ((base::hash64(peer.name) + m_intervals) % connection_lifetime_intervals == 0) {
      m_messenger.replace_link(address_of(peer.name));
    }
  }
}

void agent::update_config_reads() {
  const schema::VmList* list = m_view.adopted_list();
  bool should_watch = false;
  if (list != nullptr) {
    const auto names = m_peers.suspected(m_now);
    should_watch = distribution::is_reader(*list, {names.begin(), names.end()}, m_settings.vm(),
                                           m_reader_rules);
  }
  if (should_watch != m_is_watching) {
    m_is_watching = should_watch;
    m_log->info(should_watch ? "Watching the configuration service."
                             : "Receiving the configuration from peers.");
  }
  m_reader.set_watching(should_watch);
  const std::size_t vms = list == nullptr ? 0 : static_cast<std::size_t>(list->vms_size());
  // Without a watch, the agent reads the service directly until it has a configuration and a VM
  // list, and while all peers are suspected.
  const bool needs_read =
      m_store.revision() == 0 || list == nullptr || m_peers.suspected(m_now).size() + 1 >= vms;
  if (!should_watch && needs_read && m_fallback.take_due(m_now, vms, m_random)) {
    m_reader.request_read();
  }
}

void agent::handle(const schema::Envelope& envelope) {
  if (const std::string vm = agent_vm(envelope.sender()); !vm.empty() && vm != m_settings.vm()) {
    m_reply_addresses[vm] = envelope.reply_address();
  }
  switch (envelope.body_case()) {
    case schema::Envelope::kHeartbeat:
      handle_heartbeat(envelope);
      break;
    case schema::Envelope::kBundleReply:
      handle_bundle(envelope);
      break;
    case schema::Envelope::kVmListReply:
      handle_list(envelope);
      break;
    case schema::Envelope::kFetchBundle:
    case schema::Envelope::kFetchVmList:
      handle_fetch(envelope);
      break;
    case schema::Envelope::kConfigRequest:
      m_local_programs[envelope.reply_address()] = {};
      push(envelope.reply_address(), true);
      break;
    default:
      handle_claim_message(envelope);
      break;
  }
}

void agent::handle_claim_message(const schema::Envelope& envelope) {
  switch (envelope.body_case()) {
    case schema::Envelope::kClaimKey:
      m_claims.on_claim(envelope.claim_key(), envelope.reply_address(), envelope.sent_at_ms(),
                        m_now, m_wall_ms);
      break;
    case schema::Envelope::kFinishKey:
      m_claims.on_finish(envelope.finish_key(), m_now, m_wall_ms);
      break;
    case schema::Envelope::kRecordKey: {
      schema::Envelope reply;
      *reply.mutable_record_reply() = m_claims.on_record(envelope.record_key(), m_now, m_wall_ms);
      m_messenger.send(envelope.reply_address(), std::move(reply));
      break;
    }
    case schema::Envelope::kRecordReply:
      m_claims.on_reply(agent_vm(envelope.sender()), envelope.record_reply(), m_now, m_wall_ms);
      break;
    case schema::Envelope::kRecordOutcome:
      m_claims.on_outcome(envelope.record_outcome(), m_now, m_wall_ms);
      break;
    case schema::Envelope::kAbandonKey:
      m_claims.on_abandon(envelope.abandon_key(), m_now, m_wall_ms);
      break;
    default:
      m_metrics.count("fuchsia_unexpected_messages_total",
                      "Messages that the agent does not take.");
      break;
  }
}

void agent::handle_heartbeat(const schema::Envelope& envelope) {
  const schema::Heartbeat& heartbeat = envelope.heartbeat();
  const std::string vm = agent_vm(envelope.sender());
  if (vm.empty()) {
    const auto known = m_local_programs.find(envelope.reply_address());
    if (known == m_local_programs.end()) {
      m_local_programs[envelope.reply_address()] = {};
    }
    m_local_programs[envelope.reply_address()].held_revision = heartbeat.bundle_revision();
    return;
  }
  const auto heartbeat_event =
      m_peers.on_heartbeat(vm, envelope.incarnation(), envelope.sequence(), heartbeat, m_now);
  if (heartbeat_event == membership::heartbeat_result::restarted) {
    m_log->info("The agent of {} was restarted.", vm);
  }
  m_view.on_heartbeat(vm, heartbeat, envelope.sent_at_ms(), m_now, m_wall_ms);
  m_highest_peer_revision = std::max(m_highest_peer_revision, heartbeat.bundle_revision());
  if (m_store.not_ready_reason(m_view.adopted_list(), m_settings.vm())) {
    m_store.on_peer_revision(vm, heartbeat.bundle_revision());
    m_push_due = true;
  }
  m_slots.release(vm, heartbeat.bundle_revision());
}

// The service reader delivers through this agent's own mailbox.
bool agent::is_from_service(const schema::Envelope& envelope) const {
  return envelope.reply_address() == m_messenger.listen_address();
}

void agent::handle_bundle(const schema::Envelope& envelope) {
  const std::string vm = agent_vm(envelope.sender());
  if (is_from_service(envelope)) {
    m_peers.on_service_contact(m_now);
  } else if (!envelope.bundle_reply().has_bundle()) {
    m_bundle_fetch.on_busy(vm, m_now);
    return;
  }
  if (envelope.bundle_reply().has_bundle()) {
    adopt_bundle(envelope.bundle_reply().bundle());
  }
}

void agent::adopt_bundle(const schema::Bundle& bundle) {
  const auto outcome = m_store.offer(bundle);
  m_reader.set_known_versions(std::max(m_store.revision(), m_store.refused_revision()),
                              m_view.adopted_version());
  m_bundle_fetch.on_arrival();
  if (outcome == distribution::offer_result::refused) {
    m_log->error("Revision {} is refused, revision {} stays in force: {}.", bundle.revision(),
                 m_store.revision(), m_store.refusal_reason());
    m_metrics.count("fuchsia_bundles_refused_total", "Bundles that did not verify.");
  }
  if (outcome != distribution::offer_result::adopted) {
    return;
  }
  m_log->info("Revision {} is adopted.", bundle.revision());
  m_metrics.set("fuchsia_config_revision", "Revision in force.", {},
                static_cast<double>(bundle.revision()));
  if (const auto objects = catalog::parse_bundle(bundle)) {
    m_view.set_floor(objects.value().membership_floor());
  }
  push_changes();
  send_heartbeats(false);
}

void agent::handle_list(const schema::Envelope& envelope) {
  if (is_from_service(envelope)) {
    m_peers.on_service_contact(m_now);
  }
  if (envelope.vm_list_reply().has_list()) {
    adopt_list(envelope.vm_list_reply().list());
  }
}

void agent::adopt_list(const schema::VmList& list) {
  m_list_fetch.on_arrival();
  if (!m_view.adopt(list)) {
    return;
  }
  m_log->info("VM list version {} is adopted.", list.version());
  m_metrics.set("fuchsia_vm_list_version", "Version of the VM list.", {},
                static_cast<double>(list.version()));
  m_peers.set_list(list, m_now);
  m_reader.set_known_versions(std::max(m_store.revision(), m_store.refused_revision()),
                              list.version());
  update_config_reads();
  send_heartbeats(false);
  m_push_due = true;
}

std::string agent::address_of(const std::string& vm) const {
  if (const auto known = m_reply_addresses.find(vm); known != m_reply_addresses.end()) {
    return known->second;
  }
  for (const schema::VmList* list : m_view.lists_above(0)) {
    for (const schema::VmEntry& entry : list->vms()) {
      if (entry.name() == vm) {
        return entry.agent_address();
      }
    }
  }
  return "";
}

void agent::send_to_vm(const std::string& vm, schema::Envelope envelope) {
  if (const std::string address = address_of(vm); !address.empty()) {
    m_messenger.send(address, std::move(envelope));
  }
}

void agent::send_heartbeats(bool leaving) {
  schema::Envelope envelope;
  schema::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
  m_view.fill_heartbeat(heartbeat);
  heartbeat.set_bundle_revision(m_store.revision());
  heartbeat.set_refused_revision(m_store.refused_revision());
  heartbeat.set_leaving(leaving || m_peers.is_leaving());
  for (const std::string& vm : m_peers.heartbeat_targets(m_random)) {
    send_to_vm(vm, envelope);
  }
}

}  // namespace fuchsiaspring::agent
