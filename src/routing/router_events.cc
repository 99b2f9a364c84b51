#include <algorithm>
#include <utility>

#include "routing/router_state.h"

namespace fuchsiaspring::routing::internal {
namespace {

// Largest share of the pool's upstreams in service that is ejected at a time.
constexpr double ejection_cap = 0.3;
// A report without the draining flag ends a departure only if it was made this long after the
// departure was noticed; an earlier report may predate the departure.
constexpr base::duration leaving_holdoff = std::chrono::seconds(5);

std::size_t ejected_count(const pool_state& pool, base::time_point now) {
  return static_cast<std::size_t>(std::ranges::count_if(pool.members, [&](const member& each) {
    return each.in_service() && each.outlier.ejected(now);
  }));
}

std::size_t allowed_ejections(const pool_state& pool) {
  const auto in_service = std::ranges::count_if(pool.members, &member::in_service);
  return static_cast<std::size_t>(static_cast<double>(in_service) * ejection_cap);
}

}  // namespace

std::optional<member_location> router_state::locate(std::string_view upstream) const {
  const auto found = m_locations.find(upstream);
  return found == m_locations.end() ? std::nullopt : std::optional(found->second);
}

member* router_state::find_member(std::string_view upstream) {
  const auto location = locate(upstream);
  return location ? &m_pools[location->pool].members[location->index] : nullptr;
}

void router_state::set_slot_share(std::string_view upstream, std::uint32_t slots) {
  if (member* target = find_member(upstream)) {
    target->slot_share = slots;
  }
}

// Ends ejections beyond the cap, the one with the least time left first.
void router_state::enforce_ejection_cap(pool_state& pool, base::time_point now) {
  const std::size_t allowed = allowed_ejections(pool);
  for (std::size_t count = ejected_count(pool, now); count > allowed; --count) {
    member* first_to_end = nullptr;
    for (member& each : pool.members) {
      const bool candidate = each.in_service() && each.outlier.ejected(now);
      if (candidate && (first_to_end == nullptr ||
                        each.outlier.ejected_until() < first_to_end->outlier.ejected_until())) {
        first_to_end = &each;
      }
    }
    first_to_end->outlier.readmit();
  }
}

void router_state::try_eject(pool_state& pool, member& target, base::time_point now) {
  if (target.outlier.ejected(now) || ejected_count(pool, now) >= allowed_ejections(pool)) {
    return;
  }
  target.outlier.eject(now);
}

void router_state::handle_cold_start(const member_location& location, base::time_point now) {
  pool_state& pool = m_pools[location.pool];
  member& target = pool.members[location.index];
  pool.affinity.on_cleared(location.index, now);
  if (target.ramp.reset(now, true)) {
    m_notices.push_back({.upstream = target.name, .cold = true, .ramp_limit = target.ramp.bound()});
  }
}

void router_state::add_step_notice(const member& target) {
  m_notices.push_back({.upstream = target.name, .ramp_limit = target.ramp.bound()});
}

void router_state::mark_leaving(member& target, base::time_point now) {
  if (!target.leaving_at) {
    m_notices.push_back(
        {.upstream = target.name, .leaving = true, .ramp_limit = target.ramp.bound()});
  }
  target.leaving_at = now;
}

void router_state::on_dispatch(std::string_view upstream, base::time_point now,
                               std::uint64_t prefix_hash) {
  const auto location = locate(upstream);
  if (!location) {
    ++m_removed_in_flight[std::string(upstream)];
    return;
  }
  pool_state& pool = m_pools[location->pool];
  ++pool.members[location->index].in_flight;
  pool.affinity.on_stored(prefix_hash, location->index, now);
}

std::optional<double> router_state::median_of(const pool_state& pool, const member& target,
                                              std::uint32_t prompt_tokens) {
  const std::optional<double> own = target.baseline.median_first_token(prompt_tokens);
  return own ? own : pool.baseline.median_first_token(prompt_tokens);
}

std::optional<base::duration> router_state::first_token_overdue_after(
    std::string_view upstream, std::uint32_t prompt_tokens) const {
  const auto location = locate(upstream);
  if (!location) {
    return std::nullopt;
  }
  const pool_state& pool = m_pools[location->pool];
  const auto median = median_of(pool, pool.members[location->index], prompt_tokens);
  return median ? std::optional(base::from_seconds(*median * cold_start_ramp::cold_ratio))
                : std::nullopt;
}

// Counting a late token only at its arrival would leave a cold upstream at full load for the whole
// delay.
void router_state::on_first_token_overdue(std::string_view upstream, base::time_point now) {
  const auto location = locate(upstream);
  if (!location) {
    return;
  }
  member& target = m_pools[location->pool].members[location->index];
  if (target.ramp.on_first_token(cold_start_ramp::cold_ratio)) {
    handle_cold_start(*location, now);
  }
}

void router_state::on_first_token(std::string_view upstream, const first_token& event,
                                  base::time_point now) {
  const auto location = locate(upstream);
  if (!location) {
    return;
  }
  pool_state& pool = m_pools[location->pool];
  member& target = pool.members[location->index];
  const double seconds = base::to_seconds(event.elapsed);
  const std::optional<double> median = median_of(pool, target, event.prompt_tokens);
  const std::optional<double> ratio = median ? std::optional(seconds / *median) : std::nullopt;
  if (target.ramp.warm()) {
    target.baseline.record(event.prompt_tokens, seconds);
    pool.baseline.record(event.prompt_tokens, seconds);
  } else if (median) {
    target.baseline.seed(event.prompt_tokens, *median);
    target.baseline.record(event.prompt_tokens, seconds, latency_baseline::ramp_step);
  }
  if (target.ramp.on_first_token(ratio)) {
    handle_cold_start(*location, now);
  }
}

void router_state::release_slot(std::string_view upstream, member* target) {
  if (target != nullptr) {
    target->in_flight -= target->in_flight > 0 ? 1 : 0;
    return;
  }
  const auto removed = m_removed_in_flight.find(upstream);
  if (removed != m_removed_in_flight.end() && --removed->second == 0) {
    m_removed_in_flight.erase(removed);
  }
}

void router_state::on_finish(std::string_view upstream, base::time_point now) {
  member* target = find_member(upstream);
  release_slot(upstream, target);
  if (target == nullptr) {
    return;
  }
  target->outlier.on_success(now);
  if (target->ramp.on_finish(target->slot_share)) {
    add_step_notice(*target);
  }
}

void router_state::on_failure(std::string_view upstream, failure_kind kind, base::time_point now) {
  member* target = find_member(upstream);
  release_slot(upstream, target);
  if (target == nullptr || kind == failure_kind::cancelled) {
    return;
  }
  const member_location location = *locate(upstream);
  if (kind == failure_kind::draining) {
    mark_leaving(*target, now);
    enforce_ejection_cap(m_pools[location.pool], now);
    return;
  }
  // An overloaded cold upstream causes timeouts rather than slow first tokens.
  if (kind == failure_kind::timeout && target->ramp.on_first_token(cold_start_ramp::cold_ratio)) {
    handle_cold_start(location, now);
  }
  if (target->outlier.on_failure(now)) {
    try_eject(m_pools[location.pool], *target, now);
    // Repeatedly refused connections indicate that the process has exited; after a restart it is
    // cold.
    if (kind == failure_kind::connect) {
      m_pools[location.pool].affinity.on_cleared(location.index, now);
      target->ramp.reset(now, false);
    }
  }
}

void router_state::on_load_report(std::string_view upstream, const load_report& report,
                                  base::duration age, base::time_point now) {
  const auto location = locate(upstream);
  if (!location) {
    return;
  }
  pool_state& pool = m_pools[location->pool];
  member& target = pool.members[location->index];
  const base::time_point made_at = now - std::max(age, base::duration::zero());
  if (target.reported_at && made_at < *target.reported_at) {
    return;
  }
  target.reported_at = made_at;
  const double total = static_cast<double>(report.running) + report.queued;
  target.remote_requests = std::max(0.0, total - target.in_flight);
  const bool restarted =
      report.started_at != 0 && target.started_at != 0 && report.started_at != target.started_at;
  if (report.started_at != 0) {
    target.started_at = report.started_at;
  }
  if (report.draining) {
    mark_leaving(target, now);
    enforce_ejection_cap(pool, now);
  } else if (target.leaving_at && (restarted || made_at > *target.leaving_at + leaving_holdoff)) {
    target.leaving_at.reset();
    target.ramp.reset(now, false);
  }
  if (restarted) {
    pool.affinity.on_restarted(location->index, now);
  }
  if (report.cold || restarted) {
    handle_cold_start(*location, now);
  }
  target.ramp.set_reported_cold(report.cold);
  if (!report.cold) {
    target.ramp.on_report(report.running, report.queued, now);
  }
}

void router_state::on_notice(const upstream_notice& notice, base::time_point now) {
  const auto location = locate(notice.upstream);
  if (!location) {
    return;
  }
  pool_state& pool = m_pools[location->pool];
  member& target = pool.members[location->index];
  if (notice.leaving) {
    target.leaving_at = now;
    enforce_ejection_cap(pool, now);
  }
  if (notice.cold) {
    pool.affinity.on_cleared(location->index, now);
    target.ramp.lower_to(notice.ramp_limit, now);
  } else if (!notice.leaving) {
    target.ramp.raise_to(notice.ramp_limit, now);
  }
}

void router_state::on_cache_event(std::string_view upstream, const cache_event& event,
                                  base::time_point now) {
  const auto location = locate(upstream);
  if (!location) {
    return;
  }
  affinity_table& table = m_pools[location->pool].affinity;
  if (!table.accept_sequence(location->index, event.sequence, now)) {
    return;
  }
  switch (event.type) {
    case cache_event::kind::stored:
      table.on_stored(event.prefix_hash, location->index, now);
      break;
    case cache_event::kind::evicted:
      table.on_evicted(event.prefix_hash, location->index);
      break;
    case cache_event::kind::cleared:
      table.on_cleared(location->index, now);
      break;
  }
}

std::vector<upstream_notice> router_state::take_notices() {
  return std::exchange(m_notices, {});
}

std::uint32_t router_state::ramp_limit(std::string_view upstream) const {
  const auto location = locate(upstream);
  return location ? m_pools[location->pool].members[location->index].ramp.bound() : 0;
}

std::vector<upstream_status> router_state::status(std::string_view pool,
                                                  base::time_point now) const {
  std::vector<upstream_status> result;
  const pool_state* found = find_pool(pool);
  if (found == nullptr) {
    return result;
  }
  for (const member& each : found->members) {
    result.push_back({.name = each.name,
                      .pool = found->name,
                      .in_flight = each.in_flight,
                      .slot_share = each.slot_share,
                      .ramp_limit = each.ramp.bound(),
                      .limit = each.limit,
                      .load = each.load(now),
                      .ejected = each.outlier.ejected(now),
                      .leaving = each.leaving_at.has_value(),
                      .in_service = each.in_service()});
  }
  return result;
}

}  // namespace fuchsiaspring::routing::internal
