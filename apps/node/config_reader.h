// Reads the configuration service at a fixed interval.
//
//   config_reader reader(context, [](node::published_state state, base::time_point asked_at)
//   {...}); reader.start();
//
// Each read lists everything and is a proof that its content was the newest when it was asked for.
// A read that has no answer in time is given up together with its connection, since a connection
// that lost an answer returns nothing further.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "apps/node/context.h"
#include "fuchsiaspring/node/facts.h"
#include "fuchsiaspring/relay/upstream_channel.h"
#include "platform/store.h"

namespace fuchsiaspring::node_app {

class config_reader {
 public:
  using state_handler = std::function<void(node::published_state, base::time_point asked_at)>;

  config_reader(context& shared, state_handler on_state);
  ~config_reader();
  config_reader(const config_reader&) = delete;
  config_reader& operator=(const config_reader&) = delete;
  config_reader(config_reader&&) = delete;
  config_reader& operator=(config_reader&&) = delete;

  void start();

 private:
  void schedule_next();
  void begin_read();
  void read_page();
  void on_page();
  void on_failure(const std::string& detail);

  context& m_context;
  state_handler m_on_state;
  boost::asio::steady_timer m_interval_timer;
  boost::asio::steady_timer m_timeout_timer;
  std::shared_ptr<relay::upstream_channel> m_channel;
  std::vector<platform::store_item> m_items;
  std::string m_body;
  unsigned m_status = 0;
  base::time_point m_asked_at{};
  std::uint32_t m_failures = 0;  // in a row
};

}  // namespace fuchsiaspring::node_app
