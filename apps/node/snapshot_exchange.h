// Distributes the configuration between nodes: GET /snapshot on the peers' address.
// A snapshot is the content of the service as it was read; see held_state_exchange.h for the rest.
//
// The response states the age of the serving node's proof. The requester subtracts that age from
// the time of its own request, so that no clocks are compared. The request states the hash of the
// content that the requester has, and the response contains the changes since then. A change that
// would keep a slow link busy is not sent unless the requester has no other source, because the
// service has more bandwidth than any node.
//
// Where the list of replicas is long, reads of the service are few, and large changes are sent as
// well, compressed and within a budget. A request may be held until the serving node has a newer
// proof; the response then states for how long it was held.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "apps/node/held_state_exchange.h"
#include "apps/node/node_context.h"
#include "apps/node/range_exchange.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/fleet/content_history.h"
#include "fuchsiaspring/fleet/transfer_budget.h"
#include "fuchsiaspring/relay/caller_connection.h"
#include "fuchsiaspring/relay/message.h"

namespace fuchsiaspring::node_app {

struct snapshot_response {
  base::duration proof_age{};
  bool is_unchanged = false;  // the requester has the same content
  // Of the content, if it is unchanged; nothing from programs that do not state it.
  std::optional<node::store_version> version;
  bool is_compressed = false;
  base::duration held{};                    // between the request and the response
  std::optional<base::duration> read_time;  // of the read that the proof comes from

  // When the content was the newest, by the requester's clock.
  base::time_point proved_at(base::time_point requested_at) const {
    return requested_at + held - proof_age;
  }
};

struct snapshot_request {
  std::uint64_t known_hash = 0;  // of the requester's content, 0: none
  bool accepts_any_size = false;
  bool is_planned = false;                  // large changes within a budget, compressed
  base::duration hold{};                    // the response may wait so long for a newer proof
  std::optional<base::duration> proof_age;  // of the requester

  friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};

relay::request encode_snapshot_request(const snapshot_request& request);
snapshot_request parse_snapshot_request(const relay::request& message);

// Returns nullopt unless the response is a success with a proof age.
std::optional<snapshot_response> parse_snapshot_response(const relay::response_head& head);

struct snapshot_change {
  fleet::content_delta change;
  node::store_version version;  // of the service when the content was read

  friend bool operator==(const snapshot_change&, const snapshot_change&) = default;
};

std::string encode_snapshot(const snapshot_change& snapshot);
base::result<snapshot_change> decode_snapshot(const std::string& bytes);

// Serves the requests of other nodes: snapshots, ranges and held states.
class snapshot_server {
 public:
  // `held` returns what a peer may learn beyond the content. Throws boost::system::system_error
  // when the address cannot be bound.
  snapshot_server(node_context& context, held_state_server::source held);

  void start() { m_listener.start(); }

  // Answers the requests that are held. Called after each new proof.
  void on_proof();

 private:
  struct held_request {
    std::shared_ptr<relay::caller_connection> caller;
    snapshot_request request;
    base::time_point received_at{};
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void serve(relay::caller_connection& caller, const relay::request& message);
  bool has_news_for(const snapshot_request& request) const;
  void hold(relay::caller_connection& caller, const snapshot_request& request);
  void answer_held(std::uint64_t number);
  void answer(relay::caller_connection& caller, const snapshot_request& request,
              base::time_point received_at);
  void refuse(relay::caller_connection& caller, unsigned status, const char* reason);
  // The changes for a planned request, compressed.
  std::string encode_compressed(std::uint64_t known_hash);

  node_context& m_context;
  range_server m_ranges;
  held_state_server m_held_states;
  fleet::transfer_budget m_transfers{{}};
  std::map<std::uint64_t, held_request> m_held;  // by number, which is never used again
  std::uint64_t m_next_number = 0;
  // The whole content as it was last sent, kept because many nodes ask for it at a common start.
  std::string m_whole;  // compressed
  std::uint64_t m_whole_hash = 0;
  node::store_version m_whole_version;
  relay::caller_listener m_listener;
};

}  // namespace fuchsiaspring::node_app
