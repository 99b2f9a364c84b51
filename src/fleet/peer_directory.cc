#include "fuchsiaspring/fleet/peer_directory.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace fuchsiaspring::fleet {
namespace {

// Five heartbeats at the default interval.
constexpr base::duration live_timeout = std::chrono::milliseconds(1000);
// Four of the longest intervals between relayed reports, since a relay may have failed.
constexpr base::duration relayed_live_timeout = std::chrono::seconds(8);
// Largest fleet in which every node reports to all others.
constexpr std::size_t max_nodes_without_relays = 16;
// Peers to which known nodes are listed at each heartbeat: with 12 nodes in a list, each node hears
// of 120 nodes/s.
constexpr std::size_t gossip_fan_out = 2;
// A node that hears of new nodes lists them for this long also in a fleet that looks small: it may
// have heard of a few nodes of a large one.
constexpr base::duration gossip_time_after_growth = std::chrono::seconds(5);
// A partitioned or suspended node may still use its share of a limit, so it counts as known for
// longer than a typical network interruption.
constexpr base::duration known_timeout = std::chrono::seconds(20);
constexpr base::duration discovery_timeout = std::chrono::seconds(3);

}  // namespace

peer_directory::peer_directory(peer_info self, std::vector<std::string> seeds)
    : m_self(std::move(self)), m_seeds(std::move(seeds)) {}

work_sharing peer_directory::sharing_level(base::time_point now) const {
  return known_count(now) <= max_nodes_without_relays ? work_sharing::all_nodes
                                                      : work_sharing::relayed;
}

bool peer_directory::is_known(const peer_record& peer, base::time_point now) {
  return now - std::max(peer.last_heartbeat, peer.listed_at) < known_timeout;
}

bool peer_directory::is_live(const peer_record& peer, base::time_point now) const {
  if (!peer.has_heartbeat) {
    return false;
  }
  const base::duration silence = now - peer.last_heartbeat;
  const bool sends_directly = m_records.size() < max_nodes_without_relays ||
                              peer.info.failure_domain == m_self.failure_domain;
  return silence < (sends_directly ? live_timeout : relayed_live_timeout);
}

bool peer_directory::is_in_group(const peer_record& peer, base::time_point now) const {
  return sharing_level(now) == work_sharing::all_nodes ||
         peer.info.failure_domain == m_self.failure_domain;
}

bool peer_directory::on_heartbeat(const peer_info& peer, base::time_point now) {
  if (peer.vm == m_self.vm) {
    return false;
  }
  if (!m_records.contains(peer.vm)) {
    m_grown_at = now;
  }
  peer_record& entry = m_records[peer.vm];
  const bool is_new = !entry.was_live || entry.info.incarnation != peer.incarnation;
  entry.info = peer;
  entry.last_heartbeat = now;
  entry.has_heartbeat = true;
  entry.was_live = true;
  return is_new;
}

void peer_directory::on_peer_listed(const peer_info& peer, base::time_point now) {
  if (peer.vm == m_self.vm) {
    return;
  }
  const auto [entry, is_new] = m_records.try_emplace(peer.vm);
  if (is_new) {
    entry->second.info = peer;
    m_grown_at = now;
  }
  if (is_new || now - entry->second.listed_at > known_timeout) {
    entry->second.listed_at = now;
  }
}

void peer_directory::on_leaving(const std::string& vm) {
  const auto found = m_records.find(vm);
  if (found != m_records.end()) {
    found->second.last_heartbeat = {};
  }
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

std::vector<std::string> peer_directory::relay_addresses(base::time_point now,
                                                         base::random_source& random) const {
  struct domain_nodes {
    std::vector<std::string> live;
    std::vector<std::string> known;
  };
  if (sharing_level(now) == work_sharing::all_nodes) {
    return {};
  }
  std::map<std::string_view, domain_nodes> nodes_by_domain;
  for (const auto& [vm, each] : m_records) {
    const std::string& domain = each.info.failure_domain;
    if (domain.empty() || domain == m_self.failure_domain || !is_known(each, now)) {
      continue;
    }
    domain_nodes& nodes = nodes_by_domain[domain];
    (is_live(each, now) ? nodes.live : nodes.known).push_back(each.info.address);
  }
  std::vector<std::string> addresses;
  for (const auto& [domain, nodes] : nodes_by_domain) {
    const std::vector<std::string>& candidates = nodes.live.empty() ? nodes.known : nodes.live;
    addresses.push_back(candidates[random.uniform_below(candidates.size())]);
  }
  return addresses;
}

std::vector<std::string> peer_directory::discovery_addresses(base::time_point now) const {
  const bool has_relays = sharing_level(now) == work_sharing::relayed;
  std::set<std::string> live_addresses;
  std::vector<std::string> addresses;
  for (const auto& [vm, each] : m_records) {
    if (is_live(each, now)) {
      live_addresses.insert(each.info.address);
      continue;
    }
    const bool reports_through_relays = has_relays && !each.info.failure_domain.empty() &&
                                        each.info.failure_domain != m_self.failure_domain;
    const bool was_heard_of = now - each.listed_at < discovery_timeout ||
                              (each.has_heartbeat && now - each.last_heartbeat < discovery_timeout);
    if (was_heard_of && !reports_through_relays) {
      addresses.push_back(each.info.address);
    }
  }
  for (const std::string& seed : m_seeds) {
    const bool is_contacted =
        live_addresses.contains(seed) ||
        std::find(addresses.begin(), addresses.end(), seed) != addresses.end();
    if (seed != m_self.address && !is_contacted) {
      addresses.push_back(seed);
    }
  }
  return addresses;
}

std::vector<std::string> peer_directory::gossip_addresses(base::time_point now,
                                                          base::random_source& random) const {
  const std::vector<std::string> group = group_addresses(now);
  std::vector<std::string> addresses;
  const bool may_lack_nodes = now - m_grown_at < gossip_time_after_growth;
  if (group.empty() || (sharing_level(now) == work_sharing::all_nodes && !may_lack_nodes)) {
    return addresses;
  }
  for (std::size_t i = 0; i < gossip_fan_out; ++i) {
    addresses.push_back(group[random.uniform_below(group.size())]);
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
  std::erase_if(m_records, [&](const auto& item) { return !is_known(item.second, now); });
  return silent;
}

}  // namespace fuchsiaspring::fleet
