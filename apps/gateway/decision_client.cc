#include "apps/gateway/decision_client.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiaspring::gateway {
namespace {

using std::chrono::milliseconds;

constexpr base::duration receive_wait = milliseconds(20);
// How often a waiting connection thread checks whether its caller has hung up.
constexpr base::duration caller_check_interval = milliseconds(50);
constexpr base::duration heartbeat_interval = milliseconds(200);
// Reports of running requests are repeated, so that a lost message makes the scheduler count a
// request wrongly for at most this time.
constexpr base::duration resend_interval = std::chrono::seconds(5);
// A longer gap between two iterations of run() means that this process was paused.
constexpr base::duration pause_threshold = std::chrono::seconds(1);

std::string admission_key(const std::string& request_id, std::uint32_t attempt) {
  return request_id + "#" + std::to_string(attempt);
}

}  // namespace

decision_client::decision_client(const schema::GatewaySettings& settings,
                                 transport::messenger& messenger, telemetry::metrics& metrics,
                                 std::shared_ptr<spdlog::logger> log)
    : m_settings(settings), m_messenger(messenger), m_metrics(metrics), m_log(std::move(log)) {}

void decision_client::run() {
  while (!m_stopping) {
    const auto envelope = m_messenger.receive(receive_wait);
    run_timers();
    if (envelope) {
      handle(*envelope);
    }
  }
}

void decision_client::run_timers() {
  const base::time_point now = base::boot_clock::now();
  {
    const std::lock_guard lock(m_mutex);
    if (m_last_iteration != base::time_point{} && now - m_last_iteration > pause_threshold) {
      m_log->warn("The process was paused for {} ms.",
                  base::to_milliseconds(now - m_last_iteration));
      m_resumed_at = now;
    }
    m_last_iteration = now;
  }
  if (now >= m_next_heartbeat) {
    m_next_heartbeat = now + heartbeat_interval;
    send_heartbeats();
  }
  if (now >= m_next_resend) {
    m_next_resend = now + resend_interval;
    resend_to_scheduler(false);
  }
}

// Sends heartbeats to the agent, which replies with the configuration if it has a newer one, and to
// the scheduler.
void decision_client::send_heartbeats() {
  schema::Envelope heartbeat;
  if (const auto current = catalog()) {
    heartbeat.mutable_heartbeat()->set_bundle_revision(current->revision());
  } else {
    heartbeat.mutable_config_request()->set_listen_address(m_settings.mailbox_address());
  }
  m_messenger.send(m_settings.agent_address(), heartbeat);
  schema::Envelope scheduler_heartbeat;
  scheduler_heartbeat.mutable_heartbeat()->set_reported_to_incarnation(m_reported_incarnation);
  m_messenger.send(m_settings.scheduler_address(), scheduler_heartbeat);
}

void decision_client::handle(const schema::Envelope& envelope) {
  if (envelope.reply_address() == m_settings.scheduler_address()) {
    check_scheduler_incarnation(envelope);
  }
  switch (envelope.body_case()) {
    case schema::Envelope::kAdmitDecision:
      handle_decision(envelope.admit_decision(), envelope);
      break;
    case schema::Envelope::kClaimResult:
      handle_claim(envelope.claim_result());
      break;
    case schema::Envelope::kCancelRequest:
      handle_cancel(envelope.cancel_request());
      break;
    case schema::Envelope::kHeartbeat:
      if (envelope.reply_address() == m_settings.scheduler_address()) {
        m_scheduler_serving = envelope.heartbeat().serving();
      }
      break;
    case schema::Envelope::kConfigUpdate:
      handle_config(envelope.config_update());
      break;
    default:
      break;
  }
}

void decision_client::check_scheduler_incarnation(const schema::Envelope& envelope) {
  bool is_restart = false;
  {
    const std::lock_guard lock(m_mutex);
    if (envelope.incarnation() == m_scheduler_incarnation) {
      return;
    }
    is_restart = m_scheduler_incarnation != 0;
    m_scheduler_incarnation = envelope.incarnation();
  }
  if (is_restart) {
    m_log->warn("The scheduler was restarted; resending the waiting requests and those in flight.");
  }
  resend_to_scheduler(true);
  m_reported_incarnation = envelope.incarnation();
  send_heartbeats();
}

