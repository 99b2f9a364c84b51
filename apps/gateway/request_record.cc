#include "apps/gateway/request_record.h"

#include <utility>

namespace fuchsiaspring::gateway {

request_record::request_record(const request_services& services, std::string request_id,
                               caller_request request)
    : m_services(services),
      m_id(std::move(request_id)),
      m_request(std::move(request)),
      m_arrived_at(base::boot_clock::now()) {}

request_record::~request_record() {
  if (!m_attempt_open) {
    return;
  }
  const bool sent = m_sent_in_attempt;
  on_failed("caller_gone", sent);
  finish_claim(schema::KEY_STATE_UNKNOWN, 0);
}

telemetry::labels request_record::class_labels() const {
  return {{"class", m_request.route.request_class->name()},
          {"tier", m_request.route.request_class->tier()}};
}

void request_record::begin_attempt(const admission_granted& granted) {
  m_grant = granted.grant;
  m_scheduler_incarnation = granted.scheduler_incarnation;
  m_attempt_open = true;
  m_sent_in_attempt = false;
  m_dispatched_at = {};
  log_decision("granted " + granted.grant.upstream() + " by revision " +
               std::to_string(granted.revision));
}

schema::AttemptReport request_record::make_report(schema::AttemptPhase phase,
                                                  const std::string& reason) const {
  schema::AttemptReport report;
  report.set_request_id(m_id);
  report.set_grant_id(m_grant.grant_id());
  report.set_upstream(m_grant.upstream());
  report.set_phase(phase);
  if (m_dispatched_at != base::time_point{}) {
    report.set_elapsed_ms(static_cast<std::uint32_t>(
        base::to_milliseconds(base::boot_clock::now() - m_dispatched_at)));
  }
  report.set_tokens(m_tokens);
  report.set_sent_to_upstream(m_sent_in_attempt);
  report.set_sent_to_caller(m_tokens > 0);
  report.set_reason(reason);
  report.set_pool(m_request.route.pool->name());
  report.set_request_class(m_request.route.request_class->name());
  report.set_team(m_request.route.team->name());
  report.set_in_time(is_in_time());
  return report;
}

void request_record::report(schema::AttemptPhase phase, const std::string& reason) {
  m_services.client.report(make_report(phase, reason));
}

bool request_record::on_dispatched() {
  if (!m_services.client.report_dispatch(make_report(schema::ATTEMPT_PHASE_DISPATCHED, ""),
                                         m_scheduler_incarnation)) {
    return false;
  }
  m_sent_in_attempt = true;
  m_dispatched_at = base::boot_clock::now();
  m_services.client.set_preemption(m_id, m_on_preempt);
  return true;
}

void request_record::set_preemption(std::function<void()> on_preempt) {
  m_on_preempt = std::move(on_preempt);
}

void request_record::clear_preemption() {
  m_on_preempt = nullptr;
  m_services.client.set_preemption(m_id, nullptr);
}

void request_record::on_token() {
  const base::time_point now = base::boot_clock::now();
  m_last_token_at = now;
  if (++m_tokens > 1) {
    return;
  }
  m_first_token_at = now;
  m_services.metrics.observe_seconds("fuchsia_first_token_seconds",
                                     "Time from arrival to the first token.", class_labels(),
                                     base::to_seconds(now - m_arrived_at));
  report(schema::ATTEMPT_PHASE_FIRST_TOKEN, "");
}

bool request_record::is_in_time() const {
  const schema::ServiceLevel& level = *m_request.route.service_level;
  const base::time_point first_output_at =
      m_tokens > 0 ? m_first_token_at : base::boot_clock::now();
  if (level.first_token_ms() > 0 &&
      first_output_at - m_arrived_at > std::chrono::milliseconds(level.first_token_ms())) {
    return false;
  }
  if (level.between_tokens_ms() == 0 || m_tokens < 2) {
    return true;
  }
  const auto average = (m_last_token_at - m_first_token_at) / (m_tokens - 1);
  return average <= std::chrono::milliseconds(level.between_tokens_ms());
}

void request_record::count_attainment(bool met) {
  auto labels = class_labels();
  labels["met"] = met ? "yes" : "no";
  m_services.metrics.count("fuchsia_service_level_total",
                           "Requests that did or did not meet their service level.", labels);
}

void request_record::on_finished(int http_status) {
  m_attempt_open = false;
  report(schema::ATTEMPT_PHASE_FINISHED, "");
  count_attainment(is_in_time());
  auto labels = class_labels();
  m_services.metrics.observe_seconds("fuchsia_request_seconds", "Time of whole requests.", labels,
                                     base::to_seconds(age()));
  m_services.metrics.count("fuchsia_tokens_total", "Tokens relayed.", labels, m_tokens);
  labels["status"] = std::to_string(http_status);
  m_services.metrics.count("fuchsia_requests_total", "Requests answered by an upstream.", labels);
  finish_claim(schema::KEY_STATE_FINISHED, http_status);
  log_decision("finished with status " + std::to_string(http_status));
}

void request_record::on_failed(const std::string& reason, bool sent) {
  m_attempt_open = false;
  m_sent_in_attempt = sent;
  const bool is_cancelled = reason == "caller_gone" || reason == "preempted";
  report(is_cancelled ? schema::ATTEMPT_PHASE_CANCELLED : schema::ATTEMPT_PHASE_FAILED, reason);
  m_services.metrics.count("fuchsia_attempts_failed_total", "Attempts that failed at an upstream.",
                           {{"reason", reason}});
  if (m_tokens > 0) {
    m_services.metrics.count("fuchsia_wasted_tokens_total",
                             "Tokens of answers that were not delivered whole.",
                             {{"reason", reason}}, m_tokens);
    count_attainment(false);
  }
  log_decision("attempt at " + m_grant.upstream() + " failed: " + reason);
}

void request_record::on_refused(const refusal& refused) {
  m_services.metrics.count("fuchsia_refusals_total", "Refused requests by reason.",
                           {{"reason", refused.reason}});
  count_attainment(false);
  log_decision("refused: " + refused.reason +
               (refused.executed == execution::no ? ", executed no" : ", executed unknown"));
  if (has_claim()) {
    const bool not_executed = refused.executed == execution::no;
    finish_claim(not_executed ? schema::KEY_STATE_UNSPECIFIED : schema::KEY_STATE_UNKNOWN,
                 refused.status);
  }
}

void request_record::on_retry(const std::string& reason) {
  m_services.metrics.count("fuchsia_retries_total", "Retries by reason.", {{"reason", reason}});
  log_decision("retry: " + reason);
}

void request_record::finish_claim(schema::KeyState state, int http_status) {
  if (!has_claim()) {
    return;
  }
  schema::FinishKey message;
  message.set_scope(m_claim.scope());
  message.set_key_digest(m_claim.key_digest());
  message.set_attempt_id(m_claim.attempt_id());
  message.set_state(state);
  message.set_http_status(static_cast<std::uint32_t>(http_status));
  m_services.client.finish_key(message);
  m_claim.Clear();
}

}  // namespace fuchsiaspring::gateway
