#include "fuchsiaspring/idempotency/key_recorder.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::idempotency {
namespace {

// Resolution of the calendar of timestamped records: a record is removed at most 1/1000 of the
// window after its expiry.
constexpr std::uint64_t buckets_per_window = 1000;

std::uint64_t in_ms(base::duration value) {
  return static_cast<std::uint64_t>(base::to_milliseconds(value));
}

// Without the length prefix, two pairs of scope and digest could give the same text.
template <typename Request>
std::string record_id(const Request& request) {
  return std::to_string(request.scope().size()) + ':' + request.scope() + request.key_digest();
}

}  // namespace

key_recorder::key_recorder(const retention_rules& rules, base::time_point started,
                           std::uint64_t started_wall_ms)
    : m_rules(rules),
      m_started(started),
      m_started_wall_ms(started_wall_ms),
      m_bucket_ms(std::max<std::uint64_t>(1, in_ms(rules.window) / buckets_per_window)),
      m_wall_ms(started_wall_ms),
      m_first_bucket(started_wall_ms / m_bucket_ms) {}

bool key_recorder::is_within_retention(std::uint64_t key_time_ms) const {
  const std::uint64_t tolerance = 2 * in_ms(m_rules.clock_error);
  return key_time_ms + in_ms(m_rules.window) + tolerance >= m_wall_ms &&
         key_time_ms <= m_wall_ms + tolerance;
}

bool key_recorder::may_have_lost_record(const schema::RecordKey& request,
                                        base::time_point now) const {
  // The recorder never confirms a timestamped key that is not newer than its start: because of
  // clock errors the key may still be acceptable when the window after the start has passed.
  if (request.key_time_ms() != 0) {
    return request.key_time_ms() <= m_started_wall_ms + in_ms(m_rules.clock_error);
  }
  // A claim may start up to `max_claim_duration` before its request arrives here.
  return now - m_started < m_rules.window + m_rules.max_claim_duration;
}

void key_recorder::fill_duplicate(const entry& found, base::time_point now,
                                  schema::RecordReply& reply) const {
  const bool open = found.state == schema::KEY_STATE_RECORDED;
  const bool overdue = open && now - found.recorded_at > m_rules.open_record_limit;
  reply.set_verdict(schema::RECORD_VERDICT_DUPLICATE);
  reply.set_state(overdue ? schema::KEY_STATE_UNKNOWN : found.state);
  reply.set_http_status(found.http_status);
}

void key_recorder::reply_to_existing(const schema::RecordKey& request, const entry& found,
                                     base::time_point now, schema::RecordReply& reply) {
  if (found.attempt_id != request.attempt_id() || found.state != schema::KEY_STATE_RECORDED) {
    ++m_counts.duplicates;
    fill_duplicate(found, now, reply);
    return;
  }
  // A repeated request of the same attempt.
  reply.set_verdict(may_have_lost_record(request, now) ? schema::RECORD_VERDICT_ABSTAIN
                                                       : schema::RECORD_VERDICT_RECORDED);
}

schema::RecordReply key_recorder::record(const schema::RecordKey& request,
                                         std::uint64_t adopted_version, base::time_point now,
                                         std::uint64_t wall_ms) {
  expire(now, wall_ms);
  schema::RecordReply reply;
  reply.set_key_digest(request.key_digest());
  reply.set_attempt_id(request.attempt_id());
  reply.set_list_version(adopted_version);
  reply.set_verdict(schema::RECORD_VERDICT_ABSTAIN);
  if (adopted_version == 0) {
    reply.set_verdict(schema::RECORD_VERDICT_NOT_ACTIVE);
    return reply;
  }
  if (request.list_version() != adopted_version) {
    ++m_counts.other_version;
    reply.set_verdict(schema::RECORD_VERDICT_OTHER_VERSION);
    return reply;
  }
  const std::string id = record_id(request);
  if (const auto found = m_records.find(id); found != m_records.end()) {
    reply_to_existing(request, found->second, now, reply);
    return reply;
  }
  if (request.key_time_ms() != 0 && !is_within_retention(request.key_time_ms())) {
    ++m_counts.abstained_key_time;
    return reply;
  }
  if (m_abandoned_attempts.contains(request.attempt_id())) {
    ++m_counts.abstained_abandoned;
    return reply;
  }
  if (m_scheduled >= m_rules.max_records) {
    ++m_counts.abstained_full;
    return reply;
  }
  m_records.emplace(id, entry{request.attempt_id(), schema::KEY_STATE_RECORDED, 0, now});
  schedule_expiry(request, id, now);
  if (may_have_lost_record(request, now)) {
    ++m_counts.abstained_after_start;
    return reply;
  }
  ++m_counts.recorded;
  reply.set_verdict(schema::RECORD_VERDICT_RECORDED);
  return reply;
}