void decision_client::resend_to_scheduler(bool with_admissions) {
  std::vector<schema::Envelope> messages;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, running] : m_running) {
      schema::Envelope message;
      *message.mutable_attempt_report() = running.report;
      message.mutable_attempt_report()->set_phase(schema::ATTEMPT_PHASE_RUNNING);
      messages.push_back(std::move(message));
    }
    if (with_admissions) {
      for (const auto& [key, waiting] : m_admissions) {
        messages.push_back(waiting->request);
      }
    }
  }
  for (auto& message : messages) {
    m_messenger.send(m_settings.scheduler_address(), std::move(message));
  }
}

void decision_client::handle_decision(const schema::AdmitDecision& decision,
                                      const schema::Envelope& envelope) {
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_admissions.find(admission_key(decision.request_id(), decision.attempt()));
    if (found != m_admissions.end() && !found->second->decision) {
      found->second->decision = decision;
      found->second->decided_at_ms = envelope.sent_at_ms();
      found->second->scheduler_incarnation = envelope.incarnation();
      found->second->replied.notify_all();
      return;
    }
  }
  m_metrics.count("fuchsia_late_replies_total", "Replies that matched no waiting call.",
                  {{"kind", "decision"}});
  return_unused_grant(decision);
}

void decision_client::return_unused_grant(const schema::AdmitDecision& decision) {
  if (!decision.has_grant()) {
    return;
  }
  schema::AttemptReport unused;
  unused.set_request_id(decision.request_id());
  unused.set_grant_id(decision.grant().grant_id());
  unused.set_upstream(decision.grant().upstream());
  unused.set_phase(schema::ATTEMPT_PHASE_CANCELLED);
  unused.set_reason("grant_unused");
  report(unused);
}

void decision_client::handle_claim(const schema::ClaimResult& result) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_claims.find(result.attempt_id());
  if (found == m_claims.end()) {
    m_metrics.count("fuchsia_late_replies_total", "Replies that matched no waiting call.",
                    {{"kind", "claim"}});
    return;
  }
  found->second->claim = result;
  found->second->replied.notify_all();
}

void decision_client::handle_cancel(const schema::CancelRequest& request) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_running.find(request.request_id());
  if (found != m_running.end() && found->second.on_preempt) {
    found->second.on_preempt();
  }
}

void decision_client::handle_config(const schema::ConfigUpdate& update) {
  m_isolated = update.isolated();
  if (!update.has_bundle()) {
    return;
  }
  const auto current = catalog();
  if (current && update.bundle().revision() <= current->revision()) {
    return;
  }
  auto index = catalog::catalog_index::from_bundle(update.bundle());
  if (!index) {
    m_log->error("Configuration revision {} failed verification and is refused: {}.",
                 update.bundle().revision(), index.error().message);
    m_metrics.count("fuchsia_bundles_refused_total", "Bundles that did not verify.");
    return;
  }
  m_log->info("Revision {} is in force.", index.value()->revision());
  m_metrics.set("fuchsia_config_revision", "Revision in force.", {},
                static_cast<double>(index.value()->revision()));
  const std::lock_guard lock(m_mutex);
  m_catalog = std::move(index).value();
}

