#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/telemetry/metrics.h"

namespace fuchsiaspring::telemetry {
namespace {

class telemetry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(telemetry_test);
  CPPUNIT_TEST(counter_declared_with_zero_is_shown);
  CPPUNIT_TEST(counters_add_up_per_label_value);
  CPPUNIT_TEST_SUITE_END();

  // Guards against alerts that find no series before the first refusal.
  void counter_declared_with_zero_is_shown() {
    metrics values;
    values.count("refusals_total", "Refused.", {{"reason", "queue_full"}}, 0);
    CPPUNIT_ASSERT(values.text().find("refusals_total{reason=\"queue_full\"} 0") !=
                   std::string::npos);
  }

  void counters_add_up_per_label_value() {
    metrics values;
    values.count("refusals_total", "Refused.", {{"reason", "a"}});
    values.count("refusals_total", "Refused.", {{"reason", "a"}});
    values.count("refusals_total", "Refused.", {{"reason", "b"}});
    CPPUNIT_ASSERT(values.text().find("refusals_total{reason=\"a\"} 2") != std::string::npos);
    CPPUNIT_ASSERT(values.text().find("refusals_total{reason=\"b\"} 1") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_test);

}  // namespace
}  // namespace fuchsiaspring::telemetry
