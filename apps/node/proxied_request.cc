#include "apps/node/proxied_request.h"

#include <algorithm>
#include <utility>

#include "apps/node/gateway.h"
#include "apps/node/refusal_body.h"
#include "platform/headers.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

// Prompts longer than an engine's prefill chunk delay the other streams of the replica.
constexpr std::uint32_t long_prompt_tokens = 1536;
// No further attempt is made with less time than this left, to save work that would be too late.
constexpr base::duration min_time_for_attempt = milliseconds(30);
constexpr base::duration default_retry_after = milliseconds(500);
// Another node can serve a caller that this one turns away because it stops.
constexpr base::duration stopping_retry_after = milliseconds(20);
// A blocked prompt part is tried again after tens of seconds at the earliest.
constexpr base::duration blocked_retry_after = std::chrono::seconds(30);
// How often a response that has begun checks whether it can be resumed.
constexpr base::duration obstacle_check_interval = milliseconds(100);
// The waits before a busy replica is asked again double from this interval on, so many times.
constexpr int max_resume_wait_doublings = 2;
// When the event loop was behind, bytes that arrived before the deadline are read behind its timer,
// a buffer at a time. A request goes on as long as there are any, up to this time.
constexpr base::duration max_deadline_overrun = milliseconds(100);
constexpr base::duration read_interval = milliseconds(5);
constexpr base::duration default_timeout = std::chrono::seconds(60);

base::duration timeout_or_default(base::duration value) {
  return value.count() > 0 ? value : default_timeout;
}

}  // namespace

proxied_request::proxied_request(gateway& owner, std::uint64_t number,
                                 std::shared_ptr<relay::caller_connection> caller,
                                 relay::request message)
    : m_owner(owner),
      m_context(owner.context()),
      m_number(number),
      m_caller(std::move(caller)),
      m_message(std::move(message)),
      m_request_metadata(platform::parse_request_metadata(m_message)),
      m_table(m_context.table),
      m_limits_table(m_table),
      m_received_at(m_caller->received_at()),
      m_deadline_timer(m_context.io),
      m_stall_timer(m_context.io),
      m_admission_timer(m_context.io) {}

proxied_request::~proxied_request() {
  if (m_attempt && m_attempt->channel) {
    m_attempt->channel->cancel();
  }
}

void proxied_request::start() {
  for (std::size_t i = 0; i + 1 < m_request_metadata.prompt.size(); ++i) {
    m_shared_parts.push_back(m_request_metadata.prompt[i].id);
  }
  m_caller->set_disconnect_handler([&owner = m_owner, number = m_number] {
    owner.with_request(number, [](proxied_request& request) { request.on_caller_disconnected(); });
  });
  if (refuse_unroutable() || refuse_unauthorized() || refuse_blocked_prompt()) {
    return;
  }
  const base::duration timeout = timeout_or_default(m_route->timeout);
  const base::duration time_limit =
      std::min(timeout, m_request_metadata.time_left.value_or(timeout));
  m_deadline = m_received_at + time_limit;
  start_timer(m_deadline_timer, time_left(base::boot_clock::now()),
              [](proxied_request& request) { request.on_deadline(); });
  const std::string& service =
      routes::choose_service(*m_route, static_cast<double>(m_number % 1000) / 1000);
  m_profile = {.service = service,
               .prompt = m_request_metadata.prompt,
               .prompt_tokens = m_request_metadata.prompt_tokens,
               .body_bytes = static_cast<std::uint32_t>(m_message.body.size()),
               .is_long_prompt = m_request_metadata.prompt_tokens > long_prompt_tokens,
               .event_gap_target = m_route->event_gap_target,
               .home_regions = routes::home_regions(*m_route, m_team)};
  if (!can_end_before_stop(base::boot_clock::now())) {
    refuse(503, node::to_string(node::send_permission::stopping), false, stopping_retry_after);
    return;
  }
  m_context.retry_budget(service).record_request(base::boot_clock::now());
  admit();
}

