// Tests of the invariant checker, and short soak runs with fixed seeds.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "deploy/loopback_range.h"
#include "deploy/soak/soak_driver.h"

namespace fuchsiaspring::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr clock::time_point start{seconds(1000)};

class soak_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(soak_test);
  CPPUNIT_TEST(second_run_of_unsafe_request_is_reported);
  CPPUNIT_TEST(run_after_a_refusal_is_reported);
  CPPUNIT_TEST(run_with_revoked_key_is_reported);
  CPPUNIT_TEST(key_granted_again_is_no_violation);
  CPPUNIT_TEST(foreign_and_truncated_responses_are_reported);
  CPPUNIT_TEST(missing_response_is_reported);
  CPPUNIT_TEST(address_ranges_do_not_overlap);
  CPPUNIT_TEST(fixed_seeds_keep_all_invariants);
  CPPUNIT_TEST_SUITE_END();

  static invariant_checker make_checker() {
    return invariant_checker({.revocation = seconds(3), .timeout = milliseconds(1500)});
  }

  static sent_request make_request(request_kind kind, clock::time_point sent = start) {
    return {.id = "r1", .kind = kind, .key = "k", .team = "t", .node = 0, .sent = sent};
  }

  static observed_run make_run() { return {.replica = "i-1", .team = "t", .at = start}; }

  static observed_response success(const std::string& body) {
    return {.status = 200, .is_complete = true, .is_signed = true, .body = body};
  }

  void second_run_of_unsafe_request_is_reported() {
    invariant_checker checker = make_checker();
    checker.on_sent(make_request(request_kind::unsafe));
    checker.on_run("r1", make_run());
    CPPUNIT_ASSERT(checker.violations().empty());
    checker.on_run("r1", make_run());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
  }

  void run_after_a_refusal_is_reported() {
    invariant_checker checker = make_checker();
    checker.on_sent(make_request(request_kind::unsafe));
    checker.on_response("r1", {.status = 503, .is_complete = true}, start);
    CPPUNIT_ASSERT(checker.violations().empty());
    checker.on_run("r1", make_run());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
  }

  void run_with_revoked_key_is_reported() {
    invariant_checker checker = make_checker();
    checker.on_revoked("k", start);
    checker.on_sent(make_request(request_kind::safe, start + seconds(4)));
    checker.on_run("r1", make_run());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
  }

  // Guards against a false violation: a suspended node held a request until its key was granted
  // again and then ran it (soak seed 244).
  void key_granted_again_is_no_violation() {
    invariant_checker checker = make_checker();
    checker.on_revoked("k", start);
    checker.on_sent(make_request(request_kind::safe, start + seconds(4)));
    checker.on_granted("k");
    checker.on_run("r1", make_run());
    CPPUNIT_ASSERT(checker.violations().empty());
    // A second revocation starts a new bound, which has not passed yet (soak seed 207).
    checker.on_revoked("k", start + seconds(5));
    checker.on_run("r1", make_run());
    CPPUNIT_ASSERT(checker.violations().empty());
  }

  void foreign_and_truncated_responses_are_reported() {
    invariant_checker checker = make_checker();
    checker.on_sent(make_request(request_kind::safe));
    checker.on_run("r1", make_run());
    checker.on_response("r1", success(response_body("r2")), start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
    invariant_checker streams = make_checker();
    streams.on_sent(make_request(request_kind::stream));
    streams.on_run("r1", make_run());
    streams.on_response("r1", success(stream_events("r1", 0, 3)), start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, streams.violations().size());
  }

  void missing_response_is_reported() {
    invariant_checker checker = make_checker();
    checker.on_sent(make_request(request_kind::safe));
    checker.check_deadlines(start + milliseconds(1900));
    CPPUNIT_ASSERT(checker.violations().empty());
    checker.check_deadlines(start + milliseconds(2100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
  }

  // Guards against nodes of two processes that bind the same address. The seeds are equal, so both
  // try the same addresses first, as server_ports with equal seeds return the same ports.
  void address_ranges_do_not_overlap() {
    boost::asio::io_context io;
    const deploy_test::loopback_range first(io, 1);
    const deploy_test::loopback_range second(io, 1);
    CPPUNIT_ASSERT(first.address(1) != second.address(1));
  }

  // Guards against a violation of any invariant under overlapping faults.
  void fixed_seeds_keep_all_invariants() {
    for (const std::uint64_t seed : {1U, 2U}) {
      const soak_result result = run_soak({.seed = seed, .length = seconds(8)});
      for (const violation& each : result.violations) {
        std::cout << "seed " << seed << " violated: " << each.invariant << ": " << each.id << " "
                  << each.detail << "\n";
      }
      std::cout << result.log_lines;
      CPPUNIT_ASSERT(result.violations.empty());
      CPPUNIT_ASSERT(result.served > 500);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_test);

}  // namespace
}  // namespace fuchsiaspring::soak
