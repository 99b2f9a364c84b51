// Where a node takes the configuration from: the service itself or a peer that reads it.
//
//   fleet::config_source source = fleet::choose_source(self, peers.live(now), status, random);
//
// The service is read by one node of each failure domain, and by at least two nodes. All others
// request it from one of these readers, whose reply states the age of its own proof. A node reads
// the service itself when the proofs of the readers are too old, and requests the configuration
// from any live peer when the service does not respond.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/fleet/peer_directory.h"

namespace fuchsiaspring::fleet {

struct service_source {
  friend bool operator==(const service_source&, const service_source&) = default;
};

struct peer_source {
  std::string address;

  friend bool operator==(const peer_source&, const peer_source&) = default;
};

using config_source = std::variant<service_source, peer_source>;

struct source_status {
  std::optional<base::duration> proof_age;  // nothing before the first proof
  bool did_service_fail = false;            // at the last read of the service
  bool did_peer_fail = false;               // at the last request to a peer

  friend bool operator==(const source_status&, const source_status&) = default;
};

// Names of the nodes that read the service, among `nodes`.
std::vector<std::string> config_readers(const std::vector<peer_info>& nodes);

// `self` is this node, `live` its live peers.
config_source choose_source(const peer_info& self, const std::vector<peer_info>& live,
                            const source_status& status, base::random_source& random);

}  // namespace fuchsiaspring::fleet
