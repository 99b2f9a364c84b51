// Attempts of a request: sends it, relays the response and reports outcome and load to the placer.
#include <algorithm>
#include <utility>

#include "apps/node/gateway.h"
#include "apps/node/proxied_request.h"
#include "apps/node/replica_notices.h"
#include "platform/headers.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

// Responses up to this size are forwarded once complete, so that a truncated one can be retried.
constexpr std::size_t max_buffered_bytes = 131072;
// Reading from the upstream pauses while more than this is buffered for the caller.
constexpr std::size_t max_unsent_bytes = 65536;
// Comments of a stream that are held until its first event.
constexpr std::size_t max_leading_comment_bytes = 4096;
constexpr base::duration default_retry_after = milliseconds(500);
// A replica that ends because of a prompt does so when it begins to answer it. A response that has
// gone on for longer is not the cause.
constexpr base::duration max_suspected_response_age = std::chrono::seconds(1);

}  // namespace

void proxied_request::dispatch(const node::grant& granted) {
  m_queue_time += granted.queued;
  m_attempt.emplace();
  upstream_attempt& current = *m_attempt;
  current.chosen = granted.chosen;
  current.body_charge = relay::memory_charge(m_context.memory);
  current.granted_at = base::boot_clock::now();
  current.last_progress_at = current.granted_at;
  m_attempted_replicas += (m_attempted_replicas.empty() ? "" : ",") + granted.chosen.replica_id;
  relay::reuse reuse_mode =
      m_route->is_idempotent() && m_dispatches == 0 ? relay::reuse::any : relay::reuse::recent;
  if (m_request_metadata.request_id.empty()) {
    reuse_mode = relay::reuse::none;  // only the id tells a late response to another request
  }
  current.channel =
      m_context.channels.acquire(granted.chosen.replica_id, parse_endpoint(granted.chosen.address),
                                 reuse_mode, m_request_metadata.request_id);
  m_owner.notify_load(granted.chosen.replica_id, m_profile, true);
  current.channel->send(
      make_upstream_request(),
      [id = m_request_metadata.request_id,
       &channel = *current.channel](const relay::response_head& head) {
        const node::response_metadata metadata = platform::parse_response_metadata(head, id);
        // Nothing was sent on a new connection before: a response without an id is no late one, and
        // the response of the request need not be waited for.
        return metadata.matches_request || (!metadata.has_id && !channel.was_connected());
      },
      [this] { return may_send(); },
      [&owner = m_owner, number = m_number](const relay::channel_event& event) {
        owner.with_request(number,
                           [&](proxied_request& request) { request.on_channel_event(event); });
      });
  arm_stall_timer();
}

relay::request proxied_request::make_upstream_request() const {
  // The scheduler may have adopted the service after this request was routed.
  const routes::service* service = m_table->find_service(m_profile.service);
  const bool is_engine = service != nullptr && service->engine.has_value();
  const base::time_point now = base::boot_clock::now();
  node::dispatch_metadata dispatch_metadata{
      .replica_id = m_attempt->chosen.replica_id,
      .team = m_team != nullptr ? m_team->name : std::string(),
      .time_left = time_left(now),
      .fetch_from = m_attempt->chosen.fetch_from};
  if (is_engine) {
    dispatch_metadata.engine_urgency = m_context.scheduler.rank_of(m_urgency);
  }
  if (!m_last_event_id.empty()) {
    dispatch_metadata.last_event_id = m_last_event_id;
  }
  relay::request message = m_message;
  platform::prepare_upstream_headers(message.headers, dispatch_metadata);
  return message;
}

node::send_conditions proxied_request::send_conditions(base::time_point now) const {
  const node::key_state key = newest_key_state();
  return {
      .is_before_deadline = now < m_deadline,
      .needs_key = m_team != nullptr || key != node::key_state::valid,
      .is_config_lease_valid = m_context.lease.is_valid(now),
      .key = key,
      .is_prompt_allowed = m_is_trial || m_context.prompt_quarantine.recheck(m_shared_parts, now) !=
                                             quarantine::verdict::blocked};
}

