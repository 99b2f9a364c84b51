#include "fuchsiaspring/membership/view_tracker.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::membership {
namespace {

// Marker bit: `unknown_bit | v` in `m_older` and in `activated_versions` represents all versions
// below v that may have been active and are no longer known.
constexpr std::uint64_t unknown_bit = std::uint64_t{1} << 63;

constexpr std::uint64_t unknown_before(std::uint64_t version) {
  return version | unknown_bit;
}
constexpr bool is_unknown(std::uint64_t version) {
  return (version & unknown_bit) != 0;
}

// Ended older versions that are kept, so that the reports of a peer whose window ends later do not
// add them again. More than the list changes of a day in a fleet of 410 nodes.
constexpr std::size_t max_ended_versions = 1000;

std::uint64_t to_ms(base::duration value) {
  return static_cast<std::uint64_t>(base::to_milliseconds(value));
}

// Number of members that count towards a majority. Leaving VMs are excluded because they stop soon.
std::size_t member_count(const schema::VmList& list) {
  return static_cast<std::size_t>(std::ranges::count_if(list.vms(), [](const schema::VmEntry& vm) {
    return vm.state() != schema::VM_STATE_LEAVING;
  }));
}

// Two such sets of the same list always have a member in common.
bool is_majority(std::size_t count, std::size_t members) {
  return count > members / 2;
}

// Such a set has a member in common with every majority of the same list.
bool intersects_every_majority(std::size_t count, std::size_t members) {
  return members > 0 && count >= (members + 1) / 2;
}

}  // namespace

view_tracker::view_tracker(std::string self, const view_rules& rules, std::uint64_t started_wall_ms)
    : m_self(std::move(self)),
      m_rules(rules),
      // Peers may still count reports that this agent sent before its restart, for up to
      // `confirmation_limit`. Only reports that they send after that time show that no version was
      // activated because of them.
      m_rejoin_after_wall_ms(started_wall_ms + to_ms(rules.confirmation_limit) +
                             2 * to_ms(rules.clock_error)) {}

const schema::VmList* view_tracker::find_list(std::uint64_t version) const {
  const auto found = m_lists.find(version);
  return found == m_lists.end() ? nullptr : &found->second;
}

std::vector<const schema::VmList*> view_tracker::lists_above(std::uint64_t version) const {
  std::vector<const schema::VmList*> lists;
  for (auto item = m_lists.upper_bound(version); item != m_lists.end(); ++item) {
    lists.push_back(&item->second);
  }
  return lists;
}

bool view_tracker::adopt(const schema::VmList& list) {
  if (list.version() == 0) {
    return false;
  }
  if (list.version() <= m_adopted) {
    if (m_missing.contains(list.version())) {
      m_lists.emplace(list.version(), list);
      m_missing.erase(list.version());
    }
    return false;
  }
  m_adopted = list.version();
  m_highest_reported = std::max(m_highest_reported, m_adopted);
  m_lists[m_adopted] = list;
  if (is_voter()) {
    m_history.insert(m_adopted);
  }
  return true;
}

void view_tracker::set_floor(std::uint64_t floor) {
  m_floor = std::max(m_floor, floor);
}

void view_tracker::on_heartbeat(const std::string& name, const schema::Heartbeat& heartbeat,
                                std::uint64_t sent_wall_ms, base::time_point now,
                                std::uint64_t wall_ms) {
  if (name == m_self || sent_wall_ms > wall_ms + to_ms(m_rules.clock_error)) {
    return;
  }
  report& item = m_reports[name];
  if (sent_wall_ms < item.sent_wall_ms) {
    return;
  }
  item.adopted = heartbeat.list_version();
  item.history = {heartbeat.adopted_versions().begin(), heartbeat.adopted_versions().end()};
  item.activated = {heartbeat.activated_versions().begin(), heartbeat.activated_versions().end()};
  item.sent_wall_ms = sent_wall_ms;
  item.received = now;
  m_highest_reported = std::max(m_highest_reported, item.adopted);
}

bool view_tracker::is_fresh(const report& item, base::time_point now, std::uint64_t wall_ms) const {
  // Both clocks are checked: a paused process reads messages long after they arrived, and the wall
  // clock of this VM may be set back.
  return now - item.received <= m_rules.confirmation_limit &&
         wall_ms <= item.sent_wall_ms + to_ms(m_rules.confirmation_limit);
}

