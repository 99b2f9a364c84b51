// Command-line options common to all daemons.
#pragma once

#include <string>
#include <variant>

namespace fuchsiaspring::apps {

inline constexpr const char* version = "0.1.0";

struct command_line {
  std::string settings_path;
  bool check_only = false;
};

// Parses the options --settings, --check, --help and --version. Returns the exit status if the
// program is to end.
std::variant<command_line, int> parse_command_line(int argc, char** argv, const std::string& name,
                                                   const std::string& description);

}  // namespace fuchsiaspring::apps
