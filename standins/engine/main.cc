// Stand-in for an OpenAI-style model engine.
//
//   standin-engine --listen 127.0.0.1:22000 --slots 8 --first-token-ms 20 --token-ms 5 --seed 1
//
// Each word of a response contains the id of its request, so that a client can verify the response.
// docs/scenarios.md describes the control calls.
#include <iostream>
#include <stop_token>
#include <thread>

#include "standins/common/command_line.h"
#include "standins/common/http_stub.h"
#include "standins/engine/engine.h"
#include "standins/engine/engine_settings.h"

namespace fuchsiaspring::standins {
namespace {

int run(int argc, char** argv) {
  block_stop_signals();
  engine_settings settings;
  socket_address listen{"127.0.0.1", 22000};
  command_line line("standin-engine");
  line.add("listen", "address, ip:port", listen);
  add_options(line, settings);
  if (!line.parse(argc, argv)) {
    return 2;
  }
  engine stand_in(settings);
  http_stub server(listen);
  server.route("POST", "/v1/chat/completions", [&stand_in](const request& incoming) {
    return stand_in.handle_completion(incoming, true);
  });
  server.route("POST", "/v1/completions", [&stand_in](const request& incoming) {
    return stand_in.handle_completion(incoming, false);
  });
  server.route("GET", "/v1/models",
               [&stand_in](const request& incoming) { return stand_in.models(incoming); });
  server.route("GET", "/load",
               [&stand_in](const request& incoming) { return stand_in.load(incoming); });
  server.route("GET", "/counters", [&stand_in](const request&) { return stand_in.counters(); });
  server.route("POST", "/control",
               [&stand_in](const request& incoming) { return stand_in.control(incoming); });
  if (!server.start()) {
    std::cerr << "standin-engine: cannot listen on " << listen.ip << ":" << listen.port << "\n";
    return 1;
  }
  const std::jthread sampler([&stand_in](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      stand_in.sample_load();
      std::this_thread::sleep_for(stand_in.report_interval());
    }
  });
  wait_for_stop_signal();
  return 0;
}

}  // namespace
}  // namespace fuchsiaspring::standins

int main(int argc, char** argv) {
  return fuchsiaspring::standins::run(argc, argv);
}
