// Cost of one routing decision and memory of the router and the ledgers of one VM.
//
//   bench-router-cost [SEED [DECISIONS]]
//
// A decision is the check of the ledger's share, `pick`, `on_dispatch` and, for an earlier request,
// `on_first_token` and `on_finish`. Memory is the allocator's count of bytes in use.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/limits/share_ledger.h"
#include "fuchsiaspring/routing/router.h"
#include "fuchsiaspring/routing/subset.h"

namespace {

namespace base = fuchsiaspring::base;
namespace limits = fuchsiaspring::limits;
namespace routing = fuchsiaspring::routing;

constexpr std::size_t pool_count = 17;
constexpr std::size_t domain_count = 7;
constexpr std::size_t vm_count = 410;
constexpr std::size_t in_flight = 200;

std::size_t allocated_bytes() {
  return mallinfo2().uordblks;
}

std::string domain_name(std::size_t index) {
  return "domain-" + std::to_string(index % domain_count);
}

routing::router_config make_config(std::size_t replicas, std::size_t subset_size) {
  routing::router_config config;
  config.self = {"vm-0", domain_name(0)};
  config.subset_size = subset_size;
  for (std::size_t i = 0; i < domain_count; ++i) {
    routing::domain_config domain{.name = domain_name(i), .nearest = {}, .out_of_service = false};
    for (std::size_t j = 1; j < domain_count; ++j) {
      domain.nearest.push_back(domain_name(i + j));
    }
    config.domains.push_back(std::move(domain));
  }
  for (std::size_t i = 0; i < pool_count; ++i) {
    config.pools.push_back({.name = "model-" + std::to_string(i), .upstreams = {}});
  }
  for (std::size_t i = 0; i < replicas; ++i) {
    config.pools[i % pool_count].upstreams.push_back({.name = "replica-" + std::to_string(i),
                                                      .failure_domain = domain_name(i / pool_count),
                                                      .limit = 64,
                                                      .cold_limit = 64});
  }
  return config;
}

std::vector<limits::share_ledger> make_ledgers(const routing::router_config& config,
                                               routing::router& router, base::time_point now) {
  std::vector<routing::vm_identity> vms;
  for (std::size_t i = 0; i < vm_count; ++i) {
    vms.push_back({"vm-" + std::to_string(i), domain_name(i)});
  }
  std::vector<limits::share_ledger> ledgers;
  for (const routing::pool_config& pool : config.pools) {
    const auto users = routing::users_by_upstream(config, pool, vms);
    for (const std::size_t index : routing::choose_subset(config, pool, config.self)) {
      const std::string& name = pool.upstreams[index].name;
      ledgers.emplace_back(limits::ledger_identity{name, "vm-0", 1}, limits::ledger_settings{},
                           now);
      ledgers.back().set_limit(64);
      ledgers.back().update_view({1, 1}, users[index], now);
      ledgers.back().on_majority_contact(now);
      router.set_slot_share(name, 8);
    }
  }
  return ledgers;
}

struct measurements {
  std::vector<std::uint32_t> nanoseconds;
  std::size_t refused = 0;

