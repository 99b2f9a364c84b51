#include "admission/queue_state.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::admission {
namespace internal {
namespace {

// A first-token estimate never counts for more than this share of the target. A request that can
// start immediately is therefore always accepted, and its measurement corrects an estimate that is
// too high.
constexpr double max_estimate_share = 0.8;

std::uint64_t guarantee_key(std::uint32_t class_id, std::uint32_t team) {
  return (static_cast<std::uint64_t>(class_id) << 32) | team;
}

// Estimated number of requests of `other`, a class of the same tier, with an earlier deadline than
// `next`; assumes that they arrived at a constant rate.
double requests_ahead_by_deadline(const class_queue& other, const arrival& next,
                                  base::time_point now) {
  if (other.size() == 0) {
    return 0;
  }
  const entry& oldest = *other.order().begin()->second;
  if (oldest.deadline >= next.deadline) {
    return 0;
  }
  const double spread = base::to_seconds(now - oldest.arrived);
  const double earlier = base::to_seconds(next.deadline - oldest.deadline);
  const double share = spread > 0 ? std::min(1.0, earlier / spread) : 1.0;
  return share * static_cast<double>(other.size());
}

}  // namespace

policy_index::policy_index(const policy& given, base::time_point now) : source(given) {
  by_name<std::uint32_t> ranks;
  for (const tier_policy& tier : source.tiers) {
    ranks.emplace(tier.name, tier.rank);
  }
  for (const class_policy& settings : source.classes) {
    const auto rank = ranks.find(settings.tier);
    if (rank == ranks.end()) {
      continue;
    }
    class_ids.emplace(settings.name, static_cast<std::uint32_t>(classes.size()));
    classes.push_back({settings, rank->second});
  }
  for (std::uint32_t team = 0; team < source.teams.size(); ++team) {
    team_ids.emplace(source.teams[team].name, team);
    for (const guarantee_policy& given_rate : source.teams[team].guarantees) {
      const auto class_id = class_ids.find(given_rate.request_class);
      if (class_id == class_ids.end() || given_rate.requests_per_second <= 0) {
        continue;
      }
      guarantees.emplace(guarantee_key(class_id->second, team),
                         rate_guarantee(given_rate.requests_per_second, given_rate.burst, now));
    }
  }
}

rate_guarantee* policy_index::guarantee(std::uint32_t class_id, std::uint32_t team) {
  const auto it = guarantees.find(guarantee_key(class_id, team));
  return it == guarantees.end() ? nullptr : &it->second;
}

const rate_guarantee* policy_index::guarantee(std::uint32_t class_id, std::uint32_t team) const {
  const auto it = guarantees.find(guarantee_key(class_id, team));
  return it == guarantees.end() ? nullptr : &it->second;
}

double policy_index::weight(std::uint32_t team) const {
  return std::max<std::uint32_t>(1, source.teams[team].weight);
}

bool arrival_conforms(const policy_index& index, const class_queue& queue, std::uint32_t team,
                      base::time_point now) {
  const rate_guarantee* guarantee = index.guarantee(queue.class_id(), team);
  return guarantee != nullptr && guarantee->arrival_conforms(now);
}

base::duration expected_wait(const class_queue& queue, const arrival& next, base::time_point now) {
  const std::optional<double> capacity = queue.pool().rate.per_second();
  if (!capacity) {
    return {};
  }
  const double ahead_in_class = queue.requests_ahead_of(next.team, next.weight, next.guaranteed);
  double ahead = ahead_in_class;
  double higher_tier_rate = 0;    // dispatches/s
  double lower_floor_shares = 0;  // of the pool's dispatches
  for (const class_queue* other : queue.pool().classes) {
    if (other == &queue) {
      continue;
    }
    if (other->rank() < queue.rank()) {
      ahead += static_cast<double>(other->size());
      higher_tier_rate += other->dispatch_rate.per_second(now);
    } else if (other->rank() == queue.rank()) {
      ahead += requests_ahead_by_deadline(*other, next, now);
    } else if (other->size() > 0) {
      lower_floor_shares += other->floor_share;
    }
  }
  const double floor_rate = queue.floor_share * *capacity;
  const double available_rate =
      std::max((*capacity - higher_tier_rate) * (1 - lower_floor_shares), floor_rate);
  const double wait_by_order = ahead / available_rate;
  const double wait_by_floor = std::max(0.0, ahead_in_class + 1 - queue.floor_credit) / floor_rate;
  constexpr double max_seconds = 3600;
  return base::from_seconds(std::min({wait_by_order, wait_by_floor, max_seconds}));
}

void set_deadline(entry& added, base::duration first_token_target) {
  if (first_token_target <= base::duration::zero()) {
    added.deadline = base::time_point::max();
    added.latest_start = base::time_point::max();
    return;
  }
  const base::duration max_estimate =
      base::from_seconds(base::to_seconds(first_token_target) * max_estimate_share);
  added.deadline = added.arrived + first_token_target;
  added.latest_start = added.deadline - std::min(added.request.first_token_estimate, max_estimate);
}

}  // namespace internal

