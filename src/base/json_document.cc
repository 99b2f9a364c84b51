#include "fuchsiaspring/base/json_document.h"

namespace fuchsiaspring::base {

std::optional<nlohmann::json> parse_json_object(std::string_view text) {
  using nlohmann::json;
  bool is_too_deep = false;
  // `depth` is the number of objects and arrays around the one that starts.
  const json::parser_callback_t check_depth = [&](int depth, json::parse_event_t event, json&) {
    const bool is_start =
        event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
    is_too_deep = is_too_deep || (is_start && depth >= max_json_depth);
    return !is_too_deep;
  };
  json document = json::parse(text, check_depth, false);
  if (is_too_deep || !document.is_object()) {
    return std::nullopt;
  }
  return document;
}

}  // namespace fuchsiaspring::base
