// Matches VMs that need credits of one upstream with VMs that offer them.
//
// The broker holds no credits. Its records may be lost or out of date: a lender checks its own
// state before it lends, and borrowers repeat their requests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/limits/share_messages.h"

namespace fuchsiaspring::limits::internal {

class loan_broker {
 public:
  // Borrowers repeat their demand every `request_interval` (200 ms); demand that is not repeated
  // within this time is dropped.
  static constexpr base::duration demand_lifetime = std::chrono::milliseconds(500);
  // Offers are repeated every `offer_refresh` (5 s); this allows for one lost message.
  static constexpr base::duration offer_lifetime = std::chrono::seconds(12);
  // Maximum number of lenders that are ordered to recall credits when a borrower has demand and no
  // offer is left.
  static constexpr std::size_t max_recall_requests = 4;

  // Records the demand or offer of `from` and returns orders to lenders, highest tier first.
  std::vector<outgoing_message> on_request(const std::string& from, const loan_request& request,
                                           base::time_point now);

 private:
  struct demand {
    message_id request;
    std::vector<std::uint32_t> by_tier;
    std::uint32_t held = 0;
    base::time_point received_at;
  };
  struct offer {
    std::uint32_t spare = 0;
    std::uint32_t lent = 0;
    base::time_point received_at;
  };

  void drop_expired(base::time_point now);
  std::map<std::string, offer>::iterator largest_offer(const std::string& borrower);
  void order_for_tier(std::uint32_t tier, std::vector<outgoing_message>& out);
  bool order_credits(const std::string& borrower, demand& borrower_demand, std::uint32_t tier,
                     std::vector<outgoing_message>& out);
  void request_recalls(const std::string& borrower, const demand& borrower_demand,
                       std::uint32_t tier, std::vector<outgoing_message>& out);

  std::map<std::string, demand> m_demand;
  std::map<std::string, offer> m_offers;
  std::size_t m_next_lender = 0;
};

}  // namespace fuchsiaspring::limits::internal
