// Tells other nodes what this node holds beyond the content of the configuration service: GET
// /held-state on the peers' address.
//
// The request states the version of the configuration that the requester has. The response is a
// HeldState message (schema/peer.proto) in the gzip format, with the text of the configuration only
// if the requester has an older one. Nodes of builds without this page answer with status 404.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "apps/node/node_context.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/fleet/transfer_budget.h"
#include "fuchsiaspring/node/held_state.h"
#include "fuchsiaspring/relay/caller_connection.h"
#include "fuchsiaspring/relay/message.h"
#include "fuchsiaspring/relay/upstream_channel.h"

namespace fuchsiaspring::node_app {

inline constexpr const char* held_state_target = "/held-state";

std::string encode_held_state(const node::held_state& held);

// Fails for bytes that are no HeldState and for a configuration that cannot be decoded.
base::result<node::held_state> decode_held_state(const std::string& bytes);

// Answers such requests.
class held_state_server {
 public:
  // Returns what the node holds for a requester that has this version of the configuration; nothing
  // while no state is used.
  using source = std::function<std::optional<node::held_state>(std::uint64_t config_version)>;

  explicit held_state_server(source held) : m_held(std::move(held)) {}

  void serve(relay::caller_connection& caller, const relay::request& message);

 private:
  source m_held;
  fleet::transfer_budget m_transfers{{}};
};

// Sends one such request.
class held_state_question {
 public:
  using handler = std::function<void(base::result<node::held_state>)>;

  // Calls `on_answer` once, from the event loop, unless the question is destroyed before.
  held_state_question(boost::asio::io_context& io, const std::string& address,
                      std::uint64_t config_version, base::duration timeout, handler on_answer);
  ~held_state_question();
  held_state_question(const held_state_question&) = delete;
  held_state_question& operator=(const held_state_question&) = delete;
  held_state_question(held_state_question&&) = delete;
  held_state_question& operator=(held_state_question&&) = delete;

 private:
  void on_event(const relay::channel_event& event);
  void on_body(std::string_view bytes);
  void on_response();
  void finish(base::result<node::held_state> result);

  std::shared_ptr<relay::upstream_channel> m_channel;
  boost::asio::steady_timer m_timer;
  handler m_on_answer;
  unsigned m_status = 0;
  std::string m_body;
};

}  // namespace fuchsiaspring::node_app