bool proxied_request::can_end_before_stop(base::time_point now) const {
  if (!m_context.stop) {
    return true;
  }
  std::optional<base::duration> expected = m_context.response_times.expected(m_route->name);
  // Nothing is known of the length of a stream; other responses are expected within their target.
  if (!expected && m_route->kind != routes::request_kind::stream) {
    expected = m_route->latency_target;
  }
  return node::can_end_before(*m_context.stop,
                              {.now = now, .deadline = m_deadline, .expected = expected});
}

bool proxied_request::refuse_unroutable() {
  if (m_table == nullptr) {
    refuse(503, "no_configuration", false, default_retry_after);
    return true;
  }
  m_route = m_table->find_route(m_request_metadata.host, m_message.target);
  if (m_route != nullptr) {
    return false;
  }
  // An outdated configuration may lack the route.
  if (!m_context.lease.is_valid(base::boot_clock::now())) {
    refuse(503, "configuration_outdated", false, default_retry_after);
  } else {
    refuse(404, "unknown_route", false, {});
  }
  return true;
}

bool proxied_request::refuse_unauthorized() {
  const routes::key_check checked = m_table->check_key(*m_route, m_request_metadata.api_key);
  m_team = checked.owner;
  m_urgency = routes::urgency_of(*m_route, m_team);
  if (checked.verdict == routes::key_verdict::not_needed) {
    return false;
  }
  if (!m_context.lease.is_valid(base::boot_clock::now())) {
    refuse(503, "configuration_outdated", false, default_retry_after);
    return true;
  }
  if (checked.verdict == routes::key_verdict::valid) {
    return false;
  }
  const bool is_missing = checked.verdict == routes::key_verdict::missing;
  refuse(401, is_missing ? "no_api_key" : "unknown_api_key", false, {});
  return true;
}

bool proxied_request::refuse_blocked_prompt() {
  const quarantine::verdict verdict =
      m_context.prompt_quarantine.check(m_shared_parts, base::boot_clock::now());
  m_is_trial = verdict == quarantine::verdict::trial;
  if (verdict != quarantine::verdict::blocked) {
    return false;
  }
  refuse(503, node::to_string(node::send_permission::prompt_blocked), false, blocked_retry_after);
  return true;
}

// A request that waits follows the limits of a configuration that was adopted meanwhile.
void proxied_request::update_home_regions() {
  if (m_limits_table == m_context.table) {
    return;
  }
  m_limits_table = m_context.table;
  const routes::route* route =
      m_limits_table->find_route(m_request_metadata.host, m_message.target);
  const routes::team* team =
      m_team != nullptr ? m_limits_table->find_team(*m_request_metadata.api_key) : nullptr;
  if (route != nullptr) {
    m_profile.home_regions = routes::home_regions(*route, team);
  }
}

void proxied_request::admit() {
  update_home_regions();
  const base::time_point now = base::boot_clock::now();
  m_context.scheduler.admit(
      {.id = queue_id(),
       .group = node::request_group(*m_route),
       .urgency = m_urgency,
       .team = m_team != nullptr ? m_team->name : std::string(),
       .profile = m_profile,
       .waited = now - m_received_at,
       .time_left = time_left(now)},
      [&owner = m_owner, number = m_number](const node::admission_result& result) {
        owner.with_request(number, [&](proxied_request& request) { request.on_admission(result); });
      },
      now);
  m_owner.arm_pump_timer();
}

void proxied_request::admit_later(base::duration wait) {
  call_later(wait, [](proxied_request& request) { request.admit(); });
}

void proxied_request::call_later(base::duration wait,
                                 std::function<void(proxied_request&)> function) {
  start_timer(m_admission_timer, wait, std::move(function));
}

