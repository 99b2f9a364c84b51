#include "fuchsiaspring/node/scheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;

constexpr base::duration min_retry_after = milliseconds(100);
constexpr base::duration max_retry_after = std::chrono::seconds(3);
// Retry delays vary at random by up to this share in both directions.
constexpr double retry_after_spread = 0.25;
// A retry delay that follows from the end of a pause is longer by up to this share, so that callers
// return one after the other and not before that end.
constexpr double pause_spread = 0.5;
// Replicas that replace leaving ones are started and published within a few seconds.
constexpr base::duration retry_after_leaving = std::chrono::seconds(1);
// Only a change of the configuration lets such requests run.
constexpr base::duration retry_after_no_region = std::chrono::seconds(10);
// A request that can no longer meet its target is refused instead of queued as late once it has
// waited for this share of the time that it had left on admission: the response would probably
// arrive after its caller has left.
constexpr double max_wait_share_of_time_left = 0.7;
// Requests that one pump() passes over because no replica in service is permitted for them. Bounds
// its work, and the dispatches that put_back() leaves counted in the rate of the pool.
constexpr std::size_t max_passed_over = 4;

// Whether other requests of the same class may get replicas that this one may not.
bool is_restricted(const placement::request_profile& profile) {
  return !profile.excluded.empty() || !profile.home_regions.is_any();
}

bool has_gap_targets(const routes::configuration& config, const std::string& service) {
  return std::any_of(config.routes.begin(), config.routes.end(), [&](const routes::route& each) {
    return each.event_gap_target.count() > 0 &&
           std::any_of(
               each.services.begin(), each.services.end(),
               [&](const routes::weighted_service& used) { return used.service == service; });
  });
}

placement::service_profile make_profile(const routes::service& service,
                                        const routes::configuration& config) {
  placement::service_profile profile{.name = service.name,
                                     .connection_limit = service.connection_limit,
                                     .cold_start = service.cold_start,
                                     .cold_requests_per_s = service.cold_requests_per_s};
  if (service.engine) {
    profile.is_engine = true;
    profile.can_fetch = service.engine->can_fetch;
    profile.kv_bytes_per_token = service.engine->kv_bytes_per_token;
    profile.link_mbps = service.engine->link_mbps;
    profile.tokens_per_event = service.engine->tokens_per_event;
    profile.kv_tokens = service.engine->kv_tokens;
    profile.has_gap_targets = has_gap_targets(config, service.name);
  }
  return profile;
}

// How long requests of the class are queued after their arrival, 0: without limit.
base::duration longest_wait(const admission::policy& policy, std::string_view name) {
  for (const admission::class_policy& each : policy.classes) {
    if (each.name == name) {
      return each.first_token_target;
    }
  }
  return {};
}

// Sets a flag for the time of a scope, also if the scope is left by an exception.
class flag_guard {
 public:
  explicit flag_guard(bool& flag) : m_flag(flag) { m_flag = true; }
  ~flag_guard() { m_flag = false; }
  flag_guard(const flag_guard&) = delete;
  flag_guard& operator=(const flag_guard&) = delete;
  flag_guard(flag_guard&&) = delete;
  flag_guard& operator=(flag_guard&&) = delete;

 private:
  bool& m_flag;
};

refusal_reason to_refusal_reason(admission::refusal_reason reason) {
  switch (reason) {
    case admission::refusal_reason::queue_full:
      return refusal_reason::queue_full;
    case admission::refusal_reason::displaced:
      return refusal_reason::displaced;
    case admission::refusal_reason::deadline_unreachable:
      return refusal_reason::too_late;
    case admission::refusal_reason::unknown_class:
    case admission::refusal_reason::unknown_team:
      return refusal_reason::unknown_service;
  }
  return refusal_reason::too_late;
}

}  // namespace

std::string_view to_string(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::unknown_service:
      return "unknown_service";
    case refusal_reason::no_replica:
      return "no_replica";
    case refusal_reason::queue_full:
      return "queue_full";
    case refusal_reason::displaced:
      return "displaced";
    case refusal_reason::too_late:
      return "too_late";
    case refusal_reason::replicas_held:
      return "replicas_held";
    case refusal_reason::replicas_leaving:
      return "replicas_leaving";
    case refusal_reason::no_permitted_region:
      return "no_permitted_region";
  }
  return "unknown";
}

