#include "limits/loan_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fuchsiaspring::limits::internal {
namespace {

// Clock rates may differ by 10%; a recall waits until the lease has ended by every clock.
constexpr double clock_margin = 1.1;
constexpr base::duration lease_margin = std::chrono::milliseconds(200);
constexpr base::duration recall_interval = std::chrono::seconds(1);
constexpr base::duration repeat_interval = std::chrono::milliseconds(150);
constexpr base::duration renewal_interval = std::chrono::milliseconds(400);
// A waiting borrower repeats its request every 200 ms; this allows for two lost requests.
constexpr base::duration waiting_order_lifetime = std::chrono::milliseconds(700);
// One credit is recalled after this many leases if the borrower holds more credits than a waiting
// borrower of the same tier.
constexpr int leases_before_recall = 1;
// One credit is recalled immediately if that borrower holds at least this many more.
constexpr std::uint32_t immediate_recall_difference = 2;

// After the lease, the lender counts a credit as lent for the longest request. The borrower assumes
// only this fraction of that time, since the lender's clock may be faster.
constexpr double reserved_fraction = 0.9;

base::duration recall_delay(base::duration lease) {
  return base::from_seconds(base::to_seconds(lease) * clock_margin) + lease_margin;
}

}  // namespace

loan_table::loan_table(const ledger_identity& identity, const ledger_settings& settings,
                       base::duration loan_lifetime, base::time_point now)
    : m_identity(identity),
      m_settings(settings),
      m_loan_lifetime(loan_lifetime),
      m_started_at(now) {}

std::uint32_t loan_table::lent() const {
  std::uint32_t total = 0;
  for (const lent_loan& loan : m_lent) {
    total += loan.open();
  }
  return total;
}

std::uint32_t loan_table::borrowed() const {
  std::uint32_t total = 0;
  for (const borrowed_loan& loan : m_borrowed) {
    total += loan.open();
  }
  return total;
}

bool loan_table::may_be_reclaimed(const borrowed_loan& loan, base::time_point now) const {
  return base::to_seconds(now - loan.lease_until) >=
         reserved_fraction * base::to_seconds(m_settings.max_request);
}

std::uint32_t loan_table::reserved_by_lenders(base::time_point now) const {
  std::uint32_t total = 0;
  for (const borrowed_loan& loan : m_borrowed) {
    total += may_be_reclaimed(loan, now) ? 0 : loan.open();
  }
  return total;
}

std::uint32_t loan_table::usable_borrowed(base::time_point now) const {
  std::uint32_t total = 0;
  for (const borrowed_loan& loan : m_borrowed) {
    total += loan.open() - loan.unusable(now);
  }
  return total;
}

std::uint32_t loan_table::spare(const loan_context& context) const {
  const std::uint32_t needed = std::max(context.in_use + context.queued, context.peak);
  if (!context.may_lend || !m_borrowed.empty() || context.unlent <= needed) {
    return 0;
  }
  return context.unlent - needed;
}

message_id loan_table::open_request(base::time_point now) {
  std::erase_if(m_pending_requests, [&](const pending_request& each) {
    return now - each.sent_at >= m_settings.lease;
  });
  m_pending_requests.push_back({.id = next_id(), .sent_at = now, .renews = {}, .accepted = {}});
  return m_pending_requests.back().id;
}

std::uint32_t loan_table::end_older_loans(const std::string& lender, std::uint64_t incarnation,
                                          const loan_context& context, base::time_point now) {
  auto& newest = m_lender_incarnations[lender];
  newest = std::max(newest, incarnation);
  for (borrowed_loan& loan : m_borrowed) {
    if (loan.lender == lender && loan.id.incarnation < incarnation) {
      loan.lease_until = std::min(loan.lease_until, now);
    }
  }
  // Returns credits that no request needs before counting the rest. The messages are dropped
  // because the restarted lender has no record of these loans.
  std::vector<outgoing_message> unsent_returns;
  return_credits(context, now, unsent_returns);
  std::uint32_t open = 0;
  for (const borrowed_loan& loan : m_borrowed) {
    if (loan.lender == lender && loan.id.incarnation < incarnation) {
      open += loan.open();
    }
  }
  return open;
}