void proxied_request::start_timer(boost::asio::steady_timer& timer, base::duration wait,
                                  std::function<void(proxied_request&)> on_timeout) {
  timer.expires_after(wait);
  timer.async_wait([&owner = m_owner, number = m_number, on_timeout = std::move(on_timeout)](
                       const boost::system::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    owner.with_request(number, [&on_timeout](proxied_request& request) {
      if (!request.m_is_finished) {
        on_timeout(request);
      }
    });
  });
}

void proxied_request::on_admission(const node::admission_result& result) {
  std::visit(relay::overloaded{[this](const node::grant& granted) { dispatch(granted); },
                               [this](const node::refusal& refused) {
                                 const bool may_have_run = m_runs > 0;
                                 if (m_is_response_started) {
                                   admit_later(refused.retry_after);
                                   return;
                                 }
                                 if (m_buffered_response) {
                                   send_buffered_response();
                                   return;
                                 }
                                 refuse(may_have_run ? 502 : 503, node::to_string(refused.reason),
                                        may_have_run, refused.retry_after);
                               }},
             result);
}

node::request_progress proxied_request::progress(base::time_point now) {
  const node::send_permission permission = node::check_send(send_conditions(now));
  const bool is_prompt_allowed = runs() == 0 || may_repeat_prompt(now);
  return {.is_idempotent = m_route->is_idempotent(),
          .is_resumable = m_route->is_resumable && !m_last_event_id.empty(),
          .runs = m_runs,
          .max_runs = m_route->max_attempts,
          .dispatches = m_dispatches,
          .is_response_started = m_is_response_started,
          .has_error_response = m_buffered_response.has_value(),
          .has_budget = m_dispatches == 0 ||
                        m_context.retry_budget(m_profile.service).remaining_retries(now) >= 1,
          .has_time = time_left(now) > min_time_for_attempt,
          .is_permitted = permission == node::send_permission::granted && is_prompt_allowed,
          .is_config_outdated =
              permission == node::send_permission::config_outdated && is_prompt_allowed,
          .has_given_up_attempt = m_has_given_up_attempt};
}

void proxied_request::handle_failed_attempt(placement::outcome outcome) {
  // A held replica may serve the request after its hold.
  const bool is_held = m_attempt->notice.hold.has_value();
  const std::string failed_replica = is_held ? std::string() : m_attempt->chosen.replica_id;
  m_attempt.reset();
  m_event_splitter = event_stream::event_splitter();
  take_next_step(outcome, failed_replica);
}

void proxied_request::take_next_step(placement::outcome outcome,
                                     const std::string& failed_replica) {
  const base::time_point now = base::boot_clock::now();
  const node::next_step step = node::decide_next(progress(now), outcome);
  const bool is_still_waiting =
      std::exchange(m_is_waiting, step == node::next_step::wait) && m_is_waiting;
  if (!is_still_waiting) {
    m_context.log.write(
        telemetry::level::info, "gateway", "next_step",
        {{"id", m_request_metadata.request_id},
         {"outcome", placement::to_string(outcome)},
         {"step", node::to_string(step)},
         {"runs", m_runs},
         {"budget_left", m_context.retry_budget(m_profile.service).remaining_retries(now)},
         {"time_left_ms", time_left(now)}});
  }
  switch (step) {
    case node::next_step::try_again:
    case node::next_step::resume:
      try_again_after(outcome, failed_replica);
      return;
    case node::next_step::wait:
      wait_to_try_again(outcome, failed_replica);
      return;
    case node::next_step::pass_failure:
      send_buffered_response();
      return;
    case node::next_step::refuse:
      refuse(503, placement::to_string(outcome), false,
             m_context.scheduler.retry_delay(m_profile, default_retry_after, now));
      return;
    case node::next_step::fail:
      refuse(502, placement::to_string(outcome), true, {});
      return;
    case node::next_step::break_off:
      m_caller->abort();
      finish("broken_off", 0, placement::to_string(outcome));
      return;
  }
}

