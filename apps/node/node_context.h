// State shared by the components of a node: event loop, current configuration, log and metrics.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fuchsiaspring/fleet/config_lease.h"
#include "fuchsiaspring/fleet/content_history.h"
#include "fuchsiaspring/node/config_claims.h"
#include "fuchsiaspring/node/scheduler.h"
#include "fuchsiaspring/node/stop_rule.h"
#include "fuchsiaspring/node/store_version.h"
#include "fuchsiaspring/quarantine/part_quarantine.h"
#include "fuchsiaspring/relay/channel_pool.h"
#include "fuchsiaspring/relay/memory_budget.h"
#include "fuchsiaspring/retry/fleet_retry_budget.h"
#include "fuchsiaspring/routes/route_table.h"
#include "fuchsiaspring/telemetry/event_log.h"
#include "fuchsiaspring/telemetry/metrics.h"
#include "settings.pb.h"

namespace fuchsiaspring::node_app {

// Content of the configuration service as of the last read, served to peers.
struct shared_snapshot {
  fleet::content_history history;
  node::store_version version;
  // Of the last complete read of the service, by this node or the one that the content comes from.
  std::optional<base::duration> read_time;
};

// Connections that the listeners of a node keep open.
struct connection_limits {
  std::size_t callers = 0;
  std::size_t peers = 0;
  std::size_t operators = 0;  // of each of their two addresses

  // Derived from the memory and the descriptors of the VM where these are known.
  static connection_limits of(const schema::NodeSettings& settings);

  friend bool operator==(const connection_limits&, const connection_limits&) = default;
};

struct node_context {
  boost::asio::io_context& io;
  schema::NodeSettings settings;
  telemetry::event_log& log;
  telemetry::metrics& metrics;
  node::scheduler& scheduler;
  relay::channel_pool& channels;
  quarantine::part_quarantine& prompt_quarantine;
  // For all that is held for callers, peers and operators.
  std::shared_ptr<relay::memory_budget> memory = relay::memory_budget::create();
  // Whether `table` is proved recent enough to accept API keys.
  fleet::config_lease lease;
  // When `snapshot` was the newest content of the service, which may have come back from an older
  // copy. Told to the peers; no reason to accept API keys.
  fleet::config_lease content_proof{base::duration{}};
  // Current configuration; null until the first one has been read. A request keeps the table that
  // it was routed with.
  std::shared_ptr<const routes::route_table> table;
  std::string config_text;       // of `table`, as it was published
  node::config_claim own_claim;  // stated to the peers
  shared_snapshot snapshot;
  std::map<std::string, retry::fleet_retry_budget, std::less<>> retry_budgets;  // by service
  std::size_t known_nodes = 1;
  bool is_draining = false;
  std::optional<node::stop_schedule> stop;  // once the node has begun to stop
  node::response_times response_times;

  connection_limits connections() const { return connection_limits::of(settings); }

  // Returns the retry budget of a service, created on first use.
  retry::fleet_retry_budget& retry_budget(const std::string& service);
};

retry::fleet_budget_limits retry_budget_limits(const schema::PromiseSettings& promises);

// Parses "ip:port". Returns an unspecified endpoint if the IP is malformed.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view address);

}  // namespace fuchsiaspring::node_app
