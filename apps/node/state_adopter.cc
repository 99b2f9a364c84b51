#include "apps/node/state_adopter.h"

#include <algorithm>
#include <utility>

#include "platform/store.h"

namespace fuchsiaspring::node_app {
namespace {

// While a state or its proof waits for a peer's answer.
constexpr base::duration review_interval = std::chrono::milliseconds(50);

}  // namespace

state_adopter::state_adopter(node_context& context, const fleet::peer_directory& peers,
                             gateway& owner)
    : m_context(context),
      m_peers(peers),
      m_gateway(owner),
      m_random(base::system_seed()),
      m_started_at(base::boot_clock::now()),
      m_claims(m_started_at, peers.has_seeds()),
      m_return_log(context.log, context.metrics),
      m_review_timer(context.io) {}

void state_adopter::on_read(const node::published_state& state,
                            const node::read_evidence& evidence) {
  const base::time_point now = base::boot_clock::now();
  const std::uint32_t returns = m_merger.returns();
  const node::published_state& merged = m_merger.merge(state, evidence, now);
  m_return_log.report(m_merger, merged, now);
  if (m_merger.returns() != returns) {
    m_claims.on_return(now);
  }
  if (!merged.config) {
    m_context.log.write(telemetry::level::warn, "agent", "no_configuration_published",
                        {{"revision", merged.version.revision}});
    return;
  }
  m_context.content_proof.record_proof(evidence.proved_at);
  m_proved_at = std::max(m_proved_at.value_or(evidence.proved_at), evidence.proved_at);
  review(now);
  report_gauges(now);
}

void state_adopter::on_heartbeat(const std::string& peer, const node::config_claim& stated) {
  const base::time_point now = base::boot_clock::now();
  m_claims.record(peer, stated, now);
  const bool is_first_state_waiting = m_proved_at && m_context.table == nullptr;
  if (is_first_state_waiting || stated.version > m_merger.config_version()) {
    review(now);
  }
}

void state_adopter::on_peer_lost(const std::string& peer) {
  m_claims.forget(peer);
}

std::optional<node::held_state> state_adopter::held(std::uint64_t config_version) const {
  if (m_context.table == nullptr) {
    return std::nullopt;
  }
  node::held_state told = m_merger.held(config_version, base::boot_clock::now());
  if (told.config) {
    told.config->text = m_context.config_text;
  }
  return told;
}

void state_adopter::review(base::time_point now) {
  if (!m_proved_at) {
    return;
  }
  const node::proved_config held{.version = m_merger.config_version(),
                                 .proved_at = *m_proved_at,
                                 .may_be_copy = m_merger.state().version.era.has_value()};
  const node::claim_verdict verdict = m_claims.check(held, m_random, now);
  for (const std::string& peer : verdict.ignored) {
    log_ignored(peer, m_claims.version_of(peer));
  }
  if (verdict.ask && m_question == nullptr) {
    ask(*verdict.ask);
  }
  if (verdict.may_use) {
    adopt(now);
  }
  m_context.own_claim = {.version = verdict.may_use ? m_merger.told_config_version(now) : 0,
                         .is_settled = verdict.is_settled};
  if (verdict.may_prove) {
    m_context.lease.record_proof(*m_proved_at);
  } else {
    review_later();
  }
}

void state_adopter::review_later() {
  if (std::exchange(m_is_review_due, true)) {
    return;
  }
  m_review_timer.expires_after(review_interval);
  m_review_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    m_is_review_due = false;
    review(base::boot_clock::now());
  });
}

void state_adopter::adopt(base::time_point now) {
  const node::published_state& merged = m_merger.state();
  const bool is_first = m_context.table == nullptr;
  const bool is_new_version = is_first || m_context.table->config() != *merged.config;
  const bool is_changed = is_new_version || merged.replicas != m_used.replicas ||
                          merged.evacuated_domains != m_used.evacuated_domains;
  if (!is_changed) {
    return;
  }
  m_context.log.write(
      telemetry::level::info, "agent", "state_adopted",
      {{"revision", merged.version.revision},
       {"era", merged.version.era.value_or(0)},
       {"config_version", merged.config->version},
       {"replicas", merged.replicas.size()},
       {"draining", std::count_if(merged.replicas.begin(), merged.replicas.end(),
                                  [](const auto& each) { return each.is_draining; })},
       {"evacuated_domains", merged.evacuated_domains.size()},
       {"unreadable_entries", merged.unreadable_entries},
       {"asks_for_keys", merged.config->teams.asks_for_keys()},
       {"teams", merged.config->teams.size()},
       {"listed_config_version", m_merger.listed_config_version()},
       {"holding", m_merger.is_holding(now)},
       {"age_ms", now - *m_proved_at},
       {"uptime_ms", now - m_started_at}});
  m_used = merged;
  if (m_merger.listed_config_version() == merged.config->version && is_new_version) {
    m_context.config_text = platform::configuration_text(m_context.snapshot.history.content());
  }
  if (is_new_version) {
    log_key_rule(*merged.config);
    m_gateway.adopt(std::make_shared<const routes::route_table>(*merged.config));
  }
  m_context.scheduler.adopt(*merged.config, merged.replicas, merged.evacuated_domains, now);
}

