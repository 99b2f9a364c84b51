// Admission and grant handling; the rest of class scheduler is in scheduler.cc.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "apps/scheduler/scheduler.h"

namespace fuchsiaspring::scheduler {
namespace {

using std::chrono::milliseconds;

constexpr base::duration default_first_token_time = milliseconds(200);
// Median: a higher quantile would refuse requests although half of them can be served in time.
constexpr double estimate_quantile = 0.5;
constexpr double tokens_per_cost_unit = 256;
constexpr double default_output_tokens = 256;
// Cost of prefilling one prompt token relative to generating one token.
constexpr double prompt_token_cost = 0.05;
constexpr std::size_t max_early_requests = 1000;
constexpr base::duration default_retry_after = std::chrono::seconds(1);

routing::failure_kind failure_kind_of(const schema::AttemptReport& report) {
  const std::string& reason = report.reason();
  if (reason == "upstream_connect") {
    return routing::failure_kind::connect;
  }
  if (reason == "upstream_timeout") {
    return routing::failure_kind::timeout;
  }
  if (reason == "upstream_incomplete" || reason == "upstream_invalid") {
    return routing::failure_kind::broken_stream;
  }
  if (reason == "upstream_error") {
    return routing::failure_kind::server_error;
  }
  return routing::failure_kind::cancelled;
}

// 429 on overload, where the caller should slow down; 503 for everything else.
std::uint32_t http_status_for(const std::string& reason) {
  const bool is_overload = reason == "queue_full" || reason == "displaced" ||
                           reason == "deadline_unreachable" || reason == "retry_budget";
  return is_overload ? 429 : 503;
}

}  // namespace

admission::queue_request scheduler::make_queue_request(const schema::AdmitRequest& request) const {
  double output =
      m_length_estimator.output_tokens(request.request_class(), request.pool(), estimate_quantile)
          .value_or(default_output_tokens);
  if (request.max_tokens() != 0) {
    output = std::min<double>(output, request.max_tokens());
  }
  const double tokens = output + request.prompt_tokens() * prompt_token_cost;
  return {.id = request.request_id(),
          .team = request.team(),
          .request_class = request.request_class(),
          .pool = request.pool(),
          .waited = milliseconds(request.waited_ms()),
          .first_token_estimate =
              m_length_estimator
                  .first_token_time(request.request_class(), request.pool(), estimate_quantile)
                  .value_or(default_first_token_time),
          .cost = tokens / tokens_per_cost_unit};
}

std::optional<std::string> scheduler::find_refusal_reason(const schema::AdmitRequest& request) {
  if (!m_queue) {
    return "no_configuration";
  }
  if (m_isolated) {
    return "isolated";
  }
  const std::vector<std::string> excluded(request.excluded_upstreams().begin(),
                                          request.excluded_upstreams().end());
  const auto refusal = m_router.check_capacity({.pool = request.pool(), .excluded = excluded},
                                               base::boot_clock::now());
  if (refusal && *refusal != routing::refusal_reason::upstreams_busy) {
    return std::string(routing::to_string(*refusal));
  }
  return std::nullopt;
}

void scheduler::handle_admit(const schema::AdmitRequest& request, const std::string& gateway) {
  const std::string& id = request.request_id();
  // Held back: the agent sends the configuration within a fraction of a second after a restart.
  if (!m_queue && m_early_requests.size() < max_early_requests) {
    m_early_requests.push_back({request, gateway});
    return;
  }
  if (m_waiting.contains(id)) {
    return;  // resent by the gateway
  }
  if (const grant_entry* granted = m_grants.find_request(id);
      granted != nullptr && granted->attempt == request.attempt()) {
    return;
  }
  if (!is_retry_in_budget(request)) {
    refuse(id, request.attempt(), gateway, "retry_budget", default_retry_after);
    return;
  }
  if (const auto reason = find_refusal_reason(request)) {
    refuse(id, request.attempt(), gateway, *reason, default_retry_after);
    return;
  }
  enqueue(request, gateway);
}

bool scheduler::is_retry_in_budget(const schema::AdmitRequest& request) {
  const auto budget = m_retry_budgets.find(request.request_class());
  if (budget == m_retry_budgets.end()) {
    return request.attempt() <= 1;
  }
  const base::time_point now = base::boot_clock::now();
  if (request.attempt() <= 1) {
    budget->second.record_request(now);
    return true;
  }
  return budget->second.try_spend(now);
}

void scheduler::enqueue(const schema::AdmitRequest& request, const std::string& gateway) {
  const base::time_point now = base::boot_clock::now();
  const auto outcome = m_queue->offer(make_queue_request(request), now, m_random);
  refuse_removed(outcome.displaced);
  if (const auto* refused = std::get_if<admission::refused>(&outcome.decision)) {
    refuse(request.request_id(), request.attempt(), gateway,
           std::string(admission::to_string(refused->reason)), refused->retry_after);
    return;
  }
  m_waiting.insert_or_assign(request.request_id(), waiting_request{request, gateway});
}

void scheduler::refuse_removed(const std::vector<admission::removed_request>& removed) {
  for (const admission::removed_request& item : removed) {
    const auto found = m_waiting.find(item.request.id);
    if (found == m_waiting.end()) {
      continue;
    }
    const waiting_request waiting = std::move(found->second);
    m_waiting.erase(found);
    refuse(item.request.id, waiting.request.attempt(), waiting.gateway,
           std::string(admission::to_string(item.refusal.reason)), item.refusal.retry_after);
  }
}

void scheduler::refuse(const std::string& request_id, std::uint32_t attempt,
                       const std::string& gateway, const std::string& reason,
                       base::duration retry_after) {
  m_metrics.count("fuchsia_admission_refusals_total", "Refused admissions by reason.",
                  {{"reason", reason}});
  m_decisions.add(request_id, "refused: " + reason);
  schema::Envelope message;
  auto& decision = *message.mutable_admit_decision();
  decision.set_request_id(request_id);
  decision.set_attempt(attempt);
  decision.set_revision(m_catalog ? m_catalog->revision() : 0);
  auto& refusal = *decision.mutable_refusal();
  refusal.set_reason(reason);
  refusal.set_http_status(http_status_for(reason));
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  refusal.set_retry_after_s(static_cast<std::uint32_t>(std::max<std::int64_t>(1, seconds)));
  m_messenger.send(gateway, std::move(message));
}

void scheduler::dispatch_queued(base::time_point now) {
  if (!m_queue || m_queue->size() == 0) {
    return;
  }
  refuse_removed(m_queue->expire(now, m_random));
  const admission::dispatch_predicate has_free_slot = [&](std::string_view pool, std::string_view) {
    return m_router.free_slots(pool, now) > 0;
  };
  while (const auto dispatched = m_queue->next(now, has_free_slot)) {
    if (!try_start(*dispatched, now)) {
      m_queue->put_back(*dispatched, now);
      break;
    }
  }
  preempt(now);
}

bool scheduler::try_start(const admission::dispatched_request& dispatched, base::time_point now) {
  const auto found = m_waiting.find(dispatched.request.id);
  if (found == m_waiting.end()) {
    return true;
  }
  const schema::AdmitRequest& request = found->second.request;
  const std::vector<std::string> excluded(request.excluded_upstreams().begin(),
                                          request.excluded_upstreams().end());
  const auto picked = m_router.pick(
      {.pool = request.pool(), .prefix_hash = request.prefix_hash(), .excluded = excluded}, now,
      m_random);
  if (const auto* reason = std::get_if<routing::refusal_reason>(&picked)) {
    if (*reason == routing::refusal_reason::upstreams_busy) {
      return false;
    }
    refuse(request.request_id(), request.attempt(), found->second.gateway,
           std::string(routing::to_string(*reason)), default_retry_after);
    m_waiting.erase(found);
    return true;
  }
  // Credits expire, so they are checked again right before the grant.
  if (!m_shares.may_start(std::get<routing::choice>(picked).upstream, now)) {
    return false;
  }
  const waiting_request waiting = std::move(found->second);
  m_waiting.erase(found);
  grant(waiting, std::get<routing::choice>(picked), dispatched.rule, now);
  return true;
}

void scheduler::grant(const waiting_request& waiting, const routing::choice& chosen,
                      admission::dispatch_rule rule, base::time_point now) {
  const schema::AdmitRequest& request = waiting.request;
  const auto member = m_catalog->find_upstream(chosen.upstream);
  if (!member) {
    refuse(request.request_id(), request.attempt(), waiting.gateway, "no_upstream",
           default_retry_after);
    return;
  }
  const std::uint64_t id = ++m_next_grant_id;
  m_router.on_dispatch(chosen.upstream, now, request.prefix_hash());
  m_shares.on_start(chosen.upstream, limits::request_origin::granted_here, now);
  m_grants.add({.grant_id = id,
                .request_id = request.request_id(),
                .gateway = waiting.gateway,
                .upstream = chosen.upstream,
                .pool = request.pool(),
                .request_class = request.request_class(),
                .attempt = request.attempt(),
                .prompt_tokens = request.prompt_tokens(),
                .idempotent = request.idempotent(),
                .rule = rule,
                .granted_at = now,
                .last_report_at = now});
  m_metrics.count(
      "fuchsia_grants_total", "Granted requests by rule.",
      {{"class", request.request_class()}, {"rule", std::string(admission::to_string(rule))}});
  m_decisions.add(request.request_id(),
                  "granted " + chosen.upstream + " by rule " +
                      std::string(admission::to_string(rule)) +
                      (chosen.affinity ? ", cached prefix" : "") +
                      (chosen.spill_over ? ", not in the nearest domain" : ""));
  schema::Envelope message;
  auto& decision = *message.mutable_admit_decision();
  decision.set_request_id(request.request_id());
  decision.set_attempt(request.attempt());
  decision.set_revision(m_catalog->revision());
  auto& granted = *decision.mutable_grant();
  granted.set_grant_id(id);
  granted.set_upstream(chosen.upstream);
  granted.set_address(member->upstream->address());
  granted.set_tls(member->upstream->tls());
  granted.set_priority(m_catalog->tier_rank(request.request_class()).value_or(0));
  m_messenger.send(waiting.gateway, std::move(message));
}

void scheduler::preempt(base::time_point now) {
  if (m_queue->size() == 0) {
    return;
  }
  const auto proposal = m_queue->propose_preemption(now, m_grants.running_requests(now));
  if (!proposal) {
    return;
  }
  grant_entry* victim = m_grants.find_request(proposal->victim_id);
  if (victim == nullptr) {
    return;
  }
  victim->cancelling = true;
  m_queue->record_preempted(victim->pool, victim->request_class);
  m_metrics.count("fuchsia_preemptions_total", "Running requests cancelled for a higher tier.",
                  {{"class", victim->request_class}});
  m_decisions.add(victim->request_id, "preempted for " + proposal->beneficiary_id);
  schema::Envelope message;
  message.mutable_cancel_request()->set_request_id(victim->request_id);
  message.mutable_cancel_request()->set_reason("preempted");
  m_messenger.send(victim->gateway, std::move(message));
}

void scheduler::adopt_running(const schema::AttemptReport& report, const std::string& gateway) {
  const base::time_point now = base::boot_clock::now();
  m_router.on_dispatch(report.upstream(), now);
  m_shares.on_start(report.upstream(), limits::request_origin::before_restart, now);
  m_grants.add({.grant_id = report.grant_id(),
                .request_id = report.request_id(),
                .gateway = gateway,
                .upstream = report.upstream(),
                .pool = report.pool(),
                .request_class = report.request_class(),
                .origin = limits::request_origin::before_restart,
                .granted_at = now,
                .last_report_at = now});
}

void scheduler::handle_report(const schema::AttemptReport& report, const std::string& gateway) {
  const base::time_point now = base::boot_clock::now();
  grant_entry* entry = m_grants.find(report.grant_id());
  const bool is_in_flight = report.phase() == schema::ATTEMPT_PHASE_DISPATCHED ||
                            report.phase() == schema::ATTEMPT_PHASE_FIRST_TOKEN ||
                            report.phase() == schema::ATTEMPT_PHASE_RUNNING;
  if (entry == nullptr) {
    if (is_in_flight) {
      adopt_running(report, gateway);
    }
    return;
  }
  entry->last_report_at = now;
  if (report.phase() == schema::ATTEMPT_PHASE_FIRST_TOKEN) {
    entry->first_token_at = now;
    const base::duration elapsed = milliseconds(report.elapsed_ms());
    m_router.on_first_token(entry->upstream,
                            {.elapsed = elapsed, .prompt_tokens = entry->prompt_tokens}, now);
    m_length_estimator.record_first_token(entry->request_class, entry->pool, elapsed, now);
  }
  if (!is_in_flight) {
    const auto ended = m_grants.remove(report.grant_id());
    end_grant(report, *ended, now);
  }
}

void scheduler::end_grant(const schema::AttemptReport& report, const grant_entry& entry,
                          base::time_point now) {
  m_shares.on_finish(entry.upstream, entry.origin, now);
  if (report.phase() == schema::ATTEMPT_PHASE_FINISHED) {
    m_router.on_finish(entry.upstream, now);
    if (report.tokens() > 0) {
      m_length_estimator.record_finished(entry.request_class, entry.pool, report.tokens(),
                                         milliseconds(report.elapsed_ms()), now);
    }
  } else {
    m_router.on_failure(entry.upstream, failure_kind_of(report), now);
  }
}

std::optional<std::string> scheduler::not_ready_reason() const {
  const std::lock_guard lock(m_status_mutex);
  return m_not_ready_reason.empty() ? std::nullopt : std::optional(m_not_ready_reason);
}

std::string scheduler::status() const {
  const std::lock_guard lock(m_status_mutex);
  return m_status;
}

void scheduler::publish_status(base::time_point now) {
  nlohmann::json pools = nlohmann::json::object();
  nlohmann::json classes = nlohmann::json::array();
  if (m_catalog) {
    for (const schema::Pool& pool : m_catalog->objects().pools()) {
      nlohmann::json upstreams = nlohmann::json::array();
      for (const routing::upstream_status& item : m_router.status(pool.name(), now)) {
        const auto share = m_shares.status(item.name, now);
        upstreams.push_back({{"name", item.name},
                             {"share", share.share},
                             {"lent", share.lent},
                             {"borrowed", share.borrowed},
                             {"in_flight", item.in_flight},
                             {"usable", item.slot_share},
                             {"ramp_limit", item.ramp_limit},
                             {"limit", item.limit},
                             {"load", item.load},
                             {"ejected", item.ejected},
                             {"leaving", item.leaving},
                             {"in_service", item.in_service}});
      }
      pools[pool.name()] = std::move(upstreams);
    }
    for (const admission::class_snapshot& item : m_queue->class_snapshots(now)) {
      classes.push_back({{"pool", item.pool},
                         {"class", item.request_class},
                         {"tier_rank", item.tier_rank},
                         {"queued", item.queued},
                         {"bound", item.bound},
                         {"oldest_wait_ms", base::to_milliseconds(item.oldest_wait)},
                         {"dispatched", item.dispatched},
                         {"dispatched_by_floor", item.dispatched_by_floor}});
    }
  }
  const nlohmann::json status{{"program", "fuchsia-scheduler"},
                              {"vm", m_settings.vm()},
                              {"failure_domain", m_settings.failure_domain()},
                              {"revision", m_catalog ? m_catalog->revision() : 0},
                              {"list_version", m_vm_list.version()},
                              {"shares_in_force", m_shares.is_in_force(now)},
                              {"isolated", m_isolated},
                              {"in_flight", m_grants.size()},
                              {"pools", std::move(pools)},
                              {"classes", std::move(classes)}};
  const std::lock_guard lock(m_status_mutex);
  m_status = status.dump(2) + "\n";
  m_not_ready_reason = m_draining                   ? "the program is stopping"
                       : !m_catalog                 ? "no configuration yet"
                       : m_isolated                 ? "cut off from the other VMs"
                       : !m_shares.has_credits(now) ? "no shares of the upstreams yet"
                                                    : "";
}

}  // namespace fuchsiaspring::scheduler
