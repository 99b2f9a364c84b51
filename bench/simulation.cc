#include "bench/simulation.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace fuchsiaspring::bench {
namespace {

constexpr double tick_s = 0.05;
constexpr double infinity = std::numeric_limits<double>::infinity();

enum class request_state { queued, running, in_time, refused, abandoned, late, failed };

struct request_record {
  request_state state = request_state::queued;
  offered_request item;
  int upstream = -1;
  std::uint64_t attempt_id = 0;
  std::vector<std::uint64_t> attempts;
  admission::dispatch_rule rule = admission::dispatch_rule::surplus;
  double dispatched_s = 0;
  double first_token_s = -1;
  bool conforming = false;
};

struct scheduled_action {
  double time_s = 0;
  const event_spec* event = nullptr;
  enum { begin, abort_running, end } step = begin;
};

struct pool_state {
  engine_pool engines;
  upstream_choice choice;
};

class simulation {
 public:
  simulation(const workload& source, const std::vector<arrival>& arrivals, scheduler_kind kind,
             std::uint64_t seed);

  run_result run();

 private:
  const class_spec& spec_of(const request_record& record) const {
    return m_source.classes[record.item.class_index];
  }
  pool_state& pool_of(const request_record& record) {
    return m_pools.at(spec_of(record).policy.pool);
  }
  bool is_measured(double time_s) const {
    return time_s >= m_source.warmup_s && time_s < m_source.duration_s;
  }

  void schedule_events();
  double next_time() const;
  void step(double now);
  void on_arrival(std::uint64_t id, double now);
  void offer(request_record& record, double now);
  void end_request(std::uint64_t id, request_state state);
  void remove_running(std::uint64_t id);
  void dispatch_queued(double now);
  void start(const dispatch& item, double now);
  void preempt(double now);
  void run_due_events(double now);
  void cancel_timed_out(double now);
  void on_milestone(const milestone& reached, double now);
  void retry_or_fail(request_record& record, double now);
  void collect_result(run_result& result);

