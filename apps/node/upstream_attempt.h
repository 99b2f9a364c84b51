// One attempt of a request at a replica.
#pragma once

#include <memory>
#include <string>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/types.h"
#include "fuchsiaspring/placement/replica_notice.h"
#include "fuchsiaspring/placement/types.h"
#include "fuchsiaspring/relay/memory_budget.h"
#include "fuchsiaspring/relay/message.h"
#include "fuchsiaspring/relay/upstream_channel.h"

namespace fuchsiaspring::node_app {

// Statuses from this one on count as failures of the upstream.
inline constexpr unsigned first_server_error = 500;

struct upstream_attempt {
  placement::choice chosen;
  std::shared_ptr<relay::upstream_channel> channel;
  base::time_point granted_at{};
  base::time_point
      last_progress_at{};  // of the last event or, of a whole response, byte; or the grant
  bool is_sent = false;
  bool has_first_event = false;
  bool is_ended = false;            // its outcome has been reported to the placer
  bool are_parts_reported = false;  // as those of a response that has gone on
  base::time_point first_event_at{};
  base::time_point last_event_at{};
  base::duration longest_gap{};  // between two events
  node::response_metadata response_metadata;
  placement::replica_notice notice;  // that the response states
  relay::response_head head;
  std::string body;  // of a response that is forwarded once complete
  relay::memory_charge body_charge;
  std::string leading_comments;  // of a stream, before its first event
  bool is_relaying = false;      // the response is forwarded as it arrives
  bool is_event_stream = false;  // it is forwarded event by event
};

}  // namespace fuchsiaspring::node_app
