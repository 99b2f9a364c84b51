// Cryptographic digests and constant-time comparison.
//
//   std::string digest = base::sha256_hex(token);
//   bool same = base::constant_time_equal(digest, expected);
//
// All functions are thread-safe.
#pragma once

#include <string>
#include <string_view>

namespace fuchsiaspring::base {

// SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

// HMAC-SHA256 of `data` under `key`, 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view data);

// Whether both strings are equal, in a time that depends only on their lengths.
bool constant_time_equal(std::string_view left, std::string_view right);

}  // namespace fuchsiaspring::base
