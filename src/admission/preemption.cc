#include <algorithm>

#include "admission/queue_state.h"

namespace fuchsiaspring::admission {
namespace {

using internal::class_queue;
using internal::entry;
using internal::pool_queue;

// Queued requests examined in one pool. Later ones are behind these and are examined once the queue
// has advanced.
constexpr std::size_t max_examined = 32;

// Whether `waiting`, with `ahead` requests before it, would miss its target unless a slot is freed
// for it, and would meet it if one is freed now.
bool needs_slot(const entry& waiting, std::size_t ahead, const pool_queue& pool,
                base::time_point now) {
  if (waiting.latest_start == base::time_point::max() || waiting.latest_start < now) {
    return false;
  }
  if (const std::optional<double> rate = pool.rate.per_second()) {
    const double wait_seconds = static_cast<double>(ahead + 1) / *rate;
    return base::to_seconds(waiting.latest_start - now) < wait_seconds;
  }
  // Without a measured rate no slot has become free while requests were queued. Half of the time to
  // the latest start is allowed for a slot to become free without preemption.
  return now - waiting.arrived >= (waiting.latest_start - waiting.arrived) / 2;
}

// The first queued request of a tier above `victim_rank` that needs a slot. Skips one request for
// each cancellation in progress, which is to get the slot that it frees.
const entry* find_beneficiary(const pool_queue& pool, std::uint32_t victim_rank,
                              std::size_t cancelling, base::time_point now) {
  std::size_t examined = 0;
  for (const class_queue* queue : pool.classes) {
    if (queue->rank() >= victim_rank) {
      break;
    }
    for (const auto& [sequence, waiting] : queue->order()) {
      if (examined++ < cancelling) {
        continue;
      }
      if (examined > max_examined + cancelling) {
        return nullptr;
      }
      if (needs_slot(*waiting, examined - 1, pool, now)) {
        return waiting;
      }
    }
  }
  return nullptr;
}

// Cancellations in progress in one pool, and the best request to preempt there.
struct running_summary {
  std::size_t cancelling = 0;
  const running_request* victim = nullptr;
  std::uint32_t victim_rank = 0;
};

}  // namespace

std::optional<preemption> admission_queue::propose_preemption(
    base::time_point now, std::span<const running_request> running) const {
  const internal::policy_index& index = m_state->index;
  std::unordered_map<const pool_queue*, running_summary> summaries;
  for (const running_request& request : running) {
    const auto pool = m_state->pools.find(request.pool);
    if (pool == m_state->pools.end() || pool->second->queued == 0) {
      continue;
    }
    running_summary& summary = summaries[pool->second.get()];
    if (request.cancelling) {
      summary.cancelling += 1;
      continue;
    }
    const auto class_id = index.class_ids.find(request.request_class);
    if (class_id == index.class_ids.end() || !request.idempotent ||
        request.rule == dispatch_rule::floor ||
        request.tokens >= index.source.preemption_max_tokens) {
      continue;
    }
    const internal::class_entry& request_class = index.classes[class_id->second];
    if (!request_class.settings.preemptible) {
      continue;
    }
    const bool is_preferred_victim =
        summary.victim == nullptr || request_class.rank > summary.victim_rank ||
        (request_class.rank == summary.victim_rank && request.tokens < summary.victim->tokens);
    if (is_preferred_victim) {
      summary.victim = &request;
      summary.victim_rank = request_class.rank;
    }
  }
  for (const auto& [pool, summary] : summaries) {
    if (summary.victim == nullptr) {
      continue;
    }
    const entry* beneficiary =
        find_beneficiary(*pool, summary.victim_rank, summary.cancelling, now);
    if (beneficiary != nullptr) {
      return preemption{summary.victim->id, beneficiary->request.id};
    }
  }
  return std::nullopt;
}

}  // namespace fuchsiaspring::admission