void proxied_request::try_again_after(placement::outcome outcome,
                                      const std::string& failed_replica) {
  const base::time_point now = base::boot_clock::now();
  const bool is_unsent = outcome == placement::outcome::not_connected;
  placement::request_profile other_replicas = m_profile;
  if (outcome != placement::outcome::cancelled && !failed_replica.empty()) {
    other_replicas.excluded.push_back(failed_replica);
  }
  // A replica that rejected a request was busy. The rest of a response may go there a moment later
  // if no other replica can take it.
  if (m_is_response_started && outcome == placement::outcome::rejected &&
      !m_context.scheduler.find_replica(other_replicas, now)) {
    const base::duration wait = obstacle_check_interval * (1 << m_resume_waits);
    m_resume_waits = std::min(m_resume_waits + 1, max_resume_wait_doublings);
    call_later(wait, [failed_replica](proxied_request& request) {
      request.take_next_step(placement::outcome::cancelled, failed_replica);
    });
    return;
  }
  if (!is_unsent && m_dispatches > 0) {
    m_context.retry_budget(m_profile.service).try_spend(now);
  }
  m_profile = std::move(other_replicas);
  admit();
}

void proxied_request::wait_to_try_again(placement::outcome outcome,
                                        const std::string& failed_replica) {
  call_later(obstacle_check_interval, [outcome, failed_replica](proxied_request& request) {
    request.take_next_step(outcome, failed_replica);
  });
}

bool proxied_request::is_unproved_refusal(unsigned status) const {
  return node::promises_no_run(status) && !m_route->is_idempotent();
}

void proxied_request::send_buffered_response() {
  const unsigned status = m_buffered_response->head.status;
  if (is_unproved_refusal(status)) {
    refuse(502, "unproved_refusal", true, {});
    return;
  }
  if (status == 503) {
    const base::duration delay =
        m_context.scheduler.retry_delay(m_profile, {}, base::boot_clock::now());
    if (delay.count() > 0) {
      platform::set_retry_after(m_buffered_response->head.headers, delay);
    }
  }
  m_caller->respond(*m_buffered_response);
  finish(status >= first_server_error ? "upstream_failure" : "answered", status, "");
}

void proxied_request::on_caller_disconnected() {
  if (m_is_finished) {
    return;
  }
  m_context.scheduler.withdraw(queue_id(), base::boot_clock::now());
  if (m_attempt) {
    if (m_attempt->channel) {
      m_attempt->channel->cancel();
      m_attempt->channel = nullptr;
    }
    end_attempt(placement::outcome::cancelled);
    m_attempt.reset();
  }
  finish("caller_gone", 0, "");
}

void proxied_request::on_deadline() {
  const base::time_point now = base::boot_clock::now();
  m_deadline_reached_at = m_deadline_reached_at.value_or(now);
  const bool may_read_on = now - *m_deadline_reached_at < max_deadline_overrun;
  const bool has_just_begun = now == *m_deadline_reached_at;
  const bool has_just_read = m_attempt && now - m_attempt->last_progress_at <= 2 * read_interval;
  if (may_read_on && (has_just_begun || has_just_read || has_unread_input())) {
    start_timer(m_deadline_timer, read_interval,
                [](proxied_request& request) { request.on_deadline(); });
    return;
  }
  on_time_up();
}

bool proxied_request::has_unread_input() const {
  return m_attempt && m_attempt->channel && m_attempt->channel->has_unread_input();
}

void proxied_request::on_time_up() {
  const bool has_first_event = m_attempt && m_attempt->has_first_event;
  end_now("timeout", 504,
          has_first_event ? placement::outcome::cancelled : placement::outcome::silent);
}

void proxied_request::on_internal_error() {
  end_now("internal_error", 502, placement::outcome::cancelled);
}

void proxied_request::on_stopping() {
  end_now("stopping", 502, placement::outcome::cancelled);
}