loan_table::pending_request* loan_table::find_request(const message_id& id) {
  const auto found = std::ranges::find(m_pending_requests, id, &pending_request::id);
  return found == m_pending_requests.end() ? nullptr : &*found;
}

loan_table::borrowed_loan* loan_table::find_loan(const std::string& lender, const message_id& id) {
  const auto found = std::ranges::find_if(m_borrowed, [&](const borrowed_loan& each) {
    return each.id == id && each.lender == lender;
  });
  return found == m_borrowed.end() ? nullptr : &*found;
}

std::optional<outgoing_message> loan_table::on_order(const loan_order& order,
                                                     const loan_context& context,
                                                     base::time_point now) {
  const std::uint32_t credits = std::min(order.credits, spare(context));
  if (order.borrower == m_identity.self || order.credits == 0) {
    return std::nullopt;
  }
  if (credits == 0) {
    const bool none_waiting = !m_waiting_order || now >= m_waiting_until;
    // An order replaces the waiting one of another borrower only if it has a higher tier, or the
    // same tier and its borrower holds fewer credits.
    if (none_waiting || order.borrower == m_waiting_order->borrower ||
        std::tie(order.tier, order.held) < std::tie(m_waiting_order->tier, m_waiting_order->held)) {
      m_waiting_order = order;
      m_waiting_until = now + waiting_order_lifetime;
    }
    recall_for_waiting(now);
    return std::nullopt;
  }
  m_lent.push_back({.id = next_id(),
                    .request = order.request,
                    .borrower = order.borrower,
                    .credits = credits,
                    .tier = order.tier,
                    .held = order.held,
                    .granted_at = now,
                    .extended_at = now,
                    .next_recall = now + recall_delay(m_settings.lease),
                    .next_early_recall = now,
                    .next_repeat = now + repeat_interval});
  return outgoing_message{order.borrower, loan_grant{.request = order.request,
                                                     .loan = m_lent.back().id,
                                                     .credits = credits,
                                                     .lease = m_settings.lease}};
}

std::optional<outgoing_message> loan_table::on_grant(const std::string& from,
                                                     const loan_grant& grant,
                                                     base::time_point now) {
  if (grant.request.incarnation != m_identity.incarnation) {
    return std::nullopt;
  }
  pending_request* request = find_request(grant.request);
  const base::duration lease = std::min(grant.lease, m_settings.lease);
  borrowed_loan* existing = find_loan(from, grant.loan);
  const auto newest = m_lender_incarnations.find(from);
  const bool outdated =
      newest != m_lender_incarnations.end() && grant.loan.incarnation < newest->second;
  const bool late = outdated || request == nullptr || now - request->sent_at >= lease;
  if (existing != nullptr) {
    if (!late && request->renews && *request->renews == grant.loan) {
      existing->lease_until = std::max(existing->lease_until, request->sent_at + lease);
    }
    return outgoing_message{from, loan_return{grant.loan, existing->returned}};
  }
  const bool already_handled =
      request != nullptr && (request->renews || std::ranges::find(request->accepted, grant.loan) !=
                                                    request->accepted.end());
  if (late || already_handled) {
    return outgoing_message{from, loan_return{grant.loan, grant.credits}};
  }
  request->accepted.push_back(grant.loan);
  m_borrowed.push_back({.id = grant.loan,
                        .lender = from,
                        .credits = grant.credits,
                        .lease_until = request->sent_at + lease,
                        .next_renewal = now + renewal_interval});
  return outgoing_message{from, loan_return{grant.loan, 0}};
}

// Whether a credit of `loan` should be recalled for the waiting borrower.
bool loan_table::should_recall(const lent_loan& loan, base::time_point now) const {
  if (!m_waiting_order || now >= m_waiting_until || loan.borrower == m_waiting_order->borrower) {
    return false;
  }
  if (m_waiting_order->tier != loan.tier) {
    return m_waiting_order->tier < loan.tier;
  }
  const std::uint32_t holds = loan.held + loan.open();
  if (holds >= m_waiting_order->held + immediate_recall_difference) {
    return true;
  }
  return holds > m_waiting_order->held &&
         now - loan.granted_at >= leases_before_recall * m_settings.lease;
}

