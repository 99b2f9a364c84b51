// Contents of requests, responses and the configuration service, independent of header and key
// names. The adapter in platform/ converts between these types and the wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/store_version.h"
#include "fuchsiaspring/placement/types.h"
#include "fuchsiaspring/routes/route_table.h"

namespace fuchsiaspring::node {

// Header values of a caller's request.
struct request_metadata {
  std::string request_id;  // differs for each attempt of the caller; empty: not given
  std::string host;
  std::optional<std::string> api_key;
  std::optional<base::duration> time_left;  // until the caller's timeout
  std::vector<placement::prefix_part> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::optional<std::string> last_event_id;  // the stream resumes after this event

  friend bool operator==(const request_metadata&, const request_metadata&) = default;
};

// Position of a request's urgency among all levels that the configuration allows.
struct urgency_rank {
  std::uint32_t rank = 0;    // 0 is the most urgent
  std::uint32_t levels = 1;  // number of ranks

  friend bool operator==(const urgency_rank&, const urgency_rank&) = default;
};

// Header values that the node sets on a request to an upstream.
struct dispatch_metadata {
  std::string replica_id;  // replicas with another id reject the request
  std::string team;        // empty: none
  std::optional<base::duration> time_left;
  std::optional<urgency_rank> engine_urgency;
  std::optional<std::string> fetch_from;     // address of a replica with the cached prefix
  std::optional<std::string> last_event_id;  // replaces the caller's value

  friend bool operator==(const dispatch_metadata&, const dispatch_metadata&) = default;
};

// Contents of the head of an upstream's response. What it states about the request and the replica
// is false unless the response is for the request that was sent.
struct response_metadata {
  bool has_id = false;                 // the response names a request
  bool matches_request = true;         // the response is for the request that was sent
  bool has_request_id = false;         // the response names the request that was sent
  bool is_rejected = false;            // the upstream did not run the request and never will
  bool is_signed = false;              // the response carries the upstream's signature
  bool is_encoded = false;             // not the upstream's own body: callers ask for no encoding
  bool is_event_stream = false;        // by its type, or without a type
  bool is_from_other_replica = false;  // another replica has the address now
  bool is_leaving = false;             // the upstream leaves and wants no new requests
  // Time after which the upstream, or its application, wants the request again; of several stated
  // times the longest.
  std::optional<base::duration> retry_after;
  std::string unreadable_retry_after;  // the part of a stated time that is no number of seconds

  friend bool operator==(const response_metadata&, const response_metadata&) = default;
};

// The content of the configuration service.
struct published_state {
  store_version version;
  std::optional<routes::configuration> config;
  std::vector<placement::replica> replicas;
  std::set<std::string> evacuated_domains;
  std::uint32_t unreadable_entries = 0;  // entries that could not be decoded; they are ignored

  friend bool operator==(const published_state&, const published_state&) = default;
};

}  // namespace fuchsiaspring::node
