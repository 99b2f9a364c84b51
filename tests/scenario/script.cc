#include "tests/scenario/script.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace fuchsiaspring::scenario {
namespace {

using base::error;
using base::error_code;

bool is_space(char character) {
  return std::isspace(static_cast<unsigned char>(character)) != 0;
}

base::result<std::vector<std::string>> split(std::string_view line, int number) {
  std::vector<std::string> words;
  std::size_t position = 0;
  while (position < line.size()) {
    if (is_space(line[position])) {
      ++position;
      continue;
    }
    if (line[position] == '#') {
      break;
    }
    if (line[position] == '{') {
      words.emplace_back(line.substr(position));
      break;
    }
    if (line[position] == '"') {
      const std::size_t end = line.find('"', position + 1);
      if (end == std::string_view::npos) {
        return error{error_code::invalid_argument,
                     "line " + std::to_string(number) + ": missing closing quote"};
      }
      words.emplace_back(line.substr(position + 1, end - position - 1));
      position = end + 1;
      continue;
    }
    const std::size_t start = position;
    while (position < line.size() && !is_space(line[position])) {
      ++position;
    }
    words.emplace_back(line.substr(start, position - start));
  }
  return words;
}

// Position of the `=` of a `name=value` word; npos for any other word.
std::size_t option_separator(const std::string& word) {
  const std::size_t separator = word.find('=');
  if (separator == std::string::npos || separator == 0) {
    return std::string::npos;
  }
  const bool is_name = std::all_of(
      word.begin(), word.begin() + static_cast<std::ptrdiff_t>(separator), [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' ||
               character == '-' || character == '.';
      });
  return is_name ? separator : std::string::npos;
}

}  // namespace

std::string step::option(std::string_view name, const std::string& absent) const {
  for (const auto& [found, value] : options) {
    if (found == name) {
      return value;
    }
  }
  return absent;
}

bool step::has_word(std::string_view word) const {
  return std::find(words.begin(), words.end(), word) != words.end();
}

base::result<std::vector<step>> parse_script(std::string_view text) {
  std::vector<step> steps;
  int number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    ++number;
    auto words = split(line, number);
    if (!words) {
      return words.error();
    }
    if (words.value().empty()) {
      continue;
    }
    step added;
    added.line = number;
    added.text = line;
    const std::string& verb = words.value().front();
    const bool has_options = verb != "expect" && verb != "remember" && verb != "control";
    for (std::string& word : words.value()) {
      const std::size_t separator = has_options ? option_separator(word) : std::string::npos;
      if (separator == std::string::npos) {
        added.words.push_back(std::move(word));
      } else {
        added.options.emplace_back(word.substr(0, separator), word.substr(separator + 1));
      }
    }
    steps.push_back(std::move(added));
  }
  return steps;
}

base::result<std::chrono::milliseconds> parse_duration(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [number_end, failure] = std::from_chars(text.data(), end, value);
  const std::string_view unit(number_end, static_cast<std::size_t>(end - number_end));
  if (failure != std::errc() || value < 0 || (unit != "ms" && unit != "s")) {
    return error{error_code::invalid_argument, "not a duration in ms or s: " + std::string(text)};
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(unit == "s" ? value * 1000 : value));
}

}  // namespace fuchsiaspring::scenario
