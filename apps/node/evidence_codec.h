// Evidence about prompt parts in the datagrams between nodes.
#pragma once

#include <vector>

#include "fuchsiaspring/quarantine/part_quarantine.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {

// Appends `evidence` to `message`. Ages are written in whole milliseconds.
void encode_evidence(const std::vector<quarantine::part_evidence>& evidence,
                     schema::PeerHeartbeat& message);

std::vector<quarantine::part_evidence> decode_evidence(const schema::PeerHeartbeat& message);

}  // namespace fuchsiaspring::node_app
