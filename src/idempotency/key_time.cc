#include "fuchsiaspring/idempotency/key_time.h"

namespace fuchsiaspring::idempotency {
namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t ulid_length = 26;
constexpr std::size_t ulid_time_length = 10;
constexpr std::uint64_t first_plausible_ms = 1'420'070'400'000;  // 2015-01-01
constexpr std::uint64_t end_plausible_ms = 4'102'444'800'000;    // 2100-01-01

constexpr char to_lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

int digit_value(char letter, std::string_view alphabet) {
  const auto position = alphabet.find(to_lower(letter));
  return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

std::uint64_t uuid_time(std::string_view key) {
  std::uint64_t time = 0;
  for (std::size_t i = 0; i < uuid_length; ++i) {
    if (i == 8 || i == 13 || i == 18 || i == 23) {
      if (key[i] != '-') {
        return 0;
      }
      continue;
    }
    const int value = digit_value(key[i], "0123456789abcdef");
    if (value < 0) {
      return 0;
    }
    if (i < 13) {  // the first 12 hexadecimal digits are the time
      time = time << 4 | static_cast<std::uint64_t>(value);
    }
  }
  const int variant = digit_value(key[19], "0123456789abcdef");
  return key[14] == '7' && variant >= 8 && variant <= 11 ? time : 0;
}

std::uint64_t ulid_time(std::string_view key) {
  constexpr std::string_view alphabet = "0123456789abcdefghjkmnpqrstvwxyz";
  if (key[0] > '7') {  // the value would exceed 128 bits
    return 0;
  }
  std::uint64_t time = 0;
  for (std::size_t i = 0; i < ulid_length; ++i) {
    const int value = digit_value(key[i], alphabet);
    if (value < 0) {
      return 0;
    }
    if (i < ulid_time_length) {
      time = time << 5 | static_cast<std::uint64_t>(value);
    }
  }
  return time >= first_plausible_ms && time < end_plausible_ms ? time : 0;
}

}  // namespace

std::uint64_t key_time_ms(std::string_view key) {
  if (key.size() == uuid_length) {
    return uuid_time(key);
  }
  return key.size() == ulid_length ? ulid_time(key) : 0;
}

key_time_verdict check_key_time(std::uint64_t time_ms, std::uint64_t wall_ms,
                                const retention_rules& rules) {
  if (time_ms == 0) {
    return key_time_verdict::acceptable;
  }
  const auto error = static_cast<std::uint64_t>(base::to_milliseconds(rules.clock_error));
  const auto window = static_cast<std::uint64_t>(base::to_milliseconds(rules.window));
  if (time_ms > wall_ms + error) {
    return key_time_verdict::in_future;
  }
  return time_ms + window < wall_ms ? key_time_verdict::expired : key_time_verdict::acceptable;
}

}  // namespace fuchsiaspring::idempotency
