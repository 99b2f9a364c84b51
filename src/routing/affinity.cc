#include "routing/affinity.h"

#include <algorithm>

namespace fuchsiaspring::routing::internal {

// A 32-bit stamp of 16 ms units lasts for two years of uptime.
std::uint32_t affinity_table::stamp_of(base::time_point now) {
  constexpr std::int64_t unit_ns = 16'000'000;
  return static_cast<std::uint32_t>(now.time_since_epoch().count() / unit_ns) + 1;
}

std::span<affinity_table::entry> affinity_table::entries_for(std::uint64_t prefix) {
  return std::span(m_entries).subspan((prefix % set_count) * ways, ways);
}

std::span<const affinity_table::entry> affinity_table::entries_for(std::uint64_t prefix) const {
  return std::span(m_entries).subspan((prefix % set_count) * ways, ways);
}

void affinity_table::resize(std::size_t members) {
  m_members.resize(members);
}

void affinity_table::remap(std::span<const int> new_index, std::size_t members) {
  std::vector<member_record> records(members);
  for (std::size_t old = 0; old < new_index.size() && old < m_members.size(); ++old) {
    if (new_index[old] >= 0) {
      records[static_cast<std::size_t>(new_index[old])] = m_members[old];
    }
  }
  m_members = std::move(records);
  for (entry& each : m_entries) {
    for (std::uint16_t& member : each.member) {
      if (member == no_member) {
        continue;
      }
      const int target = member < new_index.size() ? new_index[member] : -1;
      member = target < 0 ? no_member : static_cast<std::uint16_t>(target);
    }
  }
}

void affinity_table::on_stored(std::uint64_t prefix, std::size_t member, base::time_point now) {
  if (prefix == 0 || member >= m_members.size()) {
    return;
  }
  if (m_entries.empty()) {
    m_entries.resize(set_count * ways);
  }
  const std::span<entry> set = entries_for(prefix);
  auto found = std::ranges::find(set, prefix, &entry::prefix);
  if (found == set.end()) {
    found = std::ranges::min_element(set, {}, &entry::newest);
    *found = entry{.prefix = prefix};
  }
  const auto member_index = static_cast<std::uint16_t>(member);
  std::size_t slot = found->stamp[0] <= found->stamp[1] ? 0 : 1;
  if (found->member[1 - slot] == member_index) {
    slot = 1 - slot;
  }
  found->member[slot] = member_index;
  found->stamp[slot] = stamp_of(now);
}

void affinity_table::on_evicted(std::uint64_t prefix, std::size_t member) {
  if (m_entries.empty()) {
    return;
  }
  for (entry& each : entries_for(prefix)) {
    if (each.prefix != prefix) {
      continue;
    }
    for (std::size_t slot = 0; slot < each.member.size(); ++slot) {
      if (each.member[slot] == member) {
        each.member[slot] = no_member;
        each.stamp[slot] = 0;
      }
    }
  }
}

void affinity_table::on_cleared(std::size_t member, base::time_point now) {
  if (member < m_members.size()) {
    m_members[member].empty_until = stamp_of(now);
  }
}

void affinity_table::on_restarted(std::size_t member, base::time_point now) {
  on_cleared(member, now);
  if (member < m_members.size()) {
    m_members[member].last_sequence = 0;
  }
}

bool affinity_table::accept_sequence(std::size_t member, std::uint64_t sequence,
                                     base::time_point now) {
  if (member >= m_members.size()) {
    return false;
  }
  member_record& record = m_members[member];
  if (sequence <= record.last_sequence) {
    return false;
  }
  if (record.last_sequence != 0 && sequence > record.last_sequence + 1) {
    record.gap_at = stamp_of(now);
  }
  record.last_sequence = sequence;
  return true;
}

double affinity_table::confidence(const entry& source, std::size_t slot, std::uint32_t now) const {
  constexpr auto lifetime_units = static_cast<double>(lifetime.count()) / 16e6;
  if (source.member[slot] >= m_members.size()) {
    return 0.0;
  }
  const member_record& record = m_members[source.member[slot]];
  const std::uint32_t stamp = source.stamp[slot];
  if (stamp <= record.empty_until) {
    return 0.0;
  }
  const double age = now > stamp ? static_cast<double>(now - stamp) : 0.0;
  const double freshness = std::max(0.0, 1.0 - age / lifetime_units);
  return stamp <= record.gap_at ? freshness * gap_confidence : freshness;
}

std::array<affinity_table::holder, 2> affinity_table::find(std::uint64_t prefix,
                                                           base::time_point now) const {
  std::array<holder, 2> result{};
  if (prefix == 0 || m_entries.empty()) {
    return result;
  }
  const std::uint32_t stamp = stamp_of(now);
  for (const entry& each : entries_for(prefix)) {
    if (each.prefix != prefix) {
      continue;
    }
    for (std::size_t slot = 0; slot < result.size(); ++slot) {
      result[slot] = {.member = each.member[slot], .confidence = confidence(each, slot, stamp)};
    }
    break;
  }
  return result;
}

}  // namespace fuchsiaspring::routing::internal
