#include "deploy/soak/replica_faults.h"

#include "deploy/soak/node_faults.h"

namespace fuchsiaspring::soak {

using std::chrono::milliseconds;

void replica_faults::disturb_link(std::size_t replica, milliseconds length,
                                  base::random_source& random) {
  // Bytes that the link has delayed arrive after its fault.
  constexpr milliseconds delivery_margin{1000};
  fleet_replica& target = m_fleet.replicas()[replica];
  m_checker.on_replica_disturbed(target.replica->id(), clock::now(),
                                 clock::now() + length + delivery_margin);
  inject_link_fault(*target.relay, "replica link", replica, length, random, m_schedule);
}

void replica_faults::raise_fault_rate(std::size_t replica, milliseconds length) {
  constexpr double raised_fault_rate = 0.3;
  m_schedule.record_fault("replica faults", replica, length);
  m_fleet.replicas()[replica].replica->set_fault_rate(raised_fault_rate);
  m_schedule.run_after(length, [this, replica] {
    m_fleet.replicas()[replica].replica->set_fault_rate(soak_fleet::base_fault_rate);
  });
}

void replica_faults::turn_away(std::size_t replica, milliseconds length) {
  constexpr double turn_away_rate = 0.6;
  m_schedule.record_fault("replica turns away", replica, length);
  m_fleet.replicas()[replica].replica->set_turn_away_rate(turn_away_rate);
  m_schedule.run_after(
      length, [this, replica] { m_fleet.replicas()[replica].replica->set_turn_away_rate(0); });
}

void replica_faults::drain(std::size_t replica, milliseconds length) {
  if (m_fleet.replicas()[replica].is_leaving) {
    return;
  }
  m_schedule.record_fault("drain", replica, length);
  m_fleet.publish_replica(replica, "draining");
  m_schedule.run_after(length, [this, replica] { end_drain(replica); });
}

void replica_faults::end_drain(std::size_t replica) {
  // An entry that a returned store lists as ready is taken for a lost drain, until the replica has
  // written again that it drains.
  constexpr milliseconds check_interval{500};
  if (m_fleet.is_store_returning()) {
    m_schedule.run_after(check_interval, [this, replica] { end_drain(replica); });
    return;
  }
  if (!m_fleet.replicas()[replica].is_leaving) {
    m_fleet.publish_replica(replica, "ready");
  }
}

void replica_faults::leave(std::size_t replica, base::random_source& random) {
  // Longer than the drain bound, so that requests after it can be seen.
  constexpr milliseconds shortest_leave{2500};
  constexpr std::uint64_t leave_spread_ms = 2500;
  constexpr std::uint64_t longest_absence_ms = 1000;
  constexpr milliseconds registration_delay{500};
  fleet_replica& target = m_fleet.replicas()[replica];
  const milliseconds length = shortest_leave + milliseconds(random.uniform_below(leave_spread_ms));
  const milliseconds absence(random.uniform_below(longest_absence_ms));
  const bool keeps_id = random.uniform_below(2) == 0;
  enum class announcement : std::uint64_t { responses_only, entry_too, store_silent };
  constexpr std::uint64_t announcements = 3;
  const auto chosen = static_cast<announcement>(random.uniform_below(announcements));
  if (target.is_leaving) {
    return;
  }
  m_schedule.record_fault("leave " + std::to_string(static_cast<int>(chosen)) +
                              (keeps_id ? ", same id," : ", other id,"),
                          replica, length);
  target.is_leaving = true;
  target.replica->announce_leaving();
  if (chosen == announcement::store_silent) {
    m_fleet.store().set_silent(true);
    m_schedule.run_after(length, [this] { m_fleet.store().set_silent(false); });
  }
  if (chosen == announcement::entry_too) {
    m_schedule.run_after(registration_delay,
                         [this, replica] { m_fleet.publish_replica(replica, "draining"); });
  }
  const std::string next_id = keeps_id ? target.replica->id() : target.replica->id() + "n";
  m_schedule.run_after(length,
                       [this, replica, absence, next_id] { end(replica, absence, next_id); });
}

void replica_faults::end(std::size_t replica, milliseconds absence, const std::string& next_id) {
  // Responses that the node has not read yet are lost as well.
  constexpr milliseconds delivery_margin{1000};
  fleet_replica& target = m_fleet.replicas()[replica];
  m_checker.on_replica_disturbed(target.replica->id(), clock::now(),
                                 clock::now() + absence + delivery_margin);
  m_fleet.remove_replica_entry(replica);
  target.replica->end();
  m_schedule.run_after(absence, [this, replica, next_id] { start_again(replica, next_id); });
}

void replica_faults::start_again(std::size_t replica, const std::string& next_id) {
  fleet_replica& target = m_fleet.replicas()[replica];
  target.replica->start_again(next_id);
  target.is_leaving = false;
  m_fleet.publish_replica(replica, "ready");
}

void replica_faults::silence(base::random_source& random) {
  const milliseconds length = random_pause(random);
  const std::size_t count = m_fleet.replicas().size();
  const std::size_t first = random.uniform_below(count);
  const std::size_t silent = 1 + random.uniform_below(count);
  for (std::size_t i = 0; i < silent; ++i) {
    const std::size_t replica = (first + i) % count;
    m_schedule.record_fault("replica silent", replica, length);
    m_fleet.replicas()[replica].replica->pause_responses(length);
  }
}

void replica_faults::clear() {
  for (fleet_replica& each : m_fleet.replicas()) {
    each.relay->set_fault({});
    each.replica->set_fault_rate(0);
    each.replica->set_turn_away_rate(0);
  }
}

}  // namespace fuchsiaspring::soak
