#include "fuchsiaspring/capability/service_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::capability {
namespace {

class service_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(service_model_test);
  CPPUNIT_TEST(a_service_that_is_slow_as_a_whole_has_average_replicas);
  CPPUNIT_TEST(slow_phases_are_learned);
  CPPUNIT_TEST(the_knee_is_found_between_empty_and_full);
  CPPUNIT_TEST(noise_alone_shows_no_knee);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an effect that both the expectation and the speeds of all replicas learn.
  void a_service_that_is_slow_as_a_whole_has_average_replicas() {
    service_model model;
    double relative = 1;
    for (int i = 0; i < 100; ++i) {
      relative = model.record({.log_ratio = std::log(2.0)});
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, relative, 0.05);
  }

  // Guards against fixed assumptions about how often and by how much replicas are slow.
  void slow_phases_are_learned() {
    service_model model;
    base::random_source random(1);
    for (int i = 0; i < 1000; ++i) {
      const double usual = random.uniform() < 0.15 ? 3.0 : 1.0;
      model.record({.log_ratio = std::log(random.log_normal(usual, 0.2))});
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, model.slow_phases().share, 0.07);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(3.0), model.slow_phases().log_ratio, 0.25);
  }

  // Guards against replicas that are filled up to their slots where latency rises long before.
  void the_knee_is_found_between_empty_and_full() {
    service_model model;
    base::random_source random(2);
    for (int i = 0; i < 1000; ++i) {
      const double share = random.uniform();
      const double usual = share < 0.625 ? 1.0 : 1 + 4 * (share - 0.625);
      model.record({.log_ratio = std::log(random.log_normal(usual, 0.35)),
                    .log_load = std::log(model.load_factor(share)),
                    .load_share = share});
    }
    CPPUNIT_ASSERT(model.knee() >= 0.5 && model.knee() <= 0.8);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, model.load_factor(0.3), 1e-9);
    CPPUNIT_ASSERT(model.load_factor(0.95) > 1.7);
  }

  // Guards against replicas that are avoided for differences between requests.
  void noise_alone_shows_no_knee() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      service_model model;
      base::random_source random(seed);
      for (int i = 0; i < 1000; ++i) {
        const double share = random.uniform();
        model.record({.log_ratio = std::log(random.log_normal(1, 0.35)), .load_share = share});
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1, model.knee(), 1e-9);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_model_test);

}  // namespace
}  // namespace fuchsiaspring::capability
