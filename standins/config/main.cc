// Stand-in for the read-only configuration service.
//
//   standin-config --listen 127.0.0.1:22200 --bundle bundle.json --vms vms.json
//
// The files hold a Bundle of schema/catalog.proto and a VmList of schema/messages.proto, as
// protobuf JSON or serialized, and are read again when they change. docs/scenarios.md describes the
// control requests.
#include <google/protobuf/util/json_util.h>

#include <atomic>
#include <charconv>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>

#include "catalog.pb.h"
#include "fuchsiaspring/base/time.h"
#include "messages.pb.h"
#include "standins/common/command_line.h"
#include "standins/common/http_stub.h"
#include "standins/config/published_value.h"

namespace fuchsiaspring::standins {
namespace {

constexpr auto reload_interval = std::chrono::milliseconds(50);
constexpr std::uint64_t max_wait_ms = 300000;

template <typename Message>
bool parse_message(const std::string& contents, Message& message) {
  const std::size_t start = contents.find_first_not_of(" \t\r\n");
  if (start != std::string::npos && contents[start] == '{') {
    return google::protobuf::util::JsonStringToMessage(contents, &message).ok();
  }
  return message.ParseFromString(contents);
}

std::optional<versioned_bytes> parse_bundle_file(const std::string& contents) {
  schema::Bundle bundle;
  if (!parse_message(contents, bundle) || bundle.revision() == 0) {
    return std::nullopt;
  }
  return versioned_bytes{bundle.revision(), bundle.SerializeAsString()};
}

std::optional<versioned_bytes> parse_vms_file(const std::string& contents) {
  schema::VmList list;
  if (!parse_message(contents, list) || list.version() == 0) {
    return std::nullopt;
  }
  return versioned_bytes{list.version(), list.SerializeAsString()};
}

// Counts requests in total, in the last full second and in the busiest second. Thread-safe.
class call_meter {
 public:
  void record() {
    const std::lock_guard lock(m_mutex);
    advance_second();
    ++m_calls;
    ++m_current_calls;
    m_max_calls = std::max(m_max_calls, m_current_calls);
  }

  nlohmann::json to_json() {
    const std::lock_guard lock(m_mutex);
    advance_second();
    return {{"calls", m_calls},
            {"calls_last_second", m_previous_calls},
            {"most_calls_in_a_second", m_max_calls}};
  }

 private:
  void advance_second() {
    const std::uint64_t second = base::wall_clock_ms() / 1000;
    if (second == m_second) {
      return;
    }
    m_previous_calls = second == m_second + 1 ? m_current_calls : 0;
    m_current_calls = 0;
    m_second = second;
  }

  std::mutex m_mutex;
  std::uint64_t m_second = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_current_calls = 0;
  std::uint64_t m_previous_calls = 0;
  std::uint64_t m_max_calls = 0;
};

struct config_state {
  config_state(std::string bundle_path, std::string vms_path)
      : bundles(std::move(bundle_path), parse_bundle_file),
        vm_lists(std::move(vms_path), parse_vms_file) {}

  published_value bundles;
  published_value vm_lists;
  call_meter meter;
  std::atomic<bool> down{false};
  std::atomic<int> lag_ms{0};
  std::atomic<int> waiting{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> bytes_sent{0};
};

std::uint64_t parse_number(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

reply unavailable(config_state& state) {
  ++state.refused;
  return error_reply(503, "unavailable", "configuration service is down");
}

reply serve_value(config_state& state, published_value& value, const char* header,
                  const request& incoming) {
  state.meter.record();
  if (state.down) {
    return unavailable(state);
  }
  const auto reply_delay = std::chrono::milliseconds(state.lag_ms.load());
  incoming.peer.wait_until(base::boot_clock::now() + reply_delay);
  const std::uint64_t wait_ms = std::min(parse_number(incoming.query("wait_ms")), max_wait_ms);
  const auto deadline = base::boot_clock::now() + std::chrono::milliseconds(wait_ms);
  ++state.waiting;
  const auto found = value.wait_for_newer(
      parse_number(incoming.query("after")), deadline,
      [&state, &incoming] { return !state.down && !incoming.peer.is_closed(); });
  --state.waiting;
  if (state.down) {
    return unavailable(state);
  }
  reply response;
  response.content_type = "application/x-protobuf";
  if (!found) {
    response.status = 304;
    return response;
  }
  state.bytes_sent += found->bytes.size();
  response.headers.emplace_back(header, std::to_string(found->version));
  response.body = found->bytes;
  return response;
}

reply apply_control(config_state& state, const request& incoming) {
  const auto fields = nlohmann::json::parse(incoming.body, nullptr, false);
  if (!fields.is_object()) {
    return error_reply(400, "invalid_control", "body is not a JSON object");
  }
  for (const auto& [name, value] : fields.items()) {
    if (name == "reload" && value.is_boolean()) {
      state.bundles.reload(true);
      state.vm_lists.reload(true);
    } else if (name == "stale" && value.is_boolean()) {
      state.bundles.set_stale(value.get<bool>());
      state.vm_lists.set_stale(value.get<bool>());
    } else if (name == "down" && value.is_boolean()) {
      state.down = value.get<bool>();
      state.bundles.notify_waiters();
      state.vm_lists.notify_waiters();
    } else if (name == "lag_ms" && value.is_number()) {
      state.lag_ms = value.get<int>();
    } else {
      return error_reply(400, "invalid_control", "unknown or invalid field " + name);
    }
  }
  return json_reply(200, {{"ok", true}});
}

nlohmann::json to_json(config_state& state) {
  auto counters = state.meter.to_json();
  counters["waiting"] = state.waiting.load();
  counters["refused"] = state.refused.load();
  counters["bytes_sent"] = state.bytes_sent.load();
  counters["revision"] = state.bundles.visible_version();
  counters["list_version"] = state.vm_lists.visible_version();
  counters["failed_reads"] = state.bundles.failed_reads() + state.vm_lists.failed_reads();
  return counters;
}

int run(int argc, char** argv) {
  block_stop_signals();
  socket_address listen{"127.0.0.1", 22200};
  std::string bundle_path;
  std::string vms_path;
  std::uint64_t seed = 1;
  command_line line("standin-config");
  line.add("listen", "address, ip:port", listen);
  line.add("bundle", "file with a Bundle", bundle_path);
  line.add("vms", "file with a VmList", vms_path);
  line.add("seed", "accepted for uniformity; this stand-in draws no random numbers", seed);
  if (!line.parse(argc, argv)) {
    return 2;
  }
  config_state state(bundle_path, vms_path);
  http_stub server(listen);
  server.route("GET", "/v1/bundle", [&state](const request& incoming) {
    return serve_value(state, state.bundles, "X-Revision", incoming);
  });
  server.route("GET", "/v1/vms", [&state](const request& incoming) {
    return serve_value(state, state.vm_lists, "X-Version", incoming);
  });
  server.route("GET", "/counters",
               [&state](const request&) { return json_reply(200, to_json(state)); });
  server.route("POST", "/control",
               [&state](const request& incoming) { return apply_control(state, incoming); });
  if (!server.start()) {
    std::cerr << "standin-config: cannot listen on " << listen.ip << ":" << listen.port << "\n";
    return 1;
  }
  const std::jthread reloader([&state](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      state.bundles.reload(false);
      state.vm_lists.reload(false);
      std::this_thread::sleep_for(reload_interval);
    }
  });
  wait_for_stop_signal();
  state.down = true;
  return 0;
}

}  // namespace
}  // namespace fuchsiaspring::standins

int main(int argc, char** argv) {
  return fuchsiaspring::standins::run(argc, argv);
}
