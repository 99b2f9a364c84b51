#include "apps/scheduler/upstream_shares.h"

#include <algorithm>
#include <set>
#include <utility>

#include "apps/scheduler/policy_builder.h"
#include "apps/scheduler/share_codec.h"
#include "fuchsiaspring/routing/subset.h"

namespace fuchsiaspring::scheduler {

upstream_shares::upstream_shares(std::string self, std::uint64_t incarnation,
                                 limits::ledger_settings settings, send_function send)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_settings(settings),
      m_send(std::move(send)) {}

limits::share_ledger* upstream_shares::find(const std::string& upstream) {
  const auto found = m_ledgers.find(upstream);
  return found == m_ledgers.end() ? nullptr : &found->second;
}

const limits::share_ledger* upstream_shares::find(const std::string& upstream) const {
  const auto found = m_ledgers.find(upstream);
  return found == m_ledgers.end() ? nullptr : &found->second;
}

void upstream_shares::send_all(const std::string& upstream,
                               const std::vector<limits::outgoing_message>& messages) {
  for (const limits::outgoing_message& message : messages) {
    m_send(message.to, encode(upstream, m_self, message.body));
  }
}

void upstream_shares::update(const routing::router_config& config, const schema::VmList& list,
                             std::uint64_t revision, base::time_point now) {
  if (list.version() == 0) {
    return;
  }
  const auto vms = sharing_vms(list);
  std::set<std::string> configured;
  for (const routing::pool_config& pool : config.pools) {
    const auto users = routing::users_by_upstream(config, pool, vms);
    for (std::size_t i = 0; i < pool.upstreams.size(); ++i) {
      const std::string& name = pool.upstreams[i].name;
      configured.insert(name);
      auto* ledger = find(name);
      if (ledger == nullptr) {
        ledger =
            &m_ledgers
                 .try_emplace(name,
                              limits::ledger_identity{
                                  .upstream = name, .self = m_self, .incarnation = m_incarnation},
                              m_settings, now)
                 .first->second;
      }
      if (m_running_reported) {
        ledger->on_running_reported();
      }
      ledger->update_view({.list = list.version(), .bundle = revision}, users[i], now);
    }
  }
  // A removed upstream keeps its ledger while requests run there, since it may come back.
  std::erase_if(m_ledgers, [&](const auto& item) {
    return !configured.contains(item.first) && item.second.in_use() == 0;
  });
}

void upstream_shares::on_majority_contact(base::time_point now) {
  for (auto& [name, ledger] : m_ledgers) {
    ledger.on_majority_contact(now);
  }
}

void upstream_shares::set_limit(const std::string& upstream, std::uint32_t limit) {
  if (auto* ledger = find(upstream)) {
    ledger->set_limit(limit);
  }
}

void upstream_shares::set_demand(const std::string& upstream,
                                 std::vector<std::uint32_t> queued_by_tier) {
  if (auto* ledger = find(upstream)) {
    ledger->set_demand(std::move(queued_by_tier));
  }
}

bool upstream_shares::may_start(const std::string& upstream, base::time_point now) const {
  const auto* ledger = find(upstream);
  return ledger != nullptr && ledger->in_use() < ledger->usable_slots(now);
}

std::uint32_t upstream_shares::usable_slots(const std::string& upstream,
                                            base::time_point now) const {
  const auto* ledger = find(upstream);
  return ledger == nullptr ? 0 : ledger->usable_slots(now);
}

bool upstream_shares::is_in_force(base::time_point now) const {
  return !m_ledgers.empty() &&
         std::all_of(m_ledgers.begin(), m_ledgers.end(),
                     [&](const auto& item) { return item.second.status(now).view_in_force; });
}

bool upstream_shares::has_credits(base::time_point now) const {
  return std::any_of(m_ledgers.begin(), m_ledgers.end(),
                     [&](const auto& item) { return item.second.usable_slots(now) > 0; });
}

void upstream_shares::on_running_reported() {
  if (std::exchange(m_running_reported, true)) {
    return;
  }
  for (auto& [name, ledger] : m_ledgers) {
    ledger.on_running_reported();
  }
}

limits::ledger_status upstream_shares::status(const std::string& upstream,
                                              base::time_point now) const {
  const auto* ledger = find(upstream);
  return ledger == nullptr ? limits::ledger_status{} : ledger->status(now);
}

void upstream_shares::on_start(const std::string& upstream, limits::request_origin origin,
                               base::time_point now) {
  if (auto* ledger = find(upstream)) {
    ledger->on_start(now, origin);
  }
}

void upstream_shares::on_finish(const std::string& upstream, limits::request_origin origin,
                                base::time_point now) {
  if (auto* ledger = find(upstream)) {
    ledger->on_finish(now, origin);
  }
}

void upstream_shares::on_message(const schema::ShareMessage& message, base::time_point now) {
  auto* ledger = find(message.upstream());
  const auto body = decode(message);
  if (ledger == nullptr || !body) {
    return;
  }
  send_all(message.upstream(), ledger->on_message(message.sender_vm(), *body, now));
}

void upstream_shares::tick(base::time_point now) {
  for (auto& [name, ledger] : m_ledgers) {
    send_all(name, ledger.tick(now));
  }
}

}  // namespace fuchsiaspring::scheduler
