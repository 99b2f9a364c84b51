#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaspring/node/scheduler.h"

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};

routes::configuration make_config() {
  routes::configuration config;
  config.version = 1;
  routes::route urgent;
  urgent.name = "ask";
  urgent.kind = routes::request_kind::stream;
  urgent.timeout = seconds(15);
  urgent.latency_target = milliseconds(600);
  urgent.priority = 0;
  urgent.services = {{"model", 1}};
  routes::route bulk = urgent;
  bulk.name = "digest";
  bulk.timeout = seconds(6);
  bulk.priority = 1;
  config.routes = {urgent, bulk};
  routes::service model{.name = "model"};
  model.engine = routes::engine_limits{.slots = 2};
  config.services = {model};
  config.teams = {{.name = "large", .api_keys = {"k1"}}, {.name = "small", .api_keys = {"k2"}}};
  return config;
}

placement::replica make_replica(const std::string& id) {
  return {
      .id = id, .service = "model", .address = "10.0.0.1:80", .failure_domain = "a", .slots = 2};
}

admission_request make_request(const std::string& id, const std::string& route,
                               const std::string& team) {
  admission_request request;
  request.id = id;
  request.group = request_group(make_config().routes[route == "ask" ? 0 : 1]);
  request.urgency = route == "ask" ? routes::urgency{0, 0} : routes::urgency{1, 1};
  request.team = team;
  request.profile = {.service = "model", .prompt_tokens = 500};
  request.time_left = seconds(6);
  return request;
}

// A scheduler whose configuration, replicas and running requests change at random.
class changing_site {
 public:
  explicit changing_site(std::uint64_t seed)
      : m_random(seed), m_scheduler({.vm = "vm-1", .failure_domain = "a"}, seed, start) {
    change_configuration();
  }

  // Lets time pass and ends the requests that have run long enough.
  void advance(base::duration elapsed) {
    m_now += elapsed;
    while (!m_running.empty() && m_running.begin()->first <= m_now) {
      const placement::choice chosen = m_running.begin()->second;
      m_running.erase(m_running.begin());
      m_scheduler.placer().on_end(chosen.replica_id, chosen, placement::outcome::answered, false,
                                  m_now);
    }
    if (has_chance(0.002)) {
      const int number = 1 + static_cast<int>(3 * m_random.uniform());
      m_scheduler.placer().on_notice({"m" + std::to_string(number), 0},
                                     {.hold = base::from_seconds(6 * m_random.uniform())}, m_now);
    }
    call([&] { m_scheduler.pump(m_now); });
  }

  void change_configuration() {
    routes::configuration config = make_config();
    for (routes::route& each : config.routes) {
      each.timeout = milliseconds(5000 + static_cast<int>(9000 * m_random.uniform()));
    }
    if (has_chance(0.1)) {
      config.services[0].name = "other";
    }
    if (has_chance(0.1)) {
      config.teams = {config.teams[1]};
    }
    std::vector<placement::replica> replicas;
    for (const char* number : {"1", "2", "3"}) {
      if (has_chance(0.7)) {
        replicas.push_back(make_replica(std::string("m") + number));
        replicas.back().address = std::string("10.0.0.") + number + ":80";
      }
    }
    m_configs.push_back(config);
    call([&] { m_scheduler.adopt(config, replicas, {}, m_now); });
  }

  // Admits a request that one of the last configurations may have routed.
  void admit_at_random() {
    if (has_chance(0.7)) {
      return;
    }
    const std::string id = std::to_string(m_results.size());
    const std::size_t route = has_chance(0.5) ? 0 : 1;
    const auto age =
        std::min(m_configs.size() - 1, static_cast<std::size_t>(4 * m_random.uniform()));
    admission_request request =
        make_request(id, route == 0 ? "ask" : "digest", has_chance(0.5) ? "large" : "small");
    request.group = request_group(m_configs[m_configs.size() - 1 - age].routes[route]);
    if (has_chance(0.1)) {
      request.profile.excluded = {"m1"};
    }
    m_results.emplace(id, 0);
    const auto handler = [this, id, team = request.team](const admission_result& result) {
      on_result(id, team, result);
    };
    call([&] { m_scheduler.admit(request, handler, m_now); });
    if (has_chance(0.02) && m_results[id] == 0) {
      m_scheduler.withdraw(id, m_now);
      m_results[id] = 1;  // a withdrawn request gets no result
    }
  }

