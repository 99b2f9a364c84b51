#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "capability/fleet_simulation.h"

namespace fuchsiaspring::capability {
namespace {

using testing::fleet_simulation;
using testing::simulated_fleet;

// Estimate from which a replica that became 2.5 times slower counts as known to be slow. The
// estimates of the others differ by less from 1.
constexpr double known_slow = 1.3;

class fleet_speed_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_speed_test);
  CPPUNIT_TEST(all_nodes_know_a_changed_speed_within_three_seconds);
  CPPUNIT_TEST(each_part_of_a_cut_fleet_goes_on_learning);
  CPPUNIT_TEST(absurd_reports_of_one_node_shift_estimates_little);
  CPPUNIT_TEST(shared_estimates_find_faster_replicas_than_own_ones);
  CPPUNIT_TEST(rows_of_a_large_fleet_fit_its_links);
  CPPUNIT_TEST_SUITE_END();

  // Guards against nodes that go on sending to replicas which have become slow: a node's own
  // samples of a replica are 28 s apart.
  void all_nodes_know_a_changed_speed_within_three_seconds() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      fleet_simulation fleet({.seed = seed});
      fleet.run(8);
      CPPUNIT_ASSERT(fleet.share_above(known_slow, 0, 140) < 0.03);
      std::fill_n(fleet.slowness.begin(), 14, 2.5);
      fleet.run(3);
      CPPUNIT_ASSERT(fleet.share_above(known_slow, 0, 14) > 0.9);
      CPPUNIT_ASSERT(fleet.share_above(known_slow, 14, 140) < 0.03);
      std::fill_n(fleet.slowness.begin(), 14, 1.0);
      fleet.run(3);
      CPPUNIT_ASSERT(fleet.share_above(known_slow, 0, 14) < 0.45);
    }
  }

  // Guards against a fleet in which a cut keeps old rows alive or stops the learning.
  void each_part_of_a_cut_fleet_goes_on_learning() {
    fleet_simulation fleet({.seed = 4});
    fleet.run(5);
    fleet.is_cut = [](std::size_t from, std::size_t to) { return from % 2 != to % 2; };
    std::fill_n(fleet.slowness.begin(), 14, 2.5);
    fleet.run(4);
    CPPUNIT_ASSERT(fleet.share_above(known_slow, 0, 14) > 0.7);
    CPPUNIT_ASSERT(fleet.share_above(known_slow, 14, 140) < 0.05);
    fleet.is_cut = [](std::size_t, std::size_t) { return false; };
    fleet.run(3);
    CPPUNIT_ASSERT(fleet.share_above(known_slow, 0, 14) > 0.9);
  }

  // Guards against one faulty node that turns the fleet away from sound replicas.
  void absurd_reports_of_one_node_shift_estimates_little() {
    constexpr float infinity = std::numeric_limits<float>::infinity();
    constexpr std::uint32_t huge = std::numeric_limits<std::uint32_t>::max();
    const std::vector<speed_row> reports{
        {{}, 1, infinity}, {{}, 1, -infinity}, {{}, 1, std::nanf("")},
        {{}, 0, 5},        {{}, huge, 1e9F},   {{}, huge, 1e30F},
        {{}, 1, 3, huge},  {{}, 4, 11, 0},     {{}, 1, 2.9F, 1U << 31}};
    simulated_fleet with_faulty_node{.seed = 5};
    fleet_simulation fleet(with_faulty_node);
    std::size_t next = 0;
    fleet.on_step = [&](fleet_simulation& each) {
      speed_row row = reports[next++ % reports.size()];
      for (std::size_t replica = 0; replica < 20; ++replica) {
        row.key = each.keys[replica];
        for (fleet_simulation::node& node : each.nodes) {
          node.table.merge("faulty", {&row, 1}, each.now());
        }
      }
    };
    fleet.run(8);
    double faulty = 0;
    double sound = 0;
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
      for (std::size_t replica = 0; replica < 20; ++replica) {
        CPPUNIT_ASSERT(std::isfinite(fleet.estimate(node, replica)));
        faulty += fleet.estimate(node, replica);
        sound += fleet.estimate(node, replica + 20);
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(faulty / sound), faulty / sound < 1.6);
  }

  // Mean response time, in multiples of the usual one, where each node prefers the better of two
  // random replicas. Speeds are a mix, and 15% of the replicas are 2.5 times slower by turns.
  static double mean_time(bool exchanges_rows, std::uint64_t seed) {
    fleet_simulation fleet({.exchanges_rows = exchanges_rows, .seed = seed});
    const auto usual = [](std::size_t replica) { return replica % 4 == 0 ? 1 / 0.55 : 1 / 1.2; };
    std::uint64_t steps = 0;
    fleet.on_step = [&](fleet_simulation& each) {
      if (steps++ % 60 != 0) {
        return;
      }
      for (std::size_t replica = 0; replica < each.slowness.size(); ++replica) {
        each.slowness[replica] = usual(replica) * (each.random().uniform() < 0.15 ? 2.5 : 1);
      }
    };
    fleet.choose = [&](std::size_t node) {
      const std::size_t first = fleet.random().uniform_below(fleet.keys.size());
      const std::size_t second = fleet.random().uniform_below(fleet.keys.size());
      return fleet.estimate(node, first) <= fleet.estimate(node, second) ? first : second;
    };
    fleet.run(6);
    fleet.time_sum = 0;
    fleet.responses = 0;
    fleet.run(8);
    return fleet.time_sum / static_cast<double>(fleet.responses);
  }

  // Guards against an exchange that costs bytes and does not help.
  void shared_estimates_find_faster_replicas_than_own_ones() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const double shared = mean_time(true, seed);
      const double own = mean_time(false, seed);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(shared) + " beside " + std::to_string(own),
                             shared < 0.88 * own);
    }
  }

  // Guards against an exchange that fills the links of small VMs: 300 nodes in groups of 16 before
  // 3,000 replicas, 10 requests/s at each node.
  void rows_of_a_large_fleet_fit_its_links() {
    constexpr double bytes_per_row = 24;
    constexpr double seconds = 4;
    fleet_simulation fleet(
        {.nodes = 300, .domains = 19, .replicas = 3000, .requests_per_s = 3000, .seed = 6});
    fleet.is_cut = [](std::size_t from, std::size_t to) { return from % 19 != to % 19; };
    fleet.run(seconds);
    const double bytes_per_s = static_cast<double>(fleet.rows_sent) * bytes_per_row / seconds / 300;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes_per_s), bytes_per_s < 8000);
    for (const fleet_simulation::node& node : fleet.nodes) {
      CPPUNIT_ASSERT(node.table.row_count() < 16 * 100);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_speed_test);

}  // namespace
}  // namespace fuchsiaspring::capability
