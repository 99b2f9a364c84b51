#include "fuchsiaspring/relay/message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace fuchsiaspring::relay {
namespace {

constexpr std::string_view connection_headers[] = {"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Connection",
                                                   "Proxy-Authenticate",
                                                   "Proxy-Authorization",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Content-Length"};

}  // namespace

bool same_name(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

const std::string* header_list::find(std::string_view name) const {
  for (const header& each : m_headers) {
    if (same_name(each.name, name)) {
      return &each.value;
    }
  }
  return nullptr;
}

void header_list::set(std::string_view name, std::string value) {
  remove(name);
  m_headers.push_back({std::string(name), std::move(value)});
}

void header_list::remove(std::string_view name) {
  std::erase_if(m_headers, [&](const header& each) { return same_name(each.name, name); });
}

void remove_connection_headers(header_list& headers) {
  std::vector<std::string> named;
  for (const header& each : headers) {
    if (!same_name(each.name, "Connection")) {
      continue;
    }
    for (const auto token : boost::beast::http::token_list(each.value)) {
      named.emplace_back(token.data(), token.size());
    }
  }
  for (const std::string& name : named) {
    headers.remove(name);
  }
  for (const std::string_view name : connection_headers) {
    headers.remove(name);
  }
}

}  // namespace fuchsiaspring::relay