admission decision_client::admit(const schema::AdmitRequest& request,
                                 const http::caller_socket& caller, base::duration max_wait) {
  if (!is_scheduler_alive()) {
    return admission_failure::scheduler_unavailable;
  }
  pending_call call;
  *call.request.mutable_admit_request() = request;
  const std::string key = admission_key(request.request_id(), request.attempt());
  const base::time_point deadline = base::boot_clock::now() + max_wait;
  std::optional<admission_failure> failure;
  {
    std::unique_lock lock(m_mutex);
    m_admissions[key] = &call;
    lock.unlock();
    m_messenger.send(m_settings.scheduler_address(), call.request);
    lock.lock();
    while (!call.decision && !failure) {
      call.replied.wait_for(lock, caller_check_interval);
      if (call.decision) {
        break;
      }
      lock.unlock();
      if (caller.is_closed()) {
        failure = admission_failure::caller_gone;
      } else if (!is_scheduler_alive()) {
        failure = admission_failure::scheduler_unavailable;
      } else if (base::boot_clock::now() > deadline) {
        failure = admission_failure::timed_out;
      }
      lock.lock();
    }
    m_admissions.erase(key);
  }
  if (call.decision) {
    if (call.decision->has_grant()) {
      return admission_granted{call.decision->grant(), call.decision->revision(),
                               call.decided_at_ms, call.scheduler_incarnation};
    }
    return admission_refused{call.decision->refusal()};
  }
  schema::Envelope withdrawal;
  withdrawal.mutable_withdraw_request()->set_request_id(request.request_id());
  m_messenger.send(m_settings.scheduler_address(), withdrawal);
  return *failure;
}

std::optional<schema::ClaimResult> decision_client::claim(const schema::ClaimKey& request,
                                                          base::duration timeout) {
  pending_call call;
  schema::Envelope message;
  *message.mutable_claim_key() = request;
  std::unique_lock lock(m_mutex);
  m_claims[request.attempt_id()] = &call;
  lock.unlock();
  m_messenger.send(m_settings.agent_address(), std::move(message));
  lock.lock();
  call.replied.wait_for(lock, timeout, [&] { return call.claim.has_value(); });
  m_claims.erase(request.attempt_id());
  return call.claim;
}

void decision_client::finish_key(const schema::FinishKey& message) {
  schema::Envelope envelope;
  *envelope.mutable_finish_key() = message;
  m_messenger.send(m_settings.agent_address(), std::move(envelope));
}

void decision_client::report(const schema::AttemptReport& report) {
  {
    const std::lock_guard lock(m_mutex);
    switch (report.phase()) {
      case schema::ATTEMPT_PHASE_DISPATCHED:
      case schema::ATTEMPT_PHASE_FIRST_TOKEN:
        m_running[report.request_id()].report = report;
        break;
      default:
        m_running.erase(report.request_id());
        break;
    }
  }
  schema::Envelope envelope;
  *envelope.mutable_attempt_report() = report;
  m_messenger.send(m_settings.scheduler_address(), std::move(envelope));
}

bool decision_client::report_dispatch(const schema::AttemptReport& report,
                                      std::uint64_t scheduler_incarnation) {
  {
    const std::lock_guard lock(m_mutex);
    if (scheduler_incarnation != m_scheduler_incarnation) {
      return false;
    }
    m_running[report.request_id()].report = report;
  }
  schema::Envelope envelope;
  *envelope.mutable_attempt_report() = report;
  m_messenger.send(m_settings.scheduler_address(), std::move(envelope));
  return true;
}

void decision_client::set_preemption(const std::string& request_id,
                                     std::function<void()> on_preempt) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_running.find(request_id);
  if (found != m_running.end()) {
    found->second.on_preempt = std::move(on_preempt);
  }
}

catalog::catalog_index::pointer decision_client::catalog() const {
  const std::lock_guard lock(m_mutex);
  return m_catalog;
}

bool decision_client::is_scheduler_alive() const {
  const auto last = m_messenger.last_received(m_settings.scheduler_address());
  if (!last) {
    return false;
  }
  const std::lock_guard lock(m_mutex);
  // After a pause of this process the scheduler's messages may still be in the mailbox, so the
  // timeout counts from the time of resuming.
  const base::time_point last_contact = std::max(*last, m_resumed_at);
  return base::boot_clock::now() - last_contact < milliseconds(m_settings.scheduler_timeout_ms());
}

std::size_t decision_client::pending_admissions() const {
  const std::lock_guard lock(m_mutex);
  return m_admissions.size();
}

}  // namespace fuchsiaspring::gateway
