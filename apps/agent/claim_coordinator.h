// Processes idempotency claims of the local gateway and keeps key records for all agents.
//
//   claim_coordinator claims("vm1", settings, view, senders, metrics, now, wall_ms);
//   claims.on_claim(claim, envelope.reply_address(), envelope.sent_at_ms(), now, wall_ms);
//   claims.advance(now, wall_ms);
//
// Not thread-safe; the agent's task owns it.
#pragma once

#include <messages.pb.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/idempotency/claim_round.h"
#include "fuchsiaspring/idempotency/key_recorder.h"
#include "fuchsiaspring/membership/view_tracker.h"
#include "fuchsiaspring/telemetry/metrics.h"

namespace fuchsiaspring::agent {

struct claim_settings {
  idempotency::retention_rules retention;
  idempotency::claim_limits limits;
  // Time within which a granted claim must be dispatched. At most half the retention window, so
  // that the records outlive it.
  base::duration grant_validity = std::chrono::minutes(10);
};

struct claim_senders {
  std::function<void(const std::string& vm, schema::Envelope)> to_vm;
  std::function<void(const std::string& address, schema::Envelope)> to_gateway;
};

class claim_coordinator {
 public:
  // `view` must outlive this object. `started` and `started_wall_ms` are the start of the process.
  claim_coordinator(std::string self, const claim_settings& settings,
                    const membership::view_tracker& view, claim_senders senders,
                    telemetry::metrics& metrics, base::time_point started,
                    std::uint64_t started_wall_ms);

  // A claim of the local gateway. A repeated claim gets the same result and never a second round: a
  // second round that fails would abandon the records of an attempt that is dispatched. For the
  // same reason a late claim, or one sent before the start of this process, is dropped.
  void on_claim(const schema::ClaimKey& claim, const std::string& reply_address,
                std::uint64_t sent_at_ms, base::time_point now, std::uint64_t wall_ms);

  // The end of a claimed request. State UNSPECIFIED means that it was never dispatched.
  void on_finish(const schema::FinishKey& finished, base::time_point now, std::uint64_t wall_ms);

  // A request to the recorder of this agent.
  schema::RecordReply on_record(const schema::RecordKey& request, base::time_point now,
                                std::uint64_t wall_ms);
  void on_outcome(const schema::RecordOutcome& outcome, base::time_point now,
                  std::uint64_t wall_ms);
  void on_abandon(const schema::AbandonKey& request, base::time_point now, std::uint64_t wall_ms);

  // The reply of the recorder on `vm`.
  void on_reply(const std::string& vm, const schema::RecordReply& reply, base::time_point now,
                std::uint64_t wall_ms);

  // Advances all rounds: sends due requests, completes claims, and starts a new round when the list
  // version changed.
  void advance(base::time_point now, std::uint64_t wall_ms);

  bool has_pending() const { return !m_pending.empty(); }
  const idempotency::key_recorder& recorder() const { return m_recorder; }

 private:
  struct pending_claim {
    schema::ClaimKey claim;
    std::string reply_address;
    base::time_point started;
    std::set<std::string> contacted_recorders;
    std::unique_ptr<idempotency::claim_round> round;
  };
  struct completed_claim {
    schema::Envelope reply;  // sent to the gateway
    std::set<std::string> contacted_recorders;
    base::time_point expires;
  };

  void refuse_without_round(const schema::ClaimKey& claim, const std::string& reply_address,
                            const std::string& reason);
  // Returns whether the claim was completed.
  bool advance_claim(pending_claim& item, base::time_point now, std::uint64_t wall_ms);
  void start_round(pending_claim& item, std::uint64_t version, base::time_point now);
  void send_record_request(const pending_claim& item, const std::string& vm, base::time_point now,
                           std::uint64_t wall_ms);
  void complete_claim(pending_claim& item, base::time_point now, std::uint64_t wall_ms);
  void abandon(const std::string& scope, const std::string& digest, const std::string& attempt,
               const std::set<std::string>& recorders, base::time_point now, std::uint64_t wall_ms);
  std::set<std::string> recorders_of_all_lists(const std::string& scope,
                                               const std::string& digest) const;

  const std::string m_self;
  const claim_settings m_settings;
  const membership::view_tracker& m_view;
  const claim_senders m_senders;
  telemetry::metrics& m_metrics;
  const std::uint64_t m_started_wall_ms;
  idempotency::key_recorder m_recorder;
  std::map<std::string, pending_claim> m_pending;      // by attempt id
  std::map<std::string, completed_claim> m_completed;  // by attempt id
  std::deque<std::pair<base::time_point, std::string>> m_completed_by_expiry;
};

}  // namespace fuchsiaspring::agent
