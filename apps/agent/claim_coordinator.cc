#include "apps/agent/claim_coordinator.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::agent {
namespace {

using idempotency::claim_state;
using idempotency::key_time_verdict;

std::uint64_t in_ms(base::duration value) {
  return static_cast<std::uint64_t>(base::to_milliseconds(value));
}

constexpr const char* refusals_metric = "fuchsia_key_refusals_total";
constexpr const char* refusals_help = "Claims of idempotency keys that were refused.";

}  // namespace

claim_coordinator::claim_coordinator(std::string self, const claim_settings& settings,
                                     const membership::view_tracker& view, claim_senders senders,
                                     telemetry::metrics& metrics, base::time_point started,
                                     std::uint64_t started_wall_ms)
    : m_self(std::move(self)),
      m_settings(settings),
      m_view(view),
      m_senders(std::move(senders)),
      m_metrics(metrics),
      m_started_wall_ms(started_wall_ms),
      m_recorder(settings.retention, started, started_wall_ms) {
  for (const char* reason :
       {"key_unconfirmed", "duplicate_key", "key_expired", "key_time_invalid"}) {
    m_metrics.count(refusals_metric, refusals_help, {{"reason", reason}}, 0);
  }
}

void claim_coordinator::refuse_without_round(const schema::ClaimKey& claim,
                                             const std::string& reply_address,
                                             const std::string& reason) {
  m_metrics.count(refusals_metric, refusals_help, {{"reason", reason}});
  schema::Envelope reply;
  reply.mutable_claim_result()->set_request_id(claim.request_id());
  reply.mutable_claim_result()->set_attempt_id(claim.attempt_id());
  reply.mutable_claim_result()->set_reason(reason);
  m_senders.to_gateway(reply_address, std::move(reply));
}

void claim_coordinator::on_claim(const schema::ClaimKey& claim, const std::string& reply_address,
                                 std::uint64_t sent_at_ms, base::time_point now,
                                 std::uint64_t wall_ms) {
  if (const auto completed = m_completed.find(claim.attempt_id()); completed != m_completed.end()) {
    m_senders.to_gateway(reply_address, completed->second.reply);
    return;
  }
  const bool is_late = wall_ms > sent_at_ms + in_ms(m_settings.retention.max_claim_duration);
  if (m_pending.contains(claim.attempt_id()) || is_late || sent_at_ms < m_started_wall_ms) {
    m_metrics.count("fuchsia_late_claims_total", "Claims that came late or repeatedly.");
    return;
  }
  switch (idempotency::check_key_time(claim.key_time_ms(), wall_ms, m_settings.retention)) {
    case key_time_verdict::in_future:
      return refuse_without_round(claim, reply_address, "key_time_invalid");
    case key_time_verdict::expired:
      return refuse_without_round(claim, reply_address, "key_expired");
    case key_time_verdict::acceptable:
      break;
  }
  pending_claim& item = m_pending[claim.attempt_id()];
  item.claim = claim;
  item.reply_address = reply_address;
  item.started = now;
  if (advance_claim(item, now, wall_ms)) {
    m_pending.erase(claim.attempt_id());
  }
}

void claim_coordinator::start_round(pending_claim& item, std::uint64_t version,
                                    base::time_point now) {
  schema::RecordKey request;
  request.set_scope(item.claim.scope());
  request.set_key_digest(item.claim.key_digest());
  request.set_key_time_ms(item.claim.key_time_ms());
  request.set_attempt_id(item.claim.attempt_id());
  request.set_list_version(version);
  std::vector<idempotency::recorder_group> groups;
  for (const schema::VmList* list : m_view.lists_for_claim(item.claim.key_time_ms())) {
    groups.push_back(
        idempotency::choose_recorders(*list, item.claim.scope(), item.claim.key_digest()));
  }
  // The time limits apply to all rounds of a claim together.
  idempotency::claim_limits limits = m_settings.limits;
  limits.timeout -= now - item.started;
  limits.grant_max_age -= now - item.started;
  item.round = std::make_unique<idempotency::claim_round>(request, groups, limits, now);
}

bool claim_coordinator::advance_claim(pending_claim& item, base::time_point now,
                                      std::uint64_t wall_ms) {
  const std::uint64_t version = m_view.acting_version(now, wall_ms);
  if (item.round != nullptr && item.round->request().list_version() != version) {
    item.round->supersede();
  }
  if (item.round == nullptr || item.round->state() == claim_state::superseded) {
    if (now - item.started >= m_settings.limits.timeout) {
      complete_claim(item, now, wall_ms);
      return true;
    }
    if (version == 0) {
      return false;  // a version may become active and confirmed before the timeout
    }
    start_round(item, version, now);
  }
  item.round->advance(now);
  for (const std::string& vm : item.round->take_due_recorders(now)) {
    item.contacted_recorders.insert(vm);
    send_record_request(item, vm, now, wall_ms);
  }
  if (item.round->state() == claim_state::pending ||
      item.round->state() == claim_state::superseded) {
    return false;
  }
  complete_claim(item, now, wall_ms);
  return true;
}

void claim_coordinator::send_record_request(const pending_claim& item, const std::string& vm,
                                            base::time_point now, std::uint64_t wall_ms) {
  if (vm == m_self) {
    item.round->on_reply(m_self, on_record(item.round->request(), now, wall_ms), now);
    return;
  }
  schema::Envelope envelope;
  *envelope.mutable_record_key() = item.round->request();
  m_senders.to_vm(vm, std::move(envelope));
}

