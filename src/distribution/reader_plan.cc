#include "fuchsiaspring/distribution/reader_plan.h"

#include <algorithm>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::distribution {

bool is_reader(const schema::VmList& list, const std::set<std::string>& suspected,
               const std::string& self, const reader_rules& rules) {
  const auto self_entry = std::ranges::find_if(
      list.vms(), [&](const schema::VmEntry& vm) { return vm.name() == self; });
  if (self_entry == list.vms().end()) {
    return true;
  }
  std::vector<std::string> names;
  for (const schema::VmEntry& vm : list.vms()) {
    const bool usable = vm.state() != schema::VM_STATE_LEAVING && !suspected.contains(vm.name());
    if (vm.failure_domain() == self_entry->failure_domain() && usable) {
      names.push_back(vm.name());
    }
  }
  const auto chosen = base::rendezvous_top(
      "configuration readers of " + self_entry->failure_domain(), names, rules.readers_per_domain);
  return std::ranges::any_of(chosen, [&](std::size_t index) { return names[index] == self; });
}

fallback_schedule::fallback_schedule(const reader_rules& rules, base::time_point now,
                                     base::random_source& random)
    : m_rules(rules) {
  m_next = now + base::from_seconds(random.uniform() * base::to_seconds(rules.start_spread));
}

base::duration fallback_schedule::mean_interval(std::size_t vms) const {
  const base::duration budget_interval =
      base::from_seconds(static_cast<double>(vms) / m_rules.fleet_reads_per_second);
  return std::max(budget_interval, m_rules.min_read_interval);
}

bool fallback_schedule::take_due(base::time_point now, std::size_t vms,
                                 base::random_source& random) {
  if (now < m_next) {
    return false;
  }
  const double jitter = 0.5 + random.uniform();
  m_next = now + base::from_seconds(jitter * base::to_seconds(mean_interval(vms)));
  return true;
}

bool serving_slots::take(const std::string& peer, std::uint64_t revision, base::time_point now) {
  for (auto& [served_revision, transfers] : m_transfers) {
    std::erase_if(transfers, [now](const auto& transfer) { return transfer.second <= now; });
  }
  std::erase_if(m_transfers, [](const auto& item) { return item.second.empty(); });
  auto& served_peers = m_transfers[revision];
  if (!served_peers.contains(peer) && served_peers.size() >= max_peers_per_revision) {
    return false;
  }
  served_peers[peer] = now + transfer_time;
  return true;
}

void serving_slots::release(const std::string& peer, std::uint64_t revision) {
  for (auto& [served_revision, transfers] : m_transfers) {
    if (served_revision <= revision) {
      transfers.erase(peer);
    }
  }
}

std::optional<std::string> fetch_schedule::next_peer(std::uint64_t revision,
                                                     const std::vector<std::string>& holders,
                                                     base::time_point now,
                                                     base::random_source& random) {
  if (revision == 0 || (!m_pending_peer.empty() && now < m_pending_until)) {
    return std::nullopt;
  }
  std::erase_if(m_pauses, [now](const auto& pause) { return pause.second <= now; });
  if (!m_pending_peer.empty()) {
    // The peer did not reply in time: other holders are tried first.
    m_pauses[m_pending_peer] = now + reply_timeout;
    m_pending_peer.clear();
  }
  std::vector<std::string> candidates;
  for (const std::string& holder : holders) {
    if (!m_pauses.contains(holder)) {
      candidates.push_back(holder);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  m_pending_peer = candidates[random.uniform_below(candidates.size())];
  m_pending_until = now + reply_timeout;
  return m_pending_peer;
}

void fetch_schedule::on_busy(const std::string& peer, base::time_point now) {
  m_pauses[peer] = now + busy_pause;
  if (m_pending_peer == peer) {
    m_pending_peer.clear();
  }
}

void fetch_schedule::on_arrival() {
  m_pending_peer.clear();
  m_pauses.clear();
}

}  // namespace fuchsiaspring::distribution