// Marks one credit for recall for the waiting borrower, unless a recall is already outstanding.
void loan_table::recall_for_waiting(base::time_point now) {
  for (const lent_loan& loan : m_lent) {
    if (loan.recalled > loan.returned) {
      return;
    }
  }
  for (lent_loan& loan : m_lent) {
    if (should_recall(loan, now)) {
      loan.recalled = loan.returned + 1;
      loan.next_early_recall = now;
      return;
    }
  }
}

std::optional<outgoing_message> loan_table::on_renewal(const std::string& from,
                                                       const loan_renewal& renewal,
                                                       const loan_context& context,
                                                       base::time_point now) {
  for (lent_loan& loan : m_lent) {
    if (loan.id != renewal.loan || loan.borrower != from || loan.credits == loan.returned) {
      continue;
    }
    if (!context.may_lend || loan.recalled == loan.credits) {
      return std::nullopt;
    }
    loan.held = renewal.held > loan.open() ? renewal.held - loan.open() : 0;
    loan.extended_at = now;
    loan.next_recall = now + recall_delay(m_settings.lease);
    return outgoing_message{from, loan_grant{.request = renewal.request,
                                             .loan = loan.id,
                                             .credits = loan.credits,
                                             .lease = m_settings.lease}};
  }
  return std::nullopt;
}

void loan_table::on_return(const std::string& from, const loan_return& message) {
  for (lent_loan& loan : m_lent) {
    if (loan.id == message.loan && loan.borrower == from) {
      loan.returned = std::clamp(message.returned, loan.returned, loan.credits);
      loan.confirmed = true;
    }
  }
  std::erase_if(m_lent, [](const lent_loan& loan) { return loan.credits == loan.returned; });
}

std::optional<outgoing_message> loan_table::lend_to_waiting(const loan_context& context,
                                                            base::time_point now) {
  if (!m_waiting_order || now >= m_waiting_until || spare(context) == 0) {
    return std::nullopt;
  }
  const loan_order waiting = *std::exchange(m_waiting_order, std::nullopt);
  return on_order(waiting, context, now);
}

std::optional<outgoing_message> loan_table::on_recall(const std::string& from,
                                                      const loan_recall& recall,
                                                      base::time_point now) {
  if (borrowed_loan* existing = find_loan(from, recall.loan)) {
    existing->recalled = std::clamp(recall.wanted, existing->recalled, existing->credits);
    if (existing->returned == 0) {
      return std::nullopt;
    }
    return outgoing_message{from, loan_return{existing->id, existing->returned}};
  }
  // A loan of an earlier incarnation of this VM may still be in use by a request.
  const bool own_request = recall.request.incarnation == m_identity.incarnation;
  const bool past_lifetime = now - m_started_at >= m_loan_lifetime;
  const pending_request* request = find_request(recall.request);
  const bool pending = request != nullptr && now - request->sent_at < m_settings.lease;
  if (pending || (!own_request && !past_lifetime)) {
    return std::nullopt;
  }
  return outgoing_message{from, loan_return{recall.loan, recall.credits}};
}

// Returns credits of ended leases and recalled credits as soon as no request needs them, and other
// credits when recent demand did not need them. A credit that the lender may already have reclaimed
// does not count as cover for a request. It is returned only when no request can run on it, so that
// a fast clock does not end it early.
void loan_table::return_credits(const loan_context& context, base::time_point now,
                                std::vector<outgoing_message>& out) {
  const auto excess = [](std::uint32_t value, std::uint32_t bound) {
    return value > bound ? value - bound : 0;
  };
  std::uint32_t surplus = excess(context.unlent + borrowed(), context.in_use);
  std::uint32_t reserved_surplus =
      excess(context.unlent + reserved_by_lenders(now), context.in_use);
  const std::uint32_t needed = std::max(context.in_use + context.queued, context.peak);
  std::uint32_t idle = excess(context.unlent + usable_borrowed(now), needed);
  const auto return_from_loan = [&](borrowed_loan& loan, std::uint32_t credits) {
    if (credits > 0) {
      loan.returned += credits;
      out.push_back({loan.lender, loan_return{loan.id, loan.returned}});
    }
  };
  for (borrowed_loan& loan : m_borrowed) {
    if (may_be_reclaimed(loan, now)) {
      const bool request_ended = now - loan.lease_until >= 2 * m_settings.max_request;
      const std::uint32_t credits = request_ended ? loan.open() : std::min(loan.open(), surplus);
      surplus -= std::min(surplus, credits);
      return_from_loan(loan, credits);
      continue;
    }
    const std::uint32_t unusable = loan.unusable(now);
    const std::uint32_t due = std::min(unusable, reserved_surplus);
    const std::uint32_t unused = std::min({loan.open() - unusable, reserved_surplus - due, idle});
    reserved_surplus -= due + unused;
    surplus -= std::min(surplus, due + unused);
    idle -= unused;
    return_from_loan(loan, due + unused);
  }
  std::erase_if(m_borrowed, [](const borrowed_loan& loan) { return loan.open() == 0; });
}

