// Running median of first-token times, by prompt length.
//
// Prompts differ in length by orders of magnitude, and so do their first-token times. Times are
// therefore compared only within a bucket of similar length; otherwise three long prompts in a row
// would look like a cold start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace fuchsiaspring::routing::internal {

class latency_baseline {
 public:
  // Relative step of the running median. 2% follows a fivefold shift in about 80 requests, so that
  // a wrong first estimate is corrected but the few requests of a cold start hardly change it.
  static constexpr double normal_step = 0.02;
  // Step for times of an upstream in the ramp. Without a step, a median that is too low would keep
  // the upstream in the ramp for ever; with the normal step, the median would adopt cold times.
  static constexpr double ramp_step = 0.002;

  // Adds a first-token time in seconds.
  void record(std::uint32_t prompt_tokens, double seconds, double step = normal_step);

  // Sets the median of this length if none is known yet.
  void seed(std::uint32_t prompt_tokens, double seconds);

  // Median in seconds, or nothing before `initial_samples` times of this length were recorded.
  std::optional<double> median_first_token(std::uint32_t prompt_tokens) const;

 private:
  static constexpr std::size_t bucket_count = 24;  // powers of two of the prompt length
  static constexpr std::size_t initial_samples = 5;

  struct bucket {
    std::uint32_t samples = 0;
    std::array<float, initial_samples> first{};
    double median = 0.0;
  };

  static std::size_t bucket_of(std::uint32_t prompt_tokens);

  std::array<bucket, bucket_count> m_buckets{};
};

}  // namespace fuchsiaspring::routing::internal
