// In-memory records of idempotency keys of one agent.
//
//   key_recorder recorder(rules, base::boot_clock::now(), base::wall_clock_ms());
//   schema::RecordReply reply = recorder.record(request, adopted_version, now, wall_ms);
//
// A recorder never evicts a record before its expiry: when it is full it abstains. Each call first
// removes expired records, in amortized constant time per record. Not thread-safe; the agent's task
// owns it. `now` must not decrease between calls.
#pragma once

#include <messages.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/idempotency/key_time.h"

namespace fuchsiaspring::idempotency {

// Number of replies of each kind since the start of the recorder.
struct recorder_counts {
  std::uint64_t recorded = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t abstained_after_start = 0;
  std::uint64_t abstained_full = 0;
  std::uint64_t abstained_key_time = 0;
  std::uint64_t abstained_abandoned = 0;
  std::uint64_t other_version = 0;

  friend auto operator<=>(const recorder_counts&, const recorder_counts&) = default;
};

class key_recorder {
 public:
  // `started` and `started_wall_ms` are the start of this process by both clocks. Earlier records
  // are lost, so the recorder abstains from keys that it may have recorded before.
  key_recorder(const retention_rules& rules, base::time_point started,
               std::uint64_t started_wall_ms);

  // Records the key for the attempt, or returns why not. `adopted_version` is the highest VM list
  // version that this agent has adopted, 0 for none. A repeated request of the same attempt gets
  // the same reply.
  schema::RecordReply record(const schema::RecordKey& request, std::uint64_t adopted_version,
                             base::time_point now, std::uint64_t wall_ms);

  // Stores the outcome of the recorded attempt. Outcomes of other attempts and outcomes after a
  // final state are ignored.
  void finish(const schema::RecordOutcome& outcome, base::time_point now, std::uint64_t wall_ms);

  // Removes the record of an attempt that was never dispatched. A RecordKey of this attempt that
  // arrives later is not recorded.
  void abandon(const schema::AbandonKey& request, base::time_point now, std::uint64_t wall_ms);

  // Removes expired records.
  void expire(base::time_point now, std::uint64_t wall_ms);

  std::size_t size() const { return m_records.size(); }
  const recorder_counts& counts() const { return m_counts; }

 private:
  struct entry {
    std::string attempt_id;
    schema::KeyState state = schema::KEY_STATE_RECORDED;
    std::uint32_t http_status = 0;
    base::time_point recorded_at;
  };
  struct expiry {
    base::time_point at;
    std::string id;
    std::string attempt_id;
  };

  bool may_have_lost_record(const schema::RecordKey& request, base::time_point now) const;
  // Whether a record of a key with this time cannot have expired yet. Records expire by the same
  // bound, so a key is never taken for new after its record has expired.
  bool is_within_retention(std::uint64_t key_time_ms) const;
  void schedule_expiry(const schema::RecordKey& request, const std::string& id,
                       base::time_point now);
  void reply_to_existing(const schema::RecordKey& request, const entry& found, base::time_point now,
                         schema::RecordReply& reply);
  void remove(const std::string& id, const std::string& attempt_id);
  void fill_duplicate(const entry& found, base::time_point now, schema::RecordReply& reply) const;

  const retention_rules m_rules;
  const base::time_point m_started;
  const std::uint64_t m_started_wall_ms;
  const std::uint64_t m_bucket_ms;  // width of a bucket of the calendar
  // Highest wall time so far: a clock that is set back must not make an expired key acceptable.
  std::uint64_t m_wall_ms = 0;
  std::unordered_map<std::string, entry> m_records;
  // Number of expiry entries in m_opaque_expiries and m_calendar. An abandoned record leaves its
  // entry until the expiry, so `max_records` applies to this count.
  std::size_t m_scheduled = 0;
  std::deque<expiry> m_opaque_expiries;     // in order of recording
  std::deque<expiry> m_abandoned_expiries;  // in order of arrival
  std::unordered_map<std::string, base::time_point> m_abandoned_attempts;
  // Timestamped records by expiry; the front bucket has the number m_first_bucket.
  std::deque<std::vector<std::pair<std::string, std::string>>> m_calendar;
  std::uint64_t m_first_bucket = 0;
  recorder_counts m_counts;
};

}  // namespace fuchsiaspring::idempotency
