// The schedulers that the benchmark compares: the project's decision code and two baselines.
//
//   auto scheduler = bench::make_scheduler(bench::scheduler_kind::fuchsia, workload, seed);
//   std::visit([&](auto& s) { removed = s.offer(item, now); }, scheduler);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bench/upstream_choice.h"
#include "bench/workload.h"
#include "fuchsiaspring/admission/admission_queue.h"
#include "fuchsiaspring/estimator/length_estimator.h"
#include "fuchsiaspring/retry/retry.h"

namespace fuchsiaspring::bench {

enum class scheduler_kind { fuchsia, round_robin_fifo, priority_least_requests };

std::string_view to_string(scheduler_kind kind);

// A request as passed to the schedulers. `id` is its index in the arrivals.
struct offered_request {
  std::uint64_t id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t team_index = 0;
  double arrived_s = 0;
  std::uint32_t attempt = 1;
};

struct dispatch {
  std::uint64_t id = 0;
  admission::dispatch_rule rule = admission::dispatch_rule::surplus;
};

// State of the pools that schedulers can read.
struct pool_view {
  std::function<std::size_t(const std::string& pool)> free_slots;
  std::function<std::size_t(const std::string& pool, const std::string& request_class)> running;
};

// The project's decision code, combined as in the scheduler daemon.
class fuchsia_scheduler {
 public:
  fuchsia_scheduler(const workload& source, std::uint64_t seed);

  // Queues the request. Returns the ids of the refused requests: those displaced from the queue,
  // and the new one if it is refused itself.
  std::vector<std::uint64_t> offer(const offered_request& item, double now_s);
  // Removes the queued requests that can no longer meet their target and returns their ids.
  std::vector<std::uint64_t> expire(double now_s);
  std::optional<dispatch> next(double now_s, const pool_view& pools);
  void withdraw(std::uint64_t id, double now_s);

  // Id of a running request to cancel, if any.
  std::optional<std::uint64_t> propose_preemption(
      double now_s, std::span<const admission::running_request> running);
  bool may_retry(const offered_request& item, double now_s);
  void on_first_token(std::uint32_t class_index, double seconds, double now_s);
  void on_finished(std::uint32_t class_index, double output_tokens, double service_s, double now_s);

 private:
  const workload& m_source;
  admission::admission_queue m_queue;
  estimator::length_estimator m_lengths;
  std::vector<retry::retry_budget> m_budgets;  // by class
  base::random_source m_random;
};

// Baseline: one queue per pool, ordered by arrival or by tier and then arrival, with the same total
// bound. Failed idempotent requests are attempted up to three times, without a retry budget.
class baseline_scheduler {
 public:
  baseline_scheduler(const workload& source, bool by_tier);

  std::vector<std::uint64_t> offer(const offered_request& item, double now_s);
  std::vector<std::uint64_t> expire(double now_s);
  std::optional<dispatch> next(double now_s, const pool_view& pools);
  void withdraw(std::uint64_t id, double now_s);
  std::optional<std::uint64_t> propose_preemption(
      double now_s, std::span<const admission::running_request> running);
  bool may_retry(const offered_request& item, double now_s);
  void on_first_token(std::uint32_t class_index, double seconds, double now_s);
  void on_finished(std::uint32_t class_index, double output_tokens, double service_s, double now_s);

 private:
  using key = std::pair<std::uint32_t, std::uint64_t>;  // rank and order of arrival

  const workload& m_source;
  bool m_by_tier;
  std::uint64_t m_sequence = 0;
  std::vector<std::uint32_t> m_ranks;           // by class
  std::map<std::string, std::size_t> m_bounds;  // by pool
  std::map<std::string, std::map<key, std::uint64_t>> m_queues;
  std::unordered_map<std::uint64_t, std::pair<std::string, key>> m_queue_keys;
};

using scheduler = std::variant<fuchsia_scheduler, baseline_scheduler>;

scheduler make_scheduler(scheduler_kind kind, const workload& source, std::uint64_t seed);
choice_kind choice_kind_of(scheduler_kind kind);

}  // namespace fuchsiaspring::bench
