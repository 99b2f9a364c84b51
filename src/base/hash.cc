#include "fuchsiaspring/base/hash.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace fuchsiaspring::base {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view member) {
  return hash64(member, hash64(key));
}

std::vector<std::size_t> rendezvous_top(std::string_view key, std::span<const std::string> members,
                                        std::size_t count) {
  const std::uint64_t seed = hash64(key);
  std::vector<std::uint64_t> scores;
  scores.reserve(members.size());
  for (const std::string& member : members) {
    scores.push_back(hash64(member, seed));
  }
  std::vector<std::size_t> order(members.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const std::size_t result_size = std::min(count, members.size());
  const auto ranks_before = [&](std::size_t left, std::size_t right) {
    if (scores[left] != scores[right]) {
      return scores[left] > scores[right];
    }
    return members[left] < members[right];
  };
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(result_size),
                    order.end(), ranks_before);
  order.resize(result_size);
  return order;
}

}  // namespace fuchsiaspring::base
