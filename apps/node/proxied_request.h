// One request of a caller, from its arrival to its final response.
//
// Routes and admits the request, sends it to the replica that the scheduler chose and relays the
// response. A failed attempt is repeated or resumed where attempt_rule.h permits. The gateway owns
// the request, and every callback looks it up by its number, so that no callback acts on a request
// that has ended.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "apps/node/node_context.h"
#include "apps/node/upstream_attempt.h"
#include "fuchsiaspring/event_stream/event_splitter.h"
#include "fuchsiaspring/node/attempt_rule.h"
#include "fuchsiaspring/node/scheduler.h"
#include "fuchsiaspring/node/send_permission.h"
#include "fuchsiaspring/node/types.h"
#include "fuchsiaspring/relay/caller_connection.h"
#include "fuchsiaspring/relay/upstream_channel.h"

namespace fuchsiaspring::node_app {

class gateway;

class proxied_request {
 public:
  proxied_request(gateway& owner, std::uint64_t number,
                  std::shared_ptr<relay::caller_connection> caller, relay::request message);
  ~proxied_request();
  proxied_request(const proxied_request&) = delete;
  proxied_request& operator=(const proxied_request&) = delete;
  proxied_request(proxied_request&&) = delete;
  proxied_request& operator=(proxied_request&&) = delete;

  void start();

  void on_admission(const node::admission_result& result);
  void on_channel_event(const relay::channel_event& event);
  void on_caller_disconnected();
  // The deadline has passed: ends the request once what has arrived is read.
  void on_deadline();
  void on_time_up();
  // The stall timer ran at `due_at`; bytes that had arrived may have been read since.
  void on_stalled(base::time_point due_at);
  void on_caller_drained();
  // An exception has left the work for this request.
  void on_internal_error();
  // The process is about to exit.
  void on_stopping();

 private:
  // Send an error response and return true if the request cannot be served.
  bool refuse_unroutable();
  bool refuse_unauthorized();
  bool refuse_blocked_prompt();
  void admit();
  void update_home_regions();
  // Admits a request again whose response has begun: it can no longer be refused.
  void admit_later(base::duration wait);
  void call_later(base::duration wait, std::function<void(proxied_request&)> function);
  // Calls `on_timeout` after `wait` unless the request has ended or the timer was started again.
  void start_timer(boost::asio::steady_timer& timer, base::duration wait,
                   std::function<void(proxied_request&)> on_timeout);
  void dispatch(const node::grant& granted);
  relay::request make_upstream_request() const;
  // Called right before the first byte is sent, because the process may have been suspended or the
  // state may have changed since the request was admitted.
  bool may_send();
  node::send_permission check_send() const;
  // The conditions that apply to all replicas.
  node::send_conditions send_conditions(base::time_point now) const;
  // What the newest configuration says of the key with which the request was admitted.
  node::key_state newest_key_state() const;
  // Whether the request is expected to end before a planned stop of the node ends it.
  bool can_end_before_stop(base::time_point now) const;
  // Whether another attempt may be made after the first one, as far as the prompt is concerned.
  bool may_repeat_prompt(base::time_point now) const;
  // Shared parts of the prompt if the replica of the current attempt had just begun to answer it.
  std::vector<quarantine::suspect> suspects(base::time_point now) const;
  void on_response_started(const relay::response_head& head);
  void on_body(std::string_view bytes);
  void on_oversized_body();
  void on_response_ended(const relay::response_ended& ended);
  // Whether a stream ended inside an event or, before its first one, with its connection. A resumed
  // stream without events is broken too: its first replica broke off and did not end it, and the
  // caller can resume the stream to learn whether anything is missing.
  bool is_broken_stream(const relay::response_ended& ended) const;
  // Whether a success ended with its connection before the first byte of its body: its replica most
  // likely stopped behind the head.
  bool lacks_body(const relay::response_ended& ended) const;
  // Tells the gateway what the end of a response says about the parts of the prompt.
  void report_parts(const relay::response_ended& ended);
  // Tells the gateway once that the parts of the prompt have not ended the replica, as soon as the
  // response has gone on for long enough to show it.
  void report_parts_of_long_response();
  void on_rejected();
  void on_channel_failed(const relay::channel_failed& failure);
  // Sends the head of the response to the caller, if none has been sent.
  void begin_response();
  void relay(std::string_view bytes);
  void relay_events(std::string_view bytes);
  // Takes the complete events up to one that does not fit behind them, which fails the attempt.
  struct taken_events {
    std::string bytes;
    bool has_event = false;  // not only comments
    bool is_unfit = false;
  };
  taken_events take_events();
  void record_first_event();
  void record_event_gap();
  void end_attempt(placement::outcome outcome);
  void handle_failed_attempt(placement::outcome outcome);
  // Decides how the request goes on after its last attempt ended with `outcome`. The next one
  // avoids `failed_replica`, unless it is empty.
  void take_next_step(placement::outcome outcome, const std::string& failed_replica);
  void try_again_after(placement::outcome outcome, const std::string& failed_replica);
  void wait_to_try_again(placement::outcome outcome, const std::string& failed_replica);
  node::request_progress progress(base::time_point now);
  void send_buffered_response();
  // Whether the status of an upstream's response, without its statement that the request did not
  // run, would be a false promise to the caller.
  bool is_unproved_refusal(unsigned status) const;
  void refuse(unsigned status, std::string_view reason, bool may_have_run,
              base::duration retry_after);
  // Ends the request and its attempt from outside. The caller gets `status_if_run` if an upstream
  // may have run the request and 503 otherwise; a response that has begun is broken off.
  void end_now(std::string_view reason, unsigned status_if_run, placement::outcome attempt_outcome);
  // Attempts that an upstream may have begun to run, with the current one.
  std::uint32_t runs() const;
  void finish(std::string_view outcome, unsigned status, std::string_view reason);
  // Time without an event after which the current attempt counts as stalled.
  base::duration stall_timeout() const;
  void arm_stall_timer();
  void check_stall_after(base::duration wait, base::time_point due_at);
  // The current attempt has stalled, but cannot be given up now.
  void check_stall_again(base::time_point now);
  // Checks whether the replica of the current attempt, which is silent, can be reached.
  void probe_replica();
  void on_replica_unreachable(const std::string& replica_id,
                              const boost::system::error_code& result);
  // Whether the replica's system has acknowledged keep-alive probes since the last event.
  bool is_connection_alive(base::time_point now) const;
  // Continues the request at another replica if one can take it now.
  void give_up_stalled_attempt(std::string_view detail);
  // Ends the current attempt, at which its replica may be at work.
  void abandon_attempt(std::string_view detail);
  // Whether more of the current attempt's response has arrived than was read.
  bool has_unread_input() const;
  base::duration time_left(base::time_point now) const;
  std::string queue_id() const { return std::to_string(m_number); }

