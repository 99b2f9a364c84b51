// Divides the reading of a long list among the nodes of a failure domain.
//
//   fleet::range_division division;
//   division.update(history.content());
//   const auto members = fleet::range_members(order, self.vm, division.ranges().size());
//   for (std::size_t i = 0; i < division.ranges().size(); ++i) {
//     request(members[i % members.size()], division.ranges()[i]);
//   }
//
// The ranges cover all keys, including keys that are not in the list yet: each begins behind the
// end of the one before, the first has no begin and the last no end. One node makes the division,
// requests all ranges and merges them, so that no two nodes need to agree on it. Each range is read
// after it was requested, which makes the time of the first request the time of the proof.
//
// The bounds stay the same while they fit, so that unchanged ranges are transferred as empty
// deltas.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/fleet/content_history.h"

namespace fuchsiaspring::fleet {

// Items of a page of the service.
inline constexpr std::size_t max_page_items = 500;

// Keys behind `after` up to and including `until`; an empty bound is none.
struct key_range {
  std::string after;
  std::string until;

  bool contains(const std::string& key) const {
    return (after.empty() || key > after) && (until.empty() || key <= until);
  }

  friend bool operator==(const key_range&, const key_range&) = default;
};

// The part of `content` whose keys begin with `prefix` and are in the range.
content_map slice(const content_map& content, const std::string& prefix, const key_range& range);

class range_division {
 public:
  explicit range_division(std::string prefix) : m_prefix(std::move(prefix)) {}

  // Divides anew if a range no longer fits into a page or there are more ranges than needed.
  void update(const content_map& content);

  const std::vector<key_range>& ranges() const { return m_ranges; }

 private:
  bool fits(const std::vector<const std::string*>& keys) const;

  std::string m_prefix;
  std::vector<key_range> m_ranges{key_range{}};
};

// The nodes that read the ranges, the last of `order` first; the reader itself only if there is not
// another node for each range. `order` is that of read_order().
std::vector<std::string> range_members(const std::vector<std::string>& order,
                                       const std::string& reader, std::size_t ranges);

// Merges the parts of a read. Returns nothing unless every range was read.
std::optional<content_map> merge_ranges(content_map others,
                                        std::vector<std::optional<content_map>> parts);

}  // namespace fuchsiaspring::fleet