scheduler::scheduler(placement::placer_config config, std::uint64_t seed, base::time_point now)
    : m_placer(std::move(config)),
      m_queue(admission::policy{}, now),
      m_urgencies({}),
      m_random(seed) {}

void scheduler::adopt(const routes::configuration& config,
                      const std::vector<placement::replica>& replicas,
                      const std::set<std::string>& evacuated_domains, base::time_point now) {
  std::vector<placement::service_profile> profiles;
  profiles.reserve(config.services.size());
  for (const routes::service& each : config.services) {
    profiles.push_back(make_profile(each, config));
  }
  m_placer.update(profiles, replicas, evacuated_domains, now);
  m_urgencies = routes::urgency_order(config);
  const admission::policy former =
      std::exchange(m_policy, make_admission_policy(config, m_urgencies));
  // A failed attempt of a request that was routed by the previous configuration may still be
  // repeated; of older configurations only the classes under which requests wait are needed.
  m_policy_in_force =
      with_former_classes(with_former_classes(m_policy, former),
                          with_classes_only(m_policy_in_force, classes_of_waiting()));
  for (const auto& removed : m_queue.update_policy(m_policy_in_force, now)) {
    handle_removed(removed, now);
  }
  pump(now);
}

std::set<std::string> scheduler::classes_of_waiting() const {
  std::set<std::string> names;
  for (const auto& [id, item] : m_waiting) {
    const admission_request& request = item.request;
    names.insert(class_name(request.group, request.urgency, false));
    names.insert(class_name(request.group, request.urgency, true));
  }
  return names;
}

urgency_rank scheduler::rank_of(const routes::urgency& level) const {
  return {m_urgencies.rank(level), static_cast<std::uint32_t>(m_urgencies.levels().size())};
}

bool scheduler::is_queue_empty_for(const std::string& service) const {
  return m_queue.size() == 0 || m_queue.size(service) == 0;
}

void scheduler::admit(const admission_request& request, result_handler on_result,
                      base::time_point now) {
  if (!m_placer.has_region(request.profile.home_regions)) {
    call_handler(on_result,
                 refusal{refusal_reason::no_permitted_region, spread(retry_after_no_region)});
    rethrow_handler_failure();
    return;
  }
  if (is_queue_empty_for(request.profile.service)) {
    const placement::decision decision = m_placer.choose(request.profile, now);
    if (const auto* chosen = std::get_if<placement::choice>(&decision)) {
      deliver_grant(on_result, request.profile, {*chosen, {}}, now);
      rethrow_handler_failure();
      return;
    }
    if (std::get<placement::no_choice_reason>(decision) ==
        placement::no_choice_reason::unknown_service) {
      call_handler(on_result, refusal{refusal_reason::unknown_service, spread(min_retry_after)});
      rethrow_handler_failure();
      return;
    }
  }
  const std::string id = request.id;
  waiting_request added{request, std::move(on_result), now};
  added.request.group =
      find_group(m_policy_in_force, request.group, request.profile.service, request.urgency);
  if (const auto refused = refusal_for_pause(added, now)) {
    call_handler(added.on_result, *refused);
    rethrow_handler_failure();
    return;
  }
  m_waiting.insert_or_assign(id, std::move(added));
  enqueue(id, now);
  pump(now);
}

std::optional<placement::choice> scheduler::find_replica(const placement::request_profile& profile,
                                                         base::time_point now) {
  const placement::decision decision = m_placer.choose(profile, now);
  const auto* chosen = std::get_if<placement::choice>(&decision);
  return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

grant scheduler::grant_replica(const placement::request_profile& profile,
                               const placement::choice& chosen, base::time_point now) {
  m_placer.on_dispatch(chosen.replica_id, profile, chosen, now);
  return {chosen, {}};
}

void scheduler::enqueue(const std::string& id, base::time_point now) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return;
  }
  const waiting_request& item = found->second;
  const admission_request& request = item.request;
  const admission::queue_request queued{
      .id = id,
      .team = request.team,
      .request_class = class_name(request.group, request.urgency, item.is_late),
      .pool = request.profile.service,
      .waited = request.waited + (now - item.admitted_at),
      .first_token_estimate =
          item.is_late ? base::duration{} : m_placer.mean_first_token_time(request.profile),
      .cost = std::max(1.0, static_cast<double>(request.profile.prompt_tokens) / 1000)};
  const admission::offer_outcome outcome = m_queue.offer(queued, now, m_random);
  for (const auto& removed : outcome.displaced) {
    handle_removed(removed, now);
  }
  if (const auto* refused = std::get_if<admission::refused>(&outcome.decision)) {
    handle_removed({queued, *refused}, now);
  }
}