admission_queue::state::state(const policy& initial, base::time_point now) : index(initial, now) {
  for (std::uint32_t class_id = 0; class_id < index.classes.size(); ++class_id) {
    find_or_create(index.classes[class_id].settings.pool, class_id);
  }
}

internal::class_queue* admission_queue::state::find_queue(std::string_view pool,
                                                          std::string_view request_class) const {
  const auto found_pool = pools.find(pool);
  const auto class_id = index.class_ids.find(request_class);
  if (found_pool == pools.end() || class_id == index.class_ids.end()) {
    return nullptr;
  }
  for (internal::class_queue* queue : found_pool->second->classes) {
    if (queue->class_id() == class_id->second) {
      return queue;
    }
  }
  return nullptr;
}

internal::class_queue& admission_queue::state::find_or_create(const std::string& pool_name,
                                                              std::uint32_t class_id) {
  const internal::class_entry& entry = index.classes[class_id];
  if (internal::class_queue* existing = find_queue(pool_name, entry.settings.name)) {
    return *existing;
  }
  auto& pool = pools[pool_name];
  if (!pool) {
    pool = std::make_unique<internal::pool_queue>();
    pool->name = pool_name;
  }
  const std::size_t bound = std::max<std::uint32_t>(1, entry.settings.max_queue);
  const auto by_rank = [](const auto& left, const auto& right) {
    return left->rank() < right->rank();
  };
  auto created = std::make_unique<internal::class_queue>(class_id, entry.rank, bound, pool.get());
  internal::class_queue& queue = *created;
  queues.insert(std::upper_bound(queues.begin(), queues.end(), created, by_rank),
                std::move(created));
  pool->classes.insert(
      std::upper_bound(pool->classes.begin(), pool->classes.end(), &queue, by_rank), &queue);
  update_bounds_and_floors(*pool);
  return queue;
}

// Recomputes the bound, floor shares and reserved entries, which depend on the classes of the pool.
void admission_queue::state::update_bounds_and_floors(internal::pool_queue& pool) {
  pool.bound = 0;
  double sum = 0;
  const auto share_of = [this](const internal::class_queue& queue) {
    const std::uint32_t floor = index.classes[queue.class_id()].settings.floor_per_mille;
    return std::max<std::uint32_t>(1, floor) / 1000.0;
  };
  for (const internal::class_queue* queue : pool.classes) {
    pool.bound += queue->bound();
    sum += share_of(*queue);
  }
  const double scale = sum > internal::max_floor_sum ? internal::max_floor_sum / sum : 1.0;
  for (internal::class_queue* queue : pool.classes) {
    queue->floor_share = share_of(*queue) * scale;
    const double space = std::ceil(queue->floor_share * static_cast<double>(pool.bound));
    queue->reserved_entries =
        std::min(queue->bound(), static_cast<std::size_t>(std::max(1.0, space)));
  }
}

void admission_queue::state::link(internal::entry& added, base::time_point now) {
  internal::pool_queue& pool = added.queue->pool();
  pool.rate.observe(pool.queued, now);
  pool.queued += 1;
  pool.rate.observe(pool.queued, now);
  if (added.latest_start != base::time_point::max()) {
    expiry.emplace(added.latest_start, added.sequence, &added);
  }
}

void admission_queue::state::unlink(internal::entry& removed, base::time_point now) {
  internal::pool_queue& pool = removed.queue->pool();
  pool.rate.observe(pool.queued, now);
  pool.queued -= 1;
  pool.rate.observe(pool.queued, now);
  expiry.erase({removed.latest_start, removed.sequence, &removed});
}

removed_request admission_queue::state::discard(internal::entry& removed, refusal_reason reason,
                                                base::duration retry_after, base::time_point now) {
  internal::class_queue& queue = *removed.queue;
  if (reason == refusal_reason::displaced) {
    queue.counters.displaced += 1;
  } else if (reason == refusal_reason::deadline_unreachable) {
    queue.counters.refused_deadline += 1;
  }
  unlink(removed, now);
  queue.remove(removed);
  removed_request result{std::move(removed.request), {reason, retry_after}};
  result.request.waited = now - removed.arrived;
  entries.erase(result.request.id);
  return result;
}

bool admission_queue::state::has_room(const internal::class_queue& queue) const {
  if (queue.size() < queue.reserved_entries) {
    return true;
  }
  std::size_t counted = 0;
  for (const internal::class_queue* other : queue.pool().classes) {
    const bool lower = other->rank() > queue.rank();
    const std::size_t reserved = lower ? std::min(other->size(), other->reserved_entries) : 0;
    counted += other->size() - reserved;
  }
  return counted < queue.pool().bound;
}

