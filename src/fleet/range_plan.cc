#include "fuchsiaspring/fleet/range_plan.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::fleet {
namespace {

// Leaves room for growth before a range exceeds a page and has to be divided anew.
constexpr std::size_t initial_range_items = max_page_items * 7 / 8;

}  // namespace

content_map slice(const content_map& content, const std::string& prefix, const key_range& range) {
  content_map part;
  for (auto item = content.lower_bound(std::max(prefix, range.after)); item != content.end();
       ++item) {
    const bool is_behind = !range.until.empty() && item->first > range.until;
    if (!item->first.starts_with(prefix) || is_behind) {
      break;
    }
    if (range.contains(item->first)) {
      part.emplace_hint(part.end(), *item);
    }
  }
  return part;
}

bool range_division::fits(const std::vector<const std::string*>& keys) const {
  if (m_ranges.size() > keys.size() / initial_range_items + 2) {
    return false;
  }
  std::size_t begin = 0;
  for (const key_range& each : m_ranges) {
    std::size_t end = begin;
    while (end < keys.size() && each.contains(*keys[end])) {
      ++end;
    }
    if (end - begin > max_page_items) {
      return false;
    }
    begin = end;
  }
  return true;
}

void range_division::update(const content_map& content) {
  std::vector<const std::string*> keys;
  for (auto item = content.lower_bound(m_prefix);
       item != content.end() && item->first.starts_with(m_prefix); ++item) {
    keys.push_back(&item->first);
  }
  if (fits(keys)) {
    return;
  }
  m_ranges.clear();
  const std::size_t count = (keys.size() + initial_range_items - 1) / initial_range_items;
  std::string after;
  for (std::size_t i = 1; i < count; ++i) {
    const std::string& until = *keys[i * keys.size() / count - 1];
    m_ranges.push_back({std::exchange(after, until), until});
  }
  m_ranges.push_back({after, {}});
}

std::vector<std::string> range_members(const std::vector<std::string>& order,
                                       const std::string& reader, std::size_t ranges) {
  std::vector<std::string> members;
  // The last nodes in the order first: the first ones pass the state on to the others.
  for (auto each = order.rbegin(); each != order.rend() && members.size() < ranges; ++each) {
    if (*each != reader) {
      members.push_back(*each);
    }
  }
  if (members.size() < ranges) {
    members.push_back(reader);
  }
  return members;
}

std::optional<content_map> merge_ranges(content_map others,
                                        std::vector<std::optional<content_map>> parts) {
  for (std::optional<content_map>& each : parts) {
    if (!each) {
      return std::nullopt;
    }
    others.merge(*each);
  }
  return others;
}

}  // namespace fuchsiaspring::fleet
