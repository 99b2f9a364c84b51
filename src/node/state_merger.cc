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
  const bool is_older =
      m_state.config && read.config && read.config->version < m_state.config->version;
  if (!read.config || is_older) {
    read.config = std::move(m_state.config);
  }
  m_state = std::move(read);
  return m_state;
}

}  // namespace fuchsiaspring::node