bool proxied_request::may_repeat_prompt(base::time_point now) const {
  return !m_is_trial &&
         m_context.prompt_quarantine.recheck(m_shared_parts, now) == quarantine::verdict::allowed;
}

std::vector<quarantine::suspect> proxied_request::suspects(base::time_point now) const {
  const upstream_attempt& current = *m_attempt;
  if (current.has_first_event && now - current.first_event_at > max_suspected_response_age) {
    return {};
  }
  std::vector<quarantine::suspect> result;
  for (std::uint32_t depth = 0; depth < m_shared_parts.size(); ++depth) {
    result.push_back({m_shared_parts[depth], depth});
  }
  return result;
}

node::send_permission proxied_request::check_send() const {
  node::send_conditions conditions = send_conditions(base::boot_clock::now());
  // A request that an upstream may have begun is not better off if it is given up.
  conditions.can_end_before_stop =
      m_runs > 0 || m_attempt->is_sent || can_end_before_stop(base::boot_clock::now());
  conditions.is_replica_eligible = m_context.scheduler.placer().is_eligible(
      m_attempt->chosen.replica_id, m_profile, base::boot_clock::now());
  return node::check_send(conditions);
}

// The newest configuration may have removed the key, given it to another team, or begun to ask for
// one on this route.
node::key_state proxied_request::newest_key_state() const {
  if (m_context.table == m_table) {
    return node::key_state::valid;
  }
  const routes::route_table& newest = *m_context.table;
  const std::optional<std::string>& api_key = m_request_metadata.api_key;
  const routes::route* route = newest.find_route(m_request_metadata.host, m_message.target);
  const routes::key_check checked = newest.check_key(route != nullptr ? *route : *m_route, api_key);
  if (checked.verdict == routes::key_verdict::not_needed && m_team == nullptr) {
    return node::key_state::valid;
  }
  const routes::team* owner = api_key ? newest.find_team(*api_key) : nullptr;
  if (owner == nullptr) {
    return node::key_state::revoked;
  }
  const bool is_same_team = m_team != nullptr && owner->name == m_team->name;
  return is_same_team ? node::key_state::valid : node::key_state::reassigned;
}

bool proxied_request::may_send() {
  update_home_regions();
  if (check_send() != node::send_permission::granted) {
    return false;
  }
  m_attempt->is_sent = true;
  ++m_dispatches;
  return true;
}

void proxied_request::on_channel_event(const relay::channel_event& event) {
  if (!m_attempt || m_is_finished) {
    return;
  }
  std::visit(
      relay::overloaded{
          [this](const relay::response_started& started) { on_response_started(started.head); },
          [this](const relay::body_received& received) { on_body(received.bytes); },
          [this](const relay::response_ended& ended) { on_response_ended(ended); },
          [this](const relay::channel_failed& failure) { on_channel_failed(failure); }},
      event);
}

void proxied_request::on_response_started(const relay::response_head& head) {
  upstream_attempt& current = *m_attempt;
  current.head = head;
  current.response_metadata =
      platform::parse_response_metadata(head, m_request_metadata.request_id);
  if (!current.response_metadata.matches_request) {
    on_channel_failed({relay::channel_fault::malformed, relay::sent_state::sent,
                       "status " + std::to_string(head.status) + " without the request's id"});
    return;
  }
  current.notice = record_notice(m_context, current.chosen, head.status, current.response_metadata,
                                 m_request_metadata.request_id);
  constexpr unsigned status_ok = 200;
  const bool is_success = head.status >= status_ok && head.status < 300;
  if (is_success &&
      (!current.response_metadata.is_signed || current.response_metadata.is_encoded)) {
    // Without a signature this may be the response to another request or no response at all.
    on_channel_failed(
        {relay::channel_fault::malformed, relay::sent_state::sent,
         "status " + std::to_string(head.status) +
             (current.response_metadata.is_signed ? " with a content encoding"
                                                  : " without a response signature")});
    return;
  }
  if (m_route->kind == routes::request_kind::stream && head.status == status_ok &&
      current.response_metadata.is_event_stream) {
    // The caller gets the head with the first event: until then the request can be repeated or
    // refused, while a response that has begun can only be resumed after an event.
    current.is_relaying = true;
    current.is_event_stream = true;
    return;
  }
  if (m_route->kind != routes::request_kind::stream) {
    record_first_event();
  }
}

