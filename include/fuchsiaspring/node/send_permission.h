// Decides whether a request may still be sent when its first byte is about to be written.
//
//   switch (node::check_send(conditions)) { ... }
//
// A request is admitted some time before its connection is established, and the process may have
// been suspended in between. Only `replica_left` permits an attempt at another replica; the other
// reasons apply to all replicas and end the request.
#pragma once

#include <string_view>

namespace fuchsiaspring::node {

// What the newest configuration says of the key with which a request was admitted.
enum class key_state {
  valid,       // or none is needed
  revoked,     // unknown now, or the request has none and needs one now
  reassigned,  // it belongs to another team now
};

struct send_conditions {
  bool is_before_deadline = true;     // the request's deadline has not passed
  bool needs_key = false;             // the request may run only with a key
  bool is_config_lease_valid = true;  // the lease on the configuration is valid
  key_state key = key_state::valid;
  bool is_prompt_allowed = true;    // no part of the prompt is blocked for ending replicas
  bool can_end_before_stop = true;  // the node does not stop while the request is at work
  bool is_replica_eligible = true;  // not draining, removed or in an evacuated domain

  friend bool operator==(const send_conditions&, const send_conditions&) = default;
};

enum class send_permission {
  granted,
  expired,
  config_outdated,
  key_revoked,
  key_reassigned,
  prompt_blocked,
  stopping,
  replica_left,
};

// Stable lower-case name, for log lines and refusals.
std::string_view to_string(send_permission permission);

send_permission check_send(const send_conditions& conditions);

}  // namespace fuchsiaspring::node
