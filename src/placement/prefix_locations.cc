// Where the shared prefix of a prompt is cached: what this node knows, and the home replicas.
#include <algorithm>
#include <array>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::min_fetched_tokens;
using internal::replica_state;
using internal::service_state;

// Share of a prefix that its two homes are expected to have cached: the first request with the
// prefix finds none, and other prompts evict it.
constexpr double expected_share_at_home = 0.75;
constexpr std::size_t homes_without_pool = 2;
// Share of a home's time that the prompts of one prefix may take before it gets another home.
constexpr double max_home_utilization = 0.4;

// Inserts a replica into the descending order of scores, dropping the last one.
template <typename Scores, typename Replicas>
void insert_ranked(Scores& scores, Replicas& ranked, std::uint64_t score,
                   const replica_state* state) {
  std::size_t position = scores.size();
  while (position > 0 && score > scores[position - 1]) {
    --position;
  }
  for (std::size_t i = scores.size(); i-- > position + 1;) {
    scores[i] = scores[i - 1];
    ranked[i] = ranked[i - 1];
  }
  if (position < scores.size()) {
    scores[position] = score;
    ranked[position] = state;
  }
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

bool placer::prefix_locations::is_home(const replica_state& state) const {
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(home_count);
  return std::find(ranked.begin(), end, &state) != end;
}

std::size_t placer::homes_needed(const service_state& service, std::uint64_t prefix_id,
                                 base::time_point now) const {
  if (!has_prompt_pool(service)) {
    return homes_without_pool;
  }
  const double utilization = fleet_prompt_factor(service) * service.prefixes.rate(prefix_id, now) *
                             seconds_per_long_prompt(service);
  return std::min(max_homes, 1 + static_cast<std::size_t>(utilization / max_home_utilization));
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
  const bool has_pool = has_prompt_pool(service);
  std::array<std::uint64_t, max_homes + 1> scores{};
  for (const std::string& id : service.replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    const bool is_known =
        m_view == fleet_view::load_only || state.entry.failure_domain == m_config.failure_domain;
    const bool is_outside_pool = has_pool && !service.pool.contains(state.pool_position);
    if (!is_known || is_outside_pool || now < state.cold_until ||
        !is_permitted(state, request, notice_effect::none, now)) {
      continue;
    }
    insert_ranked(scores, locations.ranked, base::hash64(id, prefix_id), &state);
  }
  locations.home_count = homes_needed(service, prefix_id, now);
  // A home of the pool gets the prefix at the latest with its first request.
  locations.tokens_at_home =
      has_pool ? shared : static_cast<std::uint32_t>(expected_share_at_home * shared);
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
    // A fetch tells its source the parts of the prompt.
    if (now < state.down_until || !is_in_region(state, request.home_regions)) {
      continue;
    }
    const std::uint32_t tokens = cached_tokens(state, request, now);
    const bool is_nearer = holder.state != nullptr && tokens == holder.tokens &&
                           state.entry.failure_domain == m_config.failure_domain;
    if (tokens > holder.tokens || is_nearer) {
      holder = {&state, tokens};
    }
  }
  if (locations.ranked[0] != nullptr && locations.tokens_at_home > holder.tokens) {
    holder = {locations.ranked[0], locations.tokens_at_home};
  }
  return locations;
}

}  // namespace fuchsiaspring::placement
