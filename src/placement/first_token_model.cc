#include "placement/first_token_model.h"

#include <algorithm>

namespace fuchsiaspring::placement::internal {
namespace {

constexpr double retained_per_sample = 0.98;  // about the last 50 samples count
constexpr double min_samples = 8;
constexpr double min_ms_per_token = 0.004;
constexpr double max_ms_per_token = 0.2;
constexpr double max_base_ms = 150;
// Times are capped at this multiple of the expectation; longer ones are due to a fault or a queue.
constexpr double outlier_factor = 4;

}  // namespace

void first_token_model::observe(double tokens, double elapsed_ms) {
  const double bounded = std::min(elapsed_ms, outlier_factor * expect(tokens));
  m_weight = m_weight * retained_per_sample + 1;
  m_sum_x = m_sum_x * retained_per_sample + tokens;
  m_sum_y = m_sum_y * retained_per_sample + bounded;
  m_sum_xx = m_sum_xx * retained_per_sample + tokens * tokens;
  m_sum_xy = m_sum_xy * retained_per_sample + tokens * bounded;
  if (m_weight >= min_samples) {
    fit();
  }
}

void first_token_model::fit() {
  const double mean_x = m_sum_x / m_weight;
  const double mean_y = m_sum_y / m_weight;
  const double variance = m_sum_xx / m_weight - mean_x * mean_x;
  const double covariance = m_sum_xy / m_weight - mean_x * mean_y;
  // Prompts of nearly equal size do not determine the slope; the previous one is kept.
  constexpr double min_variance = 10'000;
  if (variance > min_variance) {
    m_ms_per_token = std::clamp(covariance / variance, min_ms_per_token, max_ms_per_token);
  }
  m_base_ms = std::clamp(mean_y - m_ms_per_token * mean_x, 1.0, max_base_ms);
}

}  // namespace fuchsiaspring::placement::internal
