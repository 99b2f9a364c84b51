#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/retry/fleet_retry_budget.h"

namespace fuchsiaspring::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};

class fleet_retry_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_retry_budget_test);
  CPPUNIT_TEST(all_nodes_together_stay_within_every_window);
  CPPUNIT_TEST(budget_returns_when_the_window_has_passed);
  CPPUNIT_TEST_SUITE_END();

  // Guards against retries that multiply the load while every attempt fails.
  void all_nodes_together_stay_within_every_window() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      base::random_source random(seed);
      const fleet_budget_limits limits{.ratio = 0.2, .slack = 52, .window = seconds(10)};
      std::vector<fleet_retry_budget> nodes(6, fleet_retry_budget(limits));
      for (fleet_retry_budget& budget : nodes) {
        budget.set_nodes(nodes.size());
      }
      std::vector<base::time_point> requests;
      std::vector<base::time_point> spent;
      base::time_point now = start;
      for (int i = 0; i < 4000; ++i) {
        now += milliseconds(static_cast<int>(random.uniform_below(20)));
        fleet_retry_budget& node = nodes[random.uniform_below(nodes.size())];
        node.record_request(now);
        requests.push_back(now);
        while (node.try_spend(now)) {
          spent.push_back(now);
        }
      }
      for (const base::time_point end : spent) {
        const auto in_window = [&](base::time_point at) {
          return at <= end && at > end - seconds(10);
        };
        const auto retry_count = std::count_if(spent.begin(), spent.end(), in_window);
        const auto request_count = std::count_if(requests.begin(), requests.end(), in_window);
        CPPUNIT_ASSERT(static_cast<double>(retry_count) <=
                       limits.ratio * static_cast<double>(request_count) + limits.slack);
      }
    }
  }

  // Guards against a budget that stays spent after its retries have left the window.
  void budget_returns_when_the_window_has_passed() {
    fleet_retry_budget budget({.ratio = 0, .slack = 10, .window = seconds(10)});
    while (budget.try_spend(start)) {
    }
    CPPUNIT_ASSERT(!budget.try_spend(start + milliseconds(9999)));
    CPPUNIT_ASSERT(budget.try_spend(start + milliseconds(10001)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_retry_budget_test);

}  // namespace
}  // namespace fuchsiaspring::retry
