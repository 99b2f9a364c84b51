#include "fuchsiaspring/node/state_merger.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::node {
namespace {

// Shortest outage in which entries of running replicas expire: these are written about every 1.2 s
// and expire after three missed writes.
constexpr base::duration min_outage = std::chrono::milliseconds(2000);

}  // namespace

const published_state& state_merger::merge(published_state read, const read_evidence& evidence,
                                           base::time_point now) {
  const proved_version answer{read.version, evidence.proved_at};
  const answer_order order = compare(m_proved, answer);
  if (order == answer_order::older) {
    return m_state;
  }
  read.version = adopted_version(m_proved, read.version);
  const base::time_point last_proof = m_proved ? m_proved->proved_at : evidence.proved_at;
  const bool has_failed_since =
      evidence.service_failed_at && *evidence.service_failed_at > last_proof;
  if (order == answer_order::returned) {
    ++m_returns;
    m_guard.begin_return(m_state, now);
  } else if (has_failed_since && evidence.proved_at - last_proof > min_outage) {
    m_guard.begin_outage(m_state, now);
  }
  m_proved = {read.version, std::max(last_proof, evidence.proved_at)};
  m_guard.correct(read, m_state, now);
  m_listed_config_version = read.config ? read.config->version : 0;
  const bool is_older = m_state.config && m_listed_config_version < m_state.config->version;
  if (!read.config || is_older) {
    read.config = std::move(m_state.config);
  } else {
    m_config_listed = *m_proved;
  }
  m_state = std::move(read);
  return m_state;
}

const published_state& state_merger::learn(const held_state& told, base::time_point now) {
  if (!m_proved) {
    return m_state;
  }
  m_guard.learn(told, m_state, now);
  if (told.config && may_be_lost(*told.config)) {
    m_state.config = told.config->config;
    m_config_listed = {told.config->version, now - told.config->age};
  }
  return m_state;
}

bool state_merger::may_be_lost(const held_config& config) const {
  if (config.config.version <= config_version() || config.age >= config_memory) {
    return false;
  }
  const bool is_same_era = config.version.era == m_proved->version.era;
  return !is_same_era || config.version.revision > m_proved->version.revision;
}

held_state state_merger::held(std::uint64_t known_config_version, base::time_point now) const {
  held_state told{.version = m_state.version,
                  .config = {},
                  .departures = m_guard.departures(now),
                  .evacuations = m_guard.evacuations(m_state, now)};
  const std::uint64_t version = told_config_version(now);
  if (m_state.config && version == m_state.config->version && version > known_config_version) {
    told.config = {.config = *m_state.config,
                   .text = {},
                   .version = m_config_listed.version,
                   .age = now - m_config_listed.proved_at};
  }
  return told;
}

std::uint64_t state_merger::told_config_version(base::time_point now) const {
  const bool is_recent = now - m_config_listed.proved_at < config_memory;
  return is_recent ? config_version() : m_listed_config_version;
}

}  // namespace fuchsiaspring::node
