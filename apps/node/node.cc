#include "apps/node/node.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <utility>

#include "apps/node/event_loop.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/settings/settings.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

// The configuration lease expires this long before the revocation limit, which leaves time for an
// accepted request to reach its upstream.
constexpr base::duration lease_margin = milliseconds(300);
// A leaving replica gets its last request this long before the drain limit, for the same reason.
constexpr base::duration drain_margin = milliseconds(300);
// Callers may still connect after SIGTERM until the load balancer has seen two failed readiness
// checks.
constexpr base::duration accept_time_after_sigterm = milliseconds(3000);
// The process exits this long before the platform would kill it.
constexpr base::duration shutdown_margin = milliseconds(700);
// Requests that are still in flight are ended this long before the process exits, so that their
// answers are written. An answer has a few hundred bytes and needs no action of the caller.
constexpr base::duration last_write_time = milliseconds(200);
// Nodes that start together know each other by then.
constexpr base::duration discovery_time = milliseconds(2000);
constexpr base::duration idle_check_interval = milliseconds(50);
constexpr base::duration settings_check_interval = milliseconds(1000);

std::map<std::string, std::string> parse_domain_regions(const schema::NodeSettings& settings) {
  std::map<std::string, std::string> regions;
  for (const std::string& entry : settings.domain_regions()) {
    const std::size_t equals = entry.find('=');
    if (equals != std::string::npos) {
      regions[entry.substr(0, equals)] = entry.substr(equals + 1);
    }
  }
  return regions;
}

placement::placer_config make_placer_config(const schema::NodeSettings& settings) {
  return {.vm = settings.vm(),
          .failure_domain = settings.failure_domain(),
          .region_of_domain = parse_domain_regions(settings),
          .choice_strategy = settings.placement() == "round_robin"
                                 ? placement::strategy::round_robin
                                 : placement::strategy::prefix,
          .prefix_reuse = milliseconds(settings.promises().prefix_reuse_ms())};
}

telemetry::event_log_options log_options(const schema::LogSettings& settings) {
  return {.format = settings.format() == "json" ? telemetry::line_format::json
                                                : telemetry::line_format::text,
          .min_level = telemetry::parse_level(settings.level())};
}

base::duration lease_duration(const schema::PromiseSettings& promises) {
  const base::duration bound = milliseconds(promises.revocation_ms());
  return bound > 2 * lease_margin ? bound - lease_margin : bound;
}

base::duration drain_bound(const schema::PromiseSettings& promises) {
  const base::duration bound = milliseconds(promises.drain_ms());
  return std::max<base::duration>(bound - drain_margin, bound / 2);
}

std::filesystem::file_time_type modification_time(const std::string& path) {
  std::error_code ignored;  // a file that is being replaced is checked again at the next interval
  return std::filesystem::last_write_time(path, ignored);
}

placement::fleet_view to_fleet_view(fleet::work_sharing sharing) {
  switch (sharing) {
    case fleet::work_sharing::full:
      return placement::fleet_view::full;
    case fleet::work_sharing::load_outside_domain:
      return placement::fleet_view::load_only;
    case fleet::work_sharing::domain_only:
      return placement::fleet_view::own_domain;
  }
  return placement::fleet_view::own_domain;
}

// Times of a planned stop, from SIGTERM on.
struct stop_times {
  base::duration accepting{};  // until no further connections are accepted
  base::duration waiting{};    // until the requests in flight are ended
  base::duration writing{};    // from then until the process exits
};

stop_times make_stop_times(base::duration grace) {
  const base::duration exit = std::max<base::duration>(grace - shutdown_margin, grace / 2);
  // A share of a short grace period, so that most of it is left for the requests.
  const base::duration writing = std::min<base::duration>(last_write_time, exit / 4);
  const base::duration waiting = exit - writing;
  return {.accepting = std::min({accept_time_after_sigterm, base::duration(grace / 2), waiting}),
          .waiting = waiting,
          .writing = writing};
}

}  // namespace

