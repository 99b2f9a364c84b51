// Reads the configuration at a fixed interval, from the service itself or from a peer.
//
//   config_reader reader(context, peers, [](const node::published_state& state,
//                                           const node::read_evidence& evidence) { ... });
//   reader.start();
//
// A read of the service lists everything and proves that its content was the newest at the time of
// the request; a peer's response proves it for the time of the peer's own proof. A read that times
// out is abandoned together with its connection, because a connection that lost a response delivers
// nothing further. The other kind of source is then tried immediately.
//
// Where the list of replicas is longer than a page of the service, fleet/read_plan.h decides what
// is read next, and a read of the service is divided among several nodes.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "apps/node/node_context.h"
#include "apps/node/range_reader.h"
#include "apps/node/snapshot_exchange.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/fleet/config_source.h"
#include "fuchsiaspring/fleet/content_history.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/fleet/read_plan.h"
#include "fuchsiaspring/node/state_merger.h"
#include "fuchsiaspring/node/types.h"
#include "fuchsiaspring/relay/upstream_channel.h"
#include "platform/store.h"

namespace fuchsiaspring::node_app {

// Longest interval before the next read after a failure.
inline constexpr base::duration retry_interval = std::chrono::milliseconds(250);

// Interval between reads. Two reads and their responses fit into the shortest limit that depends on
// them.
base::duration read_interval(const schema::NodeSettings& settings);

class config_reader {
 public:
  // Called after every successful read, also when nothing has changed.
  using state_handler =
      std::function<void(const node::published_state&, const node::read_evidence&)>;

  config_reader(node_context& context, const fleet::peer_directory& peers, state_handler on_state);
  ~config_reader();
  config_reader(const config_reader&) = delete;
  config_reader& operator=(const config_reader&) = delete;
  config_reader(config_reader&&) = delete;
  config_reader& operator=(config_reader&&) = delete;

  void start();

 private:
  void schedule_next();
  void schedule_after(base::duration pause);
  void begin_read();
  fleet::read_step plan_read();
  void take_step(const fleet::read_step& step);
  base::duration max_proof_age() const;
  void on_planned_failure(const std::string& detail);
  void read_from(const fleet::config_source& source);
  void request_page();
  void request_ranges(const std::vector<fleet::peer_info>& live);
  void request_snapshot(const std::string& address);
  // Collects a part of a response.
  void on_body(std::string_view bytes);
  void on_page();
  void on_snapshot_response(const relay::response_head& head);
  // Notes the era that the response states. Returns whether it is that of the pages before.
  bool is_same_era();
  void restart_listing();
  void adopt(fleet::content_map content, const node::store_version& version,
             base::time_point proved_at);
  // Holds the version of an answer. Returns false, and ends the read, if the answer is older.
  bool hold_version(const node::store_version& version, base::time_point proved_at);
  void log_lease_change();
  void on_success(base::time_point proved_at);
  void on_failure(const std::string& detail);
  // An older answer is no failure of its source, and no reason to read from another one.
  void on_older_answer(const node::store_version& version);
  void wait_for_progress();
  void on_timeout();
  std::shared_ptr<relay::upstream_channel> send(std::shared_ptr<relay::upstream_channel> channel,
                                                const relay::request& request,
                                                std::function<void()> on_response);

  node_context& m_context;
  const fleet::peer_directory& m_peers;
  state_handler m_on_state;
  base::random_source m_random;
  boost::asio::steady_timer m_interval_timer;
  boost::asio::steady_timer m_timeout_timer;
  std::shared_ptr<relay::upstream_channel> m_service_channel;
  std::shared_ptr<relay::upstream_channel> m_peer_channel;
  std::string m_peer_address;  // of m_peer_channel
  fleet::config_source m_source;
  bool m_is_second_source = false;  // of the current read
  // The current read ends without progress for the timeout, and at the deadline.
  base::duration m_progress_timeout{};
  base::time_point m_progress_at{};
  base::time_point m_deadline{};
  base::time_point m_started_at{};
  bool m_is_list_large = false;  // more than a page: m_step applies
  fleet::read_step m_step;
  std::map<std::string, base::time_point> m_failed_peers;  // addresses that gave no answer
  range_reader m_range_reader;
  fleet::content_map m_content;  // of the pages read so far
  std::string m_last_key;        // of these
  std::size_t m_content_bytes = 0;
  std::optional<std::uint64_t> m_era;  // of the pages read so far
  std::uint32_t m_restarts = 0;        // of the current read
  platform::state_decoder m_decoder;
  std::optional<node::published_state> m_state;  // as last read
  std::optional<node::proved_version> m_held;    // of m_state
  relay::response_head m_response_head;
  std::string m_response_body;
  base::time_point m_requested_at{};
  fleet::source_status m_source_status;
  std::uint32_t m_failed_rounds = 0;  // in a row
  std::optional<base::time_point> m_service_failed_at;
  bool m_is_overdue = false;      // the response has arrived behind the timeout
  bool m_is_lease_valid = false;  // as last logged
};

}  // namespace fuchsiaspring::node_app
