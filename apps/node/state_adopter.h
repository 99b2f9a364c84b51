// Turns what is read of the configuration service into the state that the node uses.
//
//   state_adopter adopter(context, peers, gateway);
//   adopter.on_read(state, evidence);          // after each read
//   adopter.on_heartbeat(peer, stated);        // the configuration that a peer holds
//
// A read is corrected by what this node has seen before (node/state_merger.h) and by what its peers
// hold: a peer that holds a newer configuration than a later read shows that the service came back
// from an older copy, and is asked for it (node/config_claims.h). A node that starts asks a peer
// before it uses its first state.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "apps/node/gateway.h"
#include "apps/node/held_state_exchange.h"
#include "apps/node/node_context.h"
#include "apps/node/return_log.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/node/config_claims.h"
#include "fuchsiaspring/node/state_merger.h"

namespace fuchsiaspring::node_app {

class state_adopter {
 public:
  state_adopter(node_context& context, const fleet::peer_directory& peers, gateway& owner);

  void on_read(const node::published_state& state, const node::read_evidence& evidence);

  // A peer states which configuration it holds.
  void on_heartbeat(const std::string& peer, const node::config_claim& stated);
  // A peer has left or is silent.
  void on_peer_lost(const std::string& peer);

  // What a peer may learn that has this version of the configuration; nothing before the first
  // state is used.
  std::optional<node::held_state> held(std::uint64_t config_version) const;

 private:
  // Uses the merged state as far as the peers' claims allow.
  void review(base::time_point now);
  void review_later();
  void adopt(base::time_point now);
  // Logs whether the configuration asks for keys, where this changes or may be a mistake.
  void log_key_rule(const routes::configuration& config) const;
  void ask(const std::string& peer);
  void on_answer(const std::string& peer, std::uint64_t claimed,
                 base::result<node::held_state> answer);
  void learn(const std::string& peer, const node::held_state& told, base::time_point now);
  void log_ignored(const std::string& peer, std::uint64_t claimed);
  void report_gauges(base::time_point now);

  node_context& m_context;
  const fleet::peer_directory& m_peers;
  gateway& m_gateway;
  base::random_source m_random;
  base::time_point m_started_at;
  node::state_merger m_merger;
  node::config_claims m_claims;
  return_log m_return_log;
  std::unique_ptr<held_state_question> m_question;  // under way
  boost::asio::steady_timer m_review_timer;
  bool m_is_review_due = false;
  std::optional<base::time_point> m_proved_at;  // of the state that was read last
  node::published_state m_used;                 // as last adopted
};

}  // namespace fuchsiaspring::node_app
