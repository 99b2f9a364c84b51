#include <algorithm>

#include "admission/queue_state.h"

namespace fuchsiaspring::admission {

using internal::class_queue;

base::duration admission_queue::expected_wait(std::string_view pool, std::string_view request_class,
                                              std::string_view team, base::time_point now) const {
  const class_queue* queue = m_state->find_queue(pool, request_class);
  const auto team_id = m_state->index.team_ids.find(team);
  if (queue == nullptr || team_id == m_state->index.team_ids.end()) {
    return {};
  }
  internal::arrival next;
  next.team = team_id->second;
  next.weight = m_state->index.weight(next.team);
  next.guaranteed = internal::arrival_conforms(m_state->index, *queue, next.team, now);
  const base::duration target =
      m_state->index.classes[queue->class_id()].settings.first_token_target;
  if (target > base::duration::zero()) {
    next.deadline = now + target;
  }
  return internal::expected_wait(*queue, next, now);
}

std::size_t admission_queue::size(std::string_view pool) const {
  const auto it = m_state->pools.find(pool);
  return it == m_state->pools.end() ? 0 : it->second->queued;
}

std::vector<std::uint32_t> admission_queue::queued_by_rank(std::string_view pool) const {
  std::vector<std::uint32_t> result;
  const auto it = m_state->pools.find(pool);
  if (it == m_state->pools.end()) {
    return result;
  }
  for (const class_queue* queue : it->second->classes) {
    if (result.size() <= queue->rank()) {
      result.resize(queue->rank() + std::size_t{1});
    }
    result[queue->rank()] += static_cast<std::uint32_t>(queue->size());
  }
  return result;
}

std::vector<class_snapshot> admission_queue::class_snapshots(base::time_point now) const {
  std::vector<class_snapshot> result;
  result.reserve(m_state->queues.size());
  for (const auto& queue : m_state->queues) {
    const class_policy& settings = m_state->index.classes[queue->class_id()].settings;
    class_snapshot snapshot;
    snapshot.pool = queue->pool().name;
    snapshot.request_class = settings.name;
    snapshot.tier_rank = queue->rank();
    snapshot.queued = queue->size();
    snapshot.bound = queue->bound();
    snapshot.pool_bound = queue->pool().bound;
    if (queue->size() > 0) {
      snapshot.oldest_wait = now - queue->order().begin()->second->arrived;
    }
    internal::arrival next;
    next.team = static_cast<std::uint32_t>(m_state->index.source.teams.size());  // a new team
    if (settings.first_token_target > base::duration::zero()) {
      next.deadline = now + settings.first_token_target;
    }
    snapshot.expected_wait = internal::expected_wait(*queue, next, now);
    snapshot.floor_credit = queue->floor_credit;
    snapshot.dispatched = queue->counters.dispatched;
    snapshot.dispatched_by_floor = queue->counters.dispatched_by_floor;
    snapshot.refused_full = queue->counters.refused_full;
    snapshot.refused_deadline = queue->counters.refused_deadline;
    snapshot.displaced = queue->counters.displaced;
    result.push_back(std::move(snapshot));
  }
  return result;
}

std::vector<team_snapshot> admission_queue::team_snapshots(base::time_point now) const {
  std::vector<team_snapshot> result;
  for (const auto& queue : m_state->queues) {
    const class_policy& settings = m_state->index.classes[queue->class_id()].settings;
    for (const auto& [team, waiting] : queue->teams()) {
      if (waiting.requests.empty()) {
        continue;
      }
      const bool within = waiting.guarantee != nullptr && waiting.guarantee->ready_at() <= now;
      result.push_back({queue->pool().name, settings.name, m_state->index.source.teams[team].name,
                        waiting.requests.size(), within});
    }
  }
  return result;
}

}  // namespace fuchsiaspring::admission
