// Chooses a replica for each request of one node.
//
//   placement::placer placer({.vm = "vm-1", .failure_domain = "a"});
//   placer.update(services, replicas, evacuated_domains, now);    // on every new snapshot
//
//   auto decided = placer.choose(request, now);
//   if (const auto* chosen = std::get_if<placement::choice>(&decided)) {
//     placer.on_dispatch(chosen->replica_id, request, *chosen, now);
//     ...
//     placer.on_first_event(chosen->replica_id, *chosen, elapsed, now);
//     placer.on_end(chosen->replica_id, *chosen, placement::outcome::answered, true, now);
//   }
//
// Load patterns that it handles:
//  - Long prompts with a shared prefix: a request goes to a replica that has the prefix cached, and
//    a replica without it fetches it from one that has it instead of computing it again.
//  - Many shared prefixes on many nodes: each prefix has home replicas, ranked by a hash that all
//    nodes share, so that it is found without announcing every prompt to every node. The overflow
//    of a home goes to the next one, from all nodes.
//  - Many nodes whose knowledge of each other's work is old: a part of the replicas, which follows
//    the demand, takes the long prompts, and each node prefers a few of the others for its short
//    ones; see prompt_pool.h. Nodes then do not all choose the replica that seems idle.
//  - Long prompts beside running streams: a prefill delays every token of the streams on the
//    replica. A request with a long prompt is not placed behind another prefill, and waits at the
//    node rather than delay many streams with short gap targets; such streams are placed away from
//    replicas that get long prompts. The load thereby divides the replicas into two groups.
//  - Many nodes that choose the same idle replica: nodes announce every dispatch to each other, and
//    the prefill tokens of other nodes' requests count like the node's own.
//  - Replicas that crash and are replaced at their addresses while the old entries are still
//    listed: only the replica that was started last at an address is used, and a replica that was
//    found to be replaced gets no more requests.
//  - Cold replicas: their request rate is divided among a few owner nodes.
//  - Replicas that fail or stop responding while their health checks pass: detected by the outcomes
//    of this node's own requests, with a bound on the share that is ejected.
//  - Replicas that are slow, always or for a short time, or from some load on: the expected wait is
//    multiplied by the learned factors; see capability/speed_table.h and service_model.h.
//  - Replicas that ask for a pause or state that they leave, while the published entries say that
//    they are ready: they get nothing from the answer on that states it; see replica_notice.h.
//
// No function blocks or reads a clock. Not thread-safe; one task owns the placer. Calls that name
// an unknown replica have no effect, since a replica may leave while its requests run.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/capability/speed_table.h"
#include "fuchsiaspring/placement/replica_notice.h"
#include "fuchsiaspring/placement/types.h"

namespace fuchsiaspring::placement {

enum class strategy { prefix, round_robin };

// How much this node receives of the other nodes' loads and prompt placements.
enum class fleet_view {
  full,        // loads and prompt placements of all nodes
  load_only,   // loads of all nodes, prompt placements of its own failure domain only
  own_domain,  // loads and prompt placements of its own failure domain only
};

struct placer_config {
  std::string vm;
  std::string failure_domain;
  std::map<std::string, std::string> region_of_domain;
  strategy choice_strategy = strategy::prefix;
  base::duration prefix_reuse = std::chrono::seconds(8);  // assumed time in cache since last use
};

struct replica_status {
  std::string id;
  std::string service;
  std::uint32_t running = 0;         // of this node
  std::uint32_t remote_running = 0;  // of other nodes
  std::uint32_t prefill_tokens = 0;  // pending prefill, all nodes
  bool is_draining = false;
  bool is_cold = false;
  bool is_ejected = false;
  double slowness = 1;         // measured over expected time to the first token
  bool is_leaving = false;     // as stated in its answers
  base::duration hold_left{};  // until it takes requests again, as stated in its answers
};

// The time in which no replica takes a request because all of them are held or leave.
struct service_pause {
  std::optional<base::time_point> ends_at;  // none: all replicas leave

  friend bool operator==(const service_pause&, const service_pause&) = default;
};

namespace internal {
struct candidate;
struct replica_state;
struct service_state;
}  // namespace internal

class placer {
 public:
  explicit placer(placer_config config);
  ~placer();
  placer(placer&&) noexcept;
  placer& operator=(placer&&) noexcept;
  placer(const placer&) = delete;
  placer& operator=(const placer&) = delete;

  // Adopts a snapshot. A replica that restarted, or first appears after the first snapshot, is
  // cold for the `cold_start` of its service.
  void update(std::span<const service_profile> services, std::span<const replica> replicas,
              const std::set<std::string>& evacuated_domains, base::time_point now);

  // Names of all nodes that may use the same replicas, this one included. Cold replicas are
  // divided among them.
  void set_nodes(std::vector<std::string> vms);

