// One VM's static share across changes of the set of users, and the agreement that raises it.
//
// A view is in force once every VM that may hold credits of older views has settled, which means
// that it adopted exactly this view and holds no more than its share of it. Until then a VM's
// share is the lowest of its shares in the last view in force and in all views adopted since, so
// the shares of all VMs never add up to more than those of the last view in force. The next view
// cannot come into force without the users of the last one. A user that was a member throughout (a
// witness) therefore has a complete list of possible holders.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/limits/share_ledger.h"
#include "fuchsiaspring/limits/share_messages.h"
#include "fuchsiaspring/limits/static_share.h"

namespace fuchsiaspring::limits::internal {

// Credits that this VM holds, for the check whether it has settled.
struct holdings {
  std::uint32_t limit = 0;
  std::uint32_t own_in_use = 0;  // requests not covered by borrowed credits
  std::uint32_t lent = 0;
  std::uint32_t borrowed = 0;
};

class share_view {
 public:
  share_view(const ledger_identity& identity, const ledger_settings& settings,
             base::time_point now);

  void update(const view_version& version, const std::vector<std::string>& users,
              base::time_point now);
  void on_majority_contact(base::time_point now);

  bool isolated(base::time_point now) const;
  void on_running_reported() { m_running_reported = true; }
  bool in_force() const { return m_base_version && *m_base_version == m_version; }
  const std::string& broker() const { return m_broker; }

  // Own credits under `limit`, without regard to isolation.
  std::uint32_t share(std::uint32_t limit) const;

  // Longest time for which a lent credit may be in use after its grant.
  base::duration loan_lifetime() const { return m_loan_lifetime; }
  // Whether credits lent before the restart may still be in use.
  bool may_have_old_loans(base::time_point now) const;
  // Call when no VM uses credits any more that this VM lent before its restart.
  void on_old_loans_ended() { m_old_loans_ended = true; }
  // Whether the recovery window is over, so that running requests have been reported.
  bool is_recovery_over(base::time_point now) const;

  const view_version& version() const { return m_version; }
  const std::vector<std::string>& users() const { return m_users; }
  // Whether `borrower` may get a loan: it is a user of the last view in force. The other users of
  // that view then have a complete list of the VMs that may hold credits of this one.
  bool may_lend_to(const std::string& borrower) const;
  // VMs that left the users so recently that they may still use borrowed credits.
  std::vector<std::string> departed(base::time_point now) const;
  // Whether departed() is complete.
  bool knows_departed(base::time_point now) const;

  std::vector<outgoing_message> tick(const holdings& held, base::time_point now);
  std::vector<outgoing_message> on_settled(const std::string& from, const share_settled& message,
                                           base::time_point now);
  // Returns nothing if this VM cannot confirm the round. After a reply the caller must drop pending
  // loan requests, so that it accepts no older grant.
  std::optional<outgoing_message> on_probe(const std::string& from, const share_probe& message,
                                           const holdings& held, base::time_point now);
  void on_in_force(const share_in_force& message, base::time_point now);

 private:
  // When a possible holder left the list; nothing while it is a user.
  using holder_map = std::map<std::string, std::optional<base::time_point>>;

  bool is_settled(const holdings& held, base::time_point now) const;
  share_settled make_settled(std::uint64_t round, base::time_point now) const;
  void put_in_force(base::time_point now);
  void update_holders(const std::vector<std::string>& users, base::time_point now);
  std::vector<outgoing_message> announce_if_settled(base::time_point now);
  std::vector<outgoing_message> announce_full_start(base::time_point now);
  std::vector<outgoing_message> announce(bool full_start);

  ledger_identity m_identity;
  ledger_settings m_settings;
  base::duration m_loan_lifetime;
  base::time_point m_started_at;
  std::optional<base::time_point> m_last_contact_at;

  view_version m_version;
  std::vector<std::string> m_users;  // sorted
  std::string m_broker;
  base::time_point m_view_since;       // adoption of the view, or first contact after isolation
  std::optional<share_slice> m_slice;  // in the present view
  std::optional<view_version> m_base_version;  // last view known to be in force
  std::vector<std::string> m_base_users;       // sorted
  // Shares in the base view and those adopted since; the lowest applies.
  std::vector<share_slice> m_slices;
  bool m_excluded = false;       // one of these views has no share for this VM
  bool m_always_member = false;  // in all of them, including the present one
  bool m_witness = false;        // in all of them before the present one
  holder_map m_holders;          // possible holders before the present view
  bool m_running_reported = false;
  std::map<std::string, base::time_point> m_departed;  // users of earlier views
  std::optional<base::time_point> m_first_view_at;
  bool m_full_start = false;       // took part in a full start
  bool m_old_loans_ended = false;  // confirmed by other VMs before the loan lifetime has passed
  base::time_point m_next_settled{};
  std::size_t m_next_peer_index = 0;

  // As broker of the present view.
  std::map<std::string, share_settled> m_settled_reports;
  // Incarnation of each receiver when the view came into force.
  std::map<std::string, std::uint64_t> m_announced_to;
  std::uint64_t m_probe_round = 0;
  std::map<std::string, std::uint64_t> m_probe_replies;
  base::time_point m_next_probe{};
};

}  // namespace fuchsiaspring::limits::internal
