#include "fuchsiaspring/capability/service_model.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::capability {
namespace {

// About the last 30 samples count, which is 6 s for a node that dispatches 5 requests/s.
constexpr double center_retained = 0.967;
// Samples with a larger variance of the log ratio say less about the replica: a long prompt takes
// up to three times as long where its shared parts are not cached.
constexpr double usual_variance = 0.2;
constexpr double max_squared_deviation = 4;
constexpr double variance_retained = 0.98;
constexpr double min_variance_samples = 10;
// About the last 200 samples count; the kind of slow phases and the effect of load change rarely.
constexpr double mode_retained = 0.995;
constexpr double load_retained = 0.98;  // of the samples in one range of loads
// Samples above this factor count as taken in a slow phase.
const double slow_threshold = std::log(1.7);
const double min_slow_log_ratio = std::log(1.8);
const double max_slow_log_ratio = std::log(5.0);
// Before samples exist: slow phases are rare and double the time.
constexpr double initial_weight = 20;
constexpr double initial_share = 0.05;
const double initial_log_ratio = std::log(2.0);
constexpr double min_slow_share = 0.01;
constexpr double max_slow_share = 0.35;
// Samples of a range of loads before it is compared, and the rise that counts as one. Times vary
// by a factor of 1.5 between requests, so that a mean of 10 samples varies by 1.15.
constexpr double min_load_samples = 10;
const double min_rise = std::log(1.25);
constexpr double max_load_factor = 5;

}  // namespace

void service_model::running_mean::add(double value, double retained) {
  weight = weight * retained + 1;
  mean += (value - mean) / weight;
}

double service_model::record(const latency_sample& sample) {
  const double without_load = sample.log_ratio - sample.log_load;
  m_center.add(without_load, center_retained);
  const double deviation = without_load - m_center.mean - sample.log_usual;
  running_mean& variance = m_variance[sample.is_long_prompt ? 1 : 0];
  variance.add(std::min(deviation * deviation, max_squared_deviation), variance_retained);
  const double reliability = variance.weight < min_variance_samples
                                 ? 1
                                 : usual_variance / std::max(usual_variance, variance.mean);
  const double relative = reliability * (without_load - m_center.mean);
  const double residual = relative - sample.log_usual;
  m_all_weight = m_all_weight * mode_retained + 1;
  m_slow_weight *= mode_retained;
  m_slow_sum *= mode_retained;
  if (residual > slow_threshold) {
    m_slow_weight += 1;
    m_slow_sum += std::min(residual, max_slow_log_ratio);
  }
  const auto bucket = static_cast<std::size_t>(std::clamp(sample.load_share, 0.0, 0.999) *
                                               static_cast<double>(bucket_count));
  m_by_load[bucket].add(relative + sample.log_load - sample.log_speed, load_retained);
  update_load_factors();
  return relative;
}

slow_mode service_model::slow_phases() const {
  const double initial_slow = initial_weight * initial_share;
  const double share = (m_slow_weight + initial_slow) / (m_all_weight + initial_weight);
  const double log_ratio =
      (m_slow_sum + initial_slow * initial_log_ratio) / (m_slow_weight + initial_slow);
  return {std::clamp(share, min_slow_share, max_slow_share),
          std::clamp(log_ratio, min_slow_log_ratio, max_slow_log_ratio)};
}

void service_model::update_load_factors() {
  double lowest = 0;
  bool has_lowest = false;
  double factor = 1;
  for (std::size_t i = 0; i < bucket_count; ++i) {
    const running_mean& bucket = m_by_load[i];
    if (bucket.weight >= min_load_samples) {
      if (!has_lowest || bucket.mean < lowest) {
        lowest = bucket.mean;
        has_lowest = true;
      }
      const double rise = bucket.mean - lowest;
      if (rise > min_rise) {
        factor = std::clamp(std::exp(rise), factor, max_load_factor);
      }
    }
    m_load_factors[i] = factor;
  }
}

double service_model::load_factor(double load_share) const {
  const auto bucket = static_cast<std::size_t>(std::clamp(load_share, 0.0, 0.999) *
                                               static_cast<double>(bucket_count));
  return m_load_factors[bucket];
}

double service_model::knee() const {
  const auto first = std::find_if(m_load_factors.begin(), m_load_factors.end(),
                                  [](double factor) { return factor > 1; });
  return static_cast<double>(first - m_load_factors.begin()) / static_cast<double>(bucket_count);
}

}  // namespace fuchsiaspring::capability
