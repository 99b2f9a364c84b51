// The teams of a configuration, and whether callers need the key of one.
//
//   routes::team_list teams({{.name = "shop", .api_keys = {"key-1"}}});
//   teams.asks_for_keys();                              // true
//   routes::team_list().asks_for_keys();                // true: a list without teams admits nobody
//   routes::team_list::unlisted().asks_for_keys();      // false: the configuration has no list
//
// "No list" and "an empty list" are different values, so that the removal of the last team does not
// admit everybody.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/region_limit.h"

namespace fuchsiaspring::routes {

struct team {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<std::uint32_t> priority;  // ranks before the priority of the route
  base::region_limit home_regions;        // binds beside that of the route

  friend bool operator==(const team&, const team&) = default;
};

class team_list {
 public:
  using const_iterator = std::vector<team>::const_iterator;

  team_list() = default;  // no team: nobody is admitted
  team_list(std::initializer_list<team> teams) : m_teams(teams) {}
  explicit team_list(std::vector<team> teams) : m_teams(std::move(teams)) {}

  // The configuration has no list of teams: callers need no key.
  static team_list unlisted() {
    team_list result;
    result.m_asks_for_keys = false;
    return result;
  }

  bool asks_for_keys() const { return m_asks_for_keys; }

  bool empty() const { return m_teams.empty(); }
  std::size_t size() const { return m_teams.size(); }
  const_iterator begin() const { return m_teams.begin(); }
  const_iterator end() const { return m_teams.end(); }
  const team& operator[](std::size_t index) const { return m_teams[index]; }

  friend bool operator==(const team_list&, const team_list&) = default;

 private:
  std::vector<team> m_teams;
  bool m_asks_for_keys = true;
};

}  // namespace fuchsiaspring::routes
