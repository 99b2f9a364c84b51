#include "apps/node/event_loop.h"

namespace fuchsiaspring::node_app {

void run_event_loop(boost::asio::io_context& io, telemetry::event_log& log,
                    telemetry::metrics& metrics) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      report_handler_failure(error, log, metrics);
    }
  }
}

void report_handler_failure(const std::exception& error, telemetry::event_log& log,
                            telemetry::metrics& metrics) {
  metrics.count("fuchsia_handler_failures_total", "Exceptions that left an event handler.", {});
  log.write(telemetry::level::error, "node", "handler_failed", {{"detail", error.what()}});
}

}  // namespace fuchsiaspring::node_app
