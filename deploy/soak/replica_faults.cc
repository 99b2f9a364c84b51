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

void replica_faults::drain(std::size_t replica, milliseconds length) {
  m_schedule.record_fault("drain", replica, length);
  m_fleet.publish_replica(replica, "draining");
  m_schedule.run_after(length, [this, replica] { m_fleet.publish_replica(replica, "ready"); });
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
  }
}

}  // namespace fuchsiaspring::soak
