#include "relay/framing.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "fuchsiaspring/relay/message.h"

namespace fuchsiaspring::relay::internal {
namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::string_view chunked = "chunked";

// The codings of all Transfer-Encoding fields, which are one list.
std::vector<std::string_view> transfer_codings(const http::fields& fields) {
  std::vector<std::string_view> codings;
  const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
  for (auto each = begin; each != end; ++each) {
    const auto members = list_members({each->value().data(), each->value().size()});
    codings.insert(codings.end(), members.begin(), members.end());
  }
  return codings;
}

bool is_chunked(std::string_view coding) {
  return same_name(coding, chunked);
}

}  // namespace

std::optional<framing_fault> find_framing_fault(const http::fields& fields, unsigned version) {
  const std::vector<std::string_view> codings = transfer_codings(fields);
  if (codings.empty()) {
    return std::nullopt;
  }
  if (version < http_1_1 || fields.count(http::field::content_length) > 0) {
    return framing_fault::ambiguous;
  }
  if (!is_chunked(codings.back()) || std::ranges::count_if(codings, is_chunked) > 1) {
    return framing_fault::ambiguous;
  }
  if (codings.size() > 1) {
    return framing_fault::unsupported_coding;
  }
  return std::nullopt;
}

}  // namespace fuchsiaspring::relay::internal