void scheduler::handle_removed(const admission::removed_request& removed, base::time_point now) {
  const auto found = m_waiting.find(removed.request.id);
  if (found == m_waiting.end()) {
    return;
  }
  if (removed.refusal.reason == admission::refusal_reason::deadline_unreachable &&
      !found->second.is_late) {
    enqueue_as_late(removed.request.id, now);
    return;
  }
  const base::duration wait = retry_after(found->second, now);
  deliver_result(removed.request.id, refusal{to_refusal_reason(removed.refusal.reason), wait});
}

void scheduler::enqueue_as_late(const std::string& id, base::time_point now) {
  waiting_request& item = m_waiting.find(id)->second;
  const base::duration waited = now - item.admitted_at;
  const base::duration max_wait =
      base::from_seconds(max_wait_share_of_time_left * base::to_seconds(item.request.time_left));
  if (waited >= max_wait) {
    deliver_result(id, refusal{refusal_reason::too_late, retry_after(item, now)});
    return;
  }
  item.is_late = true;
  enqueue(id, now);
}

base::duration scheduler::retry_after(const waiting_request& item, base::time_point now) {
  const admission_request& request = item.request;
  if (const auto pause = pause_of_next(request.profile, now)) {
    return delay_of(*pause, now);
  }
  const base::duration expected = m_queue.expected_wait(
      request.profile.service, class_name(request.group, request.urgency, item.is_late),
      request.team, now);
  return spread(std::clamp(expected, min_retry_after, max_retry_after));
}

base::duration scheduler::spread(base::duration delay) {
  const double factor = 1 + retry_after_spread * (2 * m_random.uniform() - 1);
  return base::from_seconds(factor * base::to_seconds(delay));
}

base::duration scheduler::delay_of(const placement::service_pause& pause, base::time_point now) {
  const base::duration delay =
      pause.ends_at ? std::max(*pause.ends_at - now, min_retry_after) : retry_after_leaving;
  return base::from_seconds((1 + pause_spread * m_random.uniform()) * base::to_seconds(delay));
}

std::optional<placement::service_pause> scheduler::pause_of_next(
    const placement::request_profile& profile, base::time_point now) const {
  return m_placer.find_pause({.service = profile.service, .home_regions = profile.home_regions},
                             now);
}

base::duration scheduler::retry_delay(const placement::request_profile& profile,
                                      base::duration usual, base::time_point now) {
  const auto pause = pause_of_next(profile, now);
  return pause ? std::max(usual, delay_of(*pause, now)) : usual;
}

bool scheduler::can_wait_until(const waiting_request& item, base::time_point until) const {
  const admission_request& request = item.request;
  const base::duration wait = until - item.admitted_at;
  if (wait + m_placer.mean_first_token_time(request.profile) >= request.time_left) {
    return false;
  }
  const base::duration limit =
      longest_wait(m_policy_in_force, class_name(request.group, request.urgency, true));
  return limit.count() == 0 || request.waited + wait < limit;
}

std::optional<refusal> scheduler::refusal_for_pause(const waiting_request& item,
                                                    base::time_point now) {
  const auto pause = m_placer.find_pause(item.request.profile, now);
  if (!pause) {
    return std::nullopt;
  }
  if (!pause->ends_at) {
    return refusal{refusal_reason::replicas_leaving, retry_after(item, now)};
  }
  if (can_wait_until(item, *pause->ends_at)) {
    return std::nullopt;
  }
  return refusal{refusal_reason::replicas_held, retry_after(item, now)};
}

// A pause that begins or grows concerns all queued requests, not only those at the queue's heads.
// Whether a request can wait for the end of a pause does not change while it waits.
void scheduler::refuse_paused(base::time_point now) {
  auto pauses = m_placer.service_pauses(now);
  if (pauses == m_known_pauses) {
    return;
  }
  m_known_pauses = std::move(pauses);
  std::vector<std::pair<std::string, refusal>> refused;
  for (const auto& [id, item] : m_waiting) {
    if (!m_known_pauses.contains(item.request.profile.service)) {
      continue;
    }
    if (const auto result = refusal_for_pause(item, now)) {
      refused.emplace_back(id, *result);
    }
  }
  for (const auto& [id, result] : refused) {
    m_queue.withdraw(id, now);
    deliver_result(id, result);
  }
}

