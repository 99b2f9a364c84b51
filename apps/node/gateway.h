// HTTP front end of the node: accepts caller connections and owns their requests.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "apps/node/crash_detector.h"
#include "apps/node/node_context.h"
#include "apps/node/proxied_request.h"
#include "apps/node/replica_prober.h"
#include "fuchsiaspring/placement/types.h"
#include "fuchsiaspring/relay/caller_connection.h"

namespace fuchsiaspring::node_app {

class gateway {
 public:
  // Throws boost::system::system_error when the callers' address cannot be bound.
  explicit gateway(node_context& context);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;
  gateway(gateway&&) = delete;
  gateway& operator=(gateway&&) = delete;

  void start();

  // Applies a new configuration to subsequent requests.
  void adopt(std::shared_ptr<const routes::route_table> table);

  void begin_drain();
  void stop_accepting();

  // Ends all requests, and those that still arrive, with an answer: the process is about to exit.
  // The event loop has to run until the answers are written.
  void end_requests();

  std::size_t requests_in_flight() const { return m_requests.size(); }
  std::size_t open_connections() const { return m_listener.open_connections(); }
  boost::asio::ip::tcp::endpoint local_endpoint() const { return m_listener.local_endpoint(); }

  // Calls `function` with the request of that number if it has not ended. An exception of
  // `function` is logged and counted, and ends the request with an answer.
  void with_request(std::uint64_t number, const std::function<void(proxied_request&)>& function);

  // Removes a request that has ended. It is destroyed after its current callback has returned.
  void release(std::uint64_t number);

  // Sets the function that reports load changes to the other nodes: work was dispatched, its prompt
  // was read, or it has ended.
  void set_load_handler(
      std::function<void(const std::string& replica_id, const placement::request_profile& profile,
                         bool is_dispatch)>
          on_load);
  void notify_load(const std::string& replica_id, const placement::request_profile& profile,
                   bool is_dispatch);

  // Sets the function that is called when this node's evidence about prompt parts has changed.
  void set_evidence_handler(std::function<void()> on_evidence);

  // The connection of an attempt ended in the middle of the exchange; see crash_detector.
  void on_attempt_broken(const placement::choice& chosen,
                         const std::vector<quarantine::suspect>& suspects);

  // A response to a request with these prompt parts that began at `begun_at` was completed.
  void on_parts_answered(const std::vector<std::uint64_t>& parts, base::time_point begun_at);

  // Grants queued requests once the current callback has returned.
  void schedule_pump();

  // Retries queued requests at a fixed interval as long as there are any.
  void arm_pump_timer();

  replica_prober& prober() { return m_prober; }

  node_context& context() { return m_context; }

 private:
  void on_request(relay::caller_connection& caller, relay::request message);
  void on_connection_closed(const relay::closed_connection& closed);
  void on_memory_edge(bool is_short);
  void check_connection_edge(bool is_exhausted);
  void end_failed_request(std::uint64_t number, proxied_request& request);
  void on_replica_ended(const quarantine::crash_report& report);
  void notify_evidence();

  node_context& m_context;
  relay::caller_listener m_listener;
  std::unordered_map<std::uint64_t, std::unique_ptr<proxied_request>> m_requests;
  std::uint64_t m_next_number = 1;
  bool m_is_stopping = false;
  bool m_are_connections_short = false;
  boost::asio::steady_timer m_pump_timer;
  bool m_is_pump_posted = false;
  bool m_is_pump_timer_armed = false;
  std::function<void(const std::string&, const placement::request_profile&, bool)> m_on_load;
  crash_detector m_crash_detector;
  replica_prober m_prober;
  std::function<void()> m_on_evidence;
};

}  // namespace fuchsiaspring::node_app
