// The division of an upstream's limit into whole credits, without messages.
//
//   auto mine = limits::static_share(limit, "suds-3", users, "vm4");
//
// Each user holds limit / n credits. The remainder goes to the users of highest rendezvous score
// for the upstream, so the shares of one list add up to the limit exactly. A share never falls when
// the limit rises, so the shares of nodes with different limits add up to at most the highest of
// these limits. All functions are thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace fuchsiaspring::limits {

// Position of one VM in the division of an upstream.
struct share_slice {
  std::uint32_t users = 0;
  std::uint32_t rank = 0;  // 0 has the highest score and receives the first credit of the remainder

  std::uint32_t credits(std::uint32_t limit) const {
    return users == 0 ? 0 : limit / users + (rank < limit % users ? 1 : 0);
  }
  friend bool operator==(const share_slice&, const share_slice&) = default;
};

// The slice of `self`, or nothing if it is not among `users`. The result does not depend on the
// order of `users`; each name must occur once.
std::optional<share_slice> find_slice(std::string_view upstream, std::span<const std::string> users,
                                      std::string_view self);

// Credits of `self`, 0 if it is not among `users`.
std::uint32_t static_share(std::uint32_t limit, std::string_view upstream,
                           std::span<const std::string> users, std::string_view self);

// The user with the highest score, which mediates loans. Empty if there are no users.
std::string broker_of(std::string_view upstream, std::span<const std::string> users);

}  // namespace fuchsiaspring::limits
