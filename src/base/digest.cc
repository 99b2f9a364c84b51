#include "fuchsiaspring/base/digest.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>
#include <cstdlib>

namespace fuchsiaspring::base {
namespace {

constexpr std::size_t sha256_size_bytes = 32;

}  // namespace

std::string sha256_hex(std::string_view data) {
  std::array<unsigned char, sha256_size_bytes> digest{};
  if (gnutls_hash_fast(GNUTLS_DIG_SHA256, data.data(), data.size(), digest.data()) != 0) {
    std::abort();
  }
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text.push_back(digits[byte >> 4]);
    text.push_back(digits[byte & 0x0F]);
  }
  return text;
}

std::string hmac_sha256(std::string_view key, std::string_view data) {
  std::string mac(sha256_size_bytes, '\0');
  if (gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), data.data(), data.size(),
                       mac.data()) != 0) {
    std::abort();
  }
  return mac;
}

bool constant_time_equal(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  return gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace fuchsiaspring::base
