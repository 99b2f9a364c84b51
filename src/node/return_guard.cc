#include "fuchsiaspring/node/return_guard.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::node {

void return_guard::begin_outage(const published_state& held, base::time_point now) {
  m_replicas_until = now + replica_write_time;
  m_unlisted_replicas.clear();
  for (const placement::replica& each : held.replicas) {
    m_unlisted_replicas.insert(each.id);
  }
}

void return_guard::begin_return(const published_state& held, base::time_point now) {
  begin_outage(held, now);
  m_returned_at = now;
  m_evacuations_until = now + operator_write_time;
  m_unlisted_evacuations.clear();
  m_unlisted_evacuations.insert(held.evacuated_domains.begin(), held.evacuated_domains.end());
}

void return_guard::correct(published_state& read, const published_state& held,
                           base::time_point now) {
  m_corrections = {};
  std::map<std::string_view, const placement::replica*> held_by_id;
  for (const placement::replica& each : held.replicas) {
    held_by_id.emplace(each.id, &each);
  }
  for (placement::replica& each : std::exchange(read.replicas, {})) {
    const auto before = held_by_id.find(each.id);
    if (!check_entry(each, before == held_by_id.end() ? nullptr : before->second, now)) {
      continue;
    }
    m_unlisted_replicas.erase(each.id);
    held_by_id.erase(each.id);
    read.replicas.push_back(std::move(each));
  }
  for (const auto& [id, missing] : held_by_id) {
    if (!is_holding(now) || !m_unlisted_replicas.contains(id)) {
      record_gone(*missing, now);
      continue;
    }
    read.replicas.push_back(*missing);
    ++m_corrections.kept_replicas;
  }
  for (const placement::replica& each : read.replicas) {
    if (each.is_draining) {
      record_draining(each, now);
    }
  }
  // An entry that has expired and is listed again was written by its replica.
  for (auto& [id, departed] : m_departures) {
    if (departed.seen_at != now) {
      departed.contradicted_at.reset();
    }
  }
  correct_evacuations(read, now);
  forget_old_departures(now);
}

bool return_guard::check_entry(placement::replica& entry, const placement::replica* held,
                               base::time_point now) {
  const bool is_after_return = m_returned_at && now < *m_returned_at + replica_write_time;
  if (is_after_return && held != nullptr && entry.started_at_ms != 0 &&
      entry.started_at_ms < held->started_at_ms) {
    // The copy lists an incarnation that has been replaced since.
    m_departures[entry.id] = {.started_at_ms = entry.started_at_ms,
                              .has_drained = true,
                              .is_gone = true,
                              .seen_at = now,
                              .contradicted_at = now};
    ++m_corrections.departed_replicas;
    return false;
  }
  const auto known = m_departures.find(entry.id);
  if (known == m_departures.end()) {
    return true;
  }
  departure& departed = known->second;
  // What was seen of the new era is no part of the copy.
  if (is_after_return && departed.seen_at < *m_returned_at && !departed.contradicted_at) {
    departed.contradicted_at = now;
  }
  const bool is_other_start = entry.started_at_ms > departed.started_at_ms;
  const bool may_run = !departed.has_drained || entry.started_at_ms == 0;
  const bool has_outlived_expiry =
      departed.contradicted_at && may_run && now - *departed.contradicted_at > expiry_time;
  if (is_other_start || has_outlived_expiry || (!departed.contradicted_at && !entry.is_draining)) {
    m_departures.erase(known);
    return true;
  }
  if (entry.is_draining) {
    departed.contradicted_at.reset();
    return true;
  }
  departed.seen_at = now;
  ++m_corrections.departed_replicas;
  entry.is_draining = true;
  return !departed.is_gone;
}

void return_guard::record_gone(const placement::replica& entry, base::time_point now) {
  departure& departed = m_departures[entry.id];
  // The copy lists an earlier incarnation; this one may write again, late.
  if (departed.contradicted_at && departed.started_at_ms < entry.started_at_ms) {
    return;
  }
  departed.started_at_ms = entry.started_at_ms;
  departed.has_drained = departed.has_drained || entry.is_draining;
  departed.is_gone = true;
  departed.seen_at = now;
}

void return_guard::record_draining(const placement::replica& entry, base::time_point now) {
  departure& departed = m_departures[entry.id];
  if (departed.started_at_ms != entry.started_at_ms) {
    departed = {.started_at_ms = entry.started_at_ms};
  }
  departed.has_drained = true;
  departed.is_gone = departed.is_gone && departed.contradicted_at;
  departed.seen_at = now;
}

void return_guard::correct_evacuations(published_state& read, base::time_point now) {
  for (const std::string& domain : read.evacuated_domains) {
    m_unlisted_evacuations.erase(domain);
  }
  if (now >= m_evacuations_until) {
    m_unlisted_evacuations.clear();
  }
  read.evacuated_domains.insert(m_unlisted_evacuations.begin(), m_unlisted_evacuations.end());
  m_corrections.kept_evacuations = m_unlisted_evacuations.size();
}

void return_guard::forget_old_departures(base::time_point now) {
  std::erase_if(m_departures,
                [&](const auto& each) { return now - each.second.seen_at > departure_memory; });
  while (m_departures.size() > max_departures) {
    m_departures.erase(std::min_element(
        m_departures.begin(), m_departures.end(),
        [](const auto& a, const auto& b) { return a.second.seen_at < b.second.seen_at; }));
  }
}

}  // namespace fuchsiaspring::node
