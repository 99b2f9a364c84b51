// Which source a node of a large fleet reads the configuration from, and when.
//
//   fleet::read_situation situation{.uptime = uptime, .proof_age = age, ...};
//   fleet::read_step step = fleet::next_read(self, peers.live(now), situation, random);
//   std::visit(overloaded{[](const fleet::service_source&) { list(); },
//                         [](const fleet::peer_question& question) { ask(question); },
//                         [](const fleet::wait_for_turn&) { decide_again_later(); }}, step);
//
// Applies where the list of replicas exceeds one page of the service, so that a read takes a
// noticeable part of a node's link; otherwise choose_source() applies.
//
// The nodes of a failure domain have an order, the rendezvous order of their names. The first one
// is the head of its domain. The heads of two domains read the service, and the other heads ask
// one of these. The next `relay_nodes` of each domain ask their head, and the others ask one of
// the relays. A question is held by its receiver until that has a newer proof, so that a new state
// passes all levels without waiting for an interval.
//
// A node whose proof is older than its bound asks others at random: the first levels of its domain
// and the heads of other domains. It reads the service itself only when its turn comes: the n-th
// node of a domain waits n times `turn_length` longer, so that a lost reader is replaced by the
// next node and the remaining nodes get the state from that one.
//
// All functions are free of side effects; time is an argument.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/fleet/config_source.h"
#include "fuchsiaspring/fleet/peer_directory.h"

namespace fuchsiaspring::fleet {

// Nodes of a failure domain that ask its head; the other nodes of the domain ask these.
inline constexpr std::size_t relay_nodes = 16;
// Two reads of one page at 10 Mbit/s: the node whose turn it is has the list or has failed.
inline constexpr base::duration turn_length = std::chrono::milliseconds(400);
// Longest time that a question is held. A node notices the loss of a silent peer after this and
// the timeout of a response.
inline constexpr base::duration max_hold_time = std::chrono::milliseconds(800);

// A request for the state of a peer.
struct peer_question {
  std::string address;
  base::duration hold{};  // time for which the peer may wait for a newer proof

  friend bool operator==(const peer_question&, const peer_question&) = default;
};

// No source is due; decide again after a short time.
struct wait_for_turn {
  friend bool operator==(const wait_for_turn&, const wait_for_turn&) = default;
};

using read_step = std::variant<service_source, peer_question, wait_for_turn>;

// What a node knows when it is about to read.
struct read_situation {
  base::duration uptime{};                  // since the node began to read
  std::optional<base::duration> proof_age;  // nothing before the first proof
  base::duration max_proof_age{};           // from max_proof_age()
  bool did_service_fail = false;            // at the last read
  std::optional<base::duration> since_service_failure;
  std::set<std::string> failed_peers;  // addresses that gave no answer a short time ago

  friend bool operator==(const read_situation&, const read_situation&) = default;
};

// VMs of the failure domain of `self`, with `self`, in the order in which they read the service.
std::vector<std::string> read_order(const peer_info& self, const std::vector<peer_info>& live);

read_step next_read(const peer_info& self, const std::vector<peer_info>& live,
                    const read_situation& situation, base::random_source& random);

// Time until the next read after one that succeeded. `interval` is the configured one.
base::duration interval_after(const read_step& last, base::duration interval);

// How long reads take and how often they happen.
struct read_pace {
  base::duration interval{};   // as configured
  base::duration read_time{};  // of the last complete read of the service

  friend bool operator==(const read_pace&, const read_pace&) = default;
};

// Oldest proof that a node has while all reads succeed. `validity` is how long a proof may be used;
// 0 means no bound.
base::duration max_proof_age(const read_pace& pace, base::duration validity);

// Longest time for a whole read of the service. A proof is as old as its read took when it arrives,
// and has to last until the next read has been passed on.
base::duration max_read_time(base::duration interval, base::duration validity);

}  // namespace fuchsiaspring::fleet
