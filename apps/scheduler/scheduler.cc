#include "apps/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "apps/scheduler/policy_builder.h"

namespace fuchsiaspring::scheduler {
namespace {

using std::chrono::milliseconds;

constexpr base::duration receive_wait = milliseconds(5);
constexpr base::duration heartbeat_interval = milliseconds(200);
// The agent reports the age of its last contact with the fleet at every heartbeat. An older contact
// is not counted: the ledgers themselves measure the time since the last one.
constexpr base::duration max_contact_age = std::chrono::seconds(3);
// A newly started scheduler advances one ramp step per notice of a peer; five rounds cover limits
// up to 32 times the first step.
constexpr int ramp_notice_rounds = 5;
constexpr base::duration ramp_round_interval = milliseconds(500);
constexpr base::duration slow_timer_interval = milliseconds(100);
// Gateways repeat their reports every 5 s; three lost reports in a row are unlikely.
constexpr base::duration stale_grant_limit = std::chrono::seconds(20);
constexpr base::duration gateway_timeout = std::chrono::seconds(10);
// The upper bits of a grant id hold the start time, which keeps ids unique across restarts.
constexpr unsigned grant_counter_bits = 20;
// A longer gap between two iterations of run() means that the process was paused; queued decisions
// may then rest on outdated state.
constexpr base::duration pause_threshold = std::chrono::seconds(1);

limits::ledger_settings make_ledger_settings(const schema::SchedulerSettings& settings) {
  limits::ledger_settings ledger;
  ledger.reclaim_delay = milliseconds(settings.share_reclaim_delay_ms());
  return ledger;
}

}  // namespace

scheduler::scheduler(const schema::SchedulerSettings& settings, transport::messenger& messenger,
                     telemetry::metrics& metrics, std::shared_ptr<spdlog::logger> log)
    : m_settings(settings),
      m_messenger(messenger),
      m_metrics(metrics),
      m_log(std::move(log)),
      m_random(settings.random_seed() == 0 ? base::system_seed() : settings.random_seed()),
      m_shares(settings.vm(), messenger.incarnation(), make_ledger_settings(settings),
               [this](const std::string& vm, const schema::ShareMessage& message) {
                 const auto found = m_scheduler_addresses.find(vm);
                 if (found == m_scheduler_addresses.end()) {
                   return;
                 }
                 schema::Envelope envelope;
                 *envelope.mutable_share_message() = message;
                 m_messenger.send(found->second, std::move(envelope));
               }),
      m_load_poller(milliseconds(settings.load_report_interval_ms())),
      m_next_grant_id(messenger.incarnation() << grant_counter_bits) {
  for (const char* reason : {"deadline_unreachable", "displaced", "domain_out_of_service",
                             "isolated", "no_configuration", "no_upstream", "queue_full",
                             "retry_budget", "unknown_class", "unknown_pool", "unknown_team"}) {
    m_metrics.count("fuchsia_admission_refusals_total", "Refused admissions by reason.",
                    {{"reason", reason}}, 0);
  }
  m_metrics.count("fuchsia_grants_expired_total", "Grants released without a report.", {}, 0);
  m_metrics.count("fuchsia_bundles_refused_total", "Bundles that did not verify.", {}, 0);
}

void scheduler::run() {
  while (!m_stopping) {
    const auto envelope = m_messenger.receive(receive_wait);
    const base::time_point now = base::boot_clock::now();
    if (m_last_iteration != base::time_point{} && now - m_last_iteration > pause_threshold) {
      m_log->warn("The process was paused for {} ms.",
                  base::to_milliseconds(now - m_last_iteration));
    }
    m_last_iteration = now;
    if (envelope) {
      handle(*envelope);
    }
    run_timers(now);
    dispatch_queued(now);
  }
}

void scheduler::run_timers(base::time_point now) {
  if (now >= m_next_heartbeat) {
    m_next_heartbeat = now + heartbeat_interval;
    send_heartbeats();
  }
  if (now < m_next_slow_timer) {
    return;
  }
  m_next_slow_timer = now + slow_timer_interval;
  apply_load_reports(now);
  update_demand(now);
  m_shares.tick(now);
  apply_shares(now);
  send_notices();
  if (now >= m_next_ramp_round) {
    m_next_ramp_round = now + ramp_round_interval;
    send_ramp_limits();
  }
  for (const grant_entry& entry : m_grants.remove_stale(now, stale_grant_limit)) {
    m_log->warn("Released the grant of request {}: no report for more than {} ms.",
                entry.request_id, base::to_milliseconds(stale_grant_limit));
    m_metrics.count("fuchsia_grants_expired_total", "Grants released without a report.");
    m_router.on_failure(entry.upstream, routing::failure_kind::cancelled, now);
    m_shares.on_finish(entry.upstream, entry.origin, now);
  }
  std::erase_if(m_gateway_contacts,
                [&](const auto& item) { return now - item.second > gateway_timeout; });
  m_queue_empty = !m_queue || m_queue->size() == 0;
  publish_status(now);
}

void scheduler::send_heartbeats() {
  schema::Envelope agent_message;
  if (m_catalog) {
    agent_message.mutable_heartbeat()->set_bundle_revision(m_catalog->revision());
    agent_message.mutable_heartbeat()->set_list_version(m_vm_list.version());
  } else {
    agent_message.mutable_config_request()->set_listen_address(m_settings.mailbox_address());
  }
  m_messenger.send(m_settings.agent_address(), agent_message);
  for (const auto& [address, last] : m_gateway_contacts) {
    schema::Envelope gateway_heartbeat;
    gateway_heartbeat.mutable_heartbeat()->set_serving(
        m_catalog && !m_draining && m_shares.has_credits(base::boot_clock::now()));
    m_messenger.send(address, std::move(gateway_heartbeat));
  }
}

void scheduler::handle(const schema::Envelope& envelope) {
  const std::string& sender = envelope.reply_address();
  switch (envelope.body_case()) {
    case schema::Envelope::kHeartbeat:
      if (sender != m_settings.agent_address()) {
        m_gateway_contacts[sender] = base::boot_clock::now();
      }
      if (envelope.heartbeat().reported_to_incarnation() == m_messenger.incarnation()) {
        m_shares.on_running_reported();
      }
      break;
    case schema::Envelope::kConfigRequest:
      m_gateway_contacts[sender] = base::boot_clock::now();
      break;
    case schema::Envelope::kAdmitRequest:
      m_gateway_contacts[sender] = base::boot_clock::now();
      handle_admit(envelope.admit_request(), sender);
      break;
    case schema::Envelope::kAttemptReport:
      handle_report(envelope.attempt_report(), sender);
      break;
    case schema::Envelope::kWithdrawRequest:
      if (m_queue) {
        m_queue->withdraw(envelope.withdraw_request().request_id(), base::boot_clock::now());
      }
      m_waiting.erase(envelope.withdraw_request().request_id());
      break;
    case schema::Envelope::kConfigUpdate:
      handle_config(envelope.config_update());
      break;
    case schema::Envelope::kShareMessage:
      check_peer_incarnation(envelope);
      m_shares.on_message(envelope.share_message(), base::boot_clock::now());
      apply_shares(base::boot_clock::now());
      break;
    case schema::Envelope::kUpstreamNotice:
      handle_notice(envelope.upstream_notice());
      break;
    default:
      break;
  }
}

void scheduler::handle_config(const schema::ConfigUpdate& update) {
  m_isolated = update.isolated();
  bool changed = false;
  if (update.has_list() && update.list().version() > m_vm_list.version()) {
    m_vm_list = update.list();
    apply_list();
    changed = true;
  }
  if (update.has_bundle() && (!m_catalog || update.bundle().revision() > m_catalog->revision())) {
    auto index = catalog::catalog_index::from_bundle(update.bundle());
    if (index) {
      m_catalog = std::move(index).value();
      m_log->info("Revision {} is in force.", m_catalog->revision());
      changed = true;
    } else {
      m_log->error("Configuration revision {} failed verification and is refused: {}.",
                   update.bundle().revision(), index.error().message);
      m_metrics.count("fuchsia_bundles_refused_total", "Bundles that did not verify.");
    }
  }
  if (changed && m_catalog) {
    apply_catalog();
  }
  // A contact counts only after the ledgers have applied the configuration that it brought.
  if (milliseconds(update.contact_age_ms()) < max_contact_age) {
    m_shares.on_majority_contact(base::boot_clock::now());
  }
}

void scheduler::apply_list() {
  for (const schema::VmEntry& vm : m_vm_list.vms()) {
    m_scheduler_addresses[vm.name()] = vm.scheduler_address();
  }
}

routing::router_config scheduler::router_config() const {
  return make_router_config(
      m_catalog->objects(),
      {.name = m_settings.vm(), .failure_domain = m_settings.failure_domain()},
      m_settings.subset_size());
}

void scheduler::apply_catalog() {
  const base::time_point now = base::boot_clock::now();
  const schema::Catalog& objects = m_catalog->objects();
  const auto policy =
      make_admission_policy(objects, static_cast<std::size_t>(m_vm_list.vms_size()));
  if (m_queue) {
    refuse_removed(m_queue->update_policy(policy, now));
  } else {
    m_queue.emplace(policy, now);
  }
  const auto config = router_config();
  if (auto updated = m_router.update(config, now); !updated) {
    m_log->error("Routing keeps the previous configuration; the new one is invalid: {}.",
                 updated.error().message);
  }
  std::map<std::string, std::string> urls;
  for (const schema::Pool& pool : objects.pools()) {
    if (pool.kind() != schema::POOL_KIND_ENGINE) {
      continue;
    }
    for (const schema::Upstream& upstream : pool.upstreams()) {
      urls[upstream.name()] =
          (upstream.tls() ? "https://" : "http://") + upstream.address() + "/load";
    }
  }
  m_load_poller.set_targets(std::move(urls));
  for (const schema::RequestClass& item : objects.classes()) {
    const auto budget =
        m_retry_budgets.try_emplace(item.name(), item.retry_budget_per_mille()).first;
    budget->second.set_per_mille(item.retry_budget_per_mille());
  }
  m_shares.update(config, m_vm_list, m_catalog->revision(), now);
  apply_shares(now);
  for (const waiting_request& early : std::exchange(m_early_requests, {})) {
    handle_admit(early.request, early.gateway);
  }
}

void scheduler::apply_shares(base::time_point now) {
  if (!m_catalog) {
    return;
  }
  for (const schema::Pool& pool : m_catalog->objects().pools()) {
    for (const schema::Upstream& upstream : pool.upstreams()) {
      m_shares.set_limit(upstream.name(), m_router.ramp_limit(upstream.name()));
      m_router.set_slot_share(upstream.name(), m_shares.usable_slots(upstream.name(), now));
    }
  }
}

// Splits the queued requests of each pool evenly over its available upstreams as demand for
// credits.
void scheduler::update_demand(base::time_point now) {
  if (!m_catalog) {
    return;
  }
  for (const schema::Pool& pool : m_catalog->objects().pools()) {
    const auto upstreams = m_router.status(pool.name(), now);
    const auto in_service = static_cast<std::uint32_t>(
        std::count_if(upstreams.begin(), upstreams.end(),
                      [](const auto& item) { return item.in_service && !item.ejected; }));
    auto demand = m_queue->queued_by_rank(pool.name());
    for (std::uint32_t& queued : demand) {
      queued = in_service == 0 ? 0 : (queued + in_service - 1) / in_service;
    }
    for (const routing::upstream_status& item : upstreams) {
      const bool is_available = item.in_service && !item.ejected;
      m_shares.set_demand(item.name, is_available ? demand : std::vector<std::uint32_t>{});
    }
  }
}

void scheduler::handle_notice(const schema::UpstreamNotice& notice) {
  m_router.on_notice({.upstream = notice.upstream(),
                      .cold = notice.cold(),
                      .leaving = notice.leaving(),
                      .ramp_limit = notice.ramp_limit()},
                     base::boot_clock::now());
  apply_shares(base::boot_clock::now());
}

void scheduler::send_notices() {
  for (const routing::upstream_notice& notice : m_router.take_notices()) {
    const char* state = notice.leaving ? "leaving" : notice.cold ? "cold" : "warmer";
    m_log->info("Upstream {}: state {}; fleet-wide concurrency limit is {} requests.",
                notice.upstream, state, notice.ramp_limit);
    for (const schema::VmEntry& vm : m_vm_list.vms()) {
      if (vm.name() == m_settings.vm() || vm.scheduler_address().empty()) {
        continue;
      }
      schema::Envelope message;
      auto& body = *message.mutable_upstream_notice();
      body.set_upstream(notice.upstream);
      body.set_cold(notice.cold);
      body.set_leaving(notice.leaving);
      body.set_ramp_limit(notice.ramp_limit);
      m_messenger.send(vm.scheduler_address(), std::move(message));
    }
  }
}

void scheduler::check_peer_incarnation(const schema::Envelope& envelope) {
  auto& known_incarnation = m_peer_incarnations[envelope.reply_address()];
  if (known_incarnation != envelope.incarnation()) {
    known_incarnation = envelope.incarnation();
    m_ramp_rounds_left[envelope.reply_address()] = ramp_notice_rounds;
  }
}

// A newly started peer treats every upstream as cold until notices raise its ramp limit.
void scheduler::send_ramp_limits() {
  for (auto& [address, rounds] : m_ramp_rounds_left) {
    if (rounds == 0 || !m_catalog) {
      continue;
    }
    --rounds;
    for (const schema::Pool& pool : m_catalog->objects().pools()) {
      for (const schema::Upstream& upstream : pool.upstreams()) {
        const std::uint32_t ramp_limit = m_router.ramp_limit(upstream.name());
        if (ramp_limit <= upstream.cold_limit()) {
          continue;
        }
        schema::Envelope message;
        message.mutable_upstream_notice()->set_upstream(upstream.name());
        message.mutable_upstream_notice()->set_ramp_limit(ramp_limit);
        m_messenger.send(address, std::move(message));
      }
    }
  }
}

void scheduler::apply_load_reports(base::time_point now) {
  for (const load_reading& reading : m_load_poller.take_readings()) {
    const base::duration age = reading.age + (now - reading.read_at);
    m_router.on_load_report(reading.upstream, reading.report, age, now);
  }
}

}  // namespace fuchsiaspring::scheduler
