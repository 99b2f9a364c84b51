#include "admission/class_queue.h"

#include <algorithm>

namespace fuchsiaspring::admission::internal {

void class_queue::insert_backlogged(std::uint32_t team, team_queue& queue) {
  m_by_start.emplace(std::pair(queue.start, team), &queue);
  m_by_length.emplace(queue.requests.size(), team);
  if (queue.guarantee != nullptr) {
    queue.ready_key = queue.guarantee->ready_at();
    m_by_ready.emplace(std::pair(queue.ready_key, team), &queue);
  }
}

void class_queue::erase_backlogged(std::uint32_t team, const team_queue& queue) {
  m_by_start.erase({queue.start, team});
  m_by_length.erase({queue.requests.size(), team});
  if (queue.guarantee != nullptr) {
    m_by_ready.erase({queue.ready_key, team});
  }
}

void class_queue::push(entry& added, double weight, rate_guarantee* guarantee) {
  const auto [it, created] = m_teams.try_emplace(added.team);
  team_queue& queue = it->second;
  if (queue.requests.empty()) {
    if (!created) {
      m_idle.erase({queue.finish, added.team});
    }
    queue.start = std::max(m_virtual_time, queue.finish);
    queue.weight = weight;
    queue.guarantee = guarantee;
    m_backlogged_weight += weight;
  } else {
    erase_backlogged(added.team, queue);
  }
  queue.requests.emplace(added.sequence, &added);
  queue.conforming += added.conforming ? 1 : 0;
  m_order.emplace(added.sequence, &added);
  added.queue = this;
  insert_backlogged(added.team, queue);
}

// Removes the entry and takes its team out of the orders of backlogged teams; the caller inserts
// the team again if it has requests left.
void class_queue::detach(const entry& removed) {
  team_queue& queue = m_teams.at(removed.team);
  erase_backlogged(removed.team, queue);
  queue.requests.erase(removed.sequence);
  queue.conforming -= removed.conforming ? 1 : 0;
  m_order.erase(removed.sequence);
  if (queue.requests.empty()) {
    m_backlogged_weight -= queue.weight;
  }
}

void class_queue::remove(const entry& removed) {
  detach(removed);
  team_queue& queue = m_teams.at(removed.team);
  if (queue.requests.empty()) {
    m_idle.emplace(queue.finish, removed.team);
    drop_idle_teams();
    return;
  }
  insert_backlogged(removed.team, queue);
}

selection class_queue::select(base::time_point now) {
  while (!m_by_ready.empty() && m_by_ready.begin()->first.first <= now) {
    const std::uint32_t team = m_by_ready.begin()->first.second;
    team_queue& queue = *m_by_ready.begin()->second;
    // The team may have used its rate in another pool since the key was written.
    if (queue.guarantee->ready_at() > queue.ready_key) {
      m_by_ready.erase(m_by_ready.begin());
      queue.ready_key = queue.guarantee->ready_at();
      m_by_ready.emplace(std::pair(queue.ready_key, team), &queue);
      continue;
    }
    return {queue.requests.begin()->second, true};
  }
  if (m_by_start.empty()) {
    return {};
  }
  return {m_by_start.begin()->second->requests.begin()->second, false};
}

void class_queue::take(const selection& selected) {
  const entry& taken = *selected.chosen;
  detach(taken);
  team_queue& queue = m_teams.at(taken.team);
  if (selected.guaranteed) {
    queue.guarantee->charge(taken.offered);
  } else {
    m_virtual_time = std::max(m_virtual_time, queue.start);
    queue.finish = queue.start + taken.request.cost / queue.weight;
    queue.start = queue.finish;
  }
  if (queue.requests.empty()) {
    m_idle.emplace(queue.finish, taken.team);
  } else {
    insert_backlogged(taken.team, queue);
  }
  drop_idle_teams();
}

void class_queue::refund(std::uint32_t team, double cost, bool guaranteed) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end() || it->second.requests.empty()) {
    return;
  }
  team_queue& queue = it->second;
  erase_backlogged(team, queue);
  if (guaranteed && queue.guarantee != nullptr) {
    queue.guarantee->refund();
  }
  if (!guaranteed) {
    queue.finish = std::max(0.0, queue.finish - cost / queue.weight);
    queue.start = std::max(0.0, queue.start - cost / queue.weight);
  }
  insert_backlogged(team, queue);
}

// Drops idle teams whose virtual finish time has passed: their fair share is settled.
void class_queue::drop_idle_teams() {
  if (m_order.empty()) {
    for (const auto& [finish, team] : m_idle) {
      m_virtual_time = std::max(m_virtual_time, finish);
    }
  }
  while (!m_idle.empty() && m_idle.begin()->first <= m_virtual_time) {
    m_teams.erase(m_idle.begin()->second);
    m_idle.erase(m_idle.begin());
  }
}

entry* class_queue::newest_beyond_guarantee(std::uint32_t arrival) const {
  for (auto it = m_by_length.rbegin(); it != m_by_length.rend(); ++it) {
    const auto [length, team] = *it;
    if (team == arrival) {
      continue;
    }
    const team_queue& queue = m_teams.at(team);
    if (length == queue.conforming) {
      continue;
    }
    const auto newest =
        std::find_if(queue.requests.rbegin(), queue.requests.rend(),
                     [](const auto& request) { return !request.second->conforming; });
    return newest->second;
  }
  return nullptr;
}

double class_queue::requests_ahead_of(std::uint32_t team, double weight, bool guaranteed) const {
  const auto it = m_teams.find(team);
  const bool backlogged = it != m_teams.end() && !it->second.requests.empty();
  const double queued_by_team = backlogged ? static_cast<double>(it->second.requests.size()) : 0;
  if (guaranteed) {
    return queued_by_team;
  }
  const double all_weights = m_backlogged_weight + (backlogged ? 0 : weight);
  const double ahead_by_share =
      queued_by_team * all_weights / weight + (all_weights - weight) / weight;
  return std::min(static_cast<double>(m_order.size()), ahead_by_share);
}

void class_queue::inherit_from(const class_queue& previous,
                               const std::unordered_map<std::uint32_t, std::uint32_t>& team_ids) {
  floor_credit = previous.floor_credit;
  dispatch_rate = previous.dispatch_rate;
  counters = previous.counters;
  m_virtual_time = previous.m_virtual_time;
  for (const auto& [old_team, old_queue] : previous.m_teams) {
    const auto renumbered = team_ids.find(old_team);
    if (renumbered == team_ids.end()) {
      continue;
    }
    // A backlogged team's next start equals its finish unless it just became backlogged.
    team_queue& queue = m_teams[renumbered->second];
    queue.finish = old_queue.requests.empty() ? old_queue.finish : old_queue.start;
    m_idle.emplace(queue.finish, renumbered->second);
  }
}

}  // namespace fuchsiaspring::admission::internal
