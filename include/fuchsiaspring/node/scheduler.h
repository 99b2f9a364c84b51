// Admission and placement of one node's requests: which are dispatched now, which are queued and
// which are refused.
//
//   node::scheduler scheduler(placer_config, seed, now);
//   scheduler.adopt(config, replicas, evacuated_domains, now);   // on every new published state
//
//   scheduler.admit(request, [](const node::admission_result& result) {
//     std::visit(relay::overloaded{[](const node::grant& granted) { send(granted.chosen); },
//                                  [](const node::refusal& refused) { refuse(refused); }}, result);
//   }, now);
//   scheduler.pump(now);   // when a request ends, and on a timer
//
// Load patterns that it handles:
//  - A burst of a less urgent class: queued requests are ordered by urgency, then by deadline,
//    then by fair shares of the teams (see admission_queue.h); each class has a floor.
//  - Replicas whose latency grows: a request counts as able to meet its target only while the time
//    left is at least the recent time to the first token of such requests, so that replicas spend
//    their capacity on requests that will be in time.
//  - More work than can meet its target: a request that can no longer meet it is dispatched after
//    those of its urgency that still can, and refused when too little of its caller's time is left.
//  - Callers that retry at the same time after refusals: each gets a retry delay of the expected
//    queueing time, varied at random by up to a quarter.
//  - All replicas of a service ask for a pause: a request waits if it can still be served after the
//    first of these pauses, and is refused at once otherwise, with a retry delay that ends behind
//    that pause, later by a random share. When all replicas leave, requests are refused at once.
//
// A result is delivered once, from within admit(), adopt() or pump(). If a result handler throws,
// its grant is returned to the placer, the other results are delivered, and the outermost of these
// functions then throws the first such exception. Not thread-safe; no function blocks.
#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "fuchsiaspring/admission/admission_queue.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/types.h"
#include "fuchsiaspring/placement/placer.h"
#include "fuchsiaspring/placement/types.h"
#include "fuchsiaspring/routes/route_table.h"
#include "fuchsiaspring/routes/urgency.h"

namespace fuchsiaspring::node {

struct admission_request {
  std::string id;     // unique among the node's requests
  std::string group;  // request_group() of its route
  routes::urgency urgency;
  std::string team;  // empty: a caller without a team
  placement::request_profile profile;
  base::duration waited{};     // since the request arrived
  base::duration time_left{};  // until the caller's or the route's timeout
};

struct grant {
  placement::choice chosen;
  base::duration queued{};  // time between admit() and the grant
};

enum class refusal_reason {
  unknown_service,  // the configuration has no such service
  no_replica,       // no replica is in service
  queue_full,
  displaced,         // removed from the queue for an arrival with precedence
  too_late,          // queued until too little of its caller's time was left
  replicas_held,     // all replicas asked for a pause that ends too late for the request
  replicas_leaving,  // all replicas stated that they leave
  // No region of the deployment is permitted by both the route and the team.
  no_permitted_region,
};

// Stable lower-case name, the label of counters and log lines.
std::string_view to_string(refusal_reason reason);

struct refusal {
  refusal_reason reason = refusal_reason::too_late;
  base::duration retry_after{};
};

using admission_result = std::variant<grant, refusal>;
using result_handler = std::function<void(const admission_result&)>;

class scheduler {
 public:
  scheduler(placement::placer_config config, std::uint64_t seed, base::time_point now);

  // Replaces the configuration, the published replicas and the evacuated failure domains.
  void adopt(const routes::configuration& config, const std::vector<placement::replica>& replicas,
             const std::set<std::string>& evacuated_domains, base::time_point now);

  void admit(const admission_request& request, result_handler on_result, base::time_point now);

  // A replica for a request that gives up another one only if there is one, past the queue.
  std::optional<placement::choice> find_replica(const placement::request_profile& profile,
                                                base::time_point now);

  // Grants what find_replica() has returned at the same time.
  grant grant_replica(const placement::request_profile& profile, const placement::choice& chosen,
                      base::time_point now);

  // Removes a request whose caller has disconnected. Does nothing if its result was already
  // delivered.
  void withdraw(std::string_view id, base::time_point now);

