#include "fuchsiaspring/node/return_guard.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::node {
namespace {

bool is_older_era(const store_version& version, const store_version& than) {
  return version.era && than.era && *version.era < *than.era;
}

}  // namespace

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

void return_guard::learn(const held_state& told, published_state& state, base::time_point now) {
  learn_departures(told, state, now);
  const bool is_from_before_return = is_older_era(told.version, state.version);
  for (const held_evacuation& each : told.evacuations) {
    if (!each.remaining && !is_from_before_return) {
      continue;  // listed, which this node has read as well
    }
    if (!state.evacuated_domains.insert(each.failure_domain).second) {
      continue;
    }
    const base::duration remaining =
        std::min(each.remaining.value_or(operator_write_time), operator_write_time);
    m_unlisted_evacuations.insert(each.failure_domain);
    m_evacuations_until = std::max(m_evacuations_until, now + remaining);
  }
  m_corrections.kept_evacuations = m_unlisted_evacuations.size();
}

void return_guard::learn_departures(const held_state& told, published_state& state,
                                    base::time_point now) {
  const bool is_from_before_return = is_older_era(told.version, state.version);
  std::set<std::string_view> learned;
  for (const held_departure& each : told.departures) {
    if (!each.is_contradicted && !is_from_before_return) {
      continue;  // a replica that is listed has come back since
    }
    const departure departed{.started_at_ms = each.started_at_ms,
                             .has_drained = each.has_drained,
                             .is_gone = each.is_gone,
                             .seen_at = now - each.age,
                             .contradicted_at = now};
    if (m_departures.try_emplace(each.replica, departed).second) {
      learned.insert(each.replica);
    }
  }
  for (placement::replica& each : std::exchange(state.replicas, {})) {
    if (!learned.contains(each.id) || check_entry(each, nullptr, now)) {
      state.replicas.push_back(std::move(each));
    }
  }
  forget_old_departures(now);
}

std::vector<held_departure> return_guard::departures(base::time_point now) const {
  std::vector<held_departure> told;
  for (const auto& [id, each] : m_departures) {
    const base::duration age = now - each.seen_at;
    if (!each.contradicted_at && age > told_departure_age) {
      continue;
    }
    told.push_back({.replica = id,
                    .started_at_ms = each.started_at_ms,
                    .has_drained = each.has_drained,
                    .is_gone = each.is_gone,
                    .age = age,
                    .is_contradicted = each.contradicted_at.has_value()});
  }
  return told;
}

std::vector<held_evacuation> return_guard::evacuations(const published_state& state,
                                                       base::time_point now) const {
  std::vector<held_evacuation> told;
  for (const std::string& domain : state.evacuated_domains) {
    const bool is_unlisted = m_unlisted_evacuations.contains(domain);
    told.push_back(
        {.failure_domain = domain,
         .remaining = is_unlisted ? std::optional(m_evacuations_until - now) : std::nullopt});
  }
  return told;
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
