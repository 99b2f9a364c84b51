// Prompt parts that end the replicas which answer them.
//
// A prompt consists of parts that many requests share. A part may make an engine crash as soon as
// it generates for a prompt that contains it, so that repeats and new requests end one replica
// after the other. Each node collects, for every part, the replicas that ended while they worked on
// it. Nodes exchange this evidence, since one node sees only some of the crashes, and all of them
// block a part once the evidence is conclusive.
//
//   quarantine::part_quarantine parts({}, "vm-1");
//   parts.record_crash({.replica = id, .suspects = suspects, .at = now}, now);  // own observation
//   parts.record_answer(part_ids, begun_at, now);    // a response that went on or is complete
//   send_to_all(parts.take_changes(origin, now, limit));  // at once after each of these calls
//   send_to_one(parts.evidence(now, limit));              // to some peer at an interval
//   parts.merge(received, origin, now);
//   if (parts.check(part_ids, now) == quarantine::verdict::blocked) { refuse(); }
//
// What counts against a part, and what for it:
//  - Crashes close together count as one: a lost rack ends many replicas at once, while a part ends
//    one replica per request.
//  - A burst of requests ends many replicas at once too. A part that was never answered, while
//    others were, and on which many replicas have ended, is blocked and tried again soon: the trial
//    tells it from a part that only ran at a lost rack.
//  - A response that begins after a crash and goes on, or is completed, clears the part of that
//    crash. Parts that most requests share are cleared within moments; evidence against parts that
//    this node has just seen answered is therefore not sent to all nodes.
//  - A part that was never answered is a likelier cause than one that was, whatever their numbers
//    of crashes: the others ran beside it. Between parts with the same evidence the one deeper in
//    the prompt is blocked, because fewer requests share it.
//  - Crashes that a blocked part explains do not count against less likely causes, and a part that
//    was blocked for them is released.
//
// Merging is idempotent and independent of the order of messages. Ages travel instead of times, so
// that evidence of a node that was cut off arrives as old as it is. A blocked part is tried again
// by one request of one node after a while, a limited number of times, and is cleared if that
// request is answered. As long as another part is as likely a cause, a request without that part is
// a trial much sooner: its outcome tells the two apart. A blocked part is forgotten when no request
// names it any more.
//
// Not thread-safe; one task owns it. Time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/quarantine/crash_history.h"

namespace fuchsiaspring::quarantine {

struct quarantine_options {
  std::size_t blocking_crashes = 3;  // separate crashes that block a part
  std::size_t suspect_crashes = 2;   // separate crashes from which on requests are not repeated
  base::duration min_separation = std::chrono::milliseconds(300);  // of crashes counted separately
  // Replicas that end on a part which was never answered and block it, also if they do so at once.
  std::size_t blocking_replicas = 5;
  // Responses without such a part in the same time, by which other parts are known to be answered.
  std::size_t min_other_answers = 3;
  // Covers separate crashes that are half a minute apart.
  base::duration evidence_lifetime = std::chrono::minutes(2);
  base::duration block_lifetime = std::chrono::minutes(10);  // after the last request
  base::duration first_trial_delay = std::chrono::seconds(20);
  std::uint32_t trial_delay_factor = 4;  // between a trial and the next one
  std::uint32_t max_trials = 2;
  // Between trials that tell a blocked part from another one with the same evidence.
  base::duration comparing_trial_delay = std::chrono::seconds(2);
  std::uint32_t max_comparing_trials = 2;
  // Of a part that bursts of crashes have blocked.
  base::duration burst_trial_delay = std::chrono::seconds(1);
  std::uint32_t max_burst_trials = 1;
  // Evidence against a part that was completed this short a time ago is not urgent.
  base::duration recent_completion = std::chrono::seconds(2);
  std::size_t max_parts = 512;       // with evidence against them
  std::size_t max_sent_crashes = 8;  // of a part, in a message

  friend bool operator==(const quarantine_options&, const quarantine_options&) = default;
};

// A part of a prompt that may have ended a replica.
struct suspect {
  std::uint64_t part = 0;
  std::uint32_t depth = 0;  // position in the prompt, from 0

