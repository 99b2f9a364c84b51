#include "bench/decision_cost.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "fuchsiaspring/admission/admission_queue.h"

namespace fuchsiaspring::bench {
namespace {

constexpr int pools = 17;
constexpr int tiers = 3;
constexpr int classes = 6;
constexpr std::uint32_t queue_bound = 40;
constexpr std::size_t warmup_decisions = 20000;
constexpr std::size_t measured_decisions = 200000;

// The target of the highest tier is short enough to count as urgent, so that next() computes the
// headroom for the lower tiers.
base::duration first_token_target(int tier) {
  return tier == 0 ? std::chrono::seconds(5) : std::chrono::seconds(600);
}

admission::policy make_policy(std::size_t teams) {
  admission::policy result;
  for (std::uint32_t tier = 0; tier < tiers; ++tier) {
    result.tiers.push_back({"tier" + std::to_string(tier), tier});
  }
  for (int i = 0; i < classes; ++i) {
    result.classes.push_back({"class" + std::to_string(i), "tier" + std::to_string(i % tiers),
                              "pool0", first_token_target(i % tiers), 50, queue_bound, true});
  }
  for (std::size_t i = 0; i < teams; ++i) {
    admission::team_policy team{
        "team" + std::to_string(i), 1 + static_cast<std::uint32_t>(i % 4), {}};
    for (int c = 0; c < classes; ++c) {
      team.guarantees.push_back({"class" + std::to_string(c), 0.01, 1});
    }
    result.teams.push_back(std::move(team));
  }
  return result;
}

double quantile(std::vector<double>& values, double fraction) {
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

std::size_t allocated_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <typename Action>
double elapsed_us(Action&& action) {
  const auto begin = std::chrono::steady_clock::now();
  action();
  const auto end = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::micro>(end - begin).count();
}

double blocked_p99(admission::admission_queue& queue, base::time_point now) {
  constexpr int calls = 20000;
  const admission::dispatch_predicate none_dispatchable = [](std::string_view, std::string_view) {
    return false;
  };
  std::vector<double> times;
  times.reserve(calls);
  for (int i = 0; i < calls; ++i) {
    times.push_back(elapsed_us([&] { queue.next(now, none_dispatchable); }));
  }
  return quantile(times, 0.99);
}

// p99 in µs of propose_preemption() with running requests of the lowest tier over all pools.
double proposal_p99(const admission::admission_queue& queue, base::time_point now) {
  constexpr int running_requests = 200;
  constexpr int proposals = 5000;
  std::vector<admission::running_request> running;
  running.reserve(running_requests);
  for (int i = 0; i < running_requests; ++i) {
    running.push_back({std::to_string(i), "class" + std::to_string(tiers - 1),
                       "pool" + std::to_string(i % pools), 1, true, false,
                       admission::dispatch_rule::surplus});
  }
  std::vector<double> times;
  times.reserve(proposals);
  for (int i = 0; i < proposals; ++i) {
    times.push_back(elapsed_us([&] { queue.propose_preemption(now, running); }));
  }
  return quantile(times, 0.99);
}

}  // namespace

decision_cost measure_decision_cost(std::size_t teams, std::uint64_t seed) {
  const admission::policy policy = make_policy(teams);
  base::random_source random(seed);
  base::time_point now{std::chrono::hours(1)};
  std::vector<double> offers;
  std::vector<double> dispatches;
  offers.reserve(2 * measured_decisions);
  dispatches.reserve(measured_decisions);
  const std::size_t allocated_before = allocated_bytes();
  admission::admission_queue queue(policy, now);
  const admission::dispatch_predicate all_dispatchable = [](std::string_view, std::string_view) {
    return true;
  };
  const admission::pool_usage usage{
      [](std::string_view) { return std::size_t{8}; },
      [](std::string_view, std::string_view) { return std::size_t{4}; }};
  std::size_t queued = 0;
  // Two offers for each dispatch keep the queues full.
  for (std::size_t i = 0; i < 2 * (warmup_decisions + measured_decisions); ++i) {
    now += std::chrono::milliseconds(1);
    const admission::queue_request request{std::to_string(i),
                                           policy.teams[random.uniform_below(teams)].name,
                                           "class" + std::to_string(random.uniform_below(classes)),
                                           "pool" + std::to_string(random.uniform_below(pools)),
                                           {},
                                           std::chrono::milliseconds(200),
                                           1};
    const double offer_us = elapsed_us([&] { queue.offer(request, now, random); });
    double next_us = 0;
    if (i % 2 == 0) {
      next_us = elapsed_us([&] { queue.next(now, all_dispatchable, &usage); });
    }
    if (i < 2 * warmup_decisions) {
      continue;
    }
    offers.push_back(offer_us);
    if (i % 2 == 0) {
      dispatches.push_back(next_us);
    }
    queued = std::max(queued, queue.size());
  }
  decision_cost result;
  result.blocked_p99_us = blocked_p99(queue, now);
  result.preemption_p99_us = proposal_p99(queue, now);
  result.update_policy_ms = elapsed_us([&] { queue.update_policy(policy, now); }) / 1000;
  result.teams = teams;
  result.decisions = offers.size() + dispatches.size();
  result.queued = queued;
  result.memory_mb = static_cast<double>(allocated_bytes() - allocated_before) / 1e6;
  result.offer_p50_us = quantile(offers, 0.5);
  result.offer_p99_us = quantile(offers, 0.99);
  result.next_p50_us = quantile(dispatches, 0.5);
  result.next_p99_us = quantile(dispatches, 0.99);
  return result;
}

}  // namespace fuchsiaspring::bench
