#include "fuchsiaspring/node/notice_rule.h"

namespace fuchsiaspring::node {
namespace {

constexpr unsigned status_unavailable = 503;

}  // namespace

bool is_from_chosen_replica(const response_metadata& metadata) {
  return metadata.has_request_id && metadata.matches_request && !metadata.is_from_other_replica;
}

placement::replica_notice read_notice(unsigned status, const response_metadata& metadata) {
  if (!is_from_chosen_replica(metadata)) {
    return {};
  }
  placement::replica_notice notice{.is_leaving = metadata.is_leaving};
  if (status == status_unavailable && metadata.retry_after && metadata.retry_after->count() > 0) {
    notice.hold = metadata.retry_after;
  }
  return notice;
}

bool has_unreadable_hold(unsigned status, const response_metadata& metadata) {
  return status == status_unavailable && is_from_chosen_replica(metadata) &&
         !metadata.unreadable_retry_after.empty();
}

}  // namespace fuchsiaspring::node
