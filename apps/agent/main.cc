// fuchsia-agent: configuration, VM list, peers and idempotency records of one VM.
#include <thread>

#include "apps/agent/agent.h"
#include "apps/common/daemon.h"
#include "fuchsiaspring/settings/settings.h"
#include "fuchsiaspring/telemetry/log.h"

namespace fuchsiaspring::agent {
namespace {

constexpr base::duration signal_wait = std::chrono::milliseconds(200);

int run(const schema::AgentSettings& settings) {
  const auto log = telemetry::make_logger("agent", settings.log());
  auto keys = transport::read_key_file(settings.key_file());
  if (!keys) {
    log->error("{}.", keys.error().message);
    return 1;
  }
  auto messenger = transport::messenger::open({.name = settings.vm() + "/agent",
                                               .listen_address = settings.mailbox_address(),
                                               .keys = std::move(keys).value()});
  if (!messenger) {
    log->error("{}.", messenger.error().message);
    return 1;
  }
  telemetry::metrics metrics;
  agent task(settings, *messenger.value(), metrics, log);
  auto operator_server = apps::start_operator_server(
      settings.operator_address(), {.not_ready_reason = [&] { return task.not_ready_reason(); },
                                    .metrics = [&] { return metrics.text(); },
                                    .status = [&] { return task.status(); }});
  if (!operator_server) {
    log->error("{}.", operator_server.error().message);
    return 1;
  }
  std::thread agent_thread([&] { task.run(); });
  log->info("Listening on {}.", settings.mailbox_address());
  apps::signal_event event = apps::signal_event::none;
  while (event != apps::signal_event::terminate) {
    event = apps::wait_for_signal(signal_wait);
    if (event == apps::signal_event::reload) {
      log->warn("SIGHUP is ignored: changed settings of the agent take effect after a restart.");
    }
  }
  task.stop();
  agent_thread.join();
  log->info("Stopped.");
  return 0;
}

}  // namespace
}  // namespace fuchsiaspring::agent

int main(int argc, char** argv) {
  using namespace fuchsiaspring;
  const auto parsed = apps::parse_command_line(
      argc, argv, "fuchsia-agent",
      "Brings configuration and VM list to one VM and keeps idempotency records.");
  if (const int* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  const auto& line = std::get<apps::command_line>(parsed);
  apps::block_signals();
  auto settings = settings::load_settings<schema::AgentSettings>(line.settings_path);
  if (!settings) {
    spdlog::error("{}", settings.error().message);
    return 1;
  }
  return line.check_only ? 0 : agent::run(settings.value());
}
