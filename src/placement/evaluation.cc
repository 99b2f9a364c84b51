// Cost of placing a request on a replica: queueing, prefill, the fetch of a cached prefix, and the
// delay of the streams that run there.
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::replica_state;
using internal::service_state;

// Spreads requests over replicas that are no engines and all have free slots.
constexpr double running_weight = 0.05;

// Weights that convert the other costs of a placement to ms of waiting.
constexpr double recompute_ms_per_token = 0.024;
constexpr double fetch_ms_per_token = 0.002;
constexpr double other_domain_ms_per_kb = 0.7;

// Share of missed gap targets below which streams are not separated from long prompts, and the
// factor from a larger share to the weight of the separation.
constexpr double tolerated_missed_share = 0.15;
constexpr double full_separation_factor = 1.5;
// Cost of one stream that misses its gap target, in ms of waiting of the prompt that causes it.
constexpr double missed_gap_cost_ms = 60;
// Cost of placing a stream where its own gap target is missed.
constexpr double own_missed_gap_cost_ms = 300;
// Typical duration of a stream.
constexpr double typical_stream_s = 1.8;
// Time constant of the decaying count of long prompts.
constexpr double long_prefill_decay_s = 2;
// The delay cost that a long prompt may impose on others grows with its waiting time and is
// unlimited after `max_long_prompt_wait`, which prevents starvation.
constexpr double initial_accepted_delay_ms = 130;
constexpr double accepted_delay_per_waited_ms = 1;
constexpr base::duration max_long_prompt_wait = std::chrono::milliseconds(250);

// Prefixes shorter than this are computed rather than fetched, and have no home replica.
constexpr std::uint32_t min_fetched_tokens = 512;
// Share of a prefix that its home replicas are expected to have cached: the first request with the
// prefix finds none, and other prompts evict it.
constexpr double expected_share_at_home = 0.75;
// Latency before the transfer of a fetch begins.
constexpr double fetch_start_ms = 5;
// Transfers between failure domains take longer than inside one.
constexpr double other_domain_fetch_factor = 2;

double fetch_ms(const service_profile& profile, std::uint32_t tokens, bool is_other_domain) {
  constexpr double bits_per_byte = 8;
  const double bits = tokens * profile.kv_bytes_per_token * bits_per_byte;
  const double ms = bits / (profile.link_mbps * 1000);
  return fetch_start_ms + ms * (is_other_domain ? other_domain_fetch_factor : 1);
}

}  // namespace

