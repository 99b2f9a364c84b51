// The order of states of the configuration service, which may be lost and restored.
//
// A service that comes back from an older copy gives revisions out again and raises its era by one.
// States are ordered by era, then by revision. Proof times (see fleet/config_lease.h) decide where
// the order of eras cannot be trusted: proofs of two states that are more than `late_answer_time`
// apart were not under way at the same moment, so that the newer proof is that of the newer state.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <tuple>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::node {

struct store_version {
  std::optional<std::uint64_t> era;  // nullopt: not stated; ordered before all others
  std::uint64_t revision = 0;        // increases with every change within an era

  friend bool operator==(const store_version&, const store_version&) = default;
  friend std::strong_ordering operator<=>(const store_version& a, const store_version& b) {
    return std::tie(a.era, a.revision) <=> std::tie(b.era, b.revision);
  }
};

// A state, and a time at which it was the newest.
struct proved_version {
  store_version version;
  base::time_point proved_at{};

  friend bool operator==(const proved_version&, const proved_version&) = default;
};

enum class answer_order {
  follows,     // the same or a newer state of the same era
  returned,    // the service has come back since
  renumbered,  // newer, though its era or revision has fallen: the held one was malformed
  older,       // a state from before the one that is held
};

// A read is given up after 0.9 s; an answer that proves a later time was not delayed.
constexpr base::duration late_answer_time = std::chrono::milliseconds(1500);

// A state without an era, because the header is missing or malformed, is taken for one of the era
// that is held. An era or a revision that has fallen is of a late answer (`older`), unless its
// proof is newer (`renumbered`): a service that comes back raises its era.
answer_order compare(const std::optional<proved_version>& held, const proved_version& answer);

// The version to hold after `answer`: its own, with the era that is held if it has none.
store_version adopted_version(const std::optional<proved_version>& held,
                              const store_version& answer);

}  // namespace fuchsiaspring::node
