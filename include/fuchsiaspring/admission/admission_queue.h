// The request queue of one VM: order under overload, fairness between teams, floors, queue bounds,
// displacement, early refusal and preemption proposals.
//
//   admission::admission_queue queue(policy, now);
//   admission::offer_outcome outcome = queue.offer(request, now, random);
//   refuse_all(outcome.displaced);
//   if (const auto* refused = std::get_if<admission::refused>(&outcome.decision)) { ... }
//
//   // Whenever an upstream has a free slot, and on a timer of about 50 ms:
//   refuse_all(queue.expire(now, random));
//   while (auto dispatched = queue.next(now, can_dispatch)) {
//     if (!start(*dispatched)) {
//       queue.put_back(*dispatched, now);
//       break;   // or let can_dispatch return false for its pool and class in later calls
//     }
//   }
//
// Requests are dispatched in this order: classes below their floor; tiers from the highest; inside
// a tier the class whose next request has the earliest deadline; inside a class teams within their
// guaranteed rate, then surplus by start-time fair queueing over the teams' weights.
//
// Guarantees:
//  - A queued request is displaced only by an arrival of a higher tier; of another class of its
//    tier, if that class is below its bound and the request's class above its own; or of another
//    team of its class, if the arrival is within its team's guaranteed rate and the request is not.
//  - An arrival is refused with `queue_full` only when requests of its own or higher tiers fill the
//    bound of the pool.
//  - A class with queued requests and a dispatchable pool gets its floor share of the pool's
//    dispatches, minus at most 3 requests, in every interval. Queue space is reserved for it, which
//    arrivals of higher tiers cannot take and which does not count towards their bound.
//
// The queue does not read a clock; `now` must not decrease between calls. Not thread-safe; one task
// owns the queue. A decision takes time logarithmic in the teams and linear in the pairs of
// pool and class in use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fuchsiaspring/admission/admission_policy.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::admission {

// A request that waits for admission.
struct queue_request {
  std::string id;  // unique among queued requests
  std::string team;
  std::string request_class;
  std::string pool;
  base::duration waited{};                // since the caller's request arrived
  base::duration first_token_estimate{};  // from dispatch to first token
  double cost = 1;                        // work relative to other requests, for fair queueing; > 0

  friend bool operator==(const queue_request&, const queue_request&) = default;
};

// Why a request left the queue without being dispatched, or was not queued.
enum class refusal_reason {
  queue_full,            // no room that the request may take
  displaced,             // removed for an arrival with precedence
  deadline_unreachable,  // it could not meet the first-token target of its class
  unknown_class,         // the policy in force does not name the class
  unknown_team,          // the policy in force does not name the team
};

// Stable lower-case name of `reason`, for counters and refusals.
std::string_view to_string(refusal_reason reason);

struct queued {
  bool already_queued = false;  // a request with this id is queued already and is unchanged

  friend bool operator==(const queued&, const queued&) = default;
};

struct refused {
  refusal_reason reason = refusal_reason::queue_full;
  base::duration retry_after{};  // 1 s to 60 s, jittered by up to a quarter

  friend bool operator==(const refused&, const refused&) = default;
};

// A queued request that was removed and must be refused by the owner of the queue.
struct removed_request {
  queue_request request;
  refused refusal;

  friend bool operator==(const removed_request&, const removed_request&) = default;
};

struct offer_outcome {
  std::variant<queued, refused> decision;
  std::vector<removed_request> displaced;
};

// The rule by which a request was selected.
enum class dispatch_rule { floor, guarantee, surplus };

std::string_view to_string(dispatch_rule rule);

// A request that left the queue to be dispatched now.
struct dispatched_request {
  queue_request request;  // `waited` as of the dispatch
  std::uint32_t tier_rank = 0;
  dispatch_rule rule = dispatch_rule::surplus;
  bool charged_guarantee = false;  // for put_back()
  bool conforming = false;         // for put_back()
  double floor_charge = 0;         // for put_back()
  std::uint64_t sequence = 0;      // for put_back()
  base::time_point offered{};      // for put_back()
  base::time_point arrived{};      // for put_back()
};

// Whether a request of the class can be dispatched to the pool now. Called at most once for each
// pair of pool and class during one next(). Must not call the queue.
using dispatch_predicate =
    std::function<bool(std::string_view pool, std::string_view request_class)>;

// Use of the pools by this VM, for the headroom of urgent classes; see admission_queue::next().
struct pool_usage {
  // Slots of the pool that this VM may use now.
  std::function<std::size_t(std::string_view pool)> free_slots;
  // Requests of the class that this VM has running in the pool.
  std::function<std::size_t(std::string_view pool, std::string_view request_class)> running;
};

// A request in flight, as far as a preemption proposal needs it.
struct running_request {
  std::string id;
  std::string request_class;
  std::string pool;
  std::uint32_t tokens = 0;  // generated so far
  bool idempotent = false;
  bool cancelling = false;                      // preempted, but its slot is not free yet
  dispatch_rule rule = dispatch_rule::surplus;  // from dispatched_request
};

