#include "fuchsiaspring/quarantine/part_quarantine.h"

#include <algorithm>
#include <utility>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::quarantine {
namespace {

// Parts whose last complete response is remembered. A node has far fewer in use at a time.
constexpr std::size_t max_remembered_successes = 4096;
// A crash counts towards a block after this time, in which the evidence of other nodes about the
// same crash and responses that clear a part arrive.
constexpr base::duration settling_time = std::chrono::milliseconds(300);

// The same for crashes of one burst, after which responses without the part have to begin.
constexpr base::duration burst_settling_time = std::chrono::seconds(1);

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

std::size_t part_quarantine::separate_crashes(const part_state& state) const {
  return state.crashes.separate(m_options.min_separation);
}

bool part_quarantine::was_answered(std::uint64_t part, base::time_point now) const {
  const std::optional<base::time_point> answer = last_answer(part);
  return answer && now - *answer < m_options.evidence_lifetime;
}

part_quarantine::conclusion part_quarantine::conclude(std::uint64_t part,
                                                      const crash_history& crashes,
                                                      base::time_point now) const {
  if (crashes.separate(m_options.min_separation) >= m_options.blocking_crashes) {
    return conclusion::certain;
  }
  const bool is_probable =
      crashes.size() >= m_options.blocking_replicas && !was_answered(part, now);
  return is_probable ? conclusion::probable : conclusion::none;
}

bool part_quarantine::is_conclusive(std::uint64_t part, const crash_history& crashes,
                                    base::time_point now) const {
  const crash_history settled = crashes.until(now - settling_time);
  if (settled.separate(m_options.min_separation) >= m_options.blocking_crashes) {
    return true;
  }
  const crash_history burst = crashes.until(now - burst_settling_time);
  return conclude(part, burst, now) != conclusion::none && are_other_parts_answered(now);
}

bool part_quarantine::are_other_parts_answered(base::time_point now) const {
  const auto count = std::ranges::count_if(m_latest_answers, [&](base::time_point begun_at) {
    return now - begun_at < m_options.evidence_lifetime;
  });
  return static_cast<std::size_t>(count) >= m_options.min_other_answers;
}

void part_quarantine::remember_answer(base::time_point begun_at) {
  m_latest_answers.push_back(begun_at);
  if (m_latest_answers.size() > m_options.min_other_answers) {
    m_latest_answers.erase(std::ranges::min_element(m_latest_answers));
  }
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
  return !is_cleared && state.crashes.add({.replica = replica, .at = at});
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
  return {.was_never_answered = !was_answered(part, now), .crashes = crashes, .depth = state.depth};
}

bool part_quarantine::clear_until(std::uint64_t part, base::time_point begun_at,
                                  base::time_point now) {
  part_state& state = m_parts[part];
  if (state.last_success_began_at && begun_at <= *state.last_success_began_at) {
    return false;
  }
  const bool was_suspected = separate_crashes(state) >= m_options.suspect_crashes;
  state.last_success_began_at = begun_at;
  const std::size_t refuted_crashes = state.crashes.remove_until(begun_at);
  // A response that began between the crashes and the block says as much as a later one.
  const bool is_block_refuted =
      refuted_crashes > 0 && conclude(part, state.crashes, now) == conclusion::none;
  const bool was_blocked = state.blocked_at && (*state.blocked_at < begun_at || is_block_refuted);
  if (was_blocked) {
    state.blocked_at.reset();
    state.trials = 0;
    state.early_trials = 0;
  }
  if (was_suspected || was_blocked) {
    mark_own_change(state);
  }
  return was_blocked;
}

void part_quarantine::record_answer(std::span<const std::uint64_t> parts, base::time_point begun_at,
                                    base::time_point now) {
  bool has_released = false;
  if (!parts.empty()) {
    remember_answer(begun_at);
  }
  for (const std::uint64_t part : parts) {
    const bool is_remembered = m_last_successes.contains(part);
    if (is_remembered || m_last_successes.size() < max_remembered_successes) {
      base::time_point& success = m_last_successes[part];
      success = std::max(success, begun_at);
    }
    if (m_parts.contains(part) && clear_until(part, begun_at, now)) {
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
  if (state.crashes.empty()) {
    return false;
  }
  const suspicion own = suspicion_of(part, state, 0, now);
  return std::ranges::any_of(m_parts, [&](const auto& item) {
    const part_state& other = item.second;
    const bool is_part_of_request = std::ranges::find(parts, item.first) != parts.end();
    if (is_part_of_request ||
        suspicion_of(item.first, other, 0, now).was_never_answered != own.was_never_answered) {
      return false;
    }
    const crash_history unexplained = state.crashes.without(other.crashes).without(other.explained);
    const bool has_failed_trial =
        state.early_trials > 0 && !unexplained.empty() && unexplained.last() > state.last_trial;
    return unexplained.size() < state.crashes.size() && !has_failed_trial &&
           conclude(part, unexplained, now) == conclusion::none;
  });
}

std::optional<base::duration> part_quarantine::early_trial_delay(
    std::uint64_t part, const part_state& state, std::span<const std::uint64_t> parts,
    base::time_point now) const {
  const bool is_probable = conclude(part, state.crashes, now) == conclusion::probable;
  if (is_probable && state.early_trials < m_options.max_burst_trials) {
    return m_options.burst_trial_delay;
  }
  const bool is_comparing = state.early_trials < m_options.max_comparing_trials &&
                            is_comparing_trial(part, state, parts, now);
  return is_comparing ? std::optional(m_options.comparing_trial_delay) : std::nullopt;
}

bool part_quarantine::is_trial_due(std::uint64_t part, const part_state& state,
                                   std::span<const std::uint64_t> parts,
                                   base::time_point now) const {
  const std::optional<base::duration> early_delay = early_trial_delay(part, state, parts, now);
  if (!early_delay && state.trials >= m_options.max_trials) {
    return false;
  }
  base::duration delay = early_delay.value_or(m_options.first_trial_delay);
  for (std::uint32_t i = 0; !early_delay && i < state.trials; ++i) {
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
  // Early trials do not use up the others.
  const bool is_early = early_trial_delay(blocked.front(), state, parts, now).has_value();
  ++(is_early ? state.early_trials : state.trials);
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
    if (separate_crashes(found->second) >= m_options.suspect_crashes) {
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
      const bool is_decided = state.blocked_at || state.crashes.size() < m_options.blocking_crashes;
      if (is_decided || !is_conclusive(part, state.crashes, now)) {
        continue;
      }
      const std::size_t settled = state.crashes.until(now - settling_time).size();
      const suspicion current = suspicion_of(part, state, settled, now);
      if (worst == nullptr || worst_suspicion < current) {
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
      const crash_history unexplained = state.crashes.without(blocked.crashes);
      if (unexplained.size() == state.crashes.size() ||
          (state.blocked_at && conclude(part, unexplained, now) != conclusion::none)) {
        continue;
      }
      state.blocked_at.reset();
      for (const crash& each : state.crashes.take_common(blocked.crashes)) {
        state.explained.add(each);
      }
    }
  }
}

void part_quarantine::restore_explained_crashes(base::time_point now) {
  for (auto& [part, state] : m_parts) {
    const std::uint32_t depth = state.depth;
    for (const crash& each : std::exchange(state.explained, {})) {
      add_crash(part, depth, each.replica, each.at, now);
    }
  }
  explain_crashes(now);
  block_conclusive_parts(now);
}

void part_quarantine::expire(base::time_point now) {
  for (auto& [part, state] : m_parts) {
    state.crashes.remove_until(now - m_options.evidence_lifetime);
    state.explained.remove_until(now - m_options.evidence_lifetime);
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

std::vector<part_summary> part_quarantine::summaries(std::size_t min_replicas,
                                                     base::time_point now) const {
  std::vector<std::pair<suspicion, part_summary>> ranked;
  for (const auto& [part, state] : m_parts) {
    const bool is_part_blocked = is_blocked(state, now);
    if (!is_part_blocked && state.crashes.size() < min_replicas) {
      continue;
    }
    const suspicion current = suspicion_of(part, state, state.crashes.size(), now);
    ranked.push_back({current,
                      {.part = part,
                       .depth = state.depth,
                       .replicas = state.crashes.size(),
                       .separate = separate_crashes(state),
                       .explained = state.explained.size(),
                       .was_never_answered = current.was_never_answered,
                       .is_blocked = is_part_blocked}});
  }
  std::ranges::stable_sort(
      ranked, [](const auto& left, const auto& right) { return right.first < left.first; });
  std::vector<part_summary> result;
  result.reserve(ranked.size());
  for (const auto& [current, summary] : ranked) {
    result.push_back(summary);
  }
  return result;
}

// Parts without a block are dropped first, those with the oldest evidence before the others.
void part_quarantine::limit_parts() {
  while (m_parts.size() > m_options.max_parts) {
    const auto last_crash = [](const part_state& state) {
      return state.crashes.empty() ? base::time_point{} : state.crashes.last();
    };
    m_parts.erase(
        std::min_element(m_parts.begin(), m_parts.end(), [&](const auto& left, const auto& right) {
          return std::pair(left.second.blocked_at.has_value(), last_crash(left.second)) <
                 std::pair(right.second.blocked_at.has_value(), last_crash(right.second));
        }));
  }
}

}  // namespace fuchsiaspring::quarantine
