// fuchsia-node: the whole router of one VM in one process.
#include <malloc.h>

#include <boost/system/system_error.hpp>
#include <csignal>
#include <iostream>

#include "apps/common/command_line.h"
#include "apps/node/node.h"
#include "fuchsiaspring/settings/settings.h"

namespace {

// The C library raises its threshold for separate mappings to the size of the largest block that
// was freed, up to 32 MiB. Such blocks then stay in the heap, which does not shrink while anything
// lives behind them.
constexpr int separate_mapping_bytes = 131072;

}  // namespace

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
  (void)::mallopt(M_MMAP_THRESHOLD, separate_mapping_bytes);
  try {
    node_app::router_node node(settings.value(), options.settings_path);
    node.run();
  } catch (const boost::system::system_error& error) {
    std::cerr << "fuchsia-node: stopped by a system error: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
