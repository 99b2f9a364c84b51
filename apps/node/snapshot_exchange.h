// Distributes the configuration between nodes: GET /snapshot on the peers' address.
//
// The response states the age of the serving node's proof. The requester subtracts that age from
// the time of its own request, so that no clocks are compared. The request states the hash of the
// content that the requester has, and the response contains the changes since then. A change that
// would keep a slow link busy is not sent unless the requester has no other source, because the
// service has more bandwidth than any node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "apps/node/node_context.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/fleet/content_history.h"
#include "fuchsiaspring/relay/caller_connection.h"
#include "fuchsiaspring/relay/message.h"

namespace fuchsiaspring::node_app {

struct snapshot_response {
  base::duration proof_age{};
  bool is_unchanged = false;  // the requester has the same content
  // Of the content, if it is unchanged; nothing from programs that do not state it.
  std::optional<node::store_version> version;
};

struct snapshot_request {
  std::uint64_t known_hash = 0;  // of the requester's content, 0: none
  bool accepts_any_size = false;

  friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};

relay::request encode_snapshot_request(const snapshot_request& request);

// Returns nullopt unless the response is a success with a proof age.
std::optional<snapshot_response> parse_snapshot_response(const relay::response_head& head);

struct snapshot_change {
  fleet::content_delta change;
  node::store_version version;  // of the service when the content was read

  friend bool operator==(const snapshot_change&, const snapshot_change&) = default;
};

std::string encode_snapshot(const snapshot_change& snapshot);
base::result<snapshot_change> decode_snapshot(const std::string& bytes);

// Serves snapshot requests of other nodes.
class snapshot_server {
 public:
  // Throws boost::system::system_error when the address cannot be bound.
  explicit snapshot_server(node_context& context);

  void start() { m_listener.start(); }

 private:
  void serve(relay::caller_connection& caller, const relay::request& message);

  node_context& m_context;
  relay::caller_listener m_listener;
};

}  // namespace fuchsiaspring::node_app