  // Grants the queued requests that replicas can take now and refuses those that are too late or
  // whose service is no longer configured. Requests of a configured service without a replica stay
  // queued: replicas that restart or were unreachable come back while their callers wait.
  void pump(base::time_point now);

  // The retry delay for a caller whose request is refused for another reason than these: `usual`,
  // but not before a replica that it may use takes requests again.
  base::duration retry_delay(const placement::request_profile& profile, base::duration usual,
                             base::time_point now);

  // Rank of `level` in the current configuration.
  urgency_rank rank_of(const routes::urgency& level) const;

  std::size_t waiting() const { return m_waiting.size(); }

  placement::placer& placer() { return m_placer; }
  const placement::placer& placer() const { return m_placer; }

 private:
  struct waiting_request {
    admission_request request;
    result_handler on_result;
    base::time_point admitted_at;
    bool is_late = false;  // it can no longer meet its target
  };

  void grant_and_refuse(base::time_point now);
  void enqueue(const std::string& id, base::time_point now);
  void enqueue_as_late(const std::string& id, base::time_point now);
  void handle_removed(const admission::removed_request& removed, base::time_point now);
  void deliver_result(const std::string& id, const admission_result& result);
  void deliver_grant(const result_handler& on_result, const placement::request_profile& profile,
                     const grant& granted, base::time_point now);
  // Returns whether the handler returned without an exception, which is kept otherwise.
  bool call_handler(const result_handler& on_result, const admission_result& result);
  void rethrow_handler_failure();
  base::duration retry_after(const waiting_request& item, base::time_point now);
  void refuse_paused(base::time_point now);
  // The refusal of a request that cannot be served because of what its replicas have stated.
  std::optional<refusal> refusal_for_pause(const waiting_request& item, base::time_point now);
  bool can_wait_until(const waiting_request& item, base::time_point until) const;
  // The pause for the next request of the same caller, which may use all replicas.
  std::optional<placement::service_pause> pause_of_next(const placement::request_profile& profile,
                                                        base::time_point now) const;
  base::duration delay_of(const placement::service_pause& pause, base::time_point now);
  // The delay, varied at random so that callers do not retry at the same time.
  base::duration spread(base::duration delay);
  bool is_queue_empty_for(const std::string& service) const;
  // Names of the classes that the waiting requests need, also once they are late.
  std::set<std::string> classes_of_waiting() const;

  placement::placer m_placer;
  admission::admission_queue m_queue;
  routes::urgency_order m_urgencies;
  admission::policy m_policy;           // of the current configuration, without former classes
  admission::policy m_policy_in_force;  // m_policy with former classes
  base::random_source m_random;
  std::map<std::string, waiting_request, std::less<>> m_waiting;
  // The pauses for which the waiting requests have been checked.
  std::map<std::string, placement::service_pause, std::less<>> m_known_pauses;
  bool m_is_pumping = false;
  int m_running_handlers = 0;
  std::exception_ptr m_handler_failure;  // the first that has not been rethrown
};

// Classes and tiers of the queue for a configuration: two classes for each group and urgency, one
// for requests that can still meet their target and, in the next lower tier, one for late requests.
admission::policy make_admission_policy(const routes::configuration& config,
                                        const routes::urgency_order& order);

// `next` with the classes and tiers of `former` that it lacks, so that queued requests keep their
// places when a new configuration changes their route.
admission::policy with_former_classes(admission::policy next, const admission::policy& former);

// The classes of `given` with these names and their tiers, without teams.
admission::policy with_classes_only(const admission::policy& given,
                                    const std::set<std::string>& names);

// Name of the group of requests that the queue treats alike: those of all routes to one service
// with the same kind, latency target and longest wait. The cost of a queue operation grows with
// the number of groups, which stays small in a configuration of thousands of routes.
std::string request_group(const routes::route& route);

// `group` if the policy has a class for it and the urgency. Otherwise another group of the service
// that it has such a class for: a request that is repeated may have been routed by a configuration
// whose groups have changed. `group` if there is none.
std::string find_group(const admission::policy& policy, const std::string& group,
                       std::string_view service, const routes::urgency& level);

// Name of the queue's class for requests of the group and urgency.
std::string class_name(std::string_view group, const routes::urgency& level, bool is_late);

}  // namespace fuchsiaspring::node
