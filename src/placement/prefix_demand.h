// Rate of requests by shared prefix of their prompts, which tells how many homes a prefix needs.
//
// Load pattern: one subject gets a large part of the prompts. A single home would queue them all
// while other replicas of the pool are idle.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::placement::internal {

class prefix_demand {
 public:
  // A prompt with the prefix was placed, by this node or by one that announced it.
  void record(std::uint64_t prefix_id, base::time_point now);

  // Prompts per second of which this node has heard, over about the last two seconds.
  double rate(std::uint64_t prefix_id, base::time_point now) const;

  std::size_t size() const { return m_counts.size(); }

 private:
  struct decaying_count {
    double value = 0;
    base::time_point at{};
  };

  static double value_at(const decaying_count& count, base::time_point now);
  void remove_idle(base::time_point now);

  std::unordered_map<std::uint64_t, decaying_count> m_counts;
};

}  // namespace fuchsiaspring::placement::internal
