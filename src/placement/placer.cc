#include "fuchsiaspring/placement/placer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "fuchsiaspring/base/hash.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::candidate;
using internal::replica_state;
using internal::service_state;
using std::chrono::milliseconds;

// Number of cached parts of a replica above which the older entries are removed.
constexpr std::size_t max_cached_parts = 1024;
// A request with a long prompt is not placed behind more pending tokens than one prefill chunk.
constexpr std::uint32_t max_tokens_ahead_of_long_prompt = 1024;
// No engine request is placed behind more pending tokens than this; it waits at the node, where
// requests can still be reordered.
constexpr std::uint32_t max_tokens_ahead = 8192;
// Requests per slot of a replica that is not an engine. The excess keeps a slot busy until the node
// is notified that it is free.
constexpr double max_requests_per_slot = 1.34;

// Candidates within this factor of the lowest cost count as equal; the least recently used one is
// chosen, so that the speed of every replica is measured.
constexpr double equal_cost_factor = 1.1;

const candidate& least_recently_used_of_cheapest(const std::vector<candidate>& candidates) {
  double lowest = std::numeric_limits<double>::infinity();
  for (const candidate& each : candidates) {
    lowest = std::min(lowest, each.cost);
  }
  const candidate* chosen = nullptr;
  for (const candidate& each : candidates) {
    if (each.cost > lowest * equal_cost_factor) {
      continue;
    }
    if (chosen == nullptr || each.state->dispatched_at < chosen->state->dispatched_at) {
      chosen = &each;
    }
  }
  return *chosen;
}

replica_start start_of(const replica& entry) {
  return {entry.id, entry.started_at_ms};
}

}  // namespace

placer::placer(placer_config config) : m_config(std::move(config)), m_vms{m_config.vm} {}
placer::~placer() = default;
placer::placer(placer&&) noexcept = default;
placer& placer::operator=(placer&&) noexcept = default;

void placer::set_remote_load(const std::string& vm, std::span<const remote_load> loads) {
  std::vector<remote_load>& stored = m_remote_loads[vm];
  apply_remote_load(stored, change::removed);
  stored.assign(loads.begin(), loads.end());
  apply_remote_load(stored, change::added);
  if (stored.empty()) {
    m_remote_loads.erase(vm);
  }
}

void placer::apply_remote_load(std::span<const remote_load> loads, change direction) {
  for (const remote_load& each : loads) {
    const auto found = m_by_hash.find(each.replica_hash);
    if (found == m_by_hash.end()) {
      continue;
    }
    replica_state& state = *found->second;
    if (direction == change::added) {
      state.remote_running += each.running;
      state.remote_prefill_tokens += each.prefill_tokens;
      state.remote_gap_sensitivity += each.gap_sensitivity;
      continue;
    }
    state.remote_running -= std::min(state.remote_running, each.running);
    state.remote_prefill_tokens -= std::min(state.remote_prefill_tokens, each.prefill_tokens);
    state.remote_gap_sensitivity =
        std::max(0.0, state.remote_gap_sensitivity - each.gap_sensitivity);
  }
}

void placer::on_remote_prefix(std::uint32_t replica_hash, std::span<const std::uint64_t> parts,
                              base::time_point now) {
  const auto found = m_by_hash.find(replica_hash);
  if (found == m_by_hash.end()) {
    return;
  }
  internal::count_long_prefill(*found->second, now);
  if (found->second->service != nullptr && !parts.empty()) {
    found->second->service->prefixes.record(parts.back(), now);
  }
  for (const std::uint64_t part : parts) {
    found->second->cached[part] = now;
  }
}

bool placer::has_region(const base::region_limit& limit) const {
  const auto& regions = m_config.region_of_domain;
  return limit.is_any() || std::any_of(regions.begin(), regions.end(), [&](const auto& item) {
           return limit.permits(item.second);
         });
}

bool placer::is_in_region(const replica_state& state, const base::region_limit& limit) const {
  if (limit.is_any()) {
    return true;
  }
  const auto region = m_config.region_of_domain.find(state.entry.failure_domain);
  return region != m_config.region_of_domain.end() && limit.permits(region->second);
}

bool placer::is_in_service(const replica_state& state, const request_profile& request) const {
  if (!state.is_listed || state.is_evacuated || state.entry.is_draining) {
    return false;
  }
  if (std::find(request.excluded.begin(), request.excluded.end(), state.entry.id) !=
      request.excluded.end()) {
    return false;
  }
  return is_in_region(state, request.home_regions);
}

notice_effect placer::effect_of_notices(const replica_state& state, base::time_point now) const {
  return m_notices.effect(start_of(state.entry), now);
}

bool placer::is_permitted(const replica_state& state, const request_profile& request,
                          notice_effect effect, base::time_point now) const {
  return is_in_service(state, request) && now >= state.down_until && now >= state.ejected_until &&
         effect_of_notices(state, now) == effect;
}

