#include "placement/prompt_pool.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::placement::internal {
namespace {

// Neither side gets less, so that the first requests after a quiet time find replicas.
constexpr double min_share = 0.2;
constexpr double max_share = 0.8;
// Demand of each side that is assumed without any request, in replicas.
constexpr double idle_demand = 0.5;
// Longer than a prompt takes, and shorter than a burst.
constexpr base::duration share_time_constant = std::chrono::seconds(2);

}  // namespace

void prompt_pool::update(const pool_demand& demand, base::time_point now) {
  const double prompts =
      std::max({0.0, demand.prefill_replicas, demand.cache_replicas}) + idle_demand;
  const double streams = std::max(0.0, demand.stream_replicas) + idle_demand;
  const double target = std::clamp(prompts / (prompts + streams), min_share, max_share);
  const double elapsed =
      m_updated_at == base::time_point{} ? 0 : std::max(0.0, base::to_seconds(now - m_updated_at));
  m_updated_at = now;
  m_share += (1 - std::exp(-elapsed / base::to_seconds(share_time_constant))) * (target - m_share);
}

}  // namespace fuchsiaspring::placement::internal
