// Which agents read the configuration service, from which peer an agent fetches, and which peers it
// serves.
//
//   if (is_reader(list, suspected, "vm1", rules)) { hold a watch }
//   fallback_schedule fallback(rules, now, random);
//   if (!reader && fallback.take_due(now, list.vms_size(), random)) { read once }
//   serving_slots slots;
//   if (slots.take("vm7", revision, now)) { send the bundle } else { send an empty reply }
//   fetch_schedule fetches;
//   if (auto peer = fetches.next_peer(revision, holders, now, random)) { fetch from *peer }
//
// Not thread-safe; the agent's task owns the objects.
#pragma once

#include <messages.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::distribution {

struct reader_rules {
  std::size_t readers_per_domain = 2;
  double fleet_reads_per_second = 100;  // fallback reads of the whole fleet
  // Shortest mean interval of fallback reads of one agent, also in a small fleet.
  base::duration min_read_interval = std::chrono::seconds(5);
  // The first read comes within this time. The size of the fleet is not known then; 410 agents that
  // start simultaneously make about 205 reads/s for 2 s, a tenth of what the service handles.
  base::duration start_spread = std::chrono::seconds(2);
};

// Whether `self` holds a watch: it is one of the VMs of highest rendezvous score among the live
// ones of its failure domain. Agents with the same list and suspicions choose the same ones; a
// suspicion that only some agents hold adds a reader while it lasts. A VM that the list does not
// contain holds a watch, too.
bool is_reader(const schema::VmList& list, const std::set<std::string>& suspected,
               const std::string& self, const reader_rules& rules);

// Jittered direct reads of an agent that is no reader, within the budget of the fleet.
class fallback_schedule {
 public:
  // The first read is due at a random time within `start_spread`.
  fallback_schedule(const reader_rules& rules, base::time_point now, base::random_source& random);

  // Whether a read is due, in a fleet of `vms` VMs. Returning true schedules the next one.
  bool take_due(base::time_point now, std::size_t vms, base::random_source& random);

 private:
  base::duration mean_interval(std::size_t vms) const;

  const reader_rules m_rules;
  base::time_point m_next;
};

// Limits how many peers fetch the same revision from this agent at a time. Without an
// acknowledgement a transfer counts as ended after `transfer_time`.
class serving_slots {
 public:
  static constexpr std::size_t max_peers_per_revision = 2;
  static constexpr base::duration transfer_time = std::chrono::milliseconds(500);

  // Whether the peer may be served now. A peer that repeats its request keeps its slot.
  bool take(const std::string& peer, std::uint64_t revision, base::time_point now);
  // The peer reported that it holds the revision; its transfers up to that revision have ended.
  void release(const std::string& peer, std::uint64_t revision);

 private:
  // End of each transfer, by revision and peer.
  std::map<std::uint64_t, std::map<std::string, base::time_point>> m_transfers;
};

// Chooses the peer to fetch a revision from, one at a time.
class fetch_schedule {
 public:
  static constexpr base::duration reply_timeout = std::chrono::milliseconds(300);
  // Delay before a fetch is retried at a peer that was busy.
  static constexpr base::duration busy_pause = std::chrono::milliseconds(20);

  // Returns the peer to fetch from now, or nothing while a reply is pending or all holders are
  // paused. `holders` are live peers that reported a revision of at least `revision`.
  std::optional<std::string> next_peer(std::uint64_t revision,
                                       const std::vector<std::string>& holders,
                                       base::time_point now, base::random_source& random);
  // The peer replied without the revision. The fetch may be retried there after `busy_pause`.
  void on_busy(const std::string& peer, base::time_point now);
  // The revision arrived, from any source.
  void on_arrival();
  // Whether a reply is pending or a peer is paused.
  bool is_active() const { return !m_pending_peer.empty() || !m_pauses.empty(); }

 private:
  std::string m_pending_peer;  // empty if no reply is pending
  base::time_point m_pending_until;
  std::map<std::string, base::time_point> m_pauses;  // end of each pause, by peer
};

}  // namespace fuchsiaspring::distribution