void proxied_request::end_now(std::string_view reason, unsigned status_if_run,
                              placement::outcome attempt_outcome) {
  const bool has_running_attempt = m_attempt && !m_attempt->is_ended;
  const bool may_have_run = runs() > 0;
  // Nothing may be sent to an upstream any more once the caller is told that the request did not
  // run.
  m_context.scheduler.withdraw(queue_id(), base::boot_clock::now());
  if (m_attempt && m_attempt->channel) {
    std::exchange(m_attempt->channel, nullptr)->cancel();
  }
  // The caller is answered before the attempt is ended, which may throw an exception.
  if (!m_is_finished && m_is_response_started) {
    m_caller->abort();
    finish("broken_off", 0, reason);
  } else if (!m_is_finished) {
    refuse(
        may_have_run ? status_if_run : 503, reason, may_have_run,
        m_context.scheduler.retry_delay(m_profile, default_retry_after, base::boot_clock::now()));
  }
  if (has_running_attempt) {
    end_attempt(attempt_outcome);
  }
}

std::uint32_t proxied_request::runs() const {
  const bool may_run_now = m_attempt && !m_attempt->is_ended && m_attempt->is_sent;
  return m_runs + (may_run_now ? 1 : 0);
}

base::duration proxied_request::time_left(base::time_point now) const {
  return std::max<base::duration>(m_deadline - now, base::duration{});
}

void proxied_request::refuse(unsigned status, std::string_view reason, bool may_have_run,
                             base::duration retry_after) {
  relay::response response{{status, {{"Content-Type", "application/json"}}},
                           refusal_body(status, reason, may_have_run)};
  if (status == 503 || status == 429) {
    platform::set_retry_after(response.head.headers, retry_after);
  }
  platform::set_request_id(response.head.headers, m_request_metadata.request_id);
  m_caller->respond(response);
  finish("refused", status, reason);
}

void proxied_request::finish(std::string_view outcome, unsigned status, std::string_view reason) {
  m_is_finished = true;
  m_deadline_timer.cancel();
  m_stall_timer.cancel();
  m_admission_timer.cancel();
  const base::time_point now = base::boot_clock::now();
  const std::string route = m_route != nullptr ? m_route->name : std::string("none");
  if (outcome == "answered") {
    m_context.response_times.record(route, now - m_received_at);
  }
  m_context.metrics.count(
      "fuchsia_requests_total", "Requests by route and outcome.",
      {{"route", route}, {"outcome", std::string(outcome)}, {"reason", std::string(reason)}});
  if (m_first_event_latency.count() > 0) {
    m_context.metrics.observe_seconds("fuchsia_first_event_seconds",
                                      "Time from a request's arrival to its first event.",
                                      {{"route", route}}, base::to_seconds(m_first_event_latency));
  }
  const bool is_normal_outcome = outcome == "answered" || outcome == "caller_gone";
  m_context.log.write(
      is_normal_outcome ? telemetry::level::info : telemetry::level::warn, "gateway",
      "request_finished",
      {{"id", m_request_metadata.request_id},
       {"outcome", outcome},
       {"status", status},
       {"reason", reason},
       {"route", route},
       {"team", m_team != nullptr ? std::string_view(m_team->name) : std::string_view()},
       {"urgency", routes::to_string(m_urgency)},
       {"home_regions", m_profile.home_regions.text()},
       {"replicas", m_attempted_replicas},
       {"runs", runs()},
       {"prompt_tokens", m_request_metadata.prompt_tokens},
       {"queued_ms", m_queue_time},
       {"first_event_ms", m_first_event_latency},
       {"total_ms", now - m_received_at},
       {"config_version", m_table != nullptr ? m_table->config().version : 0},
       {"config_age_ms", m_context.lease.age(now).value_or(base::duration(-1'000'000))}});
  m_owner.release(m_number);
}

}  // namespace fuchsiaspring::node_app