  gateway& m_owner;
  node_context& m_context;
  std::uint64_t m_number;
  std::shared_ptr<relay::caller_connection> m_caller;
  relay::request m_message;
  node::request_metadata m_request_metadata;
  std::vector<std::uint64_t> m_shared_parts;  // of the prompt: all but the last one
  bool m_is_trial = false;                    // tries a blocked part of the prompt
  std::shared_ptr<const routes::route_table> m_table;
  std::shared_ptr<const routes::route_table> m_limits_table;  // of the home regions in m_profile
  const routes::route* m_route = nullptr;
  const routes::team* m_team = nullptr;
  routes::urgency m_urgency;
  placement::request_profile m_profile;
  base::time_point m_received_at;
  base::time_point m_deadline;
  std::optional<base::time_point> m_deadline_reached_at;  // when its timer ran first
  boost::asio::steady_timer m_deadline_timer;
  boost::asio::steady_timer m_stall_timer;
  boost::asio::steady_timer m_admission_timer;

  std::optional<upstream_attempt> m_attempt;
  std::uint32_t m_runs = 0;        // ended attempts that an upstream may have begun to run
  std::uint32_t m_dispatches = 0;  // attempts of which at least one byte was sent
  bool m_is_response_started = false;
  bool m_has_given_up_attempt = false;  // at a replica that may have been sound
  int m_resume_waits = 0;               // before a busy replica was asked for the rest
  bool m_is_waiting = false;            // the last step was node::next_step::wait
  bool m_is_finished = false;
  std::optional<relay::response> m_buffered_response;  // complete response of an upstream
  relay::memory_charge m_buffered_charge;
  std::string m_attempted_replicas;  // comma-separated, for the log
  event_stream::event_splitter m_event_splitter;
  std::string m_last_event_id;
  base::duration m_first_event_latency{};
  base::duration m_queue_time{};
};

}  // namespace fuchsiaspring::node_app
