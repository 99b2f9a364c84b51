#include "fuchsiaspring/node/state_merger.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::node {
namespace {

// Time within which running replicas are listed again after an outage, with a margin.
constexpr base::duration relisting_time = std::chrono::milliseconds(2300);
// A gap between two reads that is longer than the interval by this much counts as an outage.
constexpr base::duration outage_margin = std::chrono::milliseconds(900);

}  // namespace

const published_state& state_merger::merge(published_state read, base::time_point now) {
  if (m_has_state && now - m_last_read > m_expected_interval + outage_margin) {
    m_hold_until = now + relisting_time;
  }
  m_last_read = now;
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
