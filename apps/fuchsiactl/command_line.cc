#include <getopt.h>

#include <array>
#include <charconv>
#include <ostream>
#include <string_view>

#include "apps/fuchsiactl/commands.h"

namespace fuchsiaspring::ctl {
namespace {

constexpr std::uint64_t max_timeout_s = 3600;

// Parses an integer from 1 to `max`.
std::optional<std::uint64_t> parse_positive(std::string_view text, std::uint64_t max) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc{} || parsed != end || value == 0 || value > max) {
    return std::nullopt;
  }
  return value;
}

const std::array long_options{
    option{"revision", required_argument, nullptr, 'r'},
    option{"output", required_argument, nullptr, 'o'},
    option{"strict", no_argument, nullptr, 's'},
    option{"timeout", required_argument, nullptr, 't'},
    option{"help", no_argument, nullptr, 'h'},
    option{"version", no_argument, nullptr, 'V'},
    option{nullptr, 0, nullptr, 0},
};

// Stores one option in `call`. Returns the exit code if the program is to end.
std::optional<int> apply_option(int option_letter, invocation& call, std::ostream& out,
                                std::ostream& err) {
  switch (option_letter) {
    case 'r':
      call.options.revision = parse_positive(optarg, ~std::uint64_t{0});
      if (!call.options.revision) {
        err << "fuchsiactl: --revision accepts a whole number, 1 or higher\n";
        return usage_error;
      }
      return std::nullopt;
    case 't': {
      const auto seconds = parse_positive(optarg, max_timeout_s);
      if (!seconds) {
        err << "fuchsiactl: --timeout accepts a whole number from 1 to 3600 s\n";
        return usage_error;
      }
      call.options.timeout = std::chrono::seconds(*seconds);
      return std::nullopt;
    }
    case 'o':
      call.options.output = optarg;
      return std::nullopt;
    case 's':
      call.options.strict = true;
      return std::nullopt;
    case 'h':
      out << help_text();
      return success;
    case 'V':
      out << "fuchsiactl " << FUCHSIASPRING_VERSION << '\n';
      return success;
    default:
      err << "fuchsiactl: unknown option or missing value, see fuchsiactl --help\n";
      return usage_error;
  }
}

}  // namespace

int run_command_line(int argc, char** argv, std::ostream& out, std::ostream& err) {
  invocation call;
  optind = 0;
  opterr = 0;
  int option_letter = 0;
  while ((option_letter = getopt_long(argc, argv, "r:o:st:hV", long_options.data(), nullptr)) !=
         -1) {
    if (const auto code = apply_option(option_letter, call, out, err)) {
      return *code;
    }
  }
  if (optind >= argc) {
    err << help_text();
    return usage_error;
  }
  call.command = argv[optind];
  call.arguments.assign(argv + optind + 1, argv + argc);
  return run(call, out, err);
}

}  // namespace fuchsiaspring::ctl
