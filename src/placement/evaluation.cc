// Cost of placing a request on a replica: queueing, prefill, the fetch of a cached prefix, and the
// delay of the streams that run there.
#include <algorithm>
#include <cmath>
#include <limits>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::long_prefill_decay_s;
using internal::min_fetched_tokens;
using internal::replica_state;
using internal::service_state;

// Spreads requests over replicas that are no engines and all have free slots.
constexpr double running_weight = 0.05;

// Weights that convert the other costs of a placement to ms of waiting.
constexpr double recompute_ms_per_token = 0.024;
constexpr double fetch_ms_per_token = 0.002;
// With a pool of long prompts: a copy beside the home fills a second KV cache, and the home may not
// have the prefix any more.
constexpr double fetch_beside_home_ms_per_token = 0.02;
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
// The delay cost that a long prompt may impose on others grows with its waiting time and is
// unlimited after `max_long_prompt_wait`, which prevents starvation.
constexpr double initial_accepted_delay_ms = 130;
constexpr double accepted_delay_per_waited_ms = 1;
constexpr base::duration max_long_prompt_wait = std::chrono::milliseconds(250);

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
  if (locations.is_home(state) && candidate.cached_tokens < locations.tokens_at_home) {
    candidate.cached_tokens = locations.tokens_at_home;
    // The fetch costs nothing when the replica already has the prefix. The next replica in the
    // order may have been the first until this one joined the pool.
    const replica_state* other = locations.ranked[locations.ranked[0] == &state ? 1 : 0];
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
  const double fetch_cost =
      has_prompt_pool(*state.service) ? fetch_beside_home_ms_per_token : fetch_ms_per_token;
  return cost + shared * recompute_ms_per_token + candidate.fetched_tokens * fetch_cost;
}

}  // namespace fuchsiaspring::placement
