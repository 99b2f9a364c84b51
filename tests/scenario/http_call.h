// Short HTTP calls of the scenario runner to operator addresses and stand-ins.
#pragma once

#include <optional>
#include <string>

namespace fuchsiaspring::scenario {

struct http_response {
  long status = 0;
  std::string body;
};

// GET, or POST when `body` is given. Returns std::nullopt without a complete response within 1 s.
std::optional<http_response> http_call(const std::string& url,
                                       const std::optional<std::string>& body = std::nullopt);

}  // namespace fuchsiaspring::scenario
