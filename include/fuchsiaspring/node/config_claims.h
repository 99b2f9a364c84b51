// Compares the configuration that a node holds with the versions that its peers state to hold.
//
//   node::config_claims claims(started_at, has_seeds);
//   claims.record("vm-2", {5, true}, now);               // a heartbeat of vm-2
//   const node::claim_verdict verdict = claims.check({3, proved_at}, random, now);
//   if (verdict.ask) { ask(*verdict.ask); }              // then on_answer() or on_no_answer()
//   if (verdict.may_prove) { lease.record_proof(proved_at); }
//
// A read of the configuration service proves that nothing newer was published. This does not hold
// after the service has come back from an older copy, and a node that starts cannot tell. Its
// peers can: versions only increase, so that a peer which held a higher version before the read was
// sent shows that the service has lost it. Such a peer is asked for its configuration, and until
// then the read proves nothing.
//
// The first state that a node reads is used once a settled peer has said what it holds, or after
// `max_wait`: a fleet that starts as a whole has nobody to ask. A service that states no era loses
// nothing, so that nobody waits. A node is settled once such a peer
// has answered, or once it must have heard all its peers: otherwise nodes that start one after the
// other would take the copy from each other. After a return of the service a node asks once more,
// since it may have been cut off before, and does not wait for the answer. A claim that is not
// borne out within `max_wait` is ignored for `distrust_time`, so that a faulty peer delays others
// only for moments.
//
// Not thread-safe; time is an argument.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::node {

// The configuration that a peer states to hold.
struct config_claim {
  std::uint64_t version = 0;  // 0: none
  bool is_settled = false;    // the peer has learned what others hold

  friend bool operator==(const config_claim&, const config_claim&) = default;
};

// The version of a configuration, and when it was proved to be the newest of the service.
struct proved_config {
  std::uint64_t version = 0;
  base::time_point proved_at{};
  // The service states an era, and may therefore have come back from an older copy.
  bool may_be_copy = true;

  friend bool operator==(const proved_config&, const proved_config&) = default;
};

struct claim_verdict {
  bool may_use = false;              // the state may be used
  bool may_prove = false;            // its proof holds
  bool is_settled = false;           // as the node states to its peers
  std::optional<std::string> ask;    // the peer to ask for what it holds
  std::vector<std::string> ignored;  // peers whose claims are ignored from now on

  friend bool operator==(const claim_verdict&, const claim_verdict&) = default;
};

class config_claims {
 public:
  // Three heartbeats at the default interval.
  static constexpr base::duration max_wait = std::chrono::milliseconds(600);
  // Peers that have this node as their seed send it a heartbeat within that time.
  static constexpr base::duration max_wait_without_seeds = std::chrono::milliseconds(300);
  // A claim that was not borne out is ignored for this time, and delays proofs only now and then.
  static constexpr base::duration distrust_time = std::chrono::seconds(5);
  // Before a peer that gave no answer is asked again.
  static constexpr base::duration retry_interval = std::chrono::milliseconds(150);
  // Some read intervals. After a start and a return of the service, a higher version is asked for
  // at once and not only after a read that lacks it.
  static constexpr base::duration eager_time = std::chrono::seconds(2);

  // `has_seeds`: this node can find peers by itself.
  config_claims(base::time_point started_at, bool has_seeds)
      : m_wait_until(started_at + (has_seeds ? max_wait : max_wait_without_seeds)),
        m_settled_at(started_at + eager_time),
        m_eager_until(started_at + eager_time) {}

  // A heartbeat of the peer.
  void record(const std::string& peer, const config_claim& stated, base::time_point now);

  // The peer has left or is silent.
  void forget(const std::string& peer);

  // The service has come back from an older copy.
  void on_return(base::time_point now) {
    m_eager_until = now + eager_time;
    m_is_answer_due = true;
  }

  // The peer has said what it holds. `is_borne_out`: it delivered the version that it had claimed.
  void on_answer(const std::string& peer, bool is_borne_out, base::time_point now);
  void on_no_answer(const std::string& peer, base::time_point now);

  // The version that the peer claims, and the highest one of all peers; 0 if there is none.
  std::uint64_t version_of(std::string_view peer) const;
  std::uint64_t highest() const;

  claim_verdict check(const proved_config& held, base::random_source& random, base::time_point now);

 private:
  struct peer_claim {
    config_claim stated;
    base::time_point since{};  // first heartbeat with this version
    std::optional<base::time_point> contradicts_since;
    base::time_point ignored_until{};
    base::time_point may_be_asked_at{};
  };

  bool contradicts(const peer_claim& each, const proved_config& held, base::time_point now) const;
  std::optional<std::string> choose_peer(bool is_contradicted, base::random_source& random,
                                         base::time_point now) const;

  std::map<std::string, peer_claim, std::less<>> m_claims;  // by peer
  base::time_point m_wait_until;                            // for a peer's answer
  base::time_point m_settled_at;                            // also without a peer's answer
  base::time_point m_eager_until;
  bool m_is_answer_due = true;  // of a settled peer, since the start or the last return
  bool m_has_answer = false;    // of a settled peer
  bool m_is_used = false;       // a state has been used
};

}  // namespace fuchsiaspring::node
