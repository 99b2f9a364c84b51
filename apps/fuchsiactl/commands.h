// The commands of fuchsiactl.
#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "apps/fuchsiactl/operator_client.h"

namespace fuchsiaspring::ctl {

// Exit codes, listed by --help.
enum exit_code : int {
  success = 0,
  usage_error = 1,   // unknown command or option, missing argument
  set_refused = 2,   // the set or bundle has faults
  daemon_error = 3,  // the daemon cannot be reached or responded with an error
  file_error = 4,    // a file cannot be read or written, or an object cannot be found
};

struct options {
  std::optional<std::uint64_t> revision;
  std::string output;
  bool strict = false;  // warnings count as errors
  std::chrono::milliseconds timeout = default_timeout;
};

struct invocation {
  std::string command;
  std::vector<std::string> arguments;
  ctl::options options;
};

// Runs one command. Results go to `out`, findings and errors to `err`. Returns an exit_code.
int run(const invocation& call, std::ostream& out, std::ostream& err);

// Parses the command line as main() receives it and runs the command. Not thread-safe, because
// getopt_long keeps its state in global variables.
int run_command_line(int argc, char** argv, std::ostream& out, std::ostream& err);

// The text of --help.
std::string help_text();

}  // namespace fuchsiaspring::ctl
