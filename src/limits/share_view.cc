#include "limits/share_view.h"

#include <algorithm>
#include <set>

namespace fuchsiaspring::limits::internal {
namespace {

// Clocks may differ in rate by 10%; the margin covers delays of messages and timers.
constexpr double clock_margin = 1.1;
constexpr base::duration lease_margin = std::chrono::milliseconds(200);
// After more distinct slices than this without a view in force, the share is 0 until one is.
constexpr std::size_t max_slices = 64;

base::duration with_clock_margin(base::duration value) {
  return base::from_seconds(base::to_seconds(value) * clock_margin);
}

bool contains(const std::vector<std::string>& sorted, const std::string& name) {
  return std::ranges::binary_search(sorted, name);
}

}  // namespace

share_view::share_view(const ledger_identity& identity, const ledger_settings& settings,
                       base::time_point now)
    : m_identity(identity),
      m_settings(settings),
      m_loan_lifetime(with_clock_margin(settings.lease + settings.max_request) + lease_margin),
      m_started_at(now),
      m_view_since(now) {}

void share_view::update_holders(const std::vector<std::string>& users, base::time_point now) {
  for (const std::string& user : users) {
    m_holders[user] = std::nullopt;
  }
  for (auto& [name, left_at] : m_holders) {
    if (!contains(users, name) && !left_at) {
      left_at = now;
    }
  }
}

void share_view::update(const view_version& version, const std::vector<std::string>& users,
                        base::time_point now) {
  if (!is_newer(version, m_version)) {
    return;
  }
  std::vector<std::string> sorted = users;
  std::ranges::sort(sorted);
  const bool unchanged = in_force() && sorted == m_users;
  m_version = version;
  m_settled_reports.clear();
  m_probe_replies.clear();
  m_probe_round = 0;
  if (unchanged) {
    m_base_version = version;
    return;
  }
  m_announced_to.clear();
  // The possible holders before this view are the users of all views up to the previous one.
  update_holders(m_users, now);
  for (auto& [name, left_at] : m_holders) {
    left_at = contains(sorted, name) ? std::nullopt : (left_at ? left_at : std::optional(now));
  }
  for (const std::string& user : m_users) {
    if (!contains(sorted, user)) {
      m_departed[user] = now;
    }
  }
  m_first_view_at = m_first_view_at ? m_first_view_at : now;
  m_users = std::move(sorted);
  m_broker = broker_of(m_identity.upstream, m_users);
  m_view_since = now;
  m_slice = find_slice(m_identity.upstream, m_users, m_identity.self);
  m_witness = m_base_version && m_always_member;
  m_always_member = m_always_member && m_slice;
  if (!m_slice || m_slices.size() >= max_slices) {
    m_excluded = true;
  } else if (std::ranges::find(m_slices, *m_slice) == m_slices.end()) {
    m_slices.push_back(*m_slice);
  }
  m_next_settled = now;
}

void share_view::on_majority_contact(base::time_point now) {
  // While this VM was isolated, other VMs may have reclaimed its share in a view that it missed.
  // The present view must be confirmed before the share is used again.
  if (isolated(now)) {
    m_view_since = now;
    m_base_version.reset();
    m_witness = false;
    m_always_member = false;
    m_next_settled = now;
  }
  m_last_contact_at = now;
}

bool share_view::isolated(base::time_point now) const {
  return !m_last_contact_at || now - *m_last_contact_at >= m_settings.isolation_limit;
}

std::uint32_t share_view::share(std::uint32_t limit) const {
  if (!m_base_version || m_excluded) {
    return 0;
  }
  std::uint32_t lowest_share = m_slices.empty() ? 0 : limit;
  for (const share_slice& slice : m_slices) {
    lowest_share = std::min(lowest_share, slice.credits(limit));
  }
  return lowest_share;
}

bool share_view::may_have_old_loans(base::time_point now) const {
  return !m_old_loans_ended && now < m_started_at + m_loan_lifetime;
}

bool share_view::is_recovery_over(base::time_point now) const {
  return m_running_reported || now >= m_started_at + m_settings.recovery_window;
}

bool share_view::may_lend_to(const std::string& borrower) const {
  return m_base_version && contains(m_base_users, borrower);
}

std::vector<std::string> share_view::departed(base::time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, left_at] : m_departed) {
    // A VM that missed the new view may borrow until it is isolated.
    if (now - left_at < m_settings.reclaim_delay + m_loan_lifetime && !contains(m_users, name)) {
      names.push_back(name);
    }
  }
  return names;
}

bool share_view::knows_departed(base::time_point now) const {
  return in_force() && m_first_view_at &&
         (m_full_start || now - *m_first_view_at >= m_settings.reclaim_delay + m_loan_lifetime);
}

void share_view::put_in_force(base::time_point now) {
  m_base_version = m_version;
  m_base_users = m_users;
  m_slices.clear();
  m_excluded = !m_slice;
  if (m_slice) {
    m_slices.push_back(*m_slice);
  }
  m_always_member = m_slice.has_value();
  m_holders.clear();
  update_holders(m_users, now);
}

bool share_view::is_settled(const holdings& held, base::time_point now) const {
  const std::uint32_t allowed = m_slice ? m_slice->credits(held.limit) : 0;
  return m_version != view_version{} && is_recovery_over(now) &&
         held.own_in_use + held.lent <= allowed;
}

share_settled share_view::make_settled(std::uint64_t round, base::time_point now) const {
  share_settled message{.view = m_version,
                        .incarnation = m_identity.incarnation,
                        .round = round,
                        .fresh = may_have_old_loans(now),
                        .in_force = in_force(),
                        .has_history = m_base_version.has_value(),
                        .witness = m_witness,
                        .leavers = {},
                        .newcomers = {}};
  for (const auto& [name, left_at] : m_holders) {
    // After this time a VM that left is isolated and its last request has ended.
    if (left_at && now - *left_at < m_settings.reclaim_delay) {
      message.leavers.push_back(name);
    }
  }
  for (const std::string& user : m_users) {
    if (!m_holders.contains(user)) {
      message.newcomers.push_back(user);
    }
  }
  return message;
}

