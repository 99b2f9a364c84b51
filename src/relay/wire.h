// Serialization of HTTP messages with Boost.Beast. Private to the library.
#pragma once

#include <utility>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

#include "fuchsiaspring/relay/message.h"

namespace fuchsiaspring::relay::internal {

namespace http = boost::beast::http;

// How the body that follows a head is delimited.
enum class framing { length, chunked, until_close, none };

struct head_options {
  framing body = framing::length;
  std::size_t length = 0;
  bool close_connection = false;  // the connection is closed after the message
  unsigned version = 11;          // 10 or 11
};

std::string render_response_head(const response_head& head, const head_options& options);
std::string render_request_head(const request& message);
std::string render_chunk(std::string_view bytes);
std::string render_last_chunk();

header_list to_headers(const http::fields& fields);

}  // namespace fuchsiaspring::relay::internal
