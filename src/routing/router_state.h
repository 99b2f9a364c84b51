// Implementation of the router: state of all pools, choice and events.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/routing/router.h"
#include "routing/affinity.h"
#include "routing/member.h"

namespace fuchsiaspring::routing::internal {

// Lookup by std::string_view without a temporary std::string.
struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};
template <typename Value>
using string_map = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

struct pool_state {
  std::string name;
  std::vector<member> members;  // the subset, nearest rank first
  affinity_table affinity;
  latency_baseline baseline;  // over all members
};

struct member_location {
  std::size_t pool = 0;
  std::size_t index = 0;
};

class router_state {
 public:
  base::result<void> update(const router_config& config, base::time_point now);
  void set_slot_share(std::string_view upstream, std::uint32_t slots);

  pick_result pick(const pick_request& request, base::time_point now, base::random_source& random);
  std::optional<refusal_reason> check_capacity(const pick_request& request,
                                               base::time_point now) const;
  std::uint32_t free_slots(std::string_view pool, base::time_point now) const;

  void on_dispatch(std::string_view upstream, base::time_point now, std::uint64_t prefix_hash);
  void on_first_token(std::string_view upstream, const first_token& event, base::time_point now);
  void on_first_token_overdue(std::string_view upstream, base::time_point now);
  std::optional<base::duration> first_token_overdue_after(std::string_view upstream,
                                                          std::uint32_t prompt_tokens) const;
  void on_finish(std::string_view upstream, base::time_point now);
  void on_failure(std::string_view upstream, failure_kind kind, base::time_point now);
  void on_load_report(std::string_view upstream, const load_report& report, base::duration age,
                      base::time_point now);
  void on_notice(const upstream_notice& notice, base::time_point now);
  void on_cache_event(std::string_view upstream, const cache_event& event, base::time_point now);

  std::vector<upstream_notice> take_notices();
  std::uint32_t ramp_limit(std::string_view upstream) const;
  std::vector<upstream_status> status(std::string_view pool, base::time_point now) const;
  bool own_domain_out_of_service() const { return m_own_domain_out; }

 private:
  // How candidates are restricted for one request.
  struct filter {
    std::span<const std::string> excluded{};
    bool allow_excluded = false;
    bool allow_ejected = false;
  };
  struct scored_candidate {
    std::size_t index = 0;
    double score = 0.0;
    bool affinity = false;
  };

  // Configuration.
  member make_member(const upstream_config& upstream, base::time_point now) const;
  std::vector<member> build_members(const router_config& config, const pool_config& pool,
                                    const pool_state* old, base::time_point now);
  void replace_pools(std::vector<pool_state> pools);

  // Choice.
  const pool_state* find_pool(std::string_view name) const;
  static filter make_filter(const pool_state& pool, const pick_request& request,
                            base::time_point now);
  static bool is_eligible(const member& candidate, const filter& restrictions,
                          base::time_point now);
  static refusal_reason refusal_for(const pool_state& pool, const filter& restrictions);
  void collect_candidates(const pool_state& pool, const filter& restrictions, base::time_point now);
  static double score(const member& candidate, base::time_point now);
  scored_candidate two_choices(const pool_state& pool, std::span<const std::size_t> candidates,
                               base::time_point now, base::random_source& random) const;
  scored_candidate nearest_choice(const pool_state& pool, base::time_point now,
                                  base::random_source& random) const;
  scored_candidate with_affinity(const pool_state& pool, scored_candidate best,
                                 std::uint64_t prefix, base::time_point now) const;

  // Events.
  std::optional<member_location> locate(std::string_view upstream) const;
  static std::optional<double> median_of(const pool_state& pool, const member& target,
                                         std::uint32_t prompt_tokens);
  member* find_member(std::string_view upstream);
  void release_slot(std::string_view upstream, member* target);
  void handle_cold_start(const member_location& location, base::time_point now);
  void add_step_notice(const member& target);
  void mark_leaving(member& target, base::time_point now);
  static void try_eject(pool_state& pool, member& target, base::time_point now);
  static void enforce_ejection_cap(pool_state& pool, base::time_point now);

  router_config m_config;
  bool m_own_domain_out = false;
  std::vector<pool_state> m_pools;
  string_map<std::size_t> m_pool_index;
  string_map<member_location> m_locations;
  // Requests still running at upstreams that left the subset; restored if the upstream returns.
  string_map<std::uint32_t> m_removed_in_flight;
  std::vector<upstream_notice> m_notices;
  std::vector<std::size_t> m_candidates;  // scratch of `pick`, kept to avoid allocations
};

}  // namespace fuchsiaspring::routing::internal
