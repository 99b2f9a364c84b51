// A route may be served in one of two regions only. A new configuration gives the only tenant homes
// of its own: both regions. Both have to bind, so that the route's region stays the only one.
// Counts the requests that run in the other region. Without the disruption no configuration follows.
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int phase_ms = 6000;

std::string configuration(int version, const std::string& tenant_homes) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"file","hostname":"h.example","prefix":"/file/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"app","max-attempts":1,"public":false,"session-affinity":false,"stream-resumption":false,"allowed-regions":["east"]}],)"
         R"("services":[{"name":"app","health-check-path":"/health","connection-limit":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"t1","api-keys":["key1"],"priority":1)" + tenant_homes + "}]}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return could_not_run;
  }
  recorder record(argv[2]);
  const std::string network = free_network();
  store platform("127.0.0.1");
  if (network.empty() || !platform.start()) {
    return could_not_run;
  }
  struct counts {
    std::atomic<int> east{0};
    std::atomic<int> west{0};
  };
  counts ran;
  std::list<server> replicas;
  for (int i = 0; i < 4; ++i) {
    const bool is_west = i % 2 == 1;
    const std::string id = "i-" + std::to_string(i);
    const std::string zone = is_west ? "west-a" : "east-a";
    replicas.emplace_back("127.0.0.1", [&, id, zone, is_west](int fd, const message& request) {
      if (request.target() == "/health") {
        write_all(fd, whole_answer(request, 200, "ok", "Fuchsiaspring-Instance-Id: " + id + "\r\n"));
        return;
      }
      if (request.header("Fuchsiaspring-Expected-Instance") != id) {
        write_all(fd, whole_answer(request, 421, ""));
        return;
      }
      ++(is_west ? ran.west : ran.east);
      if (is_west) {
        record.line("%s runs at %s in %s", request.header("Fuchsiaspring-Attempt-Id").c_str(), id.c_str(), zone.c_str());
      }
      sleep_ms(15);
      write_all(fd, whole_answer(request, 200, "done"));
    });
    if (!replicas.back().start()) {
      return could_not_run;
    }
    platform.put("servers/" + id, replica_entry("app", replicas.back().address(), zone, 6, unix_ms() - 600000));
  }
  platform.put("op/config", configuration(3, ""));
  std::list<node> nodes;
  for (int i = 1; i <= 2; ++i) {
    nodes.emplace_back(argv[1], node_options{.name = "vm-" + std::to_string(i),
                                             .ip = network + std::to_string(i),
                                             .zone = i == 1 ? "east-a" : "west-a",
                                             .region = i == 1 ? "east" : "west",
                                             .zone_regions = {{"east-a", "east"}, {"west-a", "west"}},
                                             .seed_ips = {network + "1", network + "2"},
                                             .store_address = platform.address()});
    nodes.back().start();
  }
  for (node& each : nodes) {
    if (!wait_until([&] { return each.is_ready(); }, 10000)) {
      record.line("%s is not ready", each.name().c_str());
      return could_not_run;
    }
  }
  sleep_ms(4000);

  std::atomic<int> sequence{0};
  std::atomic<int> served{0};
  const auto send_for = [&](int time_ms) {
    const auto end = steady::now() + milliseconds(time_ms);
    std::vector<std::thread> consumers;
    for (int i = 0; i < 8; ++i) {
      consumers.emplace_back([&, i] {
        while (steady::now() < end) {
          // All consumers are in the east, and connect to the node there.
          const answer got = exchange(network + "1",
                                      request_bytes("POST", "/file/x", "h.example",
                                                    "a-" + std::to_string(sequence++), "key1", 1500, "", "x"),
                                      1500);
          served += got.status == 200 ? 1 : 0;
          sleep_ms(40 + i);
        }
      });
    }
    for (std::thread& each : consumers) {
      each.join();
    }
  };
  send_for(phase_ms);
  record.line("version 3 (the route's homes only): %d requests sent, %d ran in the east, %d in the west",
              sequence.load(), ran.east.load(), ran.west.load());
  const bool is_sound_before = ran.west == 0 && ran.east > 0;
  if (has_trouble()) {
    platform.put("op/config", configuration(9, R"(,"allowed-regions":["east","west"])"));
    record.line("the store acknowledges version 9: the tenant's homes are east and west");
  }
  sleep_ms(3000);  // config-apply-ms is 2,000
  const int before = ran.west;
  send_for(phase_ms);
  for (node& each : nodes) {
    if (each.has_ended()) {
      record.line("%s has ended by itself", each.name().c_str());
      return could_not_run;
    }
  }
  const int west = ran.west - before;
  const bool is_broken = ran.west > 0;
  record.line("in all: %d requests sent, %d served, %d ran in the east; in the west, where the route may not "
              "run: %d; HOME %s",
              sequence.load(), served.load(), ran.east.load(), west, is_broken ? "broken" : "held");
  if (!is_sound_before) {
    return could_not_run;
  }
  return is_broken ? rule_broken : rule_held;
}
