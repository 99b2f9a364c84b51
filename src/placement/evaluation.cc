// What it costs to place a request on a replica: waiting, reading, fetching, and the delay of the
// streams that run there.
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

// Spreads requests of plain services over replicas that all have free slots.
constexpr double running_weight = 0.05;

// Weights that make one cost in ms of waiting out of what a placement costs beside waiting.
constexpr double reread_ms_per_token = 0.024;
constexpr double fetch_ms_per_token = 0.002;
constexpr double other_domain_ms_per_kb = 0.7;

// Share of missed gap targets up to which streams are not kept apart from long prompts, and the
// factor that makes the share of missed targets the weight of the separation.
constexpr double tolerated_missed_share = 0.15;
constexpr double full_separation_factor = 1.5;
// What one stream that misses its gap target costs, against the wait of the prompt that caused it.
constexpr double broken_gap_ms = 60;
// What it costs a stream to run where its gap target is missed.
constexpr double own_broken_gap_ms = 300;
// How long a stream usually runs beside others.
constexpr double usual_stream_s = 1.8;
// Time after which a long prompt counts little for the rate at which a replica gets them.
constexpr double long_read_memory_s = 2;
// A prompt that waits accepts more and more delay of others, so that it does not starve.
constexpr double accepted_delay_at_once_ms = 130;
constexpr double accepted_delay_per_waited_ms = 1;
constexpr base::duration longest_yield = std::chrono::milliseconds(250);

// Prefixes shorter than this are read rather than fetched, and have no home replica.
constexpr std::uint32_t min_fetched_tokens = 512;
// Part of a subject's prefix that its home replicas are expected to have: the first request of a
// subject finds none, and other prompts displace it.
constexpr double expected_at_home = 0.75;
// Time until a fetch begins.
constexpr double fetch_start_ms = 5;
// Moves between failure domains take longer than inside one.
constexpr double other_domain_fetch_factor = 2;

double fetch_ms(const service_profile& profile, std::uint32_t tokens, bool is_other_domain) {
  constexpr double bits_per_byte = 8;
  const double bits = tokens * profile.kv_bytes_per_token * bits_per_byte;
  const double ms = bits / (profile.link_mbps * 1000);
  return fetch_start_ms + ms * (is_other_domain ? other_domain_fetch_factor : 1);
}

}  // namespace

