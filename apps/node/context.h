// What the parts of a node share: one event loop, the state in force and the instruments.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fuchsiaspring/fleet/config_lease.h"
#include "fuchsiaspring/fleet/content_history.h"
#include "fuchsiaspring/node/scheduler.h"
#include "fuchsiaspring/relay/channel_pool.h"
#include "fuchsiaspring/retry/fleet_retry_budget.h"
#include "fuchsiaspring/routes/route_table.h"
#include "fuchsiaspring/telemetry/event_log.h"
#include "fuchsiaspring/telemetry/metrics.h"
#include "settings.pb.h"

namespace fuchsiaspring::node_app {

// The content of the configuration service as it was last read, ready to be passed on to peers.
struct shared_snapshot {
  fleet::content_history history;
  std::uint64_t revision = 0;
};

struct context {
  boost::asio::io_context& io;
  schema::NodeSettings settings;
  telemetry::event_log& log;
  telemetry::metrics& metrics;
  node::scheduler& scheduler;
  relay::channel_pool& channels;
  fleet::config_lease lease;
  // The configuration in force; null until the first one is known. Requests keep the one that they
  // were routed by.
  std::shared_ptr<const routes::route_table> table;
  shared_snapshot snapshot;
  std::map<std::string, retry::fleet_retry_budget, std::less<>> retry_budgets;  // by service
  std::size_t known_nodes = 1;
  bool is_draining = false;

  // The retry budget of a service; made on its first use.
  retry::fleet_retry_budget& budget_of(const std::string& service);
};

// Limits of the fleet's retry budget from the settings.
retry::fleet_budget_limits budget_limits(const schema::PromiseSettings& promises);

// "ip:port" as an endpoint. The text must be valid, which the settings and catalogs check.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view address);

}  // namespace fuchsiaspring::node_app
