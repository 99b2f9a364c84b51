// Properties of the admission queue over random policies and workloads. A failure prints the seed.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/admission/admission_queue.h"

namespace fuchsiaspring::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seeds = 40;
constexpr int steps = 3000;

// A queue with a model of the requests that it must contain.
class checked_queue {
 public:
  explicit checked_queue(std::uint64_t seed)
      : m_seed(std::to_string(seed)),
        m_random(seed),
        m_policy(random_policy()),
        m_queue(m_policy, m_now) {}

  void step() {
    m_now += milliseconds(m_random.uniform_below(40));
    for (const removed_request& removed : m_queue.expire(m_now, m_random)) {
      check(removed.refusal.reason == refusal_reason::deadline_unreachable,
            "expired request has a reason other than deadline_unreachable");
      remove_from_model(removed.request.id);
    }
    const std::uint64_t action = m_random.uniform_below(100);
    if (action < 60) {
      offer();
    } else if (action < 90) {
      next();
    } else if (action < 95) {
      withdraw();
    } else if (action < 99) {
      preempt();
    } else {
      m_policy.classes[m_random.uniform_below(m_policy.classes.size())].max_queue =
          1 + m_random.uniform_below(9);
      check(m_queue.update_policy(m_policy, m_now).empty(), "policy update removed a request");
    }
    check(m_queue.size() == m_queued.size(), "size() differs from the number of queued requests");
  }

 private:
  struct item {
    std::uint32_t rank = 0;
    std::string pool;
    std::string request_class;
  };

  void check(bool is_true, const std::string& property) const {
    CPPUNIT_ASSERT_MESSAGE(property + ", seed " + m_seed, is_true);
  }

  policy random_policy() {
    policy result;
    const std::uint64_t tiers = 2 + m_random.uniform_below(3);
    for (std::uint32_t rank = 0; rank < tiers; ++rank) {
      result.tiers.push_back({"tier" + std::to_string(rank), rank});
    }
    const std::uint64_t classes = tiers + m_random.uniform_below(4);
    for (std::uint32_t i = 0; i < classes; ++i) {
      const std::uint32_t rank = i % tiers;
      m_ranks["class" + std::to_string(i)] = rank;
      result.classes.push_back({"class" + std::to_string(i), "tier" + std::to_string(rank),
                                m_random.uniform_below(3) == 0 ? "pool1" : "pool0",
                                milliseconds(200 + m_random.uniform_below(5000)),
                                static_cast<std::uint32_t>(m_random.uniform_below(60)),
                                static_cast<std::uint32_t>(1 + m_random.uniform_below(9)),
                                m_random.uniform_below(2) == 0});
    }
    for (std::uint32_t i = 0; i < 12; ++i) {
      team_policy team{"team" + std::to_string(i), 1 + i % 3, {}};
      if (i % 2 == 0) {
        team.guarantees.push_back({"class0", 0.5 + m_random.uniform(), 1 + m_random.uniform()});
      }
      result.teams.push_back(team);
    }
    return result;
  }

  void remove_from_model(const std::string& id) {
    check(m_queued.erase(id) == 1, "removed request was not queued");
  }

