// Whether the configuration in hand is proved recent enough to accept API keys with it.
//
//   fleet::config_lease lease(std::chrono::seconds(5));
//   lease.record_proof(asked_at);      // a read that was sent then has answered with this state
//   if (!lease.is_valid(now)) { refuse(); }
//
// A key that was revoked at time t is known to be revoked to every reader that asks after t. A node
// whose last successful question was sent less than the bound ago can therefore not accept a key
// later than the bound after its revocation, whether or not it still reaches the service. Times are
// those of the boot clock, which goes on while the VM is suspended. Not thread-safe.
#pragma once

#include <algorithm>
#include <optional>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::fleet {

class config_lease {
 public:
  // `bound` is the longest time that a revoked key may still be accepted; 0 means no bound.
  explicit config_lease(base::duration bound) : m_bound(bound) {}

  // The state in hand was the newest at some moment after `asked_at`.
  void record_proof(base::time_point asked_at) {
    m_proved_at = m_proved_at ? std::max(*m_proved_at, asked_at) : asked_at;
  }

  bool has_proof() const { return m_proved_at.has_value(); }

  // Time since the last proof; nothing before the first one.
  std::optional<base::duration> age(base::time_point now) const {
    return m_proved_at ? std::optional(now - *m_proved_at) : std::nullopt;
  }

  bool is_valid(base::time_point now) const {
    return m_proved_at && (m_bound.count() == 0 || now - *m_proved_at < m_bound);
  }

  void set_bound(base::duration bound) { m_bound = bound; }

 private:
  base::duration m_bound;
  std::optional<base::time_point> m_proved_at;
};

}  // namespace fuchsiaspring::fleet
