#include "limits/loan_broker.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::limits::internal {

void loan_broker::drop_expired(base::time_point now) {
  std::erase_if(m_demand,
                [&](const auto& each) { return now - each.second.received_at >= demand_lifetime; });
  std::erase_if(m_offers,
                [&](const auto& each) { return now - each.second.received_at >= offer_lifetime; });
}

std::map<std::string, loan_broker::offer>::iterator loan_broker::largest_offer(
    const std::string& borrower) {
  auto best = m_offers.end();
  for (auto each = m_offers.begin(); each != m_offers.end(); ++each) {
    if (each->first == borrower || each->second.spare == 0) {
      continue;
    }
    if (best == m_offers.end() || each->second.spare > best->second.spare) {
      best = each;
    }
  }
  return best;
}

// Orders one credit, or all missing credits if there is no other demand, and appends to or merges
// into `out`. Returns whether there was an offer.
bool loan_broker::order_credits(const std::string& borrower, demand& borrower_demand,
                                std::uint32_t tier, std::vector<outgoing_message>& out) {
  const auto lender = largest_offer(borrower);
  if (lender == m_offers.end()) {
    return false;
  }
  const std::uint32_t max_credits = m_demand.size() == 1 ? borrower_demand.by_tier[tier] : 1;
  const std::uint32_t credits = std::min(max_credits, lender->second.spare);
  lender->second.spare -= credits;
  lender->second.lent += credits;
  borrower_demand.by_tier[tier] -= credits;
  borrower_demand.held += credits;
  for (outgoing_message& message : out) {
    auto* order = std::get_if<loan_order>(&message.body);
    const bool same_order = message.to == lender->first && order->borrower == borrower;
    if (same_order && order->tier == tier) {
      order->credits += credits;
      return true;
    }
  }
  out.push_back({lender->first, loan_order{borrower, borrower_demand.request, credits, tier,
                                           borrower_demand.held - credits}});
  return true;
}

// Serves the borrower that holds the fewest credits first.
void loan_broker::order_for_tier(std::uint32_t tier, std::vector<outgoing_message>& out) {
  std::vector<std::pair<const std::string, demand>*> waiting;
  for (auto& entry : m_demand) {
    if (tier < entry.second.by_tier.size() && entry.second.by_tier[tier] > 0) {
      waiting.push_back(&entry);
    }
  }
  while (!waiting.empty()) {
    const auto next =
        std::ranges::min_element(waiting, {}, [](const auto* entry) { return entry->second.held; });
    const bool ordered = order_credits((*next)->first, (*next)->second, tier, out);
    if (!ordered || (*next)->second.by_tier[tier] == 0) {
      waiting.erase(next);
    }
  }
}

// Orders lenders that have no spare credits to recall credits from their borrowers on behalf of
// this one.
void loan_broker::request_recalls(const std::string& borrower, const demand& borrower_demand,
                                  std::uint32_t tier, std::vector<outgoing_message>& out) {
  std::vector<std::string> lenders;
  for (const auto& [name, lender_offer] : m_offers) {
    if (lender_offer.lent > 0 && name != borrower) {
      lenders.push_back(name);
    }
  }
  const std::size_t count = std::min(lenders.size(), max_recall_requests);
  for (std::size_t i = 0; i < count; ++i) {
    out.push_back({lenders[(m_next_lender + i) % lenders.size()],
                   loan_order{borrower, borrower_demand.request, borrower_demand.by_tier[tier],
                              tier, borrower_demand.held}});
  }
  m_next_lender += count;
}

std::vector<outgoing_message> loan_broker::on_request(const std::string& from,
                                                      const loan_request& request,
                                                      base::time_point now) {
  drop_expired(now);
  m_offers[from] = {.spare = request.spare, .lent = request.lent, .received_at = now};
  if (request.demand_by_tier.empty()) {
    m_demand.erase(from);
  } else {
    m_demand[from] = {.request = request.id,
                      .by_tier = request.demand_by_tier,
                      .held = request.held,
                      .received_at = now};
  }
  std::size_t tiers = 0;
  for (const auto& [name, borrower_demand] : m_demand) {
    tiers = std::max(tiers, borrower_demand.by_tier.size());
  }
  std::vector<outgoing_message> out;
  for (std::uint32_t tier = 0; tier < tiers; ++tier) {
    order_for_tier(tier, out);
  }
  const auto sender_demand = m_demand.find(from);
  if (sender_demand == m_demand.end()) {
    return out;
  }
  const auto unmet =
      std::ranges::find_if(sender_demand->second.by_tier, [](auto each) { return each > 0; });
  if (unmet != sender_demand->second.by_tier.end()) {
    request_recalls(from, sender_demand->second,
                    static_cast<std::uint32_t>(unmet - sender_demand->second.by_tier.begin()), out);
  }
  return out;
}

}  // namespace fuchsiaspring::limits::internal
