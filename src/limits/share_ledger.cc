#include "fuchsiaspring/limits/share_ledger.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <utility>

#include "limits/demand_peak.h"
#include "limits/loan_broker.h"
#include "limits/loan_inquiry.h"
#include "limits/loan_table.h"
#include "limits/share_view.h"

namespace fuchsiaspring::limits {
namespace internal {

using outbox = std::vector<outgoing_message>;

// Credits not needed in the last one to two windows are lent, or returned if they are borrowed. A
// recall frees a credit about as fast as the end of one of the lender's own requests.
constexpr base::duration idle_window = std::chrono::milliseconds(100);

class ledger_state {
 public:
  ledger_state(ledger_identity identity, const ledger_settings& settings, base::time_point now)
      : m_identity(std::move(identity)),
        m_settings(settings),
        m_view(m_identity, settings, now),
        m_loans(m_identity, settings, m_view.loan_lifetime(), now),
        m_inquiry(m_identity, settings) {}

  share_view& view() { return m_view; }
  void set_limit(std::uint32_t limit) { m_limit = limit; }
  void set_demand(std::vector<std::uint32_t> queued) { m_queued = std::move(queued); }

  void on_start(base::time_point now, request_origin origin) {
    ++m_in_use;
    m_in_use_before_restart += origin == request_origin::before_restart ? 1 : 0;
    record_demand(now);
  }
  void on_finish(request_origin origin) {
    m_in_use -= m_in_use > 0 ? 1 : 0;
    m_in_use_before_restart -=
        origin == request_origin::before_restart && m_in_use_before_restart > 0 ? 1 : 0;
  }

  std::uint32_t in_use() const { return m_in_use; }
  std::uint32_t usable_slots(base::time_point now) const {
    return m_view.isolated(now) ? 0 : unlent() + m_loans.usable_borrowed(now);
  }

  outbox on_message(const std::string& from, const share_message& body, base::time_point now) {
    return handle_local(
        std::visit([&](const auto& message) { return handle(from, message, now); }, body), now);
  }
  outbox tick(base::time_point now);
  ledger_status status(base::time_point now) const;

 private:
  std::uint32_t queued() const { return std::accumulate(m_queued.begin(), m_queued.end(), 0U); }
  void record_demand(base::time_point now) { m_peak.record(m_in_use + queued(), now); }
  // Own credits that are not lent.
  std::uint32_t unlent() const {
    const std::uint32_t share = m_view.share(m_limit);
    const std::uint32_t lent = m_loans.lent();
    return share > lent ? share - lent : 0;
  }
  loan_context context(base::time_point now) const;
  holdings current_holdings(base::time_point now) const;
  std::vector<std::uint32_t> missing_by_tier(base::time_point now) const;
  void request_or_offer_credits(outbox& out, base::time_point now);

  // Handles messages addressed to this VM and returns the others.
  outbox handle_local(outbox messages, base::time_point now);

  outbox handle(const std::string& from, const loan_request& message, base::time_point now) {
    return m_broker.on_request(from, message, now);
  }
  outbox handle(const std::string& from, const loan_order& message, base::time_point now);
  outbox handle(const std::string& from, const loan_grant& message, base::time_point now) {
    return as_outbox(m_loans.on_grant(from, message, now));
  }
  outbox handle(const std::string& from, const loan_renewal& message, base::time_point now) {
    return m_view.may_lend_to(from)
               ? as_outbox(m_loans.on_renewal(from, message, context(now), now))
               : outbox{};
  }
  outbox handle(const std::string& from, const loan_return& message, base::time_point now);
  outbox handle(const std::string& from, const loan_recall& message, base::time_point now) {
    return as_outbox(m_loans.on_recall(from, message, now));
  }
  outbox handle(const std::string& from, const share_settled& message, base::time_point now) {
    return m_view.on_settled(from, message, now);
  }
  outbox handle(const std::string& from, const share_probe& message, base::time_point now);
  outbox handle(const std::string& from, const share_in_force& message, base::time_point now);
  outbox handle(const std::string& from, const loan_inquiry_request& message, base::time_point now);
  outbox handle(const std::string& from, const loan_statement& message, base::time_point now);

  static outbox as_outbox(std::optional<outgoing_message> message) {
    outbox out;
    if (message) {
      out.push_back(std::move(*message));
    }
    return out;
  }