  friend bool operator==(const suspect&, const suspect&) = default;
};

// A replica that ended, with the parts of the prompts that this node had sent it.
struct crash_report {
  std::uint32_t replica = 0;  // hash of the replica's id and start, see hash_replica_start()
  std::vector<suspect> suspects;
  base::time_point at{};

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

// A replica that ended some time ago.
struct crash_age {
  std::uint32_t replica = 0;
  base::duration age{};

  friend bool operator==(const crash_age&, const crash_age&) = default;
};

// What a node knows about one part, as it is sent to other nodes.
struct part_evidence {
  std::uint64_t part = 0;
  std::uint32_t depth = 0;
  std::vector<crash_age> crashes;
  std::optional<base::duration> completion_age;  // since the start of the last complete response
  std::optional<base::duration> block_age;       // absent: not blocked
  base::duration request_age{};                  // since the last request, if blocked
  std::uint32_t trials = 0;

  friend bool operator==(const part_evidence&, const part_evidence&) = default;
};

// What is known of a part that is suspected or blocked, for logs.
struct part_summary {
  std::uint64_t part = 0;
  std::uint32_t depth = 0;
  std::size_t replicas = 0;   // that ended on it
  std::size_t separate = 0;   // moments at which they did
  std::size_t explained = 0;  // replicas that ended because of another part
  bool was_never_answered = false;
  bool is_blocked = false;

  friend bool operator==(const part_summary&, const part_summary&) = default;
};

enum class verdict {
  allowed,
  suspected,  // may be sent, but not a second time
  trial,      // may be sent once; the part is blocked for all other requests
  blocked,
};

// Stable lower-case name, for logs and counters.
std::string_view to_string(verdict value);

// Whose changes are forwarded.
enum class change_origin {
  own,  // what this node observed or concluded
  any,  // also what it learned from other nodes, where these do not reach all nodes themselves
};

// Identifies one start of a replica. Restarts of a replica whose start is not published look alike
// and count as one crash.
std::uint32_t hash_replica_start(std::string_view replica_id, std::uint64_t started_at_ms);

class part_quarantine {
 public:
  // `node` is this node's name, which decides on which node a blocked part is tried again.
  part_quarantine(quarantine_options options, std::string node);

  // Names of all nodes, this one included.
  void set_nodes(std::vector<std::string> nodes) { m_nodes = std::move(nodes); }

  // A replica ended while this node's requests with these parts waited for a response there or had
  // just got the first event of it.
  void record_crash(const crash_report& report, base::time_point now);

  // A response to a request with these parts began at `begun_at`, and was completed or went on for
  // longer than it takes a replica to end because of a part.
  void record_answer(std::span<const std::uint64_t> parts, base::time_point begun_at,
                     base::time_point now);

  // Whether a request with these parts may be sent. The last part of a prompt belongs to one
  // request and must not be among them. Returns `trial` to one request only, which counts also if
  // it is not sent.
  verdict check(std::span<const std::uint64_t> parts, base::time_point now);

  // As check(), for a request that was checked before: starts no trial.
  verdict recheck(std::span<const std::uint64_t> parts, base::time_point now) const;

  // Evidence that other nodes need to know at once and that this function has not returned yet, at
  // most `limit` parts.
  std::vector<part_evidence> take_changes(change_origin origin, base::time_point now,
                                          std::size_t limit);

  // Whether take_changes() has something to return of this node's own.
  bool has_changes() const { return m_has_own_changes; }

  // Evidence on at most `limit` parts. Half of them are those that rank highest, blocked ones first
  // and then those with most crashes; the others change with `turn`, so that all have their turn.
  std::vector<part_evidence> evidence(base::time_point now, std::size_t limit,
                                      std::size_t turn = 0) const;

  // Adopts the evidence of another node. With `any`, take_changes() of the next interval returns
  // what is new in it.
  void merge(std::span<const part_evidence> received, change_origin forwarding,
             base::time_point now);

  // Removes what is older than its lifetime.
  void expire(base::time_point now);

  std::vector<std::uint64_t> blocked_parts(base::time_point now) const;
  // The blocked parts and those on which at least `min_replicas` ended, the likeliest cause first.
  std::vector<part_summary> summaries(std::size_t min_replicas, base::time_point now) const;
  std::size_t size() const { return m_parts.size(); }