void proxied_request::begin_response() {
  if (m_is_response_started) {
    return;  // a resumed stream continues under the head of its first attempt
  }
  m_is_response_started = true;
  relay::response_head head = m_attempt->head;
  platform::prepare_caller_headers(head);
  m_caller->set_drained_handler([&owner = m_owner, number = m_number] {
    owner.with_request(number, [](proxied_request& request) { request.on_caller_drained(); });
  });
  m_caller->begin_stream(head);
  if (!m_route->is_resumable) {
    m_message.body = {};  // no attempt may follow
  }
}

void proxied_request::on_body(std::string_view bytes) {
  upstream_attempt& current = *m_attempt;
  if (current.is_relaying) {
    relay(bytes);
    return;
  }
  current.last_progress_at = base::boot_clock::now();
  report_parts_of_long_response();
  current.body.append(bytes);
  current.body_charge.resize(current.body.capacity());
  if (current.body.size() <= max_buffered_bytes) {
    return;
  }
  const bool is_only_buffered = m_is_response_started || current.response_metadata.is_rejected ||
                                current.head.status >= first_server_error ||
                                is_unproved_refusal(current.head.status);
  if (is_only_buffered) {
    on_oversized_body();
    return;
  }
  current.is_relaying = true;
  begin_response();
  m_caller->send(std::exchange(current.body, {}));
  current.body_charge.resize(0);
}

// The body of a failure may come without end. What the head states is enough to go on. A status
// that promises what no upstream has stated is not passed on, whatever the length of its body.
void proxied_request::on_oversized_body() {
  if (m_attempt->response_metadata.is_rejected) {
    std::exchange(m_attempt->channel, nullptr)->cancel();
    on_rejected();
    return;
  }
  on_channel_failed({relay::channel_fault::malformed, relay::sent_state::sent,
                     "status " + std::to_string(m_attempt->head.status) + " with more than " +
                         std::to_string(max_buffered_bytes) + " bytes"});
}

// A replica that ends because of a prompt would have ended by now.
void proxied_request::report_parts_of_long_response() {
  upstream_attempt& current = *m_attempt;
  const bool is_conclusive =
      current.has_first_event && current.head.status < first_server_error &&
      !current.response_metadata.is_rejected &&
      base::boot_clock::now() - current.first_event_at > max_suspected_response_age;
  if (is_conclusive && !std::exchange(current.are_parts_reported, true)) {
    m_owner.on_parts_answered(m_shared_parts, current.first_event_at);
  }
}

void proxied_request::relay(std::string_view bytes) {
  if (m_attempt->is_event_stream) {
    relay_events(bytes);
  } else {
    m_attempt->last_progress_at = base::boot_clock::now();
    report_parts_of_long_response();
    m_caller->send(bytes);
  }
  if (m_attempt && m_attempt->channel && m_caller->unsent_bytes() > max_unsent_bytes) {
    m_attempt->channel->pause();
  }
}

proxied_request::taken_events proxied_request::take_events() {
  taken_events taken;
  while (auto event = m_event_splitter.next()) {
    const event_stream::event_fit fit = event_stream::fit_behind(*event, m_last_event_id);
    if (fit == event_stream::event_fit::unfit) {
      taken.is_unfit = true;
      return taken;
    }
    if (!event->id.empty()) {
      m_last_event_id = event->id;
    }
    taken.has_event = taken.has_event || !event->id.empty() || !event->data.empty();
    taken.bytes += event->raw;
  }
  return taken;
}