  std::uint32_t quantile(double fraction) const {
    return nanoseconds[static_cast<std::size_t>(fraction *
                                                static_cast<double>(nanoseconds.size() - 1))];
  }
};

measurements measure(routing::router& router, const std::vector<limits::share_ledger>& ledgers,
                     const std::vector<std::string>& pools, std::uint64_t seed,
                     std::size_t decisions) {
  base::random_source random(seed);
  base::time_point now{std::chrono::hours(10)};
  std::deque<std::string> running;
  measurements result;
  result.nanoseconds.reserve(decisions);
  std::uint64_t shares = 0;
  for (std::size_t i = 0; i < decisions; ++i) {
    now += std::chrono::milliseconds(10);
    const std::string& pool = pools[random.uniform_below(pools.size())];
    const std::uint64_t prefix = 1 + random.uniform_below(5000);
    const limits::share_ledger& ledger = ledgers[random.uniform_below(ledgers.size())];
    const auto begin = std::chrono::steady_clock::now();
    shares += ledger.usable_slots(now);
    auto picked = router.pick({.pool = pool, .prefix_hash = prefix}, now, random);
    if (auto* chosen = std::get_if<routing::choice>(&picked)) {
      router.on_dispatch(chosen->upstream, now, prefix);
      running.push_back(std::move(chosen->upstream));
    } else {
      ++result.refused;
    }
    if (running.size() > in_flight) {
      router.on_first_token(running.front(), {std::chrono::milliseconds(300), 500}, now);
      router.on_finish(running.front(), now);
      running.pop_front();
    }
    const auto end = std::chrono::steady_clock::now();
    result.nanoseconds.push_back(static_cast<std::uint32_t>((end - begin).count()));
    if (i % 5 == 0) {
      router.on_load_report("replica-" + std::to_string(random.uniform_below(600)),
                            {.running = static_cast<std::uint32_t>(random.uniform_below(64))},
                            std::chrono::milliseconds(random.uniform_below(500)), now);
    }
  }
  std::sort(result.nanoseconds.begin(), result.nanoseconds.end());
  if (shares == 1) {
    std::printf(" ");  // keeps the compiler from removing the evaluation of the shares
  }
  return result;
}

nlohmann::json run(std::size_t replicas, std::size_t subset_size, std::uint64_t seed,
                   std::size_t decisions) {
  const auto config = make_config(replicas, subset_size);
  const base::time_point start{std::chrono::hours(9)};
  const std::size_t before = allocated_bytes();
  routing::router router;
  if (!router.update(config, start)) {
    return {};
  }
  const std::size_t with_router = allocated_bytes();
  const auto update_begin = std::chrono::steady_clock::now();
  const auto ledgers = make_ledgers(config, router, start);
  const double ledgers_ms =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - update_begin)
          .count();
  const std::size_t with_ledgers = allocated_bytes();
  std::vector<std::string> pools;
  for (const routing::pool_config& pool : config.pools) {
    pools.push_back(pool.name);
  }
  const measurements cost = measure(router, ledgers, pools, seed, decisions);
  constexpr double kib = 1024.0;
  const double router_kib = static_cast<double>(with_router - before) / kib;
  const double ledger_kib = static_cast<double>(with_ledgers - with_router) / kib;
  const double after_kib =
      (static_cast<double>(allocated_bytes()) - static_cast<double>(before)) / kib -
      static_cast<double>(cost.nanoseconds.capacity() * sizeof(std::uint32_t)) / kib;
  std::printf("%8zu %7zu %8u %8u %8u %9u %8zu %11.0f %11.0f %9.0f %10.1f\n", replicas, subset_size,
              cost.quantile(0.5), cost.quantile(0.99), cost.quantile(0.999), cost.quantile(1.0),
              cost.refused, router_kib, ledger_kib, after_kib, ledgers_ms);
  return {{"replicas", replicas},
          {"subset", subset_size},
          {"p50_ns", cost.quantile(0.5)},
          {"p99_ns", cost.quantile(0.99)},
          {"p999_ns", cost.quantile(0.999)},
          {"max_ns", cost.quantile(1.0)},
          {"refused", cost.refused},
          {"router_kib", router_kib},
          {"ledgers_kib", ledger_kib},
          {"total_after_kib", after_kib},
          {"ledger_setup_ms", ledgers_ms}};
}

int run_all(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::size_t decisions = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 200000;
  std::printf("%8s %7s %8s %8s %8s %9s %8s %11s %11s %9s %10s\n", "replicas", "subset", "p50 ns",
              "p99 ns", "p99.9 ns", "max ns", "refused", "router KiB", "ledgers KiB", "after KiB",
              "setup ms");
  nlohmann::json results = nlohmann::json::array();
  for (const std::size_t subset_size : {16, 600}) {
    for (const std::size_t replicas : {60, 200, 600}) {
      results.push_back(run(replicas, subset_size, seed, decisions));
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
    std::fprintf(stderr, "bench-router-cost: %s\n", error.what());
    return 1;
  }
}