std::uint32_t placer::cached_tokens(const replica_state& state, const request_profile& request,
                                    base::time_point now) const {
  std::uint32_t tokens = 0;
  for (const prefix_part& part : request.prompt) {
    const auto found = state.cached.find(part.id);
    if (found == state.cached.end() || now - found->second > m_config.prefix_reuse) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

double internal::recent_long_prefills(const replica_state& state, base::time_point now) {
  const double age = std::max(0.0, base::to_seconds(now - state.long_prefills_at));
  return state.long_prefills * std::exp(-age / long_prefill_decay_s);
}

void internal::count_long_prefill(replica_state& state, base::time_point now) {
  state.long_prefills = recent_long_prefills(state, now) + 1;
  state.long_prefills_at = now;
}

double placer::gap_sensitivity(const service_state& service, const request_profile& request) {
  if (!service.profile.is_engine || request.event_gap_target.count() == 0) {
    return 0;
  }
  const auto found = service.gaps.find(request.event_gap_target);
  const double missed_target_share = found == service.gaps.end()
                                         ? internal::gap_statistics{}.missed_share
                                         : found->second.missed_share;
  return missed_target_share < tolerated_missed_share
             ? 0
             : std::min(1.0, missed_target_share * full_separation_factor);
}

double placer::delay_ms(const replica_state& state, const request_profile& request,
                        const choice& candidate, base::time_point now) {
  double delay = 0;
  if (request.is_long_prompt) {
    delay += missed_gap_cost_ms * state.all_gap_sensitivity();
  }
  if (candidate.gap_sensitivity > 0) {
    const double expected_long_prefills =
        internal::recent_long_prefills(state, now) / long_prefill_decay_s * typical_stream_s;
    delay += candidate.gap_sensitivity * own_missed_gap_cost_ms *
             (1 - std::exp(-expected_long_prefills));
  }
  return delay;
}

double placer::max_accepted_delay_ms(const request_profile& request) {
  if (!request.is_long_prompt || request.waited >= max_long_prompt_wait) {
    return std::numeric_limits<double>::infinity();
  }
  return initial_accepted_delay_ms +
         accepted_delay_per_waited_ms * 1000 * base::to_seconds(request.waited);
}

void placer::find_homes(const service_state& service, const request_profile& request,
                        base::time_point now, prefix_locations& locations) const {
  // The last part is unique to the request; the one before it identifies the shared prefix.
  if (m_view == fleet_view::full || request.prompt.size() < 2) {
    return;
  }
  const std::uint32_t shared =
      request.prompt_tokens - std::min(request.prompt_tokens, request.prompt.back().tokens);
  if (shared < min_fetched_tokens) {
    return;
  }
  const std::uint64_t prefix_id = request.prompt[request.prompt.size() - 2].id;
  std::array<std::uint64_t, 2> scores{};
  for (const std::string& id : service.replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    const bool is_known =
        m_view == fleet_view::load_only || state.entry.failure_domain == m_config.failure_domain;
    if (!is_known || now < state.cold_until ||
        !is_permitted(state, request, notice_effect::none, now)) {
      continue;
    }
    const std::uint64_t score = base::hash64(id, prefix_id);
    if (score > scores[0]) {
      scores = {score, scores[0]};
      locations.homes = {&state, locations.homes[0]};
    } else if (score > scores[1]) {
      scores[1] = score;
      locations.homes[1] = &state;
    }
  }
  locations.tokens_at_home = static_cast<std::uint32_t>(expected_share_at_home * shared);
}

placer::prefix_locations placer::locate_prefix(const service_state& service,
                                               const request_profile& request,
                                               base::time_point now) const {
  prefix_locations locations;
  find_homes(service, request, now, locations);
  if (!service.profile.can_fetch || service.profile.link_mbps <= 0) {
    return locations;
  }
  prefix_holder& holder = locations.holder;
  for (const std::string& id : service.replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    if (now < state.down_until) {
      continue;
    }
    const std::uint32_t tokens = cached_tokens(state, request, now);
    const bool is_nearer = holder.state != nullptr && tokens == holder.tokens &&
                           state.entry.failure_domain == m_config.failure_domain;
    if (tokens > holder.tokens || is_nearer) {
      holder = {&state, tokens};
    }
  }
  if (locations.homes[0] != nullptr && locations.tokens_at_home > holder.tokens) {
    holder = {locations.homes[0], locations.tokens_at_home};
  }
  return locations;
}

choice placer::evaluate(const replica_state& state, const service_state& service,
                        const request_profile& request, const prefix_locations& locations,
                        base::time_point now) const {
  choice candidate{.replica_id = state.entry.id,
                   .started_at_ms = state.entry.started_at_ms,
                   .address = state.entry.address};
  const double learned_factor = apply_factors(state, candidate, now);
  if (!service.profile.is_engine) {
    // Each request above the slots adds one expected first-token time.
    const double excess_requests = std::max(
        0.0, static_cast<double>(state.all_running()) + 1 - static_cast<double>(state.entry.slots));
    candidate.expected_wait =
        base::from_seconds(service.first_token.expect(0) * learned_factor *
                           (1 + excess_requests + running_weight * state.all_running()) / 1000);
    return candidate;
  }
  candidate.gap_sensitivity = gap_sensitivity(service, request);
  candidate.is_long_prompt = request.is_long_prompt;
  candidate.cached_tokens = cached_tokens(state, request, now);
  const bool is_home = locations.homes[0] == &state || locations.homes[1] == &state;
  if (is_home && candidate.cached_tokens < locations.tokens_at_home) {
    candidate.cached_tokens = locations.tokens_at_home;
    // The fetch costs nothing when the replica already has the prefix.
    const replica_state* other = locations.homes[locations.homes[0] == &state ? 1 : 0];
    if (other != nullptr && service.profile.can_fetch) {
      candidate.fetch_from = other->entry.address;
    }
  }
  const prefix_holder& holder = locations.holder;
  double fetching_ms = 0;
  if (holder.state != nullptr && holder.state != &state &&
      holder.tokens >= candidate.cached_tokens + min_fetched_tokens) {
    candidate.fetch_from = holder.state->entry.address;
    candidate.fetched_tokens = holder.tokens - candidate.cached_tokens;
    fetching_ms = fetch_ms(service.profile, candidate.fetched_tokens,
                           holder.state->entry.failure_domain != state.entry.failure_domain);
  }
  candidate.prefill_tokens =
      request.prompt_tokens -
      std::min(request.prompt_tokens, candidate.cached_tokens + candidate.fetched_tokens);
  candidate.expected_wait = base::from_seconds(
      (service.first_token.expect(candidate.prefill_tokens + state.all_prefill_tokens()) +
       fetching_ms) *
      learned_factor / 1000);
  return candidate;
}

double placer::cost_ms(const replica_state& state, const request_profile& request,
                       const choice& candidate) const {
  double cost = 1000 * base::to_seconds(candidate.expected_wait);
  if (state.entry.failure_domain != m_config.failure_domain) {
    cost += 1 + other_domain_ms_per_kb * request.body_bytes / 1024.0;
  }
  if (!state.service->profile.is_engine) {
    return cost;
  }
  const std::uint32_t own_tokens = request.prompt.empty() ? 0 : request.prompt.back().tokens;
  const std::uint32_t shared =
      candidate.prefill_tokens - std::min(candidate.prefill_tokens, own_tokens);
  return cost + shared * recompute_ms_per_token + candidate.fetched_tokens * fetch_ms_per_token;
}

}  // namespace fuchsiaspring::placement