std::uint32_t placer::cached_tokens(const replica_state& state, const work& request,
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

double internal::recent_long_reads(const replica_state& state, base::time_point now) {
  const double age = std::max(0.0, base::to_seconds(now - state.long_reads_at));
  return state.long_reads * std::exp(-age / long_read_memory_s);
}

void internal::count_long_read(replica_state& state, base::time_point now) {
  state.long_reads = recent_long_reads(state, now) + 1;
  state.long_reads_at = now;
}

double placer::gap_sensitivity(const service_state& service, const work& request) {
  if (!service.profile.is_engine || request.event_gap_target.count() == 0) {
    return 0;
  }
  const auto found = service.gaps.find(request.event_gap_target);
  const double missed = found == service.gaps.end() ? internal::gap_record{}.missed_share
                                                    : found->second.missed_share;
  return missed < tolerated_missed_share ? 0 : std::min(1.0, missed * full_separation_factor);
}

double placer::delay_ms(const replica_state& state, const work& request, const choice& candidate,
                        base::time_point now) {
  double delay = 0;
  if (request.yields) {
    delay += broken_gap_ms * state.all_gap_sensitivity();
  }
  if (candidate.gap_sensitivity > 0) {
    const double expected_reads =
        internal::recent_long_reads(state, now) / long_read_memory_s * usual_stream_s;
    delay += candidate.gap_sensitivity * own_broken_gap_ms * (1 - std::exp(-expected_reads));
  }
  return delay;
}

double placer::accepted_delay_ms(const work& request) {
  if (!request.yields || request.waited >= longest_yield) {
    return std::numeric_limits<double>::infinity();
  }
  return accepted_delay_at_once_ms +
         accepted_delay_per_waited_ms * 1000 * base::to_seconds(request.waited);
}

void placer::find_homes(const service_state& service, const work& request, base::time_point now,
                        prefix_places& places) const {
  // The last part is of this request only, the one before it is its subject.
  if (m_view == fleet_view::full || request.prompt.size() < 2) {
    return;
  }
  const std::uint32_t shared =
      request.prompt_tokens - std::min(request.prompt_tokens, request.prompt.back().tokens);
  if (shared < min_fetched_tokens) {
    return;
  }
  const std::uint64_t subject = request.prompt[request.prompt.size() - 2].id;
  std::array<std::uint64_t, 2> scores{};
  for (const std::string& id : service.replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    const bool is_known =
        m_view == fleet_view::work_only || state.entry.failure_domain == m_config.failure_domain;
    if (!is_known || now < state.cold_until || !is_permitted(state, request, now)) {
      continue;
    }
    const std::uint64_t score = base::hash64(id, subject);
    if (score > scores[0]) {
      scores = {score, scores[0]};
      places.homes = {&state, places.homes[0]};
    } else if (score > scores[1]) {
      scores[1] = score;
      places.homes[1] = &state;
    }
  }
  places.tokens_at_home = static_cast<std::uint32_t>(expected_at_home * shared);
}

placer::prefix_places placer::find_places(const service_state& service, const work& request,
                                          base::time_point now) const {
  prefix_places places;
  find_homes(service, request, now, places);
  if (!service.profile.can_fetch || service.profile.link_mbps <= 0) {
    return places;
  }
  prefix_holder& holder = places.holder;
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
  if (places.homes[0] != nullptr && places.tokens_at_home > holder.tokens) {
    holder = {places.homes[0], places.tokens_at_home};
  }
  return places;
}

choice placer::evaluate(const replica_state& state, const service_state& service,
                        const work& request, const prefix_places& places,
                        base::time_point now) const {
  choice candidate{.replica_id = state.entry.id, .address = state.entry.address};
  const double slowness = slowness_now(state, now);
  if (!service.profile.is_engine) {
    // Requests beyond the slots wait for a share of the running ones.
    const double queued = std::max(
        0.0, static_cast<double>(state.all_running()) + 1 - static_cast<double>(state.entry.slots));
    candidate.expected_wait =
        base::from_seconds(service.first_token.expect(0) * slowness *
                           (1 + queued + running_weight * state.all_running()) / 1000);
    return candidate;
  }
  candidate.gap_sensitivity = gap_sensitivity(service, request);
  candidate.is_long_prompt = request.yields;
  candidate.cached_tokens = cached_tokens(state, request, now);
  const bool is_home = places.homes[0] == &state || places.homes[1] == &state;
  if (is_home && candidate.cached_tokens < places.tokens_at_home) {
    candidate.cached_tokens = places.tokens_at_home;
    // Costs nothing when the replica has the prefix itself.
    const replica_state* other = places.homes[places.homes[0] == &state ? 1 : 0];
    if (other != nullptr && service.profile.can_fetch) {
      candidate.fetch_from = other->entry.address;
    }
  }
  const prefix_holder& holder = places.holder;
  double fetching_ms = 0;
  if (holder.state != nullptr && holder.state != &state &&
      holder.tokens >= candidate.cached_tokens + min_fetched_tokens) {
    candidate.fetch_from = holder.state->entry.address;
    candidate.fetched_tokens = holder.tokens - candidate.cached_tokens;
    fetching_ms = fetch_ms(service.profile, candidate.fetched_tokens,
                           holder.state->entry.failure_domain != state.entry.failure_domain);
  }
  candidate.read_tokens =
      request.prompt_tokens -
      std::min(request.prompt_tokens, candidate.cached_tokens + candidate.fetched_tokens);
  candidate.expected_wait = base::from_seconds(
      (service.first_token.expect(candidate.read_tokens + state.all_read_tokens()) + fetching_ms) *
      slowness / 1000);
  return candidate;
}

double placer::cost_ms(const replica_state& state, const work& request,
                       const choice& candidate) const {
  double cost = 1000 * base::to_seconds(candidate.expected_wait);
  if (state.entry.failure_domain != m_config.failure_domain) {
    cost += 1 + other_domain_ms_per_kb * request.body_bytes / 1024.0;
  }
  if (!state.service->profile.is_engine) {
    return cost;
  }
  const std::uint32_t own_tokens = request.prompt.empty() ? 0 : request.prompt.back().tokens;
  const std::uint32_t shared = candidate.read_tokens - std::min(candidate.read_tokens, own_tokens);
  return cost + shared * reread_ms_per_token + candidate.fetched_tokens * fetch_ms_per_token;
}

}  // namespace fuchsiaspring::placement
