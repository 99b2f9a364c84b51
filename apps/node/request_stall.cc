// Attempts of a request that are silent: when one is given up, and what goes on behind it.
#include <algorithm>
#include <utility>

#include "apps/node/gateway.h"
#include "apps/node/proxied_request.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

// The wait for the first event counts as a stall after stall_factor times the expected wait, but
// not before min_stall.
constexpr double stall_factor = 5;
constexpr base::duration min_stall = milliseconds(350);
// A sound replica may pause for a second or two in the middle of a response. After this time
// without progress the node checks whether the replica can be reached, and checks again at the
// interval; with the time of the check this is shorter than the 2 s after which callers abandon a
// stream.
constexpr base::duration silence_before_probe = milliseconds(1000);
constexpr base::duration probe_interval = milliseconds(300);
// Longer than any pause of a sound replica. A response that is silent for as long has stalled,
// whether or not its replica can be reached.
constexpr base::duration max_pause = milliseconds(3000);
// An acknowledgement this long after the last event is not one of the exchange before it. The first
// keep-alive probe is sent 1 s after the last byte.
constexpr base::duration max_acknowledgement_delay = milliseconds(500);
// Time for the event loop to deliver what has arrived.
constexpr base::duration next_turn = milliseconds(5);
// Reading from hundreds of connections takes many turns. Bytes that have arrived are waited for up
// to this time; those of an unfinished chunk or head stay unread for good.
constexpr base::duration max_read_time = milliseconds(250);

}  // namespace

base::duration proxied_request::stall_timeout() const {
  if (m_attempt->has_first_event) {
    return silence_before_probe;
  }
  const double expected_wait_s = base::to_seconds(m_attempt->chosen.expected_wait);
  return std::max<base::duration>(min_stall, base::from_seconds(stall_factor * expected_wait_s));
}

void proxied_request::arm_stall_timer() {
  if (!m_route->is_idempotent() || !m_attempt) {
    return;
  }
  start_timer(m_stall_timer, stall_timeout(), [](proxied_request& request) {
    // When the event loop was busy, an event that has arrived is read behind this timer.
    request.check_stall_after(next_turn, base::boot_clock::now());
  });
}

void proxied_request::check_stall_after(base::duration wait, base::time_point due_at) {
  start_timer(m_stall_timer, wait,
              [due_at](proxied_request& request) { request.on_stalled(due_at); });
}

// The obstacle may pass any moment, and the caller of a response that has begun leaves soon.
void proxied_request::check_stall_again(base::time_point now) {
  if (m_attempt->has_first_event) {
    check_stall_after(probe_interval, now + probe_interval);
  } else {
    arm_stall_timer();
  }
}

void proxied_request::on_stalled(base::time_point due_at) {
  if (m_is_finished || !m_attempt || !m_attempt->channel) {
    return;
  }
  const base::time_point now = base::boot_clock::now();
  const base::duration silence = now - m_attempt->last_progress_at;
  // A timer that was due already when it was replaced still calls this function.
  const bool has_stalled = silence >= stall_timeout();
  if (!has_stalled || m_caller->unsent_bytes() > 0) {
    arm_stall_timer();
    return;
  }
  if (!node::may_abandon_attempt(progress(now))) {
    check_stall_again(now);
    return;
  }
  if (has_unread_input() && now - due_at < max_read_time) {
    check_stall_after(next_turn, due_at);
    return;
  }
  if (m_attempt->has_first_event && silence < max_pause) {
    probe_replica();
    check_stall_again(now);
    return;
  }
  give_up_stalled_attempt("no event within the stall timeout");
}

void proxied_request::probe_replica() {
  m_owner.prober().probe(m_attempt->chosen, [&owner = m_owner, number = m_number,
                                             replica_id = m_attempt->chosen.replica_id](
                                                const boost::system::error_code& result) {
    owner.with_request(number, [&](proxied_request& request) {
      request.on_replica_unreachable(replica_id, result);
    });
  });
}

bool proxied_request::is_connection_alive(base::time_point now) const {
  const auto acknowledged = m_attempt->channel->time_since_acknowledgement();
  const base::duration silence = now - m_attempt->last_progress_at;
  return acknowledged && silence - *acknowledged > max_acknowledgement_delay;
}

void proxied_request::on_replica_unreachable(const std::string& replica_id,
                                             const boost::system::error_code& result) {
  if (m_is_finished || !m_attempt || !m_attempt->channel ||
      m_attempt->chosen.replica_id != replica_id) {
    return;
  }
  const base::time_point now = base::boot_clock::now();
  // A paused replica accepts no connection once its accept queue is full, but its system goes on to
  // acknowledge what arrives on those that are open.
  if (result == boost::asio::error::timed_out && is_connection_alive(now)) {
    return;
  }
  // An event may have arrived while the replica was probed.
  const bool is_silent = now - m_attempt->last_progress_at >= stall_timeout();
  if (is_silent && node::may_abandon_attempt(progress(now))) {
    give_up_stalled_attempt("silent, and the replica cannot be reached: " + result.message());
  }
}

void proxied_request::give_up_stalled_attempt(std::string_view detail) {
  const base::time_point now = base::boot_clock::now();
  // Without another free replica, waiting for the current attempt is the best option.
  placement::request_profile retry_profile = m_profile;
  retry_profile.excluded.push_back(m_attempt->chosen.replica_id);
  const auto alternative = m_context.scheduler.find_replica(retry_profile, now);
  if (!alternative) {
    check_stall_again(now);
    return;
  }
  abandon_attempt(detail);
  m_profile = std::move(retry_profile);
  m_context.retry_budget(m_profile.service).try_spend(now);
  dispatch(m_context.scheduler.grant_replica(m_profile, *alternative, now));
}

void proxied_request::abandon_attempt(std::string_view detail) {
  const base::time_point now = base::boot_clock::now();
  std::exchange(m_attempt->channel, nullptr)->cancel();
  m_context.log.write(telemetry::level::info, "gateway", "attempt_failed",
                      {{"id", m_request_metadata.request_id},
                       {"replica", m_attempt->chosen.replica_id},
                       {"fault", "stalled"},
                       {"sent", m_attempt->is_sent},
                       {"silent_ms", now - m_attempt->last_progress_at},
                       {"response_started", m_is_response_started},
                       {"other_runs_left", m_route->max_attempts - m_runs - 1},
                       {"time_left_ms", time_left(now)},
                       {"detail", detail}});
  end_attempt(placement::outcome::broken);
  m_attempt.reset();
  m_event_splitter = event_stream::event_splitter();
  m_has_given_up_attempt = true;
}

}  // namespace fuchsiaspring::node_app