void claim_coordinator::complete_claim(pending_claim& item, base::time_point now,
                                       std::uint64_t wall_ms) {
  schema::Envelope envelope;
  schema::ClaimResult& result = *envelope.mutable_claim_result();
  result.set_request_id(item.claim.request_id());
  result.set_attempt_id(item.claim.attempt_id());
  const bool granted = item.round != nullptr && item.round->may_dispatch(now);
  if (granted) {
    m_metrics.count("fuchsia_key_claims_granted_total", "Claims of idempotency keys granted.");
    result.set_granted(true);
    result.set_valid_ms(
        static_cast<std::uint32_t>(base::to_milliseconds(m_settings.grant_validity)));
  } else {
    const bool duplicate = item.round != nullptr && item.round->state() == claim_state::duplicate;
    if (duplicate) {
      result.set_duplicate_state(item.round->holder_state());
      result.set_first_status(item.round->holder_http_status());
    }
    result.set_reason(duplicate ? "duplicate_key" : "key_unconfirmed");
    m_metrics.count(refusals_metric, refusals_help, {{"reason", result.reason()}});
    abandon(item.claim.scope(), item.claim.key_digest(), item.claim.attempt_id(),
            item.contacted_recorders, now, wall_ms);
  }
  m_senders.to_gateway(item.reply_address, envelope);
  // Kept until a repeated claim is dropped as late and a granted one may no longer be dispatched.
  const base::duration retention_time = m_settings.grant_validity +
                                        m_settings.retention.max_claim_duration +
                                        m_settings.retention.clock_error;
  m_completed[item.claim.attempt_id()] = {std::move(envelope), item.contacted_recorders,
                                          now + retention_time};
  m_completed_by_expiry.emplace_back(now + retention_time, item.claim.attempt_id());
}

void claim_coordinator::on_finish(const schema::FinishKey& finished, base::time_point now,
                                  std::uint64_t wall_ms) {
  std::set<std::string> recorders;
  if (const auto pending = m_pending.find(finished.attempt_id()); pending != m_pending.end()) {
    // The gateway gave up the claim before its result.
    recorders = pending->second.contacted_recorders;
    m_pending.erase(pending);
  } else if (const auto completed = m_completed.find(finished.attempt_id());
             completed != m_completed.end()) {
    recorders = completed->second.contacted_recorders;
  } else {
    recorders = recorders_of_all_lists(finished.scope(), finished.key_digest());
  }
  if (finished.state() == schema::KEY_STATE_UNSPECIFIED) {
    abandon(finished.scope(), finished.key_digest(), finished.attempt_id(), recorders, now,
            wall_ms);
    return;
  }
  schema::RecordOutcome outcome;
  outcome.set_scope(finished.scope());
  outcome.set_key_digest(finished.key_digest());
  outcome.set_attempt_id(finished.attempt_id());
  outcome.set_state(finished.state());
  outcome.set_http_status(finished.http_status());
  for (const std::string& vm : recorders) {
    if (vm == m_self) {
      on_outcome(outcome, now, wall_ms);
      continue;
    }
    schema::Envelope envelope;
    *envelope.mutable_record_outcome() = outcome;
    m_senders.to_vm(vm, std::move(envelope));
  }
}

std::set<std::string> claim_coordinator::recorders_of_all_lists(const std::string& scope,
                                                                const std::string& digest) const {
  std::set<std::string> names;
  for (const schema::VmList* list : m_view.lists_above(0)) {
    const auto group = idempotency::choose_recorders(*list, scope, digest);
    names.insert(group.members.begin(), group.members.end());
  }
  return names;
}

void claim_coordinator::abandon(const std::string& scope, const std::string& digest,
                                const std::string& attempt, const std::set<std::string>& recorders,
                                base::time_point now, std::uint64_t wall_ms) {
  schema::AbandonKey request;
  request.set_scope(scope);
  request.set_key_digest(digest);
  request.set_attempt_id(attempt);
  for (const std::string& vm : recorders) {
    if (vm == m_self) {
      on_abandon(request, now, wall_ms);
      continue;
    }
    schema::Envelope envelope;
    *envelope.mutable_abandon_key() = request;
    m_senders.to_vm(vm, std::move(envelope));
  }
}

schema::RecordReply claim_coordinator::on_record(const schema::RecordKey& request,
                                                 base::time_point now, std::uint64_t wall_ms) {
  return m_recorder.record(request, m_view.adopted_version(), now, wall_ms);
}

void claim_coordinator::on_outcome(const schema::RecordOutcome& outcome, base::time_point now,
                                   std::uint64_t wall_ms) {
  m_recorder.finish(outcome, now, wall_ms);
}

void claim_coordinator::on_abandon(const schema::AbandonKey& request, base::time_point now,
                                   std::uint64_t wall_ms) {
  m_recorder.abandon(request, now, wall_ms);
}

void claim_coordinator::on_reply(const std::string& vm, const schema::RecordReply& reply,
                                 base::time_point now, std::uint64_t wall_ms) {
  const auto found = m_pending.find(reply.attempt_id());
  if (found == m_pending.end() || found->second.round == nullptr) {
    m_metrics.count("fuchsia_late_replies_total", "Replies that matched no waiting call.",
                    {{"kind", "record"}});
    return;
  }
  found->second.round->on_reply(vm, reply, now);
  if (advance_claim(found->second, now, wall_ms)) {
    m_pending.erase(found);
  }
}

void claim_coordinator::advance(base::time_point now, std::uint64_t wall_ms) {
  for (auto item = m_pending.begin(); item != m_pending.end();) {
    item = advance_claim(item->second, now, wall_ms) ? m_pending.erase(item) : std::next(item);
  }
  while (!m_completed_by_expiry.empty() && m_completed_by_expiry.front().first <= now) {
    m_completed.erase(m_completed_by_expiry.front().second);
    m_completed_by_expiry.pop_front();
  }
  m_recorder.expire(now, wall_ms);
}

}  // namespace fuchsiaspring::agent