internal::entry* admission_queue::state::find_victim(const internal::class_queue& queue,
                                                     const internal::entry& added) const {
  const auto newer_of = [](const internal::class_queue& from, internal::entry* newest) {
    internal::entry* last = from.order().rbegin()->second;
    return newest == nullptr || last->sequence > newest->sequence ? last : newest;
  };
  const auto& classes = queue.pool().classes;
  internal::entry* newest = nullptr;
  std::uint32_t victim_rank = queue.rank();
  for (auto it = classes.rbegin(); it != classes.rend(); ++it) {
    const internal::class_queue& other = **it;
    if (other.rank() <= queue.rank() || (newest != nullptr && other.rank() != victim_rank)) {
      break;
    }
    if (other.size() > other.reserved_entries) {
      victim_rank = other.rank();
      newest = newer_of(other, newest);
    }
  }
  if (newest != nullptr) {
    return newest;
  }
  if (queue.size() < queue.bound()) {
    for (const internal::class_queue* other : classes) {
      if (other->rank() == queue.rank() && other->size() > other->bound()) {
        newest = newer_of(*other, newest);
      }
    }
  }
  if (newest != nullptr) {
    return newest;
  }
  return added.conforming ? queue.newest_beyond_guarantee(added.team) : nullptr;
}

double admission_queue::state::charge_floors(internal::class_queue& dispatched) {
  for (internal::class_queue* queue : dispatched.pool().classes) {
    queue->floor_credit =
        std::min(internal::max_floor_credit, queue->floor_credit + queue->floor_share);
  }
  const double charge = std::min(1.0, dispatched.floor_credit);
  dispatched.floor_credit -= charge;
  return charge;
}

void admission_queue::state::refund_floors(internal::class_queue& dispatched, double charge) {
  dispatched.floor_credit += charge;
  for (internal::class_queue* queue : dispatched.pool().classes) {
    queue->floor_credit = std::max(0.0, queue->floor_credit - queue->floor_share);
  }
}

internal::policy_renumbering admission_queue::state::renumber(const state& previous) const {
  internal::policy_renumbering ids;
  for (std::uint32_t old = 0; old < previous.index.source.teams.size(); ++old) {
    if (const auto found = index.team_ids.find(previous.index.source.teams[old].name);
        found != index.team_ids.end()) {
      ids.teams.emplace(old, found->second);
    }
  }
  for (std::uint32_t old = 0; old < previous.index.classes.size(); ++old) {
    if (const auto found = index.class_ids.find(previous.index.classes[old].settings.name);
        found != index.class_ids.end()) {
      ids.classes.emplace(old, found->second);
    }
  }
  return ids;
}

void admission_queue::state::inherit_rates(const state& previous,
                                           const internal::policy_renumbering& ids,
                                           base::time_point now) {
  for (const auto& [key, old] : previous.index.guarantees) {
    const auto class_id = ids.classes.find(static_cast<std::uint32_t>(key >> 32));
    const auto team = ids.teams.find(static_cast<std::uint32_t>(key));
    if (class_id == ids.classes.end() || team == ids.teams.end()) {
      continue;
    }
    if (auto* guarantee = index.guarantee(class_id->second, team->second)) {
      guarantee->inherit_from(old, now);
    }
  }
  for (const auto& old : previous.queues) {
    const auto class_id = ids.classes.find(old->class_id());
    if (class_id != ids.classes.end()) {
      find_or_create(old->pool().name, class_id->second).inherit_from(*old, ids.teams);
    }
  }
  for (const auto& [name, pool] : pools) {
    if (const auto old = previous.pools.find(name); old != previous.pools.end()) {
      pool->rate = old->second->rate;
    }
  }
}

std::vector<removed_request> admission_queue::state::inherit_from(const state& previous,
                                                                  base::time_point now) {
  const internal::policy_renumbering ids = renumber(previous);
  inherit_rates(previous, ids, now);
  next_sequence = previous.next_sequence;
  std::vector<removed_request> removed;
  for (const auto& [id, old] : previous.entries) {
    const auto class_id = ids.classes.find(old.queue->class_id());
    const auto team = ids.teams.find(old.team);
    if (class_id == ids.classes.end() || team == ids.teams.end()) {
      const refusal_reason reason = class_id == ids.classes.end() ? refusal_reason::unknown_class
                                                                  : refusal_reason::unknown_team;
      removed.push_back({old.request, {reason, std::chrono::seconds(1)}});
      removed.back().request.waited = now - old.arrived;
      continue;
    }
    internal::entry& moved = entries.emplace(id, old).first->second;
    moved.team = team->second;
    internal::set_deadline(moved, index.classes[class_id->second].settings.first_token_target);
    find_or_create(moved.request.pool, class_id->second)
        .push(moved, index.weight(moved.team), index.guarantee(class_id->second, moved.team));
    link(moved, now);
  }
  return removed;
}

}  // namespace fuchsiaspring::admission
