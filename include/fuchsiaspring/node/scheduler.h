// Admission and placement of one node's requests: what is dispatched now, what waits, what is
// turned away.
//
//   node::scheduler scheduler(placer_config, seed, now);
//   scheduler.adopt(state, now);                       // on every new published state
//
//   scheduler.admit(request, [](const node::admission_result& result) {
//     std::visit(relay::overloaded{[](const node::grant& granted) { send(granted.chosen); },
//                                  [](const node::refusal& refused) { answer(refused); }}, result);
//   }, now);
//   scheduler.pump(now);                               // when work ends, and on a timer
//
// Load patterns that it answers:
//  - A burst of a less urgent class: waiting requests go by urgency, then by deadline, then by
//    fair shares of the teams (see admission_queue.h); each class has a floor.
//  - Replicas that take longer and longer: a request can meet its target only if the time that such
//    requests lately took at their replicas is still left, so that replicas work for requests that
//    will be in time.
//  - More work than can meet its target: a request that can no longer meet it yields to those of
//    its urgency that still can, and is turned away when too little of its caller's time is left.
//  - Callers that come back together after a refusal: each is told to come back after the time that
//    the queue needs, spread by a quarter.
//
// A result is delivered once, from within admit() or pump(). Not thread-safe; no function blocks.
#pragma once

#include <cstdint>
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
#include "fuchsiaspring/node/facts.h"
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
  placement::work work;
  base::duration waited{};     // since the request arrived
  base::duration time_left{};  // until its caller goes or its route times out
};

struct grant {
  placement::choice chosen;
  base::duration queued{};  // time between admit() and the grant
};

enum class turn_away_reason {
  unknown_service,  // the configuration has no such service
  no_replica,       // no replica is in service
  queue_full,
  displaced,  // an arrival with precedence took its place in the queue
  too_late,   // it waited until too little of its caller's time was left
};

// Stable lower-case name, the label of counters and log lines.
std::string_view to_string(turn_away_reason reason);

struct refusal {
  turn_away_reason reason = turn_away_reason::too_late;
  base::duration retry_after{};
};

using admission_result = std::variant<grant, refusal>;
using result_handler = std::function<void(const admission_result&)>;

class scheduler {
 public:
  scheduler(placement::placer_config config, std::uint64_t seed, base::time_point now);

  // Puts a configuration, the published replicas and evacuations in force.
  void adopt(const routes::configuration& config, const std::vector<placement::replica>& replicas,
             const std::set<std::string>& evacuated_domains, base::time_point now);

  void admit(const admission_request& request, result_handler on_result, base::time_point now);

  // The caller is gone. Nothing happens if the result was delivered before.
  void withdraw(std::string_view id, base::time_point now);

  // Grants and refuses what can be granted and must be refused now.
  void pump(base::time_point now);

  // Rank of a request in the configuration in force.
  urgency_rank rank_of(const routes::urgency& level) const;

  std::size_t waiting() const { return m_waiting.size(); }

  placement::placer& placer() { return m_placer; }
  const placement::placer& placer() const { return m_placer; }

 private:
  struct waiting_request {
    admission_request request;
    result_handler on_result;
    base::time_point admitted_at;
    bool is_late = false;  // it cannot meet its target any more
  };

  void offer(const std::string& id, base::time_point now);
  void offer_late(const std::string& id, base::time_point now);
  void on_removed(const admission::removed_request& removed, base::time_point now);
  void finish(const std::string& id, const admission_result& result);
  base::duration retry_after(const waiting_request& item, base::time_point now);
  bool is_queue_empty_for(const std::string& service) const;

  placement::placer m_placer;
  admission::admission_queue m_queue;
  routes::urgency_order m_urgencies;
  admission::policy m_policy;  // of the configuration in force alone
  base::random_source m_random;
  std::map<std::string, waiting_request, std::less<>> m_waiting;
  bool m_is_pumping = false;
};

// Classes and tiers of the queue for a configuration: one class for each group and urgency, once
// for requests that can meet their target and once, right below, for the others.
admission::policy make_admission_policy(const routes::configuration& config,
                                        const routes::urgency_order& order);

// `next`, with the classes and tiers of `former` that it lacks: requests that wait when a
// configuration is adopted keep their places although their route changed.
admission::policy with_former_classes(admission::policy next, const admission::policy& former);

// Name of the requests that the queue treats alike: those of all routes to one service with the
// same kind, target and patience. A configuration of thousands of routes has few groups, and the
// queue's work grows with them.
std::string request_group(const routes::route& of_route);

// Name of the queue's class.
std::string class_name(std::string_view group, const routes::urgency& level, bool is_late);

}  // namespace fuchsiaspring::node
