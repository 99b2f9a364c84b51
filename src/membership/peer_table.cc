#include "fuchsiaspring/membership/peer_table.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::membership {
namespace {

constexpr int max_missed_cycles = 3;  // heartbeats lost in a row before a peer is suspected

}  // namespace

peer_table::peer_table(std::string self, std::string failure_domain, const peer_rules& rules,
                       base::time_point now)
    : m_self(std::move(self)),
      m_failure_domain(std::move(failure_domain)),
      m_rules(rules),
      m_last_tick(now),
      m_service_contact(now),
      m_majority_contact(now) {}

void peer_table::set_list(const schema::VmList& list, base::time_point now) {
  std::map<std::string, peer> updated;
  m_leaving = true;
  for (const schema::VmEntry& vm : list.vms()) {
    if (vm.name() == m_self) {
      m_leaving = vm.state() == schema::VM_STATE_LEAVING;
      continue;
    }
    peer item;
    item.silent_since = now;
    if (const auto known = m_peers.find(vm.name()); known != m_peers.end()) {
      item = known->second;
    }
    item.entry = vm;
    updated[vm.name()] = std::move(item);
  }
  m_peers = std::move(updated);
  m_rotation.clear();
}

heartbeat_result peer_table::on_heartbeat(const std::string& name, std::uint64_t incarnation,
                                          std::uint64_t sequence,
                                          const schema::Heartbeat& heartbeat,
                                          base::time_point now) {
  const auto found = m_peers.find(name);
  if (found == m_peers.end() || incarnation == 0 ||
      incarnation == found->second.previous_incarnation) {
    return heartbeat_result::ignored;
  }
  peer& item = found->second;
  const bool is_same_process = item.incarnation == incarnation;
  if (is_same_process && sequence <= item.sequence) {
    return heartbeat_result::ignored;
  }
  const heartbeat_result result = !item.has_heartbeat ? heartbeat_result::first
                                  : is_same_process   ? heartbeat_result::same_process
                                                      : heartbeat_result::restarted;
  if (!is_same_process) {
    item.previous_incarnation = item.incarnation;
    item.incarnation = incarnation;
  }
  item.has_heartbeat = true;
  item.sequence = sequence;
  item.reported_leaving = heartbeat.leaving();
  item.bundle_revision = heartbeat.bundle_revision();
  item.list_version = heartbeat.list_version();
  item.silent_since = now;
  return result;
}

base::duration peer_table::heartbeat_cycle() const {
  if (m_peers.size() <= m_rules.full_mesh_peers || m_rules.rotation_targets == 0) {
    return m_rules.heartbeat_interval;
  }
  const std::size_t rounds =
      (m_peers.size() + m_rules.rotation_targets - 1) / m_rules.rotation_targets;
  return m_rules.heartbeat_interval * static_cast<std::int64_t>(rounds);
}

base::duration peer_table::silence_limit() const {
  return std::max(m_rules.suspicion_timeout, heartbeat_cycle() * max_missed_cycles);
}

bool peer_table::on_tick(base::time_point now) {
  const bool paused = now - m_last_tick > m_rules.heartbeat_interval + m_rules.pause_limit;
  m_last_tick = now;
  if (paused) {
    for (auto& [name, item] : m_peers) {
      item.silent_since = now;
    }
  }
  // This VM counts as one more member, which is always reached.
  const std::size_t members = m_peers.size() + 1;
  const auto reached =
      1 + std::ranges::count_if(m_peers, [&](const auto& item) {
        return item.second.has_heartbeat && now - item.second.silent_since <= silence_limit();
      });
  if (!paused && static_cast<std::size_t>(reached) > members / 2) {
    m_majority_contact = now;
  }
  return paused;
}

void peer_table::refill_rotation(base::random_source& random) {
  for (const auto& [name, item] : m_peers) {
    m_rotation.push_back(name);
  }
  for (std::size_t i = m_rotation.size(); i > 1; --i) {
    std::swap(m_rotation[i - 1], m_rotation[random.uniform_below(i)]);
  }
}

std::vector<std::string> peer_table::heartbeat_targets(base::random_source& random) {
  std::set<std::string> chosen;
  if (m_peers.size() <= m_rules.full_mesh_peers) {
    for (const auto& [name, item] : m_peers) {
      chosen.insert(name);
    }
    return {chosen.begin(), chosen.end()};
  }
  if (m_rotation.empty()) {
    refill_rotation(random);
  }
  for (std::size_t i = 0; i < m_rules.rotation_targets && !m_rotation.empty(); ++i) {
    chosen.insert(m_rotation.back());
    m_rotation.pop_back();
  }
  std::map<std::string, std::vector<std::string>> domains;
  for (const auto& [name, item] : m_peers) {
    if (item.entry.failure_domain() != m_failure_domain) {
      domains[item.entry.failure_domain()].push_back(name);
    }
  }
  for (const auto& [domain, names] : domains) {
    chosen.insert(names[random.uniform_below(names.size())]);
  }
  return {chosen.begin(), chosen.end()};
}

peer_view peer_table::view_of(const peer& item, base::time_point now) const {
  peer_view view;
  view.name = item.entry.name();
  view.failure_domain = item.entry.failure_domain();
  view.agent_address = item.entry.agent_address();
  view.incarnation = item.incarnation;
  view.bundle_revision = item.bundle_revision;
  view.list_version = item.list_version;
  const bool silent = now - item.silent_since > silence_limit();
  if (silent) {
    view.state = peer_state::suspected;
  } else if (item.reported_leaving || item.entry.state() == schema::VM_STATE_LEAVING) {
    view.state = peer_state::leaving;
  } else {
    view.state = item.has_heartbeat ? peer_state::live : peer_state::unheard;
  }
  return view;
}

std::vector<peer_view> peer_table::peers(base::time_point now) const {
  std::vector<peer_view> views;
  views.reserve(m_peers.size());
  for (const auto& [name, item] : m_peers) {
    views.push_back(view_of(item, now));
  }
  return views;
}

peer_view peer_table::find(const std::string& name, base::time_point now) const {
  const auto found = m_peers.find(name);
  return found == m_peers.end() ? peer_view{} : view_of(found->second, now);
}

std::vector<std::string> peer_table::suspected(base::time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, item] : m_peers) {
    if (view_of(item, now).state == peer_state::suspected) {
      names.push_back(name);
    }
  }
  return names;
}

bool peer_table::is_isolated(base::time_point now) const {
  return contact_age(now) > m_rules.isolation_limit;
}

base::duration peer_table::contact_age(base::time_point now) const {
  return now - std::max(m_service_contact, m_majority_contact);
}

}  // namespace fuchsiaspring::membership
