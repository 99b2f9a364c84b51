// fuchsia-scheduler: admission, order, routing and shares of one VM.
#include <thread>

#include "apps/common/daemon.h"
#include "apps/scheduler/scheduler.h"
#include "fuchsiaspring/settings/settings.h"
#include "fuchsiaspring/telemetry/log.h"

namespace fuchsiaspring::scheduler {
namespace {

constexpr base::duration signal_poll_interval = std::chrono::milliseconds(200);
constexpr base::duration drain_poll_interval = std::chrono::milliseconds(20);
// The load balancer needs about a second to notice that the VM is not ready.
constexpr base::duration min_drain_time = std::chrono::milliseconds(1500);
constexpr base::duration max_drain_time = std::chrono::seconds(10);

int run(const schema::SchedulerSettings& settings) {
  const auto log = telemetry::make_logger("scheduler", settings.log());
  auto keys = transport::read_key_file(settings.key_file());
  if (!keys) {
    log->error("{}.", keys.error().message);
    return 1;
  }
  auto messenger = transport::messenger::open({.name = settings.vm() + "/scheduler",
                                               .listen_address = settings.mailbox_address(),
                                               .keys = std::move(keys).value()});
  if (!messenger) {
    log->error("{}.", messenger.error().message);
    return 1;
  }
  telemetry::metrics metrics;
  scheduler instance(settings, *messenger.value(), metrics, log);
  auto operator_server = apps::start_operator_server(
      settings.operator_address(), {.not_ready_reason = [&] { return instance.not_ready_reason(); },
                                    .metrics = [&] { return metrics.text(); },
                                    .status = [&] { return instance.status(); },
                                    .decisions = &instance.decisions()});
  if (!operator_server) {
    log->error("{}.", operator_server.error().message);
    return 1;
  }
  std::thread run_thread([&] { instance.run(); });
  log->info("Listening on {}.", settings.mailbox_address());
  apps::signal_event event = apps::signal_event::none;
  while (event != apps::signal_event::terminate) {
    event = apps::wait_for_signal(signal_poll_interval);
    if (event == apps::signal_event::reload) {
      log->warn("Changed settings of the scheduler take effect after a restart.");
    }
  }
  log->info("Stopping.");
  instance.begin_drain();
  const base::time_point drain_start = base::boot_clock::now();
  const auto drained_for = [&] { return base::boot_clock::now() - drain_start; };
  while (drained_for() < min_drain_time ||
         (!instance.is_queue_empty() && drained_for() < max_drain_time)) {
    std::this_thread::sleep_for(drain_poll_interval);
  }
  instance.stop();
  run_thread.join();
  log->info("Stopped.");
  return 0;
}

}  // namespace
}  // namespace fuchsiaspring::scheduler

int main(int argc, char** argv) {
  using namespace fuchsiaspring;
  const auto parsed = apps::parse_command_line(
      argc, argv, "fuchsia-scheduler", "Decides on admission, order and routing for one VM.");
  if (const int* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  const auto& arguments = std::get<apps::command_line>(parsed);
  apps::block_signals();
  auto settings = settings::load_settings<schema::SchedulerSettings>(arguments.settings_path);
  if (!settings) {
    spdlog::error("{}", settings.error().message);
    return 1;
  }
  return arguments.check_only ? 0 : scheduler::run(settings.value());
}