std::size_t view_tracker::count_voters(const schema::VmList& list, base::time_point now,
                                       std::uint64_t wall_ms) const {
  std::size_t count = 0;
  for (const schema::VmEntry& vm : list.vms()) {
    if (vm.state() == schema::VM_STATE_LEAVING) {
      continue;
    }
    if (vm.name() == m_self) {
      count += is_voter() && *m_history.begin() <= list.version() ? 1 : 0;
      continue;
    }
    const auto found = m_reports.find(vm.name());
    if (found == m_reports.end()) {
      continue;
    }
    const report& item = found->second;
    const bool is_voter_for_list = !item.history.empty() && *item.history.begin() <= list.version();
    count += is_voter_for_list && item.adopted == m_adopted && is_fresh(item, now, wall_ms) ? 1 : 0;
  }
  return count;
}

bool view_tracker::is_confirmed(const schema::VmList& list, base::time_point now,
                                std::uint64_t wall_ms) const {
  return intersects_every_majority(count_voters(list, now, wall_ms), member_count(list));
}

void view_tracker::try_rejoin() {
  const schema::VmList* list = adopted_list();
  if (is_voter() || list == nullptr) {
    return;
  }
  std::size_t count = 0;
  for (const schema::VmEntry& vm : list->vms()) {
    const auto found = m_reports.find(vm.name());
    if (vm.state() == schema::VM_STATE_LEAVING || found == m_reports.end()) {
      continue;
    }
    const report& item = found->second;
    const bool is_at_version = item.adopted == m_adopted && item.history.contains(m_adopted);
    // The age of the report does not matter: if a member adopts a newer version later, this agent
    // already records the versions that it adopts itself.
    count += is_at_version && item.sent_wall_ms > m_rejoin_after_wall_ms ? 1 : 0;
  }
  if (intersects_every_majority(count, member_count(*list))) {
    m_history.insert(m_adopted);
  }
}

bool view_tracker::try_learn_activation(base::time_point now, std::uint64_t wall_ms) {
  const report* shortest = nullptr;
  for (const auto& [name, item] : m_reports) {
    if (item.adopted != m_adopted ||
        std::ranges::find(item.activated, m_adopted) == item.activated.end()) {
      continue;
    }
    // Each report names all older versions in use. The shortest list needs the fewest recorders,
    // and choosing it keeps a restart from re-adding a version that others have already ended.
    if (shortest == nullptr || item.activated.size() < shortest->activated.size()) {
      shortest = &item;
    }
  }
  if (shortest == nullptr) {
    return false;
  }
  std::set<std::uint64_t> older(shortest->activated.begin(), shortest->activated.end());
  older.erase(m_adopted);
  activate(older, now, wall_ms);
  return true;
}

bool view_tracker::try_count_activation(base::time_point now, std::uint64_t wall_ms) {
  if (m_activated == 0) {
    return false;  // what was active before the start is not known
  }
  std::set<std::uint64_t> may_be_active{m_activated};
  const auto add_later_versions = [&](const std::set<std::uint64_t>& versions) {
    may_be_active.insert(versions.upper_bound(m_activated), versions.lower_bound(m_adopted));
  };
  add_later_versions(m_history);
  for (const auto& [name, item] : m_reports) {
    add_later_versions(item.history);
  }
  bool is_complete = true;
  bool has_unknown_versions = false;
  for (const std::uint64_t version : may_be_active) {
    const schema::VmList* list = find_list(version);
    if (list != nullptr && is_majority(count_voters(*list, now, wall_ms), member_count(*list))) {
      continue;
    }
    if (version < m_floor) {
      has_unknown_versions = true;  // the versions that followed this one are not known
      continue;
    }
    if (list == nullptr) {
      m_missing.insert(version);
    }
    is_complete = false;
  }
  if (is_complete) {
    if (has_unknown_versions) {
      may_be_active.insert(unknown_before(m_adopted));
    }
    activate(may_be_active, now, wall_ms);
  }
  return is_complete;
}

