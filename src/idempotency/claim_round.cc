#include "fuchsiaspring/idempotency/claim_round.h"

#include <algorithm>
#include <utility>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::idempotency {
namespace {

constexpr std::size_t recorders_per_key = 3;

}  // namespace

recorder_group choose_recorders(const schema::VmList& list, std::string_view scope,
                                std::string_view key_digest) {
  std::vector<std::string> names;
  std::vector<std::string> domains;
  for (const auto& vm : list.vms()) {
    if (vm.state() == schema::VM_STATE_LEAVING) {
      continue;
    }
    names.push_back(vm.name());
    domains.push_back(vm.failure_domain());
  }
  std::string key(scope);
  key += '\n';
  key += key_digest;
  const std::vector<std::size_t> order = base::rendezvous_top(key, names, names.size());
  recorder_group group;
  std::set<std::string> used_domains;
  std::vector<std::string> remaining;
  for (const std::size_t index : order) {
    if (group.members.size() < recorders_per_key && used_domains.insert(domains[index]).second) {
      group.members.push_back(names[index]);
      continue;
    }
    remaining.push_back(names[index]);
  }
  for (std::string& name : remaining) {
    if (group.members.size() == recorders_per_key) {
      break;
    }
    group.members.push_back(std::move(name));
  }
  group.quorum = group.members.size() / 2 + 1;
  return group;
}

claim_round::claim_round(schema::RecordKey request, std::vector<recorder_group> groups,
                         const claim_limits& limits, base::time_point now)
    : m_request(std::move(request)), m_groups(std::move(groups)), m_limits(limits), m_started(now) {
  for (const recorder_group& group : m_groups) {
    for (const std::string& name : group.members) {
      m_members[name].next_request = now;
    }
  }
  update_state();
}

std::vector<std::string> claim_round::take_due_recorders(base::time_point now) {
  std::vector<std::string> due;
  if (m_state != claim_state::pending) {
    return due;
  }
  for (auto& [name, recorder_state] : m_members) {
    if (recorder_state.recorded || recorder_state.abstained || now < recorder_state.next_request) {
      continue;
    }
    recorder_state.next_request = now + m_limits.resend_interval;
    m_contacted.insert(name);
    due.push_back(name);
  }
  return due;
}

void claim_round::on_reply(const std::string& recorder, const schema::RecordReply& reply,
                           base::time_point now) {
  advance(now);
  const auto found = m_members.find(recorder);
  if (m_state != claim_state::pending || found == m_members.end() ||
      reply.attempt_id() != m_request.attempt_id() ||
      reply.key_digest() != m_request.key_digest()) {
    return;
  }
  m_newest_version = std::max(m_newest_version, reply.list_version());
  switch (reply.verdict()) {
    case schema::RECORD_VERDICT_DUPLICATE:
      m_holder_state = reply.state();
      m_holder_http_status = reply.http_status();
      m_state = claim_state::duplicate;
      return;
    case schema::RECORD_VERDICT_RECORDED:
      // A delayed reply to an earlier round of this attempt is valid for its own version only.
      found->second.recorded |= reply.list_version() == m_request.list_version();
      break;
    case schema::RECORD_VERDICT_ABSTAIN:
      found->second.abstained |= reply.list_version() == m_request.list_version();
      break;
    case schema::RECORD_VERDICT_OTHER_VERSION:
      if (reply.list_version() > m_request.list_version()) {
        m_state = claim_state::superseded;
        return;
      }
      break;  // the recorder fetches the newer list; the request is sent again
    default:
      break;  // the recorder has no list yet; the request is sent again
  }
  update_state();
}

void claim_round::update_state() {
  if (m_groups.empty()) {
    m_state = claim_state::unconfirmed;
    return;
  }
  bool complete = true;
  for (const recorder_group& group : m_groups) {
    std::size_t recorded = 0;
    std::size_t possible = 0;
    for (const std::string& name : group.members) {
      const member& recorder_state = m_members[name];
      recorded += recorder_state.recorded ? 1 : 0;
      possible += recorder_state.abstained && !recorder_state.recorded ? 0 : 1;
    }
    if (group.quorum == 0 || possible < group.quorum) {
      m_state = claim_state::unconfirmed;
      return;
    }
    complete = complete && recorded >= group.quorum;
  }
  if (complete) {
    m_state = claim_state::granted;
  }
}

void claim_round::advance(base::time_point now) {
  if (m_state == claim_state::pending && now >= deadline()) {
    m_state = claim_state::unconfirmed;
  }
}

void claim_round::supersede() {
  if (m_state == claim_state::pending) {
    m_state = claim_state::superseded;
  }
}

bool claim_round::may_dispatch(base::time_point now) const {
  return m_state == claim_state::granted && now - m_started <= m_limits.grant_max_age;
}

}  // namespace fuchsiaspring::idempotency
