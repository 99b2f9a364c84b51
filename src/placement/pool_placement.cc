// Placement where nodes know each other's work late: the pool of long prompts, and the replicas
// that each node prefers for short ones.
#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::replica_state;
using internal::service_state;

// With fewer replicas each of them has to take all kinds of requests.
constexpr std::size_t min_replicas_with_pool = 8;
constexpr std::uint64_t pool_order_seed = 0x9e3779b97f4a7c15;

// Shares of the time of a replica's prefill, and of its slots, above which queues form when
// arrivals are random.
constexpr double target_prefill_utilization = 0.4;
constexpr double target_slot_utilization = 0.5;
constexpr double prompt_weight = 0.05;  // of one prompt in the moving average
// Share of the KV cache that cached prompts may fill; running requests need the rest.
constexpr double target_cache_utilization = 0.7;
// Share of a long prompt's tokens that no other prompt has brought within the reuse time.
constexpr double new_tokens_share = 0.5;
// Weight of the requests that run at one choice in the moving average of their kinds. Small, since
// a node runs few requests and the nodes should agree about the pool.
constexpr double short_share_weight = 0.02;

// Replicas of the own failure domain that a node prefers for short prompts, before those of the
// pool of long prompts are left out. Few enough that connections are used again before they expire,
// and enough that a burst at one node does not fill them.
constexpr std::size_t preferred_replicas = 16;

// Costs in ms of waiting. A long prompt outside its pool delays the streams there and leaves a
// second copy of its prefix; a short one in the pool of long prompts is itself delayed by them.
constexpr double long_outside_pool_cost_ms = 120;
constexpr double short_inside_pool_cost_ms = 60;
constexpr double not_preferred_cost_ms = 10;
// Keeps the prompts of a prefix at its homes although another replica has it, too: the prompts of
// all nodes meet there, and the copy elsewhere expires.
constexpr double not_home_cost_ms = 20;
// Cost of a replica whose slots are all in use: a step takes longer with each running request.
constexpr double full_replica_cost_ms = 40;

void observe(double& mean, double value) {
  mean = mean == 0 ? value : mean + prompt_weight * (value - mean);
}

}  // namespace

bool placer::has_prompt_pool(const service_state& service) const {
  return service.profile.is_engine && service.profile.has_gap_targets &&
         m_view != fleet_view::full && m_config.choice_strategy == strategy::prefix &&
         service.replica_ids.size() >= min_replicas_with_pool;
}

bool placer::is_in_other_pool(const replica_state& state, const service_state& service,
                              const request_profile& request) {
  return request.is_long_prompt ? !service.pool.contains(state.pool_position)
                                : !service.pool.is_clear_of(state.pool_position);
}

void placer::assign_pool_positions(service_state& service) {
  std::map<std::string_view, std::vector<std::pair<std::uint64_t, replica_state*>>> by_domain;
  std::vector<std::pair<std::uint64_t, replica_state*>> own_domain;
  for (const std::string& id : service.replica_ids) {
    replica_state& state = *m_replicas.find(id)->second;
    state.is_preferred = false;
    by_domain[state.entry.failure_domain].emplace_back(base::hash64(id, pool_order_seed), &state);
    if (state.entry.failure_domain == m_config.failure_domain) {
      own_domain.emplace_back(base::hash64(m_config.vm, hash_replica_id(id)), &state);
    }
  }
  service.domain_count = by_domain.size();
  for (auto& [domain, ordered] : by_domain) {
    std::sort(ordered.begin(), ordered.end());
    for (std::size_t i = 0; i < ordered.size(); ++i) {
      ordered[i].second->pool_position =
          (static_cast<double>(i) + 0.5) / static_cast<double>(ordered.size());
    }
  }
  std::sort(own_domain.begin(), own_domain.end());
  own_domain.resize(std::min(own_domain.size(), preferred_replicas));
  for (const auto& [hash, state] : own_domain) {
    state->is_preferred = true;
  }
}

// Long prompts are announced inside a failure domain only; the others are taken to have as many.
double placer::fleet_prompt_factor(const service_state& service) const {
  return m_view == fleet_view::load_only ? static_cast<double>(service.domain_count) : 1;
}

double placer::seconds_per_long_prompt(const service_state& service) {
  return service.long_prefill_tokens * service.first_token.ms_per_token() / 1000;
}

void placer::update_prompt_pool(service_state& service, base::time_point now) {
  double running = 0;
  double slots = 0;
  double long_prompts = 0;
  for (const std::string& id : service.replica_ids) {
    const replica_state& state = *m_replicas.find(id)->second;
    if (m_view == fleet_view::own_domain && state.entry.failure_domain != m_config.failure_domain) {
      continue;
    }
    running += state.running + state.remote_running;
    slots = std::max(slots, static_cast<double>(state.entry.slots));
    long_prompts += internal::recent_long_prefills(state, now);
  }
  const double prompts_per_s =
      fleet_prompt_factor(service) * long_prompts / internal::long_prefill_decay_s;
  if (service.long_running + service.short_running > 0) {
    const double share =
        static_cast<double>(service.short_running) / (service.long_running + service.short_running);
    service.short_share += short_share_weight * (share - service.short_share);
  }
  const double cached_tokens = prompts_per_s * base::to_seconds(m_config.prefix_reuse) *
                               service.long_prompt_tokens * new_tokens_share;
  const auto kv_tokens = static_cast<double>(service.profile.kv_tokens);
  service.pool.update(
      {.prefill_replicas =
           prompts_per_s * seconds_per_long_prompt(service) / target_prefill_utilization,
       .cache_replicas = kv_tokens > 0 ? cached_tokens / kv_tokens / target_cache_utilization : 0,
       .stream_replicas =
           slots > 0 ? running * service.short_share / slots / target_slot_utilization : 0},
      now);
}

std::map<std::string, double> placer::prompt_pool_shares() const {
  std::map<std::string, double> shares;
  for (const auto& [name, service] : m_services) {
    if (service->is_configured && has_prompt_pool(*service)) {
      shares.emplace(name, service->pool.share());
    }
  }
  return shares;
}

void placer::count_running(service_state& service, bool is_long_prompt, int difference) {
  std::uint32_t& count = is_long_prompt ? service.long_running : service.short_running;
  count = difference > 0 ? count + 1 : count - std::min<std::uint32_t>(count, 1);
}

void placer::observe_dispatch(service_state& service, const request_profile& request,
                              const choice& chosen) {
  count_running(service, chosen.is_long_prompt, 1);
  if (!chosen.is_long_prompt) {
    return;
  }
  observe(service.long_prefill_tokens, chosen.prefill_tokens);
  observe(service.long_prompt_tokens, request.prompt_tokens);
}

double placer::pool_cost_ms(const replica_state& state, const service_state& service,
                            const request_profile& request,
                            const prefix_locations& locations) const {
  if (!has_prompt_pool(service)) {
    return 0;
  }
  const double utilization =
      state.entry.slots == 0 ? 0 : static_cast<double>(state.all_running()) / state.entry.slots;
  double cost = full_replica_cost_ms * utilization * utilization;
  if (is_in_other_pool(state, service, request)) {
    cost += request.is_long_prompt ? long_outside_pool_cost_ms : short_inside_pool_cost_ms;
  }
  const bool has_home = locations.home_count > 0 && locations.ranked[0] != nullptr;
  if (request.is_long_prompt && has_home && !locations.is_home(state)) {
    cost += not_home_cost_ms;
  }
  if (!request.is_long_prompt && !state.is_preferred) {
    cost += not_preferred_cost_ms;
  }
  return cost;
}

}  // namespace fuchsiaspring::placement