router_node::router_node(const schema::NodeSettings& settings, std::string settings_path)
    : m_settings_path(std::move(settings_path)),
      m_settings_time(modification_time(m_settings_path)),
      m_log(settings.vm(), log_options(settings.log())),
      m_scheduler(make_placer_config(settings), base::system_seed(), base::boot_clock::now()),
      m_channels(m_io, {}),
      m_prompt_quarantine({}, settings.vm()),
      m_part_log(m_log),
      m_context{.io = m_io,
                .settings = settings,
                .log = m_log,
                .metrics = m_metrics,
                .scheduler = m_scheduler,
                .channels = m_channels,
                .prompt_quarantine = m_prompt_quarantine,
                .memory = relay::memory_budget::create(
                    relay::memory_limits::of_process(settings.memory_limit_mb())),
                .lease = fleet::config_lease(lease_duration(settings.promises())),
                .content_proof = fleet::config_lease(lease_duration(settings.promises()))},
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_drain_timer(m_io),
      m_settings_timer(m_io) {
  m_scheduler.placer().set_drain_bound(drain_bound(settings.promises()));
  m_gateway = std::make_unique<gateway>(m_context);
  m_peers = std::make_unique<peer_exchange>(m_context);
  m_state = std::make_unique<state_adopter>(m_context, m_peers->directory(), *m_gateway);
  m_snapshots = std::make_unique<snapshot_server>(
      m_context, [this](std::uint64_t config_version) { return m_state->held(config_version); });
  m_config_reader = std::make_unique<config_reader>(
      m_context, m_peers->directory(),
      [this](const node::published_state& state, const node::read_evidence& evidence) {
        m_state->on_read(state, evidence);
        m_snapshots->on_proof();
      });
  m_operator_pages = std::make_unique<operator_pages>(
      m_context, m_peers->directory(), [this] { return m_gateway->open_connections(); });
  m_gateway->set_evidence_handler([this] { m_peers->on_evidence_changed(); });
  m_gateway->set_load_handler(
      [this](const std::string& replica_id, const placement::request_profile& profile,
             bool is_dispatch) { m_peers->on_load_changed(replica_id, profile, is_dispatch); });
}

void router_node::run() {
  m_log.write(telemetry::level::info, "node", "started",
              {{"listen_address", m_context.settings.listen_address()},
               {"failure_domain", m_context.settings.failure_domain()},
               {"placement", m_context.settings.placement()},
               {"memory_limit_mb", m_context.settings.memory_limit_mb()},
               {"memory_budget_bytes", m_context.memory->limits().bytes},
               {"max_connections", m_context.connections().callers}});
  wait_for_signal();
  m_gateway->start();
  m_operator_pages->start();
  m_scheduler.placer().hold_cold_replicas_until(base::boot_clock::now() + discovery_time);
  m_peers->start(
      {.on_nodes = [this] { on_nodes_changed(); },
       .on_remote_load = [this] { m_gateway->schedule_pump(); },
       .on_config_claim =
           [this](const std::string& peer, const node::config_claim& stated) {
             m_state->on_heartbeat(peer, stated);
           },
       .on_peer_lost = [this](const std::string& peer) { m_state->on_peer_lost(peer); }});
  m_snapshots->start();
  m_config_reader->start();
  watch_settings();
  run_event_loop(m_io, m_log, m_metrics);
  m_log.write(telemetry::level::info, "node", "stopped",
              {{"requests_in_flight", m_gateway->requests_in_flight()}});
}

void router_node::on_nodes_changed() {
  const base::time_point now = base::boot_clock::now();
  const std::vector<std::string> nodes = m_peers->directory().known_nodes(now);
  m_scheduler.placer().set_nodes(nodes);
  m_prompt_quarantine.set_nodes(nodes);
  m_prompt_quarantine.expire(now);
  m_part_log.report(m_prompt_quarantine, now);
  m_scheduler.placer().set_view(to_fleet_view(m_peers->directory().sharing_level(now)));
  if (nodes.size() != m_context.known_nodes) {
    m_context.known_nodes = nodes.size();
    for (auto& [service, budget] : m_context.retry_budgets) {
      budget.set_nodes(nodes.size());
    }
  }
  m_gateway->schedule_pump();
}

