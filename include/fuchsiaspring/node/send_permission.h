// Whether a request may still be sent at the moment of its first byte.
//
//   switch (node::check_send(situation)) { ... }
//
// A request is admitted some time before its connection stands, and the process may have been
// suspended in between. Only a replica that has left is a reason to try another one; every other
// objection holds for all replicas and ends the request.
#pragma once

#include <string_view>

namespace fuchsiaspring::node {

struct send_situation {
  bool is_time_left = true;         // before the request's deadline
  bool needs_key = false;           // the route is not public
  bool is_config_proved = true;     // the lease on the configuration is valid
  bool is_key_known = true;         // the newest configuration has the key
  bool is_replica_eligible = true;  // not leaving, gone or evacuated

  friend bool operator==(const send_situation&, const send_situation&) = default;
};

enum class send_permission { granted, expired, config_outdated, key_revoked, replica_left };

// Stable lower-case name, for log lines and refusals.
std::string_view to_string(send_permission permission);

send_permission check_send(const send_situation& situation);

}  // namespace fuchsiaspring::node
