// What nodes tell each other about parts of prompts, and how a node takes it in.
#include <algorithm>
#include <tuple>
#include <utility>

#include "fuchsiaspring/quarantine/part_quarantine.h"

namespace fuchsiaspring::quarantine {

part_evidence part_quarantine::to_evidence(std::uint64_t part, const part_state& state,
                                           base::time_point now) const {
  part_evidence result{.part = part, .depth = state.depth, .trials = state.trials};
  for (const crash& each :
       state.crashes.summary(m_options.max_sent_crashes, m_options.min_separation)) {
    result.crashes.push_back({each.replica, now - each.at});
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
      ranked.emplace_back(is_blocked(state, now), separate_crashes(state), state.depth, part);
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
        is_blocked(state, now) ? crash_history::capacity + 1 : separate_crashes(state);
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
  crash_history later_crashes;
  for (const crash_age& each : received.crashes) {
    if (now - each.age > *answer) {
      later_crashes.add({.replica = each.replica, .at = now - each.age});
    }
  }
  const bool has_refuted_crashes = later_crashes.size() < received.crashes.size();
  return now - *received.block_age <= *answer ||
         (has_refuted_crashes && conclude(received.part, later_crashes, now) == conclusion::none);
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

void part_quarantine::contradict(const part_evidence& received, base::time_point now) {
  const bool is_taken_for_never_answered =
      received.crashes.size() >= m_options.blocking_replicas && !received.completion_age;
  const auto own = m_last_successes.find(received.part);
  if (!is_taken_for_never_answered || own == m_last_successes.end() ||
      now - own->second >= m_options.evidence_lifetime) {
    return;
  }
  clear_until(received.part, own->second, now);
  mark_own_change(m_parts[received.part]);
}

void part_quarantine::merge(std::span<const part_evidence> received, change_origin forwarding,
                            base::time_point now) {
  bool has_released = false;
  for (const part_evidence& each : received) {
    if (each.completion_age && *each.completion_age < m_options.evidence_lifetime &&
        clear_until(each.part, now - *each.completion_age, now)) {
      has_released = true;
    }
    contradict(each, now);
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

}  // namespace fuchsiaspring::quarantine
