// Checks what the callers and replicas of a soak test observe against the invariants of the router.
//
//   invariant_checker checker({.revocation = 3000ms, .response_timeout = {1500ms, 1500ms}});
//   checker.on_sent({.id = "r-1", .kind = request_kind::unsafe, .key = "k-1", .sent = now});
//   checker.on_run("r-1", {.replica = "i-1", .team = "team-1", .at = now});
//   checker.on_response("r-1", response, now);
//   for (const violation& each : checker.violations()) { report(each); }
//
// The checks use only what was observed on sockets, never the state or logs of the nodes.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "deploy/soak/disturbance_log.h"

namespace fuchsiaspring::soak {

enum class request_kind { safe, unsafe, stream };

struct sent_request {
  std::string id;
  request_kind kind = request_kind::safe;
  std::string key;
  std::string team;  // owner of the key
  std::size_t node = 0;
  clock::time_point sent;
};

// What a replica sends in response to a request, unless its connection ends first.
enum class run_end { success, failure, incomplete };

// One execution of a request at a replica.
struct observed_run {
  std::string replica;
  std::string incarnation;  // of the replica, from one start to its end
  std::string team;         // from the Fuchsiaspring-Tenant header
  bool has_key = false;     // the caller's key was forwarded to the replica
  run_end end = run_end::success;
  bool has_begun = false;  // the first event has been sent to a node that still listened
  clock::time_point at;
};

// A replica's 503 with Retry-After.
struct observed_refusal {
  std::string replica;
  std::string incarnation;
  std::chrono::milliseconds retry_after{};
  clock::time_point at;
};

struct observed_response {
  unsigned status = 0;  // 0: the connection closed before a response head
  bool is_complete = false;
  bool is_signed = false;
  bool has_caller_left = false;  // the caller closed the connection, long after the timeout
  std::string body;
};

struct violation {
  std::string invariant;
  std::string id;
  std::string detail;
};

// The values that the timeout of a route takes while the configuration changes.
struct timeout_range {
  std::chrono::milliseconds shortest{};
  std::chrono::milliseconds longest{};
};

struct invariant_bounds {
  std::chrono::milliseconds revocation{};
  timeout_range response_timeout;  // of the routes that are no streams
  timeout_range stream_timeout;
  std::chrono::milliseconds drain{2000};  // from a leaving replica's answer to its last request
  std::chrono::milliseconds response_slack{500};  // after the timeout
};

// The `count` events of a stream that follow event `last_event_id`.
std::string stream_events(const std::string& id, int last_event_id, int count);
std::string response_body(const std::string& id);

class invariant_checker {
 public:
  static constexpr int events_per_stream = 6;

  explicit invariant_checker(invariant_bounds bounds) : m_bounds(bounds) {}

  void on_sent(const sent_request& request);
  void on_run(const std::string& id, const observed_run& run);
  // A replica has sent the first event of the request's stream. Ignores unknown ids.
  void on_stream_begun(const std::string& id, const std::string& replica);
  // A request that is meant for the replica has reached it, whether it runs or not.
  void on_arrival(const std::string& id, const std::string& incarnation, clock::time_point now);
  // The replica has turned the request away and wants no others from that node for a while.
  void on_turned_away(const std::string& id, const observed_refusal& refusal);
  // The replica states in its response to the request's last run that it is leaving.
  void on_leaving_stated(const std::string& id, const std::string& incarnation);
  // The replica disturbed its response to the request itself. Ignores unknown ids.
  void on_run_disturbed(const std::string& id, const std::string& replica);
  void on_response(const std::string& id, const observed_response& response, clock::time_point now);

  void on_revoked(const std::string& key, clock::time_point now) { m_revoked[key] = now; }
  void on_granted(const std::string& key) { m_revoked.erase(key); }

  // Exempts requests to `node` sent up to `until` from the time bounds, because the node is
  // suspended, killed or shutting down.
  void waive_time_bounds(std::size_t node, clock::time_point until) {
    m_waived_until[node] = until;
  }
  // The test process itself was stalled: exempts the requests sent before `now` from the time
  // bounds.
  void on_driver_stalled(clock::time_point now) { m_driver_stalled_at = now; }

  // The node is suspended, killed or close to the end of its grace period: it may break off
  // responses between `from` and on_node_recovered().
  void on_node_disturbed(std::size_t node, clock::time_point from) {
    m_node_disturbances.begin(std::to_string(node), from);
  }
  void on_node_recovered(std::size_t node, clock::time_point until) {
    m_node_disturbances.end(std::to_string(node), until);
  }
  // The node is suspended or starts again: it need not know what replicas have stated before.
  void forget_statements_to(std::size_t node);
  // Bytes to and from the replica may be lost or late.
  void on_replica_disturbed(const std::string& replica, clock::time_point from,
                            clock::time_point until) {
    m_replica_disturbances.add(replica, from, until);
  }

  // Reports requests without a response after the longest timeout of their route plus
  // `response_slack`.
  void check_deadlines(clock::time_point now);

  // The node gets SIGTERM: requests that it has read must still get a complete response, but for
  // streams that are not complete at `last_moment`.
  void on_graceful_stop(std::size_t node, clock::time_point now, clock::time_point last_moment);

  const std::vector<violation>& violations() const { return m_violations; }
  std::size_t sent() const { return m_records.size(); }
  std::size_t served() const { return m_served; }

 private:
  using node_and_incarnation = std::pair<std::size_t, std::string>;

  struct record {
    sent_request request;
    std::vector<observed_run> runs;
    std::optional<observed_response> response;
    bool states_leaving = false;                         // the response of the last run
    std::optional<clock::time_point> graceful_stop_end;  // set if read before the node's SIGTERM
    bool is_late_reported = false;
  };

  struct retry_after_window {
    std::size_t node = 0;
    observed_refusal refusal;
    int arrivals = 0;
  };

  void check_leaving(const record& entry, const std::string& incarnation, clock::time_point now);
  void check_retry_after(const record& entry, const std::string& incarnation,
                         clock::time_point now);
  void report(const std::string& invariant, const record& entry, const std::string& detail);
  void check_success(const record& entry);
  void check_refusal(const record& entry);
  void check_graceful_stop(const record& entry, clock::time_point now);
  void check_stream_goes_on(const record& entry, clock::time_point now);
  timeout_range timeout_of(const record& entry) const;
  bool has_waived_time_bounds(const record& entry) const;

  invariant_bounds m_bounds;
  std::map<std::string, record> m_records;
  std::map<std::string, clock::time_point> m_revoked;  // by key
  std::map<std::size_t, clock::time_point> m_waived_until;
  std::optional<clock::time_point> m_driver_stalled_at;
  // When a node had passed on the first response that states that the replica is leaving.
  std::map<node_and_incarnation, clock::time_point> m_leaving_known;
  std::vector<retry_after_window> m_retry_after_windows;  // of the last seconds
  disturbance_log m_node_disturbances;
  disturbance_log m_replica_disturbances;
  std::vector<violation> m_violations;
  std::size_t m_served = 0;
};

}  // namespace fuchsiaspring::soak
