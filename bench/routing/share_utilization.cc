// Utilization of one upstream under uneven demand, with loans and with static shares alone.
//
//   bench-share-utilization [FIRST_SEED [SEEDS]]
//
// A few VMs have nearly all of the demand, 110% of the limit; every 7 s it moves to other VMs. The
// p99 columns are the waiting times of requests at the remaining VMs, in seconds.
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <nlohmann/json.hpp>
#include <vector>

#include "limits/share_simulation.h"

namespace {

namespace limits = fuchsiaspring::limits;
namespace simulation = fuchsiaspring::limits::simulation;

struct scenario {
  const char* name;
  std::size_t vms;
  std::uint32_t limit;
  std::size_t busy_vms;
  double loss;
};

simulation::result run(const scenario& chosen, std::uint64_t seed, bool loans) {
  simulation::options options;
  options.seed = seed;
  options.vms = options.members = chosen.vms;
  options.limit = chosen.limit;
  options.busy_vms = chosen.busy_vms;
  options.loss = chosen.loss;
  options.loans = loans;
  return simulation::schedule(options).run();
}

int run_all(int argc, char** argv) {
  const std::uint64_t first_seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::uint64_t seed_count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 5;
  const std::vector<scenario> scenarios{
      {"8 VMs, limit 32", 8, 32, 2, 0.0},   {"8 VMs, limit 32, loss 5%", 8, 32, 2, 0.05},
      {"8 VMs, limit 4", 8, 4, 2, 0.0},     {"17 VMs, limit 1", 17, 1, 2, 0.0},
      {"40 VMs, limit 64", 40, 64, 4, 0.0}, {"187 VMs, limit 64", 187, 64, 20, 0.0},
  };
  nlohmann::json results = nlohmann::json::array();
  std::printf("%-26s %5s %8s %8s %8s %10s %10s %12s %10s\n", "scenario", "seed", "wanted", "static",
              "loans", "static p99", "loans p99", "messages/s", "violations");
  for (const scenario& chosen : scenarios) {
    for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
      const simulation::result static_shares = run(chosen, seed, false);
      const simulation::result with_loans = run(chosen, seed, true);
      const double per_second = static_cast<double>(with_loans.messages) / 120.0;
      std::printf("%-26s %5llu %8.3f %8.3f %8.3f %10.2f %10.2f %12.1f %10llu\n", chosen.name,
                  static_cast<unsigned long long>(seed), with_loans.demand,
                  static_shares.utilization, with_loans.utilization, static_shares.idle_wait_p99,
                  with_loans.idle_wait_p99, per_second,
                  static_cast<unsigned long long>(with_loans.violations));
      results.push_back({{"scenario", chosen.name},
                         {"seed", seed},
                         {"wanted", with_loans.demand},
                         {"static", static_shares.utilization},
                         {"loans", with_loans.utilization},
                         {"static_idle_wait_p99_s", static_shares.idle_wait_p99},
                         {"loans_idle_wait_p99_s", with_loans.idle_wait_p99},
                         {"loans_idle_wait_mean_s", with_loans.idle_wait_mean},
                         {"messages_per_second", per_second},
                         {"violations", with_loans.violations}});
    }
  }
  std::printf("%s\n", results.dump().c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_all(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench-share-utilization: %s\n", error.what());
    return 1;
  }
}
