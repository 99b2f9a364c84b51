#include "placement/prefix_demand.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::placement::internal {
namespace {

constexpr double decay_s = 2;
// Prefixes that are remembered; when there are more, those that have become idle are removed.
constexpr std::size_t max_prefixes = 4096;
constexpr double idle_count = 0.5;

}  // namespace

double prefix_demand::value_at(const decaying_count& count, base::time_point now) {
  return count.value * std::exp(-std::max(0.0, base::to_seconds(now - count.at)) / decay_s);
}

void prefix_demand::record(std::uint64_t prefix_id, base::time_point now) {
  if (m_counts.size() >= max_prefixes) {
    remove_idle(now);
  }
  decaying_count& count = m_counts[prefix_id];
  count = {value_at(count, now) + 1, now};
}

double prefix_demand::rate(std::uint64_t prefix_id, base::time_point now) const {
  const auto found = m_counts.find(prefix_id);
  return found == m_counts.end() ? 0 : value_at(found->second, now) / decay_s;
}

void prefix_demand::remove_idle(base::time_point now) {
  std::erase_if(m_counts,
                [&](const auto& item) { return value_at(item.second, now) < idle_count; });
  if (m_counts.size() >= max_prefixes) {
    m_counts.clear();  // thousands of busy prefixes: none of them needs more than one home
  }
}

}  // namespace fuchsiaspring::placement::internal
