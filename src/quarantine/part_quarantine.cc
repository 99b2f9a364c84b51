#include "fuchsiaspring/quarantine/part_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::quarantine {
namespace {

// Parts whose last complete response is remembered. A node has far fewer in use at a time.
constexpr std::size_t max_remembered_successes = 4096;
// A crash counts towards a block after this time, in which the evidence of other nodes about the
// same crash and responses that clear a part arrive.
constexpr base::duration settling_time = std::chrono::milliseconds(300);

using crash_times = std::map<std::uint32_t, base::time_point>;  // by replica start

// Number of times that are at least `min_separation` apart.
std::size_t count_separate(std::vector<base::time_point> times, base::duration min_separation) {
  std::sort(times.begin(), times.end());
  std::size_t count = 0;
  std::optional<base::time_point> last_counted;
  for (const base::time_point at : times) {
    if (last_counted && at - *last_counted < min_separation) {
      continue;
    }
    last_counted = at;
    ++count;
  }
  return count;
}

// Moves the crashes that `cause` explains from `crashes` to `explained`.
void set_aside(crash_times& crashes, const crash_times& cause, crash_times& explained) {
  std::erase_if(crashes, [&](const auto& crash) {
    const bool is_explained = cause.contains(crash.first);
    if (is_explained) {
      explained.insert(crash);
    }
    return is_explained;
  });
}

}  // namespace

std::string_view to_string(verdict value) {
  switch (value) {
    case verdict::allowed:
      return "allowed";
    case verdict::suspected:
      return "suspected";
    case verdict::trial:
      return "trial";
    case verdict::blocked:
      return "blocked";
  }
  return "unknown";
}

std::uint32_t hash_replica_start(std::string_view replica_id, std::uint64_t started_at_ms) {
  return static_cast<std::uint32_t>(base::hash64(replica_id, started_at_ms));
}

part_quarantine::part_quarantine(quarantine_options options, std::string node)
    : m_options(options), m_node(std::move(node)), m_nodes{m_node} {}

bool part_quarantine::is_blocked(const part_state& state, base::time_point now) const {
  return state.blocked_at && now - state.last_request < m_options.block_lifetime;
}

std::size_t part_quarantine::separate_crashes(const part_state& state, base::time_point now) const {
  std::vector<base::time_point> times;
  for (const auto& [replica, at] : state.crashes) {
    if (now - at < m_options.evidence_lifetime) {
      times.push_back(at);
    }
  }
  return count_separate(std::move(times), m_options.min_separation);
}