struct preemption {
  std::string victim_id;       // running request to cancel
  std::string beneficiary_id;  // queued request that needs its slot

  friend bool operator==(const preemption&, const preemption&) = default;
};

// State of one pair of pool and class. Counters start at the construction of the queue.
struct class_snapshot {
  std::string pool;
  std::string request_class;
  std::uint32_t tier_rank = 0;
  std::size_t queued = 0;
  std::size_t bound = 0;           // of the class
  std::size_t pool_bound = 0;      // of all classes of the pool
  base::duration oldest_wait{};    // since the caller's arrival; 0 when empty
  base::duration expected_wait{};  // of an arrival beyond its guarantee
  double floor_credit = 0;         // dispatches owed by the floor
  std::uint64_t dispatched = 0;
  std::uint64_t dispatched_by_floor = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t refused_deadline = 0;  // early refusals and expired requests
  std::uint64_t displaced = 0;
};

// Queue of one team in one pool and class.
struct team_snapshot {
  std::string pool;
  std::string request_class;
  std::string team;
  std::size_t queued = 0;
  bool within_guarantee = false;
};

class admission_queue {
 public:
  admission_queue(const policy& initial, base::time_point now);
  ~admission_queue();
  admission_queue(admission_queue&&) noexcept;
  admission_queue& operator=(admission_queue&&) noexcept;
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;

  // Replaces the policy. Queued requests keep their place, deadlines follow the new targets, and
  // floor credits and rate state are kept by name. Removes and returns the requests whose class or
  // team the new policy does not name. A lowered bound removes no request.
  std::vector<removed_request> update_policy(const policy& next, base::time_point now);

  // Queues or refuses a request. A repeated id is accepted and changes nothing.
  offer_outcome offer(const queue_request& request, base::time_point now,
                      base::random_source& random);

  // Removes and returns the request to dispatch now, or nothing when none can be dispatched. The
  // caller runs expire() first, so that no request that would miss its target takes a slot.
  //
  // With `usage`, slots are reserved for urgent classes, those with a first-token target up to 5 s:
  // a class of a lower tier is dispatched, other than by its floor, only while more slots are free
  // than the usual fluctuation of the running urgent requests of higher tiers, or more than half of
  // all slots. Without `usage`, a burst of urgent requests is queued until long requests of lower
  // tiers end.
  std::optional<dispatched_request> next(base::time_point now,
                                         const dispatch_predicate& can_dispatch,
                                         const pool_usage* usage = nullptr);

  // Undoes a next() whose request could not be started: the request returns to the front of its
  // team's queue with its deadline, and floor credit, guaranteed rate and fair share are restored.
  // Queue bounds are not applied. Does nothing when the policy no longer names class or team;
  // returns whether the request is queued.
  bool put_back(const dispatched_request& dispatched, base::time_point now);

  // Removes a request whose caller has disconnected. Returns whether it was queued.
  bool withdraw(std::string_view id, base::time_point now);

  // Removes and returns the queued requests that could not meet their first-token target even if
  // they were dispatched now (`deadline_unreachable`).
  std::vector<removed_request> expire(base::time_point now, base::random_source& random);

  // When expire() next has something to remove; nothing when no queued request has a deadline.
  std::optional<base::time_point> next_expiry() const;

  // A running request to cancel so that a queued one meets its target, or nothing. The victim is
  // idempotent, in the same pool, of a preemptible class of a lower tier, has generated fewer than
  // `preemption_max_tokens` tokens and was not dispatched by a floor; among those the lowest tier
  // and then the fewest tokens are chosen. Changes nothing: the caller cancels the victim, marks it
  // as `cancelling` in later calls and confirms with record_preempted(). Each request marked so
  // counts as a slot that will be free for one queued request of its pool.
  std::optional<preemption> propose_preemption(base::time_point now,
                                               std::span<const running_request> running) const;

  // Returns the dispatch of a cancelled victim to the floor credit of its class, since its work is
  // discarded.
  void record_preempted(std::string_view pool, std::string_view request_class);

  // Expected time until a request offered now would be dispatched, 0 without an estimate.
  base::duration expected_wait(std::string_view pool, std::string_view request_class,
                               std::string_view team, base::time_point now) const;

  // Number of queued requests, in all or of one pool.
  std::size_t size() const;
  std::size_t size(std::string_view pool) const;

  // Queued requests of `pool` by tier rank; index is the rank. For loan requests.
  std::vector<std::uint32_t> queued_by_rank(std::string_view pool) const;

  // State for status pages: one entry for each pair of pool and class, and one for each team with
  // queued requests.
  std::vector<class_snapshot> class_snapshots(base::time_point now) const;
  std::vector<team_snapshot> team_snapshots(base::time_point now) const;

 private:
  struct state;
  std::unique_ptr<state> m_state;
};

}  // namespace fuchsiaspring::admission
