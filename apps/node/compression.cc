#include "apps/node/compression.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <utility>

namespace fuchsiaspring::node_app {
namespace {

using google::protobuf::io::ArrayInputStream;
using google::protobuf::io::GzipInputStream;
using google::protobuf::io::GzipOutputStream;
using google::protobuf::io::StringOutputStream;

// Level 1 takes a third of the processor time of the default level and makes lists of replicas a
// fifth longer.
constexpr int compression_level = 1;
// The length of the content, at the end.
constexpr std::size_t trailer_bytes = 4;

}  // namespace

std::string compress(const std::string& bytes) {
  std::string compressed;
  StringOutputStream output(&compressed);
  GzipOutputStream::Options options;
  options.format = GzipOutputStream::GZIP;
  options.compression_level = compression_level;
  GzipOutputStream stream(&output, options);
  std::size_t written = 0;
  void* buffer = nullptr;
  int size = 0;
  while (written < bytes.size() && stream.Next(&buffer, &size)) {
    const std::size_t count = std::min(static_cast<std::size_t>(size), bytes.size() - written);
    std::memcpy(buffer, bytes.data() + written, count);
    written += count;
    stream.BackUp(size - static_cast<int>(count));
  }
  stream.Close();
  return compressed;
}

std::optional<std::string> decompress(const std::string& compressed, std::size_t max_bytes) {
  ArrayInputStream input(compressed.data(), static_cast<int>(compressed.size()));
  GzipInputStream stream(&input, GzipInputStream::GZIP);
  std::string bytes;
  const void* buffer = nullptr;
  int size = 0;
  while (stream.Next(&buffer, &size)) {
    if (bytes.size() + static_cast<std::size_t>(size) > max_bytes) {
      return std::nullopt;
    }
    bytes.append(static_cast<const char*>(buffer), static_cast<std::size_t>(size));
  }
  if (stream.ZlibErrorMessage() != nullptr || compressed.size() < trailer_bytes) {
    return std::nullopt;
  }
  // The stream reports no error for an input that ends early.
  std::uint32_t size_in_trailer = 0;
  for (std::size_t i = 1; i <= trailer_bytes; ++i) {
    size_in_trailer =
        (size_in_trailer << 8U) | static_cast<unsigned char>(compressed[compressed.size() - i]);
  }
  return size_in_trailer == bytes.size() ? std::optional(std::move(bytes)) : std::nullopt;
}

}  // namespace fuchsiaspring::node_app