void key_recorder::schedule_expiry(const schema::RecordKey& request, const std::string& id,
                                   base::time_point now) {
  ++m_scheduled;
  if (request.key_time_ms() == 0) {
    m_opaque_expiries.push_back(
        {now + m_rules.window + m_rules.max_claim_duration, id, request.attempt_id()});
    return;
  }
  const std::uint64_t end =
      request.key_time_ms() + in_ms(m_rules.window) + 2 * in_ms(m_rules.clock_error);
  const std::uint64_t bucket = std::max(end / m_bucket_ms + 1, m_first_bucket);
  const std::size_t index = bucket - m_first_bucket;
  if (index >= m_calendar.size()) {
    m_calendar.resize(index + 1);
  }
  m_calendar[index].emplace_back(id, request.attempt_id());
}

void key_recorder::finish(const schema::RecordOutcome& outcome, base::time_point now,
                          std::uint64_t wall_ms) {
  expire(now, wall_ms);
  const auto found = m_records.find(record_id(outcome));
  if (found == m_records.end() || found->second.attempt_id != outcome.attempt_id() ||
      found->second.state != schema::KEY_STATE_RECORDED) {
    return;
  }
  if (outcome.state() != schema::KEY_STATE_FINISHED &&
      outcome.state() != schema::KEY_STATE_UNKNOWN) {
    return;
  }
  found->second.state = outcome.state();
  found->second.http_status = outcome.http_status();
}

void key_recorder::abandon(const schema::AbandonKey& request, base::time_point now,
                           std::uint64_t wall_ms) {
  expire(now, wall_ms);
  const std::string id = record_id(request);
  if (const auto found = m_records.find(id);
      found != m_records.end() && found->second.attempt_id == request.attempt_id()) {
    if (found->second.state != schema::KEY_STATE_RECORDED) {
      return;  // an attempt with an outcome was dispatched
    }
    m_records.erase(found);
  }
  if (m_abandoned_attempts.size() >= m_rules.max_records) {
    return;
  }
  const base::time_point end = now + 2 * m_rules.max_claim_duration;
  if (m_abandoned_attempts.emplace(request.attempt_id(), end).second) {
    m_abandoned_expiries.push_back({end, id, request.attempt_id()});
  }
}

void key_recorder::remove(const std::string& id, const std::string& attempt_id) {
  const auto found = m_records.find(id);
  if (found != m_records.end() && found->second.attempt_id == attempt_id) {
    m_records.erase(found);
  }
}

void key_recorder::expire(base::time_point now, std::uint64_t wall_ms) {
  m_wall_ms = std::max(m_wall_ms, wall_ms);
  while (!m_opaque_expiries.empty() && m_opaque_expiries.front().at <= now) {
    remove(m_opaque_expiries.front().id, m_opaque_expiries.front().attempt_id);
    m_opaque_expiries.pop_front();
    --m_scheduled;
  }
  while (!m_abandoned_expiries.empty() && m_abandoned_expiries.front().at <= now) {
    m_abandoned_attempts.erase(m_abandoned_expiries.front().attempt_id);
    m_abandoned_expiries.pop_front();
  }
  const std::uint64_t current_bucket = m_wall_ms / m_bucket_ms;
  while (m_first_bucket < current_bucket && !m_calendar.empty()) {
    for (const auto& [id, attempt_id] : m_calendar.front()) {
      remove(id, attempt_id);
    }
    m_scheduled -= m_calendar.front().size();
    m_calendar.pop_front();
    ++m_first_bucket;
  }
  m_first_bucket = std::max(m_first_bucket, current_bucket);
}

}  // namespace fuchsiaspring::idempotency
