#include "apps/common/command_line.h"

#include <getopt.h>

#include <array>
#include <iostream>

namespace fuchsiaspring::apps {
namespace {

void print_help(const std::string& name, const std::string& description) {
  std::cout << "Usage: " << name << " --settings FILE [--check]\n\n"
            << description << "\n\n"
            << "  -s, --settings FILE  settings in YAML (required)\n"
            << "  -c, --check          check the settings and exit\n"
            << "  -h, --help           show this text\n"
            << "  -V, --version        show the version\n\n"
            << "SIGTERM stops gracefully, SIGHUP reads the settings again.\n"
            << "Exit status: 0 after a graceful stop, 1 on a failure, 2 on wrong usage.\n";
}

}  // namespace

std::variant<command_line, int> parse_command_line(int argc, char** argv, const std::string& name,
                                                   const std::string& description) {
  static const std::array<option, 5> options{{{"settings", required_argument, nullptr, 's'},
                                              {"check", no_argument, nullptr, 'c'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {"version", no_argument, nullptr, 'V'},
                                              {nullptr, 0, nullptr, 0}}};
  command_line parsed;
  int option_letter = 0;
  while ((option_letter = getopt_long(argc, argv, "s:chV", options.data(), nullptr)) != -1) {
    switch (option_letter) {
      case 's':
        parsed.settings_path = optarg;
        break;
      case 'c':
        parsed.check_only = true;
        break;
      case 'h':
        print_help(name, description);
        return 0;
      case 'V':
        std::cout << name << ' ' << version << '\n';
        return 0;
      default:
        return 2;
    }
  }
  if (parsed.settings_path.empty() || optind < argc) {
    std::cerr << "Usage: " << name << " --settings FILE [--check]; see --help\n";
    return 2;
  }
  return parsed;
}

}  // namespace fuchsiaspring::apps
