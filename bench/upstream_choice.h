// Selects the upstream of an attempt in the simulation.
//
//   bench::upstream_choice choice(bench::choice_kind::least_requests, pool.spec());
//   if (auto upstream = choice.choose(pool, excluded)) { ... }
#pragma once

#include <optional>
#include <vector>

#include "bench/engine_model.h"

namespace fuchsiaspring::bench {

// round_robin and least_requests skip upstreams that are full or out of service.
// ramped_least_requests also limits the requests of each upstream by the ramp of section 7 of the
// design page: a failure, a return to service or three consecutive slow first tokens reset the
// limit to the cold limit; it doubles when as many requests as the limit have finished after a
// first token at normal speed.
enum class choice_kind { round_robin, least_requests, ramped_least_requests };

class upstream_choice {
 public:
  upstream_choice(choice_kind kind, const pool_spec& spec);

  // An upstream with a free slot, preferably other than `excluded` (-1: none).
  std::optional<int> choose(const engine_pool& pool, int excluded);

  // Attempts that can start now, over all upstreams.
  std::size_t free_slots(const engine_pool& pool) const;

  void on_first_token(int upstream, double seconds);
  void on_finished(int upstream);
  void on_failed(int upstream);
  void on_back_in_service(int upstream);

 private:
  struct ramp {
    int limit = 0;
    int finished = 0;
    int consecutive_slow = 0;
    bool last_first_token_normal = true;
  };

  int free_slots_of(const engine_pool& pool, int upstream) const;
  void reset_to_cold_limit(int upstream);

  choice_kind m_kind;
  int m_slots;
  int m_cold_limit;
  int m_next = 0;
  double m_warm_first_token = 0;  // running median of the pool, seconds
  std::vector<ramp> m_ramps;
};

}  // namespace fuchsiaspring::bench
