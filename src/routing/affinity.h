// Which upstreams of a pool probably hold a prefix in their cache.
//
// The table is filled from this VM's own dispatches and from cache events. Events may be late,
// repeated or lost, so an entry is only a hint: its confidence falls with age, and a gap in an
// upstream's event numbers halves the confidence of its earlier entries.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::routing::internal {

class affinity_table {
 public:
  // Entries of a pool; older prefixes of the same set are replaced.
  static constexpr std::size_t set_count = 512;
  static constexpr std::size_t ways = 4;
  static constexpr base::duration lifetime = std::chrono::minutes(5);
  static constexpr double gap_confidence = 0.5;

  struct holder {
    std::uint16_t member = 0;
    double confidence = 0.0;  // 0 means no holder
  };

  // Number of members of the pool; their records are indexed 0 to `members` - 1.
  void resize(std::size_t members);

  // After a configuration change: `new_index[old]` is the new index of a member or -1.
  void remap(std::span<const int> new_index, std::size_t members);

  void on_stored(std::uint64_t prefix, std::size_t member, base::time_point now);
  void on_evicted(std::uint64_t prefix, std::size_t member);

  // Voids all entries of `member`, whose cache is empty.
  void on_cleared(std::size_t member, base::time_point now);

  // As `on_cleared`, and the upstream numbers its events from the start again.
  void on_restarted(std::size_t member, base::time_point now);

  // Records the number of an event. Returns false for a repeated or out-of-order event, which the
  // caller ignores.
  bool accept_sequence(std::size_t member, std::uint64_t sequence, base::time_point now);

  // The two upstreams that probably hold `prefix`.
  std::array<holder, 2> find(std::uint64_t prefix, base::time_point now) const;

 private:
  struct member_record {
    std::uint64_t last_sequence = 0;
    std::uint32_t empty_until = 0;  // entries up to this time are void
    std::uint32_t gap_at = 0;       // entries up to this time have lower confidence
  };
  static constexpr std::uint16_t no_member = 0xffff;
  struct entry {
    std::uint64_t prefix = 0;
    std::array<std::uint16_t, 2> member{no_member, no_member};
    std::array<std::uint32_t, 2> stamp{};  // milliseconds / 16 since the clock's start

    std::uint32_t newest() const { return stamp[0] > stamp[1] ? stamp[0] : stamp[1]; }
  };

  static std::uint32_t stamp_of(base::time_point now);
  double confidence(const entry& source, std::size_t slot, std::uint32_t now) const;
  std::span<entry> entries_for(std::uint64_t prefix);
  std::span<const entry> entries_for(std::uint64_t prefix) const;

  std::vector<member_record> m_members;
  std::vector<entry> m_entries;  // allocated with the first prefix
};

}  // namespace fuchsiaspring::routing::internal
