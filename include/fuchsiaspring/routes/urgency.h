// The urgency levels that requests can have under a configuration, and their order.
//
//   const routes::urgency level = routes::urgency_of(route, team);
//   routes::urgency_order order(configuration);
//   const std::uint32_t rank = order.rank(level);   // 0 is the most urgent
//
// Designed for a model service under overload whose teams mostly have the same priority. The
// priority of a team ranks before that of a route, and among requests of equal team priority the
// route decides; otherwise interactive and bulk requests of these teams would be equal, and engines
// would preempt either in favour of the other.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "fuchsiaspring/routes/route_table.h"

namespace fuchsiaspring::routes {

struct urgency {
  // The team's priority, or the route's where the team has none.
  std::uint32_t primary_priority = 0;
  std::uint32_t route_priority = 0;

  friend bool operator==(const urgency&, const urgency&) = default;
  friend bool operator<(const urgency& left, const urgency& right) {
    return std::tie(left.primary_priority, left.route_priority) <
           std::tie(right.primary_priority, right.route_priority);
  }
};

// `caller_team` is nullptr for a caller without a team.
urgency urgency_of(const route& request_route, const team* caller_team);

// Both priorities, as in "1.0"; for names and log lines.
std::string to_string(const urgency& level);

class urgency_order {
 public:
  explicit urgency_order(const configuration& config);

  // Position among all levels that the configuration allows. A level that it does not allow gets
  // the rank of the next less urgent one.
  std::uint32_t rank(const urgency& level) const;

  // Levels that requests of the route can have.
  std::vector<urgency> levels_of(const route& request_route) const;

  // All levels, the most urgent first.
  const std::vector<urgency>& levels() const { return m_levels; }

 private:
  std::vector<std::uint32_t> m_team_priorities;  // in order, each once
  bool m_uses_route_priority = false;  // some teams have no priority, or there are no teams
  std::vector<urgency> m_levels;
};

}  // namespace fuchsiaspring::routes
