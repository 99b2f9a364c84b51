// Passing the configuration on between nodes: GET /snapshot on the peers' address.
//
// The answer says how old the proof of the answering node is. The asking node counts from the
// moment of its own question, so that no clocks are compared.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "apps/node/context.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/relay/caller_connection.h"
#include "fuchsiaspring/relay/message.h"
#include "platform/store.h"

namespace fuchsiaspring::node_app {

struct snapshot_answer {
  base::duration proof_age{};
  bool is_unchanged = false;  // the asking node has the same content
};

// The question of a node that has the content with `known_hash`, 0 for none.
relay::request snapshot_question(std::uint64_t known_hash);

// Nothing when the answer is no proof.
std::optional<snapshot_answer> read_snapshot_answer(const relay::response_head& head);

std::string encode_snapshot(const std::vector<platform::store_item>& items, std::uint64_t revision);

struct decoded_snapshot {
  std::vector<platform::store_item> items;
  std::uint64_t revision = 0;
};

base::result<decoded_snapshot> decode_snapshot(const std::string& bytes);

// Answers the questions of other nodes.
class snapshot_server {
 public:
  // Throws boost::system::system_error when the address cannot be bound.
  explicit snapshot_server(context& shared);

  void start() { m_listener.start(); }

 private:
  void serve(relay::caller_connection& caller, const relay::request& message);

  context& m_context;
  relay::caller_listener m_listener;
};

}  // namespace fuchsiaspring::node_app
