// State of one caller's request while it runs, and its accounting when it ends.
#pragma once

#include <spdlog/spdlog.h>

#include <functional>
#include <memory>
#include <string>

#include "apps/common/daemon.h"
#include "apps/gateway/caller_request.h"
#include "apps/gateway/decision_client.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/telemetry/metrics.h"

namespace fuchsiaspring::gateway {

// Objects shared by all requests. They outlive the requests.
struct request_services {
  decision_client& client;
  telemetry::metrics& metrics;
  apps::decision_log& log;
};

// Tracks one request through its attempts. Used by the request's thread only.
class request_record {
 public:
  request_record(const request_services& services, std::string request_id, caller_request request);
  request_record(const request_record&) = delete;
  request_record& operator=(const request_record&) = delete;
  request_record(request_record&&) = delete;
  request_record& operator=(request_record&&) = delete;
  // Reports an open attempt as cancelled: it is open here only if the caller disconnected.
  ~request_record();

  const std::string& id() const { return m_id; }
  const caller_request& request() const { return m_request; }
  base::duration age() const { return base::boot_clock::now() - m_arrived_at; }

  // Order of calls for each attempt: begin_attempt(); on_dispatched() if the request is sent;
  // on_token() for each token; then either on_finished() or on_failed().
  void begin_attempt(const admission_granted& granted);
  // Returns false when the grant is no longer valid; the request must then not be sent.
  bool on_dispatched();
  void on_token();
  void on_finished(int http_status);
  // `reason` is the counter's label.
  void on_failed(const std::string& reason, bool sent);

  // Sets the callback that ends the open attempt when the scheduler preempts it. To be cleared
  // before the transfer is destroyed.
  void set_preemption(std::function<void()> on_preempt);
  void clear_preemption();

  // Counts a refusal and writes it to the decision log.
  void on_refused(const refusal& refused);
  void on_retry(const std::string& reason);
  void log_decision(const std::string& line) { m_services.log.add(m_id, line); }

  // The claimed key, if there is one; its final state is sent to the agent at the end.
  void set_claim(const schema::ClaimKey& claim) { m_claim = claim; }
  // For a claim that was not granted.
  void clear_claim() { m_claim.Clear(); }
  bool has_claim() const { return !m_claim.attempt_id().empty(); }
  void finish_claim(schema::KeyState state, int http_status);

  // Whether a byte of the request may have reached an upstream in any attempt.
  bool is_sent() const { return m_sent_in_any_attempt; }
  void record_sent(bool sent) { m_sent_in_any_attempt = m_sent_in_any_attempt || sent; }

 private:
  void report(schema::AttemptPhase phase, const std::string& reason);
  schema::AttemptReport make_report(schema::AttemptPhase phase, const std::string& reason) const;
  bool is_in_time() const;
  void count_attainment(bool met);
  telemetry::labels class_labels() const;

  const request_services m_services;
  const std::string m_id;
  const caller_request m_request;
  const base::time_point m_arrived_at;
  schema::Grant m_grant;
  std::uint64_t m_scheduler_incarnation = 0;
  bool m_attempt_open = false;
  bool m_sent_in_attempt = false;
  bool m_sent_in_any_attempt = false;
  std::function<void()> m_on_preempt;
  base::time_point m_dispatched_at{};
  base::time_point m_first_token_at{};
  base::time_point m_last_token_at{};
  std::uint32_t m_tokens = 0;
  schema::ClaimKey m_claim;
};

}  // namespace fuchsiaspring::gateway
