// Chooses an upstream for each request of one VM.
//
//   routing::router router;
//   router.update(config, now);                       // on every new configuration
//   router.set_slot_share("suds-3", ledger_credits);  // this VM's share, 0 until set
//
//   auto picked = router.pick({.pool = "suds-model", .prefix_hash = hash}, now, random);
//   if (const auto* chosen = std::get_if<routing::choice>(&picked)) {
//     router.on_dispatch(chosen->upstream, now);      // with the grant; takes one slot
//     ...
//     router.on_first_token(chosen->upstream, {.elapsed = elapsed, .prompt_tokens = tokens}, now);
//     router.on_finish(chosen->upstream, now);        // or on_failure; gives the slot back
//   }
//   for (const auto& notice : router.take_notices()) { ... }   // to the VMs that use the upstream
//
// The router considers the subset of the pool that this VM uses, nearest failure domain first. It
// compares two random candidates by estimated load; an upstream that probably holds the request's
// prefix in its cache competes with a bonus that a higher load outweighs.
//
// An upstream starts, and returns to service, at the first step of the cold-start ramp. The present
// step, `ramp_limit`, is a bound for the whole fleet: the caller divides it among the VMs and
// passes its own share to `set_slot_share`. The router never grants more than min(slot_share,
// ramp_limit).
//
// Calls that name an unknown upstream have no effect; they occur after a configuration change.
// Not thread-safe; one task owns the router. No function blocks or reads a clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/routing/config.h"

namespace fuchsiaspring::routing {

// Why no upstream was chosen.
enum class refusal_reason {
  unknown_pool,           // the configuration has no such pool
  no_upstream,            // no upstream of the subset is in service, or all are excluded
  domain_out_of_service,  // upstreams exist, but only in failure domains out of service
  upstreams_busy,         // upstreams are in service, but all are at their bound
};

// Stable lower-case name of `reason`, the label of the counter.
std::string_view to_string(refusal_reason reason);

struct pick_request {
  std::string_view pool;
  std::uint64_t prefix_hash = 0;            // 0: no prefix affinity
  std::span<const std::string> excluded{};  // tried before; used again only if it is the only one
};

struct choice {
  std::string upstream;
  bool affinity = false;    // chosen for its cached prefix
  bool spill_over = false;  // not in the nearest domain that has an upstream in service

  friend bool operator==(const choice&, const choice&) = default;
};

using pick_result = std::variant<choice, refusal_reason>;

struct first_token {
  base::duration elapsed{};         // since dispatch
  std::uint32_t prompt_tokens = 0;  // estimate, 0: unknown. Times are compared at similar lengths.
};

enum class failure_kind {
  connect,        // refused or no connection; no byte was sent
  timeout,        // no first byte, or a stall within the response
  server_error,   // status 5xx
  broken_stream,  // the connection ended within the response
  draining,       // 503 by which the upstream announces its departure
  cancelled,      // ended by the caller or by preemption; not a fault of the upstream
};

// The last load report of an upstream. Optional, since plain services send none.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  bool cold = false;
  bool draining = false;
  std::uint64_t started_at = 0;  // changes with each start of the upstream, 0: unknown
};

// A cold start or departure, noticed here or on another VM (UpstreamNotice).
struct upstream_notice {
  std::string upstream;
  bool cold = false;
  bool leaving = false;
  std::uint32_t ramp_limit = 0;  // fleet-wide bound of the present step

  friend bool operator==(const upstream_notice&, const upstream_notice&) = default;
};

// A change of an upstream's prefix cache. Events may arrive late, repeated or not at all.
struct cache_event {
  enum class kind { stored, evicted, cleared };
  kind type = kind::stored;
  std::uint64_t prefix_hash = 0;  // not used by `cleared`
  std::uint64_t sequence = 0;     // counts the events of the upstream; a gap means a lost event
};

struct upstream_status {
  std::string name;
  std::string pool;
  std::uint32_t in_flight = 0;
  std::uint32_t slot_share = 0;
  std::uint32_t ramp_limit = 0;
  std::uint32_t limit = 0;
  double load = 0.0;  // estimated share of the capacity in use, may exceed 1
  bool ejected = false;
  bool leaving = false;
  bool in_service = false;  // neither it nor its domain is marked out, and it is not leaving
};

namespace internal {
class router_state;
}  // namespace internal

class router {
 public:
  router();
  ~router();
  router(router&&) noexcept;
  router& operator=(router&&) noexcept;
  router(const router&) = delete;
  router& operator=(const router&) = delete;

  // Adopts `config`. An upstream that stays in its pool keeps its state; one that returns to
  // service starts at the first step of the ramp. Fails with invalid_argument on a duplicate
  // upstream name and then changes nothing.
  base::result<void> update(const router_config& config, base::time_point now);

  // This VM's share of the upstream's present capacity, in concurrent requests. Requests above a
  // lowered share run to their end.
  void set_slot_share(std::string_view upstream, std::uint32_t slots);

  // Chooses an upstream. Takes no slot: call `on_dispatch` when the request is granted.
  pick_result pick(const pick_request& request, base::time_point now, base::random_source& random);

  // Whether `pick` would find an upstream; nullopt means yes.
  std::optional<refusal_reason> check_capacity(const pick_request& request,
                                               base::time_point now) const;

  // How many more requests the pool's subset takes now.
  std::uint32_t free_slots(std::string_view pool, base::time_point now) const;

  // Takes a slot, even above the bound: after a restart the gateways report requests that run
  // already. `prefix_hash` is remembered for affinity.
  void on_dispatch(std::string_view upstream, base::time_point now, std::uint64_t prefix_hash = 0);
  void on_first_token(std::string_view upstream, const first_token& event, base::time_point now);
  // The request still waits for its first token after `first_token_overdue_after`. Call it once for
  // such a request; a later `on_first_token` adds a second sample to the ramp, which is allowed.
  void on_first_token_overdue(std::string_view upstream, base::time_point now);
  void on_finish(std::string_view upstream, base::time_point now);
  void on_failure(std::string_view upstream, failure_kind kind, base::time_point now);

  // `age` is the time since the upstream made the report. An older report than the last is ignored.
  void on_load_report(std::string_view upstream, const load_report& report, base::duration age,
                      base::time_point now);
  void on_notice(const upstream_notice& notice, base::time_point now);
  void on_cache_event(std::string_view upstream, const cache_event& event, base::time_point now);

  // Cold starts and departures noticed here since the last call, for the other VMs.
  std::vector<upstream_notice> take_notices();

  // Fleet-wide bound of the present ramp step; the warm limit once the ramp is done, 0 if unknown.
  std::uint32_t ramp_limit(std::string_view upstream) const;

  // Wait for a first token that counts as a sign of a cold start; nullopt while no median is known.
  std::optional<base::duration> first_token_overdue_after(std::string_view upstream,
                                                          std::uint32_t prompt_tokens) const;

  // The upstreams of the pool's subset.
  std::vector<upstream_status> status(std::string_view pool, base::time_point now) const;

  // Whether this VM's own failure domain is out of service. The router still chooses upstreams in
  // other domains for requests that arrive.
  bool own_domain_out_of_service() const;

 private:
  std::unique_ptr<internal::router_state> m_state;
};

}  // namespace fuchsiaspring::routing
