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

// Share of a prefix that its first home is expected to have cached: the first request with the
// prefix finds none, and other prompts evict it.
constexpr double expected_share_at_home = 0.75;

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
  std::array<std::uint64_t, 2> scores{};
  for (const std::string& id : service.replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    const bool is_known =
        m_view == fleet_view::load_only || state.entry.failure_domain == m_config.failure_domain;
    const bool is_outside_pool = has_pool && !service.pool.contains(state.pool_position);
    if (!is_known || is_outside_pool || now < state.cold_until ||
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

}  // namespace fuchsiaspring::placement
