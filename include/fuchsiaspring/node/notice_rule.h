// Decides what an answer states about the replica that it comes from.
//
//   const placement::replica_notice notice = node::read_notice(head.status, metadata);
#pragma once

#include "fuchsiaspring/node/types.h"
#include "fuchsiaspring/placement/replica_notice.h"

namespace fuchsiaspring::node {

// Whether the answer surely comes from the replica that the request was sent to. An answer without
// the request's id may be a late copy of another one, and with 421 another replica has the address.
bool is_from_chosen_replica(const response_metadata& metadata);

// The notice of an answer; empty if it does not surely come from the chosen replica. Only with 503
// does a replica state when it wants requests again: with other statuses, such as 429, its
// application states when the caller may return.
placement::replica_notice read_notice(unsigned status, const response_metadata& metadata);

// Whether the answer should state a hold, but gives a value that is no number of seconds.
bool has_unreadable_hold(unsigned status, const response_metadata& metadata);

}  // namespace fuchsiaspring::node
