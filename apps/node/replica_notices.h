// Records what the answers of replicas state about them, for the scheduler and for operators.
#pragma once

#include <string_view>

#include "apps/node/node_context.h"
#include "fuchsiaspring/node/types.h"
#include "fuchsiaspring/placement/replica_notice.h"
#include "fuchsiaspring/placement/types.h"

namespace fuchsiaspring::node_app {

// Records the notice of an answer to the request `request_id` from the chosen replica, and returns
// it. Writes a log line and counts when the replica begins to leave or a hold begins.
placement::replica_notice record_notice(node_context& context, const placement::choice& chosen,
                                        unsigned status, const node::response_metadata& metadata,
                                        std::string_view request_id);

}  // namespace fuchsiaspring::node_app
