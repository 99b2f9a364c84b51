// The choice of a replica for each request of one node.
//
//   placement::placer placer({.vm = "vm-1", .failure_domain = "a"});
//   placer.update(services, replicas, evacuated_domains, now);    // on every new snapshot
//
//   auto decided = placer.choose(work, now);
//   if (const auto* chosen = std::get_if<placement::choice>(&decided)) {
//     placer.on_dispatch(chosen->replica_id, work, *chosen, now);
//     ...
//     placer.on_first_event(chosen->replica_id, *chosen, elapsed, now);
//     placer.on_end(chosen->replica_id, *chosen, placement::outcome::answered, now);
//   }
//
// Load patterns that it answers:
//  - Long prompts that share their beginnings: a request goes where its prefix is cached, and a
//    replica that lacks the prefix fetches it from one that has it instead of reading it again.
//  - Prompts of many subjects that come to many nodes: each subject has two home replicas that all
//    nodes derive alike, so that its prefix is found without telling every node of every prompt.
//  - Long prompts beside running streams: reading a prompt delays every token of the streams on
//    the replica. Work that yields is not placed behind another prompt that is being read, and
//    waits rather than delay many streams whose gap targets are short; such streams keep away from
//    replicas that get long prompts. Replicas thereby divide into two kinds as the load demands.
//  - Many nodes that see the same idle replica: nodes tell each other of every dispatch, and the
//    tokens that are being read on behalf of other nodes count like the node's own.
//  - Many replicas that crash and come back at their addresses as new ones while the old ones are
//    still listed: an address belongs to the replica that was started last, and one that was found
//    to be replaced gets nothing more.
//  - Cold replicas: their request rate is divided among a few owner nodes.
//  - Replicas that fail, are slow or fall silent while their health checks pass: judged by the
//    answers to this node's own requests, with a bound on the share that is ejected.
//
// No function blocks or reads a clock. Not thread-safe; one task owns the placer. Calls that name
// an unknown replica have no effect, since a replica may leave while its requests run.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/placement/types.h"

namespace fuchsiaspring::placement {

enum class strategy { prefix, round_robin };

// What this node knows of the work of the other nodes.
enum class fleet_view {
  full,        // the work of all, and where they place prompts
  work_only,   // the work of all; where prompts are placed only from its failure domain
  own_domain,  // only what the nodes of its failure domain do
};

struct placer_config {
  std::string vm;
  std::string failure_domain;
  std::map<std::string, std::string> region_of_domain;
  strategy how = strategy::prefix;
  base::duration prefix_reuse = std::chrono::seconds(8);  // how long a cached prefix is believed in
};

struct replica_status {
  std::string id;
  std::string service;
  std::uint32_t running = 0;         // of this node
  std::uint32_t remote_running = 0;  // of other nodes
  std::uint32_t read_tokens = 0;     // being read, all nodes
  bool is_draining = false;
  bool is_cold = false;
  bool is_ejected = false;
  double slowness = 1;  // answered times against expected ones
};

namespace internal {
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

  // Adopts a snapshot. A replica that was started anew, or is seen for the first time after the
  // first snapshot, is cold for the time its service states.
  void update(std::span<const service_profile> services, std::span<const replica> replicas,
              const std::set<std::string>& evacuated_domains, base::time_point now);

  // Names of all nodes that may use the same replicas, this one included. Cold replicas are
  // divided among them.
  void set_nodes(std::vector<std::string> vms);

  // Without the work of all nodes, replicas elsewhere are taken to be as busy as the own domain's
  // are on average. Without a full view, prompts are sent to the home replicas of their subjects,
  // which are in the own domain as long as the work elsewhere is not known.
  void set_view(fleet_view view) { m_view = view; }

  // Work of another node, replacing what it said before. Empty when the node is gone.
  void set_remote_load(const std::string& vm, std::span<const remote_load> loads);

  // Another node sent work with these shared prompt parts to the replica.
  void on_remote_prefix(std::uint32_t replica_hash, std::span<const std::uint64_t> parts,
                        base::time_point now);

