#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/routing/router.h"
#include "fuchsiaspring/routing/subset.h"

namespace fuchsiaspring::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{std::chrono::hours(1)};

router_config make_config(std::size_t upstreams, std::uint32_t limit = 16,
                          std::uint32_t cold_limit = 2) {
  router_config config;
  config.self = {"vm1", "a"};
  config.domains = {{"a", {"b", "c"}, false}, {"b", {"a", "c"}, false}, {"c", {"b", "a"}, false}};
  pool_config pool{"model", {}};
  for (std::size_t i = 0; i < upstreams; ++i) {
    pool.upstreams.push_back(
        {"up" + std::to_string(i), std::string(1, "abc"[i % 3]), limit, cold_limit, false});
  }
  config.pools.push_back(pool);
  return config;
}

// A router whose upstreams are warm, unless the cold limit is below the limit.
struct fixture {
  explicit fixture(const router_config& initial) : config(initial) { apply(); }

  void apply() {
    CPPUNIT_ASSERT(under_test.update(config, now).has_value());
    for (const upstream_config& each : config.pools[0].upstreams) {
      under_test.set_slot_share(each.name, each.limit);
    }
  }
  pick_result pick(std::uint64_t prefix = 0, std::vector<std::string> excluded = {}) {
    return under_test.pick({.pool = "model", .prefix_hash = prefix, .excluded = excluded}, now,
                           random);
  }
  std::string picked_name(std::uint64_t prefix = 0, std::vector<std::string> excluded = {}) {
    const pick_result result = pick(prefix, std::move(excluded));
    const auto* chosen = std::get_if<choice>(&result);
    return chosen == nullptr ? "" : chosen->upstream;
  }
  refusal_reason refusal(std::vector<std::string> excluded = {}) {
    return std::get<refusal_reason>(pick(0, std::move(excluded)));
  }
  void complete_requests(const std::string& upstream, milliseconds first_token_time,
                         int count = 1) {
    for (int i = 0; i < count; ++i) {
      under_test.on_dispatch(upstream, now);
      under_test.on_first_token(upstream, {.elapsed = first_token_time, .prompt_tokens = 100}, now);
      under_test.on_finish(upstream, now);
    }
  }
  void fail_requests(const std::string& upstream, failure_kind kind, int count) {
    for (int i = 0; i < count; ++i) {
      under_test.on_dispatch(upstream, now);
      under_test.on_failure(upstream, kind, now);
    }
  }
  std::map<std::string, int> pick_counts(int picks, std::uint64_t prefix = 0) {
    std::map<std::string, int> result;
    for (int i = 0; i < picks; ++i) {
      ++result[picked_name(prefix)];
    }
    return result;
  }

  router_config config;
  router under_test;
  base::time_point now = start;
  base::random_source random{7};
};

