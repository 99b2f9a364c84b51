#include "deploy/soak/promises.h"

namespace fuchsiaspring::soak {
namespace {

// A request this young may not have been read when its node is told to stop, unless it runs.
constexpr std::chrono::milliseconds reading_time{200};

// Statuses by which the node says that the request has not run and never will.
bool is_refusal(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

std::string stream_events(const std::string& id, int after, int count) {
  std::string events;
  for (int number = after + 1; number <= after + count; ++number) {
    events += "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
  }
  return events;
}

std::string answer_body(const std::string& id) {
  return "answer to " + id;
}

void promises::on_sent(const sent_request& request) {
  m_records[request.id].request = request;
}

void promises::on_run(const std::string& id, const seen_run& run) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    m_violations.push_back({"only requests of callers run", id, "at " + run.replica});
    return;
  }
  record& on = found->second;
  on.runs.push_back(run);
  if (run.team != on.request.team || run.has_key) {
    report("replicas learn the team and never the key", on, "team " + run.team);
  }
  if (on.request.kind == request_kind::once && on.runs.size() > 1) {
    report("requests that are not idempotent run once", on, "again at " + run.replica);
  }
  if (on.answer && is_refusal(on.answer->status) && on.request.kind == request_kind::once) {
    report("refused requests never run", on, "ran after its refusal");
  }
  // The last revocation counts: a key that was granted again meanwhile may be used.
  const auto revoked = m_revoked.find(on.request.key);
  if (revoked != m_revoked.end() && on.request.sent > revoked->second + m_bounds.revocation) {
    report("revoked keys are refused in time", on, "ran at " + run.replica);
  }
}

void promises::on_answer(const std::string& id, const seen_answer& answer, clock::time_point now) {
  record& on = m_records.at(id);
  on.answer = answer;
  if (answer.status >= 200 && answer.status < 300) {
    check_success(on);
  }
  if (is_refusal(answer.status)) {
    check_refusal(on);
  }
  const bool is_late = now > on.request.sent + m_bounds.timeout + m_bounds.answer_slack;
  if (is_late && answer.status != 0 && !on.is_late_reported && !is_disturbed_since(on)) {
    report("every request is answered in time", on, "late");
  }
  const bool is_lost = answer.status == 0 || !answer.is_complete;
  const bool is_sound = on.runs.empty() || on.runs.back().is_sound;
  if (on.is_in_planned_stop && is_lost && is_sound) {
    report("planned stops lose nothing", on, "connection ended");
  }
}

void promises::check_success(const record& on) {
  if (!on.answer->is_complete) {
    return;  // seen as broken by its caller
  }
  ++m_served;
  if (!on.answer->is_signed) {
    report("successes are vouched for by a replica", on, "no signature");
  }
  if (on.runs.empty()) {
    report("successes come from a replica", on, "no run was seen");
  }
  const std::string expected = on.request.kind == request_kind::stream
                                   ? stream_events(on.request.id, 0, events_per_stream)
                                   : answer_body(on.request.id);
  if (on.answer->body != expected) {
    report("answers are whole and belong to their request", on, on.answer->body);
  }
}

void promises::check_refusal(const record& on) {
  if (on.request.kind == request_kind::once && !on.runs.empty()) {
    report("refused requests have not run", on, std::to_string(on.answer->status));
  }
}

bool promises::is_disturbed_since(const record& on) const {
  const auto disturbed = m_disturbed.find(on.request.node);
  return (disturbed != m_disturbed.end() && disturbed->second >= on.request.sent) ||
         (m_held_up && *m_held_up >= on.request.sent);
}

void promises::check_times(clock::time_point now) {
  for (auto& [id, on] : m_records) {
    const bool is_open = !on.answer && !on.is_late_reported;
    if (!is_open || now < on.request.sent + m_bounds.timeout + m_bounds.answer_slack) {
      continue;
    }
    on.is_late_reported = true;
    if (!is_disturbed_since(on)) {
      report("every request is answered in time", on, "no answer");
    }
  }
}

void promises::on_planned_stop(std::size_t node, clock::time_point now) {
  for (auto& [id, on] : m_records) {
    const bool is_read = !on.runs.empty() || now - on.request.sent > reading_time;
    if (on.request.node == node && !on.answer && is_read) {
      on.is_in_planned_stop = true;
    }
  }
}

void promises::report(const std::string& promise, const record& on, const std::string& detail) {
  m_violations.push_back({promise, on.request.id, detail});
}

}  // namespace fuchsiaspring::soak
