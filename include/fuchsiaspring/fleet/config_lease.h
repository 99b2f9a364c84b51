// Whether the held configuration is proved recent enough to accept API keys.
//
//   fleet::config_lease lease(std::chrono::seconds(5));
//   lease.record_proof(requested_at);  // a read sent at that time returned the held state
//   if (!lease.is_valid(now)) { refuse(); }
//
// A read that is sent after a key was revoked returns a state without the key. A node whose last
// successful read was sent less than the bound ago can therefore not accept a key later than the
// bound after its revocation, whether or not it still reaches the service. Times are those of the
// boot clock, which advances while the VM is suspended. Not thread-safe.
#pragma once

#include <algorithm>
#include <optional>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::fleet {

class config_lease {
 public:
  // `bound` is the longest time that a revoked key may still be accepted; 0 means no bound.
  explicit config_lease(base::duration bound) : m_bound(bound) {}

  // The held state was the newest at some moment after `requested_at`.
  void record_proof(base::time_point requested_at) {
    m_proved_at = m_proved_at ? std::max(*m_proved_at, requested_at) : requested_at;
  }

  bool has_proof() const { return m_proved_at.has_value(); }

  // Time since the last proof; nothing before the first one.
  std::optional<base::duration> age(base::time_point now) const {
    return m_proved_at ? std::optional(now - *m_proved_at) : std::nullopt;
  }

  bool is_valid(base::time_point now) const {
    return m_proved_at && (m_bound.count() == 0 || now - *m_proved_at < m_bound);
  }

  // Longest time for which a proof may be used; 0 means no bound.
  base::duration bound() const { return m_bound; }

  void set_bound(base::duration bound) { m_bound = bound; }

 private:
  base::duration m_bound;
  std::optional<base::time_point> m_proved_at;
};

}  // namespace fuchsiaspring::fleet
