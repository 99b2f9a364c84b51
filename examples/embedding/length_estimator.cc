// Estimates quantiles of output lengths from recent samples, so that they follow the traffic.
#include <chrono>

#include "expectation.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/estimator/length_estimator.h"

namespace base = fuchsiaspring::base;
namespace estimator = fuchsiaspring::estimator;

using std::chrono::milliseconds;
using std::chrono::seconds;

int main() {
  expectation check;
  estimator::length_estimator lengths;
  base::random_source random(1);
  base::time_point now{};
  check.that(!lengths.output_tokens("draft", "model-a", 0.5),
             "no estimate before the first sample");

  // Ten minutes of responses with a median of 800 tokens, one per second.
  for (int i = 0; i < 600; ++i) {
    now += seconds(1);
    const auto tokens = static_cast<std::uint32_t>(random.log_normal(800, 0.5));
    lengths.record_first_token("draft", "model-a", milliseconds(200), now);
    lengths.record_finished("draft", "model-a", tokens, milliseconds(20) * tokens, now);
  }
  const double median = *lengths.output_tokens("draft", "model-a", 0.5);
  std::cout << "median " << median << " tokens, 95th percentile "
            << *lengths.output_tokens("draft", "model-a", 0.95) << " tokens\n";
  check.that(median > 650 && median < 950, "the median is near 800 tokens");

  const auto first_token = lengths.first_token_time("draft", "model-a", 0.9);
  check.that(first_token && *first_token > milliseconds(180) && *first_token < milliseconds(220),
             "first tokens come after about 200 ms");
  check.that(*lengths.remaining_tokens("draft", "model-a", 400, 0.5) < median,
             "fewer tokens are expected after the first 400");

  // The responses become short. After five half-lives the old samples weigh 3%.
  for (int i = 0; i < 300; ++i) {
    now += seconds(1);
    lengths.record_finished("draft", "model-a", 50, seconds(1), now);
  }
  const double later = *lengths.output_tokens("draft", "model-a", 0.5);
  std::cout << "median after the change " << later << " tokens\n";
  check.that(later > 45 && later < 55, "the median follows the change");
  return check.exit_status();
}
