#include "apps/gateway/gateway.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "apps/gateway/retry_rule.h"
#include "fuchsiaspring/base/digest.h"
#include "fuchsiaspring/idempotency/key_time.h"

namespace fuchsiaspring::gateway {
namespace {

using std::chrono::milliseconds;

// The agent itself bounds the round of messages to other VMs; this covers an agent that is down.
constexpr base::duration claim_timeout = std::chrono::seconds(1);
constexpr base::duration default_max_wait = std::chrono::minutes(10);

std::string_view key_state_name(schema::KeyState state) {
  switch (state) {
    case schema::KEY_STATE_RECORDED:
      return "running";
    case schema::KEY_STATE_FINISHED:
      return "finished";
    default:
      return "unknown";
  }
}

refusal admission_refusal(const admission_refused& refused) {
  const schema::Refusal& scheduler_refusal = refused.refusal;
  return {.status = scheduler_refusal.http_status() == 0
                        ? 503
                        : static_cast<int>(scheduler_refusal.http_status()),
          .reason = scheduler_refusal.reason(),
          .message = "The request was not admitted: " + scheduler_refusal.reason() + ".",
          .retry_after_s = std::max(1U, scheduler_refusal.retry_after_s())};
}

refusal admission_failure_refusal(admission_failure failure) {
  switch (failure) {
    case admission_failure::caller_gone:
      return {.status = 499, .reason = "caller_gone", .message = "The caller is gone."};
    case admission_failure::timed_out:
      return {.status = 503, .reason = "admission_timeout", .message = "The wait was too long."};
    case admission_failure::scheduler_unavailable:
      break;
  }
  return {.status = 503,
          .reason = "scheduler_unavailable",
          .message = "The scheduler of this VM does not answer."};
}

schema::AdmitRequest make_admit_request(const request_record& record, std::uint32_t attempt,
                                        const std::vector<std::string>& tried_upstreams) {
  const caller_request& request = record.request();
  schema::AdmitRequest message;
  message.set_request_id(record.id());
  message.set_team(request.route.team->name());
  message.set_request_class(request.route.request_class->name());
  message.set_pool(request.route.pool->name());
  message.set_prompt_tokens(request.prompt_tokens);
  message.set_max_tokens(request.max_tokens);
  message.set_prefix_hash(request.prefix_hash);
  message.set_idempotent(request.idempotent);
  message.set_attempt(attempt);
  message.set_waited_ms(static_cast<std::uint32_t>(base::to_milliseconds(record.age())));
  for (const std::string& upstream : tried_upstreams) {
    message.add_excluded_upstreams(upstream);
  }
  return message;
}

base::duration max_wait(const request_record& record) {
  const auto total = record.request().route.service_level->total_ms();
  return total == 0 ? default_max_wait : base::duration(milliseconds(total));
}

}  // namespace

gateway::gateway(const schema::GatewaySettings& settings, decision_client& client,
                 telemetry::metrics& metrics, std::shared_ptr<spdlog::logger> log)
    : m_settings(settings),
      m_attempt_settings{.grant_max_age = milliseconds(settings.grant_max_age_ms()),
                         .upstream_ca_file = settings.upstream_ca_file()},
      m_client(client),
      m_metrics(metrics),
      m_logger(std::move(log)),
      m_start_ms(base::wall_clock_ms()) {
  for (const std::string_view reason : all_reasons) {
    m_metrics.count("fuchsia_refusals_total", "Refused requests by reason.",
                    {{"reason", std::string(reason)}}, 0);
  }
  for (const std::string_view reason : all_retry_reasons) {
    m_metrics.count("fuchsia_retries_total", "Retries by reason.",
                    {{"reason", std::string(reason)}}, 0);
  }
}

std::string gateway::next_request_id() {
  std::array<char, 32> text{};
  const auto [end, status] = std::to_chars(text.data(), text.data() + text.size(), m_start_ms, 36);
  const std::string start(text.data(), status == std::errc{} ? end : text.data());
  return m_settings.vm() + "-" + start + "-" + std::to_string(++m_next_id);
}

http::http_response gateway::refuse(const std::string& id, const refusal& refused) {
  m_metrics.count("fuchsia_refusals_total", "Refused requests by reason.",
                  {{"reason", refused.reason}});
  m_decision_log.add(id, "refused: " + refused.reason);
  return to_response(refused, id);
}

http::http_response gateway::refuse(std::unique_ptr<request_record> record,
                                    const refusal& refused) {
  record->on_refused(refused);
  return to_response(refused, record->id());
}

http::http_response gateway::list_models(const http::http_request& request, const std::string& id) {
  const auto catalog = m_client.catalog();
  if (authenticate(request, *catalog) == nullptr) {
    return refuse(id, {.status = 401,
                       .reason = "unknown_team",
                       .message = "The bearer token belongs to no team."});
  }
  nlohmann::json data = nlohmann::json::array();
  for (const schema::Pool& pool : catalog->objects().pools()) {
    for (const std::string& model : pool.models()) {
      data.push_back({{"id", model}, {"object", "model"}, {"owned_by", pool.name()}});
    }
  }
  auto response = http::http_response::json(
      200, nlohmann::json{{"object", "list"}, {"data", data}}.dump() + "\n");
  response.headers.emplace_back("X-Request-Id", id);
  return response;
}

http::http_response gateway::handle(http::http_request& request) {
  const std::string id = next_request_id();
  const auto catalog = m_client.catalog();
  if (!catalog) {
    return refuse(id, {.status = 503,
                       .reason = "no_configuration",
                       .message = "This VM has no configuration yet."});
  }
  if (m_client.is_isolated()) {
    return refuse(
        id,
        {.status = 503, .reason = "isolated", .message = "This VM is cut off from the others."});
  }
  if (request.path == "/v1/models") {
    return list_models(request, id);
  }
  const bool is_known_path = request.path == "/v1/chat/completions" ||
                             request.path == "/v1/completions" ||
                             request.path.starts_with("/services/");
  if (!is_known_path) {
    return refuse(id, {.status = 404, .reason = "not_found", .message = "No such path."});
  }
  auto parsed = parse_caller_request(request, catalog);
  if (const auto* refused = std::get_if<refusal>(&parsed)) {
    return refuse(id, *refused);
  }
  const request_services services{m_client, m_metrics, m_decision_log};
  return serve(
      std::make_unique<request_record>(services, id, std::get<caller_request>(std::move(parsed))));
}

// The key is claimed before the request is queued. A later refusal can then state that no earlier
// request with this key was dispatched, and releases the claim.
std::optional<refusal> gateway::claim(request_record& record, base::time_point& claimed_until) {
  const caller_request& request = record.request();
  if (request.idempotent || request.idempotency_key.empty()) {
    return std::nullopt;
  }
  schema::ClaimKey claim;
  claim.set_request_id(record.id());
  claim.set_attempt_id(record.id());
  claim.set_scope(request.route.team->name() + "/" + request.route.pool->name());
  claim.set_key_digest(base::sha256_hex(request.idempotency_key));
  claim.set_key_time_ms(idempotency::key_time_ms(request.idempotency_key));
  const base::time_point claim_start = base::boot_clock::now();
  const auto result = m_client.claim(claim, claim_timeout);
  record.set_claim(claim);
  if (!result) {
    return refusal{.status = 503,
                   .reason = "key_unconfirmed",
                   .message = "The idempotency key could not be checked in time."};
  }
  if (result->granted()) {
    claimed_until = claim_start + milliseconds(result->valid_ms());
    return std::nullopt;
  }
  record.clear_claim();
  if (result->duplicate_state() != schema::KEY_STATE_UNSPECIFIED) {
    refusal duplicate{.status = 409,
                      .reason = "duplicate_key",
                      .message = "A request with this idempotency key was accepted before.",
                      .executed = execution::unknown,
                      .key_state = std::string(key_state_name(result->duplicate_state()))};
    if (result->first_status() != 0) {
      duplicate.message += " It ended with status " + std::to_string(result->first_status()) + ".";
    }
    return duplicate;
  }
  const bool is_expired = result->reason() == "key_expired";
  const bool is_invalid = is_expired || result->reason() == "key_time_invalid";
  return refusal{.status = is_invalid ? 400 : 503,
                 .reason = result->reason().empty() ? "key_unconfirmed" : result->reason(),
                 .message = "The idempotency key was not accepted: " + result->reason() + ".",
                 .executed = is_expired ? execution::unknown : execution::no};
}

http::http_response gateway::serve(std::unique_ptr<request_record> record) {
  base::time_point claimed_until = base::time_point::max();
  if (const auto refused = claim(*record, claimed_until)) {
    return refuse(std::move(record), *refused);
  }
  std::vector<std::string> tried_upstreams;
  refusal last_failure;
  for (std::uint32_t attempt = 1;; ++attempt) {
    const admission decision = m_client.admit(make_admit_request(*record, attempt, tried_upstreams),
                                              record->request().connection, max_wait(*record));
    // A request that was sent in an earlier attempt is never refused as "not executed".
    const execution executed = record->is_sent() ? execution::unknown : execution::no;
    if (const auto* failure = std::get_if<admission_failure>(&decision)) {
      refusal refused = admission_failure_refusal(*failure);
      refused.executed = executed;
      return refuse(std::move(record), refused);
    }
    if (const auto* refused_by_scheduler = std::get_if<admission_refused>(&decision)) {
      // If the retry budget is spent, the caller gets the failure of the last attempt.
      refusal refused = refused_by_scheduler->refusal.reason() == "retry_budget"
                            ? last_failure
                            : admission_refusal(*refused_by_scheduler);
      refused.executed = executed;
      return refuse(std::move(record), refused);
    }
    const auto& granted = std::get<admission_granted>(decision);
    attempt_outcome outcome =
        run_attempt(std::move(record), granted, m_transfers, m_attempt_settings, claimed_until);
    if (auto* answered = std::get_if<attempt_response>(&outcome)) {
      return std::move(answered->response);
    }
    auto& failed = std::get<attempt_failed>(outcome);
    record = std::move(failed.record);
    record->record_sent(failed.sent);
    last_failure = {.status = failed.status,
                    .reason = failed.reason,
                    .message = failed.message,
                    .executed = record->is_sent() ? execution::unknown : execution::no};
    if (!is_retry_allowed(failed, record->request(), attempt)) {
      return refuse(std::move(record), last_failure);
    }
    record->on_retry(failed.reason);
    if (failed.reason != "grant_expired") {
      tried_upstreams.push_back(granted.grant.upstream());
    }
  }
}

bool gateway::is_out_of_service() const {
  const auto catalog = m_client.catalog();
  return catalog && catalog->vm_out_of_service(m_settings.vm(), m_settings.failure_domain());
}

std::optional<std::string> gateway::not_ready_reason() const {
  if (m_draining) {
    return "the program is stopping";
  }
  if (!m_client.catalog()) {
    return "no configuration yet";
  }
  if (is_out_of_service()) {
    return "out of service";
  }
  if (!m_client.is_scheduler_alive()) {
    return "the scheduler does not answer";
  }
  if (!m_client.is_scheduler_serving()) {
    return "the scheduler has no shares of the upstreams yet";
  }
  if (m_client.is_isolated()) {
    return "cut off from the other VMs";
  }
  return std::nullopt;
}

std::string gateway::status() const {
  const auto catalog = m_client.catalog();
  const auto reason = not_ready_reason();
  return nlohmann::json{{"program", "fuchsia-gateway"},
                        {"vm", m_settings.vm()},
                        {"failure_domain", m_settings.failure_domain()},
                        {"revision", catalog ? catalog->revision() : 0},
                        {"ready", !reason.has_value()},
                        {"not_ready_reason", reason.value_or("")},
                        {"waiting_for_admission", m_client.pending_admissions()},
                        {"isolated", m_client.is_isolated()}}
             .dump(2) +
         "\n";
}

}  // namespace fuchsiaspring::gateway
