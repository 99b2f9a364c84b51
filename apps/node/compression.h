// Compression of contents that nodes send to each other.
//
//   std::string small = node_app::compress(bytes);
//   std::optional<std::string> same = node_app::decompress(small, max_bytes);
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace fuchsiaspring::node_app {

// In the gzip format.
std::string compress(const std::string& bytes);

// Returns nothing if the input is malformed or its content exceeds `max_bytes`.
std::optional<std::string> decompress(const std::string& compressed, std::size_t max_bytes);

}  // namespace fuchsiaspring::node_app
