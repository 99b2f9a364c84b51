// The line-based scenario format; docs/scenarios.md describes it.
//
//   base::result<std::vector<step>> steps = parse_script(text);
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::scenario {

// One line of a scenario, split into words and `name=value` options.
struct step {
  int line = 0;
  std::string text;
  std::vector<std::string> words;  // without the options
  std::vector<std::pair<std::string, std::string>> options;

  // Value of an option, or `absent`.
  std::string option(std::string_view name, const std::string& absent = "") const;
  bool has_word(std::string_view word) const;
};

// Splits a text into steps. Blank lines and comments (#) are ignored. A word in double quotes
// extends to the closing quote; a word that begins with a brace, to the end of the line. Lines that
// begin with `expect`, `remember` or `control` have no options. Errors: invalid_argument with the
// line number.
base::result<std::vector<step>> parse_script(std::string_view text);

// Parses a duration such as "250ms" or "3s". Errors: invalid_argument.
base::result<std::chrono::milliseconds> parse_duration(std::string_view text);

}  // namespace fuchsiaspring::scenario
