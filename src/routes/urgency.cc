#include "fuchsiaspring/routes/urgency.h"

#include <algorithm>

namespace fuchsiaspring::routes {
namespace {

template <typename Value>
void sort_and_deduplicate(std::vector<Value>& values) {
  std::sort(values.begin(), values.end());
  values.erase(std::unique(values.begin(), values.end()), values.end());
}

}  // namespace

urgency urgency_of(const route& request_route, const team* caller_team) {
  const bool has_team_priority = caller_team != nullptr && caller_team->priority.has_value();
  return {has_team_priority ? *caller_team->priority : request_route.priority,
          request_route.priority};
}

std::string to_string(const urgency& level) {
  return std::to_string(level.primary_priority) + "." + std::to_string(level.route_priority);
}

urgency_order::urgency_order(const configuration& config)
    : m_uses_route_priority(config.teams.empty()) {
  for (const team& each : config.teams) {
    if (each.priority) {
      m_team_priorities.push_back(*each.priority);
    } else {
      m_uses_route_priority = true;
    }
  }
  sort_and_deduplicate(m_team_priorities);
  for (const route& each : config.routes) {
    for (const urgency& level : levels_of(each)) {
      m_levels.push_back(level);
    }
  }
  sort_and_deduplicate(m_levels);
}

std::uint32_t urgency_order::rank(const urgency& level) const {
  const auto found = std::lower_bound(m_levels.begin(), m_levels.end(), level);
  return static_cast<std::uint32_t>(found - m_levels.begin());
}

std::vector<urgency> urgency_order::levels_of(const route& request_route) const {
  std::vector<urgency> levels;
  if (m_uses_route_priority || request_route.is_public) {
    levels.push_back({request_route.priority, request_route.priority});
  }
  for (const std::uint32_t priority : m_team_priorities) {
    levels.push_back({priority, request_route.priority});
  }
  sort_and_deduplicate(levels);
  return levels;
}

}  // namespace fuchsiaspring::routes