bool placer::has_room(const replica_state& state, const service_state& service,
                      const request_profile& request, const prefix_locations& locations) const {
  if (state.entry.slots == 0) {
    return true;
  }
  if (!service.profile.is_engine) {
    return state.all_running() < max_requests_per_slot * state.entry.slots;
  }
  // Waiting at the home of its prefix is shorter than prefilling the prefix elsewhere.
  const bool waits_at_home = has_prompt_pool(service) && locations.is_home(state);
  const std::uint32_t bound =
      request.is_long_prompt && !waits_at_home ? max_tokens_ahead_of_long_prompt : max_tokens_ahead;
  return state.all_running() < state.entry.slots && state.all_prefill_tokens() <= bound;
}

bool placer::cold_rate_allows(replica_state& state, const service_state& service,
                              base::time_point now) const {
  if (service.profile.cold_requests_per_s <= 0 || now >= state.cold_until) {
    return true;
  }
  if (now < m_cold_hold_until) {
    return false;
  }
  internal::cold_bucket& bucket = state.cold;
  const double elapsed = base::to_seconds(now - bucket.filled_at);
  bucket.level = std::min(1.0, bucket.level + std::max(0.0, elapsed) * bucket.rate);
  bucket.filled_at = now;
  return bucket.level >= 1;
}

decision placer::choose(const request_profile& request, base::time_point now) {
  const auto service = m_services.find(request.service);
  if (service == m_services.end() || !service->second->is_configured) {
    return no_choice_reason::unknown_service;
  }
  const service_state& target = *service->second;
  if (m_view == fleet_view::own_domain) {
    assume_remote_load(target);
  }
  if (has_prompt_pool(target)) {
    update_prompt_pool(*service->second, now);
  }
  std::vector<candidate> candidates;
  bool is_any_permitted = add_candidates(target, request, notice_effect::none, now, candidates);
  if (!is_any_permitted) {
    is_any_permitted = add_candidates(target, request, notice_effect::leaving, now, candidates);
  }
  if (candidates.empty()) {
    return is_any_permitted ? no_choice_reason::all_busy : no_choice_reason::no_replica;
  }
  const candidate& best = m_config.choice_strategy == strategy::round_robin
                              ? candidates[m_round_robin++ % candidates.size()]
                              : least_recently_used_of_cheapest(candidates);
  if (now < best.state->cold_until) {
    best.state->cold.level -= 1;
  }
  return best.evaluated;
}

bool placer::add_candidates(const service_state& service, const request_profile& request,
                            notice_effect effect, base::time_point now,
                            std::vector<candidate>& candidates) {
  const prefix_locations locations = locate_prefix(service, request, now);
  bool is_any_permitted = false;
  for (const std::string& id : service.replica_ids) {
    replica_state& state = *m_replicas.find(id)->second;
    if (!is_permitted(state, request, effect, now)) {
      continue;
    }
    is_any_permitted = true;
    if (m_config.choice_strategy == strategy::prefix &&
        !has_room(state, service, request, locations)) {
      continue;
    }
    if (!cold_rate_allows(state, service, now)) {
      continue;
    }
    choice evaluated = evaluate(state, service, request, locations, now);
    // The streams that a long prompt meets in its own pool are there because the rest was full.
    const bool is_exempt = request.is_long_prompt && has_prompt_pool(service) &&
                           !is_in_other_pool(state, service, request);
    const double delay = is_exempt ? 0 : delay_ms(state, request, evaluated, now);
    if (m_config.choice_strategy == strategy::prefix && delay > max_accepted_delay_ms(request)) {
      continue;
    }
    const double cost = cost_ms(state, request, evaluated) + delay +
                        pool_cost_ms(state, service, request, locations);
    candidates.push_back({&state, std::move(evaluated), cost});
  }
  return is_any_permitted;
}

void placer::assume_remote_load(const service_state& service) {
  std::uint32_t running = 0;
  std::uint32_t prefill_tokens = 0;
  std::uint32_t own_domain_count = 0;
  for (const std::string& id : service.replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    if (state.entry.failure_domain == m_config.failure_domain) {
      running += state.running + state.remote_running;
      prefill_tokens += state.prefill_tokens + state.remote_prefill_tokens;
      ++own_domain_count;
    }
  }
  for (const std::string& id : service.replica_ids) {
    replica_state& state = *m_replicas.find(id)->second;
    const bool is_known =
        own_domain_count == 0 || state.entry.failure_domain == m_config.failure_domain;
    state.assumed_running = is_known ? 0 : running / own_domain_count;
    state.assumed_prefill_tokens = is_known ? 0 : prefill_tokens / own_domain_count;
  }
}

