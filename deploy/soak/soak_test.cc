// Tests of the invariant checker, and short soak runs with fixed seeds.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "deploy/loopback_range.h"
#include "deploy/soak/fleet_config.h"
#include "deploy/soak/replica_response.h"
#include "deploy/soak/soak_driver.h"
#include "platform/configuration.h"

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
  CPPUNIT_TEST(broken_off_stream_of_a_sound_replica_is_reported);
  CPPUNIT_TEST(stream_that_its_replica_or_link_broke_off_is_no_violation);
  CPPUNIT_TEST(stream_that_ends_with_its_node_is_no_violation);
  CPPUNIT_TEST(connection_lost_in_a_graceful_stop_is_reported);
  CPPUNIT_TEST(request_to_a_leaving_replica_is_reported);
  CPPUNIT_TEST(requests_before_the_end_of_retry_after_are_reported);
  CPPUNIT_TEST(paused_response_keeps_all_bytes);
  CPPUNIT_TEST(configuration_changes_keep_routes_and_keys_of_callers);
  CPPUNIT_TEST(address_ranges_do_not_overlap);
  CPPUNIT_TEST(fixed_seeds_keep_all_invariants);
  CPPUNIT_TEST_SUITE_END();

  static invariant_checker make_checker() {
    return invariant_checker({.revocation = seconds(3),
                              .response_timeout = {milliseconds(1300), milliseconds(1500)},
                              .stream_timeout = {milliseconds(5500), milliseconds(6000)}});
  }

  static sent_request make_request(request_kind kind, clock::time_point sent = start) {
    return {.id = "r1", .kind = kind, .key = "k", .team = "t", .node = 0, .sent = sent};
  }

  static observed_run make_run() {
    return {.replica = "i-1", .team = "t", .has_begun = true, .at = start};
  }

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

  // Ends the connection of request "r1" 2 s after it was sent and returns the number of violations.
  static std::size_t violations_after_lost_connection(invariant_checker& checker,
                                                      milliseconds after = seconds(2)) {
    checker.on_response("r1", {.status = 200}, start + after);
    return checker.violations().size();
  }

  // Guards against a node that gives up a stream whose replica pauses.
  void broken_off_stream_of_a_sound_replica_is_reported() {
    invariant_checker checker = make_checker();
    checker.on_sent(make_request(request_kind::stream));
    checker.on_run("r1", make_run());
    checker.on_run("r1", {.replica = "i-2", .team = "t", .end = run_end::failure, .at = start});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_after_lost_connection(checker));
    invariant_checker late = make_checker();
    late.on_sent(make_request(request_kind::stream));
    late.on_run("r1", make_run());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after_lost_connection(late, seconds(6)));
  }

  void stream_that_its_replica_or_link_broke_off_is_no_violation() {
    invariant_checker truncated = make_checker();
    truncated.on_sent(make_request(request_kind::stream));
    truncated.on_run("r1", {.replica = "i-1", .team = "t", .end = run_end::incomplete});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after_lost_connection(truncated));
    invariant_checker copied = make_checker();
    copied.on_sent(make_request(request_kind::stream));
    copied.on_run("r1", make_run());
    copied.on_run_disturbed("r1", "i-1");
    copied.on_run_disturbed("unknown", "i-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after_lost_connection(copied));
    invariant_checker not_begun = make_checker();
    not_begun.on_sent(make_request(request_kind::stream));
    not_begun.on_run("r1", {.replica = "i-1", .team = "t", .at = start});
    not_begun.on_stream_begun("r1", "i-2");
    not_begun.on_stream_begun("unknown", "i-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after_lost_connection(not_begun));
    not_begun.on_stream_begun("r1", "i-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_after_lost_connection(not_begun));
    invariant_checker disturbed = make_checker();
    disturbed.on_sent(make_request(request_kind::stream));
    disturbed.on_run("r1", make_run());
    disturbed.on_replica_disturbed("i-1", start + seconds(1), start + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after_lost_connection(disturbed));
    invariant_checker other_replica = make_checker();
    other_replica.on_sent(make_request(request_kind::stream));
    other_replica.on_run("r1", make_run());
    other_replica.on_replica_disturbed("i-2", start + seconds(1), start + seconds(3));
    other_replica.on_replica_disturbed("i-1", start - seconds(2), start - seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_after_lost_connection(other_replica));
  }

  void stream_that_ends_with_its_node_is_no_violation() {
    invariant_checker checker = make_checker();
    checker.on_sent(make_request(request_kind::stream));
    checker.on_run("r1", make_run());
    checker.on_node_disturbed(0, start + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after_lost_connection(checker));
    invariant_checker recovered = make_checker();
    recovered.on_node_disturbed(0, start - seconds(3));
    recovered.on_node_recovered(0, start - seconds(1));
    recovered.on_sent(make_request(request_kind::stream));
    recovered.on_run("r1", make_run());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_after_lost_connection(recovered));
  }

  void connection_lost_in_a_graceful_stop_is_reported() {
    for (const request_kind kind : {request_kind::safe, request_kind::stream}) {
      invariant_checker checker = make_checker();
      checker.on_sent(make_request(kind));
      checker.on_run("r1", make_run());
      checker.on_node_disturbed(0, start + milliseconds(2500));
      checker.on_graceful_stop(0, start + seconds(1), start + milliseconds(2500));
      CPPUNIT_ASSERT(violations_after_lost_connection(checker) > 0);
    }
    // Only a stream may last until the end of the grace period or end with the link to its replica.
    for (const request_kind kind : {request_kind::safe, request_kind::stream}) {
      invariant_checker reset = make_checker();
      reset.on_sent(make_request(kind));
      reset.on_run("r1", make_run());
      reset.on_graceful_stop(0, start + seconds(1), start + seconds(8));
      reset.on_replica_disturbed("i-1", start + seconds(1), start + milliseconds(1100));
      CPPUNIT_ASSERT_EQUAL(kind == request_kind::stream,
                           violations_after_lost_connection(reset) == 0);
      invariant_checker checker = make_checker();
      checker.on_sent(make_request(kind));
      checker.on_run("r1", make_run());
      checker.on_node_disturbed(0, start + milliseconds(1800));
      checker.on_graceful_stop(0, start + seconds(1), start + milliseconds(1800));
      CPPUNIT_ASSERT_EQUAL(kind == request_kind::stream,
                           violations_after_lost_connection(checker) == 0);
    }
  }

  // Guards against a node that sends to a replica which has stated that it leaves.
  void request_to_a_leaving_replica_is_reported() {
    const auto violations_after = [](milliseconds after, bool is_passed_on, bool is_restarted,
                                     const std::string& incarnation) {
      invariant_checker checker = make_checker();
      checker.on_sent(make_request(request_kind::safe));
      checker.on_run("r1", {.replica = "i-1", .incarnation = "i-1/1", .team = "t", .at = start});
      checker.on_leaving_stated("r1", "i-1/1");
      const observed_response refused{.status = 504, .is_complete = true};
      checker.on_response("r1", is_passed_on ? success(response_body("r1")) : refused, start);
      if (is_restarted) {
        checker.forget_statements_to(0);
      }
      sent_request next = make_request(request_kind::safe, start + after);
      next.id = "r2";
      checker.on_sent(next);
      checker.on_arrival("r2", incarnation, start + after);
      return checker.violations().size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         violations_after(milliseconds(2100), true, false, "i-1/1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         violations_after(milliseconds(1900), true, false, "i-1/1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         violations_after(milliseconds(2100), false, false, "i-1/1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after(milliseconds(2100), true, true, "i-1/1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         violations_after(milliseconds(2100), true, false, "i-1/2"));
  }

  // Guards against a node that goes on sending to a replica which has asked for a pause.
  void requests_before_the_end_of_retry_after_are_reported() {
    const auto violations_after = [](milliseconds after, int arrivals, std::size_t node,
                                     bool is_replica_disturbed) {
      invariant_checker checker = make_checker();
      checker.on_sent(make_request(request_kind::safe));
      checker.on_turned_away("r1", {.replica = "i-1",
                                    .incarnation = "i-1/1",
                                    .retry_after = milliseconds(1200),
                                    .at = start});
      if (is_replica_disturbed) {
        checker.on_replica_disturbed("i-1", start, start + milliseconds(1));
      }
      sent_request next = make_request(request_kind::safe, start);
      next.id = "r2";
      next.node = node;
      checker.on_sent(next);
      for (int i = 0; i < arrivals; ++i) {
        checker.on_arrival("r2", "i-1/1", start + after);
      }
      return checker.violations().size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_after(milliseconds(600), 4, 0, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after(milliseconds(600), 2, 0, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after(milliseconds(400), 4, 0, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after(milliseconds(1300), 4, 0, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after(milliseconds(600), 4, 1, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_after(milliseconds(600), 4, 0, true));
  }

  void paused_response_keeps_all_bytes() {
    base::random_source random(1);
    for (int i = 0; i < 500; ++i) {
      const replica_response response = make_success(i % 2 == 0, "r1", 0);
      std::vector<response_part> parts = split_into_parts(response, random);
      add_pause(parts, response.head().size(), longest_pause, random);
      std::string bytes;
      std::size_t pauses = 0;
      for (const response_part& each : parts) {
        bytes += each.bytes;
        pauses += each.pause_before == longest_pause ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(response.bytes(), bytes);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pauses);
    }
  }

  // Guards against changes that make requests of the callers invalid, which would hide violations.
  void configuration_changes_keep_routes_and_keys_of_callers() {
    base::random_source random(1);
    fleet_config config;
    for (int version = 1; version <= 500; ++version) {
      CPPUNIT_ASSERT(!change_config(config, random).empty());
      const std::string text = to_json(config, {{.team = "team-1", .key = "k"}}, version).dump();
      const routes::configuration decoded = platform::decode_configuration(text).value();
      const routes::route_table table(decoded);
      for (const char* path : {"/safe/1/item", "/once/1/item", "/stream/1/item"}) {
        const routes::route* route = table.find_route("h.example", path);
        CPPUNIT_ASSERT(route != nullptr);
        const bool is_stream = route->kind == routes::request_kind::stream;
        const timeout_range range = is_stream ? stream_timeouts : response_timeouts;
        CPPUNIT_ASSERT(route->timeout >= range.shortest && route->timeout <= range.longest);
        CPPUNIT_ASSERT_EQUAL(std::string(path).starts_with("/once/"), !route->is_idempotent());
      }
      CPPUNIT_ASSERT_EQUAL(std::string("team-1"), table.find_team("k")->name);
    }
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
