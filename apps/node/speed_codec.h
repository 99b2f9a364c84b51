// Learned speeds of replicas in the datagrams between nodes.
#pragma once

#include <vector>

#include "fuchsiaspring/capability/speed_table.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {

void encode_speeds(const std::vector<capability::speed_row>& rows, schema::PeerHeartbeat& message);

std::vector<capability::speed_row> decode_speeds(const schema::PeerHeartbeat& message);

}  // namespace fuchsiaspring::node_app
