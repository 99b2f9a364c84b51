// The regions in which something may happen: any region, or some named ones.
//
//   base::region_limit limit = base::region_limit::only({"east"});
//   limit.permits("west");                                     // false
//   both(limit, base::region_limit::only({"west"})).is_none(); // true
//
// "Any" and "none" are different values, so that two limits without a common region do not add up
// to no limit.
#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace fuchsiaspring::base {

class region_limit {
 public:
  using region_set = std::set<std::string, std::less<>>;

  region_limit() = default;  // any region

  // These regions only; no region at all if the set is empty.
  static region_limit only(region_set regions) { return region_limit(std::move(regions)); }

  bool is_any() const { return !m_regions; }
  bool is_none() const { return m_regions && m_regions->empty(); }
  bool permits(std::string_view region) const {
    return !m_regions || m_regions->find(region) != m_regions->end();
  }

  // The regions that both limits permit.
  friend region_limit both(const region_limit& a, const region_limit& b) {
    if (a.is_any() || b.is_any()) {
      return a.is_any() ? b : a;
    }
    region_set common;
    std::set_intersection(a.m_regions->begin(), a.m_regions->end(), b.m_regions->begin(),
                          b.m_regions->end(), std::inserter(common, common.end()));
    return only(std::move(common));
  }

  // "any", "none", or the names with a comma between them; for log lines.
  std::string text() const {
    if (is_any() || is_none()) {
      return is_any() ? "any" : "none";
    }
    std::string names;
    for (const std::string& each : *m_regions) {
      names += (names.empty() ? "" : ",") + each;
    }
    return names;
  }

  friend bool operator==(const region_limit&, const region_limit&) = default;

 private:
  explicit region_limit(region_set regions) : m_regions(std::move(regions)) {}

  std::optional<region_set> m_regions;  // nothing: any
};

}  // namespace fuchsiaspring::base