  std::size_t queued_at_or_above(const item& arrival) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_queued, [&](const auto& pair) {
      return pair.second.pool == arrival.pool && pair.second.rank <= arrival.rank;
    }));
  }

  void offer() {
    const class_policy& target = m_policy.classes[m_random.uniform_below(m_policy.classes.size())];
    const item arrival{m_ranks.at(target.name), target.pool, target.name};
    queue_request request{"r" + std::to_string(m_next_id++),
                          "team" + std::to_string(m_random.uniform_below(12)),
                          target.name,
                          target.pool,
                          milliseconds(m_random.uniform_below(100)),
                          milliseconds(m_random.uniform_below(300)),
                          1};
    const offer_outcome outcome = m_queue.offer(request, m_now, m_random);
    for (const removed_request& displaced : outcome.displaced) {
      check(m_queued.at(displaced.request.id).rank >= arrival.rank,
            "a request of a higher tier was displaced");
      remove_from_model(displaced.request.id);
    }
    if (std::holds_alternative<queued>(outcome.decision)) {
      m_queued[request.id] = arrival;
      return;
    }
    check(outcome.displaced.empty(), "a refused arrival displaced another request");
    if (std::get<refused>(outcome.decision).reason == refusal_reason::queue_full) {
      std::size_t bound = 0;
      for (const class_policy& settings : m_policy.classes) {
        bound += settings.pool == arrival.pool ? settings.max_queue : 0;
      }
      check(queued_at_or_above(arrival) >= bound,
            "refused as queue_full while lower tiers filled the bound");
    }
  }

  void next() {
    const std::string blocked_pool = m_random.uniform_below(2) == 0 ? "pool0" : "none";
    const auto can_dispatch = [&](std::string_view pool, std::string_view) {
      return pool != blocked_pool;
    };
    const auto dispatched = m_queue.next(m_now, can_dispatch);
    std::uint32_t highest = 1000;
    for (const auto& [id, waiting] : m_queued) {
      highest = waiting.pool == blocked_pool ? highest : std::min(highest, waiting.rank);
    }
    check(dispatched.has_value() == (highest != 1000),
          "next() did not return a dispatchable request");
    if (!dispatched) {
      return;
    }
    check(dispatched->rule == dispatch_rule::floor || dispatched->tier_rank == highest,
          "a lower tier was dispatched first without a floor");
    if (m_random.uniform_below(5) == 0) {
      check(m_queue.put_back(*dispatched, m_now), "put_back() did not queue the request");
      return;
    }
    remove_from_model(dispatched->request.id);
    m_running.push_back({dispatched->request.id, dispatched->request.request_class,
                         dispatched->request.pool,
                         static_cast<std::uint32_t>(m_random.uniform_below(100)),
                         m_random.uniform_below(2) == 0, false, dispatched->rule});
    if (m_running.size() > 20) {
      m_running.erase(m_running.begin());
    }
  }

  void withdraw() {
    if (!m_queued.empty()) {
      const std::string id = m_queued.begin()->first;
      check(m_queue.withdraw(id, m_now), "withdraw() did not find a queued request");
      remove_from_model(id);
    }
  }

  void preempt() {
    const auto proposal = m_queue.propose_preemption(m_now, m_running);
    if (!proposal) {
      return;
    }
    const auto victim = std::ranges::find(m_running, proposal->victim_id, &running_request::id);
    const item& beneficiary = m_queued.at(proposal->beneficiary_id);
    check(m_ranks.at(victim->request_class) > beneficiary.rank,
          "preempted for a request of the same or a lower tier");
    check(victim->idempotent && victim->rule != dispatch_rule::floor &&
              victim->tokens < m_policy.preemption_max_tokens && victim->pool == beneficiary.pool,
          "preempted a request that is not eligible as victim");
    m_queue.record_preempted(victim->pool, victim->request_class);
    m_running.erase(victim);
  }

  std::string m_seed;
  base::random_source m_random;
  base::time_point m_now{seconds(1000)};
  std::map<std::string, std::uint32_t> m_ranks;
  policy m_policy;
  admission_queue m_queue;
  std::map<std::string, item> m_queued;
  std::vector<running_request> m_running;
  int m_next_id = 0;
};

// One pool that dispatches every 50 ms while six classes offer up to 48 requests in that time.
class floor_trial {
 public:
  explicit floor_trial(std::uint64_t seed)
      : m_seed(std::to_string(seed)),
        m_random(seed),
        m_policy(random_policy()),
        m_queue(m_policy, m_now) {}

  void change_mix() {
    for (double& weight : m_weights) {
      weight = m_random.uniform() * m_random.uniform();
    }
  }

  void step() {
    m_now += milliseconds(50);
    m_queue.expire(m_now, m_random);
    for (int i = 0; i < classes; ++i) {
      for (double expected_offers = 8 * m_weights[i]; m_random.uniform() < expected_offers;
           expected_offers -= 1) {
        m_queue.offer({std::to_string(m_next_id++), "team", name(i), "p", {}, milliseconds(200), 1},
                      m_now, m_random);
      }
    }
    std::map<std::string, std::size_t> waiting;
    for (const class_snapshot& snapshot : m_queue.class_snapshots(m_now)) {
      waiting[snapshot.request_class] = snapshot.queued;
    }
    if (const auto chosen = m_queue.next(m_now, [](auto, auto) { return true; })) {
      check(*chosen, waiting);
    }
  }

 private:
  static constexpr int classes = 6;

  static std::string name(int i) { return "c" + std::to_string(i); }

