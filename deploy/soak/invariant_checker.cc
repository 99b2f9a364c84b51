#include "deploy/soak/invariant_checker.h"

namespace fuchsiaspring::soak {
namespace {

// A node may not yet have read a request that was sent less than this before its SIGTERM.
constexpr std::chrono::milliseconds read_allowance{200};

// Requests that are on their way when a replica asks for a pause, and those that may test it.
constexpr std::chrono::milliseconds retry_after_allowance{500};
constexpr int max_arrivals_before_retry = 2;

// Statuses that guarantee that the request has not run and will not run.
bool is_refusal(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

std::string stream_events(const std::string& id, int last_event_id, int count) {
  std::string events;
  for (int number = last_event_id + 1; number <= last_event_id + count; ++number) {
    events += "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
  }
  return events;
}

std::string response_body(const std::string& id) {
  return "answer to " + id;
}

void invariant_checker::on_sent(const sent_request& request) {
  m_records[request.id].request = request;
}

void invariant_checker::on_run(const std::string& id, const observed_run& run) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    m_violations.push_back({"only requests of callers run", id, "unknown id at " + run.replica});
    return;
  }
  record& entry = found->second;
  entry.runs.push_back(run);
  entry.states_leaving = false;
  if (run.team != entry.request.team || run.has_key) {
    report("replicas receive the team and never the key", entry,
           "team " + run.team + (run.has_key ? " with key" : ""));
  }
  if (entry.request.kind == request_kind::unsafe && entry.runs.size() > 1) {
    report("non-idempotent requests run at most once", entry, "run again at " + run.replica);
  }
  if (entry.response && is_refusal(entry.response->status) &&
      entry.request.kind == request_kind::unsafe) {
    report("refused requests never run", entry, "ran after its refusal at " + run.replica);
  }
  // Only the latest revocation counts: a key that has been granted again may be used.
  const auto revoked = m_revoked.find(entry.request.key);
  if (revoked != m_revoked.end() && entry.request.sent > revoked->second + m_bounds.revocation) {
    report("revoked keys are refused within the bound", entry, "ran at " + run.replica);
  }
}

void invariant_checker::on_stream_begun(const std::string& id, const std::string& replica) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    return;
  }
  for (observed_run& each : found->second.runs) {
    each.has_begun = each.has_begun || each.replica == replica;
  }
}

void invariant_checker::on_arrival(const std::string& id, const std::string& incarnation,
                                   clock::time_point now) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    return;  // on_run() reports it
  }
  check_leaving(found->second, incarnation, now);
  check_retry_after(found->second, incarnation, now);
}

void invariant_checker::check_leaving(const record& entry, const std::string& incarnation,
                                      clock::time_point now) {
  const auto known = m_leaving_known.find({entry.request.node, incarnation});
  if (known != m_leaving_known.end() && entry.request.sent > known->second + m_bounds.drain) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known->second);
    report("leaving replicas get no requests after the drain bound", entry,
           "at " + incarnation + " " + std::to_string(age.count()) + " ms after its statement");
  }
}

void invariant_checker::check_retry_after(const record& entry, const std::string& incarnation,
                                          clock::time_point now) {
  std::erase_if(m_retry_after_windows, [now](const retry_after_window& each) {
    return now > each.refusal.at + each.refusal.retry_after;
  });
  for (retry_after_window& each : m_retry_after_windows) {
    const observed_refusal& refusal = each.refusal;
    const bool is_meant = each.node == entry.request.node && refusal.incarnation == incarnation &&
                          now > refusal.at + retry_after_allowance;
    if (!is_meant || m_replica_disturbances.overlaps(refusal.replica, refusal.at, now)) {
      continue;
    }
    if (++each.arrivals == max_arrivals_before_retry + 1) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - refusal.at);
      report("replicas get two requests at most before the end of Retry-After", entry,
             "at " + incarnation + " " + std::to_string(age.count()) + " ms after Retry-After of " +
                 std::to_string(refusal.retry_after.count()) + " ms");
    }
  }
}

void invariant_checker::on_turned_away(const std::string& id, const observed_refusal& refusal) {
  const auto found = m_records.find(id);
  if (found != m_records.end()) {
    m_retry_after_windows.push_back({.node = found->second.request.node, .refusal = refusal});
  }
}

void invariant_checker::on_leaving_stated(const std::string& id, const std::string& incarnation) {
  const auto found = m_records.find(id);
  if (found == m_records.end() || found->second.runs.empty()) {
    return;
  }
  // The node may have sent the request to another replica meanwhile.
  if (found->second.runs.back().incarnation == incarnation) {
    found->second.states_leaving = true;
  }
}

void invariant_checker::forget_statements_to(std::size_t node) {
  std::erase_if(m_leaving_known, [node](const auto& each) { return each.first.first == node; });
  std::erase_if(m_retry_after_windows,
                [node](const retry_after_window& each) { return each.node == node; });
}

void invariant_checker::on_run_disturbed(const std::string& id, const std::string& replica) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    return;
  }
  for (observed_run& each : found->second.runs) {
    each.end = each.replica == replica ? run_end::incomplete : each.end;
  }
}

