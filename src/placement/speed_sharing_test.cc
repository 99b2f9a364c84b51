#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/placement/placer.h"

namespace fuchsiaspring::placement {
namespace {

constexpr std::size_t node_count = 76;
constexpr std::size_t replica_count = 140;

class speed_sharing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(speed_sharing_test);
  CPPUNIT_TEST(nodes_that_share_speeds_choose_faster_replicas);
  CPPUNIT_TEST_SUITE_END();

  // Mean time in ms of the responses of a service with a quarter of slow replicas, at 386
  // requests/s.
  static double mean_time_ms(bool shares_speeds, std::uint64_t seed) {
    base::random_source random(seed);
    base::time_point now{std::chrono::seconds(1000)};
    const std::vector<service_profile> services{{.name = "app"}};
    std::vector<replica> replicas;
    for (std::size_t i = 0; i < replica_count; ++i) {
      replicas.push_back({.id = "r" + std::to_string(i),
                          .service = "app",
                          .address = "10.0.0." + std::to_string(i) + ":80",
                          .failure_domain = "a",
                          .slots = 16});
    }
    std::vector<placer> placers;
    for (std::size_t i = 0; i < node_count; ++i) {
      placers.push_back(placer({.vm = "vm-" + std::to_string(i), .failure_domain = "a"}));
      placers.back().set_view(fleet_view::load_only);
      placers.back().update(services, replicas, {}, now);
    }
    double sum = 0;
    int counted = 0;
    for (int i = 0; i < 386 * 12; ++i) {
      now += base::from_seconds(1.0 / 386);
      placer& from = placers[random.uniform_below(node_count)];
      const choice chosen = std::get<choice>(from.choose({.service = "app"}, now));
      const bool is_slow = std::stoi(chosen.replica_id.substr(1)) % 4 == 0;
      const double ms = random.log_normal(is_slow ? 40 / 0.55 : 40 / 1.2, 0.3);
      from.on_dispatch(chosen.replica_id, {.service = "app"}, chosen, now);
      from.on_first_event(chosen.replica_id, chosen, base::from_seconds(ms / 1000), now);
      from.on_end(chosen.replica_id, chosen, outcome::answered, true, now);
      if (i > 386 * 6) {
        sum += ms;
        ++counted;
      }
      for (std::size_t sender = 0; shares_speeds && i % 77 == 0 && sender < node_count; ++sender) {
        const auto rows =
            placers[sender].speeds().rows_to_send(capability::audience::group, 5, now);
        for (std::size_t other = 0; other < node_count; ++other) {
          if (other != sender) {
            placers[other].speeds().merge("vm-" + std::to_string(sender), rows, now);
          }
        }
      }
    }
    return sum / counted;
  }

  // Guards against a large fleet that never knows which replicas are slow, since each node measures
  // a replica once in 28 s. Without the exchange the nodes behave as in earlier versions.
  void nodes_that_share_speeds_choose_faster_replicas() {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      const double shared = mean_time_ms(true, seed);
      const double own = mean_time_ms(false, seed);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(shared) + " beside " + std::to_string(own),
                             shared < 0.92 * own);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(speed_sharing_test);

}  // namespace
}  // namespace fuchsiaspring::placement
