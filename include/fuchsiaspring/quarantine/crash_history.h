// Replicas that ended while they worked on one part of a prompt.
//
//   crash_history crashes;
//   crashes.add({.replica = hash, .at = at});
//   crashes.separate(min_separation);          // moments at which replicas ended
//   crashes.summary(limit, min_separation);    // what other nodes need for the same conclusion
//
// Histories are merged by adding the entries of one to another. The result does not depend on the
// order, and an entry may be added any number of times: of two reports of the same end the earlier
// one stands, and beyond the capacity the latest entries are kept.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::quarantine {

struct crash {
  std::uint32_t replica = 0;  // hash of the replica's id and start
  base::time_point at{};

  friend bool operator==(const crash&, const crash&) = default;
};

class crash_history {
 public:
  // Far more than replicas end in one burst of requests before it is stopped.
  static constexpr std::size_t capacity = 32;

  using const_iterator = std::vector<crash>::const_iterator;

  // Returns whether the history holds one more replica than before.
  bool add(const crash& added);

  // Returns the number of entries removed.
  std::size_t remove_until(base::time_point until);

  // Removes the replicas that `other` contains, and returns them.
  std::vector<crash> take_common(const crash_history& other);

  bool contains(std::uint32_t replica) const;

  // The entries until `until`, and those that `other` does not contain.
  crash_history until(base::time_point until) const;
  crash_history without(const crash_history& other) const;

  // Number of moments at which replicas ended: ends closer than `min_separation` to the first one
  // of a moment count as one.
  std::size_t separate(base::duration min_separation) const;

  // At most `limit` entries, with as many separate moments and replicas as fit.
  std::vector<crash> summary(std::size_t limit, base::duration min_separation) const;

  bool empty() const { return m_crashes.empty(); }
  std::size_t size() const { return m_crashes.size(); }
  const_iterator begin() const { return m_crashes.begin(); }
  const_iterator end() const { return m_crashes.end(); }
  // The history must not be empty.
  base::time_point last() const { return m_crashes.back().at; }

  friend bool operator==(const crash_history&, const crash_history&) = default;

 private:
  std::vector<crash> m_crashes;  // by time, then by replica
};

}  // namespace fuchsiaspring::quarantine
