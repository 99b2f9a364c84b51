// Messages between the share ledgers of the VMs that use one upstream.
//
// The scheduler adds the name of the upstream and converts them to the messages of the schema. Any
// message may be lost, delayed, duplicated or reordered.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::limits {

// Version of a set of users, made of the version of the VM list and that of the bundle. Equal
// versions mean equal users on all nodes.
struct view_version {
  std::uint64_t list = 0;
  std::uint64_t bundle = 0;

  friend bool operator==(const view_version&, const view_version&) = default;
};

// Whether a node at `current` adopts `next`. Neither number may decrease.
constexpr bool is_newer(const view_version& next, const view_version& current) {
  return next != current && next.list >= current.list && next.bundle >= current.bundle;
}

// Identifier that stays unique across restarts of its issuer.
struct message_id {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend bool operator==(const message_id&, const message_id&) = default;
};

// To the broker: credits that the sender needs or offers.
struct loan_request {
  message_id id;
  std::vector<std::uint32_t> demand_by_tier;  // missing credits, highest tier first
  std::uint32_t spare = 0;                    // credits that the sender offers
  std::uint32_t lent = 0;                     // credits that the sender has lent
  std::uint32_t held = 0;                     // credits that the sender may use now
};

// From broker to lender: lend to `borrower`, which sent `request`.
struct loan_order {
  std::string borrower;
  message_id request;
  std::uint32_t credits = 0;
  std::uint32_t tier = 0;
  std::uint32_t held = 0;  // by the borrower
};

// From lender to borrower: `credits`, valid for `lease` from the time the borrower sent `request`.
struct loan_grant {
  message_id request;
  message_id loan;
  std::uint32_t credits = 0;
  base::duration lease{};
};

// From borrower to lender: extend the lease of `loan`. The lender replies with a grant, or does not
// reply if it declines.
struct loan_renewal {
  message_id request;
  message_id loan;
  std::uint32_t held = 0;  // credits that the borrower may use now
};

// From borrower to lender: total number of credits returned from the loan so far. 0 confirms the
// grant.
struct loan_return {
  message_id loan;
  std::uint32_t returned = 0;
};

// From lender to borrower. After the lease it requests a return that was lost or is late. Before
// the end of the lease it requests credits that the lender, or another borrower, needs.
struct loan_recall {
  message_id request;  // for which the loan was granted
  message_id loan;
  std::uint32_t credits = 0;  // of the whole loan
  std::uint32_t wanted = 0;   // total to be returned; equals `credits` after the lease
};

// To the broker of a view: the sender holds no more than its share of this view.
struct share_settled {
  view_version view;
  std::uint64_t incarnation = 0;
  std::uint64_t round = 0;   // copied from share_probe, otherwise 0
  bool fresh = false;        // the sender may have lent credits before its restart
  bool in_force = false;     // the view is in force at the sender
  bool has_history = false;  // the sender has a record of a view that was in force
  bool witness = false;      // the sender's list of possible holders of older credits is complete
  std::vector<std::string> leavers;    // possible holders that are not users of this view
  std::vector<std::string> newcomers;  // users of this view that are not possible holders
};

// From the broker when every user appears to have restarted: requests a new share_settled.
struct share_probe {
  view_version view;
  std::uint64_t round = 0;
};

// All possible holders of credits have settled; shares may rise to those of `view`.
struct share_in_force {
  view_version view;
  std::uint64_t incarnation = 0;  // of the receiver, if its state was checked; 0: not checked
  bool full_start = false;        // all users had restarted, and no credit was lent at that time
};

// From a restarted lender: requests the number of credits of earlier incarnations' loans that are
// still in use.
struct loan_inquiry_request {
  view_version view;
  std::uint64_t incarnation = 0;  // of the sender
};

// Reply to loan_inquiry_request: the sender starts no more work on such credits.
struct loan_statement {
  view_version view;
  std::uint64_t incarnation = 0;  // of the inquirer
  std::uint32_t open = 0;         // credits of such loans that requests still use
  // Whether `departed` lists every VM that left the users since the earliest loan that may still be
  // in use.
  bool knows_departed = false;
  std::vector<std::string> departed;
};

using share_message =
    std::variant<loan_request, loan_order, loan_grant, loan_renewal, loan_return, loan_recall,
                 share_settled, share_probe, share_in_force, loan_inquiry_request, loan_statement>;

struct outgoing_message {
  std::string to;  // name of the VM
  share_message body;
};

}  // namespace fuchsiaspring::limits
