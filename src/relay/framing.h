// Checks how a message states the end of its body. Private to the library.
#pragma once

#include <optional>

#include "relay/wire.h"

namespace fuchsiaspring::relay::internal {

enum class framing_fault {
  ambiguous,           // another recipient may see the end of the body elsewhere
  unsupported_coding,  // the end is clear, but the body has a transfer coding beside `chunked`
};

// The fault in the Transfer-Encoding of a message with these fields, if any (RFC 9112, sections 6.1
// and 6.3). Boost.Beast delimits a body by `chunked` only as the last coding, and ignores the other
// codings. `version` is 10 for HTTP/1.0, which has no transfer codings, and 11 for HTTP/1.1.
std::optional<framing_fault> find_framing_fault(const http::fields& fields, unsigned version);

}  // namespace fuchsiaspring::relay::internal
