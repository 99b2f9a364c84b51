// What callers and replicas of a soak saw, and the promises that it must agree with.
//
//   promises seen({.revocation = 3000ms});
//   seen.on_sent({.id = "r-1", .kind = request_kind::once, .key = "k-1", .node = 0, .sent = now});
//   seen.on_run("r-1", {.replica = "i-1", .team = "team-1", .at = now});
//   seen.on_answer("r-1", answer, now);
//   for (const violation& each : seen.violations()) { report(each); }
//
// Every check goes by what was seen on sockets; none asks the nodes.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaspring::soak {

using clock = std::chrono::steady_clock;

enum class request_kind { safe, once, stream };

struct sent_request {
  std::string id;
  request_kind kind = request_kind::safe;
  std::string key;
  std::string team;  // that holds the key
  std::size_t node = 0;
  clock::time_point sent;
};

// One run of a request at a replica.
struct seen_run {
  std::string replica;
  std::string team;      // as the replica was told
  bool has_key = false;  // the caller's key reached the replica
  bool is_sound = true;  // the replica answers in full
  clock::time_point at;
};

struct seen_answer {
  unsigned status = 0;  // 0: the connection ended without an answer
  bool is_complete = false;
  bool is_signed = false;
  std::string body;
};

struct violation {
  std::string promise;
  std::string id;
  std::string detail;
};

struct promise_bounds {
  std::chrono::milliseconds revocation{};
  std::chrono::milliseconds timeout{};          // of every route
  std::chrono::milliseconds answer_slack{500};  // after the timeout
};

// Events of one stream, as a replica makes them behind `after`.
std::string stream_events(const std::string& id, int after, int count);
std::string answer_body(const std::string& id);

class promises {
 public:
  static constexpr int events_per_stream = 6;

  explicit promises(promise_bounds bounds) : m_bounds(bounds) {}

  void on_sent(const sent_request& request);
  void on_run(const std::string& id, const seen_run& run);
  void on_answer(const std::string& id, const seen_answer& answer, clock::time_point now);

  void on_revoked(const std::string& key, clock::time_point now) { m_revoked[key] = now; }
  void on_granted(const std::string& key) { m_revoked.erase(key); }

  // The node is stopped, killed or told to stop; bounds of time do not hold for its requests that
  // are open before `until`.
  void on_node_disturbed(std::size_t node, clock::time_point until) { m_disturbed[node] = until; }
  // The soak's own process was held up, so that times measured across `now` say nothing.
  void on_held_up(clock::time_point now) { m_held_up = now; }

  // Looks for requests whose time is up without an answer.
  void check_times(clock::time_point now);

  // The node gets SIGTERM; what it has read must be answered.
  void on_planned_stop(std::size_t node, clock::time_point now);

  const std::vector<violation>& violations() const { return m_violations; }
  std::size_t sent() const { return m_records.size(); }
  std::size_t served() const { return m_served; }

 private:
  struct record {
    sent_request request;
    std::vector<seen_run> runs;
    std::optional<seen_answer> answer;
    bool is_in_planned_stop = false;
    bool is_late_reported = false;
  };

  void report(const std::string& promise, const record& on, const std::string& detail);
  void check_success(const record& on);
  void check_refusal(const record& on);
  bool is_disturbed_since(const record& on) const;

  promise_bounds m_bounds;
  std::map<std::string, record> m_records;
  std::map<std::string, clock::time_point> m_revoked;  // by key
  std::map<std::size_t, clock::time_point> m_disturbed;
  std::optional<clock::time_point> m_held_up;
  std::vector<violation> m_violations;
  std::size_t m_served = 0;
};

}  // namespace fuchsiaspring::soak
