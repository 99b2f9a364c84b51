// Adoption and activation of VM list versions by one agent (rule 4 in section 6 of the design
// document).
//
//   view_tracker view("vm1", rules, base::boot_clock::now(), base::wall_clock_ms());
//   view.adopt(list);
//   view.on_heartbeat("vm2", heartbeat, sent_at_ms, now, wall_ms);
//   view.advance(now, wall_ms);
//   if (view.acting_version(now, wall_ms) != 0) { claim under view.lists_for_claim(...) }
//
// Terms:
// - Adopted: the highest version this agent holds. It never acts under a lower one again.
// - Voter: an agent whose record of adopted versions is complete since a base version. A restart
//   loses the record. A restarted agent becomes a voter again when at least half of the members of
//   its version are voters that are still at this version. Until then its reports are not counted,
//   because it may have lost a newer version that was activated with its report.
// - Activated: more than half of the members of each earlier version that may be active are voters
//   that adopted this version. An agent establishes this by counting, or learns it from
//   `activated_versions` of any heartbeat.
// - Confirmed: at least half of the members were voters at this version within the confirmation
//   limit. An agent acts only under a confirmed version. This stops a minority that does not
//   receive a newer version: once the window has passed, the others no longer consult its records.
// - Floor: operators state that no VM of a lower version runs. A fleet without voters starts with a
//   floor that equals its version, when all members are at it. Which versions were active before is
//   then unknown, so keys that may be older than this start are refused for the window.
//
// An agent that is no voter sends heartbeats without `adopted_versions`. In `activated_versions` a
// number with the highest bit stands for older versions that are no longer known.
// Not thread-safe; the agent's task owns it. `now` must not decrease between calls.
#pragma once

#include <messages.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::membership {

struct view_rules {
  // Age of the heartbeats that confirm a version. Several heartbeat intervals.
  base::duration confirmation_limit = std::chrono::seconds(10);
  base::duration clock_error = std::chrono::seconds(5);         // largest difference of wall clocks
  base::duration key_retention = std::chrono::hours(1);         // retention window of keys
  base::duration max_claim_duration = std::chrono::seconds(2);  // bound on the duration of a claim
};

class view_tracker {
 public:
  // `started_wall_ms` is the start of this process by its wall clock.
  view_tracker(std::string self, const view_rules& rules, std::uint64_t started_wall_ms);

  // Takes a list from the service or a peer. A list of a lower version is kept only if it is needed
  // as an earlier version. Returns whether the adopted version rose.
  bool adopt(const schema::VmList& list);

  // Sets the lowest version that members may still run, as published by the operators. A lower
  // floor than the present one is ignored.
  void set_floor(std::uint64_t floor);

  // Takes a heartbeat of the agent of VM `name`, sent at `sent_wall_ms` by the sender's wall clock.
  // Reordered and repeated heartbeats are ignored.
  void on_heartbeat(const std::string& name, const schema::Heartbeat& heartbeat,
                    std::uint64_t sent_wall_ms, base::time_point now, std::uint64_t wall_ms);

  // Re-evaluates voter state and activation and ends older versions. To be called after a change
  // and at each heartbeat interval.
  void advance(base::time_point now, std::uint64_t wall_ms);

  // Sets the list fields of a heartbeat of this agent.
  void fill_heartbeat(schema::Heartbeat& heartbeat) const;

  // Highest version held, 0 for none.
  std::uint64_t adopted_version() const { return m_adopted; }
  // Latest version that is known to be active, 0 for none. Not necessarily confirmed.
  std::uint64_t activated_version() const { return m_activated; }
  // Version under which this agent may claim keys now, or 0.
  std::uint64_t acting_version(base::time_point now, std::uint64_t wall_ms) const;

  // Lists whose recorders a claim under the acting version must contact: the acting one first, then
  // the older ones that may hold a record of the key. `key_time_ms` is the time the key carries, 0
  // if none: a key made after an older version had ended has no record there. Empty if one of the
  // older lists is not held; no claim can then succeed. The pointers are valid until the next call
  // that is not const.
  std::vector<const schema::VmList*> lists_for_claim(std::uint64_t key_time_ms) const;

  // The adopted list, or nullptr.
  const schema::VmList* adopted_list() const { return find_list(m_adopted); }
  const schema::VmList* find_list(std::uint64_t version) const;
  // All lists held with a version above `version`, for a peer that requests them.
  std::vector<const schema::VmList*> lists_above(std::uint64_t version) const;
  // Versions that are needed but not held; they are requested from peers.
  const std::set<std::uint64_t>& missing_versions() const { return m_missing; }
  // Highest version held or named in a heartbeat.
  std::uint64_t highest_reported_version() const { return m_highest_reported; }
  bool is_voter() const { return !m_history.empty(); }

 private:
  struct report {
    std::uint64_t adopted = 0;
    std::set<std::uint64_t> history;  // empty: no voter
    std::vector<std::uint64_t> activated;
    std::uint64_t sent_wall_ms = 0;
    base::time_point received;
  };
  struct older_version {
    base::time_point ends;
    // Keys that carry a later time have no record under the older version.
    std::uint64_t last_key_time_ms = 0;
  };

  bool is_fresh(const report& item, base::time_point now, std::uint64_t wall_ms) const;
  std::size_t count_voters(const schema::VmList& list, base::time_point now,
                           std::uint64_t wall_ms) const;
  bool is_confirmed(const schema::VmList& list, base::time_point now, std::uint64_t wall_ms) const;
  void try_rejoin();
  bool try_learn_activation(base::time_point now, std::uint64_t wall_ms);
  bool try_count_activation(base::time_point now, std::uint64_t wall_ms);
  bool try_bootstrap(base::time_point now, std::uint64_t wall_ms);
  void activate(const std::set<std::uint64_t>& older, base::time_point now, std::uint64_t wall_ms);
  void prune();

  const std::string m_self;
  const view_rules m_rules;
  const std::uint64_t m_rejoin_after_wall_ms;
  std::map<std::uint64_t, schema::VmList> m_lists;
  std::map<std::string, report> m_reports;
  std::set<std::uint64_t> m_history;  // versions adopted since the base; empty: no voter
  std::map<std::uint64_t, older_version> m_older;
  std::set<std::uint64_t> m_ended;  // older versions whose window has passed
  std::set<std::uint64_t> m_missing;
  std::uint64_t m_adopted = 0;
  std::uint64_t m_activated = 0;
  std::uint64_t m_floor = 0;
  std::uint64_t m_highest_reported = 0;
};

}  // namespace fuchsiaspring::membership