void loan_table::renew(const loan_context& context, base::time_point now,
                       std::vector<outgoing_message>& out) {
  if (context.in_use + context.queued <= context.unlent) {
    return;
  }
  for (borrowed_loan& loan : m_borrowed) {
    const bool due = loan.lease_until - now < m_settings.lease / 2;
    if (now >= loan.lease_until || !due || now < loan.next_renewal) {
      continue;
    }
    const message_id request = open_request(now);
    m_pending_requests.back().renews = loan.id;
    loan.next_renewal = now + renewal_interval;
    out.push_back(
        {loan.lender, loan_renewal{request, loan.id, context.unlent + usable_borrowed(now)}});
  }
}

void loan_table::recall(base::time_point now, std::vector<outgoing_message>& out) {
  std::erase_if(m_lent,
                [&](const lent_loan& loan) { return now - loan.extended_at >= m_loan_lifetime; });
  for (lent_loan& loan : m_lent) {
    if (now >= loan.next_recall) {
      loan.next_recall = now + recall_interval;
      out.push_back(
          {loan.borrower, loan_recall{loan.request, loan.id, loan.credits, loan.credits}});
    }
  }
}

// Without repetition, a lost grant would reserve its credits until the recall after the lease.
void loan_table::repeat_grants(base::time_point now, std::vector<outgoing_message>& out) {
  for (lent_loan& loan : m_lent) {
    if (loan.confirmed || now < loan.next_repeat || now - loan.granted_at >= m_settings.lease) {
      continue;
    }
    loan.next_repeat = now + repeat_interval;
    out.push_back({loan.borrower, loan_grant{.request = loan.request,
                                             .loan = loan.id,
                                             .credits = loan.credits,
                                             .lease = m_settings.lease}});
  }
}

// Recalls credits before the end of the lease when the lender's own queue needs them.
void loan_table::recall_early(const loan_context& context, base::time_point now,
                              std::vector<outgoing_message>& out) {
  const std::uint32_t needed = context.in_use + context.queued;
  std::uint32_t missing = needed > context.unlent ? needed - context.unlent : 0;
  for (lent_loan& loan : m_lent) {
    const std::uint32_t being_returned =
        loan.recalled > loan.returned ? loan.recalled - loan.returned : 0;
    missing -= std::min(missing, being_returned);
  }
  for (lent_loan& loan : m_lent) {
    const std::uint32_t recallable = loan.credits - std::max(loan.recalled, loan.returned);
    const std::uint32_t additional = std::min(missing, recallable);
    const bool repeat = loan.recalled > loan.returned && now >= loan.next_early_recall;
    if (additional == 0 && !repeat) {
      continue;
    }
    if (additional > 0) {
      loan.recalled = std::max(loan.recalled, loan.returned) + additional;
      missing -= additional;
    }
    loan.next_early_recall = now + recall_interval / 2;
    out.push_back({loan.borrower, loan_recall{loan.request, loan.id, loan.credits, loan.recalled}});
  }
}

std::vector<outgoing_message> loan_table::tick(const loan_context& context, base::time_point now) {
  std::vector<outgoing_message> out;
  return_credits(context, now, out);
  renew(context, now, out);
  recall(now, out);
  recall_early(context, now, out);
  repeat_grants(now, out);
  return out;
}

}  // namespace fuchsiaspring::limits::internal
