// State of an admission queue: the policy in force by index, the pools with their class queues, and
// the queued requests.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "admission/class_queue.h"
#include "admission/pool_rate.h"
#include "fuchsiaspring/admission/admission_queue.h"

namespace fuchsiaspring::admission::internal {

// Largest number of dispatches that a floor may be owed. More than one, so that a class loses
// little while the floors of other classes are served first; small, so that an idle class gains no
// burst.
constexpr double max_floor_credit = 2.0;

// Largest sum of the floors of one pool, as a share of its dispatches; higher floors are scaled
// down.
constexpr double max_floor_sum = 0.3;

// All classes of one pool, highest tier first.
struct pool_queue {
  std::string name;
  std::vector<class_queue*> classes;
  std::size_t queued = 0;
  std::size_t bound = 0;
  pool_rate rate;
};

struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};

template <typename Value>
using by_name = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

struct class_entry {
  class_policy settings;
  std::uint32_t rank = 0;
};

// The policy by index. `guarantees` is keyed by class and team.
struct policy_index {
  explicit policy_index(const policy& source, base::time_point now);

  policy source;
  std::vector<class_entry> classes;
  by_name<std::uint32_t> class_ids;
  by_name<std::uint32_t> team_ids;
  std::unordered_map<std::uint64_t, rate_guarantee> guarantees;

  rate_guarantee* guarantee(std::uint32_t class_id, std::uint32_t team);
  const rate_guarantee* guarantee(std::uint32_t class_id, std::uint32_t team) const;
  double weight(std::uint32_t team) const;
};

// Maps indices of the previous policy to those of the new one, for names that both contain.
struct policy_renumbering {
  std::unordered_map<std::uint32_t, std::uint32_t> classes;
  std::unordered_map<std::uint32_t, std::uint32_t> teams;
};

// Properties of an arrival that the estimate of its wait depends on.
struct arrival {
  std::uint32_t team = 0;
  double weight = 1;
  bool guaranteed = false;
  base::time_point deadline = base::time_point::max();
};

// Whether an arrival of the team now is within its guaranteed rate for the class.
bool arrival_conforms(const policy_index& index, const class_queue& queue, std::uint32_t team,
                      base::time_point now);

// Expected time from now to the dispatch of an arrival in `queue`; 0 while the pool's rate is
// unknown.
base::duration expected_wait(const class_queue& queue, const arrival& next, base::time_point now);

// Sets the deadline and the latest start of `added` from its arrival and the target of its class.
void set_deadline(entry& added, base::duration first_token_target);

}  // namespace fuchsiaspring::admission::internal

namespace fuchsiaspring::admission {

struct admission_queue::state {
  state(const policy& initial, base::time_point now);

  internal::class_queue* find_queue(std::string_view pool, std::string_view request_class) const;

  // The queue of the pair, created when it is used for the first time.
  internal::class_queue& find_or_create(const std::string& pool, std::uint32_t class_id);

  // Adds an entry to, or removes it from, the pool's count and the order by expiry. The class queue
  // is not changed.
  void link(internal::entry& added, base::time_point now);
  void unlink(internal::entry& removed, base::time_point now);

  // Removes an entry that will not be dispatched and frees it.
  removed_request discard(internal::entry& removed, refusal_reason reason,
                          base::duration retry_after, base::time_point now);

  // The request that makes room for an arrival, or null when the arrival must be refused.
  internal::entry* find_victim(const internal::class_queue& queue,
                               const internal::entry& added) const;

  // Whether an arrival in `queue` finds room without displacing another request.
  bool has_room(const internal::class_queue& queue) const;

  // Credits all floors of the pool with their share of one dispatch and charges the dispatched
  // class. Returns the charge, which is below 1 when the class was owed less.
  double charge_floors(internal::class_queue& dispatched);
  void refund_floors(internal::class_queue& dispatched, double charge);

  // Takes over requests and rate state from the state under the previous policy. Returns the
  // requests whose class or team this policy does not name.
  std::vector<removed_request> inherit_from(const state& previous, base::time_point now);
  internal::policy_renumbering renumber(const state& previous) const;
  void inherit_rates(const state& previous, const internal::policy_renumbering& ids,
                     base::time_point now);

  void update_bounds_and_floors(internal::pool_queue& pool);

  internal::policy_index index;
  internal::by_name<std::unique_ptr<internal::pool_queue>> pools;
  std::vector<std::unique_ptr<internal::class_queue>> queues;  // highest tier first
  std::unordered_map<std::string, internal::entry, internal::string_hash, std::equal_to<>> entries;
  std::set<std::tuple<base::time_point, std::uint64_t, internal::entry*>> expiry;
  std::uint64_t next_sequence = 0;
};

}  // namespace fuchsiaspring::admission
