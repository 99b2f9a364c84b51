#include "apps/fuchsiactl/request_trace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace fuchsiaspring::ctl {
namespace {

class request_trace_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_trace_test);
  CPPUNIT_TEST(text_and_json_lines_parse_to_the_same_values);
  CPPUNIT_TEST(other_lines_are_skipped);
  CPPUNIT_TEST(trace_joins_nodes_and_includes_their_last_state);
  CPPUNIT_TEST_SUITE_END();

  void text_and_json_lines_parse_to_the_same_values() {
    const auto text = parse_log_line(
        "  3.51 vm-1 1700000000123 warn vm=vm-1 gateway: request_finished id=abc status=503");
    const auto structured =
        parse_log_line(R"({"time_ms":1700000000123,"level":"warn","vm":"vm-1","part":"gateway",)"
                       R"("event":"request_finished","id":"abc","status":503})");
    CPPUNIT_ASSERT(text.has_value() && structured.has_value());
    CPPUNIT_ASSERT(*text == *structured);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000123}, text->time_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("gateway: request_finished"), text->event);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), text->request_id);
  }

  void other_lines_are_skipped() {
    for (const char* line : {"", "built in 0.6 s", "12 warn of fire", "{\"a\":1}", "{broken"}) {
      CPPUNIT_ASSERT(!parse_log_line(line));
    }
  }

  // Guards against a trace of a refusal that omits the lapsed lease that caused it.
  void trace_joins_nodes_and_includes_their_last_state() {
    std::istringstream logs(
        "2000 info vm=b gateway: request_finished id=abc status=200\n"
        "1000 info vm=a agent: state_adopted version=3 age_ms=12.0\n"
        "1100 info vm=a agent: state_adopted version=4 age_ms=15.0\n"
        "1200 info vm=c agent: state_adopted version=4 age_ms=15.0\n"
        "1300 warn vm=a agent: lease_lapsed age_ms=4800.0\n"
        "1400 info vm=a gateway: request_finished id=other status=200\n"
        "1500 warn vm=a gateway: request_finished id=abc status=503\n"
        "1600 info vm=a agent: lease_regained age_ms=1.0\n");
    const std::vector<std::string> trace = trace_request("abc", read_log_lines(logs));
    const std::vector<std::string> expected{
        "-400 ms  a  agent: state_adopted version=4 age_ms=15.0",
        "-200 ms  a  agent: lease_lapsed age_ms=4800.0",
        "+0 ms  a  gateway: request_finished id=abc status=503",
        "+500 ms  b  gateway: request_finished id=abc status=200"};
    CPPUNIT_ASSERT(trace == expected);
    CPPUNIT_ASSERT(trace_request("none", {}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_trace_test);

}  // namespace
}  // namespace fuchsiaspring::ctl
