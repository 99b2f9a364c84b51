#include "fuchsiaspring/fleet/peer_directory.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::fleet {
namespace {

// Five heartbeats at the default interval.
constexpr base::duration live_for = std::chrono::milliseconds(1000);
// Peers outside the group that tell the amount of their work are heard at every second heartbeat.
constexpr base::duration distant_live_for = std::chrono::milliseconds(2000);
// Peers that are only greeted now and then.
constexpr base::duration greeted_live_for = std::chrono::seconds(8);
// Nodes up to which all share everything with all.
constexpr std::size_t max_ungrouped_nodes = 16;
// Nodes up to which all tell all the amount of their work: 250 datagrams/s sent by each node.
constexpr std::size_t max_nodes_sharing_amounts = 100;
// Peers outside the group that are greeted at one heartbeat.
constexpr std::size_t distant_greetings = 2;
// A node that is cut off or suspended goes on using its shares; this outlasts the usual cut.
constexpr base::duration known_for = std::chrono::seconds(20);
constexpr base::duration mention_for = std::chrono::seconds(3);

}  // namespace

peer_directory::peer_directory(peer_info self, std::vector<std::string> seeds)
    : m_self(std::move(self)), m_seeds(std::move(seeds)) {}

work_sharing peer_directory::sharing(base::time_point now) const {
  const std::size_t nodes = known_count(now);
  if (nodes <= max_ungrouped_nodes) {
    return work_sharing::everything;
  }
  return nodes <= max_nodes_sharing_amounts ? work_sharing::amounts : work_sharing::domain_only;
}

bool peer_directory::is_live(const record& peer, base::time_point now) const {
  if (!peer.is_heard) {
    return false;
  }
  const base::duration silence = now - peer.heard;
  if (m_records.size() < max_ungrouped_nodes || peer.info.failure_domain == m_self.failure_domain) {
    return silence < live_for;
  }
  return silence <
         (m_records.size() < max_nodes_sharing_amounts ? distant_live_for : greeted_live_for);
}

bool peer_directory::is_in_group(const record& peer, base::time_point now) const {
  return sharing(now) == work_sharing::everything ||
         peer.info.failure_domain == m_self.failure_domain;
}

bool peer_directory::on_heartbeat(const peer_info& peer, base::time_point now) {
  if (peer.vm == m_self.vm) {
    return false;
  }
  record& known = m_records[peer.vm];
  const bool is_new = !known.was_live || known.info.incarnation != peer.incarnation;
  known.info = peer;
  known.heard = now;
  known.is_heard = true;
  known.was_live = true;
  return is_new;
}

void peer_directory::on_mention(const std::string& vm, const std::string& address,
                                base::time_point now) {
  if (vm == m_self.vm) {
    return;
  }
  const auto [entry, is_new] = m_records.try_emplace(vm);
  if (is_new) {
    entry->second.info = {.vm = vm, .address = address};
  }
  if (is_new || now - entry->second.mentioned > known_for) {
    entry->second.mentioned = now;
  }
}

void peer_directory::on_leaving(const std::string& vm) {
  const auto found = m_records.find(vm);
  if (found != m_records.end()) {
    found->second.heard = {};
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

std::vector<std::string> peer_directory::distant_addresses(base::time_point now) const {
  std::vector<std::string> addresses;
  if (sharing(now) != work_sharing::amounts) {
    return addresses;
  }
  for (const auto& [vm, each] : m_records) {
    if (is_live(each, now) && !is_in_group(each, now)) {
      addresses.push_back(each.info.address);
    }
  }
  return addresses;
}

std::vector<std::string> peer_directory::addresses_to_greet(base::time_point now,
                                                            base::random_source& random) const {
  const bool is_domain_only = sharing(now) == work_sharing::domain_only;
  std::vector<std::string> addresses;
  std::vector<std::string> answered;
  std::vector<std::string> distant;
  for (const auto& [vm, each] : m_records) {
    const bool is_heard_lately = is_live(each, now);
    if (is_heard_lately) {
      answered.push_back(each.info.address);
    }
    if (is_heard_lately && is_domain_only && each.info.failure_domain != m_self.failure_domain) {
      distant.push_back(each.info.address);
      continue;
    }
    const bool is_tried =
        now - each.mentioned < mention_for || (each.is_heard && now - each.heard < mention_for);
    if (!is_heard_lately && is_tried) {
      addresses.push_back(each.info.address);
    }
  }
  for (const std::string& seed : m_seeds) {
    const bool is_known = std::find(answered.begin(), answered.end(), seed) != answered.end() ||
                          std::find(addresses.begin(), addresses.end(), seed) != addresses.end();
    if (seed != m_self.address && !is_known) {
      addresses.push_back(seed);
    }
  }
  for (std::size_t i = 0; i < distant_greetings && !distant.empty(); ++i) {
    addresses.push_back(distant[random.below(distant.size())]);
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
  const auto others = std::count_if(m_records.begin(), m_records.end(), [&](const auto& item) {
    return now - std::max(item.second.heard, item.second.mentioned) < known_for;
  });
  return static_cast<std::size_t>(others) + 1;
}

std::vector<std::string> peer_directory::known_nodes(base::time_point now) const {
  std::vector<std::string> names{m_self.vm};
  for (const auto& [vm, each] : m_records) {
    if (now - std::max(each.heard, each.mentioned) < known_for) {
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
    return now - std::max(item.second.heard, item.second.mentioned) >= known_for;
  });
  return silent;
}

}  // namespace fuchsiaspring::fleet
