#include "bench/schedulers.h"

#include <algorithm>
#include <cstdlib>

namespace fuchsiaspring::bench {
namespace {

constexpr std::uint32_t max_attempts = 3;
constexpr std::uint32_t retry_per_mille = 100;

// Early refusal uses this quantile of the first-token times as its estimate.
constexpr double first_token_quantile = 0.9;

base::time_point to_time_point(double seconds) {
  return base::time_point(std::chrono::hours(1)) + base::from_seconds(seconds);
}

std::uint64_t request_index(const admission::queue_request& request) {
  return std::strtoull(request.id.c_str(), nullptr, 10);
}

}  // namespace

std::string_view to_string(scheduler_kind kind) {
  switch (kind) {
    case scheduler_kind::fuchsia:
      return "fuchsia";
    case scheduler_kind::round_robin_fifo:
      return "round_robin_fifo";
    case scheduler_kind::priority_least_requests:
      return "priority_least_requests";
  }
  return "fuchsia";
}

fuchsia_scheduler::fuchsia_scheduler(const workload& source, std::uint64_t seed)
    : m_source(source),
      m_queue(source.admission_policy(), to_time_point(0)),
      m_budgets(source.classes.size(), retry::retry_budget(retry_per_mille)),
      m_random(seed) {}

std::vector<std::uint64_t> fuchsia_scheduler::offer(const offered_request& item, double now_s) {
  const class_spec& spec = m_source.classes[item.class_index];
  const std::string& name = spec.policy.name;
  const std::string& pool = spec.policy.pool;
  admission::queue_request request;
  request.id = std::to_string(item.id);
  request.team = m_source.teams[item.team_index].policy.name;
  request.request_class = name;
  request.pool = pool;
  request.waited = base::from_seconds(now_s - item.arrived_s);
  request.first_token_estimate =
      m_lengths.first_token_time(name, pool, first_token_quantile).value_or(base::duration());
  if (item.attempt == 1) {
    m_budgets[item.class_index].record_request(to_time_point(now_s));
  }
  const admission::offer_outcome outcome = m_queue.offer(request, to_time_point(now_s), m_random);
  std::vector<std::uint64_t> removed;
  for (const admission::removed_request& displaced_request : outcome.displaced) {
    removed.push_back(request_index(displaced_request.request));
  }
  if (std::holds_alternative<admission::refused>(outcome.decision)) {
    removed.push_back(item.id);
  }
  return removed;
}

std::vector<std::uint64_t> fuchsia_scheduler::expire(double now_s) {
  std::vector<std::uint64_t> removed;
  for (const admission::removed_request& late : m_queue.expire(to_time_point(now_s), m_random)) {
    removed.push_back(request_index(late.request));
  }
  return removed;
}

std::optional<dispatch> fuchsia_scheduler::next(double now_s, const pool_view& pools) {
  admission::pool_usage usage;
  usage.free_slots = [&](std::string_view pool) { return pools.free_slots(std::string(pool)); };
  usage.running = [&](std::string_view pool, std::string_view request_class) {
    return pools.running(std::string(pool), std::string(request_class));
  };
  const auto dispatched = m_queue.next(
      to_time_point(now_s),
      [&](std::string_view pool, std::string_view /*request_class*/) {
        return pools.free_slots(std::string(pool)) > 0;
      },
      &usage);
  if (!dispatched) {
    return std::nullopt;
  }
  return dispatch{request_index(dispatched->request), dispatched->rule};
}

void fuchsia_scheduler::withdraw(std::uint64_t id, double now_s) {
  m_queue.withdraw(std::to_string(id), to_time_point(now_s));
}

std::optional<std::uint64_t> fuchsia_scheduler::propose_preemption(
    double now_s, std::span<const admission::running_request> running) {
  const auto proposal = m_queue.propose_preemption(to_time_point(now_s), running);
  if (!proposal) {
    return std::nullopt;
  }
  const auto victim =
      std::ranges::find(running, proposal->victim_id, &admission::running_request::id);
  m_queue.record_preempted(victim->pool, victim->request_class);
  return std::strtoull(proposal->victim_id.c_str(), nullptr, 10);
}

bool fuchsia_scheduler::may_retry(const offered_request& item, double now_s) {
  retry::failed_attempt failed;
  failed.kind = m_source.classes[item.class_index].idempotent ? retry::work_kind::idempotent
                                                              : retry::work_kind::non_idempotent;
  failed.to_upstream = retry::byte_progress::sent;
  failed.to_caller = retry::byte_progress::none;
  failed.attempts = item.attempt;
  failed.max_attempts = max_attempts;
  const auto decision =
      retry::decide_retry(failed, m_budgets[item.class_index], to_time_point(now_s));
  return std::holds_alternative<retry::retry>(decision);
}

void fuchsia_scheduler::on_first_token(std::uint32_t class_index, double seconds, double now_s) {
  const class_spec& spec = m_source.classes[class_index];
  m_lengths.record_first_token(spec.policy.name, spec.policy.pool, base::from_seconds(seconds),
                               to_time_point(now_s));
}

void fuchsia_scheduler::on_finished(std::uint32_t class_index, double output_tokens,
                                    double service_s, double now_s) {
  const class_spec& spec = m_source.classes[class_index];
  m_lengths.record_finished(spec.policy.name, spec.policy.pool,
                            static_cast<std::uint32_t>(output_tokens),
                            base::from_seconds(service_s), to_time_point(now_s));
}

baseline_scheduler::baseline_scheduler(const workload& source, bool by_tier)
    : m_source(source), m_by_tier(by_tier) {
  for (const class_spec& spec : source.classes) {
    const auto tier =
        std::ranges::find(source.tiers, spec.policy.tier, &admission::tier_policy::name);
    m_ranks.push_back(by_tier && tier != source.tiers.end() ? tier->rank : 0);
    m_bounds[spec.policy.pool] += spec.policy.max_queue;
  }
}

std::vector<std::uint64_t> baseline_scheduler::offer(const offered_request& item,
                                                     double /*now_s*/) {
  const std::string& pool = m_source.classes[item.class_index].policy.pool;
  auto& queue = m_queues[pool];
  const key queue_key(m_ranks[item.class_index], m_sequence++);
  std::vector<std::uint64_t> removed;
  if (queue.size() >= m_bounds[pool]) {
    const auto last = std::prev(queue.end());
    if (last->first.first <= queue_key.first) {
      return {item.id};
    }
    removed.push_back(last->second);
    m_queue_keys.erase(last->second);
    queue.erase(last);
  }
  queue.emplace(queue_key, item.id);
  m_queue_keys[item.id] = {pool, queue_key};
  return removed;
}

std::vector<std::uint64_t> baseline_scheduler::expire(double /*now_s*/) {
  return {};
}

std::optional<dispatch> baseline_scheduler::next(double /*now_s*/, const pool_view& pools) {
  for (auto& [pool, queue] : m_queues) {
    if (queue.empty() || pools.free_slots(pool) == 0) {
      continue;
    }
    const std::uint64_t id = queue.begin()->second;
    queue.erase(queue.begin());
    m_queue_keys.erase(id);
    return dispatch{id, admission::dispatch_rule::surplus};
  }
  return std::nullopt;
}

void baseline_scheduler::withdraw(std::uint64_t id, double /*now_s*/) {
  const auto found = m_queue_keys.find(id);
  if (found != m_queue_keys.end()) {
    m_queues[found->second.first].erase(found->second.second);
    m_queue_keys.erase(found);
  }
}

std::optional<std::uint64_t> baseline_scheduler::propose_preemption(
    double /*now_s*/, std::span<const admission::running_request> /*running*/) {
  return std::nullopt;
}

bool baseline_scheduler::may_retry(const offered_request& item, double /*now_s*/) {
  return m_source.classes[item.class_index].idempotent && item.attempt < max_attempts;
}

void baseline_scheduler::on_first_token(std::uint32_t /*class_index*/, double /*seconds*/,
                                        double /*now_s*/) {}

void baseline_scheduler::on_finished(std::uint32_t /*class_index*/, double /*output_tokens*/,
                                     double /*service_s*/, double /*now_s*/) {}

scheduler make_scheduler(scheduler_kind kind, const workload& source, std::uint64_t seed) {
  if (kind == scheduler_kind::fuchsia) {
    return scheduler(std::in_place_type<fuchsia_scheduler>, source, seed);
  }
  return scheduler(std::in_place_type<baseline_scheduler>, source,
                   kind == scheduler_kind::priority_least_requests);
}

choice_kind choice_kind_of(scheduler_kind kind) {
  switch (kind) {
    case scheduler_kind::fuchsia:
      return choice_kind::ramped_least_requests;
    case scheduler_kind::round_robin_fifo:
      return choice_kind::round_robin;
    case scheduler_kind::priority_least_requests:
      return choice_kind::least_requests;
  }
  return choice_kind::least_requests;
}

}  // namespace fuchsiaspring::bench