  policy random_policy() {
    policy result;
    result.tiers = {{"t0", 0}, {"t1", 1}, {"t2", 2}};
    for (int i = 0; i < classes; ++i) {
      result.classes.push_back({name(i), "t" + std::to_string(i / 2), "p",
                                seconds(5 + m_random.uniform_below(100)),
                                static_cast<std::uint32_t>(m_random.uniform_below(51)),
                                static_cast<std::uint32_t>(2 + m_random.uniform_below(30)), false});
    }
    result.teams = {{"team", 1, {}}};
    return result;
  }

  void check(const dispatched_request& chosen, std::map<std::string, std::size_t>& waiting) {
    const bool by_floor = chosen.rule == dispatch_rule::floor;
    m_floor_excess = std::max(0.0, m_floor_excess + (by_floor ? 1 : 0) - 0.3);
    CPPUNIT_ASSERT_MESSAGE(
        "floors take more than 30% of the dispatches plus their credits, seed " + m_seed,
        m_floor_excess <= 2.0 * classes);
    for (int i = 0; i < classes; ++i) {
      const double share = std::max(1U, m_policy.classes[i].floor_per_mille) / 1000.0;
      const bool served = chosen.request.request_class == name(i);
      m_shortfall[i] = waiting[name(i)] == 0 ? 0 : std::max(0.0, m_shortfall[i] + share - served);
      CPPUNIT_ASSERT_MESSAGE(
          "more than 3 dispatches below the floor of " + name(i) + ", seed " + m_seed,
          m_shortfall[i] <= 3);
    }
  }

  std::string m_seed;
  base::random_source m_random;
  base::time_point m_now{seconds(1000)};
  policy m_policy;
  admission_queue m_queue;
  std::vector<double> m_weights = std::vector<double>(classes);
  std::vector<double> m_shortfall = std::vector<double>(classes);  // since the class was last empty
  double m_floor_excess = 0;
  int m_next_id = 0;
};

class admission_property_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_property_test);
  CPPUNIT_TEST(random_operations_respect_tiers_and_lose_no_request);
  CPPUNIT_TEST(every_class_gets_its_floor_under_random_overload);
  CPPUNIT_TEST(guaranteed_rate_is_kept_during_a_burst_of_another_team);
  CPPUNIT_TEST_SUITE_END();

  // Guards against requests that are lost, removed twice or passed over for a lower tier.
  void random_operations_respect_tiers_and_lose_no_request() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      checked_queue queue(seed);
      for (int i = 0; i < steps; ++i) {
        queue.step();
      }
    }
  }

  // Guards against classes that starve, and against floors that delay higher tiers: in every
  // interval of dispatches a class with queued requests gets its floor share minus at most 3, and
  // floors together take at most 30% plus the credits that they can accumulate.
  void every_class_gets_its_floor_under_random_overload() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      floor_trial trial(seed);
      for (int dispatch = 0; dispatch < 4000; ++dispatch) {
        if (dispatch % 500 == 0) {
          trial.change_mix();
        }
        trial.step();
      }
    }
  }

  // Guards against a large team's burst that delays or refuses the smallest team's guaranteed rate.
  void guaranteed_rate_is_kept_during_a_burst_of_another_team() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      base::random_source random(seed);
      policy test_policy;
      test_policy.tiers = {{"t0", 0}};
      test_policy.classes = {{"c", "t0", "p", seconds(2), 50, 20, false}};
      test_policy.teams = {{"large", 50, {{"c", 2.0, 3.0}}}, {"small", 1, {{"c", 0.5, 1.0}}}};
      base::time_point now{seconds(1000)};
      admission_queue queue(test_policy, now);
      int served = 0;
      constexpr int offered = 200;
      for (int i = 0; i < offered * 20; ++i) {  // 10 dispatches/s, 40 requests/s of the large team
        now += milliseconds(100);
        queue.expire(now, random);
        for (int k = 0; k < 4; ++k) {
          queue.offer({"l" + std::to_string(4 * i + k), "large", "c", "p", {}, {}, 1}, now, random);
        }
        if (i % 20 == 0) {
          queue.offer({"s" + std::to_string(i), "small", "c", "p", {}, {}, 1}, now, random);
        }
        const auto chosen = queue.next(now, [](auto, auto) { return true; });
        served += chosen && chosen->request.team == "small" ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), offered, served);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_property_test);

}  // namespace
}  // namespace fuchsiaspring::admission
