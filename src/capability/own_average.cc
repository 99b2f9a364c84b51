#include "fuchsiaspring/capability/own_average.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::capability {
namespace {

constexpr double sample_weight = 0.12;
constexpr double min_ratio = 0.2;
constexpr double max_ratio = 20;
// Time constant of the decay towards 1, so that a slow replica is tried again.
constexpr base::duration decay = std::chrono::seconds(4);

}  // namespace

void own_average::record(double ratio, base::time_point now) {
  const double before = estimate(now);
  m_average = before + sample_weight * (std::clamp(ratio, min_ratio, max_ratio) - before);
  m_at = now;
}

double own_average::estimate(base::time_point now) const {
  const double age = base::to_seconds(now - m_at) / base::to_seconds(decay);
  return 1 + (m_average - 1) * std::exp(-std::max(0.0, age));
}

}  // namespace fuchsiaspring::capability
