// The requesting side of an idempotency claim: one round that collects records from recorders.
//
//   std::vector<recorder_group> groups{choose_recorders(list, scope, key_digest)};
//   claim_round round(request, groups, limits, now);
//   for (const std::string& name : round.take_due_recorders(now)) { send round.request() to name }
//   round.on_reply(name, reply, now);
//   round.advance(now);
//   if (round.may_dispatch(now)) { dispatch once }
//
// An attempt whose round ends in any state but `granted` must never be dispatched; the caller then
// sends AbandonKey to all `contacted_recorders()`. Not thread-safe; the agent's task owns it.
#pragma once

#include <messages.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::idempotency {

// The recorders of one key under one list version, and how many of them must record it.
struct recorder_group {
  std::vector<std::string> members;
  std::size_t quorum = 0;

  friend bool operator==(const recorder_group&, const recorder_group&) = default;
};

// Returns the recorders of a key: the three live VMs of highest rendezvous score, in as many
// different failure domains as the list allows. Two of the three must record the key. A list with
// fewer live VMs gives all of them, of which more than half must record it.
recorder_group choose_recorders(const schema::VmList& list, std::string_view scope,
                                std::string_view key_digest);

struct claim_limits {
  base::duration timeout = std::chrono::milliseconds(500);          // of the whole round
  base::duration resend_interval = std::chrono::milliseconds(100);  // until the recorder replies
  base::duration grant_max_age = std::chrono::seconds(2);           // since the start of the round
};

enum class claim_state {
  pending,
  granted,      // every group has its quorum
  duplicate,    // a recorder holds another attempt
  unconfirmed,  // no quorum before the timeout, or no quorum possible
  superseded,   // there is a newer list version; start a new round under it
};

class claim_round {
 public:
  // `request` carries the current list version. `groups` holds the recorders under this version and
  // under older versions that were active within the retention window.
  claim_round(schema::RecordKey request, std::vector<recorder_group> groups,
              const claim_limits& limits, base::time_point now);

  // Returns the recorders to send `request()` to now, and counts it as sent at `now`.
  std::vector<std::string> take_due_recorders(base::time_point now);

  // Handles the reply of `recorder`. Replies to other attempts, replies of VMs that are not members
  // of a group, and replies after the end of the round are ignored.
  void on_reply(const std::string& recorder, const schema::RecordReply& reply,
                base::time_point now);

  // Ends the round at its timeout.
  void advance(base::time_point now);

  // Ends a pending round as `superseded`: this agent has adopted a newer list version.
  void supersede();

  // Whether the attempt may be dispatched at `now`: granted, and the round is not older than
  // `grant_max_age`. The age of the round is at least that of every record.
  bool may_dispatch(base::time_point now) const;

  claim_state state() const { return m_state; }
  const schema::RecordKey& request() const { return m_request; }
  // All recorders that may hold a record of this attempt.
  const std::set<std::string>& contacted_recorders() const { return m_contacted; }
  base::time_point started() const { return m_started; }
  base::time_point deadline() const { return m_started + m_limits.timeout; }
  // State and HTTP status of the attempt that holds the key, set when the state is `duplicate`.
  schema::KeyState holder_state() const { return m_holder_state; }
  std::uint32_t holder_http_status() const { return m_holder_http_status; }
  // Highest list version that a recorder reported.
  std::uint64_t newest_version() const { return m_newest_version; }

 private:
  struct member {
    bool recorded = false;
    bool abstained = false;
    base::time_point next_request;
  };

  void update_state();

  const schema::RecordKey m_request;
  const std::vector<recorder_group> m_groups;
  const claim_limits m_limits;
  const base::time_point m_started;
  std::map<std::string, member> m_members;
  std::set<std::string> m_contacted;
  claim_state m_state = claim_state::pending;
  schema::KeyState m_holder_state = schema::KEY_STATE_UNSPECIFIED;
  std::uint32_t m_holder_http_status = 0;
  std::uint64_t m_newest_version = 0;
};

}  // namespace fuchsiaspring::idempotency
