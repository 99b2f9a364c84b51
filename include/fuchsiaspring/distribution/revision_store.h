// The highest valid configuration revision that one agent holds.
//
//   revision_store store(is_valid);
//   if (store.offer(bundle) == offer_result::adopted) { push store.current() }
//   store.on_peer_revision("vm2", heartbeat.bundle_revision());
//   if (auto reason = store.not_ready_reason(list, "vm1")) { report *reason }
//
// A revision is never replaced by a lower one while the process runs. Not thread-safe; the agent's
// task owns it.
#pragma once

#include <messages.pb.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::distribution {

enum class offer_result {
  adopted,    // now the current revision
  not_newer,  // the current revision is as high
  refused,    // higher but not valid as a whole
};

class revision_store {
 public:
  // Verifies a bundle as a whole, including its digest.
  using bundle_verifier = std::function<base::result<void>(const schema::Bundle&)>;

  explicit revision_store(bundle_verifier verify);

  // Takes a bundle from the service or a peer. The same refused bytes are verified and counted
  // once.
  offer_result offer(const schema::Bundle& bundle);

  // The current bundle, or nullptr before the first.
  const schema::Bundle* current() const { return m_current ? &*m_current : nullptr; }
  std::uint64_t revision() const { return m_current ? m_current->revision() : 0; }

  // Highest refused revision that is newer than the current one, or 0; and the reason for that
  // refusal.
  std::uint64_t refused_revision() const;
  const std::string& refusal_reason() const { return m_refusal_reason; }
  std::uint64_t refused_count() const { return m_refused_count; }

  // A peer reported its revision. 0 is ignored: that peer has no configuration yet.
  void on_peer_revision(const std::string& name, std::uint64_t revision);

  // Why this agent may not serve yet, or nothing. It is ready if it holds a valid bundle and a VM
  // list and, where the list has other VMs, at least one of them has reported its revision and no
  // reported revision is above the highest one held or refused here. A stale service alone could
  // otherwise roll the configuration back. Once ready, the agent stays ready.
  std::optional<std::string> not_ready_reason(const schema::VmList* list, const std::string& self);

 private:
  const bundle_verifier m_verify;
  std::optional<schema::Bundle> m_current;
  std::set<std::string> m_reporting_peers;
  std::uint64_t m_highest_peer_revision = 0;  // 0 before the first report
  std::uint64_t m_refused_revision = 0;
  std::string m_refused_digest;
  std::string m_refusal_reason;
  std::uint64_t m_refused_count = 0;
  bool m_ready = false;
};

}  // namespace fuchsiaspring::distribution