bool placer::is_eligible(std::string_view replica_id, const request_profile& request,
                         base::time_point now) const {
  const replica_state* state = find(replica_id);
  if (state == nullptr || !state->is_listed || state->is_evacuated || state->entry.is_draining ||
      !is_in_region(*state, request.home_regions)) {
    return false;
  }
  const notice_effect effect = effect_of_notices(*state, now);
  if (effect != notice_effect::leaving) {
    return effect == notice_effect::none;
  }
  const std::vector<std::string>& ids = state->service->replica_ids;
  return std::none_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return is_permitted(*m_replicas.find(id)->second, request, notice_effect::none, now);
  });
}

std::optional<service_pause> placer::find_pause(const request_profile& request,
                                                base::time_point now) const {
  const auto service = m_services.find(request.service);
  if (service == m_services.end()) {
    return std::nullopt;
  }
  std::optional<service_pause> pause;
  for (const std::string& id : service->second->replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    if (!is_in_service(state, request)) {
      continue;
    }
    const notice_effect effect = effect_of_notices(state, now);
    if (effect == notice_effect::none || effect == notice_effect::leaving) {
      return std::nullopt;
    }
    if (!pause) {
      pause.emplace();
    }
    if (effect == notice_effect::held) {
      const base::time_point end = m_notices.hold_end(start_of(state.entry));
      pause->ends_at = std::min(pause->ends_at.value_or(end), end);
    }
  }
  return pause;
}

std::map<std::string, service_pause, std::less<>> placer::service_pauses(
    base::time_point now) const {
  std::map<std::string, service_pause, std::less<>> pauses;
  if (m_notices.size() == 0) {
    return pauses;
  }
  for (const auto& [name, service] : m_services) {
    if (const auto pause = find_pause({.service = name}, now)) {
      pauses.emplace(name, *pause);
    }
  }
  return pauses;
}

std::uint64_t placer::started_at_ms(std::string_view replica_id) const {
  const replica_state* state = find(replica_id);
  return state == nullptr ? 0 : state->entry.started_at_ms;
}

void placer::on_dispatch(std::string_view replica_id, const request_profile& request,
                         const choice& chosen, base::time_point now) {
  replica_state* state = find(replica_id);
  if (state == nullptr) {
    return;
  }
  ++state->running;
  state->dispatched_at = now;
  state->prefill_tokens += chosen.prefill_tokens;
  state->gap_sensitivity += chosen.gap_sensitivity;
  if (request.is_long_prompt) {
    internal::count_long_prefill(*state, now);
  }
  if (state->service != nullptr && request.is_long_prompt && request.prompt.size() > 1) {
    state->service->prefixes.record(request.prompt[request.prompt.size() - 2].id, now);
  }
  if (state->service != nullptr) {
    observe_dispatch(*state->service, request, chosen);
  }
  if (state->service == nullptr || !state->service->profile.is_engine) {
    return;
  }
  for (const prefix_part& part : request.prompt) {
    state->cached[part.id] = now;
  }
  if (state->cached.size() > max_cached_parts) {
    std::erase_if(state->cached,
                  [&](const auto& item) { return now - item.second > m_config.prefix_reuse / 2; });
  }
}

std::vector<remote_load> placer::own_load() const {
  std::vector<remote_load> loads;
  for (const auto& [id, state] : m_replicas) {
    if (state->running == 0 && state->prefill_tokens == 0) {
      continue;
    }
    loads.push_back(
        {hash_replica_id(id), state->running, state->prefill_tokens, state->gap_sensitivity});
  }
  return loads;
}

std::vector<replica_status> placer::status(base::time_point now) const {
  std::vector<replica_status> list;
  for (const auto& [id, state] : m_replicas) {
    if (!state->is_listed) {
      continue;
    }
    list.push_back({id, state->entry.service, state->running, state->remote_running,
                    state->all_prefill_tokens(), state->entry.is_draining, now < state->cold_until,
                    now < state->ejected_until || now < state->down_until,
                    speed_factor(*state, now), m_notices.is_leaving(start_of(state->entry)),
                    std::max<base::duration>(m_notices.hold_end(start_of(state->entry)) - now,
                                             base::duration{})});
  }
  return list;
}

double placer::slot_utilization(std::string_view service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end() || found->second->replica_ids.empty()) {
    return 1;
  }
  double running = 0;
  double slots = 0;
  for (const std::string& id : found->second->replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    running += state.all_running();
    slots += state.entry.slots;
  }
  return slots == 0 ? 1 : running / slots;
}

replica_state* placer::find(std::string_view replica_id) {
  const auto found = m_replicas.find(replica_id);
  return found == m_replicas.end() ? nullptr : found->second.get();
}

const replica_state* placer::find(std::string_view replica_id) const {
  const auto found = m_replicas.find(replica_id);
  return found == m_replicas.end() ? nullptr : found->second.get();
}

}  // namespace fuchsiaspring::placement
