#include "routing/latency_baseline.h"

#include <algorithm>
#include <bit>

namespace fuchsiaspring::routing::internal {

std::size_t latency_baseline::bucket_of(std::uint32_t prompt_tokens) {
  return std::min<std::size_t>(std::bit_width(prompt_tokens), bucket_count - 1);
}

void latency_baseline::record(std::uint32_t prompt_tokens, double seconds, double step) {
  bucket& target = m_buckets[bucket_of(prompt_tokens)];
  if (target.samples < initial_samples) {
    target.first[target.samples] = static_cast<float>(seconds);
    if (++target.samples == initial_samples) {
      std::array<float, initial_samples> sorted = target.first;
      std::sort(sorted.begin(), sorted.end());
      target.median = sorted[initial_samples / 2];
    }
    return;
  }
  target.median *= seconds > target.median ? 1.0 + step : 1.0 - step;
}

void latency_baseline::seed(std::uint32_t prompt_tokens, double seconds) {
  bucket& target = m_buckets[bucket_of(prompt_tokens)];
  if (target.samples < initial_samples) {
    target.samples = initial_samples;
    target.median = seconds;
  }
}

std::optional<double> latency_baseline::median_first_token(std::uint32_t prompt_tokens) const {
  const bucket& source = m_buckets[bucket_of(prompt_tokens)];
  if (source.samples < initial_samples || source.median <= 0.0) {
    return std::nullopt;
  }
  return source.median;
}

}  // namespace fuchsiaspring::routing::internal