void state_adopter::log_key_rule(const routes::configuration& config) const {
  const bool is_first = m_context.table == nullptr;
  const bool is_changed =
      is_first || m_context.table->config().teams.asks_for_keys() != config.teams.asks_for_keys();
  const bool admits_nobody = config.teams.asks_for_keys() && config.teams.empty();
  if (!is_changed && !admits_nobody && config.unreadable_teams == 0) {
    return;
  }
  const bool is_usual = is_first && !admits_nobody && config.unreadable_teams == 0;
  m_context.log.write(is_usual ? telemetry::level::info : telemetry::level::warn, "agent",
                      "key_rule",
                      {{"config_version", config.version},
                       {"asks_for_keys", config.teams.asks_for_keys()},
                       {"teams", config.teams.size()},
                       {"unreadable_teams", config.unreadable_teams}});
}

void state_adopter::ask(const std::string& peer) {
  const auto live = m_peers.live(base::boot_clock::now());
  const auto found = std::find_if(live.begin(), live.end(),
                                  [&](const fleet::peer_info& each) { return each.vm == peer; });
  if (found == live.end()) {
    m_claims.forget(peer);
    return;
  }
  const std::uint64_t claimed = m_claims.version_of(peer);
  m_question = std::make_unique<held_state_question>(
      m_context.io, found->address, m_merger.config_version(), node::config_claims::max_wait,
      [this, peer, claimed](base::result<node::held_state> answer) {
        on_answer(peer, claimed, std::move(answer));
      });
}

void state_adopter::on_answer(const std::string& peer, std::uint64_t claimed,
                              base::result<node::held_state> answer) {
  m_question = nullptr;
  const base::time_point now = base::boot_clock::now();
  m_context.metrics.count("fuchsia_held_state_questions_total",
                          "Questions to peers about what they hold beyond the service.",
                          {{"result", answer ? "answered" : "failed"}});
  if (!answer) {
    m_context.log.write(telemetry::level::info, "agent", "held_state_not_received",
                        {{"peer", peer}, {"detail", answer.error().message}});
    m_claims.on_no_answer(peer, now);
    review(now);
    return;
  }
  learn(peer, answer.value(), now);
  const bool is_borne_out = m_merger.config_version() >= claimed;
  if (!is_borne_out) {
    log_ignored(peer, claimed);
  }
  m_claims.on_answer(peer, is_borne_out, now);
  review(now);
}

void state_adopter::learn(const std::string& peer, const node::held_state& told,
                          base::time_point now) {
  const std::uint64_t version_before = m_merger.config_version();
  const node::published_state& merged = m_merger.learn(told, now);
  m_return_log.report(m_merger, merged, now);
  const bool is_config_learned = m_merger.config_version() != version_before;
  if (is_config_learned) {
    m_context.config_text = told.config->text;
  }
  m_context.log.write(is_config_learned ? telemetry::level::warn : telemetry::level::info, "agent",
                      "held_state_learned",
                      {{"peer", peer},
                       {"config_version", m_merger.config_version()},
                       {"config_version_before", version_before},
                       {"listed_config_version", m_merger.listed_config_version()},
                       {"config_age_ms", told.config ? told.config->age : base::duration{}},
                       {"era", told.version.era.value_or(0)},
                       {"revision", told.version.revision},
                       {"departures", told.departures.size()},
                       {"evacuations", told.evacuations.size()},
                       {"uptime_ms", now - m_started_at}});
}

void state_adopter::log_ignored(const std::string& peer, std::uint64_t claimed) {
  m_context.log.write(telemetry::level::warn, "agent", "config_claim_ignored",
                      {{"peer", peer},
                       {"claimed_config_version", claimed},
                       {"config_version", m_merger.config_version()}});
}

void state_adopter::report_gauges(base::time_point now) {
  const auto set = [this](const char* source, std::uint64_t version) {
    m_context.metrics.set("fuchsia_config_version", "Version of the configuration by its source.",
                          {{"source", source}}, static_cast<double>(version));
  };
  set("used", m_context.table != nullptr ? m_context.table->config().version : 0);
  set("listed", m_merger.listed_config_version());
  set("peers", m_claims.highest());
  if (m_context.table != nullptr) {
    const routes::configuration& used = m_context.table->config();
    m_context.metrics.set("fuchsia_config_asks_for_keys",
                          "1 if routes that are not public need an API key, otherwise 0.", {},
                          used.teams.asks_for_keys() ? 1 : 0);
    m_context.metrics.set("fuchsia_config_teams", "Teams whose API keys are admitted.", {},
                          static_cast<double>(used.teams.size()));
    m_context.metrics.set("fuchsia_config_unreadable_teams",
                          "Entries of the list of teams that are not understood and admit nobody.",
                          {}, static_cast<double>(used.unreadable_teams));
  }
  m_context.metrics.set("fuchsia_config_content_proof_age_seconds",
                        "Age of the last proof that the content as read is the newest.", {},
                        base::to_seconds(now - *m_proved_at));
}

}  // namespace fuchsiaspring::node_app