void proxied_request::relay_events(std::string_view bytes) {
  upstream_attempt& current = *m_attempt;
  m_event_splitter.append(bytes);
  taken_events taken = take_events();
  std::string complete_events = std::exchange(current.leading_comments, {}) + taken.bytes;
  // The response begins with an event, and so does what a resumed attempt adds to it: behind a
  // comment alone it could not be resumed.
  const bool has_event =
      current.has_first_event || taken.has_event ||
      (!m_is_response_started && complete_events.size() > max_leading_comment_bytes);
  if (!has_event && !m_is_response_started) {
    current.leading_comments = std::move(complete_events);
  } else if (has_event && !complete_events.empty()) {
    current.last_progress_at = base::boot_clock::now();
    record_first_event();
    record_event_gap();
    report_parts_of_long_response();
    begin_response();
    m_caller->send(complete_events);
    arm_stall_timer();
  }
  if (taken.is_unfit || m_event_splitter.is_oversized()) {
    on_channel_failed({relay::channel_fault::malformed, relay::sent_state::sent,
                       taken.is_unfit ? "an event does not fit behind event " + m_last_event_id
                                      : "an event of the stream has no end"});
  }
}

void proxied_request::record_event_gap() {
  upstream_attempt& current = *m_attempt;
  const base::time_point now = base::boot_clock::now();
  if (current.last_event_at != base::time_point{}) {
    current.longest_gap = std::max(current.longest_gap, now - current.last_event_at);
  }
  current.last_event_at = now;
}

void proxied_request::record_first_event() {
  upstream_attempt& current = *m_attempt;
  if (current.has_first_event) {
    return;
  }
  current.has_first_event = true;
  const base::time_point now = base::boot_clock::now();
  current.first_event_at = now;
  if (m_first_event_latency.count() == 0) {
    m_first_event_latency = now - m_received_at;
  }
  if (current.response_metadata.is_rejected || current.head.status >= first_server_error) {
    return;  // the time of an error does not measure the replica's speed
  }
  m_context.scheduler.placer().on_first_event(current.chosen.replica_id, current.chosen,
                                              now - current.granted_at, now);
  m_owner.notify_load(current.chosen.replica_id, m_profile, false);
  m_owner.schedule_pump();
}

bool proxied_request::is_broken_stream(const relay::response_ended& ended) const {
  const bool may_lack_events = !ended.is_delimited || m_is_response_started;
  return m_attempt->is_event_stream &&
         (m_event_splitter.has_partial_event() || (may_lack_events && !m_attempt->has_first_event));
}

bool proxied_request::lacks_body(const relay::response_ended& ended) const {
  return !ended.is_delimited && !m_attempt->is_relaying && m_attempt->body.empty() &&
         m_attempt->head.status < 300;
}

void proxied_request::report_parts(const relay::response_ended& ended) {
  const upstream_attempt& current = *m_attempt;
  if (current.notice.hold) {
    return;  // a replica that asks for a pause is sound
  }
  if (!ended.is_delimited || m_event_splitter.has_partial_event()) {
    m_owner.on_attempt_broken(current.chosen, suspects(base::boot_clock::now()));
    return;
  }
  if (current.has_first_event && current.head.status < first_server_error &&
      !current.response_metadata.is_rejected) {
    m_owner.on_parts_answered(m_shared_parts, current.first_event_at);
  }
}

void proxied_request::on_response_ended(const relay::response_ended& ended) {
  report_parts(ended);
  upstream_attempt& current = *m_attempt;
  const auto channel = std::exchange(current.channel, nullptr);
  if (is_broken_stream(ended) || lacks_body(ended)) {
    channel->cancel();
    end_attempt(placement::outcome::broken);
    handle_failed_attempt(placement::outcome::broken);
    return;
  }
  if (m_request_metadata.request_id.empty()) {
    channel->cancel();  // a late copy of this response would pass for the next one
  } else {
    m_context.channels.release(current.chosen.replica_id, channel);
  }
  if (current.is_relaying) {
    end_attempt(placement::outcome::answered);
    const unsigned status = current.head.status;
    begin_response();  // of a stream without events
    m_caller->send(current.leading_comments);
    m_caller->end_stream();
    finish("answered", status, "");
    return;
  }
  if (current.response_metadata.is_rejected) {
    on_rejected();
    return;
  }
  if (m_is_response_started && current.head.status < first_server_error) {
    // The response to a resumed stream is no stream; nothing of it fits behind the events sent.
    end_attempt(placement::outcome::answered);
    handle_failed_attempt(placement::outcome::answered);
    return;
  }
  m_buffered_response = relay::response{current.head, std::move(current.body)};
  m_buffered_charge = std::move(current.body_charge);
  platform::prepare_caller_headers(m_buffered_response->head);
  if (current.head.status >= first_server_error) {
    end_attempt(placement::outcome::server_error);
    handle_failed_attempt(placement::outcome::server_error);
    return;
  }
  end_attempt(placement::outcome::answered);
  send_buffered_response();
}

