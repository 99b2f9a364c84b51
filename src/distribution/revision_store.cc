#include "fuchsiaspring/distribution/revision_store.h"

#include <algorithm>
#include <utility>

#include "fuchsiaspring/base/digest.h"

namespace fuchsiaspring::distribution {

revision_store::revision_store(bundle_verifier verify) : m_verify(std::move(verify)) {}

offer_result revision_store::offer(const schema::Bundle& bundle) {
  if (bundle.revision() <= revision()) {
    return offer_result::not_newer;
  }
  // A damaged copy must not hide the good one of the same revision, so refusals are recorded by
  // content.
  const auto content_digest = [&bundle] {
    return base::sha256_hex(std::to_string(bundle.revision()) + ' ' + bundle.digest() + ' ' +
                            bundle.catalog());
  };
  if (bundle.revision() == m_refused_revision && content_digest() == m_refused_digest) {
    return offer_result::refused;
  }
  if (const auto valid = m_verify(bundle); !valid) {
    ++m_refused_count;
    if (bundle.revision() >= m_refused_revision) {
      m_refused_revision = bundle.revision();
      m_refused_digest = content_digest();
      m_refusal_reason = valid.error().message;
    }
    return offer_result::refused;
  }
  m_current = bundle;
  return offer_result::adopted;
}

std::uint64_t revision_store::refused_revision() const {
  return m_refused_revision > revision() ? m_refused_revision : 0;
}

void revision_store::on_peer_revision(const std::string& name, std::uint64_t revision) {
  if (revision == 0 || m_ready) {
    return;
  }
  m_reporting_peers.insert(name);
  m_highest_peer_revision = std::max(m_highest_peer_revision, revision);
}

std::optional<std::string> revision_store::not_ready_reason(const schema::VmList* list,
                                                            const std::string& self) {
  if (m_ready) {
    return std::nullopt;
  }
  if (!m_current) {
    return m_refused_revision == 0 ? "no configuration" : "no valid configuration";
  }
  if (list == nullptr) {
    return "no VM list";
  }
  bool has_peer = false;
  bool has_report = false;
  for (const schema::VmEntry& vm : list->vms()) {
    if (vm.name() == self) {
      continue;
    }
    has_peer = true;
    has_report = has_report || m_reporting_peers.contains(vm.name());
  }
  if (has_peer && !has_report) {
    return "no peer has told its configuration revision";
  }
  if (has_peer && std::max(revision(), m_refused_revision) < m_highest_peer_revision) {
    return "a peer has a newer configuration";
  }
  m_ready = true;
  return std::nullopt;
}

}  // namespace fuchsiaspring::distribution
