#include <algorithm>

#include "routing/router_state.h"

namespace fuchsiaspring::routing::internal {
namespace {

// Loads and scores are shares of an upstream's present capacity.

// A nearer domain is used up to this load before a farther one is considered.
constexpr double spill_over_load = 0.8;
// Added for each domain on the way to a farther one.
constexpr double rank_penalty = 0.1;
// Bonus at full confidence that the upstream holds the prefix. A saved prefill is worth less than a
// third of an upstream's capacity; a larger bonus would create hot spots.
constexpr double affinity_bonus = 0.3;
// Bonus of the upstream that all VMs prefer for a prefix without a known holder.
constexpr double home_bonus = 0.1;

// The finalizer of SplitMix64, for a rendezvous score of two hashes.
std::uint64_t mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

bool contains(std::span<const std::string> names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

}  // namespace

const pool_state* router_state::find_pool(std::string_view name) const {
  const auto found = m_pool_index.find(name);
  return found == m_pool_index.end() ? nullptr : &m_pools[found->second];
}

// Excluded and ejected upstreams are used when nothing else is in service: a retry goes to the same
// upstream only if it is the only one, and ejections never leave a pool without upstreams.
router_state::filter router_state::make_filter(const pool_state& pool, const pick_request& request,
                                               base::time_point now) {
  filter restrictions{.excluded = request.excluded};
  std::size_t in_service = 0;
  std::size_t healthy = 0;
  for (const member& each : pool.members) {
    if (!each.in_service()) {
      continue;
    }
    ++in_service;
    if (!each.outlier.ejected(now) && !contains(request.excluded, each.name)) {
      ++healthy;
    }
  }
  restrictions.allow_excluded = in_service == 1;
  restrictions.allow_ejected = healthy == 0;
  return restrictions;
}

bool router_state::is_eligible(const member& candidate, const filter& restrictions,
                               base::time_point now) {
  if (!candidate.has_slot() || !candidate.in_service()) {
    return false;
  }
  if (!restrictions.allow_ejected && candidate.outlier.ejected(now)) {
    return false;
  }
  return restrictions.allow_excluded || restrictions.excluded.empty() ||
         !contains(restrictions.excluded, candidate.name);
}

refusal_reason router_state::refusal_for(const pool_state& pool, const filter& restrictions) {
  bool any_domain_out = false;
  bool any_other_out = false;
  for (const member& each : pool.members) {
    if (each.domain_out && !each.marked_out && !each.leaving_at) {
      any_domain_out = true;
      continue;
    }
    if (!each.in_service()) {
      any_other_out = true;
      continue;
    }
    const bool excluded =
        !restrictions.allow_excluded && contains(restrictions.excluded, each.name);
    if (!excluded) {
      return refusal_reason::upstreams_busy;
    }
    any_other_out = true;
  }
  return any_domain_out && !any_other_out ? refusal_reason::domain_out_of_service
                                          : refusal_reason::no_upstream;
}

void router_state::collect_candidates(const pool_state& pool, const filter& restrictions,
                                      base::time_point now) {
  m_candidates.clear();
  for (std::size_t index = 0; index < pool.members.size(); ++index) {
    if (is_eligible(pool.members[index], restrictions, now)) {
      m_candidates.push_back(index);
    }
  }
}

double router_state::score(const member& candidate, base::time_point now) {
  return candidate.load(now) + candidate.outlier.load_penalty(now) + rank_penalty * candidate.rank;
}

router_state::scored_candidate router_state::two_choices(const pool_state& pool,
                                                         std::span<const std::size_t> candidates,
                                                         base::time_point now,
                                                         base::random_source& random) const {
  const std::size_t first = candidates[random.uniform_below(candidates.size())];
  scored_candidate best{.index = first, .score = score(pool.members[first], now)};
  if (candidates.size() == 1) {
    return best;
  }
  std::size_t second = candidates[random.uniform_below(candidates.size() - 1)];
  if (second == first) {
    second = candidates.back();
  }
  const double other_score = score(pool.members[second], now);
  return other_score < best.score ? scored_candidate{.index = second, .score = other_score} : best;
}

router_state::scored_candidate router_state::nearest_choice(const pool_state& pool,
                                                            base::time_point now,
                                                            base::random_source& random) const {
  const std::span<const std::size_t> all(m_candidates);
  std::optional<scored_candidate> best;
  for (std::size_t begin = 0; begin < all.size();) {
    const std::uint32_t rank = pool.members[all[begin]].rank;
    std::size_t end = begin + 1;
    while (end < all.size() && pool.members[all[end]].rank == rank) {
      ++end;
    }
    const scored_candidate found = two_choices(pool, all.subspan(begin, end - begin), now, random);
    if (!best || found.score < best->score) {
      best = found;
    }
    if (found.score - rank_penalty * rank < spill_over_load) {
      break;
    }
    begin = end;
  }
  return *best;
}

router_state::scored_candidate router_state::with_affinity(const pool_state& pool,
                                                           scored_candidate best,
                                                           std::uint64_t prefix,
                                                           base::time_point now) const {
  const auto consider = [&](std::size_t index, double bonus) {
    const double other_score = score(pool.members[index], now) - bonus;
    if (index == best.index || other_score < best.score) {
      best = {.index = index, .score = other_score, .affinity = true};
    }
  };
  bool has_holder = false;
  for (const affinity_table::holder& holder : pool.affinity.find(prefix, now)) {
    if (holder.confidence > 0.0 &&
        std::ranges::find(m_candidates, holder.member) != m_candidates.end()) {
      consider(holder.member, affinity_bonus * holder.confidence);
      has_holder = true;
    }
  }
  if (!has_holder) {
    const std::size_t home = *std::ranges::max_element(m_candidates, {}, [&](std::size_t index) {
      return mix(prefix ^ pool.members[index].seed);
    });
    consider(home, home_bonus);
  }
  return best;
}

pick_result router_state::pick(const pick_request& request, base::time_point now,
                               base::random_source& random) {
  const pool_state* pool = find_pool(request.pool);
  if (pool == nullptr) {
    return refusal_reason::unknown_pool;
  }
  const filter restrictions = make_filter(*pool, request, now);
  collect_candidates(*pool, restrictions, now);
  if (m_candidates.empty()) {
    return refusal_for(*pool, restrictions);
  }
  scored_candidate best = nearest_choice(*pool, now, random);
  if (request.prefix_hash != 0) {
    best = with_affinity(*pool, best, request.prefix_hash, now);
  }
  const member& chosen = pool->members[best.index];
  const auto nearest = std::ranges::find_if(pool->members, &member::in_service);
  return choice{.upstream = chosen.name,
                .affinity = best.affinity,
                .spill_over = nearest != pool->members.end() && chosen.rank > nearest->rank};
}

std::optional<refusal_reason> router_state::check_capacity(const pick_request& request,
                                                           base::time_point now) const {
  const pool_state* pool = find_pool(request.pool);
  if (pool == nullptr) {
    return refusal_reason::unknown_pool;
  }
  const filter restrictions = make_filter(*pool, request, now);
  const bool has_eligible = std::ranges::any_of(
      pool->members, [&](const member& each) { return is_eligible(each, restrictions, now); });
  return has_eligible ? std::nullopt : std::optional(refusal_for(*pool, restrictions));
}

std::uint32_t router_state::free_slots(std::string_view pool, base::time_point now) const {
  const pool_state* found = find_pool(pool);
  if (found == nullptr) {
    return 0;
  }
  const filter restrictions = make_filter(*found, {.pool = pool}, now);
  std::uint32_t total = 0;
  for (const member& each : found->members) {
    if (is_eligible(each, restrictions, now)) {
      total += each.bound() - each.in_flight;
    }
  }
  return total;
}

}  // namespace fuchsiaspring::routing::internal
