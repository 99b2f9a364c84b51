#include "fuchsiaspring/quarantine/crash_history.h"

#include <algorithm>
#include <tuple>

namespace fuchsiaspring::quarantine {
namespace {

bool is_before(const crash& left, const crash& right) {
  return std::tie(left.at, left.replica) < std::tie(right.at, right.replica);
}

// Splits the crashes into the first one of each moment and the others.
struct moments {
  std::vector<crash> first;
  std::vector<crash> others;
};

moments split(const std::vector<crash>& crashes, base::duration min_separation) {
  moments result;
  for (const crash& each : crashes) {
    const bool is_first =
        result.first.empty() || each.at - result.first.back().at >= min_separation;
    (is_first ? result.first : result.others).push_back(each);
  }
  return result;
}

void keep_latest(std::vector<crash>& crashes, std::size_t count) {
  if (crashes.size() > count) {
    crashes.erase(crashes.begin(), crashes.end() - static_cast<std::ptrdiff_t>(count));
  }
}

}  // namespace

bool crash_history::add(const crash& added) {
  const auto same = std::find_if(m_crashes.begin(), m_crashes.end(),
                                 [&](const crash& each) { return each.replica == added.replica; });
  const bool is_new = same == m_crashes.end();
  if (!is_new && same->at <= added.at) {
    return false;
  }
  if (!is_new) {
    m_crashes.erase(same);
  }
  m_crashes.insert(std::upper_bound(m_crashes.begin(), m_crashes.end(), added, is_before), added);
  keep_latest(m_crashes, capacity);
  return is_new && contains(added.replica);
}

std::size_t crash_history::remove_until(base::time_point until) {
  return std::erase_if(m_crashes, [until](const crash& each) { return each.at <= until; });
}

std::vector<crash> crash_history::take_common(const crash_history& other) {
  std::vector<crash> taken;
  std::erase_if(m_crashes, [&](const crash& each) {
    const bool is_common = other.contains(each.replica);
    if (is_common) {
      taken.push_back(each);
    }
    return is_common;
  });
  return taken;
}

bool crash_history::contains(std::uint32_t replica) const {
  return std::any_of(m_crashes.begin(), m_crashes.end(),
                     [replica](const crash& each) { return each.replica == replica; });
}

crash_history crash_history::until(base::time_point until) const {
  crash_history result;
  std::copy_if(begin(), end(), std::back_inserter(result.m_crashes),
               [until](const crash& each) { return each.at <= until; });
  return result;
}

crash_history crash_history::without(const crash_history& other) const {
  crash_history result;
  std::copy_if(begin(), end(), std::back_inserter(result.m_crashes),
               [&](const crash& each) { return !other.contains(each.replica); });
  return result;
}

std::size_t crash_history::separate(base::duration min_separation) const {
  return split(m_crashes, min_separation).first.size();
}

std::vector<crash> crash_history::summary(std::size_t limit, base::duration min_separation) const {
  moments parts = split(m_crashes, min_separation);
  keep_latest(parts.first, limit);
  keep_latest(parts.others, limit - parts.first.size());
  parts.first.insert(parts.first.end(), parts.others.begin(), parts.others.end());
  return parts.first;
}

}  // namespace fuchsiaspring::quarantine
