// Stable 64-bit hashes and rendezvous (highest random weight) hashing.
//
//   auto owners = base::rendezvous_top(key, vm_names, 3);   // indices, best first
//
// The values are the same on every node and in every version of the program: nodes that hold the
// same list choose the same members without exchanging messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiaspring::base {

// XXH3 of `data` with `seed`.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

// Score of `member` for `key`; the member with the highest score owns the key.
std::uint64_t rendezvous_score(std::string_view key, std::string_view member);

// Indices of the `count` members with the highest scores for `key`, best first. Returns all members
// in order when there are fewer. Equal scores are ordered by name.
std::vector<std::size_t> rendezvous_top(std::string_view key, std::span<const std::string> members,
                                        std::size_t count);

}  // namespace fuchsiaspring::base
