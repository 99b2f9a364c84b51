#include "fuchsiaspring/node/stop_rule.h"

namespace fuchsiaspring::node {
namespace {

// A longer response raises the expectation at once, each shorter one lowers it by this share of the
// difference.
constexpr double forgetting_share = 0.02;
// Routes whose times are remembered. Configurations come and go; a fleet has a few thousand routes.
constexpr std::size_t max_routes = 8192;

}  // namespace

bool can_end_before(const stop_schedule& stop, const pending_request& request) {
  if (request.now < stop.accepting_until || request.deadline <= stop.requests_until) {
    return true;
  }
  return request.expected && request.now + *request.expected <= stop.requests_until;
}

void response_times::record(std::string_view route, base::duration taken) {
  const auto found = m_expected.find(route);
  if (found == m_expected.end()) {
    if (m_expected.size() < max_routes) {
      m_expected.emplace(route, taken);
    }
    return;
  }
  base::duration& expected = found->second;
  if (taken >= expected) {
    expected = taken;
    return;
  }
  expected -= base::from_seconds(forgetting_share * base::to_seconds(expected - taken));
}

std::optional<base::duration> response_times::expected(std::string_view route) const {
  const auto found = m_expected.find(route);
  return found == m_expected.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace fuchsiaspring::node
