#include "fuchsiaspring/estimator/length_estimator.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::estimator {
namespace {

constexpr double bucket_ratio = 1.05;
constexpr double first_token_units_per_second = 10000;
constexpr double service_units_per_second = 1000;

// Stored weights grow by the inverse of the scale. Below this scale they are rescaled, long before
// they leave the range of a float.
constexpr double min_scale = 1e-12;

double bucket_of(double value) {
  return std::log(std::max(1.0, value)) / std::log(bucket_ratio);
}

}  // namespace

void decaying_histogram::record(double value, base::time_point now) {
  const double half_lives =
      base::to_seconds(now - m_last_record) / base::to_seconds(m_settings.half_life);
  m_last_record = now;
  const double previous_weight = weight();
  if (previous_weight > m_settings.min_samples) {
    // Minus one, since the new sample adds one.
    const double decayed_weight =
        std::max(previous_weight * std::exp2(-half_lives), m_settings.min_samples - 1);
    m_scale *= decayed_weight / previous_weight;
  }
  if (m_scale < min_scale) {
    for (float& stored : m_weights) {
      stored = static_cast<float>(stored * m_scale);
    }
    m_total *= m_scale;
    m_scale = 1;
  }
  const auto bucket =
      std::min(static_cast<std::size_t>(bucket_of(value)), std::size_t{bucket_count - 1});
  const float added = static_cast<float>(1 / m_scale);
  m_weights[bucket] += added;
  m_total += added;
}

std::optional<double> decaying_histogram::quantile(double quantile, double above) const {
  const auto first = above < 1 ? std::size_t{0}
                               : std::min(static_cast<std::size_t>(bucket_of(above)) + 1,
                                          std::size_t{bucket_count});
  double total = 0;
  for (std::size_t bucket = first; bucket < bucket_count; ++bucket) {
    total += m_weights[bucket];
  }
  if (total <= 0) {
    return std::nullopt;
  }
  double remaining_weight = std::clamp(quantile, 0.0, 1.0) * total;
  double result = std::max(1.0, above);
  for (std::size_t bucket = first; bucket < bucket_count; ++bucket) {
    const double stored = m_weights[bucket];
    if (stored <= 0) {
      continue;
    }
    const double fraction_below = std::min(1.0, remaining_weight / stored);
    result = std::pow(bucket_ratio, static_cast<double>(bucket) + fraction_below);
    if (remaining_weight <= stored) {
      break;
    }
    remaining_weight -= stored;
  }
  return result;
}

length_estimator::model& length_estimator::find_or_create(std::string_view request_class,
                                                          std::string_view pool) {
  auto classes = m_models.find(pool);
  if (classes == m_models.end()) {
    classes = m_models.emplace(std::string(pool), models_by_class()).first;
  }
  const auto found_class = classes->second.find(request_class);
  if (found_class != classes->second.end()) {
    return found_class->second;
  }
  return classes->second.emplace(std::string(request_class), model(m_settings)).first->second;
}

const length_estimator::model* length_estimator::find(std::string_view request_class,
                                                      std::string_view pool) const {
  const auto classes = m_models.find(pool);
  if (classes == m_models.end()) {
    return nullptr;
  }
  const auto found_class = classes->second.find(request_class);
  return found_class == classes->second.end() ? nullptr : &found_class->second;
}

void length_estimator::record_finished(std::string_view request_class, std::string_view pool,
                                       std::uint32_t output_tokens, base::duration service_time,
                                       base::time_point now) {
  model& target = find_or_create(request_class, pool);
  target.tokens.record(output_tokens, now);
  target.service.record(base::to_seconds(service_time) * service_units_per_second, now);
}

void length_estimator::record_first_token(std::string_view request_class, std::string_view pool,
                                          base::duration first_token_time, base::time_point now) {
  find_or_create(request_class, pool)
      .first_token.record(base::to_seconds(first_token_time) * first_token_units_per_second, now);
}

std::optional<double> length_estimator::output_tokens(std::string_view request_class,
                                                      std::string_view pool,
                                                      double quantile) const {
  const model* found_model = find(request_class, pool);
  return found_model == nullptr ? std::nullopt : found_model->tokens.quantile(quantile);
}

std::optional<base::duration> length_estimator::first_token_time(std::string_view request_class,
                                                                 std::string_view pool,
                                                                 double quantile) const {
  const model* found_model = find(request_class, pool);
  const auto value =
      found_model == nullptr ? std::nullopt : found_model->first_token.quantile(quantile);
  if (!value) {
    return std::nullopt;
  }
  return base::from_seconds(*value / first_token_units_per_second);
}

std::optional<base::duration> length_estimator::service_time(std::string_view request_class,
                                                             std::string_view pool,
                                                             double quantile) const {
  const model* found_model = find(request_class, pool);
  const auto value =
      found_model == nullptr ? std::nullopt : found_model->service.quantile(quantile);
  if (!value) {
    return std::nullopt;
  }
  return base::from_seconds(*value / service_units_per_second);
}

std::optional<double> length_estimator::remaining_tokens(std::string_view request_class,
                                                         std::string_view pool,
                                                         std::uint32_t generated,
                                                         double quantile) const {
  const model* found_model = find(request_class, pool);
  if (found_model == nullptr) {
    return std::nullopt;
  }
  const auto total = found_model->tokens.quantile(quantile, generated);
  // Longer than all samples: for a long-tailed distribution, the length so far is the usual
  // estimate of the remaining length.
  return total ? std::max(0.0, *total - generated) : static_cast<double>(generated);
}

}  // namespace fuchsiaspring::estimator
