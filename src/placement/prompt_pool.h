// Divides the replicas of an engine service between long prompts and the streams of short ones.
//
// Load pattern: many nodes, which learn of each other's work only after some hundred ms, place long
// prompts and short ones on the same replicas. A prefill lengthens the inter-token gaps of all
// streams beside it, and a shared prefix is cached again on each replica that its prompts reach.
//
// The pool of long prompts is a share of the replicas of each failure domain. Each replica has a
// position between 0 and 1 that all nodes derive from the same hash, and belongs to the pool if the
// position is below the share. Nodes with slightly different shares disagree only about the
// replicas between the two, and short prompts avoid those next to the pool.
#pragma once

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::placement::internal {

// What the requests of a service need, over all replicas that the node knows.
struct pool_demand {
  double prefill_replicas = 0;  // replicas that the prefills of long prompts would keep busy
  double cache_replicas = 0;    // replicas whose KV caches hold the long prompts until their reuse
  double stream_replicas = 0;   // replicas whose slots the streams of short prompts would fill

  friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

class prompt_pool {
 public:
  // Adopts the demand as of `now`. The share follows it slowly, so that cached prefixes stay where
  // they are through a short burst.
  void update(const pool_demand& demand, base::time_point now);

  // Share of the replicas that take long prompts.
  double share() const { return m_share; }

  bool contains(double position) const { return position < m_share; }

  // Whether other nodes, too, are unlikely to count the replica to the pool.
  bool is_clear_of(double position) const { return position >= m_share + border; }

 private:
  // Nodes estimate the demand from different samples; their shares differ by less than this.
  static constexpr double border = 0.08;

  double m_share = 0.5;
  base::time_point m_updated_at{};
};

}  // namespace fuchsiaspring::placement::internal
