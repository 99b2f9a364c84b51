// Corrects the state of a configuration service that has come back from an older copy.
//
//   node::return_guard guard;
//   guard.begin_return(held, now);               // the first state of the new era was read
//   guard.correct(read, held, now);
//   guard.learn(held_by_a_peer, state, now);
//
// Departures that the copy does not show are remembered: a replica that was seen draining or gone
// stays so for its incarnation, which is its published start time. What is missing from the copy is
// kept until its writer has had time to write it again. What the new era has listed once and lists
// no longer has been removed. Entries of the same era are followed as they are.
//
// Not thread-safe; time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/held_state.h"
#include "fuchsiaspring/node/types.h"

namespace fuchsiaspring::node {

// What currently differs from the state as it was read.
struct return_corrections {
  std::size_t kept_replicas = 0;      // missing from the copy
  std::size_t departed_replicas = 0;  // listed by the copy, but drained or gone
  std::size_t kept_evacuations = 0;   // missing from the copy

  friend bool operator==(const return_corrections&, const return_corrections&) = default;
};

class return_guard {
 public:
  // Time within which running replicas are listed again, with a margin: they write every 1.2 s.
  static constexpr base::duration replica_write_time = std::chrono::milliseconds(2300);
  // Operators' tools notice a lost write and repeat it within seconds. An evacuation that is kept
  // too long costs the capacity of a domain for that time, one that is dropped too early costs
  // requests.
  static constexpr base::duration operator_write_time = std::chrono::seconds(10);
  // Entries expire after 3.6 s without a write. One that is still listed after this time is written
  // by a replica that runs, although its earlier entry had expired.
  static constexpr base::duration expiry_time = std::chrono::seconds(60);
  // A copy is some seconds old, and no older departure can be missing from it.
  static constexpr base::duration departure_memory = std::chrono::minutes(10);
  // An older departure is no longer missing from a copy that is some seconds old.
  static constexpr base::duration told_departure_age = std::chrono::minutes(1);
  // More than the largest fleet has replicas; about 0.5 MB.
  static constexpr std::size_t max_departures = 4096;

  // The service was unreachable long enough for entries of `held` to expire.
  void begin_outage(const published_state& held, base::time_point now);
  // The service has come back from a copy that may lack what is in `held`.
  void begin_return(const published_state& held, base::time_point now);

  // Corrects `read`. `held` is the last corrected state.
  void correct(published_state& read, const published_state& held, base::time_point now);

  // Applies to `state` what another node holds and the content behind `state` lacks. What this node
  // has seen itself goes first.
  void learn(const held_state& told, published_state& state, base::time_point now);

  // What another node may learn.
  std::vector<held_departure> departures(base::time_point now) const;
  std::vector<held_evacuation> evacuations(const published_state& state,
                                           base::time_point now) const;

  // Whether missing replicas are currently kept.
  bool is_holding(base::time_point now) const { return now < m_replicas_until; }
  const return_corrections& corrections() const { return m_corrections; }
  // Time since the last return.
  std::optional<base::duration> age(base::time_point now) const {
    return m_returned_at ? std::optional(now - *m_returned_at) : std::nullopt;
  }
  std::size_t remembered_departures() const { return m_departures.size(); }

 private:
  struct departure {
    std::uint64_t started_at_ms = 0;  // of this incarnation and of earlier ones
    bool has_drained = false;
    bool is_gone = false;
    base::time_point seen_at{};
    // Since when a copy lists the replica as if it had not departed.
    std::optional<base::time_point> contradicted_at;
  };

  // Returns whether the entry is to be used; may mark it as draining.
  bool check_entry(placement::replica& entry, const placement::replica* held, base::time_point now);
  void record_gone(const placement::replica& entry, base::time_point now);
  void record_draining(const placement::replica& entry, base::time_point now);
  void learn_departures(const held_state& told, published_state& state, base::time_point now);
  void correct_evacuations(published_state& read, base::time_point now);
  void forget_old_departures(base::time_point now);

  std::map<std::string, departure, std::less<>> m_departures;  // by replica
  std::set<std::string, std::less<>> m_unlisted_replicas;      // not listed since the hold began
  std::set<std::string, std::less<>> m_unlisted_evacuations;
  base::time_point m_replicas_until{};
  base::time_point m_evacuations_until{};
  std::optional<base::time_point> m_returned_at;
  return_corrections m_corrections;
};

}  // namespace fuchsiaspring::node
