// An API key is revoked and refused everywhere. Seconds later the store comes back from a copy that
// is older than the revocation, and one of three node processes is killed and started again before
// the operator has written the configuration once more. Counts the requests with the revoked key
// that run. DRILL=0 or RESTART=0 leave out one half of the disruption, TROUBLE=0 leaves out both.
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr double revocation_s = 5;  // revocation-ms
constexpr int away_ms = 1000;
constexpr int restart_after_return_ms = 300;
constexpr int rewrite_after_return_ms = 2000;
constexpr int observed_after_return_ms = 6000;

std::string configuration(int version, const std::string& keys) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"file","hostname":"h.example","prefix":"/file/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"app","max-attempts":1,"public":false,"session-affinity":false,"stream-resumption":false}],)"
         R"("services":[{"name":"app","health-check-path":"/health","connection-limit":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"t1","api-keys":[)" + keys + R"(],"priority":1}]})";
}

bool is_on(const char* name) {
  const char* value = std::getenv(name);
  return has_trouble() && (value == nullptr || std::string(value) != "0");
}

struct sent_request {
  double sent_at = 0;
  std::string node;
};

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
  const bool has_drill = is_on("DRILL");
  const bool has_restart = is_on("RESTART");

  std::mutex mutex;
  std::map<std::string, sent_request> revoked_requests;  // by id
  std::map<std::string, std::string> runs;               // replica by id
  const std::uint64_t born = unix_ms() - 600000;
  std::list<server> replicas;
  for (int i = 0; i < 3; ++i) {
    const std::string id = "i-" + std::to_string(i);
    replicas.emplace_back("127.0.0.1", [&, id](int fd, const message& request) {
      if (request.target() == "/health") {
        write_all(fd, whole_answer(request, 200, "ok", "Fuchsiaspring-Instance-Id: " + id + "\r\n"));
        return;
      }
      if (request.header("Fuchsiaspring-Expected-Instance") != id) {
        write_all(fd, whole_answer(request, 421, ""));
        return;
      }
      {
        const std::lock_guard lock(mutex);
        runs[request.header("Fuchsiaspring-Attempt-Id")] = id;
      }
      sleep_ms(10);
      write_all(fd, whole_answer(request, 200, "done"));
    });
    if (!replicas.back().start()) {
      return could_not_run;
    }
  }
  const auto write_entries = [&] {
    int number = 0;
    for (const server& each : replicas) {
      const std::string id = "i-" + std::to_string(number);
      platform.put("servers/" + id, replica_entry("app", each.address(),
                                                  std::string(1, static_cast<char>('a' + number)), 6,
                                                  born + static_cast<std::uint64_t>(number)));
      ++number;
    }
  };
  write_entries();
  platform.put("op/config", configuration(3, R"("key1","withdrawn")"));

  std::list<node> nodes;
  for (int i = 1; i <= 3; ++i) {
    nodes.emplace_back(argv[1], node_options{.name = "vm-" + std::to_string(i),
                                             .ip = network + std::to_string(i),
                                             .zone = std::string(1, static_cast<char>('a' + i - 1)),
                                             .zone_regions = {{"a", "r"}, {"b", "r"}, {"c", "r"}},
                                             .seed_ips = {network + "1", network + "2"},
                                             .store_address = platform.address(),
                                             .revocation_ms = static_cast<int>(revocation_s * 1000)});
    nodes.back().start();
  }
  for (node& each : nodes) {
    if (!wait_until([&] { return each.is_ready(); }, 10000)) {
      record.line("%s is not ready", each.name().c_str());
      return could_not_run;
    }
  }
  sleep_ms(4000);

  int sequence = 0;
  std::atomic<int> served_with_key{0};
  const auto ask_all = [&] {
    for (node& each : nodes) {
      const std::string id = "withdrawn-" + std::to_string(sequence);
      {
        const std::lock_guard lock(mutex);
        revoked_requests[id] = {seconds_now(), each.name()};
      }
      const answer got = exchange(
          each.ip(), request_bytes("POST", "/file/x", "h.example", id, "withdrawn", 1500, "", "x"), 1500);
      record.line("%s, sent to %s with the key, gets status %d", id.c_str(), each.name().c_str(), got.status);
      const answer other = exchange(
          each.ip(), request_bytes("POST", "/file/x", "h.example", "kept-" + std::to_string(sequence), "key1", 1500, "", "x"), 1500);
      served_with_key += other.status == 200 ? 1 : 0;
      ++sequence;
    }
  };
  ask_all();
  platform.keep_copy();
  sleep_ms(500);
  platform.put("op/config", configuration(5, R"("key1")"));
  const double revoked_at = seconds_now();
  record.line("the store acknowledges version 5, which takes the key away");
  while (seconds_now() < revoked_at + revocation_s + 1) {
    ask_all();
    sleep_ms(300);
  }
  if (has_drill) {
    record.line("the store is away");
    platform.leave();
    sleep_ms(away_ms);
    platform.come_back();
    write_entries();
    record.line("the store is back with a copy from %.1f s ago; the replicas write their entries again",
                seconds_now() - revoked_at + 0.5);
  }
  const double back_at = seconds_now();
  sleep_ms(restart_after_return_ms);
  if (has_restart) {
    node& last = nodes.back();
    last.kill();
    last.start();
    record.line("%s is killed and starts again", last.name().c_str());
    wait_until([&] { return last.is_ready(); }, 5000);
  }
  bool is_rewritten = !has_drill;
  while (seconds_now() < back_at + observed_after_return_ms / 1000.0) {
    if (!is_rewritten && seconds_now() > back_at + rewrite_after_return_ms / 1000.0) {
      platform.put("op/config", configuration(5, R"("key1")"));
      record.line("the operator has written version 5 again");
      is_rewritten = true;
    }
    ask_all();
    sleep_ms(100);
  }
  for (node& each : nodes) {
    if (each.has_ended()) {
      record.line("%s has ended by itself", each.name().c_str());
      return could_not_run;
    }
  }

  const std::lock_guard lock(mutex);
  int before = 0;
  int late = 0;
  for (const auto& [id, sent] : revoked_requests) {
    const auto run = runs.find(id);
    if (run == runs.end()) {
      continue;
    }
    if (sent.sent_at <= revoked_at + revocation_s) {
      ++before;
      continue;
    }
    ++late;
    record.line("%s was sent to %s %.2f s after the ack and ran at %s", id.c_str(), sent.node.c_str(),
                sent.sent_at - revoked_at, run->second.c_str());
  }
  record.line("requests with the key that ran: %d sent up to %.0f s after the ack, %d sent later; "
              "requests with the other key that were served: %d; CONFIG %s",
              before, revocation_s, late, served_with_key.load(), late > 0 ? "broken" : "held");
  if (before == 0) {
    return could_not_run;  // the key never worked
  }
  return late > 0 ? rule_broken : rule_held;
}
