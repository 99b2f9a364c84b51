#include "fuchsiaspring/placement/replica_notice.h"

#include <algorithm>

namespace fuchsiaspring::placement {

notice_change notice_board::record(const replica_start& from, const replica_notice& notice,
                                   base::time_point now) {
  const bool has_hold = notice.hold && notice.hold->count() > 0;
  if (!notice.is_leaving && !has_hold) {
    return {};
  }
  if (!m_entries.contains(from)) {
    make_room(now);
  }
  entry& noted = m_entries[from];
  noted.recorded_at = now;
  notice_change change;
  if (notice.is_leaving && !noted.leaving_since) {
    noted.leaving_since = now;
    change.has_begun_leaving = true;
  }
  if (has_hold) {
    change.has_begun_hold = noted.held_until <= now;
    change.is_hold_cut = *notice.hold > max_hold;
    noted.held_until = std::max(noted.held_until, now + std::min(*notice.hold, max_hold));
  }
  change.hold_left = std::max<base::duration>(noted.held_until - now, base::duration{});
  return change;
}

notice_effect notice_board::effect(const replica_start& start, base::time_point now) const {
  const entry* noted = find(start);
  if (noted == nullptr) {
    return notice_effect::none;
  }
  // A hold that lasts until the drain bound leaves no time for a request.
  if (noted->leaving_since &&
      std::max(now, noted->held_until) >= *noted->leaving_since + m_drain_bound) {
    return notice_effect::left;
  }
  if (now < noted->held_until) {
    return notice_effect::held;
  }
  return noted->leaving_since ? notice_effect::leaving : notice_effect::none;
}

bool notice_board::is_leaving(const replica_start& start) const {
  const entry* noted = find(start);
  return noted != nullptr && noted->leaving_since.has_value();
}

base::time_point notice_board::hold_end(const replica_start& start) const {
  const entry* noted = find(start);
  return noted == nullptr ? base::time_point{} : noted->held_until;
}

const notice_board::entry* notice_board::find(const replica_start& start) const {
  const auto found = m_entries.find(start);
  return found == m_entries.end() ? nullptr : &found->second;
}

// Removes ended holds first, then the entry whose replica has been silent for the longest time.
void notice_board::make_room(base::time_point now) {
  if (m_entries.size() < max_notices) {
    return;
  }
  std::erase_if(m_entries, [now](const auto& item) {
    return !item.second.leaving_since && item.second.held_until <= now;
  });
  if (m_entries.size() < max_notices) {
    return;
  }
  m_entries.erase(
      std::min_element(m_entries.begin(), m_entries.end(), [](const auto& left, const auto& right) {
        return left.second.recorded_at < right.second.recorded_at;
      }));
}

}  // namespace fuchsiaspring::placement
