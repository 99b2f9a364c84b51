// Pages for the balancer and for operators: readiness, metrics and status.
#pragma once

#include <functional>
#include <string>

#include "apps/node/context.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/relay/caller_connection.h"

namespace fuchsiaspring::node_app {

class operator_pages {
 public:
  // Throws boost::system::system_error when an address cannot be bound.
  operator_pages(context& shared, const fleet::peer_directory& peers);

  void start();

 private:
  void serve(relay::caller_connection& caller, const relay::request& message);
  relay::response readiness() const;
  relay::response status() const;
  void update_gauges();

  context& m_context;
  const fleet::peer_directory& m_peers;
  relay::caller_listener m_readiness;
  relay::caller_listener m_metrics;
};

// Why the node should get no new callers; empty when it should.
std::string not_ready_reason(const context& shared, base::time_point now);

}  // namespace fuchsiaspring::node_app
