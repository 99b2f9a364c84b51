// State that the placer keeps for each replica and service.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/placement/types.h"
#include "placement/first_token_model.h"

namespace fuchsiaspring::placement::internal {

// Share of streams with one gap target that missed it during concurrent long prefills.
struct gap_statistics {
  // The initial value separates streams from long prompts before any sample exists, since
  // separating them costs less than many missed targets.
  double missed_share = 0.5;  // moving average
  double samples = 2;
};

// Measured time to the first token, including time in queues and faults.
struct measured_first_token {
  double mean_ms = 0;  // moving average
  double samples = 0;
};

struct service_state {
  service_profile profile;
  measured_first_token long_prompts;
  measured_first_token short_prompts;
  first_token_model first_token;
  std::map<base::duration, gap_statistics> gaps;  // by gap target
  std::vector<std::string> replica_ids;           // listed replicas only
};

// Prefill that one other node reported at a replica.
struct remote_prefill {
  std::uint64_t vm_hash = 0;
  std::uint32_t tokens = 0;
  base::time_point since{};  // when the report of these tokens arrived
};

// Token bucket that limits this node's requests to a cold replica.
struct cold_bucket {
  double rate = 0;  // requests/s of this node, 0: the node is no owner
  double level = 0;
  base::time_point filled_at{};
};

struct replica_state {
  replica entry;
  service_state* service = nullptr;
  bool is_listed = true;
  bool is_evacuated = false;
  base::time_point unlisted_since{};

  std::uint32_t running = 0;
  std::uint32_t prefill_tokens = 0;
  std::uint32_t remote_running = 0;
  std::vector<remote_prefill> remote_prefills;  // by `since`, the oldest first
  double gap_sensitivity = 0;                   // sum over `running`
  double remote_gap_sensitivity = 0;            // sum over `remote_running`

  // Exponentially decaying count of the long prompts that all nodes sent here.
  double long_prefills = 0;
  base::time_point long_prefills_at{};

  base::time_point dispatched_at{};
  base::time_point cold_until{};
  cold_bucket cold;

  // No request is sent before this time; the first one after it probes the connection.
  base::time_point down_until{};
  base::duration backoff{};
  bool was_unreachable = false;

  base::time_point ejected_until{};
  base::duration ejection_time{};
  double failure_share = 0;  // moving average over outcomes
  double samples = 0;
  double slowness = 1;  // moving average of measured over expected time to the first token
  base::time_point slowness_at{};  // of the last sample
  std::uint32_t consecutive_failures = 0;

  std::unordered_map<std::uint64_t, base::time_point> cached;  // part id, last use

  std::uint32_t all_running() const { return running + remote_running; }
  double all_gap_sensitivity() const { return gap_sensitivity + remote_gap_sensitivity; }
};

// Prompt tokens that other nodes sent to the replica and that it has not prefilled yet. Reports of
// other nodes lag, so the tokens reported are reduced by those that the replica has prefilled since
// at the speed of its service.
std::uint32_t remote_prefill_tokens(const replica_state& state, base::time_point now);

// The same for the prompts of all nodes.
std::uint32_t all_prefill_tokens(const replica_state& state, base::time_point now);

// Decaying number of long prompts sent to the replica, as of `now`.
double recent_long_prefills(const replica_state& state, base::time_point now);

void count_long_prefill(replica_state& state, base::time_point now);

}  // namespace fuchsiaspring::placement::internal
