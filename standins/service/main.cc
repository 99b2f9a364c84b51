// Stand-in for a plain HTTP service with non-idempotent and idempotent calls.
//
//   standin-service --listen 127.0.0.1:22100 [--check-keys] [--delay-ms 5]
//
// It counts the executions of each Idempotency-Key (or else X-Request-Id), so that a test can check
// that none was executed twice. docs/scenarios.md describes the control calls.
#include <atomic>
#include <cstdint>
#include <iostream>
#include <string>

#include "fuchsiaspring/base/time.h"
#include "standins/common/command_line.h"
#include "standins/common/http_stub.h"
#include "standins/service/run_counter.h"

namespace fuchsiaspring::standins {
namespace {

// Number of calls to which a fault is still applied; negative: all further calls.
class fault_count {
 public:
  void set(const nlohmann::json& value) {
    m_remaining = value.is_boolean() ? (value.get<bool>() ? -1 : 0) : value.get<int>();
  }

  // Returns whether the fault applies to this call, and decrements a positive count.
  bool consume() {
    int remaining = m_remaining;
    while (remaining > 0) {
      if (m_remaining.compare_exchange_weak(remaining, remaining - 1)) {
        return true;
      }
    }
    return remaining < 0;
  }

 private:
  std::atomic<int> m_remaining{0};
};

struct service_state {
  run_counter counter;
  std::string name = "service";
  bool check_keys = false;
  std::atomic<int> delay_ms{0};
  std::atomic<bool> frozen{false};
  fault_count crash_after_accept;
  fault_count crash_after_run;
};

constexpr auto freeze_poll_interval = std::chrono::milliseconds(20);

// Waits for the end of a freeze and then for the configured delay. Returns false when the caller
// disconnects.
bool wait_before_work(service_state& state, const request& incoming) {
  while (state.frozen) {
    if (!incoming.peer.wait_until(base::boot_clock::now() + freeze_poll_interval)) {
      return false;
    }
  }
  const auto delay = std::chrono::milliseconds(state.delay_ms.load());
  return incoming.peer.wait_until(base::boot_clock::now() + delay);
}

reply with_request_id(reply response, const request& incoming) {
  const std::string id = incoming.header("X-Request-Id");
  if (!id.empty()) {
    response.headers.emplace_back("X-Request-Id", id);
  }
  return response;
}

reply run_call(service_state& state, const request& incoming) {
  if (state.crash_after_accept.consume()) {
    state.counter.record_failure();
    incoming.peer.abort();
    return error_reply(500, "crash", "closed before running");
  }
  // As in a real service, the call runs even if the caller disconnects during the delay.
  const bool is_caller_connected = wait_before_work(state, incoming);
  std::string key = incoming.header("Idempotency-Key");
  if (key.empty()) {
    key = incoming.header("X-Request-Id");
  }
  if (state.check_keys && !key.empty()) {
    if (const auto first = state.counter.first_run_ordinal(key)) {
      state.counter.record_replay();
      return json_reply(200, {{"key", key}, {"ordinal", *first}, {"replayed", true}});
    }
  }
  const std::uint64_t ordinal = state.counter.record_run(key);
  if (state.crash_after_run.consume()) {
    state.counter.record_failure();
    incoming.peer.abort();
    return error_reply(500, "crash", "closed after running");
  }
  if (!is_caller_connected) {
    state.counter.record_failure();
  }
  return json_reply(
      200, {{"service", state.name}, {"call", incoming.path}, {"key", key}, {"ordinal", ordinal}});
}

reply read_value(service_state& state, const request& incoming) {
  wait_before_work(state, incoming);
  state.counter.record_read();
  return json_reply(200, {{"service", state.name}, {"call", incoming.path}, {"value", 100}});
}

reply apply_control(service_state& state, const request& incoming) {
  const auto fields = nlohmann::json::parse(incoming.body, nullptr, false);
  if (!fields.is_object()) {
    return error_reply(400, "invalid_control", "body is not a JSON object");
  }
  for (const auto& [name, value] : fields.items()) {
    if (name == "delay_ms" && value.is_number()) {
      state.delay_ms = value.get<int>();
    } else if (name == "freeze" && value.is_boolean()) {
      state.frozen = value.get<bool>();
    } else if (name == "crash_after_accept" && (value.is_boolean() || value.is_number())) {
      state.crash_after_accept.set(value);
    } else if (name == "crash_after_run" && (value.is_boolean() || value.is_number())) {
      state.crash_after_run.set(value);
    } else {
      return error_reply(400, "invalid_control", "unknown or invalid field " + name);
    }
  }
  return json_reply(200, {{"ok", true}});
}

int run(int argc, char** argv) {
  block_stop_signals();
  service_state state;
  socket_address listen{"127.0.0.1", 22100};
  int delay_ms = 0;
  std::uint64_t seed = 1;
  command_line line("standin-service");
  line.add("listen", "address, ip:port", listen);
  line.add("name", "service name in responses", state.name);
  line.add("check-keys", "replay the first result of a repeated key instead of running it again",
           state.check_keys);
  line.add("delay-ms", "time that each call takes", delay_ms);
  line.add("seed", "accepted for uniformity; this stand-in draws no random numbers", seed);
  if (!line.parse(argc, argv)) {
    return 2;
  }
  state.delay_ms = delay_ms;
  http_stub server(listen);
  for (const char* path : {"/redeem", "/filings"}) {
    server.route("POST", path, [&state](const request& incoming) {
      return with_request_id(run_call(state, incoming), incoming);
    });
  }
  for (const char* path : {"/balance", "/status"}) {
    server.route("GET", path, [&state](const request& incoming) {
      return with_request_id(read_value(state, incoming), incoming);
    });
  }
  server.route("GET", "/counters",
               [&state](const request&) { return json_reply(200, state.counter.to_json()); });
  server.route("POST", "/control",
               [&state](const request& incoming) { return apply_control(state, incoming); });
  if (!server.start()) {
    std::cerr << "standin-service: cannot listen on " << listen.ip << ":" << listen.port << "\n";
    return 1;
  }
  wait_for_stop_signal();
  return 0;
}

}  // namespace
}  // namespace fuchsiaspring::standins

int main(int argc, char** argv) {
  return fuchsiaspring::standins::run(argc, argv);
}
