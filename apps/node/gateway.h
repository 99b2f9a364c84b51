// The node's HTTP side: accepts callers and owns their requests.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "apps/node/context.h"
#include "apps/node/proxied_request.h"
#include "fuchsiaspring/placement/types.h"
#include "fuchsiaspring/relay/caller_connection.h"

namespace fuchsiaspring::node_app {

class gateway {
 public:
  // Throws boost::system::system_error when the callers' address cannot be bound.
  explicit gateway(context& shared);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;
  gateway(gateway&&) = delete;
  gateway& operator=(gateway&&) = delete;

  void start();

  // Puts a new configuration in force for requests that arrive from now on.
  void adopt(std::shared_ptr<const routes::route_table> table);

  void begin_drain();
  void stop_accepting();

  std::size_t requests_in_flight() const { return m_requests.size(); }

  // Calls `use` with the request of that number if it is still there.
  void with_request(std::uint64_t number, const std::function<void(proxied_request&)>& use);

  // The request has ended; it is destroyed once its present callback has returned.
  void release(std::uint64_t number);

  // Work was dispatched to a replica or its prompt was read; the other nodes are told.
  void set_load_handler(std::function<void(const std::string& replica_id,
                                           const placement::work& work, bool is_dispatch)>
                            on_load);
  void notify_load(const std::string& replica_id, const placement::work& work, bool is_dispatch);

  // Grants waiting requests after the present callback.
  void schedule_pump();

  // Looks at waiting requests from time to time as long as there are any.
  void arm_pump_timer();

  context& shared() { return m_context; }

 private:
  void on_request(relay::caller_connection& caller, relay::request message);

  context& m_context;
  relay::caller_listener m_listener;
  std::unordered_map<std::uint64_t, std::unique_ptr<proxied_request>> m_requests;
  std::uint64_t m_next_number = 1;
  boost::asio::steady_timer m_pump_timer;
  bool m_is_pump_posted = false;
  bool m_is_pump_timer_armed = false;
  std::function<void(const std::string&, const placement::work&, bool)> m_on_load;
};

}  // namespace fuchsiaspring::node_app