  ledger_identity m_identity;
  ledger_settings m_settings;
  std::uint32_t m_limit = 0;
  std::uint32_t m_in_use = 0;
  std::uint32_t m_in_use_before_restart = 0;  // part of m_in_use
  std::vector<std::uint32_t> m_queued;
  demand_peak m_peak{idle_window};
  share_view m_view;
  loan_table m_loans;
  loan_broker m_broker;
  loan_inquiry m_inquiry;
  base::time_point m_next_request{};
  base::time_point m_next_offer{};
  base::time_point m_next_offer_refresh{};
  std::uint32_t m_offered = 0;
};

loan_context ledger_state::context(base::time_point now) const {
  const std::uint32_t share = m_view.share(m_limit);
  const std::uint32_t lent = m_loans.lent();
  const bool within_share =
      lent <= share && m_in_use <= share - lent + m_loans.reserved_by_lenders(now);
  return {.unlent = unlent(),
          .in_use = m_in_use,
          .queued = queued(),
          .peak = m_peak.value(),
          .may_lend = within_share && !m_view.isolated(now)};
}

holdings ledger_state::current_holdings(base::time_point now) const {
  const std::uint32_t reserved_by_lenders = m_loans.reserved_by_lenders(now);
  return {.limit = m_limit,
          .own_in_use = m_in_use > reserved_by_lenders ? m_in_use - reserved_by_lenders : 0,
          .lent = m_loans.lent(),
          .borrowed = m_loans.borrowed()};
}

outbox ledger_state::handle(const std::string& /*from*/, const loan_order& message,
                            base::time_point now) {
  if (!m_view.may_lend_to(message.borrower)) {
    return {};
  }
  return as_outbox(m_loans.on_order(message, context(now), now));
}

outbox ledger_state::handle(const std::string& from, const loan_return& message,
                            base::time_point now) {
  m_loans.on_return(from, message);
  return as_outbox(m_loans.lend_to_waiting(context(now), now));
}

outbox ledger_state::handle(const std::string& from, const share_probe& message,
                            base::time_point now) {
  std::optional<outgoing_message> reply =
      m_view.on_probe(from, message, current_holdings(now), now);
  if (reply) {
    m_loans.drop_requests();
  }
  return as_outbox(std::move(reply));
}

outbox ledger_state::handle(const std::string& /*from*/, const share_in_force& message,
                            base::time_point now) {
  m_view.on_in_force(message, now);
  return {};
}

outbox ledger_state::handle(const std::string& from, const loan_inquiry_request& message,
                            base::time_point now) {
  if (!m_view.is_recovery_over(now)) {
    return {};
  }
  // A request from before a restart of this VM may use a loan that the restart erased.
  const std::uint32_t open = m_loans.end_older_loans(from, message.incarnation, context(now), now) +
                             m_in_use_before_restart;
  return as_outbox(outgoing_message{
      from, loan_statement{
                .view = message.view,
                .incarnation = message.incarnation,
                .open = open,
                .knows_departed = message.view == m_view.version() && m_view.knows_departed(now),
                .departed = m_view.departed(now)}});
}

outbox ledger_state::handle(const std::string& from, const loan_statement& message,
                            base::time_point now) {
  m_inquiry.on_statement(from, message);
  if (m_view.may_have_old_loans(now) && m_inquiry.is_finished(m_view.users())) {
    m_view.on_old_loans_ended();
  }
  return {};
}

outbox ledger_state::handle_local(outbox messages, base::time_point now) {
  outbox out;
  std::deque<outgoing_message> pending(std::make_move_iterator(messages.begin()),
                                       std::make_move_iterator(messages.end()));
  while (!pending.empty()) {
    outgoing_message next = std::move(pending.front());
    pending.pop_front();
    if (next.to != m_identity.self) {
      out.push_back(std::move(next));
      continue;
    }
    outbox replies = std::visit(
        [&](const auto& message) { return handle(m_identity.self, message, now); }, next.body);
    std::ranges::move(replies, std::back_inserter(pending));
  }
  return out;
}

// Returns the credits that queued requests of each tier lack, at most the limit in total, or
// nothing if none lacks any. Free credits go to the highest tiers first.
std::vector<std::uint32_t> ledger_state::missing_by_tier(base::time_point now) const {
  const std::uint32_t bound = usable_slots(now);
  std::uint32_t free = bound > m_in_use ? bound - m_in_use : 0;
  std::uint32_t allowed = m_limit;
  std::vector<std::uint32_t> missing;
  for (const std::uint32_t queued_in_tier : m_queued) {
    const std::uint32_t served = std::min(queued_in_tier, free);
    free -= served;
    missing.push_back(std::min(queued_in_tier - served, allowed));
    allowed -= missing.back();
  }
  const bool any_missing = std::ranges::any_of(missing, [](auto each) { return each > 0; });
  return any_missing ? missing : std::vector<std::uint32_t>{};
}

void ledger_state::request_or_offer_credits(outbox& out, base::time_point now) {
  if (m_view.broker().empty() || m_view.isolated(now)) {
    return;
  }
  std::vector<std::uint32_t> missing = missing_by_tier(now);
  if (!missing.empty()) {
    if (now >= m_next_request) {
      m_next_request = now + m_settings.request_interval;
      m_offered = 0;
      out.push_back({m_view.broker(), loan_request{.id = m_loans.open_request(now),
                                                   .demand_by_tier = std::move(missing),
                                                   .lent = m_loans.lent(),
                                                   .held = usable_slots(now)}});
    }
    return;
  }
  const std::uint32_t spare = m_loans.spare(context(now));
  const bool changed =
      (spare == 0) != (m_offered == 0) || spare > 2 * m_offered || 2 * spare < m_offered;
  const bool refresh = now >= m_next_offer_refresh && (spare > 0 || m_loans.lent() > 0);
  if (now >= m_next_offer && (changed || refresh)) {
    m_next_offer = now + m_settings.offer_interval;
    m_next_offer_refresh = now + m_settings.offer_refresh;
    m_offered = spare;
    out.push_back(
        {m_view.broker(),
         loan_request{.id = {}, .demand_by_tier = {}, .spare = spare, .lent = m_loans.lent()}});
  }
}

outbox ledger_state::tick(base::time_point now) {
  record_demand(now);
  outbox out = m_view.tick(current_holdings(now), now);
  if (m_view.may_have_old_loans(now) && m_view.is_recovery_over(now)) {
    std::ranges::move(m_inquiry.tick(m_view.version(), m_view.users(), now),
                      std::back_inserter(out));
  }
  std::ranges::move(m_loans.tick(context(now), now), std::back_inserter(out));
  request_or_offer_credits(out, now);
  return handle_local(std::move(out), now);
}

ledger_status ledger_state::status(base::time_point now) const {
  return {.limit = m_limit,
          .share = m_view.share(m_limit),
          .lent = m_loans.lent(),
          .borrowed = m_loans.borrowed(),
          .in_use = m_in_use,
          .view_in_force = m_view.in_force(),
          .isolated = m_view.isolated(now)};
}

}  // namespace internal

share_ledger::share_ledger(ledger_identity identity, const ledger_settings& settings,
                           base::time_point now)
    : m_state(std::make_unique<internal::ledger_state>(std::move(identity), settings, now)) {}
share_ledger::~share_ledger() = default;
share_ledger::share_ledger(share_ledger&&) noexcept = default;
share_ledger& share_ledger::operator=(share_ledger&&) noexcept = default;

void share_ledger::update_view(const view_version& version, const std::vector<std::string>& users,
                               base::time_point now) {
  m_state->view().update(version, users, now);
}

void share_ledger::set_limit(std::uint32_t limit) {
  m_state->set_limit(limit);
}

void share_ledger::on_majority_contact(base::time_point now) {
  m_state->view().on_majority_contact(now);
}

void share_ledger::set_demand(std::vector<std::uint32_t> queued_by_tier) {
  m_state->set_demand(std::move(queued_by_tier));
}

void share_ledger::on_start(base::time_point now, request_origin origin) {
  m_state->on_start(now, origin);
}

void share_ledger::on_running_reported() {
  m_state->view().on_running_reported();
}

void share_ledger::on_finish(base::time_point /*now*/, request_origin origin) {
  m_state->on_finish(origin);
}

std::uint32_t share_ledger::usable_slots(base::time_point now) const {
  return m_state->usable_slots(now);
}

std::uint32_t share_ledger::in_use() const {
  return m_state->in_use();
}

std::vector<outgoing_message> share_ledger::on_message(const std::string& from,
                                                       const share_message& body,
                                                       base::time_point now) {
  return m_state->on_message(from, body, now);
}

std::vector<outgoing_message> share_ledger::tick(base::time_point now) {
  return m_state->tick(now);
}

ledger_status share_ledger::status(base::time_point now) const {
  return m_state->status(now);
}

}  // namespace fuchsiaspring::limits
