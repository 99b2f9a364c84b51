#include "fuchsiaspring/admission/admission_queue.h"

#include <algorithm>
#include <cmath>

#include "admission/queue_state.h"

namespace fuchsiaspring::admission {
namespace {

using internal::class_queue;
using internal::entry;
using internal::selection;

// Jittered at random, so that callers that were refused together do not retry together.
base::duration retry_after(base::duration wait, base::random_source& random) {
  constexpr base::duration min_wait = std::chrono::seconds(1);
  constexpr base::duration max_wait = std::chrono::seconds(60);
  const double seconds = base::to_seconds(std::clamp(wait, min_wait, max_wait));
  return base::from_seconds(seconds * (1 + random.uniform() / 4));
}

// Caches the results of the caller's predicate, which is called at most once for each class queue.
class predicate_cache {
 public:
  predicate_cache(const dispatch_predicate& predicate, const internal::policy_index& index,
                  std::size_t queues)
      : m_predicate(predicate), m_index(index), m_results(queues, cached_result::unknown) {}

  // `position` is the index of `queue` among all class queues.
  bool operator()(std::size_t position, const class_queue& queue) {
    cached_result& result = m_results[position];
    if (result == cached_result::unknown) {
      const std::string& name = m_index.classes[queue.class_id()].settings.name;
      result = m_predicate(queue.pool().name, name) ? cached_result::yes : cached_result::no;
    }
    return result == cached_result::yes;
  }

 private:
  enum class cached_result : std::uint8_t { unknown, yes, no };

  const dispatch_predicate& m_predicate;
  const internal::policy_index& m_index;
  std::vector<cached_result> m_results;
};

// The class queue that its floor entitles to the next dispatch, or null.
class_queue* find_queue_below_floor(const std::vector<std::unique_ptr<class_queue>>& queues,
                                    predicate_cache& can_dispatch) {
  class_queue* best = nullptr;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    const auto& queue = queues[i];
    if (queue->size() == 0 || queue->floor_credit < 1) {
      continue;
    }
    if ((best == nullptr || queue->floor_credit > best->floor_credit) && can_dispatch(i, *queue)) {
      best = queue.get();
    }
  }
  return best;
}

// Slots that dispatches of lower tiers leave free for urgent classes: the usual fluctuation of the
// running urgent requests, which is about the square root of their number, plus the number by which
// they are below their average, since they are expected to return to it. See docs/decisions.md.
class urgent_headroom {
 public:
  urgent_headroom(const pool_usage* usage, const internal::policy_index& index,
                  base::time_point now)
      : m_usage(usage), m_index(index), m_now(now) {}

  bool allows(const class_queue& queue) const {
    if (m_usage == nullptr) {
      return true;
    }
    double running = 0;
    double average = 0;
    for (class_queue* other : queue.pool().classes) {
      const class_policy& settings = m_index.classes[other->class_id()].settings;
      const bool is_urgent = settings.first_token_target > base::duration::zero() &&
                             settings.first_token_target <= max_urgent_target;
      if (other->rank() < queue.rank() && is_urgent) {
        const auto current =
            static_cast<double>(m_usage->running(queue.pool().name, settings.name));
        running += current;
        average += other->average_running.update(current, m_now);
      }
    }
    const double below_average = std::max(0.0, average - running);
    const double reserved_slots =
        std::floor(reserved_deviations * std::sqrt(running) + below_average);
    const auto free_slots = static_cast<double>(m_usage->free_slots(queue.pool().name));
    // At most half of the slots are reserved. The average may come from a time with a larger share
    // of the pool and would otherwise block lower tiers in an idle pool, where no dispatch credits
    // their floors either.
    return free_slots > reserved_slots ||
           free_slots > std::floor(total_slots(queue.pool(), free_slots) / 2);
  }

 private:
  double total_slots(const internal::pool_queue& pool, double free_slots) const {
    double result = free_slots;
    for (const class_queue* queue : pool.classes) {
      const std::string& name = m_index.classes[queue->class_id()].settings.name;
      result += static_cast<double>(m_usage->running(pool.name, name));
    }
    return result;
  }

  // A class with a longer target can wait until a slot becomes free.
  static constexpr base::duration max_urgent_target = std::chrono::seconds(5);
  static constexpr double reserved_deviations = 1.4;

