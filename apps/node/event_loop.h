// Runs the event loop of a node.
#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>

#include "fuchsiaspring/telemetry/event_log.h"
#include "fuchsiaspring/telemetry/metrics.h"

namespace fuchsiaspring::node_app {

// Runs `io` until it is stopped or has no more work. An exception that leaves a handler is logged
// and counted, and the loop goes on: an unexpected error in the work for one request or message
// must not end all others. Exceptions in the work for one request reach the gateway first, which
// ends that request.
void run_event_loop(boost::asio::io_context& io, telemetry::event_log& log,
                    telemetry::metrics& metrics);

// Logs and counts an exception that left a handler.
void report_handler_failure(const std::exception& error, telemetry::event_log& log,
                            telemetry::metrics& metrics);

}  // namespace fuchsiaspring::node_app
