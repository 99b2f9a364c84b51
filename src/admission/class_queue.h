// Queued requests of one class for one pool, with one queue per team.
//
//   class_queue queue(class_id, rank, bound);
//   queue.push(entry, weight, guarantee);
//   selection chosen = queue.select(now);
//   queue.take(chosen);
//
// Selection: teams within their guaranteed rate, the earliest ready first; then start-time fair
// queueing. Entries are owned by the caller and must stay at their address while queued.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "admission/pool_rate.h"
#include "admission/rate_guarantee.h"
#include "fuchsiaspring/admission/admission_queue.h"

namespace fuchsiaspring::admission::internal {

class class_queue;
struct pool_queue;

// One queued request.
struct entry {
  queue_request request;
  std::uint64_t sequence = 0;  // order of arrival
  std::uint32_t team = 0;
  base::time_point offered{};  // when the request was offered to this queue
  base::time_point arrived{};  // when the caller's request arrived
  base::time_point deadline = base::time_point::max();
  base::time_point latest_start = base::time_point::max();
  bool conforming = false;  // arrived within the guaranteed rate of its team
  class_queue* queue = nullptr;
};

// Requests of one team, and its state in the fair queueing. `start` is the virtual start time of
// the first request, `finish` the virtual finish time of the last surplus dispatch.
struct team_queue {
  std::map<std::uint64_t, entry*> requests;
  std::size_t conforming = 0;  // requests that arrived within the guaranteed rate
  double weight = 1;
  double start = 0;
  double finish = 0;
  rate_guarantee* guarantee = nullptr;
  base::time_point ready_key{};  // key of the team in class_queue::m_by_ready
};

// A request chosen by class_queue::select(); `chosen` is null when the queue is empty.
struct selection {
  entry* chosen = nullptr;
  bool guaranteed = false;
};

// Counters for snapshots.
struct class_counters {
  std::uint64_t dispatched = 0;
  std::uint64_t dispatched_by_floor = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t displaced = 0;
};

class class_queue {
 public:
  class_queue(std::uint32_t class_id, std::uint32_t rank, std::size_t bound, pool_queue* pool)
      : m_class_id(class_id), m_rank(rank), m_bound(bound), m_pool(pool) {}

  void push(entry& added, double weight, rate_guarantee* guarantee);

  // Removes a request without charging its team.
  void remove(const entry& removed);

  selection select(base::time_point now);

  // Removes the selected request and charges the guaranteed rate or the fair share of its team.
  void take(const selection& selected);

  // Reverts the charge of a take() whose entry was pushed again.
  void refund(std::uint32_t team, double cost, bool guaranteed);

  // The newest request that arrived beyond its team's guaranteed rate, from the team with the
  // longest queue that has one, other than `arrival`; null when there is none.
  entry* newest_beyond_guarantee(std::uint32_t arrival) const;

  // Estimated number of requests of this class that are dispatched before an arrival of `team`.
  double requests_ahead_of(std::uint32_t team, double weight, bool guaranteed) const;

  // Takes over virtual times, floor credit and counters from the queue of the previous policy.
  // Teams are renumbered by `team_ids`, from old to new.
  void inherit_from(const class_queue& previous,
                    const std::unordered_map<std::uint32_t, std::uint32_t>& team_ids);

  std::uint32_t class_id() const { return m_class_id; }
  std::uint32_t rank() const { return m_rank; }
  std::size_t bound() const { return m_bound; }
  pool_queue& pool() const { return *m_pool; }
  std::size_t size() const { return m_order.size(); }
  const std::map<std::uint64_t, entry*>& order() const { return m_order; }
  const std::unordered_map<std::uint32_t, team_queue>& teams() const { return m_teams; }

  double floor_share = 0;            // of the pool's dispatches
  double floor_credit = 0;           // dispatches that the floor owes
  std::size_t reserved_entries = 1;  // requests that arrivals of higher tiers cannot displace
  decayed_average average_running;   // requests in flight, sampled while lower tiers are queued
  decayed_rate dispatch_rate;
  class_counters counters;

 private:
  void insert_backlogged(std::uint32_t team, team_queue& queue);
  void erase_backlogged(std::uint32_t team, const team_queue& queue);
  void drop_idle_teams();
  void detach(const entry& removed);

  std::uint32_t m_class_id;
  std::uint32_t m_rank;
  std::size_t m_bound;
  pool_queue* m_pool;
  std::map<std::uint64_t, entry*> m_order;
  std::unordered_map<std::uint32_t, team_queue> m_teams;
  // Backlogged teams; the number of the team breaks ties, so that the order is deterministic.
  std::map<std::pair<double, std::uint32_t>, team_queue*> m_by_start;
  std::set<std::pair<std::size_t, std::uint32_t>> m_by_length;
  // Backlogged teams with a guarantee; a key may be earlier than the team's ready_at().
  std::map<std::pair<base::time_point, std::uint32_t>, team_queue*> m_by_ready;
  std::set<std::pair<double, std::uint32_t>> m_idle;  // teams without requests, by finish
  double m_virtual_time = 0;
  double m_backlogged_weight = 0;
};

}  // namespace fuchsiaspring::admission::internal
