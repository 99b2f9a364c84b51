// A router node: gateway, scheduler and agent as tasks of one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "apps/node/config_reader.h"
#include "apps/node/gateway.h"
#include "apps/node/node_context.h"
#include "apps/node/operator_pages.h"
#include "apps/node/part_log.h"
#include "apps/node/peer_exchange.h"
#include "apps/node/snapshot_exchange.h"
#include "apps/node/state_adopter.h"

namespace fuchsiaspring::node_app {

class router_node {
 public:
  // Throws boost::system::system_error when an address cannot be bound.
  router_node(const schema::NodeSettings& settings, std::string settings_path);

  // Runs until SIGTERM has been handled.
  void run();

 private:
  void on_nodes_changed();
  void wait_for_signal();
  void reload();
  void watch_settings();
  void begin_drain();
  // Stops the event loop once no connection is open; calls `on_deadline` otherwise.
  void wait_until_idle(base::time_point deadline, std::function<void()> on_deadline);
  void end_requests(base::duration write_time);
  void stop();

  boost::asio::io_context m_io;
  std::string m_settings_path;
  std::filesystem::file_time_type m_settings_time;
  telemetry::event_log m_log;
  telemetry::metrics m_metrics;
  node::scheduler m_scheduler;
  relay::channel_pool m_channels;
  quarantine::part_quarantine m_prompt_quarantine;
  part_log m_part_log;
  node_context m_context;
  std::unique_ptr<gateway> m_gateway;
  std::unique_ptr<peer_exchange> m_peers;
  std::unique_ptr<state_adopter> m_state;
  std::unique_ptr<snapshot_server> m_snapshots;
  std::unique_ptr<config_reader> m_config_reader;
  std::unique_ptr<operator_pages> m_operator_pages;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_drain_timer;
  boost::asio::steady_timer m_settings_timer;
};

}  // namespace fuchsiaspring::node_app
