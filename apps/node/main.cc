// fuchsia-node: the whole router of one VM in one process.
#include <boost/system/system_error.hpp>
#include <csignal>
#include <iostream>

#include "apps/common/command_line.h"
#include "apps/node/node.h"
#include "fuchsiaspring/settings/settings.h"

int main(int argc, char** argv) {
  using namespace fuchsiaspring;
  // A reload signal that arrives during startup would otherwise end the process. The settings are
  // read after this line.
  std::signal(SIGHUP, SIG_IGN);
  const auto parsed =
      apps::parse_command_line(argc, argv, "fuchsia-node",
                               "Routes requests of callers to replicas: gateway, scheduler and "
                               "agent of one VM in one process.");
  if (const int* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  const auto& options = std::get<apps::command_line>(parsed);
  const auto settings = settings::load_settings<schema::NodeSettings>(options.settings_path);
  if (!settings) {
    std::cerr << settings.error().message << '\n';
    return 1;
  }
  if (options.check_only) {
    std::cout << options.settings_path << ": no faults\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    node_app::router_node node(settings.value(), options.settings_path);
    node.run();
  } catch (const boost::system::system_error& error) {
    std::cerr << "fuchsia-node: stopped by a system error: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