void scheduler::withdraw(std::string_view id, base::time_point now) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return;
  }
  m_queue.withdraw(id, now);
  m_waiting.erase(found);
}

void scheduler::deliver_result(const std::string& id, const admission_result& result) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return;
  }
  const result_handler on_result = std::move(found->second.on_result);
  m_waiting.erase(found);
  call_handler(on_result, result);
}

void scheduler::deliver_grant(const result_handler& on_result,
                              const placement::request_profile& profile, const grant& granted,
                              base::time_point now) {
  const placement::choice& chosen = granted.chosen;
  m_placer.on_dispatch(chosen.replica_id, profile, chosen, now);
  if (!call_handler(on_result, granted)) {
    m_placer.on_end(chosen.replica_id, chosen, placement::outcome::cancelled, false, now);
  }
}

bool scheduler::call_handler(const result_handler& on_result, const admission_result& result) {
  ++m_running_handlers;
  bool has_returned = false;
  try {
    on_result(result);
    has_returned = true;
  } catch (...) {
    if (m_handler_failure == nullptr) {
      m_handler_failure = std::current_exception();
    }
  }
  --m_running_handlers;
  return has_returned;
}

void scheduler::rethrow_handler_failure() {
  // Inside a handler, the exception would be taken for one of that handler's own request.
  if (m_running_handlers == 0 && m_handler_failure != nullptr) {
    std::rethrow_exception(std::exchange(m_handler_failure, nullptr));
  }
}

void scheduler::pump(base::time_point now) {
  // A result handler may admit or end other requests, which calls pump() again.
  if (!m_is_pumping && !m_waiting.empty()) {
    const flag_guard guard(m_is_pumping);
    grant_and_refuse(now);
  }
  rethrow_handler_failure();
}

void scheduler::grant_and_refuse(base::time_point now) {
  for (const auto& removed : m_queue.expire(now, m_random)) {
    handle_removed(removed, now);
  }
  refuse_paused(now);
  std::set<std::pair<std::string, std::string>> blocked;
  const auto can_dispatch = [&](std::string_view pool, std::string_view request_class) {
    return !blocked.contains({std::string(pool), std::string(request_class)});
  };
  std::vector<admission::dispatched_request> passed_over;
  while (const auto next = m_queue.next(now, can_dispatch)) {
    const auto found = m_waiting.find(next->request.id);
    if (found == m_waiting.end()) {
      continue;
    }
    waiting_request& item = found->second;
    placement::request_profile profile = item.request.profile;
    profile.waited = item.request.waited + (now - item.admitted_at);
    const placement::decision decision = m_placer.choose(profile, now);
    const auto* chosen = std::get_if<placement::choice>(&decision);
    if (chosen == nullptr) {
      const auto reason = std::get<placement::no_choice_reason>(decision);
      if (reason == placement::no_choice_reason::unknown_service) {
        deliver_result(next->request.id,
                       refusal{refusal_reason::unknown_service, spread(min_retry_after)});
        continue;
      }
      const bool is_without_replica = reason == placement::no_choice_reason::no_replica;
      // The service may serve others while the replicas that this request may use are held.
      const auto refused = is_without_replica ? refusal_for_pause(item, now) : std::nullopt;
      if (refused) {
        deliver_result(next->request.id, *refused);
        continue;
      }
      if (is_without_replica && is_restricted(profile) && passed_over.size() < max_passed_over) {
        passed_over.push_back(*next);
        continue;
      }
      blocked.insert({next->request.pool, next->request.request_class});
      m_queue.put_back(*next, now);
      continue;
    }
    const waiting_request granted = std::move(item);
    m_waiting.erase(found);
    deliver_grant(granted.on_result, granted.request.profile, {*chosen, now - granted.admitted_at},
                  now);
  }
  // In reverse, so that each team gets its fair share back.
  for (auto it = passed_over.rbegin(); it != passed_over.rend(); ++it) {
    if (m_waiting.contains(it->request.id)) {  // not withdrawn by a result handler
      m_queue.put_back(*it, now);
    }
  }
}

}  // namespace fuchsiaspring::node
