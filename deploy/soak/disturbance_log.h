// The times in which the parts of a soak test's fleet were disturbed, by the name of the part.
//
//   disturbance_log log;
//   log.add("i-1", begin, end);
//   if (log.overlaps("i-1", request.sent, now)) { ... }
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace fuchsiaspring::soak {

using clock = std::chrono::steady_clock;

class disturbance_log {
 public:
  void add(const std::string& part, clock::time_point from, clock::time_point until) {
    m_spans[part].push_back({from, until});
  }

  // A disturbance whose end is not known yet.
  void begin(const std::string& part, clock::time_point from) {
    add(part, from, clock::time_point::max());
  }
  // Ends the disturbances of the part that began with begin().
  void end(const std::string& part, clock::time_point until) {
    for (span& each : m_spans[part]) {
      each.until = std::min(each.until, until);
    }
  }

  bool overlaps(const std::string& part, clock::time_point from, clock::time_point until) const {
    const auto found = m_spans.find(part);
    return found != m_spans.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const span& each) { return each.from <= until && from <= each.until; });
  }

 private:
  struct span {
    clock::time_point from;
    clock::time_point until;
  };
  std::map<std::string, std::vector<span>> m_spans;
};

}  // namespace fuchsiaspring::soak
