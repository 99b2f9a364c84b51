// What replicas state about themselves in their answers: that they leave, and for how long they
// want no requests.
//
//   placement::notice_board board;
//   board.set_drain_bound(bound);
//   const placement::notice_change change = board.record({"i-1", started_at_ms}, notice, now);
//   if (board.effect({"i-1", started_at_ms}, now) == placement::notice_effect::held) { ... }
//
// A notice belongs to one start of a replica: it neither concerns a replica that has started again
// under the same id nor another one at the same address. It outlasts the replica's published entry,
// which may expire and return while the same process runs.
//
// Memory is bounded by `max_notices`. No function reads a clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::placement {

// Longest hold that is believed. A replica that states a longer one, in a wrong unit perhaps, is
// asked again after this time instead of being out of use until it restarts.
inline constexpr base::duration max_hold = std::chrono::minutes(5);

// Starts of replicas that are remembered. A node knows a few hundred replicas at a time.
inline constexpr std::size_t max_notices = 1024;

// One start of a replica.
struct replica_start {
  std::string id;
  std::uint64_t started_at_ms = 0;  // as published, 0: not published

  friend bool operator==(const replica_start&, const replica_start&) = default;
  friend bool operator<(const replica_start& left, const replica_start& right) {
    return std::tie(left.id, left.started_at_ms) < std::tie(right.id, right.started_at_ms);
  }
};

// What one answer states about its replica.
struct replica_notice {
  bool is_leaving = false;             // leaves soon, wants no new requests
  std::optional<base::duration> hold;  // wants no requests for this time

  friend bool operator==(const replica_notice&, const replica_notice&) = default;
};

// What recording a notice has changed.
struct notice_change {
  bool has_begun_leaving = false;
  bool has_begun_hold = false;  // false also when a hold in force was extended
  bool is_hold_cut = false;     // the stated hold is longer than `max_hold`
  base::duration hold_left{};   // of the hold in force

  friend bool operator==(const notice_change&, const notice_change&) = default;
};

// What a replica's notices mean for new requests.
enum class notice_effect {
  none,
  leaving,  // gets requests only while no other replica serves them
  held,     // gets none until the hold has ended
  left,     // gets none any more
};

class notice_board {
 public:
  // Time after the first leaving notice in which the replica may still get requests.
  void set_drain_bound(base::duration bound) { m_drain_bound = bound; }
  base::duration drain_bound() const { return m_drain_bound; }

  // A shorter hold does not shorten a longer one in force.
  notice_change record(const replica_start& from, const replica_notice& notice,
                       base::time_point now);

  notice_effect effect(const replica_start& start, base::time_point now) const;

  // Whether the replica has stated that it leaves.
  bool is_leaving(const replica_start& start) const;

  // End of the last hold; the epoch if there was none.
  base::time_point hold_end(const replica_start& start) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  struct entry {
    std::optional<base::time_point> leaving_since;
    base::time_point held_until{};
    base::time_point recorded_at{};
  };

  const entry* find(const replica_start& start) const;
  void make_room(base::time_point now);

  base::duration m_drain_bound{};
  std::map<replica_start, entry> m_entries;
};

}  // namespace fuchsiaspring::placement
