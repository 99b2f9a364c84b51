// What a node holds beyond the content of a configuration service that has come back from an older
// copy.
//
// A copy may lack the newest configuration, departures of replicas and evacuations. A node that
// has read them keeps them (see return_guard.h and state_merger.h). A node that starts, or that
// was cut off while they were written, learns them from such a node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/store_version.h"
#include "fuchsiaspring/routes/route_table.h"

namespace fuchsiaspring::node {

struct held_config {
  routes::configuration config;
  std::string text;       // as it was published
  store_version version;  // of the last content that contained it
  base::duration age{};   // since that content was the newest

  friend bool operator==(const held_config&, const held_config&) = default;
};

// A replica that was seen draining or gone.
struct held_departure {
  std::string replica;
  std::uint64_t started_at_ms = 0;  // of the incarnation that departed
  bool has_drained = false;
  bool is_gone = false;
  base::duration age{};  // since the departure was last seen
  // The content lists the replica as if it had not departed.
  bool is_contradicted = false;

  friend bool operator==(const held_departure&, const held_departure&) = default;
};

struct held_evacuation {
  std::string failure_domain;
  // How long it is kept without being listed; nothing if the content lists it.
  std::optional<base::duration> remaining;

  friend bool operator==(const held_evacuation&, const held_evacuation&) = default;
};

struct held_state {
  store_version version;              // of the content that the node has read
  std::optional<held_config> config;  // nothing if the receiver has it already
  std::vector<held_departure> departures;
  std::vector<held_evacuation> evacuations;

  friend bool operator==(const held_state&, const held_state&) = default;
};

}  // namespace fuchsiaspring::node
