#include "fuchsiaspring/fleet/peer_directory.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::fleet {
namespace {

// Five heartbeats at the default interval.
constexpr base::duration live_timeout = std::chrono::milliseconds(1000);
// Five load reports: peers outside the group send one at every second heartbeat.
constexpr base::duration reporting_live_timeout = std::chrono::milliseconds(2000);
// Peers outside the group that do not report their load send this node discovery heartbeats
// at random intervals.
constexpr base::duration discovery_live_timeout = std::chrono::seconds(8);
// Largest fleet in which every node reports all of its work to all others.
constexpr std::size_t max_nodes_sharing_all_work = 16;
// Largest fleet in which every node reports its load to all others: each node then sends 250
// datagrams/s.
constexpr std::size_t max_nodes_sharing_load = 100;
// Live peers outside the group that get a discovery heartbeat per heartbeat interval.
constexpr std::size_t discovery_heartbeats_per_interval = 2;
// A partitioned or suspended node may still use its share of a limit, so it counts as known for
// longer than a typical network interruption.
constexpr base::duration known_timeout = std::chrono::seconds(20);
constexpr base::duration discovery_timeout = std::chrono::seconds(3);
// A node that starts within this time after it was lost or stopped hears from its former peers.
constexpr base::duration rediscovery_timeout = std::chrono::minutes(5);
// Heartbeats to lost peers that all nodes of the fleet together send per heartbeat interval.
constexpr double rediscovery_heartbeats_per_interval = 16;

}  // namespace

peer_directory::peer_directory(peer_info self, std::vector<std::string> seeds)
    : m_self(std::move(self)), m_seeds(std::move(seeds)) {}

bool peer_directory::has_seeds() const {
  return std::any_of(m_seeds.begin(), m_seeds.end(),
                     [this](const std::string& seed) { return seed != m_self.address; });
}

work_sharing peer_directory::sharing_level(base::time_point now) const {
  const std::size_t nodes = known_count(now);
  if (nodes <= max_nodes_sharing_all_work) {
    return work_sharing::full;
  }
  return nodes <= max_nodes_sharing_load ? work_sharing::load_outside_domain
                                         : work_sharing::domain_only;
}

bool peer_directory::is_live(const peer_record& peer, base::time_point now) const {
  if (!peer.has_heartbeat) {
    return false;
  }
  const base::duration silence = now - peer.last_heartbeat;
  if (fleet_size() <= max_nodes_sharing_all_work ||
      peer.info.failure_domain == m_self.failure_domain) {
    return silence < live_timeout;
  }
  return silence <
         (fleet_size() <= max_nodes_sharing_load ? reporting_live_timeout : discovery_live_timeout);
}

// Number of known nodes at the last expire() and those found since, this one included.
std::size_t peer_directory::fleet_size() const {
  return m_records.size() - m_lost_records + 1;
}

bool peer_directory::is_in_group(const peer_record& peer, base::time_point now) const {
  return sharing_level(now) == work_sharing::full ||
         peer.info.failure_domain == m_self.failure_domain;
}

bool peer_directory::on_heartbeat(const peer_info& peer, base::time_point now) {
  if (peer.vm == m_self.vm) {
    return false;
  }
  peer_record& entry = m_records[peer.vm];
  const bool is_new = !entry.was_live || entry.info.incarnation != peer.incarnation;
  entry.info = peer;
  entry.last_heartbeat = now;
  entry.last_message = now;
  entry.has_heartbeat = true;
  entry.was_live = true;
  return is_new;
}

void peer_directory::on_peer_listed(const std::string& vm, const std::string& address,
                                    base::time_point now) {
  if (vm == m_self.vm) {
    return;
  }
  const auto [entry, is_new] = m_records.try_emplace(vm);
  peer_record& peer = entry->second;
  if (is_new || !is_known(peer, now)) {
    peer.info = {.vm = vm, .address = address};
  }
  if (is_new || now - peer.listed_at > known_timeout) {
    peer.listed_at = now;
  }
}

void peer_directory::on_leaving(const std::string& vm, base::time_point now) {
  const auto found = m_records.find(vm);
  if (found != m_records.end()) {
    found->second.last_heartbeat = {};
    found->second.last_message = now;
  }
}

bool peer_directory::is_known(const peer_record& peer, base::time_point now) {
  return now - std::max(peer.last_heartbeat, peer.listed_at) < known_timeout;
}

// Whether the peer was heard from, and may start again.
bool peer_directory::is_lost(const peer_record& peer, base::time_point now) {
  return peer.has_heartbeat && now - peer.last_message < rediscovery_timeout;
}

