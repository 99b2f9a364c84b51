// Pages for the load balancer and for operators: readiness, metrics and status.
#pragma once

#include <functional>
#include <string>

#include "apps/node/node_context.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/relay/caller_connection.h"

namespace fuchsiaspring::node_app {

class operator_pages {
 public:
  // Throws boost::system::system_error when an address cannot be bound.
  // `open_connections` returns the number of open connections of callers.
  operator_pages(node_context& context, const fleet::peer_directory& peers,
                 std::function<std::size_t()> open_connections);

  void start();

 private:
  void serve(relay::caller_connection& caller, const relay::request& message);
  relay::response readiness_page() const;
  relay::response status_page() const;
  void update_gauges();
  void update_memory_gauges();

  node_context& m_context;
  const fleet::peer_directory& m_peers;
  std::function<std::size_t()> m_open_connections;
  relay::caller_listener m_readiness_listener;
  relay::caller_listener m_metrics_listener;
};

// Returns why the node should get no new callers; empty if it is ready.
std::string not_ready_reason(const node_context& context, base::time_point now);

}  // namespace fuchsiaspring::node_app