void invariant_checker::on_response(const std::string& id, const observed_response& response,
                                    clock::time_point now) {
  record& entry = m_records.at(id);
  entry.response = response;
  if (response.status >= 200 && response.status < 300) {
    check_success(entry);
  }
  if (is_refusal(response.status)) {
    check_refusal(entry);
  }
  const bool is_late =
      now > entry.request.sent + timeout_of(entry).longest + m_bounds.response_slack;
  if (is_late && response.status != 0 && !entry.is_late_reported &&
      !has_waived_time_bounds(entry)) {
    report("every request gets a response in time", entry, "late response");
  }
  if (entry.states_leaving && response.is_complete && response.is_signed) {
    m_leaving_known.try_emplace({entry.request.node, entry.runs.back().incarnation}, now);
  }
  if (!response.has_caller_left && (response.status == 0 || !response.is_complete)) {
    check_graceful_stop(entry, now);
    check_stream_goes_on(entry, now);
  }
}

// Called for a request whose connection ended without a complete response.
void invariant_checker::check_graceful_stop(const record& entry, clock::time_point now) {
  if (!entry.graceful_stop_end) {
    return;
  }
  const bool is_cut_by_replica =
      !entry.runs.empty() &&
      m_replica_disturbances.overlaps(entry.runs.back().replica, entry.runs.back().at, now);
  // Only a stream can last into the end of the grace period, and only a stream that has begun
  // cannot be answered with an error.
  const bool may_be_broken_off = entry.request.kind == request_kind::stream &&
                                 (now >= *entry.graceful_stop_end || is_cut_by_replica ||
                                  now >= entry.request.sent + timeout_of(entry).shortest);
  const bool sends_full_response =
      entry.runs.empty() || entry.runs.back().end != run_end::incomplete;
  if (sends_full_response && !may_be_broken_off) {
    report("graceful shutdown completes every request", entry, "connection closed early");
  }
}

// Called for a request whose connection ended without a complete response.
void invariant_checker::check_stream_goes_on(const record& entry, clock::time_point now) {
  const clock::time_point sent = entry.request.sent;
  if (entry.request.kind != request_kind::stream || now >= sent + timeout_of(entry).shortest) {
    return;
  }
  const bool is_driver_stalled = m_driver_stalled_at && *m_driver_stalled_at >= sent;
  if (is_driver_stalled ||
      m_node_disturbances.overlaps(std::to_string(entry.request.node), sent, now)) {
    return;
  }
  for (const observed_run& each : entry.runs) {
    const bool is_sound = each.has_begun && each.end == run_end::success &&
                          !m_replica_disturbances.overlaps(each.replica, each.at, now);
    if (is_sound) {
      report("streams that a replica goes on with are completed", entry,
             each.replica + " was sound, " + std::to_string(entry.response->body.size()) +
                 " bytes received");
      return;
    }
  }
}

void invariant_checker::check_success(const record& entry) {
  if (!entry.response->is_complete) {
    return;  // the caller can tell that the response is incomplete
  }
  ++m_served;
  if (!entry.response->is_signed) {
    report("success responses carry a replica's signature", entry, "no signature");
  }
  if (entry.runs.empty()) {
    report("success responses come from a replica", entry, "no execution observed");
  }
  const std::string expected = entry.request.kind == request_kind::stream
                                   ? stream_events(entry.request.id, 0, events_per_stream)
                                   : response_body(entry.request.id);
  if (entry.response->body != expected) {
    report("success responses are complete and belong to their request", entry,
           entry.response->body);
  }
}

void invariant_checker::check_refusal(const record& entry) {
  if (entry.request.kind == request_kind::unsafe && !entry.runs.empty()) {
    report("refused requests have not run", entry,
           "status " + std::to_string(entry.response->status));
  }
}

timeout_range invariant_checker::timeout_of(const record& entry) const {
  return entry.request.kind == request_kind::stream ? m_bounds.stream_timeout
                                                    : m_bounds.response_timeout;
}

bool invariant_checker::has_waived_time_bounds(const record& entry) const {
  const auto waived = m_waived_until.find(entry.request.node);
  return (waived != m_waived_until.end() && waived->second >= entry.request.sent) ||
         (m_driver_stalled_at && *m_driver_stalled_at >= entry.request.sent);
}

void invariant_checker::check_deadlines(clock::time_point now) {
  for (auto& [id, entry] : m_records) {
    const bool is_open = !entry.response && !entry.is_late_reported;
    if (!is_open ||
        now < entry.request.sent + timeout_of(entry).longest + m_bounds.response_slack) {
      continue;
    }
    entry.is_late_reported = true;
    if (!has_waived_time_bounds(entry)) {
      report("every request gets a response in time", entry, "no response");
    }
  }
}

void invariant_checker::on_graceful_stop(std::size_t node, clock::time_point now,
                                         clock::time_point last_moment) {
  for (auto& [id, entry] : m_records) {
    const bool is_read = !entry.runs.empty() || now - entry.request.sent > read_allowance;
    if (entry.request.node == node && !entry.response && is_read) {
      entry.graceful_stop_end = last_moment;
    }
  }
}

void invariant_checker::report(const std::string& invariant, const record& entry,
                               const std::string& detail) {
  m_violations.push_back({invariant, entry.request.id, detail});
}

}  // namespace fuchsiaspring::soak
