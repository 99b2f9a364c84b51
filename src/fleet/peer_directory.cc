#include "fuchsiaspring/fleet/peer_directory.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::fleet {
namespace {

// Five heartbeats at the default interval.
constexpr base::duration live_for = std::chrono::milliseconds(1000);
// A node that is cut off or suspended goes on using its shares; this outlasts the usual cut.
constexpr base::duration known_for = std::chrono::seconds(20);
constexpr base::duration mention_for = std::chrono::seconds(3);

}  // namespace

peer_directory::peer_directory(std::string self, std::string own_address,
                               std::vector<std::string> seeds)
    : m_self(std::move(self)), m_own_address(std::move(own_address)), m_seeds(std::move(seeds)) {}

bool peer_directory::on_heartbeat(const peer_info& peer, base::time_point now) {
  if (peer.vm == m_self) {
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
  if (vm == m_self) {
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

std::vector<std::string> peer_directory::addresses_to_contact(base::time_point now) const {
  std::vector<std::string> addresses;
  std::vector<std::string> answered;
  for (const auto& [vm, each] : m_records) {
    const bool is_live = each.is_heard && now - each.heard < live_for;
    if (is_live) {
      answered.push_back(each.info.address);
    }
    const bool is_tried =
        now - each.mentioned < mention_for || (each.is_heard && now - each.heard < mention_for);
    if (is_live || is_tried) {
      addresses.push_back(each.info.address);
    }
  }
  for (const std::string& seed : m_seeds) {
    if (seed == m_own_address ||
        std::find(addresses.begin(), addresses.end(), seed) != addresses.end()) {
      continue;
    }
    addresses.push_back(seed);
  }
  return addresses;
}

std::vector<peer_info> peer_directory::live(base::time_point now) const {
  std::vector<peer_info> peers;
  for (const auto& [vm, each] : m_records) {
    if (each.is_heard && now - each.heard < live_for) {
      peers.push_back(each.info);
    }
  }
  return peers;
}

std::vector<std::string> peer_directory::known_nodes(base::time_point now) const {
  std::vector<std::string> names{m_self};
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
    if (each.was_live && now - each.heard >= live_for) {
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