  const workload& m_source;
  const std::vector<arrival>& m_arrivals;
  scheduler m_scheduler;
  std::map<std::string, pool_state> m_pools;
  std::vector<request_record> m_records;
  std::vector<scheduled_action> m_actions;
  std::set<std::pair<double, std::uint64_t>> m_caller_timeouts;
  std::map<std::uint64_t, std::uint64_t> m_request_by_attempt;
  std::set<std::uint64_t> m_running;
  std::map<std::string, std::size_t> m_running_by_class;
  pool_view m_pool_view;
  std::size_t m_next_arrival = 0;
  std::size_t m_next_action = 0;
  std::size_t m_unfinished = 0;
  std::uint64_t m_next_attempt = 1;
  double m_next_tick = 0;
  run_result m_result;
};

simulation::simulation(const workload& source, const std::vector<arrival>& arrivals,
                       scheduler_kind kind, std::uint64_t seed)
    : m_source(source),
      m_arrivals(arrivals),
      m_scheduler(make_scheduler(kind, source, seed)),
      m_records(arrivals.size()) {
  for (const pool_spec& pool : source.pools) {
    m_pools.emplace(pool.name, pool_state{engine_pool(pool, source.warmup_s, source.duration_s),
                                          upstream_choice(choice_kind_of(kind), pool)});
  }
  m_result.classes.resize(source.classes.size());
  m_pool_view.free_slots = [this](const std::string& name) {
    const pool_state& pool = m_pools.at(name);
    return pool.choice.free_slots(pool.engines);
  };
  m_pool_view.running = [this](const std::string& /*pool*/, const std::string& request_class) {
    return m_running_by_class[request_class];
  };
  schedule_events();
}

void simulation::schedule_events() {
  for (const event_spec& event : m_source.events) {
    if (event.kind == event_kind::burst) {
      continue;
    }
    m_actions.push_back({event.start_s, &event, scheduled_action::begin});
    if (event.kind == event_kind::domain_out) {
      m_actions.push_back({event.start_s + event.grace_s, &event, scheduled_action::abort_running});
      m_actions.push_back({event.end_s, &event, scheduled_action::end});
    }
  }
  std::ranges::sort(m_actions, {}, &scheduled_action::time_s);
}

double simulation::next_time() const {
  double time = m_next_tick;
  if (m_next_arrival < m_arrivals.size()) {
    time = std::min(time, m_arrivals[m_next_arrival].time_s);
  }
  if (m_next_action < m_actions.size()) {
    time = std::min(time, m_actions[m_next_action].time_s);
  }
  if (!m_caller_timeouts.empty()) {
    time = std::min(time, m_caller_timeouts.begin()->first);
  }
  for (const auto& [name, pool] : m_pools) {
    time = std::min(time, pool.engines.next_event());
  }
  return time;
}

void simulation::step(double now) {
  for (auto& [name, pool] : m_pools) {
    for (const milestone& reached : pool.engines.advance(now)) {
      on_milestone(reached, now);
    }
  }
  run_due_events(now);
  cancel_timed_out(now);
  while (m_next_arrival < m_arrivals.size() && m_arrivals[m_next_arrival].time_s <= now) {
    on_arrival(m_next_arrival++, now);
  }
  dispatch_queued(now);
  if (now >= m_next_tick) {
    m_next_tick = now + tick_s;
    preempt(now);
  }
}

void simulation::on_arrival(std::uint64_t id, double now) {
  const arrival& source = m_arrivals[id];
  request_record& record = m_records[id];
  record.item = {id, source.class_index, source.team_index, now, 1};
  m_unfinished += 1;
  m_caller_timeouts.emplace(now + spec_of(record).caller_timeout_seconds, id);
  offer(record, now);
}

void simulation::offer(request_record& record, double now) {
  record.state = request_state::queued;
  const auto removed =
      std::visit([&](auto& impl) { return impl.offer(record.item, now); }, m_scheduler);
  for (const std::uint64_t id : removed) {
    end_request(id, request_state::refused);
  }
}

void simulation::end_request(std::uint64_t id, request_state state) {
  request_record& record = m_records[id];
  record.state = state;
  m_unfinished -= 1;
  remove_running(id);
  m_caller_timeouts.erase({record.item.arrived_s + spec_of(record).caller_timeout_seconds, id});
}

void simulation::remove_running(std::uint64_t id) {
  if (m_running.erase(id) == 1) {
    m_running_by_class[spec_of(m_records[id]).policy.name] -= 1;
  }
}

void simulation::dispatch_queued(double now) {
  const auto expired = std::visit([&](auto& impl) { return impl.expire(now); }, m_scheduler);
  for (const std::uint64_t id : expired) {
    end_request(id, request_state::refused);
  }
  while (const auto item =
             std::visit([&](auto& impl) { return impl.next(now, m_pool_view); }, m_scheduler)) {
    start(*item, now);
  }
}

void simulation::start(const dispatch& item, double now) {
  request_record& record = m_records[item.id];
  pool_state& pool = pool_of(record);
  record.upstream = pool.choice.choose(pool.engines, record.upstream).value();
  record.state = request_state::running;
  record.rule = item.rule;
  record.dispatched_s = now;
  record.first_token_s = -1;
  record.attempt_id = m_next_attempt++;
  record.attempts.push_back(record.attempt_id);
  m_request_by_attempt[record.attempt_id] = item.id;
  m_running.insert(item.id);
  m_running_by_class[spec_of(record).policy.name] += 1;
  if (is_measured(now)) {
    m_result.classes[record.item.class_index].dispatched += 1;
  }
  const arrival& source = m_arrivals[item.id];
  pool.engines.start(record.upstream, record.attempt_id,
                     source.prompt_tokens * pool.engines.spec().prefill, source.output_tokens, now);
}

void simulation::preempt(double now) {
  std::vector<admission::running_request> running;
  for (const std::uint64_t id : m_running) {
    request_record& record = m_records[id];
    const class_spec& spec = spec_of(record);
    if (spec.policy.preemptible) {
      const double tokens = pool_of(record).engines.tokens(record.attempt_id);
      running.push_back({std::to_string(id), spec.policy.name, spec.policy.pool,
                         static_cast<std::uint32_t>(tokens), spec.idempotent, false, record.rule});
    }
  }
  while (!running.empty()) {
    const auto victim =
        std::visit([&](auto& impl) { return impl.propose_preemption(now, running); }, m_scheduler);
    if (!victim) {
      return;
    }
    request_record& record = m_records[*victim];
    pool_of(record).engines.cancel(record.attempt_id, now);
    std::erase_if(running, [&](const auto& item) { return item.id == std::to_string(*victim); });
    remove_running(*victim);
    m_result.preempted += 1;
    if (record.first_token_s < 0) {
      offer(record, now);
    } else {
      end_request(*victim, request_state::failed);
    }
    dispatch_queued(now);
  }
}

void simulation::run_due_events(double now) {
  for (; m_next_action < m_actions.size() && m_actions[m_next_action].time_s <= now;
       ++m_next_action) {
    const scheduled_action& action = m_actions[m_next_action];
    pool_state& pool = m_pools.at(action.event->pool);
    if (action.event->kind == event_kind::cold) {
      pool.engines.restart(action.event->index, now);
      continue;
    }
    for (int upstream = action.event->index; upstream < pool.engines.size();
         upstream += pool.engines.spec().domains) {
      if (action.step == scheduled_action::begin) {
        pool.engines.set_out_of_service(upstream, true);
      } else if (action.step == scheduled_action::abort_running) {
        pool.engines.abort_running(upstream, now);
      } else {
        pool.engines.restart(upstream, now);
        pool.engines.set_out_of_service(upstream, false);
        pool.choice.on_back_in_service(upstream);
      }
    }
  }
}

// Cancels the requests whose callers have received no first token within their timeout.
void simulation::cancel_timed_out(double now) {
  while (!m_caller_timeouts.empty() && m_caller_timeouts.begin()->first <= now) {
    const std::uint64_t id = m_caller_timeouts.begin()->second;
    request_record& record = m_records[id];
    if (record.state == request_state::queued) {
      std::visit([&](auto& impl) { impl.withdraw(id, now); }, m_scheduler);
    } else {
      pool_of(record).engines.cancel(record.attempt_id, now);
    }
    end_request(id, request_state::abandoned);
  }
}

void simulation::on_milestone(const milestone& reached, double now) {
  const std::uint64_t id = m_request_by_attempt.at(reached.attempt);
  request_record& record = m_records[id];
  if (record.state != request_state::running || record.attempt_id != reached.attempt) {
    return;
  }
  pool_state& pool = pool_of(record);
  const double since_dispatch = now - record.dispatched_s;
  const std::uint32_t class_index = record.item.class_index;
  if (reached.kind == milestone_kind::failed) {
    pool.choice.on_failed(reached.upstream);
    retry_or_fail(record, now);
    return;
  }
  if (reached.kind == milestone_kind::first_token) {
    record.first_token_s = now;
    m_caller_timeouts.erase({record.item.arrived_s + spec_of(record).caller_timeout_seconds, id});
    pool.choice.on_first_token(reached.upstream, since_dispatch);
    std::visit([&](auto& impl) { impl.on_first_token(class_index, since_dispatch, now); },
               m_scheduler);
    return;
  }
  pool.choice.on_finished(reached.upstream);
  std::visit(
      [&](auto& impl) {
        impl.on_finished(class_index, m_arrivals[id].output_tokens, since_dispatch, now);
      },
      m_scheduler);
  const double target = base::to_seconds(spec_of(record).policy.first_token_target);
  const bool in_time = record.first_token_s - record.item.arrived_s <= target &&
                       now - record.item.arrived_s <= spec_of(record).total_seconds;
  end_request(id, in_time ? request_state::in_time : request_state::late);
}

void simulation::retry_or_fail(request_record& record, double now) {
  remove_running(record.item.id);
  const bool retried =
      record.first_token_s < 0 &&
      std::visit([&](auto& impl) { return impl.may_retry(record.item, now); }, m_scheduler);
  if (!retried) {
    end_request(record.item.id, request_state::failed);
    return;
  }
  m_result.retries += 1;
  record.item.attempt += 1;
  offer(record, now);
}

run_result simulation::run() {
  while (m_next_arrival < m_arrivals.size() || m_unfinished > 0) {
    step(next_time());
  }
  collect_result(m_result);
  return m_result;
}

// Work that upstreams in service can complete in the measured interval. During a cold start caused
// by an event, an upstream counts as running its cold limit.
double scheduled_capacity(const workload& source) {
  double result = source.capacity() * (source.duration_s - source.warmup_s);
  const auto overlap = [&](double from, double to) {
    return std::max(0.0, std::min(to, source.duration_s) - std::max(from, source.warmup_s));
  };
  for (const event_spec& event : source.events) {
    if (event.kind == event_kind::burst) {
      continue;
    }
    const pool_spec& pool = source.pool(event.pool);
    const bool is_domain_event = event.kind == event_kind::domain_out;
    const int upstreams =
        is_domain_event ? (pool.upstreams - event.index + pool.domains - 1) / pool.domains : 1;
    const double warm_capacity = pool.upstream_capacity();
    const double cold_capacity =
        pool.cold_limit * pool.cold_speed / pool.token_seconds(pool.cold_limit);
    const double cold_from = is_domain_event ? event.end_s : event.start_s;
    const double withdrawn_loss =
        is_domain_event ? overlap(event.start_s, event.end_s) * warm_capacity : 0;
    const double cold_loss =
        overlap(cold_from, cold_from + pool.cold_seconds) * (warm_capacity - cold_capacity);
    result -= upstreams * (withdrawn_loss + cold_loss);
  }
  return result;
}

// Index of the team with the smallest guaranteed rate, or -1.
int smallest_guarantee_team(const workload& source) {
  int smallest = -1;
  double rate = infinity;
  for (std::size_t i = 0; i < source.teams.size(); ++i) {
    const auto& guarantees = source.teams[i].policy.guarantees;
    if (!guarantees.empty() && guarantees.front().requests_per_second < rate) {
      rate = guarantees.front().requests_per_second;
      smallest = static_cast<int>(i);
    }
  }
  return smallest;
}

// Marks the arrivals under the smallest guarantee that conform to a token bucket with its rate and
// burst.
void mark_conforming(const workload& source, std::vector<request_record>& records) {
  const int team = smallest_guarantee_team(source);
  if (team < 0) {
    return;
  }
  const admission::guarantee_policy& guarantee =
      source.teams[static_cast<std::size_t>(team)].policy.guarantees.front();
  double tokens = guarantee.burst;
  double last = 0;
  for (request_record& record : records) {
    const std::string& name = source.classes[record.item.class_index].policy.name;
    if (static_cast<int>(record.item.team_index) != team || name != guarantee.request_class) {
      continue;
    }
    const double elapsed = record.item.arrived_s - last;
    tokens = std::min(guarantee.burst, tokens + elapsed * guarantee.requests_per_second);
    last = record.item.arrived_s;
    if (tokens >= 1) {
      tokens -= 1;
      record.conforming = true;
    }
  }
}

bool has_burst(const workload& source, std::uint32_t team) {
  return std::ranges::any_of(source.events, [&](const event_spec& event) {
    return event.kind == event_kind::burst && event.team == source.teams[team].policy.name;
  });
}

void count_outcome(class_result& target, request_state state) {
  target.offered += 1;
  target.in_time += state == request_state::in_time ? 1 : 0;
  target.refused += state == request_state::refused ? 1 : 0;
  target.abandoned += state == request_state::abandoned ? 1 : 0;
  target.late += state == request_state::late ? 1 : 0;
  target.failed += state == request_state::failed ? 1 : 0;
}

void simulation::collect_result(run_result& result) {
  mark_conforming(m_source, m_records);
  result.capacity_work = scheduled_capacity(m_source);
  std::vector<double> events;
  for (const scheduled_action& action : m_actions) {
    if (action.step != scheduled_action::abort_running) {
      events.push_back(action.time_s);
    }
  }
  result.recoveries.resize(events.size());
  for (const request_record& record : m_records) {
    const bool in_time = record.state == request_state::in_time;
    const engine_pool& engines = pool_of(record).engines;
    for (const std::uint64_t attempt : record.attempts) {
      const double work = engines.measured_work(attempt);
      result.total_work += work;
      result.good_work += in_time && attempt == record.attempt_id ? work : 0;
    }
    if (!is_measured(record.item.arrived_s)) {
      continue;
    }
    const arrival& offered = m_arrivals[record.item.id];
    result.offered_work += offered.output_tokens + offered.prompt_tokens * engines.spec().prefill;
    count_outcome(result.classes[record.item.class_index], record.state);
    result.conforming += record.conforming ? 1 : 0;
    result.conforming_in_time += record.conforming && in_time ? 1 : 0;
    if (spec_of(record).policy.tier != m_source.tiers.front().name) {
      continue;
    }
    if (!has_burst(m_source, record.item.team_index)) {
      result.other_teams_offered += 1;
      result.other_teams_in_time += in_time ? 1 : 0;
    }
    for (std::size_t i = 0; i < events.size(); ++i) {
      const double since = record.item.arrived_s - events[i];
      if (since >= 0 && since < recovery_seconds) {
        result.recoveries[i].offered[static_cast<std::size_t>(since)] += 1;
        result.recoveries[i].in_time[static_cast<std::size_t>(since)] += in_time ? 1 : 0;
      }
    }
  }
}

}  // namespace

run_result simulate(const workload& source, const std::vector<arrival>& arrivals,
                    scheduler_kind kind, std::uint64_t seed) {
  return simulation(source, arrivals, kind, seed).run();
}

}  // namespace fuchsiaspring::bench
