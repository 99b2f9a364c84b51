#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "fuchsiaspring/admission/admission_queue.h"

namespace fuchsiaspring::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};

policy two_tiers() {
  policy result;
  result.tiers = {{"gold", 0}, {"bronze", 1}};
  result.classes = {
      {"question", "gold", "engine", seconds(2), 20, 4, false},
      {"summary", "bronze", "engine", seconds(60), 100, 4, true},
  };
  result.teams = {{"small", 1, {{"question", 1.0, 1.0}}}, {"large", 1, {}}, {"other", 3, {}}};
  return result;
}

bool always(std::string_view /*pool*/, std::string_view /*request_class*/) {
  return true;
}

class admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_test);
  CPPUNIT_TEST(full_pool_displaces_newest_request_of_lowest_tier);
  CPPUNIT_TEST(full_pool_refuses_lowest_tier_but_keeps_space_for_its_floor);
  CPPUNIT_TEST(guaranteed_arrival_displaces_burst_of_another_team);
  CPPUNIT_TEST(guaranteed_rate_is_charged_once_over_two_pools);
  CPPUNIT_TEST(surplus_is_shared_by_team_weights);
  CPPUNIT_TEST(headroom_holds_back_lower_tiers_but_not_their_floor);
  CPPUNIT_TEST(headroom_from_a_larger_past_share_does_not_block_an_idle_pool);
  CPPUNIT_TEST(put_back_restores_order_and_rate);
  CPPUNIT_TEST(put_back_keeps_the_deadline);
  CPPUNIT_TEST(expired_requests_are_removed_once_with_reason);
  CPPUNIT_TEST(request_that_can_start_at_once_is_accepted_despite_a_high_estimate);
  CPPUNIT_TEST(arrival_behind_a_long_queue_is_refused_early);
  CPPUNIT_TEST(new_policy_keeps_requests_and_returns_those_of_removed_teams);
  CPPUNIT_TEST(preemption_spares_floor_dispatches_and_advanced_requests);
  CPPUNIT_TEST(one_cancellation_serves_one_request);
  CPPUNIT_TEST(repeated_and_unknown_offers_leave_the_queue_unchanged);
  CPPUNIT_TEST_SUITE_END();

  admission_queue m_queue{two_tiers(), start};
  base::random_source m_random{1};
  int m_next_id = 0;

  offer_outcome offer(const std::string& request_class, const std::string& team,
                      base::time_point now = start, const std::string& pool = "engine") {
    queue_request request;
    request.id = "r" + std::to_string(m_next_id++);
    request.team = team;
    request.request_class = request_class;
    request.pool = pool;
    request.first_token_estimate = milliseconds(100);
    return m_queue.offer(request, now, m_random);
  }

  static bool is_refused(const offer_outcome& outcome, refusal_reason reason) {
    const auto* refusal = std::get_if<refused>(&outcome.decision);
    return refusal != nullptr && refusal->reason == reason;
  }

  std::string next_id(base::time_point now = start) {
    const auto dispatched = m_queue.next(now, always);
    return dispatched ? dispatched->request.id : "none";
  }

  // Guards against a full pool that refuses a higher tier while requests of a lower one are queued.
  void full_pool_displaces_newest_request_of_lowest_tier() {
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(std::holds_alternative<queued>(offer("summary", "large").decision));
    }
    const offer_outcome outcome = offer("question", "large");
    CPPUNIT_ASSERT(std::holds_alternative<queued>(outcome.decision));
    // One of the eight is in the floor's reserved space and not counted, so there is room for one.
    CPPUNIT_ASSERT(outcome.displaced.empty());
    const offer_outcome second = offer("question", "large");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.displaced.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r7"), second.displaced[0].request.id);
    CPPUNIT_ASSERT(second.displaced[0].refusal.reason == refusal_reason::displaced);
  }

  // Guards against a flood of the highest tier that keeps a lower class out of the queue and so
  // denies it its floor.
  void full_pool_refuses_lowest_tier_but_keeps_space_for_its_floor() {
    for (int i = 0; i < 8; ++i) {
      offer("question", "large");
    }
    CPPUNIT_ASSERT(is_refused(offer("question", "large"), refusal_reason::queue_full));
    CPPUNIT_ASSERT(std::holds_alternative<queued>(offer("summary", "large").decision));
    CPPUNIT_ASSERT(is_refused(offer("summary", "large"), refusal_reason::queue_full));
    CPPUNIT_ASSERT(is_refused(offer("question", "large"), refusal_reason::queue_full));
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, m_queue.size("engine"));
  }

  // Guards against a large team's burst that fills the queue, so that a request within another
  // team's guaranteed rate is refused.
  void guaranteed_arrival_displaces_burst_of_another_team() {
    for (int i = 0; i < 8; ++i) {
      offer("question", "large");
    }
    const offer_outcome outcome = offer("question", "small");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.displaced.size());
    CPPUNIT_ASSERT_EQUAL(std::string("large"), outcome.displaced[0].request.team);
    CPPUNIT_ASSERT(is_refused(offer("question", "small"), refusal_reason::queue_full));
    CPPUNIT_ASSERT_EQUAL(std::string("r8"), next_id());
  }

  // Guards against a team that gets its guaranteed rate once in every pool.
  void guaranteed_rate_is_charged_once_over_two_pools() {
    offer("question", "large");
    offer("question", "large", start, "second");
    offer("question", "small");
    offer("question", "small", start, "second");
    int guaranteed = 0;
    while (const auto dispatched = m_queue.next(start, always)) {
      guaranteed += dispatched->rule == dispatch_rule::guarantee ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, guaranteed);
  }

  void surplus_is_shared_by_team_weights() {
    policy large_bounds = two_tiers();
    large_bounds.classes[0].max_queue = 200;
    m_queue.update_policy(large_bounds, start);
    for (int i = 0; i < 100; ++i) {
      offer("question", "large");
      offer("question", "other");
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 80; ++i) {
      served[m_queue.next(start, always)->request.team] += 1;
    }
    CPPUNIT_ASSERT_EQUAL(60, served["other"]);
    CPPUNIT_ASSERT_EQUAL(20, served["large"]);
  }

  // Guards against lower tiers that take the last slots before a burst of urgent requests, and
  // against headroom that starves them of their floor.
  void headroom_holds_back_lower_tiers_but_not_their_floor() {
    std::size_t running = 9;
    const pool_usage usage{[](std::string_view) { return std::size_t{4}; },
                           [&](std::string_view, std::string_view request_class) {
                             return request_class == "question" ? running : 100;
                           }};
    offer("summary", "large");
    offer("question", "large");
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), m_queue.next(start, always, &usage)->request.id);
    CPPUNIT_ASSERT(!m_queue.next(start, always, &usage));
    // 1.4 * sqrt(6) is below 4, but six running requests are three below the average. After 80 s
    // the average is close to six.
    running = 6;
    CPPUNIT_ASSERT(!m_queue.next(start, always, &usage));
    const base::time_point later = start + seconds(80);
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), m_queue.next(later, always, &usage)->request.id);
    running = 9;
    offer("summary", "large", later);
    int questions = 0;
    for (; m_queue.size() > 0; ++questions) {
      CPPUNIT_ASSERT(questions <= 20);
      offer("question", "large", later);
      const auto chosen = m_queue.next(later, always, &usage);
      if (chosen->request.request_class == "summary") {
        CPPUNIT_ASSERT(chosen->rule == dispatch_rule::floor);
        break;
      }
    }
  }

  // Guards against lower tiers that are not dispatched for a minute although slots are idle, after
  // the VM's share of the pool became smaller.
  void headroom_from_a_larger_past_share_does_not_block_an_idle_pool() {
    std::size_t slots = 20;
    std::size_t running = 16;
    const pool_usage usage{[&](std::string_view) { return slots - running; },
                           [&](std::string_view, std::string_view request_class) {
                             return request_class == "question" ? running : std::size_t{0};
                           }};
    offer("summary", "large");
    CPPUNIT_ASSERT(!m_queue.next(start, always, &usage));
    slots = 2;
    running = 0;
    CPPUNIT_ASSERT(m_queue.next(start, always, &usage).has_value());
    offer("summary", "large");
    running = 1;
    CPPUNIT_ASSERT(!m_queue.next(start, always, &usage));
  }

  // Guards against a request that loses its place, or its team's guaranteed rate, when no upstream
  // accepts it.
  void put_back_restores_order_and_rate() {
    offer("question", "large");
    offer("question", "small");
    const auto first = m_queue.next(start, always);
    CPPUNIT_ASSERT(first->rule == dispatch_rule::guarantee);
    CPPUNIT_ASSERT(m_queue.put_back(*first, start));
    CPPUNIT_ASSERT(!m_queue.put_back(*first, start));
    const auto again = m_queue.next(start, always);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), again->request.id);
    CPPUNIT_ASSERT(again->rule == dispatch_rule::guarantee);
    const auto surplus = m_queue.next(start, always);
    m_queue.put_back(*surplus, start);
    offer("question", "other");
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), next_id());
  }

  // Guards against a request whose deadline moves when it is put back some time after its dispatch.
  void put_back_keeps_the_deadline() {
    offer("question", "large");
    const auto dispatched = m_queue.next(start + milliseconds(100), always);
    m_queue.put_back(*dispatched, start + milliseconds(600));
    CPPUNIT_ASSERT(m_queue.next_expiry() == start + milliseconds(1900));
    const auto again = m_queue.next(start + milliseconds(600), always);
    CPPUNIT_ASSERT(again->request.waited == milliseconds(600));
  }

  // Guards against requests that stay queued although they can no longer meet their target.
  void expired_requests_are_removed_once_with_reason() {
    offer("question", "large");
    offer("summary", "large");
    CPPUNIT_ASSERT(m_queue.expire(start + milliseconds(1900), m_random).empty());
    const auto removed = m_queue.expire(start + milliseconds(1901), m_random);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
    CPPUNIT_ASSERT(removed[0].refusal.reason == refusal_reason::deadline_unreachable);
    CPPUNIT_ASSERT(!m_queue.withdraw(removed[0].request.id, start + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_queue.size());
  }

  // Guards against an estimate that refuses all traffic and therefore is never corrected.
  void request_that_can_start_at_once_is_accepted_despite_a_high_estimate() {
    queue_request request{"slow", "large", "question", "engine", {}, seconds(100), 1};
    CPPUNIT_ASSERT(
        std::holds_alternative<queued>(m_queue.offer(request, start, m_random).decision));
  }

  // Guards against arrivals that are queued although the queue is too long for their target.
  void arrival_behind_a_long_queue_is_refused_early() {
    policy large_bounds = two_tiers();
    large_bounds.classes[0].max_queue = 500;
    m_queue.update_policy(large_bounds, start);
    base::time_point now = start;
    for (int i = 0; i < 8; ++i) {
      offer("question", "large", now);
    }
    for (int i = 0; i < 7; ++i) {  // 5 dispatches/s
      now += milliseconds(200);
      CPPUNIT_ASSERT(m_queue.next(now, always).has_value());
    }
    int accepted = 0;
    while (!is_refused(offer("question", "other", now), refusal_reason::deadline_unreachable)) {
      CPPUNIT_ASSERT(++accepted < 30);
    }
    CPPUNIT_ASSERT(accepted >= 5);
    const auto outcome = offer("question", "other", now);
    const auto refusal = std::get<refused>(outcome.decision);
    CPPUNIT_ASSERT(refusal.retry_after >= seconds(1));
    CPPUNIT_ASSERT(refusal.retry_after <= seconds(75));
  }

  // Guards against a policy change that loses queued requests or renews a used guaranteed rate.
  void new_policy_keeps_requests_and_returns_those_of_removed_teams() {
    offer("question", "small");
    offer("summary", "large");
    offer("question", "other");
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), next_id());
    offer("question", "small");
    policy next = two_tiers();
    next.classes[0].max_queue = 1;
    std::swap(next.teams[0], next.teams[2]);
    next.teams.erase(next.teams.begin() + 1);
    const auto removed = m_queue.update_policy(next, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
    CPPUNIT_ASSERT(removed[0].refusal.reason == refusal_reason::unknown_team);
    // "small" used its guaranteed rate before the change and does not get it again.
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), next_id());
    CPPUNIT_ASSERT_EQUAL(std::string("r3"), next_id());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_queue.size());
  }

  // Guards against preemption of requests that were dispatched by a floor, have made progress or
  // must not run twice.
  void preemption_spares_floor_dispatches_and_advanced_requests() {
    offer("question", "large");
    const base::time_point late = start + milliseconds(1000);
    std::vector<running_request> running = {
        {"floor", "summary", "engine", 1, true, false, dispatch_rule::floor},
        {"late", "summary", "engine", 64, true, false, dispatch_rule::surplus},
        {"once", "summary", "engine", 1, false, false, dispatch_rule::surplus},
        {"equal", "question", "engine", 1, true, false, dispatch_rule::surplus},
        {"elsewhere", "summary", "second", 1, true, false, dispatch_rule::surplus}};
    CPPUNIT_ASSERT(!m_queue.propose_preemption(late, running));
    running.push_back({"early", "summary", "engine", 9, true, false, dispatch_rule::surplus});
    CPPUNIT_ASSERT(!m_queue.propose_preemption(start, running));
    const auto proposal = m_queue.propose_preemption(late, running);
    CPPUNIT_ASSERT(proposal == (preemption{"early", "r0"}));
    CPPUNIT_ASSERT(!m_queue.propose_preemption(start + milliseconds(1950), running));
  }

  // Guards against more cancellations than queued requests that need a slot.
  void one_cancellation_serves_one_request() {
    offer("question", "large");
    std::vector<running_request> running = {
        {"v1", "summary", "engine", 1, true, true, dispatch_rule::surplus},
        {"v2", "summary", "engine", 1, true, false, dispatch_rule::surplus}};
    CPPUNIT_ASSERT(!m_queue.propose_preemption(start + seconds(1), running));
    offer("question", "large");
    CPPUNIT_ASSERT(m_queue.propose_preemption(start + seconds(1), running) ==
                   (preemption{"v2", "r1"}));
  }

  void repeated_and_unknown_offers_leave_the_queue_unchanged() {
    offer("question", "large");
    m_next_id = 0;
    const auto repeated = offer("question", "large");
    CPPUNIT_ASSERT(std::get<queued>(repeated.decision).already_queued);
    CPPUNIT_ASSERT(is_refused(offer("absent", "large"), refusal_reason::unknown_class));
    CPPUNIT_ASSERT(is_refused(offer("question", "absent"), refusal_reason::unknown_team));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_queue.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

}  // namespace
}  // namespace fuchsiaspring::admission
