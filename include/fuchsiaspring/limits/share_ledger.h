// One VM's part in the division of one upstream's capacity.
//
//   limits::share_ledger ledger({.upstream = "suds-3", .self = "vm4", .incarnation = n}, {}, now);
//   ledger.update_view(version, users, now);     // VMs that share the upstream
//   ledger.set_limit(router.ramp_limit("suds-3"));
//   ledger.on_majority_contact(now);             // service or majority of the list was reached
//   ledger.set_demand({2, 0, 1});                // queued requests by tier
//   for (auto& message : ledger.tick(now)) send(message);                      // every 100 ms
//   for (auto& message : ledger.on_message(sender, body, now)) send(message);
//   if (ledger.in_use() < ledger.usable_slots(now)) {
//     ledger.on_start(now);
//     ...
//     ledger.on_finish(now);
//   }
//
// A VM owns a static share and lends its unused credits for leases of seconds. The broker matches
// lenders with borrowers and holds no credits, so the loss of the broker, or two simultaneous
// brokers, costs loans but never exceeds the limit.
//
// Safety, as long as no request runs longer than `max_request` after its start, clocks differ in
// rate by at most 10%, and a VM in contact adopts a new view within a minute:
// - A borrower counts a lease from the time it sent the request, which is before the grant.
// - A lender counts a lent credit as used until it is returned, or until the lease and the longest
//   request are over.
// - A share is lowered immediately and raised only when the view is in force: every VM that may
//   hold credits of older views has settled, or `reclaim_delay` has passed.
// - A restart loses the record of loans. The VM's share stays 0 until the view is known to be in
//   force and old loans have ended. If all users of a view have restarted, no record is left; the
//   view comes into force when all of them confirm this within one round (`allow_full_start`).
//
// Not thread-safe; one task owns the ledger. No function blocks or reads a clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/limits/share_messages.h"

namespace fuchsiaspring::limits {

struct ledger_identity {
  std::string upstream;
  std::string self;
  std::uint64_t incarnation = 1;  // not 0; differs after each start
};

struct ledger_settings {
  base::duration lease = std::chrono::seconds(2);
  // From the grant of the request to its last byte at the upstream.
  base::duration max_request = std::chrono::minutes(10);
  // A VM without contact for this long starts no new work.
  base::duration isolation_limit = std::chrono::minutes(5);
  // 1.1 times the sum of the isolation limit, the longest request and a lease, plus one minute for
  // a new view to arrive.
  base::duration reclaim_delay = std::chrono::minutes(18);
  // Time for the gateways to report running requests after a restart.
  base::duration recovery_window = std::chrono::seconds(3);
  // Delay before a view whose users have all restarted comes into force, so that a VM that just
  // left the list can still report its credits.
  base::duration full_start_delay = std::chrono::seconds(3);
  base::duration request_interval = std::chrono::milliseconds(200);
  base::duration offer_interval = std::chrono::milliseconds(500);
  base::duration offer_refresh = std::chrono::seconds(5);
  base::duration settle_interval = std::chrono::seconds(1);
  // Whether a view whose users have all restarted comes into force without `reclaim_delay`. This
  // ignores VMs that left the list and still run without a connection to it.
  bool allow_full_start = true;
};

// Whether a request was granted by this incarnation of the ledger. A request of an earlier
// incarnation may use a borrowed credit that this one has no record of.
enum class request_origin { granted_here, before_restart };

struct ledger_status {
  std::uint32_t limit = 0;
  std::uint32_t share = 0;     // own credits now, before loans
  std::uint32_t lent = 0;      // not returned yet
  std::uint32_t borrowed = 0;  // not returned yet, including ended leases
  std::uint32_t in_use = 0;
  bool view_in_force = false;
  bool isolated = false;
};

namespace internal {
class ledger_state;
}  // namespace internal

class share_ledger {
 public:
  share_ledger(ledger_identity identity, const ledger_settings& settings, base::time_point now);
  ~share_ledger();
  share_ledger(share_ledger&&) noexcept;
  share_ledger& operator=(share_ledger&&) noexcept;
  share_ledger(const share_ledger&) = delete;
  share_ledger& operator=(const share_ledger&) = delete;

  // Adopts a newer set of users; `self` need not be among them. Any other version is ignored.
  void update_view(const view_version& version, const std::vector<std::string>& users,
                   base::time_point now);

  // The upstream's present limit for the whole fleet: its ramp step or warm limit.
  void set_limit(std::uint32_t limit);

  // The VM reached the configuration service or a majority of the list. Call `update_view` with the
  // set of users read there first.
  void on_majority_contact(base::time_point now);

  // Queued requests for this upstream, highest tier first.
  void set_demand(std::vector<std::uint32_t> queued_by_tier);

  // A request was granted, or one that ran before a restart was reported again. Pass the same
  // origin to both calls for one request.
  void on_start(base::time_point now, request_origin origin = request_origin::granted_here);
  void on_finish(base::time_point now, request_origin origin = request_origin::granted_here);

  // Every running request that was granted before the restart of this VM has been passed to
  // on_start(), and no older grant can start. Ends the recovery window early.
  void on_running_reported();

  // New work may start while in_use() < usable_slots(now). Evaluate it right before each start,
  // because a lease ends without a message.
  std::uint32_t usable_slots(base::time_point now) const;
  std::uint32_t in_use() const;

  std::vector<outgoing_message> on_message(const std::string& from, const share_message& body,
                                           base::time_point now);

  // Returns the messages that are due. Call it at least every 250 ms.
  std::vector<outgoing_message> tick(base::time_point now);

  ledger_status status(base::time_point now) const;

 private:
  std::unique_ptr<internal::ledger_state> m_state;
};

}  // namespace fuchsiaspring::limits