  decision choose(const work& request, base::time_point now);

  // Time from dispatch to the first token that such work took lately; 0 before any was answered.
  base::duration usual_first_token(const work& request) const;

  // Whether the replica may be sent new work at this moment; checked again before the first byte.
  bool is_eligible(std::string_view replica_id) const;

  void on_dispatch(std::string_view replica_id, const work& request, const choice& chosen,
                   base::time_point now);
  void on_first_event(std::string_view replica_id, const choice& chosen, base::duration elapsed,
                      base::time_point now);
  void on_end(std::string_view replica_id, const choice& chosen, outcome how, bool had_first_event,
              base::time_point now);

  // A stream has ended whose longest pause between two events was `longest_gap`.
  void on_stream_end(std::string_view replica_id, base::duration gap_target,
                     base::duration longest_gap, base::time_point now);

  // This node's own work, for the other nodes.
  std::vector<remote_load> own_load() const;

  std::vector<replica_status> status(base::time_point now) const;

  // Share of the slots of the service's replicas in use, as far as known; 1 without replicas.
  double used_share(std::string_view service) const;

 private:
  using state_map = std::map<std::string, std::unique_ptr<internal::replica_state>, std::less<>>;

  bool is_permitted(const internal::replica_state& state, const work& request,
                    base::time_point now) const;
  bool has_room(const internal::replica_state& state, const internal::service_state& service,
                const work& request) const;
  bool takes_cold(internal::replica_state& state, const internal::service_state& service,
                  base::time_point now) const;
  // A replica that has cached a prompt's beginning, or probably has.
  struct prefix_holder {
    const internal::replica_state* state = nullptr;
    std::uint32_t tokens = 0;  // expected to be cached
  };
  // Where a prompt's beginning is cached.
  struct prefix_places {
    std::array<const internal::replica_state*, 2> homes{};  // of the prompt's subject
    std::uint32_t tokens_at_home = 0;                       // expected at either of them
    prefix_holder holder;                                   // the best to fetch from; may be a home
  };

  std::uint32_t cached_tokens(const internal::replica_state& state, const work& request,
                              base::time_point now) const;
  prefix_places find_places(const internal::service_state& service, const work& request,
                            base::time_point now) const;
  void find_homes(const internal::service_state& service, const work& request, base::time_point now,
                  prefix_places& places) const;
  choice evaluate(const internal::replica_state& state, const internal::service_state& service,
                  const work& request, const prefix_places& places, base::time_point now) const;
  // How much a stream suffers when its replica reads another prompt meanwhile, 0 to 1.
  static double gap_sensitivity(const internal::service_state& service, const work& request);
  // What a placement delays: the streams beside it by its prompt, and itself by other prompts.
  static double delay_ms(const internal::replica_state& state, const work& request,
                         const choice& candidate, base::time_point now);
  // The most that the request may delay others at present.
  static double accepted_delay_ms(const work& request);
  static double slowness_now(const internal::replica_state& state, base::time_point now);
  double cost_ms(const internal::replica_state& state, const work& request,
                 const choice& candidate) const;
  void judge(internal::replica_state& state, outcome how, base::time_point now);
  bool may_eject(const internal::service_state& service, base::time_point now) const;
  internal::replica_state* find(std::string_view replica_id);
  const internal::replica_state* find(std::string_view replica_id) const;
  void place_cold_shares();
  void reindex();
  enum class change { added, removed };
  void apply_remote_load(std::span<const remote_load> loads, change how);
  void assume_remote_load(const internal::service_state& service);

  placer_config m_config;
  state_map m_replicas;
  std::map<std::string, std::unique_ptr<internal::service_state>, std::less<>> m_services;
  std::unordered_map<std::uint32_t, internal::replica_state*> m_by_hash;
  std::map<std::string, std::vector<remote_load>> m_remote;
  std::vector<std::string> m_vms;
  bool m_has_snapshot = false;
  fleet_view m_view = fleet_view::full;
  std::uint64_t m_round_robin = 0;
};

}  // namespace fuchsiaspring::placement