bool part_quarantine::add_crash(std::uint64_t part, std::uint32_t depth, std::uint32_t replica,
                                base::time_point at, base::time_point now) {
  if (now - at >= m_options.evidence_lifetime) {
    return false;
  }
  const auto success = m_last_successes.find(part);
  if (success != m_last_successes.end() && at <= success->second) {
    return false;
  }
  part_state& state = m_parts[part];
  state.depth = std::max(state.depth, depth);
  const bool is_cleared = state.last_success_began_at && at <= *state.last_success_began_at;
  if (is_cleared || state.crashes.contains(replica)) {
    return false;
  }
  state.crashes.emplace(replica, at);
  if (state.crashes.size() > m_options.max_crashes_per_part) {
    state.crashes.erase(std::min_element(
        state.crashes.begin(), state.crashes.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
  return true;
}

void part_quarantine::mark_own_change(part_state& state) {
  state.has_own_change = true;
  m_has_own_changes = true;
}

bool part_quarantine::was_completed_recently(std::uint64_t part, base::time_point at) const {
  const auto found = m_last_successes.find(part);
  return found != m_last_successes.end() && at - found->second < m_options.recent_completion;
}

void part_quarantine::record_crash(const crash_report& report, base::time_point now) {
  for (const suspect& each : report.suspects) {
    if (add_crash(each.part, each.depth, report.replica, report.at, now) &&
        !was_completed_recently(each.part, report.at)) {
      mark_own_change(m_parts[each.part]);
    }
  }
  explain_crashes(now);
  block_conclusive_parts(now);
  limit_parts();
}

std::optional<base::time_point> part_quarantine::last_answer(std::uint64_t part) const {
  std::optional<base::time_point> last;
  if (const auto own = m_last_successes.find(part); own != m_last_successes.end()) {
    last = own->second;
  }
  if (const auto state = m_parts.find(part); state != m_parts.end()) {
    last = std::max(last, state->second.last_success_began_at);
  }
  return last;
}

part_quarantine::suspicion part_quarantine::suspicion_of(std::uint64_t part,
                                                         const part_state& state,
                                                         std::size_t crashes,
                                                         base::time_point now) const {
  const std::optional<base::time_point> answer = last_answer(part);
  return {.was_never_answered = !answer || now - *answer >= m_options.evidence_lifetime,
          .crashes = crashes,
          .depth = state.depth};
}

bool part_quarantine::clear_until(part_state& state, base::time_point begun_at,
                                  base::time_point now) {
  if (state.last_success_began_at && begun_at <= *state.last_success_began_at) {
    return false;
  }
  const bool was_suspected = separate_crashes(state, now) >= m_options.suspect_crashes;
  state.last_success_began_at = begun_at;
  const std::size_t refuted_crashes = std::erase_if(
      state.crashes, [begun_at](const auto& item) { return item.second <= begun_at; });
  // A response that began between the crashes and the block says as much as a later one.
  const bool is_block_refuted =
      refuted_crashes > 0 && separate_crashes(state, now) < m_options.blocking_crashes;
  const bool was_blocked = state.blocked_at && (*state.blocked_at < begun_at || is_block_refuted);
  if (was_blocked) {
    state.blocked_at.reset();
    state.trials = 0;
    state.comparing_trials = 0;
  }
  if (was_suspected || was_blocked) {
    mark_own_change(state);
  }
  return was_blocked;
}

void part_quarantine::record_answer(std::span<const std::uint64_t> parts, base::time_point begun_at,
                                    base::time_point now) {
  bool has_released = false;
  for (const std::uint64_t part : parts) {
    const bool is_remembered = m_last_successes.contains(part);
    if (is_remembered || m_last_successes.size() < max_remembered_successes) {
      base::time_point& success = m_last_successes[part];
      success = std::max(success, begun_at);
    }
    const auto found = m_parts.find(part);
    if (found != m_parts.end() && clear_until(found->second, begun_at, now)) {
      has_released = true;
    }
  }
  if (has_released) {
    restore_explained_crashes(now);
  }
}

bool part_quarantine::is_comparing_trial(std::uint64_t part, const part_state& state,
                                         std::span<const std::uint64_t> parts,
                                         base::time_point now) const {
  if (state.crashes.empty() || state.comparing_trials >= m_options.max_comparing_trials) {
    return false;
  }
  const suspicion own = suspicion_of(part, state, 0, now);
  return std::ranges::any_of(m_parts, [&](const auto& item) {
    const part_state& other = item.second;
    const bool is_part_of_request = std::ranges::find(parts, item.first) != parts.end();
    return !is_part_of_request &&
           suspicion_of(item.first, other, 0, now).was_never_answered == own.was_never_answered &&
           std::ranges::all_of(state.crashes, [&](const auto& crash) {
             return other.crashes.contains(crash.first) || other.explained.contains(crash.first);
           });
  });
}

bool part_quarantine::is_trial_due(std::uint64_t part, const part_state& state,
                                   std::span<const std::uint64_t> parts,
                                   base::time_point now) const {
  const bool is_comparing = is_comparing_trial(part, state, parts, now);
  if (!is_comparing && state.trials >= m_options.max_trials) {
    return false;
  }
  base::duration delay =
      is_comparing ? m_options.comparing_trial_delay : m_options.first_trial_delay;
  for (std::uint32_t i = 0; !is_comparing && i < state.trials; ++i) {
    delay *= m_options.trial_delay_factor;
  }
  const base::time_point last = std::max(*state.blocked_at, state.last_trial);
  if (now - last < delay) {
    return false;
  }
  const auto owner = base::rendezvous_top(std::to_string(part), m_nodes, 1);
  return !owner.empty() && m_nodes[owner.front()] == m_node;
}

verdict part_quarantine::check(std::span<const std::uint64_t> parts, base::time_point now) {
  const verdict result = recheck(parts, now);
  if (result != verdict::blocked) {
    return result;
  }
  std::vector<std::uint64_t> blocked;
  bool are_trials_due = true;
  for (const std::uint64_t part : parts) {
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || !is_blocked(found->second, now)) {
      continue;
    }
    part_state& state = found->second;
    state.last_request = std::max(state.last_request, now);
    are_trials_due = are_trials_due && is_trial_due(part, state, parts, now);
    blocked.push_back(part);
  }
  // The crash of a trial with two blocked parts would not tell which of them is the cause.
  if (!are_trials_due || blocked.size() != 1) {
    return verdict::blocked;
  }
  part_state& state = m_parts.at(blocked.front());
  // Trials that tell causes apart do not use up the others.
  const bool is_comparing = is_comparing_trial(blocked.front(), state, parts, now);
  ++(is_comparing ? state.comparing_trials : state.trials);
  state.last_trial = now;
  mark_own_change(state);
  return verdict::trial;
}

verdict part_quarantine::recheck(std::span<const std::uint64_t> parts, base::time_point now) const {
  verdict result = verdict::allowed;
  for (const std::uint64_t part : parts) {
    const auto found = m_parts.find(part);
    if (found == m_parts.end()) {
      continue;
    }
    if (is_blocked(found->second, now)) {
      return verdict::blocked;
    }
    if (separate_crashes(found->second, now) >= m_options.suspect_crashes) {
      result = verdict::suspected;
    }
  }
  return result;
}

void part_quarantine::block_conclusive_parts(base::time_point now) {
  while (true) {
    part_state* worst = nullptr;
    suspicion worst_suspicion;
    for (auto& [part, state] : m_parts) {
      if (state.blocked_at || state.crashes.size() < m_options.blocking_crashes) {
        continue;
      }
      std::vector<base::time_point> settled;
      for (const auto& [replica, at] : state.crashes) {
        if (now - at >= settling_time) {
          settled.push_back(at);
        }
      }
      const suspicion current = suspicion_of(part, state, settled.size(), now);
      const bool is_worse = worst == nullptr || worst_suspicion < current;
      if (is_worse && count_separate(std::move(settled), m_options.min_separation) >=
                          m_options.blocking_crashes) {
        worst = &state;
        worst_suspicion = current;
      }
    }
    if (worst == nullptr) {
      return;
    }
    worst->last_request = now;
    worst->blocked_at = now;
    mark_own_change(*worst);
    explain_crashes(now);
  }
}

// A blocked part explains the crashes of less likely causes: those only ran beside it. A part that
// was blocked on incomplete evidence is released once another one explains its crashes.
void part_quarantine::explain_crashes(base::time_point now) {
  for (const auto& [blocked_part, cause] : m_parts) {
    if (!cause.blocked_at) {
      continue;
    }
    const part_state& blocked = cause;
    const suspicion suspicion_of_blocked =
        suspicion_of(blocked_part, blocked, blocked.crashes.size(), now);
    for (auto& [part, state] : m_parts) {
      if (part == blocked_part || state.crashes.empty() ||
          !(suspicion_of(part, state, state.crashes.size(), now) < suspicion_of_blocked)) {
        continue;
      }
      std::vector<base::time_point> unexplained;
      for (const auto& [replica, at] : state.crashes) {
        if (!blocked.crashes.contains(replica)) {
          unexplained.push_back(at);
        }
      }
      if (unexplained.size() == state.crashes.size() ||
          (state.blocked_at &&
           count_separate(unexplained, m_options.min_separation) >= m_options.blocking_crashes)) {
        continue;
      }
      state.blocked_at.reset();
      set_aside(state.crashes, blocked.crashes, state.explained);
    }
  }
}

void part_quarantine::restore_explained_crashes(base::time_point now) {
  for (auto& [part, state] : m_parts) {
    const std::uint32_t depth = state.depth;
    for (const auto& [replica, at] : std::exchange(state.explained, {})) {
      add_crash(part, depth, replica, at, now);
    }
  }
  explain_crashes(now);
  block_conclusive_parts(now);
}

part_evidence part_quarantine::to_evidence(std::uint64_t part, const part_state& state,
                                           base::time_point now) const {
  part_evidence result{.part = part, .depth = state.depth, .trials = state.trials};
  for (const auto& [replica, at] : state.crashes) {
    result.crashes.push_back({replica, now - at});
  }
  if (const std::optional<base::time_point> answer = last_answer(part)) {
    result.completion_age = now - *answer;
  }
  if (is_blocked(state, now)) {
    result.block_age = now - *state.blocked_at;
    result.request_age = now - state.last_request;
  }
  return result;
}

std::vector<part_evidence> part_quarantine::take_changes(change_origin origin, base::time_point now,
                                                         std::size_t limit) {
  // The most incriminating first, then the most specific parts.
  std::vector<std::tuple<bool, std::size_t, std::uint32_t, std::uint64_t>> ranked;
  for (const auto& [part, state] : m_parts) {
    if (state.has_own_change || (state.has_learned_change && origin == change_origin::any)) {
      ranked.emplace_back(is_blocked(state, now), separate_crashes(state, now), state.depth, part);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  m_has_own_changes = ranked.size() > limit;
  ranked.resize(std::min(ranked.size(), limit));
  std::vector<part_evidence> changes;
  for (const auto& [is_part_blocked, crashes, depth, part] : ranked) {
    part_state& state = m_parts.at(part);
    state.has_own_change = false;
    state.has_learned_change = false;
    changes.push_back(to_evidence(part, state, now));
  }
  return changes;
}

std::vector<part_evidence> part_quarantine::evidence(base::time_point now, std::size_t limit,
                                                     std::size_t turn) const {
  std::vector<std::pair<std::size_t, std::uint64_t>> ranked;  // rank, part
  for (const auto& [part, state] : m_parts) {
    const std::size_t rank =
        is_blocked(state, now) ? m_options.max_crashes_per_part + 1 : separate_crashes(state, now);
    ranked.emplace_back(rank, part);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const std::size_t fixed = limit / 2;
  if (ranked.size() > limit) {
    const std::size_t shift = turn * (limit - fixed) % (ranked.size() - fixed);
    std::rotate(ranked.begin() + static_cast<std::ptrdiff_t>(fixed),
                ranked.begin() + static_cast<std::ptrdiff_t>(fixed + shift), ranked.end());
    ranked.resize(limit);
  }
  std::vector<part_evidence> result;
  result.reserve(ranked.size());
  for (const auto& [rank, part] : ranked) {
    result.push_back(to_evidence(part, m_parts.at(part), now));
  }
  return result;
}

bool part_quarantine::is_refuted(const part_evidence& received, base::time_point now) const {
  const std::optional<base::time_point> answer = last_answer(received.part);
  if (!answer) {
    return false;
  }
  std::vector<base::time_point> later_crashes;
  for (const crash_age& each : received.crashes) {
    if (now - each.age > *answer) {
      later_crashes.push_back(now - each.age);
    }
  }
  const bool has_refuted_crashes = later_crashes.size() < received.crashes.size();
  return now - *received.block_age <= *answer ||
         (has_refuted_crashes &&
          count_separate(std::move(later_crashes), m_options.min_separation) <
              m_options.blocking_crashes);
}

void part_quarantine::merge_block(const part_evidence& received, change_origin forwarding,
                                  base::time_point now) {
  if (!received.block_age || received.request_age >= m_options.block_lifetime ||
      is_refuted(received, now)) {
    return;
  }
  part_state& state = m_parts[received.part];
  const base::time_point blocked_at = now - *received.block_age;
  state.depth = std::max(state.depth, received.depth);
  state.last_request = std::max(state.last_request, now - received.request_age);
  if (received.trials > state.trials) {
    state.trials = received.trials;
    state.last_trial = now;
    state.has_learned_change |= forwarding == change_origin::any;
  }
  if (!state.blocked_at) {
    state.blocked_at = blocked_at;
    state.has_learned_change |= forwarding == change_origin::any;
    explain_crashes(now);
  } else {
    state.blocked_at = std::min(*state.blocked_at, blocked_at);
  }
}

void part_quarantine::merge(std::span<const part_evidence> received, change_origin forwarding,
                            base::time_point now) {
  bool has_released = false;
  for (const part_evidence& each : received) {
    if (each.completion_age && *each.completion_age < m_options.evidence_lifetime &&
        clear_until(m_parts[each.part], now - *each.completion_age, now)) {
      has_released = true;
    }
    merge_block(each, forwarding, now);
    for (const crash_age& crash : each.crashes) {
      if (add_crash(each.part, each.depth, crash.replica, now - crash.age, now)) {
        m_parts[each.part].has_learned_change |= forwarding == change_origin::any;
      }
    }
  }
  if (has_released) {
    restore_explained_crashes(now);
  }
  explain_crashes(now);
  block_conclusive_parts(now);
  limit_parts();
}

void part_quarantine::expire(base::time_point now) {
  for (auto& [part, state] : m_parts) {
    const auto is_old = [&](const auto& crash) {
      return now - crash.second >= m_options.evidence_lifetime;
    };
    std::erase_if(state.crashes, is_old);
    std::erase_if(state.explained, is_old);
  }
  std::erase_if(m_last_successes,
                [&](const auto& item) { return now - item.second >= m_options.evidence_lifetime; });
  std::erase_if(m_parts, [&](const auto& item) {
    const part_state& state = item.second;
    // What cleared a part is kept as long as evidence from other nodes may contradict it.
    const bool was_cleared_recently =
        state.last_success_began_at &&
        now - *state.last_success_began_at < m_options.evidence_lifetime;
    return state.crashes.empty() && state.explained.empty() && !is_blocked(state, now) &&
           !was_cleared_recently;
  });
  block_conclusive_parts(now);
}

std::vector<std::uint64_t> part_quarantine::blocked_parts(base::time_point now) const {
  std::vector<std::uint64_t> blocked;
  for (const auto& [part, state] : m_parts) {
    if (is_blocked(state, now)) {
      blocked.push_back(part);
    }
  }
  return blocked;
}

// Parts without a block are dropped first, those with the oldest evidence before the others.
void part_quarantine::limit_parts() {
  while (m_parts.size() > m_options.max_parts) {
    const auto last_crash = [](const part_state& state) {
      base::time_point last{};
      for (const auto& [replica, at] : state.crashes) {
        last = std::max(last, at);
      }
      return last;
    };
    m_parts.erase(
        std::min_element(m_parts.begin(), m_parts.end(), [&](const auto& left, const auto& right) {
          return std::pair(left.second.blocked_at.has_value(), last_crash(left.second)) <
                 std::pair(right.second.blocked_at.has_value(), last_crash(right.second));
        }));
  }
}

}  // namespace fuchsiaspring::quarantine
