#include "apps/node/event_loop.h"

#include <exception>

namespace fuchsiaspring::node_app {

void run_event_loop(boost::asio::io_context& io, telemetry::event_log& log,
                    telemetry::metrics& metrics) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      metrics.count("fuchsia_handler_failures_total", "Exceptions that left an event handler.", {});
      log.write(telemetry::level::error, "node", "handler_failed", {{"detail", error.what()}});
    }
  }
}

}  // namespace fuchsiaspring::node_app
