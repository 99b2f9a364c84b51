#include "deploy/soak/config_changes.h"

namespace fuchsiaspring::soak {

using std::chrono::milliseconds;

void config_changes::schedule_next() {
  constexpr milliseconds shortest_interval{1000};
  constexpr std::uint64_t interval_spread_ms = 1000;
  const auto interval =
      shortest_interval + milliseconds(m_random.uniform_below(interval_spread_ms));
  m_schedule.run_after(interval, [this] {
    m_schedule.record_change(change_config(m_fleet.config(), m_random));
    m_fleet.publish_config();
    schedule_next();
  });
}

void config_changes::revoke(milliseconds length, base::random_source& random) {
  const std::size_t number = random.uniform_below(m_fleet.keys().size());
  team_key& key = m_fleet.keys()[number];
  if (!key.is_granted) {
    return;
  }
  // Leaves time after the bound in which requests with the revoked key must be refused.
  const milliseconds duration = length + soak_fleet::revocation_bound;
  m_schedule.record_fault("revoke " + key.key, number, duration);
  key.is_granted = false;
  m_fleet.publish_config();
  m_checker.on_revoked(key.key, clock::now());
  m_schedule.run_after(duration, [this, number] { grant(number); });
}

void config_changes::grant(std::size_t number) {
  team_key& key = m_fleet.keys()[number];
  m_checker.on_granted(key.key);
  key.is_granted = true;
  m_fleet.publish_config();
}

}  // namespace fuchsiaspring::soak
