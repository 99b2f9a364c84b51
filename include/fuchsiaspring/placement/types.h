// Plain types of the placement library: what is published about replicas, what a request needs and
// what was decided.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fuchsiaspring/base/region_limit.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::placement {

// A replica of a service as it is published.
struct replica {
  std::string id;  // unique over all services
  std::string service;
  std::string address;  // ip:port
  std::string failure_domain;
  std::uint32_t slots = 0;          // concurrent requests
  bool is_draining = false;         // leaves soon, takes no new requests
  base::duration cold_remaining{};  // when the entry was read
  std::uint64_t started_at_ms = 0;  // changes with each start, 0: not published

  friend bool operator==(const replica&, const replica&) = default;
};

// Properties of a service that placement depends on.
struct service_profile {
  std::string name;
  std::uint32_t connection_limit = 0;  // of one replica over all callers, 0: none
  base::duration cold_start{};
  double cold_requests_per_s = 0;  // 0: cold replicas have no limit
  bool is_engine = false;          // batches requests, caches prompt prefixes
  bool can_fetch = false;          // copies cached prefixes from another replica
  double kv_bytes_per_token = 0;
  double link_mbps = 0;
  std::uint32_t tokens_per_event = 1;  // output tokens in one event of a stream
  std::uint64_t kv_tokens = 0;         // capacity of the KV cache of one replica, 0: not known
  bool has_gap_targets = false;        // some of its streams have a longest pause between events

  friend bool operator==(const service_profile&, const service_profile&) = default;
};

// A segment of a prompt. Engines cache a segment only together with all segments before it.
struct prefix_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const prefix_part&, const prefix_part&) = default;
};

// Properties of a request that the choice of its replica depends on.
struct request_profile {
  std::string service;
  std::vector<prefix_part> prompt;  // in order; the last part is unique to the request
  std::uint32_t prompt_tokens = 0;  // the parts together
  std::uint32_t body_bytes = 0;
  bool is_long_prompt = false;        // not placed behind the prefill of another long prompt
  base::duration event_gap_target{};  // longest pause between events, 0: none
  base::duration waited{};            // since the request arrived
  std::vector<std::string> excluded;  // replicas that were tried before
  base::region_limit home_regions;    // of the replicas that may get the request

  friend bool operator==(const request_profile&, const request_profile&) = default;
};

struct choice {
  std::string replica_id;
  std::uint64_t started_at_ms = 0;  // of the replica, as published at the choice
  std::string address;
  std::optional<std::string> fetch_from;  // replica address that probably has the cached prefix
  std::uint32_t cached_tokens = 0;        // expected in the replica's cache
  std::uint32_t fetched_tokens = 0;       // expected to be fetched from there
  std::uint32_t prefill_tokens = 0;       // prompt tokens left to prefill
  base::duration expected_wait{};         // until the first token
  double gap_sensitivity = 0;             // weight of delays by concurrent prefills, 0 to 1
  bool is_long_prompt = false;            // that of the request
  // In `expected_wait`, the replica's speed as measured by many nodes; none: by this node only.
  std::optional<double> shared_speed;
  double load_factor = 1;  // in `expected_wait`, of its load
  double load_share = 0;   // of the replica's slots that were in use

  friend bool operator==(const choice&, const choice&) = default;
};

enum class no_choice_reason {
  unknown_service,  // the configuration has no such service
  no_replica,       // no replica is in service and permitted
  all_busy,         // replicas are in service, but all are at their bounds
};

// Stable lower-case name, the label of counters and log lines.
std::string_view to_string(no_choice_reason reason);

using decision = std::variant<choice, no_choice_reason>;

// How a dispatched request ended at its replica.
enum class outcome {
  answered,       // any complete response that is no server error
  server_error,   // an error response of the replica itself
  rejected,       // the replica reports that it did not run the request
  replaced,       // another replica has the address and did not run the request
  not_connected,  // no connection; no byte was sent
  broken,         // the connection failed, or the response was truncated or for another request
  silent,         // no response before the timeout
  cancelled,      // ended by the caller or by this node
  held,           // an error response with which the replica asks for a pause; it is sound
};

std::string_view to_string(outcome result);

// Load of one node at one replica.
struct remote_load {
  std::uint32_t replica_hash = 0;  // hash_replica_id() of the replica's id
  std::uint32_t running = 0;
  std::uint32_t prefill_tokens = 0;
  double gap_sensitivity = 0;  // sum over the running requests

  friend bool operator==(const remote_load&, const remote_load&) = default;
};

std::uint32_t hash_replica_id(std::string_view replica_id);

}  // namespace fuchsiaspring::placement
