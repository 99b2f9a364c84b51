#include "fuchsiaspring/limits/static_share.h"

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::limits {

std::optional<share_slice> find_slice(std::string_view upstream, std::span<const std::string> users,
                                      std::string_view self) {
  const std::uint64_t own = base::rendezvous_score(upstream, self);
  bool member = false;
  share_slice slice{.users = static_cast<std::uint32_t>(users.size())};
  for (const std::string& user : users) {
    if (user == self) {
      member = true;
      continue;
    }
    const std::uint64_t other = base::rendezvous_score(upstream, user);
    if (other > own || (other == own && user < self)) {
      ++slice.rank;
    }
  }
  return member ? std::optional(slice) : std::nullopt;
}

std::uint32_t static_share(std::uint32_t limit, std::string_view upstream,
                           std::span<const std::string> users, std::string_view self) {
  const auto slice = find_slice(upstream, users, self);
  return slice ? slice->credits(limit) : 0;
}

std::string broker_of(std::string_view upstream, std::span<const std::string> users) {
  const auto top = base::rendezvous_top(upstream, users, 1);
  return top.empty() ? std::string() : users[top.front()];
}

}  // namespace fuchsiaspring::limits
