// Message loop and state of fuchsia-agent: configuration, VM list, peers and key records.
//
//   agent task(settings, messenger, metrics, log);
//   std::thread runner([&] { task.run(); });
//   ...
//   task.stop();
//
// run() handles one message at a time. status(), not_ready_reason() and stop() may be called from
// any thread.
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
#include <set>
#include <string>
#include <vector>

#include "apps/agent/claim_coordinator.h"
#include "apps/agent/service_reader.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/distribution/reader_plan.h"
#include "fuchsiaspring/distribution/revision_store.h"
#include "fuchsiaspring/membership/peer_table.h"
#include "fuchsiaspring/membership/view_tracker.h"
#include "fuchsiaspring/telemetry/metrics.h"
#include "fuchsiaspring/transport/messenger.h"

namespace fuchsiaspring::agent {

class agent {
 public:
  // `messenger` and `metrics` must outlive the agent.
  agent(const schema::AgentSettings& settings, transport::messenger& messenger,
        telemetry::metrics& metrics, std::shared_ptr<spdlog::logger> log);

  // Runs until stop(). Before it returns, it announces to the peers that this VM is leaving.
  void run();
  void stop() { m_stopping = true; }

  // JSON for the /status endpoint.
  std::string status() const;
  // Why this VM may not serve, or nothing.
  std::optional<std::string> not_ready_reason() const;

 private:
  // A gateway or scheduler on this VM.
  struct local_program {
    std::uint64_t pushed_revision = 0;
    std::uint64_t held_revision = 0;  // from its last heartbeat
    base::time_point pushed_at;
  };

  void handle(const schema::Envelope& envelope);
  void handle_heartbeat(const schema::Envelope& envelope);
  void handle_bundle(const schema::Envelope& envelope);
  void handle_list(const schema::Envelope& envelope);
  void handle_fetch(const schema::Envelope& envelope);
  void handle_claim_message(const schema::Envelope& envelope);
  void on_interval();
  void send_heartbeats(bool leaving);
  // Reconnects to newly suspected peers, and to every peer periodically.
  void replace_connections();
  void fetch_from_peers();
  void fetch_bundle();
  void fetch_lists();
  // Stores a newer bundle or list and updates what depends on it: membership floor, peers, readers,
  // heartbeats and local programs.
  void adopt_bundle(const schema::Bundle& bundle);
  void adopt_list(const schema::VmList& list);
  void update_config_reads();
  // Sends the bundle to local programs that do not have it, and an update to all of them if another
  // part of the configuration changed.
  void push_changes();
  void push_contact_age();
  void push(const std::string& address, bool with_bundle);
  schema::ConfigUpdate make_update() const;
  std::string address_of(const std::string& vm) const;
  void send_to_vm(const std::string& vm, schema::Envelope envelope);
  bool is_from_service(const schema::Envelope& envelope) const;
  void publish_status();
  base::duration next_receive_timeout() const;

  const schema::AgentSettings m_settings;
  const base::duration m_interval;
  transport::messenger& m_messenger;
  telemetry::metrics& m_metrics;
  const std::shared_ptr<spdlog::logger> m_log;
  std::atomic<bool> m_stopping{false};
  base::random_source m_random;
  base::time_point m_now;
  std::uint64_t m_wall_ms;
  membership::view_tracker m_view;
  membership::peer_table m_peers;
  distribution::revision_store m_store;
  const distribution::reader_rules m_reader_rules;
  distribution::fallback_schedule m_fallback;
  distribution::serving_slots m_slots;
  distribution::fetch_schedule m_bundle_fetch;
  distribution::fetch_schedule m_list_fetch;
  claim_coordinator m_claims;
  std::map<std::string, std::string> m_reply_addresses;   // of agents, by VM
  std::map<std::string, local_program> m_local_programs;  // by mailbox address
  std::string m_pushed_digest;                            // of the last update without its bundle
  base::time_point m_next_interval;
  std::set<std::string> m_suspected;  // at the last interval
  std::uint64_t m_intervals = 0;
  std::uint64_t m_last_activated_version = 0;
  std::uint64_t m_highest_peer_revision = 0;  // highest in any heartbeat
  bool m_push_due = false;
  bool m_is_watching = false;

  mutable std::mutex m_status_mutex;  // guards the members below
  std::string m_status = "{}\n";
  std::optional<std::string> m_not_ready = "starting";

  // Declared last, so that its threads are joined before the members that they use are destroyed.
  service_reader m_reader;
};

}  // namespace fuchsiaspring::agent