  // Sends cold replicas nothing until then. A node that has just started does not know the others
  // yet, with which it shares the rate of cold replicas.
  void hold_cold_replicas_until(base::time_point time) { m_cold_hold_until = time; }

  // With `own_domain`, replicas in other domains are assumed to have the average load of the own
  // domain. Without `full`, long shared prefixes are expected at their home replicas, which are
  // limited to the own domain with `own_domain`.
  void set_view(fleet_view view) { m_view = view; }

  // Replaces the load that another node reported before. Empty when the node has left or is no
  // longer live.
  void set_remote_load(const std::string& vm, std::span<const remote_load> loads);

  // Speeds of the replicas, to be exchanged with the other nodes. Used where the view is not
  // `full`; otherwise this node's own samples are.
  capability::speed_table& speeds() { return m_speeds; }

  // Another node sent a long prompt with these shared parts to the replica.
  void on_remote_prefix(std::uint32_t replica_hash, std::span<const std::uint64_t> parts,
                        base::time_point now);

  decision choose(const request_profile& request, base::time_point now);

  // Moving average of the time from dispatch to the first token of such requests; 0 while there are
  // too few samples.
  base::duration mean_first_token_time(const request_profile& request) const;

  // Whether a failure domain of the deployment is in a permitted region.
  bool has_region(const base::region_limit& limit) const;

  // Whether the replica may get the request at this moment; checked again before the first byte.
  bool is_eligible(std::string_view replica_id, const request_profile& request,
                   base::time_point now) const;

  // Time after a leaving notice in which the replica may still get requests.
  void set_drain_bound(base::duration bound) { m_notices.set_drain_bound(bound); }
  base::duration drain_bound() const { return m_notices.drain_bound(); }

  // An answer of the replica that was chosen at this start states the notice.
  notice_change on_notice(const replica_start& from, const replica_notice& notice,
                          base::time_point now) {
    return m_notices.record(from, notice, now);
  }

  // The pause of the replicas that the request may use; none while one of them takes requests, or
  // when none is in service.
  std::optional<service_pause> find_pause(const request_profile& request,
                                          base::time_point now) const;

  // Pauses of whole services, by service.
  std::map<std::string, service_pause, std::less<>> service_pauses(base::time_point now) const;

  // When the replica was started, as published; 0 if that is not known.
  std::uint64_t started_at_ms(std::string_view replica_id) const;

  void on_dispatch(std::string_view replica_id, const request_profile& request,
                   const choice& chosen, base::time_point now);
  void on_first_event(std::string_view replica_id, const choice& chosen, base::duration elapsed,
                      base::time_point now);
  void on_end(std::string_view replica_id, const choice& chosen, outcome result,
              bool had_first_event, base::time_point now);

  // A stream has ended whose longest pause between two events was `longest_gap`.
  void on_stream_end(std::string_view replica_id, base::duration gap_target,
                     base::duration longest_gap, base::time_point now);

  // This node's own load, to be sent to the other nodes.
  std::vector<remote_load> own_load() const;

  std::vector<replica_status> status(base::time_point now) const;

  // Share of the replicas that take long prompts, by service; only services that have such a pool.
  std::map<std::string, double> prompt_pool_shares() const;

  // Share of the slots of the service's replicas in use, as far as known; 1 without replicas.
  double slot_utilization(std::string_view service) const;

 private:
  using state_map = std::map<std::string, std::unique_ptr<internal::replica_state>, std::less<>>;

  // A replica that probably has a prompt's prefix cached.
  struct prefix_holder {
    const internal::replica_state* state = nullptr;
    std::uint32_t tokens = 0;  // expected to be cached
  };
  static constexpr std::size_t max_homes = 6;
  // Replicas where a prompt's prefix is expected.
  struct prefix_locations {
    // In the order of their hashes. The first `home_count` of them get its prompts.
    std::array<const internal::replica_state*, max_homes + 1> ranked{};
    std::size_t home_count = 0;
    std::uint32_t tokens_at_home = 0;  // expected at each home
    prefix_holder holder;              // the best to fetch from; may be a home

    bool is_home(const internal::replica_state& state) const;
  };