class routing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(routing_test);
  CPPUNIT_TEST(bound_is_never_exceeded);
  CPPUNIT_TEST(running_requests_are_kept_across_updates);
  CPPUNIT_TEST(out_of_service_mark_stops_requests_and_return_is_cold);
  CPPUNIT_TEST(nearest_domain_first_with_spill_over);
  CPPUNIT_TEST(retry_avoids_the_upstream_tried_before);
  CPPUNIT_TEST(load_report_loses_weight_with_age);
  CPPUNIT_TEST(overtaken_load_report_is_ignored);
  CPPUNIT_TEST(load_outweighs_affinity);
  CPPUNIT_TEST(late_cache_event_is_ignored_and_lost_ones_weaken_affinity);
  CPPUNIT_TEST(ejection_is_capped);
  CPPUNIT_TEST(fast_failures_do_not_attract_requests_under_the_cap);
  CPPUNIT_TEST(ramp_doubles_by_finished_steps);
  CPPUNIT_TEST(unannounced_cold_start_is_detected);
  CPPUNIT_TEST(overdue_first_tokens_show_a_cold_start);
  CPPUNIT_TEST(long_prompts_do_not_count_as_cold_start);
  CPPUNIT_TEST(reported_cold_start_holds_the_first_step);
  CPPUNIT_TEST(cold_notice_overrides_an_older_raise);
  CPPUNIT_TEST(idle_vm_follows_the_ramp_of_others);
  CPPUNIT_TEST(leaving_upstream_gets_no_requests);
  CPPUNIT_TEST(subset_is_stable_and_agrees_with_users);
  CPPUNIT_TEST_SUITE_END();

  // Guards against more requests in flight than this VM's share and the ramp step allow.
  void bound_is_never_exceeded() {
    fixture f(make_config(3, 4, 4));
    f.under_test.set_slot_share("up0", 2);
    CPPUNIT_ASSERT_EQUAL(10U, f.under_test.free_slots("model", f.now));
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(!f.under_test.check_capacity({.pool = "model"}, f.now));
      f.under_test.on_dispatch(f.picked_name(), f.now);
    }
    CPPUNIT_ASSERT(f.refusal() == refusal_reason::upstreams_busy);
    CPPUNIT_ASSERT(f.under_test.check_capacity({.pool = "model"}, f.now) ==
                   refusal_reason::upstreams_busy);
    f.under_test.set_slot_share("up0", 1);
    f.under_test.on_finish("up0", f.now);
    CPPUNIT_ASSERT(f.refusal() == refusal_reason::upstreams_busy);
    CPPUNIT_ASSERT(std::get<refusal_reason>(f.under_test.pick({.pool = "x"}, f.now, f.random)) ==
                   refusal_reason::unknown_pool);
  }

  // Guards against overload of an upstream that returns to the configuration with old requests
  // still running.
  void running_requests_are_kept_across_updates() {
    fixture f(make_config(1, 4, 4));
    f.under_test.on_dispatch("up0", f.now);
    f.under_test.on_dispatch("up0", f.now);
    const auto saved = f.config.pools[0].upstreams;
    f.config.pools[0].upstreams.clear();
    f.apply();
    CPPUNIT_ASSERT(f.refusal() == refusal_reason::no_upstream);
    f.under_test.on_finish("up0", f.now);
    f.config.pools[0].upstreams = saved;
    f.apply();
    CPPUNIT_ASSERT_EQUAL(1U, f.under_test.status("model", f.now)[0].in_flight);
    f.config.pools[0].upstreams.push_back(saved[0]);
    CPPUNIT_ASSERT(!f.under_test.update(f.config, f.now).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.under_test.status("model", f.now).size());
  }

  // Guards against requests to an upstream out of service, and full load right after its return.
  void out_of_service_mark_stops_requests_and_return_is_cold() {
    fixture f(make_config(3));
    for (int round = 0; round < 3; ++round) {
      f.complete_requests("up0", milliseconds(100), 16);
    }
    CPPUNIT_ASSERT_EQUAL(16U, f.under_test.ramp_limit("up0"));
    f.config.domains[0].out_of_service = true;
    f.apply();
    CPPUNIT_ASSERT(f.under_test.own_domain_out_of_service());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.pick_counts(100).count("up0"));
    f.config.domains[1].out_of_service = true;
    f.config.domains[2].out_of_service = true;
    f.apply();
    CPPUNIT_ASSERT(f.refusal() == refusal_reason::domain_out_of_service);
    f.config = make_config(3);
    f.apply();
    CPPUNIT_ASSERT_EQUAL(2U, f.under_test.ramp_limit("up0"));
  }

  // Guards against requests that leave the nearest domain while it has room, or stay when it is
  // full.
  void nearest_domain_first_with_spill_over() {
    fixture f(make_config(6, 10, 10));
    for (int i = 0; i < 16; ++i) {
      const auto result = std::get<choice>(f.pick());
      CPPUNIT_ASSERT(!result.spill_over);
      f.under_test.on_dispatch(result.upstream, f.now);
    }
    int spilled = 0;
    for (int i = 0; i < 8; ++i) {
      const auto result = std::get<choice>(f.pick());
      spilled += result.spill_over ? 1 : 0;
      f.under_test.on_dispatch(result.upstream, f.now);
    }
    CPPUNIT_ASSERT(spilled >= 4);
  }

  // Guards against retries at the upstream that failed, except where it is the only one.
  void retry_avoids_the_upstream_tried_before() {
    fixture f(make_config(2, 4, 4));
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("up1"), f.picked_name(0, {"up0"}));
    }
    CPPUNIT_ASSERT(f.refusal({"up0", "up1"}) == refusal_reason::no_upstream);
    f.config.pools[0].upstreams[1].out_of_service = true;
    f.apply();
    CPPUNIT_ASSERT_EQUAL(std::string("up0"), f.picked_name(0, {"up0"}));
  }

  // Guards against choices by an outdated load report.
  void load_report_loses_weight_with_age() {
    fixture f(make_config(1, 10, 10));
    f.under_test.on_load_report("up0", {.running = 8}, milliseconds(0), f.now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, f.under_test.status("model", f.now)[0].load, 1e-6);
    f.now += seconds(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, f.under_test.status("model", f.now)[0].load, 1e-6);
    f.under_test.on_dispatch("up0", f.now);
    f.under_test.on_load_report("up0", {.running = 8}, seconds(2), f.now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, f.under_test.status("model", f.now)[0].load, 1e-6);
  }

  // Guards against an older load report that arrives later and replaces a newer one.
  void overtaken_load_report_is_ignored() {
    fixture f(make_config(1, 10, 10));
    f.under_test.on_load_report("up0", {.running = 2}, milliseconds(100), f.now);
    f.under_test.on_load_report("up0", {.running = 10, .draining = true}, seconds(5), f.now);
    CPPUNIT_ASSERT(!f.under_test.status("model", f.now)[0].leaving);
    CPPUNIT_ASSERT(f.under_test.status("model", f.now)[0].load < 0.2);
  }

  // Guards against hot spots at the upstreams that hold popular prefixes.
  void load_outweighs_affinity() {
    fixture f(make_config(4, 10, 10));
    f.under_test.on_dispatch("up3", f.now, 77);
    CPPUNIT_ASSERT_EQUAL(50, f.pick_counts(50, 77)["up3"]);
    CPPUNIT_ASSERT(std::get<choice>(f.pick(77)).affinity);
    f.under_test.on_load_report("up3", {.running = 8}, milliseconds(0), f.now);
    CPPUNIT_ASSERT_EQUAL(0, f.pick_counts(50, 77)["up3"]);
  }

  // Guards against a late cache event that undoes a newer one, and full affinity after lost events.
  void late_cache_event_is_ignored_and_lost_ones_weaken_affinity() {
    using kind = cache_event::kind;
    fixture f(make_config(4, 10, 10));
    f.under_test.on_cache_event("up0", {kind::stored, 5, 10}, f.now);
    f.under_test.on_cache_event("up0", {kind::evicted, 5, 9}, f.now);
    f.under_test.on_load_report("up0", {.running = 2}, milliseconds(0), f.now);
    CPPUNIT_ASSERT_EQUAL(50, f.pick_counts(50, 5)["up0"]);
    f.under_test.on_cache_event("up0", {kind::stored, 6, 20}, f.now);
    CPPUNIT_ASSERT(f.pick_counts(200, 5)["up0"] < 200);
    f.under_test.on_cache_event("up0", {kind::cleared, 0, 21}, f.now);
    f.under_test.on_load_report("up0", {.running = 8}, milliseconds(0), f.now);
    CPPUNIT_ASSERT_EQUAL(0, f.pick_counts(50, 6)["up0"]);
  }

  // Guards against a total failure that ejects more than 30% of the upstreams.
  void ejection_is_capped() {
    fixture f(make_config(10, 4, 4));
    for (int i = 0; i < 10; ++i) {
      f.fail_requests("up" + std::to_string(i), failure_kind::server_error, 10);
    }
    const auto ejected = [&] {
      const auto all = f.under_test.status("model", f.now);
      return std::ranges::count_if(all, &upstream_status::ejected);
    };
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, ejected());
    for (std::size_t i = 3; i < 10; ++i) {
      f.config.pools[0].upstreams[i].out_of_service = true;
    }
    f.apply();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, ejected());
    CPPUNIT_ASSERT(!f.picked_name().empty());
  }

  // In a pool of two the cap forbids ejection; an upstream that fails immediately has a low load.
  void fast_failures_do_not_attract_requests_under_the_cap() {
    fixture f(make_config(2, 10, 10));
    f.fail_requests("up0", failure_kind::server_error, 5);
    for (int i = 0; i < 8; ++i) {
      f.under_test.on_dispatch("up1", f.now);
    }
    CPPUNIT_ASSERT_EQUAL(50, f.pick_counts(50)["up1"]);
  }

  // Guards against a ramp that rises before a step's worth of requests has finished.
  void ramp_doubles_by_finished_steps() {
    fixture f(make_config(1));
    for (const std::uint32_t step : {2U, 4U, 8U, 16U}) {
      CPPUNIT_ASSERT_EQUAL(step, f.under_test.ramp_limit("up0"));
      CPPUNIT_ASSERT_EQUAL(step, f.under_test.free_slots("model", f.now));
      f.complete_requests("up0", milliseconds(100), static_cast<int>(step));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.under_test.take_notices().size());
  }

  // Guards against full load on an upstream that turns cold without a report of it.
  void unannounced_cold_start_is_detected() {
    fixture f(make_config(1));
    f.complete_requests("up0", milliseconds(100), 40);
    f.under_test.take_notices();
    f.complete_requests("up0", milliseconds(600), 2);
    CPPUNIT_ASSERT_EQUAL(16U, f.under_test.ramp_limit("up0"));
    f.complete_requests("up0", milliseconds(600), 1);
    CPPUNIT_ASSERT_EQUAL(2U, f.under_test.ramp_limit("up0"));
    const auto notices = f.under_test.take_notices();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
    CPPUNIT_ASSERT(notices[0].cold && notices[0].ramp_limit == 2);
    f.complete_requests("up0", milliseconds(600), 30);
    CPPUNIT_ASSERT_EQUAL(2U, f.under_test.ramp_limit("up0"));
    f.complete_requests("up0", milliseconds(110), 20);
    CPPUNIT_ASSERT(f.under_test.ramp_limit("up0") >= 8U);
  }

  // A cold upstream that takes a minute for the first token must not get full load for a minute.
  void overdue_first_tokens_show_a_cold_start() {
    fixture f(make_config(1));
    CPPUNIT_ASSERT(!f.under_test.first_token_overdue_after("up0", 100));
    f.complete_requests("up0", milliseconds(100), 40);
    const auto limit = f.under_test.first_token_overdue_after("up0", 100);
    CPPUNIT_ASSERT(limit && *limit > milliseconds(400) && *limit < milliseconds(600));
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(16U, f.under_test.ramp_limit("up0"));
      f.under_test.on_dispatch("up0", f.now);
      f.under_test.on_first_token_overdue("up0", f.now);
    }
    CPPUNIT_ASSERT_EQUAL(2U, f.under_test.ramp_limit("up0"));
  }

  // Guards against a ramp reset by the first-token times of long prompts.
  void long_prompts_do_not_count_as_cold_start() {
    fixture f(make_config(1));
    f.complete_requests("up0", milliseconds(100), 40);
    for (int i = 0; i < 20; ++i) {
      f.under_test.on_dispatch("up0", f.now);
      f.under_test.on_first_token("up0", {.elapsed = seconds(3), .prompt_tokens = 30000}, f.now);
      f.under_test.on_finish("up0", f.now);
    }
    CPPUNIT_ASSERT_EQUAL(16U, f.under_test.ramp_limit("up0"));
  }

  // Guards against a rising ramp while the upstream reports itself as cold.
  void reported_cold_start_holds_the_first_step() {
    fixture f(make_config(1));
    f.complete_requests("up0", milliseconds(100), 40);
    f.under_test.on_load_report("up0", {.started_at = 1}, seconds(0), f.now);
    f.under_test.on_load_report("up0", {.cold = true, .started_at = 1}, seconds(0), f.now);
    f.complete_requests("up0", milliseconds(100), 40);
    CPPUNIT_ASSERT_EQUAL(2U, f.under_test.ramp_limit("up0"));
    f.under_test.on_load_report("up0", {.started_at = 1}, seconds(0), f.now);
    f.complete_requests("up0", milliseconds(100), 40);
    CPPUNIT_ASSERT_EQUAL(16U, f.under_test.ramp_limit("up0"));
    f.under_test.on_load_report("up0", {.started_at = 2}, seconds(0), f.now);
    CPPUNIT_ASSERT_EQUAL(2U, f.under_test.ramp_limit("up0"));
  }

  // A raise that was sent before the cold start may arrive after the notice of it.
  void cold_notice_overrides_an_older_raise() {
    fixture f(make_config(1));
    f.complete_requests("up0", milliseconds(100), 40);
    f.under_test.on_notice({.upstream = "up0", .cold = true, .ramp_limit = 2}, f.now);
    f.now += milliseconds(200);
    f.under_test.on_notice({.upstream = "up0", .ramp_limit = 16}, f.now);
    CPPUNIT_ASSERT_EQUAL(2U, f.under_test.ramp_limit("up0"));
    f.now += seconds(2);
    f.under_test.on_notice({.upstream = "up0", .ramp_limit = 16}, f.now);
    CPPUNIT_ASSERT_EQUAL(4U, f.under_test.ramp_limit("up0"));
    CPPUNIT_ASSERT(f.under_test.take_notices().size() == 3);  // from the first ramp only
  }

  // Guards against a VM without a share at the first step that stays there when others have passed
  // it.
  void idle_vm_follows_the_ramp_of_others() {
    fixture f(make_config(1));
    f.under_test.set_slot_share("up0", 0);
    for (int i = 0; i < 9; ++i) {
      f.now += milliseconds(500);
      f.under_test.on_load_report("up0", {.running = 16}, milliseconds(0), f.now);
    }
    CPPUNIT_ASSERT_EQUAL(16U, f.under_test.ramp_limit("up0"));
  }

  // Guards against requests to a draining upstream, whether noticed by a failure, notice or report.
  void leaving_upstream_gets_no_requests() {
    fixture f(make_config(3, 4, 4));
    f.fail_requests("up0", failure_kind::draining, 1);
    f.under_test.on_notice({.upstream = "up1", .leaving = true}, f.now);
    f.under_test.on_load_report("up2", {.draining = true}, seconds(0), f.now);
    CPPUNIT_ASSERT(f.refusal() == refusal_reason::no_upstream);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.under_test.take_notices().size());
    f.under_test.on_load_report("up2", {}, seconds(0), f.now + seconds(1));
    CPPUNIT_ASSERT(f.refusal() == refusal_reason::no_upstream);
    f.now += seconds(7);
    f.under_test.on_load_report("up2", {}, seconds(0), f.now);
    CPPUNIT_ASSERT_EQUAL(std::string("up2"), f.picked_name());
  }

  // All nodes must compute the same users, or the shares do not add up to the limit.
  void subset_is_stable_and_agrees_with_users() {
    router_config config = make_config(40);
    std::vector<vm_identity> vms;
    for (int i = 0; i < 50; ++i) {
      vms.push_back({"vm" + std::to_string(i), std::string(1, "abc"[i % 3])});
    }
    const auto users = users_by_upstream(config, config.pools[0], vms);
    std::size_t total = 0;
    for (std::size_t i = 0; i < users.size(); ++i) {
      total += users[i].size();
      for (const std::string& vm : users[i]) {
        const auto found = std::ranges::find(vms, vm, &vm_identity::name);
        const auto subset = choose_subset(config, config.pools[0], *found);
        CPPUNIT_ASSERT(std::ranges::find(subset, i) != subset.end());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{50 * 16}, total);
    const auto before = choose_subset(config, config.pools[0], vms[0]);
    config.pools[0].upstreams[before[0]].out_of_service = true;
    CPPUNIT_ASSERT(before == choose_subset(config, config.pools[0], vms[0]));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);

}  // namespace
}  // namespace fuchsiaspring::routing
