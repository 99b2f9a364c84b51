#include "fuchsiaspring/node/send_permission.h"

namespace fuchsiaspring::node {

std::string_view to_string(send_permission permission) {
  switch (permission) {
    case send_permission::granted:
      return "granted";
    case send_permission::expired:
      return "timeout";
    case send_permission::config_outdated:
      return "configuration_outdated";
    case send_permission::key_revoked:
      return "unknown_api_key";
    case send_permission::key_reassigned:
      return "api_key_reassigned";
    case send_permission::prompt_blocked:
      return "prompt_part_blocked";
    case send_permission::stopping:
      return "stopping";
    case send_permission::replica_left:
      return "replica_left";
  }
  return "unknown";
}

send_permission check_send(const send_conditions& conditions) {
  if (!conditions.is_before_deadline) {
    return send_permission::expired;
  }
  if (conditions.needs_key && !conditions.is_config_lease_valid) {
    return send_permission::config_outdated;
  }
  if (conditions.needs_key && conditions.key != key_state::valid) {
    return conditions.key == key_state::revoked ? send_permission::key_revoked
                                                : send_permission::key_reassigned;
  }
  if (!conditions.is_prompt_allowed) {
    return send_permission::prompt_blocked;
  }
  if (!conditions.can_end_before_stop) {
    return send_permission::stopping;
  }
  return conditions.is_replica_eligible ? send_permission::granted : send_permission::replica_left;
}

}  // namespace fuchsiaspring::node