std::vector<std::string> peer_directory::group_addresses(base::time_point now) const {
  std::vector<std::string> addresses;
  for (const auto& [vm, each] : m_records) {
    if (is_live(each, now) && is_in_group(each, now)) {
      addresses.push_back(each.info.address);
    }
  }
  return addresses;
}

std::vector<std::string> peer_directory::other_domain_addresses(base::time_point now) const {
  std::vector<std::string> addresses;
  if (sharing_level(now) != work_sharing::load_outside_domain) {
    return addresses;
  }
  for (const auto& [vm, each] : m_records) {
    if (is_live(each, now) && !is_in_group(each, now)) {
      addresses.push_back(each.info.address);
    }
  }
  return addresses;
}

std::vector<std::string> peer_directory::discovery_addresses(base::time_point now,
                                                             base::random_source& random) const {
  const bool is_domain_only = sharing_level(now) == work_sharing::domain_only;
  std::vector<std::string> addresses;
  std::vector<std::string> live_addresses;
  std::vector<std::string> other_domain_live;
  std::vector<std::string> lost;
  for (const auto& [vm, each] : m_records) {
    const bool is_peer_live = is_live(each, now);
    if (is_peer_live) {
      live_addresses.push_back(each.info.address);
    }
    if (is_peer_live && is_domain_only && each.info.failure_domain != m_self.failure_domain) {
      other_domain_live.push_back(each.info.address);
      continue;
    }
    const bool needs_discovery =
        now - each.listed_at < discovery_timeout ||
        (each.has_heartbeat && now - each.last_heartbeat < discovery_timeout);
    if (!is_peer_live && needs_discovery) {
      addresses.push_back(each.info.address);
    } else if (!is_peer_live && is_lost(each, now)) {
      lost.push_back(each.info.address);
    }
  }
  // In a large fleet this node sends one at some calls only.
  const double mean_heartbeats =
      rediscovery_heartbeats_per_interval / static_cast<double>(fleet_size());
  if (!lost.empty() && random.uniform() < mean_heartbeats) {
    addresses.push_back(lost[random.uniform_below(lost.size())]);
  }
  for (const std::string& seed : m_seeds) {
    const bool is_known =
        std::find(live_addresses.begin(), live_addresses.end(), seed) != live_addresses.end() ||
        std::find(addresses.begin(), addresses.end(), seed) != addresses.end();
    if (seed != m_self.address && !is_known) {
      addresses.push_back(seed);
    }
  }
  for (std::size_t i = 0; i < discovery_heartbeats_per_interval && !other_domain_live.empty();
       ++i) {
    addresses.push_back(other_domain_live[random.uniform_below(other_domain_live.size())]);
  }
  return addresses;
}

std::vector<std::string> peer_directory::forwarder_addresses(std::size_t per_domain,
                                                             base::time_point now,
                                                             base::random_source& random) const {
  std::map<std::string, std::vector<std::string>> by_domain;
  for (const auto& [vm, each] : m_records) {
    if (is_live(each, now) && each.info.failure_domain != m_self.failure_domain) {
      by_domain[each.info.failure_domain].push_back(each.info.address);
    }
  }
  std::vector<std::string> addresses;
  for (auto& [domain, candidates] : by_domain) {
    for (std::size_t i = 0; i < std::min(per_domain, candidates.size()); ++i) {
      std::swap(candidates[i], candidates[i + random.uniform_below(candidates.size() - i)]);
      addresses.push_back(candidates[i]);
    }
  }
  return addresses;
}

std::vector<peer_info> peer_directory::live(base::time_point now) const {
  std::vector<peer_info> peers;
  for (const auto& [vm, each] : m_records) {
    if (is_live(each, now)) {
      peers.push_back(each.info);
    }
  }
  return peers;
}

std::size_t peer_directory::known_count(base::time_point now) const {
  const auto others = std::count_if(m_records.begin(), m_records.end(),
                                    [&](const auto& item) { return is_known(item.second, now); });
  return static_cast<std::size_t>(others) + 1;
}

std::vector<std::string> peer_directory::known_nodes(base::time_point now) const {
  std::vector<std::string> names{m_self.vm};
  for (const auto& [vm, each] : m_records) {
    if (is_known(each, now)) {
      names.push_back(vm);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<std::string> peer_directory::expire(base::time_point now) {
  std::vector<std::string> silent;
  for (auto& [vm, each] : m_records) {
    if (each.was_live && !is_live(each, now)) {
      each.was_live = false;
      silent.push_back(vm);
    }
  }
  std::erase_if(m_records, [&](const auto& item) {
    return !is_known(item.second, now) && !is_lost(item.second, now);
  });
  m_lost_records = m_records.size() + 1 - known_count(now);
  return silent;
}

}  // namespace fuchsiaspring::fleet