void proxied_request::on_rejected() {
  const auto outcome = m_attempt->response_metadata.is_from_other_replica
                           ? placement::outcome::replaced
                           : placement::outcome::rejected;
  end_attempt(outcome);
  handle_failed_attempt(outcome);
}

void proxied_request::on_channel_failed(const relay::channel_failed& failure) {
  upstream_attempt& current = *m_attempt;
  if (current.channel) {
    current.channel->cancel();
    current.channel = nullptr;
  }
  m_context.log.write(telemetry::level::info, "gateway", "attempt_failed",
                      {{"id", m_request_metadata.request_id},
                       {"replica", current.chosen.replica_id},
                       {"fault", relay::to_string(failure.fault)},
                       {"sent", failure.sent == relay::sent_state::sent},
                       {"detail", failure.detail}});
  if (failure.fault == relay::channel_fault::malformed) {
    m_context.metrics.count("fuchsia_malformed_responses_total",
                            "Responses of replicas that are no valid answer to their request.",
                            {{"service", m_profile.service}});
  }
  if (current.response_metadata.is_rejected) {
    on_rejected();  // the head states it, whatever becomes of the body
    return;
  }
  placement::outcome outcome = placement::outcome::broken;
  switch (failure.fault) {
    case relay::channel_fault::connect_failed:
    case relay::channel_fault::connect_timeout:
      outcome = placement::outcome::not_connected;
      break;
    case relay::channel_fault::refused_to_send:
      outcome = placement::outcome::cancelled;
      break;
    case relay::channel_fault::broken:
    case relay::channel_fault::malformed:
      break;
  }
  const node::send_permission permission = check_send();
  if (failure.fault == relay::channel_fault::broken && current.is_sent && !current.notice.hold) {
    m_owner.on_attempt_broken(current.chosen, suspects(base::boot_clock::now()));
  }
  end_attempt(outcome);
  if (failure.fault == relay::channel_fault::refused_to_send && m_runs == 0 &&
      !m_is_response_started && permission != node::send_permission::replica_left &&
      permission != node::send_permission::granted) {
    const unsigned status = permission == node::send_permission::key_revoked ? 401 : 503;
    refuse(status, node::to_string(permission), false, default_retry_after);
    return;
  }
  handle_failed_attempt(outcome);
}

void proxied_request::end_attempt(placement::outcome outcome) {
  upstream_attempt& current = *m_attempt;
  current.is_ended = true;
  m_stall_timer.cancel();
  if (node::may_have_run(outcome, current.is_sent)) {
    ++m_runs;
  }
  const placement::outcome reported = current.notice.hold ? placement::outcome::held : outcome;
  m_context.scheduler.placer().on_end(current.chosen.replica_id, current.chosen, reported,
                                      current.has_first_event, base::boot_clock::now());
  m_context.metrics.count(
      "fuchsia_attempts_total", "Attempts at upstreams by their end.",
      {{"service", m_profile.service}, {"outcome", std::string(placement::to_string(reported))}});
  if (current.last_event_at != base::time_point{}) {
    m_context.scheduler.placer().on_stream_end(current.chosen.replica_id,
                                               m_profile.event_gap_target, current.longest_gap,
                                               base::boot_clock::now());
  }
  m_owner.notify_load(current.chosen.replica_id, m_profile, false);
  m_owner.schedule_pump();
}

void proxied_request::on_caller_drained() {
  if (m_attempt && m_attempt->channel) {
    m_attempt->channel->resume();
  }
}

}  // namespace fuchsiaspring::node_app
