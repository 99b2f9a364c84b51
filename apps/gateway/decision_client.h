// The gateway's client of the scheduler and the agent of its VM.
//
//   decision_client client(settings, messenger, metrics, log);
//   std::thread receiver([&] { client.run(); });
//   admission decision = client.admit(request, caller, max_wait);   // from any connection thread
//
// run() is the only receiver of messages. The other functions are thread-safe and block for a
// bounded time.
#pragma once

#include <messages.pb.h>
#include <settings.pb.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/catalog/catalog_index.h"
#include "fuchsiaspring/http/http_server.h"
#include "fuchsiaspring/telemetry/metrics.h"
#include "fuchsiaspring/transport/messenger.h"

namespace fuchsiaspring::gateway {

struct admission_granted {
  schema::Grant grant;
  std::uint64_t revision = 0;
  std::uint64_t sent_at_ms = 0;  // wall clock of this VM when the scheduler decided
  std::uint64_t scheduler_incarnation = 0;
};

struct admission_refused {
  schema::Refusal refusal;
};

enum class admission_failure { scheduler_unavailable, caller_gone, timed_out };

using admission = std::variant<admission_granted, admission_refused, admission_failure>;

class decision_client {
 public:
  decision_client(const schema::GatewaySettings& settings, transport::messenger& messenger,
                  telemetry::metrics& metrics, std::shared_ptr<spdlog::logger> log);

  // Receives messages until stop().
  void run();
  void stop() { m_stopping = true; }

  // Requests a grant and waits at most `max_wait` while the request is queued.
  admission admit(const schema::AdmitRequest& request, const http::caller_socket& caller,
                  base::duration max_wait);

  // Claims an idempotency key. Returns nullopt if the agent does not reply within `timeout`.
  std::optional<schema::ClaimResult> claim(const schema::ClaimKey& request, base::duration timeout);

  // Reports the final state of a claimed key to the agent.
  void finish_key(const schema::FinishKey& message);

  // Reports the state of a grant to the scheduler. From the dispatch to the end of the request the
  // report is repeated, so that a restarted scheduler learns about requests in flight.
  void report(const schema::AttemptReport& report);

  // Registers the dispatch of a grant. Returns false if the scheduler restarted after it issued the
  // grant: the new process already has the reports of all requests in flight and expects no further
  // one.
  bool report_dispatch(const schema::AttemptReport& report, std::uint64_t scheduler_incarnation);

  // Sets the callback that ends the running request when the scheduler preempts it; an empty
  // function removes it. `on_preempt` must not call back into this object.
  void set_preemption(const std::string& request_id, std::function<void()> on_preempt);

  // The verified configuration in force, or nullptr before the first one.
  catalog::catalog_index::pointer catalog() const;
  bool is_scheduler_alive() const;
  // Whether the scheduler can grant requests: it has a configuration and its shares of the
  // upstreams.
  bool is_scheduler_serving() const { return m_scheduler_serving; }
  bool is_isolated() const { return m_isolated; }
  std::size_t pending_admissions() const;

 private:
  struct pending_call {
    std::condition_variable replied;
    std::optional<schema::AdmitDecision> decision;
    std::uint64_t decided_at_ms = 0;
    std::uint64_t scheduler_incarnation = 0;
    std::optional<schema::ClaimResult> claim;
    schema::Envelope request;
  };
  struct running_request {
    schema::AttemptReport report;
    std::function<void()> on_preempt;
  };

  void handle(const schema::Envelope& envelope);
  void handle_config(const schema::ConfigUpdate& update);
  void handle_decision(const schema::AdmitDecision& decision, const schema::Envelope& envelope);
  void handle_claim(const schema::ClaimResult& result);
  void handle_cancel(const schema::CancelRequest& request);
  void return_unused_grant(const schema::AdmitDecision& decision);
  void check_scheduler_incarnation(const schema::Envelope& envelope);
  void send_heartbeats();
  void resend_to_scheduler(bool with_admissions);
  void run_timers();

  const schema::GatewaySettings m_settings;
  transport::messenger& m_messenger;
  telemetry::metrics& m_metrics;
  std::shared_ptr<spdlog::logger> m_log;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_isolated{false};
  std::atomic<bool> m_scheduler_serving{false};

  // Used by run() only.
  std::uint64_t m_reported_incarnation = 0;  // scheduler that got the reports of all requests
  base::time_point m_next_heartbeat{};
  base::time_point m_next_resend{};

  mutable std::mutex m_mutex;  // guards the members below
  std::uint64_t m_scheduler_incarnation = 0;
  std::map<std::string, pending_call*> m_admissions;  // by request id and attempt
  std::map<std::string, pending_call*> m_claims;      // by attempt id
  std::map<std::string, running_request> m_running;
  catalog::catalog_index::pointer m_catalog;
  base::time_point m_last_iteration{};
  base::time_point m_resumed_at{};
};

}  // namespace fuchsiaspring::gateway
