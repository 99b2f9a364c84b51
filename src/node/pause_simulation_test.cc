// Load pattern: a third of a pool asks for two seconds without requests, at 1.5 times capacity.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/node/scheduler.h"

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct pause_result {
  int served = 0;
  int refused = 0;
  int rejected = 0;       // requests that arrived during a replica's pause
  int rejected_late = 0;  // those of them more than half a second after its first refusal
  int overloads = 0;      // requests that arrived at a replica with too many others

  friend bool operator==(const pause_result&, const pause_result&) = default;
};

// One node and a pool whose first replicas refuse requests between `pause_begin` and `pause_end`.
class pause_simulation {
 public:
  pause_simulation(int paused_replicas, bool is_pause_stated, std::uint64_t seed)
      : m_paused_replicas(paused_replicas),
        m_is_pause_stated(is_pause_stated),
        m_random(seed),
        m_scheduler({.vm = "vm-1", .failure_domain = "a"}, seed, m_now) {
    routes::configuration config;
    routes::route ask;
    ask.name = "ask";
    ask.kind = routes::request_kind::idempotent;
    ask.timeout = seconds(4);
    ask.latency_target = milliseconds(800);
    ask.services = {{"app", 1}};
    config.routes = {ask};
    config.services = {{.name = "app"}};
    std::vector<placement::replica> replicas;
    for (int i = 0; i < replica_count; ++i) {
      replicas.push_back({.id = std::to_string(i),
                          .service = "app",
                          .address = "10.0.0." + std::to_string(i) + ":80",
                          .failure_domain = "a",
                          .slots = slots,
                          .started_at_ms = 1});
    }
    m_group = request_group(ask);
    m_urgency = routes::urgency_of(ask, nullptr);
    m_scheduler.adopt(config, replicas, {}, m_now);
  }

  pause_result run() {
    base::time_point next_arrival = m_now;
    while (m_now < start + run_time) {
      m_now += milliseconds(1);
      for (; next_arrival <= m_now;
           next_arrival += base::from_seconds(m_random.exponential(1 / arrivals_per_s))) {
        admit({.id = std::to_string(++m_last_id), .admitted_at = m_now, .excluded = {}});
      }
      end_due();
      m_scheduler.pump(m_now);
    }
    return m_result;
  }

  static constexpr base::time_point start{seconds(1000)};
  static constexpr base::time_point pause_begin = start + seconds(2);
  static constexpr base::duration pause_time = seconds(2);
  static constexpr base::time_point pause_end = pause_begin + pause_time;
  static constexpr int replica_count = 9;
  static constexpr double capacity_per_s = 180;  // slots of all replicas over the service time
  // The placer sends a replica that is no engine up to a third more requests than it has slots.
  static constexpr int max_in_use = 6;

 private:
  static constexpr std::uint32_t slots = 4;
  static constexpr base::duration run_time = seconds(6);
  static constexpr base::duration service_time = milliseconds(200);
  static constexpr double arrivals_per_s = 1.5 * capacity_per_s;

  struct request {
    std::string id;
    base::time_point admitted_at;
    std::vector<std::string> excluded;
  };

  struct running {
    request item;
    placement::choice chosen;
  };

  void admit(const request& item) {
    admission_request admitted{.id = item.id, .group = m_group, .urgency = m_urgency};
    admitted.profile = {.service = "app", .excluded = item.excluded};
    admitted.waited = m_now - item.admitted_at;
    admitted.time_left = seconds(4) - admitted.waited;
    m_scheduler.admit(
        admitted,
        [this, item](const admission_result& result) {
          if (const auto* granted = std::get_if<grant>(&result)) {
            arrive(item, granted->chosen);
            return;
          }
          ++m_result.refused;
        },
        m_now);
  }

  bool is_paused(const std::string& replica) const {
    return std::stoi(replica) < m_paused_replicas && m_now >= pause_begin && m_now < pause_end;
  }

  void arrive(const request& item, const placement::choice& chosen) {
    if (!is_paused(chosen.replica_id)) {
      m_result.overloads += ++m_in_use[chosen.replica_id] > max_in_use ? 1 : 0;
      m_running.emplace(end_of(chosen.replica_id), running{item, chosen});
      return;
    }
    ++m_result.rejected;
    const base::time_point first =
        m_first_refusal.try_emplace(chosen.replica_id, m_now).first->second;
    m_result.rejected_late += m_now - first > milliseconds(500) ? 1 : 0;
    m_rejections.push_back({item, chosen});
  }