  void check_results() const {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_scheduler.waiting());
    CPPUNIT_ASSERT(m_scheduler.placer().own_load().empty());
    for (const auto& [id, count] : m_results) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE("results of request " + id, 1, count);
    }
    // The test shows nothing unless each kind of result has occurred.
    CPPUNIT_ASSERT(m_grants > 100 && m_refusals > 20 && m_queued_grants > 50 && m_failures > 10);
    CPPUNIT_ASSERT(m_held_refusals > 10);
  }

 private:
  bool has_chance(double share) { return m_random.uniform() < share; }

  void call(const std::function<void()>& function) {
    try {
      function();
    } catch (const std::runtime_error&) {
      ++m_failures;
    }
  }

  void on_result(const std::string& id, const std::string& team, const admission_result& result) {
    ++m_results[id];
    if (has_chance(0.02)) {
      throw std::runtime_error("handler failed");
    }
    if (const auto* granted = std::get_if<grant>(&result)) {
      ++m_grants;
      m_queued_grants += granted->queued > base::duration{} ? 1 : 0;
      const milliseconds run_time(20 + static_cast<int>(150 * m_random.uniform()));
      m_running.emplace(m_now + run_time, granted->chosen);
      return;
    }
    ++m_refusals;
    m_held_refusals += std::get<refusal>(result).reason == refusal_reason::replicas_held ? 1 : 0;
    const routes::configuration& config = m_configs.back();
    const bool is_known =
        config.services[0].name == "model" && (team == "small" || config.teams[0].name == "large");
    CPPUNIT_ASSERT(!is_known ||
                   std::get<refusal>(result).reason != refusal_reason::unknown_service);
  }

  base::random_source m_random;
  scheduler m_scheduler;
  base::time_point m_now = start;
  std::vector<routes::configuration> m_configs;
  std::multimap<base::time_point, placement::choice> m_running;  // by end
  std::map<std::string, int> m_results;                          // number by request
  int m_grants = 0;
  int m_queued_grants = 0;
  int m_refusals = 0;
  int m_held_refusals = 0;
  int m_failures = 0;
};

