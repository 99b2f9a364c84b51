#include "relay/wire.h"

#include <boost/asio/buffer.hpp>

namespace fuchsiaspring::relay::internal {
namespace {

boost::beast::string_view to_beast_view(std::string_view text) {
  return {text.data(), text.size()};
}

template <typename Buffers>
void append(std::string& out, const Buffers& buffers) {
  for (const auto& each : boost::beast::buffers_range_ref(buffers)) {
    out.append(static_cast<const char*>(each.data()), each.size());
  }
}

template <bool IsRequest, typename Body>
std::string render(http::message<IsRequest, Body>& message) {
  http::serializer<IsRequest, Body> serializer(message);
  std::string out;
  boost::beast::error_code error;
  while (!error && !serializer.is_done()) {
    serializer.next(error, [&](boost::beast::error_code&, const auto& buffers) {
      append(out, buffers);
      serializer.consume(boost::asio::buffer_size(buffers));
    });
  }
  return out;
}

template <bool IsRequest>
std::string render_header(http::message<IsRequest, http::empty_body>& message) {
  http::serializer<IsRequest, http::empty_body> serializer(message);
  serializer.split(true);
  std::string out;
  boost::beast::error_code error;
  while (!error && !serializer.is_header_done()) {
    serializer.next(error, [&](boost::beast::error_code&, const auto& buffers) {
      append(out, buffers);
      serializer.consume(boost::asio::buffer_size(buffers));
    });
  }
  return out;
}

}  // namespace

std::string render_response_head(const response_head& head, const head_options& options) {
  http::response<http::empty_body> message;
  message.version(options.version);
  message.result(head.status);
  for (const header& each : head.headers) {
    message.insert(to_beast_view(each.name), to_beast_view(each.value));
  }
  switch (options.body) {
    case framing::length:
      message.content_length(options.length);
      break;
    case framing::chunked:
      message.chunked(true);
      break;
    case framing::until_close:
    case framing::none:
      break;
  }
  message.keep_alive(!options.close_connection);
  return render_header(message);
}

std::string render_request_head(const request& message) {
  http::request<http::empty_body> head;
  head.version(11);
  head.method_string(to_beast_view(message.method));
  head.target(to_beast_view(message.target));
  for (const header& each : message.headers) {
    head.insert(to_beast_view(each.name), to_beast_view(each.value));
  }
  if (!message.body.empty() || message.method == "POST" || message.method == "PUT") {
    head.content_length(message.body.size());
  }
  return render_header(head);
}

std::string render_chunk(std::string_view bytes) {
  std::string out;
  out.reserve(bytes.size() + 16);
  append(out, http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())));
  return out;
}

std::string render_last_chunk() {
  std::string out;
  append(out, http::make_chunk_last());
  return out;
}

header_list to_headers(const http::fields& fields) {
  header_list headers;
  for (const auto& each : fields) {
    headers.add(std::string(each.name_string()), std::string(each.value()));
  }
  return headers;
}

}  // namespace fuchsiaspring::relay::internal
