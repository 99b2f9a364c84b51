#include "fuchsiaspring/relay/message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace fuchsiaspring::relay {
namespace {

constexpr std::string_view hop_by_hop_headers[] = {"Connection",
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

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view whitespace = " \t";
  const std::size_t first = text.find_first_not_of(whitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::vector<std::string_view> list_members(std::string_view value) {
  std::vector<std::string_view> members;
  while (true) {
    const std::size_t comma = value.find(',');
    members.push_back(trimmed(value.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return members;
    }
    value.remove_prefix(comma + 1);
  }
}

const std::string* header_list::find(std::string_view name) const {
  for (const header& field : m_headers) {
    if (same_name(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

void header_list::set(std::string_view name, std::string value) {
  remove(name);
  m_headers.push_back({std::string(name), std::move(value)});
}

void header_list::remove(std::string_view name) {
  std::erase_if(m_headers, [&](const header& field) { return same_name(field.name, name); });
}

void remove_hop_by_hop_headers(header_list& headers, bool (*is_end_to_end)(std::string_view name)) {
  std::vector<std::string> listed_names;
  for (const header& field : headers) {
    if (!same_name(field.name, "Connection")) {
      continue;
    }
    for (const auto token : boost::beast::http::token_list(field.value)) {
      listed_names.emplace_back(token.data(), token.size());
    }
  }
  for (const std::string& name : listed_names) {
    if (!is_end_to_end(name)) {
      headers.remove(name);
    }
  }
  for (const std::string_view name : hop_by_hop_headers) {
    headers.remove(name);
  }
}

message_body::message_body(std::string bytes) {
  if (!bytes.empty()) {
    std::vector<std::string> pieces;
    pieces.push_back(std::move(bytes));
    *this = message_body(std::move(pieces), memory_charge());
  }
}

message_body::message_body(std::vector<std::string> pieces, memory_charge charge) {
  std::size_t size = 0;
  for (const std::string& piece : pieces) {
    size += piece.size();
  }
  m_contents =
      std::make_shared<const contents>(contents{std::move(pieces), size, std::move(charge)});
}

const std::vector<std::string>& message_body::pieces() const {
  static const std::vector<std::string> none;
  return m_contents ? m_contents->pieces : none;
}

std::string message_body::text() const {
  std::string all;
  all.reserve(size());
  for (const std::string& piece : pieces()) {
    all += piece;
  }
  return all;
}

}  // namespace fuchsiaspring::relay