  // A request takes the slot that is free first.
  base::time_point end_of(const std::string& replica) {
    std::vector<base::time_point>& ends = m_slot_ends[replica];
    ends.resize(slots);
    const auto first = std::min_element(ends.begin(), ends.end());
    *first = std::max(m_now, *first) + service_time;
    return *first;
  }

  void end_due() {
    while (!m_running.empty() && m_running.begin()->first <= m_now) {
      const running ended = m_running.begin()->second;
      m_running.erase(m_running.begin());
      --m_in_use[ended.chosen.replica_id];
      ++m_result.served;
      m_scheduler.placer().on_first_event(ended.chosen.replica_id, ended.chosen, service_time,
                                          m_now);
      m_scheduler.placer().on_end(ended.chosen.replica_id, ended.chosen,
                                  placement::outcome::answered, true, m_now);
    }
    for (running& each : std::exchange(m_rejections, {})) {
      reject(each);
    }
  }

  void reject(running& refused) {
    placement::outcome result = placement::outcome::rejected;
    if (m_is_pause_stated) {
      result = placement::outcome::held;
      m_scheduler.placer().on_notice({refused.chosen.replica_id, refused.chosen.started_at_ms},
                                     {.hold = pause_end - m_now}, m_now);
    } else {
      refused.item.excluded.push_back(refused.chosen.replica_id);
    }
    m_scheduler.placer().on_end(refused.chosen.replica_id, refused.chosen, result, false, m_now);
    admit(refused.item);
  }

  int m_paused_replicas;
  bool m_is_pause_stated;
  base::random_source m_random;
  base::time_point m_now = start;
  scheduler m_scheduler;
  std::string m_group;
  routes::urgency m_urgency;
  std::multimap<base::time_point, running> m_running;  // by end
  std::vector<running> m_rejections;
  std::map<std::string, int> m_in_use;
  std::map<std::string, std::vector<base::time_point>> m_slot_ends;
  std::map<std::string, base::time_point> m_first_refusal;
  std::uint64_t m_last_id = 0;
  pause_result m_result;
};

class pause_simulation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pause_simulation_test);
  CPPUNIT_TEST(third_of_a_pool_that_asks_for_a_pause_gets_it);
  CPPUNIT_TEST(pool_that_asks_for_a_pause_gets_no_burst_after_it);
  CPPUNIT_TEST_SUITE_END();

  // Requests that the replicas could have served during their pause.
  static int capacity_lost(int paused_replicas) {
    const double share = static_cast<double>(paused_replicas) / pause_simulation::replica_count;
    return static_cast<int>(share * pause_simulation::capacity_per_s *
                            base::to_seconds(pause_simulation::pause_time));
  }

  // Guards against an overload that is led to the replicas that cannot take it, and against a pause
  // that costs more than the capacity of the replicas that asked for it.
  void third_of_a_pool_that_asks_for_a_pause_gets_it() {
    const int third = pause_simulation::replica_count / 3;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const pause_result undisturbed = pause_simulation(0, true, seed).run();
      const pause_result unstated = pause_simulation(third, false, seed).run();
      const pause_result stated = pause_simulation(third, true, seed).run();
      CPPUNIT_ASSERT(undisturbed.refused > 0 && unstated.rejected_late > 0);
      CPPUNIT_ASSERT_EQUAL(0, stated.rejected_late);
      CPPUNIT_ASSERT(stated.rejected <= third * pause_simulation::max_in_use);
      CPPUNIT_ASSERT(stated.served > unstated.served);
      CPPUNIT_ASSERT(undisturbed.served - stated.served <= capacity_lost(third));
    }
  }

  // Guards against queued requests that are sent during the pause or in a burst after it, and
  // against capacity that stays unused when the replicas return.
  void pool_that_asks_for_a_pause_gets_no_burst_after_it() {
    const int all = pause_simulation::replica_count;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const pause_result undisturbed = pause_simulation(0, true, seed).run();
      const pause_result stated = pause_simulation(all, true, seed).run();
      CPPUNIT_ASSERT(stated.rejected > 0);
      CPPUNIT_ASSERT_EQUAL(0, stated.rejected_late);
      CPPUNIT_ASSERT_EQUAL(0, stated.overloads);
      CPPUNIT_ASSERT(undisturbed.served - stated.served <= capacity_lost(all));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pause_simulation_test);

}  // namespace
}  // namespace fuchsiaspring::node
