// State that the placer keeps for each replica and service.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/capability/own_average.h"
#include "fuchsiaspring/capability/service_model.h"
#include "fuchsiaspring/capability/speed_table.h"
#include "fuchsiaspring/placement/types.h"
#include "placement/first_token_model.h"
#include "placement/prefix_demand.h"
#include "placement/prompt_pool.h"

namespace fuchsiaspring::placement::internal {

// Prefixes shorter than this are computed rather than fetched, and have no home replica.
inline constexpr std::uint32_t min_fetched_tokens = 512;

// Time constant of the decaying count of long prompts.
inline constexpr double long_prefill_decay_s = 2;

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
  bool is_configured = true;  // named by the last snapshot; measurements outlast a removal
  measured_first_token long_prompts;
  measured_first_token short_prompts;
  first_token_model first_token;
  capability::service_model capability;
  bool replicas_differ = false;  // in speed, as far as known
  base::time_point compared_at{};
  std::map<base::duration, gap_statistics> gaps;  // by gap target
  std::vector<std::string> replica_ids;           // listed replicas only
  std::size_t domain_count = 1;                   // failure domains with listed replicas
  prompt_pool pool;
  prefix_demand prefixes;
  double long_prompt_tokens = 0;    // all tokens of such a prompt, moving average
  double long_prefill_tokens = 0;   // of a long prompt of this node, moving average
  double short_share = 0.5;         // of this node's running requests, moving average
  std::uint32_t long_running = 0;   // long prompts of this node
  std::uint32_t short_running = 0;  // other requests of this node
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
  std::uint32_t remote_prefill_tokens = 0;
  // Assumed load of other nodes where it is not received; see placer::set_view().
  std::uint32_t assumed_running = 0;
  std::uint32_t assumed_prefill_tokens = 0;
  double gap_sensitivity = 0;         // sum over `running`
  double remote_gap_sensitivity = 0;  // sum over `remote_running`

  // Exponentially decaying count of the long prompts that all nodes sent here.
  double long_prefills = 0;
  base::time_point long_prefills_at{};

  // Position in the hash order of the service's replicas in its failure domain, 0 to 1.
  double pool_position = 0;
  // Whether this node prefers the replica for short prompts.
  bool is_preferred = false;

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
  capability::replica_key speed_key;  // of the entry's start
  capability::own_average own_speed;  // measured over expected time to the first token
  std::uint32_t consecutive_failures = 0;

  std::unordered_map<std::uint64_t, base::time_point> cached;  // part id, last use

  std::uint32_t all_running() const { return running + std::max(remote_running, assumed_running); }
  double all_gap_sensitivity() const { return gap_sensitivity + remote_gap_sensitivity; }
  std::uint32_t all_prefill_tokens() const {
    return prefill_tokens + std::max(remote_prefill_tokens, assumed_prefill_tokens);
  }
};

// A replica that a request may be placed on.
struct candidate {
  replica_state* state = nullptr;
  choice evaluated;
  double cost = 0;
};

// Decaying number of long prompts sent to the replica, as of `now`.
double recent_long_prefills(const replica_state& state, base::time_point now);

// Share of the replica's slots that all nodes use, as far as known; 0 without slots.
double load_share(const replica_state& state);

void count_long_prefill(replica_state& state, base::time_point now);

}  // namespace fuchsiaspring::placement::internal