  const pool_usage* m_usage;
  const internal::policy_index& m_index;
  base::time_point m_now;
};

// The selection with the earliest deadline in the highest tier that can be dispatched.
selection select_by_tier_and_deadline(const std::vector<std::unique_ptr<class_queue>>& queues,
                                      predicate_cache& can_dispatch,
                                      const urgent_headroom& headroom, base::time_point now) {
  selection best;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    const auto& queue = queues[i];
    if (best.chosen != nullptr && queue->rank() != best.chosen->queue->rank()) {
      break;
    }
    if (queue->size() == 0 || !can_dispatch(i, *queue) || !headroom.allows(*queue)) {
      continue;
    }
    const selection candidate = queue->select(now);
    const auto order = [](const entry& item) { return std::pair(item.deadline, item.sequence); };
    if (best.chosen == nullptr || order(*candidate.chosen) < order(*best.chosen)) {
      best = candidate;
    }
  }
  return best;
}

}  // namespace

admission_queue::admission_queue(const policy& initial, base::time_point now)
    : m_state(std::make_unique<state>(initial, now)) {}
admission_queue::~admission_queue() = default;
admission_queue::admission_queue(admission_queue&&) noexcept = default;
admission_queue& admission_queue::operator=(admission_queue&&) noexcept = default;

std::vector<removed_request> admission_queue::update_policy(const policy& next,
                                                            base::time_point now) {
  auto replacement = std::make_unique<state>(next, now);
  std::vector<removed_request> removed = replacement->inherit_from(*m_state, now);
  m_state = std::move(replacement);
  return removed;
}

offer_outcome admission_queue::offer(const queue_request& request, base::time_point now,
                                     base::random_source& random) {
  state& self = *m_state;
  if (self.entries.contains(request.id)) {
    return {queued{true}, {}};
  }
  const auto class_id = self.index.class_ids.find(request.request_class);
  if (class_id == self.index.class_ids.end()) {
    return {refused{refusal_reason::unknown_class, retry_after({}, random)}, {}};
  }
  const auto team = self.index.team_ids.find(request.team);
  if (team == self.index.team_ids.end()) {
    return {refused{refusal_reason::unknown_team, retry_after({}, random)}, {}};
  }
  class_queue& queue = self.find_or_create(request.pool, class_id->second);
  entry added;
  added.request = request;
  added.team = team->second;
  added.offered = now;
  added.arrived = now - request.waited;
  internal::set_deadline(added, self.index.classes[class_id->second].settings.first_token_target);
  queue.pool().rate.observe(queue.pool().queued, now);

  const double weight = self.index.weight(added.team);
  added.conforming = internal::arrival_conforms(self.index, queue, added.team, now);
  const base::duration wait =
      internal::expected_wait(queue, {added.team, weight, added.conforming, added.deadline}, now);
  if (now + wait > added.latest_start) {
    queue.counters.refused_deadline += 1;
    return {refused{refusal_reason::deadline_unreachable, retry_after(wait, random)}, {}};
  }
  offer_outcome outcome;
  if (!self.has_room(queue)) {
    entry* victim = self.find_victim(queue, added);
    if (victim == nullptr) {
      queue.counters.refused_full += 1;
      return {refused{refusal_reason::queue_full, retry_after(wait, random)}, {}};
    }
    outcome.displaced.push_back(
        self.discard(*victim, refusal_reason::displaced, retry_after(wait, random), now));
  }
  internal::rate_guarantee* guarantee = self.index.guarantee(queue.class_id(), added.team);
  if (added.conforming) {
    guarantee->charge_arrival(now);
  }
  added.sequence = self.next_sequence++;
  entry& stored = self.entries.emplace(request.id, std::move(added)).first->second;
  queue.push(stored, weight, guarantee);
  self.link(stored, now);
  return outcome;
}

