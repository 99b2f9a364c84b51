#include "fuchsiaspring/settings/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <string>

namespace fuchsiaspring::settings {
namespace {

constexpr int max_port = 65535;

bool is_port(std::string_view text) {
  int port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, failure] = std::from_chars(text.data(), end, port);
  return failure == std::errc{} && parsed == end && text.front() != '-' && port >= 1 &&
         port <= max_port;
}

}  // namespace

bool is_ip_port(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
    return false;
  }
  const std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    in6_addr address{};
    return inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), &address) == 1;
  }
  in_addr address{};
  return inet_pton(AF_INET, std::string(host).c_str(), &address) == 1;
}

}  // namespace fuchsiaspring::settings
