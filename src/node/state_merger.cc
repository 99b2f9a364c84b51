#include "fuchsiaspring/node/state_merger.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::node {
namespace {

// Time within which running replicas are listed again after an outage, with a margin.
constexpr base::duration relisting_time = std::chrono::milliseconds(2300);
// Shortest outage in which entries of running replicas expire: these are written about every 1.2 s
// and expire after three missed writes.
constexpr base::duration min_outage = std::chrono::milliseconds(2000);

}  // namespace

const published_state& state_merger::merge(published_state read, const read_evidence& evidence,
                                           base::time_point now) {
  const bool has_failed_since =
      evidence.service_failed_at && *evidence.service_failed_at > m_last_proof;
  if (m_has_state && has_failed_since && evidence.proved_at - m_last_proof > min_outage) {
    m_hold_until = now + relisting_time;
  }
  m_last_proof = std::max(m_last_proof, evidence.proved_at);
  if (m_has_state && is_holding(now)) {
    for (const placement::replica& held : m_state.replicas) {
      const bool is_listed =
          std::any_of(read.replicas.begin(), read.replicas.end(),
                      [&](const placement::replica& each) { return each.id == held.id; });
      if (!is_listed) {
        read.replicas.push_back(held);
      }
    }
  }
  const bool is_older =
      m_state.config && read.config && read.config->version < m_state.config->version;
  if (!read.config || is_older) {
    read.config = std::move(m_state.config);
  }
  m_state = std::move(read);
  m_has_state = true;
  return m_state;
}

}  // namespace fuchsiaspring::node