std::optional<dispatched_request> admission_queue::next(base::time_point now,
                                                        const dispatch_predicate& can_dispatch,
                                                        const pool_usage* usage) {
  state& self = *m_state;
  if (self.entries.empty()) {
    return std::nullopt;
  }
  predicate_cache predicate(can_dispatch, self.index, self.queues.size());
  class_queue* floor_queue = find_queue_below_floor(self.queues, predicate);
  const selection selected =
      floor_queue != nullptr
          ? floor_queue->select(now)
          : select_by_tier_and_deadline(self.queues, predicate,
                                        urgent_headroom(usage, self.index, now), now);
  if (selected.chosen == nullptr) {
    return std::nullopt;
  }
  entry& chosen = *selected.chosen;
  class_queue& queue = *chosen.queue;
  self.unlink(chosen, now);
  queue.pool().rate.record_dispatch(now);
  queue.dispatch_rate.record(now);
  queue.take(selected);
  queue.counters.dispatched += 1;
  queue.counters.dispatched_by_floor += floor_queue != nullptr ? 1 : 0;

  dispatched_request result;
  result.floor_charge = self.charge_floors(queue);
  result.tier_rank = queue.rank();
  result.charged_guarantee = selected.guaranteed;
  result.rule = floor_queue != nullptr ? dispatch_rule::floor
                : selected.guaranteed  ? dispatch_rule::guarantee
                                       : dispatch_rule::surplus;
  result.conforming = chosen.conforming;
  result.sequence = chosen.sequence;
  result.offered = chosen.offered;
  result.arrived = chosen.arrived;
  result.request = std::move(chosen.request);
  result.request.waited = now - chosen.arrived;
  self.entries.erase(result.request.id);
  return result;
}

bool admission_queue::put_back(const dispatched_request& dispatched, base::time_point now) {
  state& self = *m_state;
  const auto class_id = self.index.class_ids.find(dispatched.request.request_class);
  const auto team = self.index.team_ids.find(dispatched.request.team);
  if (class_id == self.index.class_ids.end() || team == self.index.team_ids.end() ||
      self.entries.contains(dispatched.request.id)) {
    return false;
  }
  class_queue& queue = self.find_or_create(dispatched.request.pool, class_id->second);
  entry& restored = self.entries[dispatched.request.id];
  restored.request = dispatched.request;
  restored.sequence = dispatched.sequence;
  restored.conforming = dispatched.conforming;
  restored.team = team->second;
  restored.offered = dispatched.offered;
  restored.arrived = dispatched.arrived;
  internal::set_deadline(restored,
                         self.index.classes[class_id->second].settings.first_token_target);
  queue.push(restored, self.index.weight(restored.team),
             self.index.guarantee(queue.class_id(), restored.team));
  queue.refund(restored.team, restored.request.cost, dispatched.charged_guarantee);
  self.link(restored, now);
  self.refund_floors(queue, dispatched.floor_charge);
  queue.counters.dispatched -= queue.counters.dispatched > 0 ? 1 : 0;
  if (dispatched.rule == dispatch_rule::floor && queue.counters.dispatched_by_floor > 0) {
    queue.counters.dispatched_by_floor -= 1;
  }
  return true;
}

bool admission_queue::withdraw(std::string_view id, base::time_point now) {
  const auto it = m_state->entries.find(id);
  if (it == m_state->entries.end()) {
    return false;
  }
  m_state->unlink(it->second, now);
  it->second.queue->remove(it->second);
  m_state->entries.erase(it);
  return true;
}

std::vector<removed_request> admission_queue::expire(base::time_point now,
                                                     base::random_source& random) {
  std::vector<removed_request> removed;
  auto& expiry = m_state->expiry;
  while (!expiry.empty() && std::get<base::time_point>(*expiry.begin()) < now) {
    entry& expired = *std::get<entry*>(*expiry.begin());
    const base::duration wait = now - expired.arrived;
    removed.push_back(m_state->discard(expired, refusal_reason::deadline_unreachable,
                                       retry_after(wait, random), now));
  }
  return removed;
}

std::optional<base::time_point> admission_queue::next_expiry() const {
  if (m_state->expiry.empty()) {
    return std::nullopt;
  }
  return std::get<base::time_point>(*m_state->expiry.begin());
}

void admission_queue::record_preempted(std::string_view pool, std::string_view request_class) {
  if (class_queue* queue = m_state->find_queue(pool, request_class)) {
    queue->floor_credit = std::min(internal::max_floor_credit, queue->floor_credit + 1);
  }
}

std::size_t admission_queue::size() const {
  return m_state->entries.size();
}

}  // namespace fuchsiaspring::admission