std::vector<outgoing_message> share_view::tick(const holdings& held, base::time_point now) {
  std::vector<outgoing_message> out;
  if (m_version == view_version{} || in_force()) {
    return out;
  }
  if (!isolated(now) && now - m_view_since >= m_settings.reclaim_delay) {
    put_in_force(now);
    return out;
  }
  if (is_settled(held, now) && now >= m_next_settled && !m_users.empty()) {
    m_next_settled = now + m_settings.settle_interval;
    const share_settled message = make_settled(0, now);
    out.push_back({m_broker, message});
    // If the broker has restarted, another user may have recorded that the view is in force.
    const std::string& peer = m_users[m_next_peer_index++ % m_users.size()];
    if (peer != m_broker && peer != m_identity.self) {
      out.push_back({peer, message});
    }
  }
  if (m_broker == m_identity.self && m_probe_round != 0 && now >= m_next_probe) {
    m_next_probe = now + m_settings.settle_interval;
    for (const auto& [name, record] : m_settled_reports) {
      out.push_back({name, share_probe{m_version, m_probe_round}});
    }
  }
  return out;
}

std::vector<outgoing_message> share_view::on_settled(const std::string& from,
                                                     const share_settled& message,
                                                     base::time_point now) {
  if (message.view != m_version) {
    return {};
  }
  if (in_force()) {
    const auto announced = m_announced_to.find(from);
    const bool state_checked =
        announced != m_announced_to.end() && announced->second == message.incarnation;
    return {{from, share_in_force{m_version, state_checked ? message.incarnation : 0}}};
  }
  if (message.in_force) {
    on_in_force({.view = m_version}, now);
    return {};
  }
  if (m_broker != m_identity.self) {
    return {};
  }
  if (message.round != 0 && message.round == m_probe_round) {
    m_probe_replies[from] = message.incarnation;
  }
  m_settled_reports[from] = message;
  return announce_if_settled(now);
}

std::vector<outgoing_message> share_view::announce_if_settled(base::time_point now) {
  std::set<std::string> required(m_users.begin(), m_users.end());
  std::optional<std::set<std::string>> newcomers;
  for (const auto& [name, record] : m_settled_reports) {
    required.insert(record.leavers.begin(), record.leavers.end());
    if (!record.witness) {
      continue;
    }
    const std::set<std::string> reported(record.newcomers.begin(), record.newcomers.end());
    if (!newcomers) {
      newcomers = reported;
      continue;
    }
    std::erase_if(*newcomers, [&](const std::string& each) { return !reported.contains(each); });
  }
  for (const std::string& name : required) {
    const auto record = m_settled_reports.find(name);
    if (record == m_settled_reports.end()) {
      return {};
    }
    // A newcomer had no credits to lend before its restart.
    if (newcomers && record->second.fresh && !newcomers->contains(name)) {
      return {};
    }
  }
  if (!newcomers) {
    return announce_full_start(now);
  }
  return announce(false);
}

// No holder has a record of a view in force: all have restarted or were isolated. The replies of
// one round, each sent after the start of its sender, show that none of them holds borrowed credits
// or accepts older grants.
std::vector<outgoing_message> share_view::announce_full_start(base::time_point now) {
  const bool any_history = std::ranges::any_of(
      m_settled_reports, [](const auto& entry) { return entry.second.has_history; });
  // A holder that left the list may receive this view, and report its credits, after the users.
  const bool early = now - m_view_since < m_settings.full_start_delay;
  if (!m_settings.allow_full_start || any_history || early) {
    return {};
  }
  const bool restarted_since = std::ranges::any_of(m_probe_replies, [&](const auto& reply) {
    const auto record = m_settled_reports.find(reply.first);
    return record == m_settled_reports.end() || record->second.incarnation != reply.second;
  });
  if (m_probe_round == 0 || restarted_since) {
    m_probe_round = static_cast<std::uint64_t>(now.time_since_epoch().count()) | 1U;
    m_probe_replies.clear();
    m_next_probe = now;
    return {};
  }
  return m_probe_replies.size() == m_settled_reports.size() ? announce(true)
                                                            : std::vector<outgoing_message>{};
}

std::vector<outgoing_message> share_view::announce(bool full_start) {
  std::vector<outgoing_message> out;
  for (const auto& [name, record] : m_settled_reports) {
    m_announced_to[name] = record.incarnation;
    out.push_back({name, share_in_force{m_version, record.incarnation, full_start}});
  }
  m_settled_reports.clear();
  m_probe_replies.clear();
  m_probe_round = 0;
  return out;
}

std::optional<outgoing_message> share_view::on_probe(const std::string& from,
                                                     const share_probe& message,
                                                     const holdings& held, base::time_point now) {
  const bool ready = is_settled(held, now) && held.borrowed == 0;
  if (message.view != m_version || (!ready && !in_force())) {
    return std::nullopt;
  }
  return outgoing_message{from, make_settled(message.round, now)};
}

void share_view::on_in_force(const share_in_force& message, base::time_point now) {
  const bool state_checked = message.incarnation == m_identity.incarnation;
  if (message.view != m_version || in_force() || (!state_checked && may_have_old_loans(now))) {
    return;
  }
  m_old_loans_ended = m_old_loans_ended || state_checked;
  m_full_start = m_full_start || (state_checked && message.full_start);
  put_in_force(now);
}

}  // namespace fuchsiaspring::limits::internal