  void adopt_services(std::span<const service_profile> services);
  // Whether the replica is published as ready, and not excluded by the request.
  bool is_in_region(const internal::replica_state& state, const base::region_limit& limit) const;
  bool is_in_service(const internal::replica_state& state, const request_profile& request) const;
  // Whether it may also get requests now, and its notices have exactly this effect.
  bool is_permitted(const internal::replica_state& state, const request_profile& request,
                    notice_effect effect, base::time_point now) const;
  notice_effect effect_of_notices(const internal::replica_state& state, base::time_point now) const;
  // Adds the permitted replicas that have room. Returns whether any is permitted.
  bool add_candidates(const internal::service_state& service, const request_profile& request,
                      notice_effect effect, base::time_point now,
                      std::vector<internal::candidate>& candidates);
  bool has_room(const internal::replica_state& state, const internal::service_state& service,
                const request_profile& request, const prefix_locations& locations) const;
  // Whether the service's replicas are divided between long prompts and short ones.
  bool has_prompt_pool(const internal::service_state& service) const;
  // Whether the replica is in the part that does not take requests of this kind first.
  static bool is_in_other_pool(const internal::replica_state& state,
                               const internal::service_state& service,
                               const request_profile& request);
  void update_prompt_pool(internal::service_state& service, base::time_point now);
  void assign_pool_positions(internal::service_state& service);
  // Cost of the replica's part of the pool, and of its load where this node knows it late.
  double pool_cost_ms(const internal::replica_state& state, const internal::service_state& service,
                      const request_profile& request, const prefix_locations& locations) const;
  // Long prompts of the fleet for each one that this node hears of.
  double fleet_prompt_factor(const internal::service_state& service) const;
  static double seconds_per_long_prompt(const internal::service_state& service);
  static void count_running(internal::service_state& service, bool is_long_prompt, int difference);
  static void observe_dispatch(internal::service_state& service, const request_profile& request,
                               const choice& chosen);
  bool cold_rate_allows(internal::replica_state& state, const internal::service_state& service,
                        base::time_point now) const;
  std::uint32_t cached_tokens(const internal::replica_state& state, const request_profile& request,
                              base::time_point now) const;
  prefix_locations locate_prefix(const internal::service_state& service,
                                 const request_profile& request, base::time_point now) const;
  // Number of homes that the prompts with the prefix need.
  std::size_t homes_needed(const internal::service_state& service, std::uint64_t prefix_id,
                           base::time_point now) const;
  void find_homes(const internal::service_state& service, const request_profile& request,
                  base::time_point now, prefix_locations& locations) const;
  choice evaluate(const internal::replica_state& state, const internal::service_state& service,
                  const request_profile& request, const prefix_locations& locations,
                  base::time_point now) const;
  // Weight of the delay that concurrent prefills cause to the request's stream, 0 to 1.
  static double gap_sensitivity(const internal::service_state& service,
                                const request_profile& request);
  // Cost of the delay to running streams by the request's prefill, and to its own stream by others.
  static double delay_ms(const internal::replica_state& state, const request_profile& request,
                         const choice& candidate, base::time_point now);
  // Largest delay_ms() at which the request is placed; grows with its waiting time.
  static double max_accepted_delay_ms(const request_profile& request);
  // Factor of the replica's speed as measured by many nodes; none where the fleet is small, or
  // where no difference between the service's replicas is known. This node's samples decide then.
  std::optional<double> shared_speed(const internal::replica_state& state,
                                     base::time_point now) const;
  // Factor of the replica's speed on the expected wait.
  double speed_factor(const internal::replica_state& state, base::time_point now) const;
  // Sets the learned factors and returns their product.
  double apply_factors(const internal::replica_state& state, choice& candidate,
                       base::time_point now) const;
  // Factor of its load; 1 below the load from which the time is known to rise.
  double load_factor(const internal::replica_state& state) const;
  void record_speed(internal::replica_state& state, const choice& chosen, double ratio,
                    base::time_point now);
  void list_speeds();
  void compare_replicas(internal::service_state& service, base::time_point now) const;
  double cost_ms(const internal::replica_state& state, const request_profile& request,
                 const choice& candidate) const;
  void update_health(internal::replica_state& state, outcome result, base::time_point now);
  bool may_eject(const internal::service_state& service, base::time_point now) const;
  internal::replica_state* find(std::string_view replica_id);
  const internal::replica_state* find(std::string_view replica_id) const;
  void assign_cold_rates();
  void rebuild_hash_index();
  enum class change { added, removed };
  void apply_remote_load(std::span<const remote_load> loads, change direction);
  void assume_remote_load(const internal::service_state& service);

  placer_config m_config;
  notice_board m_notices;
  capability::speed_table m_speeds;
  state_map m_replicas;
  std::map<std::string, std::unique_ptr<internal::service_state>, std::less<>> m_services;
  std::unordered_map<std::uint32_t, internal::replica_state*> m_by_hash;
  std::map<std::string, std::vector<remote_load>> m_remote_loads;
  std::vector<std::string> m_vms;
  bool m_has_snapshot = false;
  base::time_point m_cold_hold_until{};
  fleet_view m_view = fleet_view::full;
  std::uint64_t m_round_robin = 0;
};

}  // namespace fuchsiaspring::placement
