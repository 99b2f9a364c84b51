// What a node takes from requests, answers and the configuration service, free of the names that
// stand on the wire. The adapter in platform/ fills these types.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/placement/types.h"
#include "fuchsiaspring/routes/route_table.h"

namespace fuchsiaspring::node {

// What a caller says of its request.
struct request_facts {
  std::string request_id;  // one for each attempt of the caller; empty: none given
  std::string host;
  std::optional<std::string> api_key;
  std::optional<base::duration> time_left;  // how long the caller will wait
  std::vector<placement::prefix_part> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::optional<std::string> last_event_id;  // the stream goes on behind this event

  friend bool operator==(const request_facts&, const request_facts&) = default;
};

// The urgency of a request among all that the configuration allows.
struct urgency_rank {
  std::uint32_t rank = 0;    // 0 is the most urgent
  std::uint32_t levels = 1;  // ranks in all

  friend bool operator==(const urgency_rank&, const urgency_rank&) = default;
};

// What the node adds to a request for an upstream.
struct dispatch_facts {
  std::string replica_id;  // any other replica rejects the request
  std::string team;        // empty: none
  std::optional<base::duration> time_left;
  std::optional<urgency_rank> engine_urgency;
  std::optional<std::string> fetch_from;     // address of a replica with the cached prefix
  std::optional<std::string> last_event_id;  // in place of the caller's

  friend bool operator==(const dispatch_facts&, const dispatch_facts&) = default;
};

// What the head of an upstream's answer says.
struct answer_facts {
  bool belongs = true;            // to the request that was sent
  bool is_rejected = false;       // the upstream did not run the request and never will
  bool is_signed = false;         // the upstream vouches for the answer
  bool is_other_replica = false;  // another replica has the address now

  friend bool operator==(const answer_facts&, const answer_facts&) = default;
};

// The content of the configuration service.
struct published_state {
  std::uint64_t revision = 0;  // grows with every change of the service
  std::optional<routes::configuration> config;
  std::vector<placement::replica> replicas;
  std::set<std::string> evacuated_domains;
  std::uint32_t unreadable_entries = 0;  // entries from other writers; they name no replica

  friend bool operator==(const published_state&, const published_state&) = default;
};

}  // namespace fuchsiaspring::node
