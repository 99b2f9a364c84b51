// Parses JSON text that another program has written, and which may have any content.
//
//   const auto document = base::parse_json_object(text);
//   if (!document) { ++unreadable; }
//
// Thread-safe.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace fuchsiaspring::base {

// Objects and arrays within each other, deeper than any document of the platform, an operator or a
// caller. The functions that write or copy a document call themselves once for each level.
inline constexpr int max_json_depth = 64;

// Returns nullopt if the text is no JSON object in UTF-8, or is nested deeper than
// `max_json_depth`.
std::optional<nlohmann::json> parse_json_object(std::string_view text);

}  // namespace fuchsiaspring::base