void router_node::wait_for_signal() {
  m_signals.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      reload();
    } else {
      begin_drain();
    }
    wait_for_signal();
  });
}

void router_node::watch_settings() {
  m_settings_timer.expires_after(settings_check_interval);
  m_settings_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    if (modification_time(m_settings_path) != m_settings_time) {
      reload();
    }
    watch_settings();
  });
}

void router_node::reload() {
  m_settings_time = modification_time(m_settings_path);
  const auto loaded = settings::load_settings<schema::NodeSettings>(m_settings_path);
  if (!loaded) {
    m_log.write(telemetry::level::error, "node", "reload_refused",
                {{"detail", loaded.error().message}});
    return;
  }
  for (const std::string& key :
       settings::not_reloadable_changes(m_context.settings, loaded.value())) {
    m_log.write(telemetry::level::warn, "node", "setting_needs_restart", {{"key", key}});
  }
  *m_context.settings.mutable_promises() = loaded.value().promises();
  *m_context.settings.mutable_log() = loaded.value().log();
  m_context.settings.set_config_read_interval_ms(loaded.value().config_read_interval_ms());
  m_context.settings.set_peer_interval_ms(loaded.value().peer_interval_ms());
  m_context.lease.set_bound(lease_duration(loaded.value().promises()));
  m_context.content_proof.set_bound(lease_duration(loaded.value().promises()));
  m_scheduler.placer().set_drain_bound(drain_bound(loaded.value().promises()));
  m_log.set_min_level(telemetry::parse_level(loaded.value().log().level()));
  for (auto& [service, budget] : m_context.retry_budgets) {
    budget.set_limits(retry_budget_limits(loaded.value().promises()));
  }
  m_log.write(telemetry::level::info, "node", "reloaded", {});
}

void router_node::begin_drain() {
  if (std::exchange(m_context.is_draining, true)) {
    return;
  }
  const base::duration grace = milliseconds(m_context.settings.promises().grace_period_ms());
  const stop_times times = make_stop_times(grace);
  const base::time_point now = base::boot_clock::now();
  const base::time_point deadline = now + times.waiting;
  m_context.stop = {.accepting_until = now + times.accepting, .requests_until = deadline};
  m_log.write(telemetry::level::info, "node", "stopping",
              {{"requests_in_flight", m_gateway->requests_in_flight()}, {"grace_ms", grace}});
  m_gateway->begin_drain();
  m_drain_timer.expires_after(times.accepting);
  m_drain_timer.async_wait(
      [this, deadline, write_time = times.writing](const boost::system::error_code& cancelled) {
        if (cancelled) {
          return;
        }
        m_gateway->stop_accepting();
        wait_until_idle(deadline, [this, write_time] { end_requests(write_time); });
      });
}

void router_node::wait_until_idle(base::time_point deadline, std::function<void()> on_deadline) {
  // A connection stays open while a request arrives on it or its response is being written.
  if (m_gateway->open_connections() == 0) {
    stop();
    return;
  }
  const base::time_point now = base::boot_clock::now();
  if (now >= deadline) {
    on_deadline();
    return;
  }
  m_drain_timer.expires_after(std::min<base::duration>(idle_check_interval, deadline - now));
  m_drain_timer.async_wait([this, deadline, on_deadline = std::move(on_deadline)](
                               const boost::system::error_code& cancelled) mutable {
    if (!cancelled) {
      wait_until_idle(deadline, std::move(on_deadline));
    }
  });
}

void router_node::end_requests(base::duration write_time) {
  m_log.write(telemetry::level::warn, "node", "ending_requests",
              {{"requests_in_flight", m_gateway->requests_in_flight()},
               {"open_connections", m_gateway->open_connections()}});
  m_gateway->end_requests();
  wait_until_idle(base::boot_clock::now() + write_time, [this] { stop(); });
}

void router_node::stop() {
  m_peers->announce_leaving();
  m_io.stop();
}

}  // namespace fuchsiaspring::node_app
