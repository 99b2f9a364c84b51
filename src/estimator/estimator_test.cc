#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <iostream>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/estimator/length_estimator.h"

namespace fuchsiaspring::estimator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double z90 = 1.2816;  // 90th percentile of the standard normal distribution

class estimator_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(estimator_test);
  CPPUNIT_TEST(long_tailed_quantiles_are_close);
  CPPUNIT_TEST(drift_shows_within_three_minutes);
  CPPUNIT_TEST(rare_class_is_estimated_from_its_last_samples);
  CPPUNIT_TEST(long_run_does_not_overflow_weights);
  CPPUNIT_TEST(remaining_length_grows_in_a_long_tail);
  CPPUNIT_TEST(unknown_pairs_have_no_estimate_and_extreme_values_are_clamped);
  CPPUNIT_TEST_SUITE_END();

  static void record_log_normal_lengths(length_estimator& lengths, base::random_source& random,
                                        base::time_point& now, int count, double median,
                                        double sigma) {
    for (int i = 0; i < count; ++i) {
      now += base::from_seconds(random.exponential(0.2));  // 5 requests/s
      const auto tokens = static_cast<std::uint32_t>(random.log_normal(median, sigma));
      lengths.record_finished("draft", "m", tokens, milliseconds(30 * tokens), now);
    }
  }

  static double relative_error(std::optional<double> estimate, double truth) {
    return std::abs(estimate.value() / truth - 1);
  }

  // Guards against quantiles that are far off for long-tailed lengths.
  void long_tailed_quantiles_are_close() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      base::random_source random(seed);
      length_estimator lengths;
      base::time_point now{seconds(1000)};
      record_log_normal_lengths(lengths, random, now, 3000, 600, 1.0);
      const double p50 = relative_error(lengths.output_tokens("draft", "m", 0.5), 600);
      const double p90 =
          relative_error(lengths.output_tokens("draft", "m", 0.9), 600 * std::exp(z90));
      std::cout << "long tail seed " << seed << " error p50 " << p50 << " p90 " << p90 << "\n";
      CPPUNIT_ASSERT(p50 < 0.2);
      CPPUNIT_ASSERT(p90 < 0.3);
    }
  }

  // Guards against estimates that follow a change of the lengths only after an hour.
  void drift_shows_within_three_minutes() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      base::random_source random(seed);
      length_estimator lengths;
      base::time_point now{seconds(1000)};
      record_log_normal_lengths(lengths, random, now, 3000, 300, 0.8);
      int minutes = 0;
      for (; relative_error(lengths.output_tokens("draft", "m", 0.5), 900) > 0.2; ++minutes) {
        CPPUNIT_ASSERT(minutes < 10);
        record_log_normal_lengths(lengths, random, now, 300, 900, 0.8);
      }
      std::cout << "drift seed " << seed << " minutes to 20% " << minutes << "\n";
      CPPUNIT_ASSERT(minutes <= 3);
    }
  }

  // Guards against a class with little traffic that loses all its samples by decay.
  void rare_class_is_estimated_from_its_last_samples() {
    length_estimator lengths;
    base::time_point now{seconds(1000)};
    for (std::uint32_t i = 1; i <= 100; ++i) {
      now += std::chrono::hours(1);
      lengths.record_finished("rare", "m", 10 * i, {}, now);
    }
    const double p50 = lengths.output_tokens("rare", "m", 0.5).value();
    CPPUNIT_ASSERT(p50 > 750);
    CPPUNIT_ASSERT(p50 < 950);
  }

  // Guards against weights that leave the range of a float after days of decay.
  void long_run_does_not_overflow_weights() {
    decaying_histogram histogram({seconds(1), 20});
    base::time_point now{};
    for (int i = 0; i < 200000; ++i) {
      now += milliseconds(20);
      histogram.record(i < 100000 ? 10 : 1000, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, histogram.quantile(0.5).value(), 50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50 / std::log(2.0), histogram.weight(), 3);
  }

  // Guards against estimates of the remaining length that are too low for unusually long outputs.
  void remaining_length_grows_in_a_long_tail() {
    base::random_source random(1);
    length_estimator lengths;
    base::time_point now{seconds(1000)};
    record_log_normal_lengths(lengths, random, now, 3000, 600, 1.2);
    const double at_start = lengths.remaining_tokens("draft", "m", 0, 0.5).value();
    const double after_2000 = lengths.remaining_tokens("draft", "m", 2000, 0.5).value();
    CPPUNIT_ASSERT(after_2000 > at_start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3e6, lengths.remaining_tokens("draft", "m", 3000000, 0.5).value(),
                                 1);
  }

  // Guards against estimates that are shared between pairs, and values outside the histogram.
  void unknown_pairs_have_no_estimate_and_extreme_values_are_clamped() {
    length_estimator lengths;
    CPPUNIT_ASSERT(!lengths.output_tokens("draft", "m", 0.5));
    CPPUNIT_ASSERT(!lengths.service_time("draft", "m", 0.5));
    const base::time_point now{seconds(1)};
    lengths.record_finished("draft", "m", 0, base::duration::max(), now);
    CPPUNIT_ASSERT(!lengths.first_token_time("draft", "m", 0.5));
    lengths.record_first_token("draft", "m", base::duration::zero(), now);
    CPPUNIT_ASSERT(!lengths.output_tokens("draft", "other", 0.5));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, lengths.output_tokens("draft", "m", 0.5).value(), 0.06);
    CPPUNIT_ASSERT(lengths.service_time("draft", "m", 1.0).value() > seconds(2000));
    CPPUNIT_ASSERT(lengths.first_token_time("draft", "m", 0.9).value() <= milliseconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(estimator_test);

}  // namespace
}  // namespace fuchsiaspring::estimator
