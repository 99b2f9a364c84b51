// HTTP client for the operator address of a running daemon.
#pragma once

#include <chrono>
#include <string>

#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::ctl {

inline constexpr std::chrono::milliseconds default_timeout{5000};

struct http_response {
  long status = 0;
  std::string body;
};

// GET http://ADDRESS/TARGET. Redirects are not followed and proxies are not used. Bodies above
// 16 MB are refused. Errors: unavailable, timed_out.
base::result<http_response> http_get(const std::string& address, const std::string& target,
                                     std::chrono::milliseconds timeout);

// Percent-encodes `text` for use in a URL query.
std::string escape_query(const std::string& text);

}  // namespace fuchsiaspring::ctl
