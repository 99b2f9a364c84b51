// Tells replicas that are silent from those that cannot be reached.
//
//   prober.probe(chosen, [](const error_code& result) { /* the replica does not respond */ });
//
// Many streams of a replica fall silent together. They share one connection attempt, and a replica
// that could be reached is not probed again for a while.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "apps/node/node_context.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/placement/types.h"

namespace fuchsiaspring::node_app {

class replica_prober {
 public:
  // `result` is the error of the connection attempt.
  using failure_handler = std::function<void(const boost::system::error_code& result)>;

  // The context must outlive the event loop's run.
  explicit replica_prober(node_context& context) : m_context(context) {}

  // Connects to the replica and calls `on_failure` if its machine does not respond. Otherwise calls
  // nothing.
  void probe(const placement::choice& chosen, failure_handler on_failure);

 private:
  struct replica_state {
    bool is_pending = false;
    base::time_point reached_at{};  // by the last probe, if it did not fail
    std::vector<failure_handler> waiting;
  };

  void on_result(const std::string& replica_id, const boost::system::error_code& result);

  node_context& m_context;
  std::map<std::string, replica_state> m_replicas;  // by id; pending or reached recently
};

}  // namespace fuchsiaspring::node_app
