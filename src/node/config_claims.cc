#include "fuchsiaspring/node/config_claims.h"

#include <algorithm>

namespace fuchsiaspring::node {

void config_claims::record(const std::string& peer, const config_claim& stated,
                           base::time_point now) {
  if (stated.version == 0) {
    forget(peer);
    return;
  }
  peer_claim& known = m_claims[peer];
  if (known.stated.version != stated.version) {
    known.since = now;
  }
  known.stated = stated;
}

void config_claims::forget(const std::string& peer) {
  m_claims.erase(peer);
}

void config_claims::on_answer(const std::string& peer, bool is_borne_out, base::time_point now) {
  const auto found = m_claims.find(peer);
  if (found == m_claims.end()) {
    return;
  }
  if (found->second.stated.is_settled) {
    m_is_answer_due = false;
    m_has_answer = true;
  }
  if (!is_borne_out) {
    found->second.ignored_until = now + distrust_time;
  }
}

void config_claims::on_no_answer(const std::string& peer, base::time_point now) {
  const auto found = m_claims.find(peer);
  if (found != m_claims.end()) {
    found->second.may_be_asked_at = now + retry_interval;
  }
}

std::uint64_t config_claims::version_of(std::string_view peer) const {
  const auto found = m_claims.find(peer);
  return found == m_claims.end() ? 0 : found->second.stated.version;
}

std::uint64_t config_claims::highest() const {
  std::uint64_t version = 0;
  for (const auto& [peer, each] : m_claims) {
    version = std::max(version, each.stated.version);
  }
  return version;
}

bool config_claims::contradicts(const peer_claim& each, const proved_config& held,
                                base::time_point now) const {
  if (each.stated.version <= held.version || now < each.ignored_until) {
    return false;
  }
  return held.proved_at > each.since || now < m_eager_until;
}

claim_verdict config_claims::check(const proved_config& held, base::random_source& random,
                                   base::time_point now) {
  claim_verdict verdict;
  bool is_contradicted = false;
  for (auto& [peer, each] : m_claims) {
    if (!contradicts(each, held, now)) {
      each.contradicts_since.reset();
      continue;
    }
    each.contradicts_since = each.contradicts_since.value_or(now);
    if (now - *each.contradicts_since < max_wait) {
      is_contradicted = true;
      continue;
    }
    each.contradicts_since.reset();
    each.ignored_until = now + distrust_time;
    verdict.ignored.push_back(peer);
  }
  const bool must_wait = held.may_be_copy && !m_has_answer && now < m_wait_until;
  if (is_contradicted || (m_is_answer_due && held.may_be_copy)) {
    verdict.ask = choose_peer(is_contradicted, random, now);
  }
  m_is_used = m_is_used || !(must_wait || is_contradicted);
  verdict.may_use = m_is_used;
  verdict.may_prove = m_is_used && !is_contradicted;
  verdict.is_settled = m_is_used && (!held.may_be_copy || m_has_answer || now >= m_settled_at);
  return verdict;
}

std::optional<std::string> config_claims::choose_peer(bool is_contradicted,
                                                      base::random_source& random,
                                                      base::time_point now) const {
  std::vector<const std::string*> highest_peers;
  std::uint64_t highest_version = 0;
  for (const auto& [peer, each] : m_claims) {
    const bool may_ask =
        now >= each.ignored_until && now >= each.may_be_asked_at &&
        (is_contradicted ? each.contradicts_since.has_value() : each.stated.is_settled);
    if (!may_ask || each.stated.version < highest_version) {
      continue;
    }
    if (each.stated.version > highest_version) {
      highest_version = each.stated.version;
      highest_peers.clear();
    }
    highest_peers.push_back(&peer);
  }
  if (highest_peers.empty()) {
    return std::nullopt;
  }
  return *highest_peers[random.uniform_below(highest_peers.size())];
}

}  // namespace fuchsiaspring::node
