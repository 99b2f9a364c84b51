// Admission, order, routing and shares of one VM.
//
// run() owns all state and handles one message at a time. The other functions are thread-safe.
#pragma once

#include <messages.pb.h>
#include <settings.pb.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "apps/common/daemon.h"
#include "apps/scheduler/grant_table.h"
#include "apps/scheduler/load_poller.h"
#include "apps/scheduler/upstream_shares.h"
#include "fuchsiaspring/admission/admission_queue.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/catalog/catalog_index.h"
#include "fuchsiaspring/estimator/length_estimator.h"
#include "fuchsiaspring/retry/retry.h"
#include "fuchsiaspring/routing/router.h"
#include "fuchsiaspring/telemetry/metrics.h"
#include "fuchsiaspring/transport/messenger.h"

namespace fuchsiaspring::scheduler {

class scheduler {
 public:
  scheduler(const schema::SchedulerSettings& settings, transport::messenger& messenger,
            telemetry::metrics& metrics, std::shared_ptr<spdlog::logger> log);

  void run();
  void stop() { m_stopping = true; }

  // Fails readiness and reports "not serving" to the gateways, so that the VM gets no new callers.
  // Queued requests are still decided.
  void begin_drain() { m_draining = true; }
  bool is_queue_empty() const { return m_queue_empty; }

  std::optional<std::string> not_ready_reason() const;
  std::string status() const;
  const apps::decision_log& decisions() const { return m_decisions; }

 private:
  // An undecided request and the mailbox address of the gateway that sent it.
  struct waiting_request {
    schema::AdmitRequest request;
    std::string gateway;
  };

  void handle(const schema::Envelope& envelope);
  void handle_admit(const schema::AdmitRequest& request, const std::string& gateway);
  void handle_report(const schema::AttemptReport& report, const std::string& gateway);
  void handle_config(const schema::ConfigUpdate& update);
  void handle_notice(const schema::UpstreamNotice& notice);
  void apply_catalog();
  void apply_list();
  // Sets in the router how many requests this VM may run at each upstream.
  void apply_shares(base::time_point now);
  void update_demand(base::time_point now);
  routing::router_config router_config() const;

  bool is_retry_in_budget(const schema::AdmitRequest& request);

  // The reason why the request cannot be queued, if any.
  std::optional<std::string> find_refusal_reason(const schema::AdmitRequest& request);
  void enqueue(const schema::AdmitRequest& request, const std::string& gateway);
  // Grants queued requests while upstreams have free slots.
  void dispatch_queued(base::time_point now);
  // Returns false if no upstream of the pool has a free slot.
  bool try_start(const admission::dispatched_request& dispatched, base::time_point now);
  void grant(const waiting_request& waiting, const routing::choice& chosen,
             admission::dispatch_rule rule, base::time_point now);
  void refuse(const std::string& request_id, std::uint32_t attempt, const std::string& gateway,
              const std::string& reason, base::duration retry_after);
  void refuse_removed(const std::vector<admission::removed_request>& removed);
  void preempt(base::time_point now);
  void end_grant(const schema::AttemptReport& report, const grant_entry& entry,
                 base::time_point now);
  void adopt_running(const schema::AttemptReport& report, const std::string& gateway);
  void apply_load_reports(base::time_point now);
  void send_notices();
  void check_peer_incarnation(const schema::Envelope& envelope);
  void send_ramp_limits();
  void send_heartbeats();
  void run_timers(base::time_point now);
  void publish_status(base::time_point now);
  admission::queue_request make_queue_request(const schema::AdmitRequest& request) const;

  const schema::SchedulerSettings m_settings;
  transport::messenger& m_messenger;
  telemetry::metrics& m_metrics;
  std::shared_ptr<spdlog::logger> m_log;
  apps::decision_log m_decisions;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_queue_empty{true};

  // Used by run() only.
  base::random_source m_random;
  catalog::catalog_index::pointer m_catalog;
  schema::VmList m_vm_list;
  // Mailbox address by VM name, also of VMs that left.
  std::map<std::string, std::string> m_scheduler_addresses;
  bool m_isolated = false;
  std::optional<admission::admission_queue> m_queue;
  routing::router m_router;
  upstream_shares m_shares;
  grant_table m_grants;
  load_poller m_load_poller;
  std::vector<waiting_request> m_early_requests;  // arrived before the first configuration
  std::unordered_map<std::string, waiting_request> m_waiting;  // by request id
  estimator::length_estimator m_length_estimator;
  std::map<std::string, retry::retry_budget> m_retry_budgets;  // by class
  std::map<std::string, base::time_point> m_gateway_contacts;  // last message, by reply address
  std::uint64_t m_next_grant_id;
  base::time_point m_last_iteration{};
  base::time_point m_next_heartbeat{};
  base::time_point m_next_slow_timer{};
  base::time_point m_next_ramp_round{};
  std::map<std::string, std::uint64_t> m_peer_incarnations;  // schedulers by address
  std::map<std::string, int> m_ramp_rounds_left;             // left to send, by address

  mutable std::mutex m_status_mutex;  // guards the two members below
  std::string m_status;
  std::string m_not_ready_reason = "no configuration yet";
};

}  // namespace fuchsiaspring::scheduler
