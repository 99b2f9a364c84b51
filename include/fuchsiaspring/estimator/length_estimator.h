// Online quantiles of output length, first-token time and service time for each class and pool.
//
//   estimator::length_estimator lengths;
//   lengths.record_first_token("draft", "model-a", since_dispatch, now);
//   lengths.record_finished("draft", "model-a", 812, since_dispatch, now);
//   if (auto p90 = lengths.first_token_time("question", "model-a", 0.9)) {
//     request.first_token_estimate = *p90;
//   }
//
// Each measure is a histogram with logarithmic buckets whose weights halve every `half_life`, so
// that a change of the lengths shows within a few half-lives. Decay does not reduce the total
// weight below `min_samples`, so that the last samples of a class with little traffic still count.
// A quantile is exact to the bucket width of 5% for the weighted samples.
//
// The estimator does not read a clock. `now` must not decrease between calls for the same class and
// pool. Not thread-safe. One pair of class and pool takes about 3.5 KB.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::estimator {

struct estimator_settings {
  base::duration half_life = std::chrono::seconds(60);
  // Decay stops at this weight, so that a class with less traffic is estimated from about this many
  // last samples. A 95th percentile needs at least 20 samples.
  double min_samples = 20;
};

// Quantiles of positive values from 1 to about 3,000,000; values outside count as the nearest.
class decaying_histogram {
 public:
  explicit decaying_histogram(const estimator_settings& settings) : m_settings(settings) {}

  void record(double value, base::time_point now);

  // The value below which the share `quantile` of the weight lies, among the samples above `above`.
  // Nothing without such samples.
  std::optional<double> quantile(double quantile, double above = 0) const;

  // Sum of the weights, that is the number of samples that the estimate rests on.
  double weight() const { return m_total * m_scale; }

 private:
  static constexpr std::size_t bucket_count = 306;

  estimator_settings m_settings;
  // Stored weights are true weights divided by m_scale, which shrinks instead of all the weights.
  std::array<float, bucket_count> m_weights{};
  double m_total = 0;
  double m_scale = 1;
  base::time_point m_last_record{};
};

class length_estimator {
 public:
  explicit length_estimator(const estimator_settings& settings = {}) : m_settings(settings) {}

  // Records the time from the dispatch of a request to its first token.
  void record_first_token(std::string_view request_class, std::string_view pool,
                          base::duration first_token_time, base::time_point now);

  // Records a request that ended by itself; `service_time` is from dispatch to the last token. A
  // cancelled request is not recorded, since its length is not known.
  void record_finished(std::string_view request_class, std::string_view pool,
                       std::uint32_t output_tokens, base::duration service_time,
                       base::time_point now);

  // The given quantile (0 to 1), or nothing before the first sample of class and pool.
  std::optional<double> output_tokens(std::string_view request_class, std::string_view pool,
                                      double quantile) const;
  std::optional<base::duration> first_token_time(std::string_view request_class,
                                                 std::string_view pool, double quantile) const;
  std::optional<base::duration> service_time(std::string_view request_class, std::string_view pool,
                                             double quantile) const;

  // Quantile of the remaining output tokens after `generated` tokens.
  std::optional<double> remaining_tokens(std::string_view request_class, std::string_view pool,
                                         std::uint32_t generated, double quantile) const;

 private:
  struct model {
    explicit model(const estimator_settings& settings)
        : tokens(settings), first_token(settings), service(settings) {}

    decaying_histogram tokens;
    decaying_histogram first_token;  // in units of 0.1 ms
    decaying_histogram service;      // in ms
  };

  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using models_by_class = std::unordered_map<std::string, model, string_hash, std::equal_to<>>;

  model& find_or_create(std::string_view request_class, std::string_view pool);
  const model* find(std::string_view request_class, std::string_view pool) const;

  estimator_settings m_settings;
  std::unordered_map<std::string, models_by_class, string_hash, std::equal_to<>>
      m_models;  // by pool
};

}  // namespace fuchsiaspring::estimator