 private:
  struct part_state {
    std::uint32_t depth = 0;
    crash_history crashes;
    crash_history explained;  // as long as another part is blocked
    std::optional<base::time_point> last_success_began_at;
    std::optional<base::time_point> blocked_at;
    base::time_point last_request{};
    base::time_point last_trial{};
    std::uint32_t trials = 0;
    std::uint32_t early_trials = 0;  // of both kinds that do not use up the others
    // Changed in a way that all nodes need to know at once.
    bool has_own_change = false;
    bool has_learned_change = false;
  };

  // Returns whether the crash is new.
  bool add_crash(std::uint64_t part, std::uint32_t depth, std::uint32_t replica,
                 base::time_point at, base::time_point now);
  // What crashes say about their part, if they have settled.
  enum class conclusion {
    none,
    probable,  // many replicas have ended, but not at enough separate moments
    certain,
  };
  conclusion conclude(std::uint64_t part, const crash_history& crashes, base::time_point now) const;
  // Whether the part is to be blocked now.
  bool is_conclusive(std::uint64_t part, const crash_history& crashes, base::time_point now) const;
  bool are_other_parts_answered(base::time_point now) const;
  void remember_answer(base::time_point begun_at);
  // Tells other nodes when a part was answered that the sender takes for never answered.
  void contradict(const part_evidence& received, base::time_point now);
  // How likely a part is to be the cause of its crashes, in increasing order.
  struct suspicion {
    bool was_never_answered = false;
    std::size_t crashes = 0;
    std::uint32_t depth = 0;

    friend bool operator==(const suspicion&, const suspicion&) = default;
    friend bool operator<(const suspicion& left, const suspicion& right) {
      return std::tie(left.was_never_answered, left.crashes, left.depth) <
             std::tie(right.was_never_answered, right.crashes, right.depth);
    }
  };
  suspicion suspicion_of(std::uint64_t part, const part_state& state, std::size_t crashes,
                         base::time_point now) const;
  bool was_answered(std::uint64_t part, base::time_point now) const;
  // Start of the last response with this part, as this node or another one has seen it.
  std::optional<base::time_point> last_answer(std::uint64_t part) const;
  // Whether the crashes after the last answer do not suffice for a block that another node reports.
  bool is_refuted(const part_evidence& received, base::time_point now) const;
  // Returns whether this releases a blocked part.
  bool clear_until(std::uint64_t part, base::time_point begun_at, base::time_point now);
  void mark_own_change(part_state& state);
  bool was_completed_recently(std::uint64_t part, base::time_point at) const;
  void merge_block(const part_evidence& received, change_origin forwarding, base::time_point now);
  // Sets aside the crashes of less likely causes that blocked parts explain.
  void explain_crashes(base::time_point now);
  // Counts the crashes again that a part explained which is not blocked any more.
  void restore_explained_crashes(base::time_point now);
  part_evidence to_evidence(std::uint64_t part, const part_state& state,
                            base::time_point now) const;
  bool is_blocked(const part_state& state, base::time_point now) const;
  // `parts` are those of the request that would be the trial.
  bool is_trial_due(std::uint64_t part, const part_state& state,
                    std::span<const std::uint64_t> parts, base::time_point now) const;
  // Time from the block or the last trial to a trial that is made sooner than others; nothing if
  // there is no reason for one.
  std::optional<base::duration> early_trial_delay(std::uint64_t part, const part_state& state,
                                                  std::span<const std::uint64_t> parts,
                                                  base::time_point now) const;
  // Whether the outcome of a request with `parts` tells the blocked part from another one, which is
  // not among them, is as likely a cause, and leaves too few crashes for a block if it is.
  bool is_comparing_trial(std::uint64_t part, const part_state& state,
                          std::span<const std::uint64_t> parts, base::time_point now) const;
  std::size_t separate_crashes(const part_state& state) const;
  void block_conclusive_parts(base::time_point now);
  void limit_parts();

  quarantine_options m_options;
  std::string m_node;
  std::vector<std::string> m_nodes;
  std::map<std::uint64_t, part_state> m_parts;
  bool m_has_own_changes = false;
  // Start of the last complete response, by part.
  std::unordered_map<std::uint64_t, base::time_point> m_last_successes;
  std::vector<base::time_point> m_latest_answers;  // starts of the latest ones, of any parts
};

}  // namespace fuchsiaspring::quarantine
