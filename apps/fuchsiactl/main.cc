// fuchsiactl checks and publishes operators' objects and queries running daemons. See --help.
#include <iostream>

#include "apps/fuchsiactl/commands.h"

int main(int argc, char** argv) {
  return fuchsiaspring::ctl::run_command_line(argc, argv, std::cout, std::cerr);
}
