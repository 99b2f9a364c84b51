// Fields that several messages between nodes have (schema/peer.proto).
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/store_version.h"

namespace fuchsiaspring::node_app {

// A duration in ms, limited to the range of the field.
inline std::uint32_t to_message_ms(base::duration value) {
  constexpr std::int64_t max_ms = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(base::to_milliseconds(value), 0, max_ms));
}

// `Message` has the fields `revision` and, optional, `era`.
template <typename Message>
void set_store_version(const node::store_version& version, Message& message) {
  message.set_revision(version.revision);
  if (version.era) {
    message.set_era(*version.era);
  }
}

template <typename Message>
node::store_version store_version_of(const Message& message) {
  return {.era = message.has_era() ? std::optional(message.era()) : std::nullopt,
          .revision = message.revision()};
}

}  // namespace fuchsiaspring::node_app