bool view_tracker::try_bootstrap(base::time_point now, std::uint64_t wall_ms) {
  const schema::VmList* list = adopted_list();
  if (m_floor != m_adopted || wall_ms <= m_rejoin_after_wall_ms) {
    return false;
  }
  for (const schema::VmEntry& vm : list->vms()) {
    if (vm.state() == schema::VM_STATE_LEAVING || vm.name() == m_self) {
      continue;
    }
    const auto found = m_reports.find(vm.name());
    if (found == m_reports.end() || found->second.adopted != m_adopted ||
        found->second.sent_wall_ms <= m_rejoin_after_wall_ms) {
      return false;
    }
  }
  m_history.insert(m_adopted);
  if (m_activated != m_adopted) {
    activate({unknown_before(m_adopted)}, now, wall_ms);
  }
  return true;
}

void view_tracker::activate(const std::set<std::uint64_t>& older, base::time_point now,
                            std::uint64_t wall_ms) {
  // An agent under an older version may act until its last confirmation expires, and its records
  // remain relevant for `key_retention` after that.
  const base::duration acting_margin =
      m_rules.confirmation_limit + 3 * m_rules.clock_error + m_rules.max_claim_duration;
  std::set<std::uint64_t> superseded = older;
  if (m_activated != 0) {
    superseded.insert(m_activated);
  }
  m_missing.clear();  // lists needed only for counting are no longer needed
  for (const std::uint64_t version : superseded) {
    if (m_ended.contains(version)) {
      continue;
    }
    m_older.try_emplace(version, older_version{now + m_rules.key_retention + acting_margin,
                                               wall_ms + to_ms(acting_margin)});
    if (!is_unknown(version) && !m_lists.contains(version)) {
      m_missing.insert(version);
    }
  }
  m_activated = m_adopted;
}

void view_tracker::advance(base::time_point now, std::uint64_t wall_ms) {
  std::erase_if(m_older, [&](const auto& item) {
    if (item.second.ends <= now) {
      m_ended.insert(item.first);
    }
    return item.second.ends <= now;
  });
  while (m_ended.size() > max_ended_versions) {
    m_ended.erase(m_ended.begin());
  }
  if (m_adopted != 0 && m_adopted >= m_floor) {
    try_rejoin();
    if (m_activated != m_adopted && !try_learn_activation(now, wall_ms)) {
      try_count_activation(now, wall_ms);
    }
    if (m_activated != m_adopted || !is_voter()) {
      try_bootstrap(now, wall_ms);
    }
  }
  prune();
}

void view_tracker::prune() {
  std::uint64_t oldest = m_activated;
  for (const auto& [version, item] : m_older) {
    if (!is_unknown(version)) {
      oldest = std::min(oldest, version);
    }
  }
  std::erase_if(m_history, [&](std::uint64_t version) { return version < oldest; });
  std::erase_if(m_lists, [&](const auto& item) { return item.first < oldest; });
  std::erase_if(m_missing, [&](std::uint64_t version) { return version < oldest; });
  std::erase_if(m_reports, [&](const auto& item) {
    return std::ranges::none_of(m_lists, [&](const auto& list) {
      return std::ranges::any_of(
          list.second.vms(), [&](const schema::VmEntry& vm) { return vm.name() == item.first; });
    });
  });
}

void view_tracker::fill_heartbeat(schema::Heartbeat& heartbeat) const {
  heartbeat.set_list_version(m_adopted);
  heartbeat.mutable_adopted_versions()->Assign(m_history.begin(), m_history.end());
  heartbeat.clear_activated_versions();
  if (m_activated == 0 || m_activated != m_adopted) {
    return;
  }
  for (const auto& [version, item] : m_older) {
    heartbeat.add_activated_versions(version);
  }
  heartbeat.add_activated_versions(m_activated);
}

std::uint64_t view_tracker::acting_version(base::time_point now, std::uint64_t wall_ms) const {
  const schema::VmList* list = adopted_list();
  if (list == nullptr || m_activated != m_adopted || m_adopted < m_floor || !m_missing.empty() ||
      !is_confirmed(*list, now, wall_ms)) {
    return 0;
  }
  return m_adopted;
}

std::vector<const schema::VmList*> view_tracker::lists_for_claim(std::uint64_t key_time_ms) const {
  std::vector<const schema::VmList*> lists;
  if (adopted_list() == nullptr) {
    return lists;
  }
  lists.push_back(adopted_list());
  for (const auto& [version, item] : m_older) {
    if (key_time_ms > item.last_key_time_ms) {
      continue;
    }
    const schema::VmList* list = find_list(version);
    if (list == nullptr) {
      return {};
    }
    lists.push_back(list);
  }
  return lists;
}

}  // namespace fuchsiaspring::membership
