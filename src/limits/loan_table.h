// Credits that one VM has lent and borrowed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/limits/share_ledger.h"
#include "fuchsiaspring/limits/share_messages.h"

namespace fuchsiaspring::limits::internal {

// Credits and demand of this VM at the time of a call.
struct loan_context {
  std::uint32_t unlent = 0;  // own credits that are not lent
  std::uint32_t in_use = 0;  // requests on own and borrowed credits
  std::uint32_t queued = 0;
  std::uint32_t peak = 0;  // recent maximum of in_use + queued
  bool may_lend = false;   // not isolated, and holds no more than its share
};

class loan_table {
 public:
  loan_table(const ledger_identity& identity, const ledger_settings& settings,
             base::duration loan_lifetime, base::time_point now);

  std::uint32_t lent() const;      // until returned, or until the loan lifetime has passed
  std::uint32_t borrowed() const;  // not returned yet
  // Borrowed credits that the lender is certain to still count as used.
  std::uint32_t reserved_by_lenders(base::time_point now) const;
  std::uint32_t usable_borrowed(base::time_point now) const;  // borrowed and usable for new work

  // Own credits that can be lent now.
  std::uint32_t spare(const loan_context& context) const;

  // Records a request to the broker; grants for it are accepted until its lease ends.
  message_id open_request(base::time_point now);
  void drop_requests() { m_pending_requests.clear(); }

  // Stops new work on loans that `lender` granted before `incarnation`, refuses their grants that
  // arrive later, and returns how many of their credits are still in use.
  std::uint32_t end_older_loans(const std::string& lender, std::uint64_t incarnation,
                                const loan_context& context, base::time_point now);

  std::optional<outgoing_message> on_order(const loan_order& order, const loan_context& context,
                                           base::time_point now);
  std::optional<outgoing_message> on_grant(const std::string& from, const loan_grant& grant,
                                           base::time_point now);
  std::optional<outgoing_message> on_renewal(const std::string& from, const loan_renewal& renewal,
                                             const loan_context& context, base::time_point now);
  void on_return(const std::string& from, const loan_return& message);
  // Lends spare credits to the waiting borrower, if there is one.
  std::optional<outgoing_message> lend_to_waiting(const loan_context& context,
                                                  base::time_point now);
  std::optional<outgoing_message> on_recall(const std::string& from, const loan_recall& recall,
                                            base::time_point now);

  // Returns, renewals and recalls that are due.
  std::vector<outgoing_message> tick(const loan_context& context, base::time_point now);

 private:
  struct lent_loan {
    message_id id;
    message_id request;
    std::string borrower;
    std::uint32_t credits = 0;
    std::uint32_t returned = 0;
    std::uint32_t recalled = 0;  // total recalled before the end of the lease
    std::uint32_t tier = 0;
    std::uint32_t held = 0;  // credits that the borrower could use, without this loan

    std::uint32_t open() const { return credits - returned; }
    base::time_point granted_at;   // first grant
    base::time_point extended_at;  // last grant
    base::time_point next_recall;
    base::time_point next_early_recall;
    base::time_point next_repeat;  // of the grant
    bool confirmed = false;
  };
  struct borrowed_loan {
    message_id id;
    std::string lender;
    std::uint32_t credits = 0;
    std::uint32_t returned = 0;
    std::uint32_t recalled = 0;  // total to be returned before the end of the lease
    base::time_point lease_until;
    base::time_point next_renewal;

    std::uint32_t open() const { return credits - returned; }
    // Open credits that new work may not use.
    std::uint32_t unusable(base::time_point now) const {
      if (now >= lease_until) {
        return open();
      }
      return recalled > returned ? recalled - returned : 0;
    }
  };
  struct pending_request {
    message_id id;
    base::time_point sent_at;
    std::optional<message_id> renews;
    std::vector<message_id> accepted;  // a repeated grant must not restore a returned loan
  };

  // Whether the lender may already have reclaimed the credits.
  bool may_be_reclaimed(const borrowed_loan& loan, base::time_point now) const;

  message_id next_id() { return {m_identity.incarnation, ++m_sequence}; }
  pending_request* find_request(const message_id& id);
  borrowed_loan* find_loan(const std::string& lender, const message_id& id);
  bool should_recall(const lent_loan& loan, base::time_point now) const;
  void recall_for_waiting(base::time_point now);
  void return_credits(const loan_context& context, base::time_point now,
                      std::vector<outgoing_message>& out);
  void renew(const loan_context& context, base::time_point now, std::vector<outgoing_message>& out);
  void recall(base::time_point now, std::vector<outgoing_message>& out);
  void repeat_grants(base::time_point now, std::vector<outgoing_message>& out);
  void recall_early(const loan_context& context, base::time_point now,
                    std::vector<outgoing_message>& out);

  ledger_identity m_identity;
  ledger_settings m_settings;
  base::duration m_loan_lifetime;
  base::time_point m_started_at;
  std::uint64_t m_sequence = 0;
  std::map<std::string, std::uint64_t> m_lender_incarnations;  // from loan_inquiry_request
  std::vector<lent_loan> m_lent;
  std::vector<borrowed_loan> m_borrowed;
  std::vector<pending_request> m_pending_requests;
  // An order without spare credits, kept until credits that this VM has lent are returned.
  std::optional<loan_order> m_waiting_order;
  base::time_point m_waiting_until{};
};

}  // namespace fuchsiaspring::limits::internal
