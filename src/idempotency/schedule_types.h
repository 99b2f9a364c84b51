// Settings, faults, deliberate mutations and the state of a VM for the random schedules of
// schedule_model.h.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/idempotency/claim_round.h"
#include "fuchsiaspring/idempotency/key_recorder.h"
#include "fuchsiaspring/membership/view_tracker.h"

namespace fuchsiaspring::idempotency::schedules {

using membership::view_tracker;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t epoch_ms = 1'800'000'000'000;
constexpr int vm_count = 10;
constexpr std::uint64_t clock_error_ms = 100;
constexpr base::duration schedule_length = seconds(60);
inline const base::time_point epoch = base::time_point{} + seconds(1'000'000);

// Short times, so that a schedule spans several retention windows.
inline const retention_rules key_rules{.window = seconds(8),
                                       .clock_error = milliseconds(clock_error_ms),
                                       .max_claim_duration = milliseconds(500),
                                       .open_record_limit = seconds(4),
                                       .max_records = 100'000};
inline const membership::view_rules list_rules{.confirmation_limit = seconds(1),
                                               .clock_error = milliseconds(clock_error_ms),
                                               .key_retention = seconds(8),
                                               .max_claim_duration = milliseconds(500)};
inline const claim_limits round_limits{.timeout = milliseconds(300),
                                       .resend_interval = milliseconds(80),
                                       .grant_max_age = milliseconds(500)};

// Fault types of a schedule; loss, restart and pause rates are drawn for each schedule.
struct faults {
  bool loss = false;
  bool delay = false;
  bool restarts = false;
  bool partitions = false;
  bool pauses = false;
  bool list_changes = false;
  bool stale_service = false;
  bool floors = false;
};
constexpr faults all_faults{true, true, true, true, true, true, true, true};

// Deliberate errors in the protocol that the simulation must detect.
enum class mutation {
  none,
  one_of_three,        // one recorder makes a quorum
  no_abstention,       // a restarted recorder confirms keys that it may have recorded before
  no_older_sets,       // a claim needs no records under older list versions
  no_activation,       // an agent acts on a list as soon as it is adopted
  no_confirmation,     // a minority continues under an old version
  restarted_votes,     // a restarted agent counts although it may have lost a version
  abandoned_dispatch,  // an attempt may be dispatched after its refusal
};

struct attempt {
  std::string key;
  std::string id;
  std::uint64_t key_time_ms = 0;
  base::time_point started;
  std::unique_ptr<claim_round> round;
};

struct vm {
  std::string name;
  std::string domain;
  bool alive = false;
  std::uint64_t incarnation = 0;
  std::uint64_t clock_offset_ms = 0;  // 0 to the clock error
  base::time_point paused_until;
  std::size_t visible_lists = 0;  // number of lists that the VM can read from the service
  std::uint64_t visible_floor = 0;
  int side = 0;  // of a partition; side 1 cannot reach the service
  std::unique_ptr<view_tracker> view;
  std::unique_ptr<key_recorder> recorder;
  std::map<std::string, std::shared_ptr<attempt>> attempts;
};

inline void add_vm(schema::VmList& list, const vm& item) {
  schema::VmEntry& entry = *list.add_vms();
  entry.set_name(item.name);
  entry.set_failure_domain(item.domain);
  entry.set_state(schema::VM_STATE_LIVE);
}

struct dispatch {
  std::string attempt_id;
  base::time_point round_started;
};

struct schedule_result {
  std::string violation;  // empty: none
  std::uint64_t dispatched = 0;
  std::uint64_t single = 0;          // attempts of keys that are sent once
  std::uint64_t single_refused = 0;  // of these, refused attempts
};

}  // namespace fuchsiaspring::idempotency::schedules
