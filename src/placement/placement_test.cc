#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/placement/placer.h"

namespace fuchsiaspring::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};

const service_profile engine{.name = "model",
                             .cold_start = seconds(3),
                             .cold_requests_per_s = 10,
                             .is_engine = true,
                             .can_fetch = false};
const service_profile plain{.name = "app"};

replica make_replica(const std::string& id, const std::string& service, const std::string& domain) {
  return {.id = id,
          .service = service,
          .address = "10.0.0.1:80",
          .failure_domain = domain,
          .slots = 64,
          .started_at_ms = 1};
}

request_profile long_prompt(std::uint64_t prefix_id, std::uint64_t unique_part) {
  return {.service = "model",
          .prompt = {{1, 2500}, {prefix_id, 3800}, {unique_part, 2900}},
          .prompt_tokens = 9200,
          .body_bytes = 18000,
          .is_long_prompt = true};
}

class placement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(placement_test);
  CPPUNIT_TEST(request_returns_to_the_replica_that_cached_its_prefix);
  CPPUNIT_TEST(long_prompt_is_not_placed_behind_a_prefill);
  CPPUNIT_TEST(prefills_of_other_nodes_count_like_own_ones);
  CPPUNIT_TEST(draining_and_evacuated_replicas_get_no_requests);
  CPPUNIT_TEST(cold_replica_gets_no_more_than_its_rate_over_all_nodes);
  CPPUNIT_TEST(started_nodes_do_not_overload_a_cold_replica_before_they_know_each_other);
  CPPUNIT_TEST(restarted_replica_is_cold_and_has_no_cache);
  CPPUNIT_TEST(replaced_replica_gets_no_more_requests);
  CPPUNIT_TEST(address_belongs_to_the_replica_that_was_started_last);
  CPPUNIT_TEST(unreachable_replica_is_tried_after_its_backoff);
  CPPUNIT_TEST(failing_replicas_are_ejected_up_to_half);
  CPPUNIT_TEST(slow_replica_gets_fewer_requests);
  CPPUNIT_TEST(home_regions_restrict_the_choice);
  CPPUNIT_TEST(prefix_is_not_fetched_from_another_region);
  CPPUNIT_TEST_SUITE_END();

  static placer make_placer(const std::vector<replica>& replicas, const std::string& vm = "vm-1") {
    placer made({.vm = vm,
                 .failure_domain = "a",
                 .region_of_domain = {{"a", "r1"}, {"b", "r1"}, {"c", "r2"}}});
    const std::vector<service_profile> services{engine, plain};
    made.update(services, replicas, {}, start);
    return made;
  }

  static choice must_choose(placer& from, const request_profile& request, base::time_point now) {
    const decision decided = from.choose(request, now);
    CPPUNIT_ASSERT(std::holds_alternative<choice>(decided));
    return std::get<choice>(decided);
  }

  // Guards against shared prompt parts that every replica computes again.
  void request_returns_to_the_replica_that_cached_its_prefix() {
    placer p = make_placer({make_replica("m1", "model", "a"), make_replica("m2", "model", "a"),
                            make_replica("m3", "model", "b")});
    std::map<std::uint64_t, std::set<std::string>> used;
    base::time_point now = start;
    for (int i = 0; i < 60; ++i) {
      const std::uint64_t prefix_id = 10 + static_cast<std::uint64_t>(i) % 6;
      const request_profile request = long_prompt(prefix_id, 1000 + static_cast<std::uint64_t>(i));
      const choice chosen = must_choose(p, request, now);
      used[prefix_id].insert(chosen.replica_id);
      p.on_dispatch(chosen.replica_id, request, chosen, now);
      now += milliseconds(100);
      p.on_first_event(chosen.replica_id, chosen, milliseconds(90), now);
      p.on_end(chosen.replica_id, chosen, outcome::answered, true, now);
    }
    for (const auto& [prefix_id, replicas] : used) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas.size());
    }
  }

  // Guards against long prompts that pile up on one replica and delay its streams.
  void long_prompt_is_not_placed_behind_a_prefill() {
    placer p = make_placer({make_replica("m1", "model", "a"), make_replica("m2", "model", "a")});
    const request_profile first = long_prompt(10, 1000);
    const choice first_choice = must_choose(p, first, start);
    p.on_dispatch(first_choice.replica_id, first, first_choice, start);
    const choice second_choice = must_choose(p, long_prompt(10, 1001), start);
    CPPUNIT_ASSERT(first_choice.replica_id != second_choice.replica_id);
    p.on_dispatch(second_choice.replica_id, first, second_choice, start);
    const decision third_decision = p.choose(long_prompt(11, 1002), start);
    CPPUNIT_ASSERT(std::get<no_choice_reason>(third_decision) == no_choice_reason::all_busy);
    p.on_first_event(first_choice.replica_id, first_choice, milliseconds(100),
                     start + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(
        first_choice.replica_id,
        must_choose(p, long_prompt(11, 1002), start + milliseconds(100)).replica_id);
  }

  // Guards against several nodes that pick the same idle replica.
  void prefills_of_other_nodes_count_like_own_ones() {
    placer p = make_placer({make_replica("m1", "model", "a"), make_replica("m2", "model", "b")});
    const std::vector<remote_load> busy{{hash_replica_id("m1"), 1, 9000}};
    p.set_remote_load("vm-2", busy);
    CPPUNIT_ASSERT_EQUAL(std::string("m2"), must_choose(p, long_prompt(1, 2), start).replica_id);
    p.set_remote_load("vm-2", {});
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), must_choose(p, long_prompt(1, 2), start).replica_id);
  }

  // Guards against new requests to replicas that are shutting down or in an evacuated domain.
  void draining_and_evacuated_replicas_get_no_requests() {
    std::vector<replica> replicas{make_replica("m1", "model", "a"),
                                  make_replica("m2", "model", "b")};
    replicas[0].is_draining = true;
    placer p({.vm = "vm-1", .failure_domain = "a"});
    const std::vector<service_profile> services{engine};
    p.update(services, replicas, {"b"}, start);
    CPPUNIT_ASSERT(std::get<no_choice_reason>(p.choose(long_prompt(1, 2), start)) ==
                   no_choice_reason::no_replica);
    CPPUNIT_ASSERT(!p.is_eligible("m1", long_prompt(1, 2), start));
    CPPUNIT_ASSERT(!p.is_eligible("m2", long_prompt(1, 2), start));
    p.update(services, replicas, {}, start);
    CPPUNIT_ASSERT_EQUAL(std::string("m2"), must_choose(p, long_prompt(1, 2), start).replica_id);
  }

  // Guards against a cold replica that is overloaded because every node sends at its full rate.
  void cold_replica_gets_no_more_than_its_rate_over_all_nodes() {
    const std::vector<std::string> vms{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"};
    replica cold = make_replica("m1", "model", "a");
    cold.cold_remaining = seconds(3);
    std::vector<placer> nodes;
    for (const std::string& vm : vms) {
      nodes.push_back(make_placer({cold}, vm));
      nodes.back().set_nodes(vms);
    }
    int sent = 0;
    for (int ms = 0; ms < 1000; ms += 5) {
      const base::time_point now = start + milliseconds(ms);
      for (placer& each : nodes) {
        const request_profile request{.service = "model", .prompt_tokens = 100};
        const decision decided = each.choose(request, now);
        if (const auto* chosen = std::get_if<choice>(&decided)) {
          ++sent;
          each.on_dispatch(chosen->replica_id, request, *chosen, now);
          each.on_end(chosen->replica_id, *chosen, outcome::answered, false, now);
        }
      }
    }
    CPPUNIT_ASSERT(sent >= 5);
    CPPUNIT_ASSERT(sent <= 20);  // 10 per second, overshoot 1.5, slack 5
  }

  // Guards against a restart of the whole fleet: each node took itself for the only one and sent a
  // cold replica the whole rate.
  void started_nodes_do_not_overload_a_cold_replica_before_they_know_each_other() {
    replica cold = make_replica("m1", "model", "a");
    cold.cold_remaining = seconds(3);
    std::vector<std::string> vms;
    std::vector<placer> nodes;
    for (int i = 0; i < 60; ++i) {
      vms.push_back("vm-" + std::to_string(i));
      nodes.push_back(make_placer({cold}, vms.back()));
      nodes.back().set_nodes({vms.back()});
      nodes.back().hold_cold_replicas_until(start + seconds(2));
    }
    int sent = 0;
    for (int elapsed_ms = 0; elapsed_ms < 3000; elapsed_ms += 10) {
      const base::time_point now = start + milliseconds(elapsed_ms);
      for (placer& node : nodes) {
        if (elapsed_ms == 1500) {
          node.set_nodes(vms);
        }
        const request_profile request{.service = "model", .prompt_tokens = 100};
        const decision decided = node.choose(request, now);
        sent += std::holds_alternative<choice>(decided) ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(sent >= 1);
    CPPUNIT_ASSERT(sent <= 20);  // 10 per second, overshoot 1.5, slack 5
  }

  // Guards against full load on a restarted replica, and prefixes that are expected in its empty
  // cache.
  void restarted_replica_is_cold_and_has_no_cache() {
    replica entry = make_replica("m1", "model", "a");
    placer p = make_placer({entry});
    const request_profile request = long_prompt(1, 2);
    const choice first = must_choose(p, request, start);
    p.on_dispatch("m1", request, first, start);
    p.on_end("m1", first, outcome::answered, false, start);
    CPPUNIT_ASSERT(must_choose(p, request, start).cached_tokens > 0);
    entry.started_at_ms = 2;
    const std::vector<service_profile> services{engine};
    p.update(services, std::vector<replica>{entry}, {}, start);
    CPPUNIT_ASSERT(p.status(start)[0].is_cold);
    const decision decided = p.choose(request, start + seconds(1));
    CPPUNIT_ASSERT_EQUAL(0U, std::get<choice>(decided).cached_tokens);
  }

  // Guards against requests that go on to be sent to a crashed replica, whose address a new one
  // has, until the old entry expires.
  void replaced_replica_gets_no_more_requests() {
    placer p = make_placer({make_replica("m1", "model", "a"), make_replica("m2", "model", "b")});
    const request_profile request{.service = "model", .prompt_tokens = 100};
    const choice chosen = must_choose(p, request, start);
    p.on_dispatch(chosen.replica_id, request, chosen, start);
    p.on_end(chosen.replica_id, chosen, outcome::replaced, false, start);
    for (int i = 0; i < 40; ++i) {
      const choice next = must_choose(p, request, start + milliseconds(100 * i));
      CPPUNIT_ASSERT(next.replica_id != chosen.replica_id);
    }
  }

  // Guards against requests to a replaced replica whose entry is still listed.
  void address_belongs_to_the_replica_that_was_started_last() {
    replica old = make_replica("m1", "model", "a");
    replica replacement = make_replica("m2", "model", "a");
    replica other = make_replica("m3", "model", "b");
    replacement.started_at_ms = 2;
    other.address = "10.0.0.9:80";
    placer p = make_placer({old, replacement, other});
    CPPUNIT_ASSERT(!p.is_eligible("m1", long_prompt(1, 2), start));
    CPPUNIT_ASSERT(p.is_eligible("m2", long_prompt(1, 2), start));
    CPPUNIT_ASSERT(p.is_eligible("m3", long_prompt(1, 2), start));
  }

  // Guards against requests that fail at an unreachable replica, and against one that is never
  // tried again.
  void unreachable_replica_is_tried_after_its_backoff() {
    placer p = make_placer({make_replica("p1", "app", "a"), make_replica("p2", "app", "a")});
    const request_profile request{.service = "app"};
    const choice chosen = must_choose(p, request, start);
    p.on_dispatch(chosen.replica_id, request, chosen, start);
    p.on_end(chosen.replica_id, chosen, outcome::not_connected, false, start);
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(must_choose(p, request, start).replica_id != chosen.replica_id);
    }
    request_profile excluding = request;
    excluding.excluded = {chosen.replica_id == "p1" ? "p2" : "p1"};
    CPPUNIT_ASSERT_EQUAL(chosen.replica_id,
                         must_choose(p, excluding, start + seconds(2)).replica_id);
  }

  // Guards against a failing replica that keeps its share of requests, and against a fault
  // elsewhere that ejects every replica.
  void failing_replicas_are_ejected_up_to_half() {
    placer p = make_placer({make_replica("p1", "app", "a"), make_replica("p2", "app", "a"),
                            make_replica("p3", "app", "a"), make_replica("p4", "app", "a")});
    const request_profile request{.service = "app"};
    base::time_point now = start;
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(10);
      const choice chosen = must_choose(p, request, now);
      p.on_dispatch(chosen.replica_id, request, chosen, now);
      const bool is_bad = chosen.replica_id == "p1";
      p.on_first_event(chosen.replica_id, chosen, milliseconds(15), now);
      p.on_end(chosen.replica_id, chosen, is_bad ? outcome::server_error : outcome::answered, true,
               now);
    }
    std::size_t ejected = 0;
    for (const replica_status& each : p.status(now)) {
      ejected += each.is_ejected ? 1 : 0;
      CPPUNIT_ASSERT(!each.is_ejected || each.id == "p1");
    }
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(10);
      const choice chosen = must_choose(p, request, now);
      p.on_dispatch(chosen.replica_id, request, chosen, now);
      p.on_end(chosen.replica_id, chosen, outcome::server_error, true, now);
      ejected = 0;
      for (const replica_status& each : p.status(now)) {
        ejected += each.is_ejected ? 1 : 0;
      }
      CPPUNIT_ASSERT(ejected <= 2);
    }
  }

  // Guards against a replica that is slow but healthy and keeps its share of requests.
  void slow_replica_gets_fewer_requests() {
    placer p = make_placer({make_replica("p1", "app", "a"), make_replica("p2", "app", "a")});
    const request_profile request{.service = "app"};
    std::map<std::string, int> sent;
    base::time_point now = start;
    for (int i = 0; i < 300; ++i) {
      now += milliseconds(20);
      const choice chosen = must_choose(p, request, now);
      ++sent[chosen.replica_id];
      p.on_dispatch(chosen.replica_id, request, chosen, now);
      p.on_first_event(chosen.replica_id, chosen,
                       milliseconds(chosen.replica_id == "p1" ? 120 : 15), now);
      p.on_end(chosen.replica_id, chosen, outcome::answered, true, now);
    }
    CPPUNIT_ASSERT(sent["p1"] * 4 < sent["p2"]);
  }

  // Guards against requests that leave the regions they are restricted to.
  void home_regions_restrict_the_choice() {
    placer p = make_placer({make_replica("p1", "app", "a"), make_replica("p2", "app", "c")});
    request_profile request{.service = "app", .home_regions = base::region_limit::only({"r2"})};
    CPPUNIT_ASSERT_EQUAL(std::string("p2"), must_choose(p, request, start).replica_id);
    for (const auto& unserved : {base::region_limit::only({"r3"}), base::region_limit::only({})}) {
      request.home_regions = unserved;
      CPPUNIT_ASSERT(!p.has_region(unserved));
      CPPUNIT_ASSERT(!p.is_eligible("p1", request, start));
      CPPUNIT_ASSERT(std::get<no_choice_reason>(p.choose(request, start)) ==
                     no_choice_reason::no_replica);
    }
  }

  // Guards against a replica outside the permitted regions that is told the parts of a prompt.
  void prefix_is_not_fetched_from_another_region() {
    service_profile fetching = engine;
    fetching.can_fetch = true;
    fetching.link_mbps = 100'000;
    fetching.kv_bytes_per_token = 1000;
    placer p({.vm = "vm-1", .failure_domain = "a", .region_of_domain = {{"a", "r1"}, {"c", "r2"}}});
    const std::vector<service_profile> services{fetching};
    const std::vector<replica> replicas{make_replica("near", "model", "a"),
                                        make_replica("far", "model", "c")};
    p.update(services, replicas, {}, start);
    const base::time_point now = start + seconds(10);
    request_profile request = long_prompt(2, 3);
    request.home_regions = base::region_limit::only({"r2"});
    const choice first = must_choose(p, request, now);
    p.on_dispatch("far", request, first, now);
    p.on_end("far", first, outcome::answered, true, now);
    request = long_prompt(2, 4);
    request.home_regions = base::region_limit::only({"r1"});
    CPPUNIT_ASSERT(!must_choose(p, request, now).fetch_from);
    request.home_regions = {};
    request.excluded = {"far"};
    CPPUNIT_ASSERT(must_choose(p, request, now).fetch_from);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

}  // namespace
}  // namespace fuchsiaspring::placement
