// fuchsia-gateway: HTTP to callers and upstreams.
#include <thread>

#include "apps/common/daemon.h"
#include "apps/gateway/decision_client.h"
#include "apps/gateway/gateway.h"
#include "fuchsiaspring/settings/settings.h"
#include "fuchsiaspring/telemetry/log.h"
#include "fuchsiaspring/transport/messenger.h"

namespace fuchsiaspring::gateway {
namespace {

using std::chrono::milliseconds;

constexpr base::duration signal_poll_interval = milliseconds(200);
constexpr base::duration drain_poll_interval = milliseconds(20);
// Requests sent before the load balancer saw readiness fail still arrive during this time.
constexpr base::duration min_drain_time = milliseconds(500);

int report_error(spdlog::logger& log, const base::error& error) {
  log.error("{}.", error.message);
  return 1;
}

void drain(http::http_server& server, gateway& gateway, const schema::GatewaySettings& settings,
           spdlog::logger& log) {
  log.info("Stopping; {} requests are in flight.", server.requests_in_flight());
  gateway.begin_drain();
  const base::time_point start = base::boot_clock::now();
  while (base::boot_clock::now() - start < min_drain_time) {
    std::this_thread::sleep_for(drain_poll_interval);
  }
  server.stop_accepting();
  const base::time_point deadline = start + milliseconds(settings.shutdown_timeout_ms());
  std::size_t idle_rounds = 0;
  constexpr std::size_t required_idle_rounds = 10;
  while (idle_rounds < required_idle_rounds && base::boot_clock::now() < deadline) {
    std::this_thread::sleep_for(drain_poll_interval);
    idle_rounds = server.requests_in_flight() == 0 ? idle_rounds + 1 : 0;
  }
  if (const auto left = server.requests_in_flight(); left > 0) {
    log.warn("The shutdown timeout expired; aborting {} requests in flight.", left);
  }
}

base::result<http::server_options> make_server_options(const schema::GatewaySettings& settings) {
  http::server_options options{.listen_address = settings.listen_address(),
                               .max_body_bytes = settings.max_body_bytes(),
                               .connection_timeout_s = settings.caller_timeout_s(),
                               .max_connections = settings.max_connections()};
  if (!settings.tls_certificate_file().empty()) {
    auto certificate = apps::read_file(settings.tls_certificate_file());
    auto key = apps::read_file(settings.tls_key_file());
    if (!certificate || !key) {
      return certificate ? key.error() : certificate.error();
    }
    options.tls_certificate_pem = std::move(certificate).value();
    options.tls_key_pem = std::move(key).value();
  }
  return options;
}

void reload(const std::string& path, schema::GatewaySettings& settings, spdlog::logger& log) {
  auto loaded = settings::load_settings<schema::GatewaySettings>(path);
  if (!loaded) {
    log.error("The settings are not reloaded: {}.", loaded.error().message);
    return;
  }
  for (const std::string& key : settings::not_reloadable_changes(settings, loaded.value())) {
    log.warn("A change of {} takes effect after a restart.", key);
  }
  settings.set_shutdown_timeout_ms(loaded.value().shutdown_timeout_ms());
  settings.mutable_log()->set_level(loaded.value().log().level());
  telemetry::apply_level(log, settings.log());
  log.info("The settings are reloaded.");
}

int run(const std::string& path, schema::GatewaySettings settings) {
  const auto log = telemetry::make_logger("gateway", settings.log());
  auto keys = transport::read_key_file(settings.key_file());
  if (!keys) {
    return report_error(*log, keys.error());
  }
  auto messenger = transport::messenger::open({.name = settings.vm() + "/gateway",
                                               .listen_address = settings.mailbox_address(),
                                               .keys = std::move(keys).value()});
  if (!messenger) {
    return report_error(*log, messenger.error());
  }
  telemetry::metrics metrics;
  decision_client client(settings, *messenger.value(), metrics, log);
  gateway instance(settings, client, metrics, log);
  auto options = make_server_options(settings);
  if (!options) {
    return report_error(*log, options.error());
  }
  http::http_server server(std::move(options).value(),
                           [&](http::http_request& request) { return instance.handle(request); });
  auto operator_server = apps::start_operator_server(
      settings.operator_address(), {.not_ready_reason = [&] { return instance.not_ready_reason(); },
                                    .metrics = [&] { return metrics.text(); },
                                    .status = [&] { return instance.status(); },
                                    .decisions = &instance.decisions()});
  if (!operator_server) {
    return report_error(*log, operator_server.error());
  }
  if (auto started = server.start(); !started) {
    return report_error(*log, started.error());
  }
  std::thread receive_thread([&] { client.run(); });
  log->info("Listening on {}.", settings.listen_address());
  apps::signal_event event = apps::signal_event::none;
  while (event != apps::signal_event::terminate) {
    event = apps::wait_for_signal(signal_poll_interval);
    if (event == apps::signal_event::reload) {
      reload(path, settings, *log);
    }
  }
  drain(server, instance, settings, *log);
  server.stop();
  client.stop();
  receive_thread.join();
  log->info("Stopped.");
  return 0;
}

}  // namespace
}  // namespace fuchsiaspring::gateway

int main(int argc, char** argv) {
  using namespace fuchsiaspring;
  const auto parsed = apps::parse_command_line(argc, argv, "fuchsia-gateway",
                                               "Serves callers over HTTP and relays to upstreams.");
  if (const int* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  const auto& arguments = std::get<apps::command_line>(parsed);
  apps::block_signals();
  auto settings = settings::load_settings<schema::GatewaySettings>(arguments.settings_path);
  if (!settings) {
    spdlog::error("{}", settings.error().message);
    return 1;
  }
  return arguments.check_only ? 0 : gateway::run(arguments.settings_path, settings.value());
}
