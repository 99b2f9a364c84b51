// Passing the configuration on between nodes: GET /snapshot on the peers' address.
//
// The answer says how old the proof of the answering node is. The asking node counts from the
// moment of its own question, so that no clocks are compared. It names the content that it has and
// gets what changed since. A change that would keep a slow link busy is not passed on unless the
// asking node has no other source; the service has more bandwidth than any node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "apps/node/context.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/fleet/content_history.h"
#include "fuchsiaspring/relay/caller_connection.h"
#include "fuchsiaspring/relay/message.h"

namespace fuchsiaspring::node_app {

struct snapshot_answer {
  base::duration proof_age{};
  bool is_unchanged = false;  // the asking node has the same content
};

struct snapshot_question {
  std::uint64_t known_hash = 0;  // of the content that the asking node has, 0: none
  bool accepts_any_size = false;

  friend bool operator==(const snapshot_question&, const snapshot_question&) = default;
};

relay::request encode_question(const snapshot_question& question);

// Nothing when the answer is no proof.
std::optional<snapshot_answer> read_snapshot_answer(const relay::response_head& head);

struct passed_change {
  fleet::content_change change;
  std::uint64_t revision = 0;  // of the service when the content was read

  friend bool operator==(const passed_change&, const passed_change&) = default;
};

std::string encode_change(const passed_change& passed);
base::result<passed_change> decode_change(const std::string& bytes);

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