class scheduler_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(scheduler_test);
  CPPUNIT_TEST(request_is_granted_at_once_while_a_replica_is_free);
  CPPUNIT_TEST(urgent_request_leaves_the_queue_first);
  CPPUNIT_TEST(questions_go_first_among_teams_of_one_priority);
  CPPUNIT_TEST(burst_of_one_team_does_not_delay_another);
  CPPUNIT_TEST(late_request_is_served_after_requests_in_time_and_before_less_urgent_ones);
  CPPUNIT_TEST(requests_that_can_meet_their_target_are_dispatched_first);
  CPPUNIT_TEST(late_request_is_refused_before_its_caller_leaves);
  CPPUNIT_TEST(thousands_of_routes_share_few_classes);
  CPPUNIT_TEST(queued_requests_keep_their_places_when_their_route_changes);
  CPPUNIT_TEST(queued_requests_keep_their_places_over_several_changes_of_their_route);
  CPPUNIT_TEST(former_classes_are_dropped_once_no_request_waits_under_them);
  CPPUNIT_TEST(queued_requests_of_a_removed_service_are_refused_at_once);
  CPPUNIT_TEST(request_waits_for_a_replica_that_is_gone_for_moments);
  CPPUNIT_TEST(request_that_no_replica_may_get_does_not_block_its_class);
  CPPUNIT_TEST(queued_requests_are_served_in_order_after_a_hold);
  CPPUNIT_TEST(request_that_cannot_wait_for_the_end_of_a_hold_is_refused_at_once);
  CPPUNIT_TEST(queued_requests_are_refused_when_a_hold_begins_that_is_too_long);
  CPPUNIT_TEST(hurried_request_is_refused_behind_one_that_can_wait);
  CPPUNIT_TEST(requests_are_refused_at_once_when_all_replicas_leave);
  CPPUNIT_TEST(request_whose_only_other_replica_is_held_is_refused_at_once);
  CPPUNIT_TEST(retry_delay_of_other_refusals_ends_after_the_hold);
  CPPUNIT_TEST(exception_of_a_result_handler_does_not_stop_the_queue);
  CPPUNIT_TEST(exception_at_a_refusal_does_not_keep_the_other_refusals_back);
  CPPUNIT_TEST(exception_of_a_handler_returns_the_slot_of_its_grant);
  CPPUNIT_TEST(request_routed_by_an_old_configuration_is_queued);
  CPPUNIT_TEST(every_request_gets_one_result_while_the_configuration_changes);
  CPPUNIT_TEST(request_without_time_left_is_refused);
  CPPUNIT_TEST(withdrawn_request_gets_no_result);
  CPPUNIT_TEST(unknown_service_is_refused);
  CPPUNIT_TEST_SUITE_END();

  struct recorder {
    std::vector<std::pair<std::string, admission_result>> results;

    result_handler handler(const std::string& id) {
      return [this, id](const admission_result& result) { results.emplace_back(id, result); };
    }
  };

  static scheduler make_scheduler() {
    scheduler result({.vm = "vm-1", .failure_domain = "a"}, 1, start);
    result.adopt(make_config(), {make_replica("m1")}, {}, start);
    return result;
  }

  static void admit(scheduler& target, recorder& results, const admission_request& request,
                    base::time_point now) {
    target.admit(request, results.handler(request.id), now);
  }

  static void end_request(scheduler& target, const admission_result& result, base::time_point now) {
    const placement::choice& chosen = std::get<grant>(result).chosen;
    target.placer().on_end(chosen.replica_id, chosen, placement::outcome::answered, false, now);
    target.pump(now);
  }

  void request_is_granted_at_once_while_a_replica_is_free() {
    scheduler s = make_scheduler();
    recorder r;
    admit(s, r, make_request("1", "digest", "large"), start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, r.results.size());
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[0].second));
  }

  // Guards against urgent questions that are queued behind long digests.
  void urgent_request_leaves_the_queue_first() {
    scheduler s = make_scheduler();
    recorder r;
    admit(s, r, make_request("1", "digest", "large"), start);
    admit(s, r, make_request("2", "digest", "large"), start);
    admit(s, r, make_request("3", "digest", "large"), start);
    admit(s, r, make_request("4", "ask", "small"), start + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    end_request(s, r.results[0].second, start + milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string("4"), r.results[2].first);
  }

  // Guards against questions and digests that rank equal because all teams have the same priority.
  void questions_go_first_among_teams_of_one_priority() {
    routes::configuration config = make_config();
    config.teams = {{.name = "large", .api_keys = {"k1"}, .priority = 1},
                    {.name = "small", .api_keys = {"k2"}, .priority = 1}};
    scheduler s({.vm = "vm-1", .failure_domain = "a"}, 1, start);
    s.adopt(config, {make_replica("m1")}, {}, start);
    recorder r;
    const auto request = [&](const std::string& id, std::size_t route) {
      admission_request result = make_request(id, config.routes[route].name, "large");
      result.urgency = routes::urgency_of(config.routes[route], &config.teams[0]);
      return result;
    };
    for (const char* id : {"1", "2", "3"}) {
      admit(s, r, request(id, 1), start);
    }
    admit(s, r, request("4", 0), start + milliseconds(10));
    end_request(s, r.results[0].second, start + milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string("4"), r.results[2].first);
    CPPUNIT_ASSERT(s.rank_of(request("4", 0).urgency).rank <
                   s.rank_of(request("3", 1).urgency).rank);
  }

  // Guards against one team's burst that delays a small team's request.
  void burst_of_one_team_does_not_delay_another() {
    scheduler s = make_scheduler();
    recorder r;
    for (int i = 0; i < 20; ++i) {
      admit(s, r, make_request("large-" + std::to_string(i), "ask", "large"), start);
    }
    admit(s, r, make_request("small", "ask", "small"), start + milliseconds(1));
    for (std::size_t i = 0; i < 3; ++i) {
      end_request(s, r.results[i].second, start + milliseconds(20 + static_cast<int>(i)));
    }
    bool is_small_granted = false;
    for (const auto& [id, result] : r.results) {
      is_small_granted = is_small_granted || id == "small";
    }
    CPPUNIT_ASSERT(is_small_granted);
  }

  // Guards against late requests that delay those of their urgency that can still meet their
  // target, and against late urgent requests that starve behind less urgent ones.
  void late_request_is_served_after_requests_in_time_and_before_less_urgent_ones() {
    scheduler s = make_scheduler();
    recorder r;
    admit(s, r, make_request("1", "ask", "large"), start);
    admit(s, r, make_request("2", "ask", "large"), start);
    admit(s, r, make_request("late", "ask", "large"), start);
    s.pump(start + milliseconds(700));
    admit(s, r, make_request("digest", "digest", "large"), start + milliseconds(700));
    admit(s, r, make_request("fresh", "ask", "large"), start + milliseconds(701));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    end_request(s, r.results[0].second, start + milliseconds(710));
    CPPUNIT_ASSERT_EQUAL(std::string("fresh"), r.results[2].first);
    end_request(s, r.results[1].second, start + milliseconds(720));
    CPPUNIT_ASSERT_EQUAL(std::string("late"), r.results[3].first);
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[3].second));
    end_request(s, r.results[2].second, start + milliseconds(730));
    CPPUNIT_ASSERT_EQUAL(std::string("digest"), r.results[4].first);
  }

  // Guards against an overload in which every request is dispatched too late to meet its target.
  void requests_that_can_meet_their_target_are_dispatched_first() {
    scheduler s = make_scheduler();
    recorder r;
    for (int i = 0; i < 10; ++i) {
      const placement::choice chosen{.replica_id = "m1", .expected_wait = milliseconds(100)};
      s.placer().on_first_event("m1", chosen, milliseconds(250), start);
    }
    admit(s, r, make_request("1", "ask", "large"), start);
    admit(s, r, make_request("2", "ask", "large"), start);
    admit(s, r, make_request("waits", "ask", "large"), start);
    s.pump(start + milliseconds(400));
    admit(s, r, make_request("fresh", "ask", "large"), start + milliseconds(401));
    end_request(s, r.results[0].second, start + milliseconds(410));
    CPPUNIT_ASSERT_EQUAL(std::string("fresh"), r.results[2].first);
  }

  // Guards against late requests that stay queued until their callers leave.
  void late_request_is_refused_before_its_caller_leaves() {
    routes::configuration config = make_config();
    config.routes[0].caller_idle_timeout = seconds(2);
    scheduler s({.vm = "vm-1", .failure_domain = "a"}, 1, start);
    s.adopt(config, {make_replica("m1")}, {}, start);
    recorder r;
    for (const char* id : {"1", "2", "3"}) {
      admission_request request = make_request(id, "ask", "large");
      request.group = request_group(config.routes[0]);
      admit(s, r, request, start);
    }
    s.pump(start + milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    s.pump(start + milliseconds(1100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    CPPUNIT_ASSERT(std::holds_alternative<refusal>(r.results[2].second));
  }

  // Guards against a node that stalls for seconds when a configuration of thousands of routes is
  // adopted: the queue's work grows with the number of classes.
  void thousands_of_routes_share_few_classes() {
    routes::configuration config = make_config();
    const std::size_t base_count =
        make_admission_policy(config, routes::urgency_order(config)).classes.size();
    for (int i = 0; i < 2000; ++i) {
      config.routes.push_back(config.routes[i % 2]);
      config.routes.back().name = "more-" + std::to_string(i);
    }
    const admission::policy policy = make_admission_policy(config, routes::urgency_order(config));
    CPPUNIT_ASSERT_EQUAL(base_count, policy.classes.size());
  }

  // Guards against queued requests that are refused because their route's timeout changes.
  void queued_requests_keep_their_places_when_their_route_changes() {
    scheduler s = make_scheduler();
    recorder r;
    for (const char* id : {"1", "2", "3"}) {
      admit(s, r, make_request(id, "ask", "large"), start);
    }
    routes::configuration config = make_config();
    config.routes[0].timeout = seconds(9);
    s.adopt(config, {make_replica("m1")}, {}, start + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    end_request(s, r.results[0].second, start + milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), r.results[2].first);
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[2].second));
  }

  // Guards against queued requests that are refused as of an unknown service because the class that
  // they wait under is two or more versions old; also once they wait as late ones.
  void queued_requests_keep_their_places_over_several_changes_of_their_route() {
    scheduler s = make_scheduler();
    recorder r;
    for (const char* id : {"1", "2", "3", "4"}) {
      admit(s, r, make_request(id, "ask", "large"), start);
    }
    routes::configuration config = make_config();
    for (int i = 1; i <= 3; ++i) {
      config.routes[0].timeout = seconds(15 - i);
      s.adopt(config, {make_replica("m1")}, {}, start + milliseconds(200 * i));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    end_request(s, r.results[0].second, start + milliseconds(601));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    CPPUNIT_ASSERT_EQUAL(std::string("3"), r.results[2].first);
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[2].second));
    for (int i = 4; i <= 6; ++i) {
      config.routes[0].timeout = seconds(15 - i);
      s.adopt(config, {make_replica("m1")}, {}, start + milliseconds(200 * i));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    end_request(s, r.results[1].second, start + milliseconds(1201));
    CPPUNIT_ASSERT_EQUAL(std::string("4"), r.results[3].first);
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[3].second));
  }

  // Guards against classes that accumulate with every change of the configuration.
  void former_classes_are_dropped_once_no_request_waits_under_them() {
    routes::configuration config = make_config();
    const admission::policy former = make_admission_policy(config, routes::urgency_order(config));
    const std::string waits = class_name(request_group(config.routes[0]), {0, 0}, false);
    const admission::policy kept = with_classes_only(former, {waits});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.classes.size());
    CPPUNIT_ASSERT_EQUAL(waits, kept.classes[0].name);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.tiers.size());
    CPPUNIT_ASSERT_EQUAL(kept.classes[0].tier, kept.tiers[0].name);
  }

  // Guards against requests that stay queued until their deadline though the configuration has
  // removed their service, and against a refusal that does not say so.
  void queued_requests_of_a_removed_service_are_refused_at_once() {
    scheduler s = make_scheduler();
    recorder r;
    for (const char* id : {"1", "2", "3", "4"}) {
      admit(s, r, make_request(id, id[0] == '4' ? "digest" : "ask", "large"), start);
    }
    routes::configuration config = make_config();
    config.services[0].name = "other";
    for (routes::route& each : config.routes) {
      each.services = {{"other", 1}};
    }
    s.adopt(config, {make_replica("m1")}, {}, start + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, r.results.size());
    for (std::size_t i = 2; i < 4; ++i) {
      const auto* refused = std::get_if<refusal>(&r.results[i].second);
      CPPUNIT_ASSERT(refused != nullptr);
      CPPUNIT_ASSERT(refused->reason == refusal_reason::unknown_service);
      CPPUNIT_ASSERT(refused->retry_after > base::duration{});
      CPPUNIT_ASSERT(refused->retry_after <= milliseconds(200));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, s.waiting());
    admit(s, r, make_request("5", "ask", "large"), start + milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, r.results.size());
    CPPUNIT_ASSERT(std::get<refusal>(r.results[4].second).reason ==
                   refusal_reason::unknown_service);
  }

  // Guards against requests that are refused although a replica comes back in time, and against
  // requests that get no refusal before their callers leave if none comes back.
  void request_waits_for_a_replica_that_is_gone_for_moments() {
    scheduler s = make_scheduler();
    recorder r;
    s.adopt(make_config(), {}, {}, start);
    admit(s, r, make_request("1", "ask", "large"), start);
    CPPUNIT_ASSERT(r.results.empty());
    s.adopt(make_config(), {make_replica("m1")}, {}, start + milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, r.results.size());
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[0].second));
    s.adopt(make_config(), {}, {}, start + milliseconds(400));
    admission_request unserved = make_request("2", "ask", "large");
    unserved.time_left = make_config().routes[0].timeout;
    admit(s, r, unserved, start + milliseconds(400));
    for (base::duration waited{}; waited < unserved.time_left * 6 / 10;
         waited += milliseconds(20)) {
      s.pump(start + milliseconds(400) + waited);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    CPPUNIT_ASSERT(std::holds_alternative<refusal>(r.results[1].second));
  }

  // Guards against requests that wait beside a free replica behind a repeated request that has
  // failed at it, or behind a request for another region.
  void request_that_no_replica_may_get_does_not_block_its_class() {
    scheduler s = make_scheduler();
    recorder r;
    admission_request restricted = make_request("restricted", "ask", "large");
    restricted.profile.excluded = {"m1"};
    admit(s, r, restricted, start);
    CPPUNIT_ASSERT(r.results.empty());
    admit(s, r, make_request("free", "ask", "large"), start + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, r.results.size());
    CPPUNIT_ASSERT_EQUAL(std::string("free"), r.results[0].first);
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[0].second));
    placement::replica second = make_replica("m2");
    second.address = "10.0.0.2:80";
    s.adopt(make_config(), {make_replica("m1"), second}, {}, start + milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    CPPUNIT_ASSERT_EQUAL(std::string("m2"), std::get<grant>(r.results[1].second).chosen.replica_id);
  }

  static result_handler failing_handler() {
    return [](const admission_result&) { throw std::runtime_error("handler failed"); };
  }

  static void hold(scheduler& target, const std::string& replica, base::duration time) {
    target.placer().on_notice({replica, 0}, {.hold = time}, start);
  }

  static const refusal& refusal_of(const recorder& results, std::size_t index) {
    CPPUNIT_ASSERT(results.results.size() > index);
    CPPUNIT_ASSERT(std::holds_alternative<refusal>(results.results[index].second));
    return std::get<refusal>(results.results[index].second);
  }

  // Guards against refusals of requests that could be served after a short hold, against a burst at
  // its end, and against callers that are overtaken during it.
  void queued_requests_are_served_in_order_after_a_hold() {
    scheduler s = make_scheduler();
    recorder r;
    hold(s, "m1", seconds(1));
    for (const char* id : {"c", "b", "a"}) {
      admit(s, r, make_request(id, "digest", "large"), start);
    }
    s.pump(start + milliseconds(999));
    CPPUNIT_ASSERT(r.results.empty());
    s.pump(start + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());  // the replica has two slots
    CPPUNIT_ASSERT_EQUAL(std::string("c"), r.results[0].first);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), r.results[1].first);
    end_request(s, r.results[0].second, start + milliseconds(1050));
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[2].second));
  }

  // Guards against callers that wait in vain for replicas that are held for longer, and that all
  // return at the same time or before a replica takes requests again.
  void request_that_cannot_wait_for_the_end_of_a_hold_is_refused_at_once() {
    scheduler s = make_scheduler();
    recorder r;
    hold(s, "m1", milliseconds(2900));
    admit(s, r, make_request("waits", "digest", "large"), start);
    admission_request late = make_request("late", "digest", "large");
    late.waited = milliseconds(200);  // of the 3 s that such requests are queued at most
    admit(s, r, late, start);
    admission_request hurried = make_request("hurried", "digest", "large");
    hurried.time_left = milliseconds(2900);
    admit(s, r, hurried, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    for (std::size_t i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(refusal_of(r, i).reason == refusal_reason::replicas_held);
      CPPUNIT_ASSERT(refusal_of(r, i).retry_after >= milliseconds(2900));
      CPPUNIT_ASSERT(refusal_of(r, i).retry_after <= milliseconds(4350));
    }
    CPPUNIT_ASSERT(refusal_of(r, 0).retry_after != refusal_of(r, 1).retry_after);
    s.pump(start + milliseconds(2900));
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[2].second));
  }

  // Guards against queued requests that are refused only when they reach the head of the queue or
  // their time is up.
  void queued_requests_are_refused_when_a_hold_begins_that_is_too_long() {
    scheduler s = make_scheduler();
    recorder r;
    for (int i = 0; i < 6; ++i) {
      admit(s, r, make_request(std::to_string(i), "digest", "large"), start);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    hold(s, "m1", seconds(4));
    s.pump(start + milliseconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, r.results.size());
    for (std::size_t i = 2; i < 6; ++i) {
      CPPUNIT_ASSERT(refusal_of(r, i).reason == refusal_reason::replicas_held);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, s.waiting());
  }

  // Guards against a request that waits in vain behind one that has more time.
  void hurried_request_is_refused_behind_one_that_can_wait() {
    scheduler s = make_scheduler();
    recorder r;
    for (const char* id : {"1", "2", "patient"}) {
      admit(s, r, make_request(id, "digest", "large"), start);
    }
    admission_request hurried = make_request("hurried", "digest", "large");
    hurried.time_left = seconds(1);
    admit(s, r, hurried, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    hold(s, "m1", seconds(2));
    s.pump(start + milliseconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    CPPUNIT_ASSERT_EQUAL(std::string("hurried"), r.results[2].first);
    CPPUNIT_ASSERT(refusal_of(r, 2).reason == refusal_reason::replicas_held);
  }

  // Guards against callers that wait for replicas that are about to end.
  void requests_are_refused_at_once_when_all_replicas_leave() {
    scheduler s = make_scheduler();
    recorder r;
    s.placer().set_drain_bound(seconds(1));
    s.placer().on_notice({"m1", 0}, {.is_leaving = true}, start);
    admit(s, r, make_request("1", "digest", "large"), start);
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[0].second));
    admit(s, r, make_request("2", "digest", "large"), start + seconds(1));
    CPPUNIT_ASSERT(refusal_of(r, 1).reason == refusal_reason::replicas_leaving);
    CPPUNIT_ASSERT(refusal_of(r, 1).retry_after >= seconds(1));
  }

  // Guards against a request that waits for a held replica because another one, which it has tried
  // before, takes requests.
  void request_whose_only_other_replica_is_held_is_refused_at_once() {
    scheduler s({.vm = "vm-1", .failure_domain = "a"}, 1, start);
    s.adopt(make_config(), {make_replica("m1"), make_replica("m2")}, {}, start);
    recorder r;
    hold(s, "m2", seconds(4));
    admission_request request = make_request("1", "digest", "large");
    request.profile.excluded = {"m1"};
    admit(s, r, request, start);
    CPPUNIT_ASSERT(refusal_of(r, 0).reason == refusal_reason::replicas_held);
    // The caller's next request may use the other replica again.
    CPPUNIT_ASSERT(refusal_of(r, 0).retry_after < seconds(1));
    admit(s, r, make_request("2", "digest", "large"), start);
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[1].second));
  }

  // Guards against callers that are told to return while all replicas are held.
  void retry_delay_of_other_refusals_ends_after_the_hold() {
    scheduler s = make_scheduler();
    const placement::request_profile profile{.service = "model"};
    CPPUNIT_ASSERT(s.retry_delay(profile, milliseconds(500), start) == milliseconds(500));
    hold(s, "m1", seconds(2));
    CPPUNIT_ASSERT(s.retry_delay(profile, milliseconds(500), start) >= seconds(2));
    CPPUNIT_ASSERT(s.retry_delay(profile, milliseconds(500), start + seconds(2)) ==
                   milliseconds(500));
  }

  // Guards against a queue that grants nothing any more after an exception of one result handler.
  void exception_of_a_result_handler_does_not_stop_the_queue() {
    scheduler s = make_scheduler();
    recorder r;
    admit(s, r, make_request("1", "ask", "large"), start);
    admit(s, r, make_request("2", "ask", "large"), start);
    s.admit(make_request("fails", "ask", "large"), failing_handler(), start);
    admit(s, r, make_request("4", "ask", "large"), start);
    CPPUNIT_ASSERT_THROW(end_request(s, r.results[0].second, start + milliseconds(10)),
                         std::runtime_error);
    s.pump(start + milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    CPPUNIT_ASSERT_EQUAL(std::string("4"), r.results[2].first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, s.waiting());
  }

  // Guards against requests that get no result because the handler of a request that was removed
  // from the queue together with them throws.
  void exception_at_a_refusal_does_not_keep_the_other_refusals_back() {
    scheduler s = make_scheduler();
    recorder r;
    admit(s, r, make_request("1", "ask", "large"), start);
    admit(s, r, make_request("2", "ask", "large"), start);
    for (const char* id : {"a", "b", "c"}) {
      s.admit(make_request(id, "ask", "large"), failing_handler(), start);
    }
    admit(s, r, make_request("6", "ask", "large"), start);
    routes::configuration without_team = make_config();
    without_team.teams = {without_team.teams[1]};
    CPPUNIT_ASSERT_THROW(s.adopt(without_team, {make_replica("m1")}, {}, start + milliseconds(10)),
                         std::runtime_error);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, s.waiting());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    CPPUNIT_ASSERT_EQUAL(std::string("6"), r.results[2].first);
    CPPUNIT_ASSERT(std::holds_alternative<refusal>(r.results[2].second));
  }

  // Guards against a replica that counts as loaded for ever by requests that were never sent.
  void exception_of_a_handler_returns_the_slot_of_its_grant() {
    scheduler s = make_scheduler();
    recorder r;
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_THROW(s.admit(make_request("fails-" + std::to_string(i), "ask", "large"),
                                   failing_handler(), start),
                           std::runtime_error);
    }
    CPPUNIT_ASSERT(s.placer().own_load().empty());
    admit(s, r, make_request("1", "ask", "large"), start);
    admit(s, r, make_request("2", "ask", "large"), start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    s.admit(make_request("fails", "ask", "large"), failing_handler(), start);
    CPPUNIT_ASSERT_THROW(end_request(s, r.results[0].second, start + milliseconds(10)),
                         std::runtime_error);
    admit(s, r, make_request("3", "ask", "large"), start + milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
  }

  // Guards against a repeated attempt that is refused as of an unknown service because its request
  // was routed two or more changes ago.
  void request_routed_by_an_old_configuration_is_queued() {
    scheduler s = make_scheduler();
    recorder r;
    routes::configuration config = make_config();
    for (int i = 1; i <= 3; ++i) {
      config.routes[0].timeout = seconds(15 - i);
      s.adopt(config, {make_replica("m1")}, {}, start + milliseconds(i));
    }
    for (const char* id : {"1", "2", "3"}) {
      admit(s, r, make_request(id, "ask", "large"), start + milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    end_request(s, r.results[0].second, start + milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    CPPUNIT_ASSERT(std::holds_alternative<grant>(r.results[2].second));
  }

  // Guards against requests that get no result, two results or a wrong refusal when the
  // configuration changes while they are queued.
  void every_request_gets_one_result_while_the_configuration_changes() {
    changing_site site(4242);
    constexpr int steps = 4000;
    constexpr int steps_per_change = 100;
    for (int step = 1; step <= steps; ++step) {
      site.advance(milliseconds(2));
      if (step % steps_per_change == 0) {
        site.change_configuration();
      }
      site.admit_at_random();
    }
    for (int step = 0; step < steps; ++step) {
      site.advance(milliseconds(10));
    }
    site.check_results();
  }

  // Guards against a request that stays queued although its caller is about to time out.
  void request_without_time_left_is_refused() {
    scheduler s = make_scheduler();
    recorder r;
    admit(s, r, make_request("1", "digest", "large"), start);
    admit(s, r, make_request("2", "digest", "large"), start);
    admit(s, r, make_request("3", "digest", "large"), start);
    s.pump(start + milliseconds(700));
    s.pump(start + seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, r.results.size());
    const auto* refused = std::get_if<refusal>(&r.results[2].second);
    CPPUNIT_ASSERT(refused != nullptr);
    CPPUNIT_ASSERT(refused->reason == refusal_reason::too_late);
    CPPUNIT_ASSERT(refused->retry_after.count() > 0);
  }

  // Guards against a request that is dispatched after its caller has disconnected.
  void withdrawn_request_gets_no_result() {
    scheduler s = make_scheduler();
    recorder r;
    admit(s, r, make_request("1", "ask", "large"), start);
    admit(s, r, make_request("2", "ask", "large"), start);
    admit(s, r, make_request("3", "ask", "large"), start);
    s.withdraw("3", start);
    end_request(s, r.results[0].second, start + milliseconds(10));
    s.pump(start + seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, r.results.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, s.waiting());
  }

  void unknown_service_is_refused() {
    scheduler s = make_scheduler();
    recorder r;
    admission_request request = make_request("1", "ask", "large");
    request.profile.service = "gone";
    admit(s, r, request, start);
    CPPUNIT_ASSERT(std::holds_alternative<refusal>(r.results[0].second));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_test);

}  // namespace
}  // namespace fuchsiaspring::node
