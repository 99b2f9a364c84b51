// Syntax check for IP addresses with a port in settings and catalogs.
#pragma once

#include <string_view>

namespace fuchsiaspring::settings {

// Whether `text` is `a.b.c.d:port` or `[ipv6]:port` with a port from 1 to 65535. Host names are
// refused: processes address each other by IP address only. Thread-safe.
bool is_ip_port(std::string_view text);

}  // namespace fuchsiaspring::settings
