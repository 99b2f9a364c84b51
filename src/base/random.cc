#include "fuchsiaspring/base/random.h"

#include <cmath>
#include <numbers>

namespace fuchsiaspring::base {

double random_source::exponential(double mean) {
  return -mean * std::log1p(-uniform());
}

double random_source::log_normal(double median, double sigma) {
  // Box-Muller instead of std::normal_distribution, whose sequence differs between libraries.
  const double radius = std::sqrt(-2.0 * std::log1p(-uniform()));
  const double angle = 2.0 * std::numbers::pi * uniform();
  return median * std::exp(sigma * radius * std::cos(angle));
}

std::uint64_t system_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace fuchsiaspring::base
