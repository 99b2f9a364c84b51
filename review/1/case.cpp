// An entry of another writer under servers/ that names no replica: does the router go on?
//
// Three machines, three replicas of an unsafe service, and consumers with kept channels whose
// requests take 0.6 s. At 4 s another writer puts one entry whose field `slots` is not a number but
// lists within lists. The platform starts processes that have ended again.
#include "caller.hpp"
#include "replicas.hpp"

namespace {

using namespace review;

constexpr double trouble_at_s = 4;
constexpr double end_s = 16;
constexpr int consumers_per_machine = 4;
// Depth of the lists: the entry has 800 KB, below the 1,048,576 bytes of `value-bytes`.
constexpr std::size_t depth = 400'000;

const char* const config = R"({"version":1,"routes":[
  {"name":"r-pay","hostname":"h.example","prefix":"/pay/","kind":"unsafe","timeout-ms":5000,
   "target-latency-ms":1000,"priority":0,"service":"pay-app","max-attempts":1,"public":false,
   "session-affinity":false,"stream-resumption":false}],
 "services":[{"name":"pay-app","health-check-path":"/health","connection-limit":96,
   "cold-start-s":0.0,"cold-per-s":0.0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
   "idle-timeout-ms":15000},
 "tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]})";

struct tally {
  std::mutex mutex;
  std::set<std::string> arrived;  // ids that a replica has begun to run
  std::atomic<int> answered = 0;
  std::atomic<int> lost_passed_on = 0;  // kept channel, passed on, closed without an answer
  std::atomic<int> lost_others = 0;
  std::atomic<int> answered_after = 0;
  std::atomic<int> sent_after = 0;
};

void run_consumer(machine& at, tally& counts, record& log) {
  std::unique_ptr<channel> open;
  int answers_on_channel = 0;
  while (now_s() < end_s) {
    if (!open) {
      open = channel::connect(at.frontend());
      answers_on_channel = 0;
      if (!open) {
        sleep_s(0.25);
        continue;
      }
    }
    outgoing message{.target = answers_on_channel == 0 ? "/pay/quick" : "/pay/slow", .body = "x"};
    const bool is_after = now_s() > trouble_at_s + 2;
    counts.sent_after += is_after ? 1 : 0;
    const answer got =
        open->write(message.bytes()) ? read_answer(*open, now_s() + 6) : answer{.is_closed = true};
    if (got.is_complete) {
      ++answers_on_channel;
      ++counts.answered;
      counts.answered_after += is_after ? 1 : 0;
      if (lower(got.top.header("Connection")) == "close") {
        open.reset();
      }
      sleep_s(0.02);
      continue;
    }
    bool has_arrived = false;
    {
      const std::lock_guard lock(counts.mutex);
      has_arrived = counts.arrived.contains(message.id);
    }
    const bool is_kept = answers_on_channel > 0;
    ++(is_kept && has_arrived ? counts.lost_passed_on : counts.lost_others);
    log.line("request %s to %s on a %s channel, %s: %s", message.id.c_str(), at.name().c_str(),
             is_kept ? "kept" : "new", has_arrived ? "passed on to a replica" : "not passed on",
             got.text().c_str());
    open.reset();
    sleep_s(0.25);
  }
}

int run(record& log) {
  loopback addresses;
  store platform_store(addresses.address(200));
  tally counts;
  const replica::handler on_request = [&](replica& self, channel& from, const request& message) {
    {
      const std::lock_guard lock(counts.mutex);
      counts.arrived.insert(message.id());
    }
    sleep_s(message.target() == "/pay/slow" ? 0.6 : 0.01);
    return self.answer(from, message, "200 OK", "paid " + message.id());
  };
  std::vector<std::unique_ptr<replica>> replicas;
  const std::vector<std::string> zones{"z-a", "z-b", "z-c"};
  for (int i = 0; i < 3; ++i) {
    replicas.push_back(std::make_unique<replica>("i-pay" + std::to_string(i + 1), "pay-app",
                                                 zones[i], 6, addresses.address(100 + i),
                                                 platform_store, log, on_request));
  }
  platform_store.put("op/config", config);
  fleet machines(addresses, zones, platform_store.at(), {}, log);
  if (!machines.wait_until_ready(3)) {
    log.line("the case could not run");
    return 2;
  }
  std::vector<std::thread> consumers;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    for (int j = 0; j < consumers_per_machine; ++j) {
      consumers.emplace_back([&, i] { run_consumer(machines[i], counts, log); });
    }
  }
  sleep_until_s(trouble_at_s);
  if (has_trouble()) {
    const std::string entry =
        R"({"service":"pay-app","address":"127.0.0.1:9","zone":"z-a","slots":)" +
        std::string(depth, '[') + std::string(depth, ']') +
        R"(,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1})";
    platform_store.put("servers/other-writer", entry);
    log.line("another writer puts servers/other-writer, %zu bytes, `slots` is no number",
             entry.size());
  }
  std::vector<double> start_at(machines.size(), 0);
  while (now_s() < end_s) {
    for (std::size_t i = 0; i < machines.size(); ++i) {
      if (machines[i].poll()) {
        start_at[i] = 0;
        continue;
      }
      if (start_at[i] == 0) {
        start_at[i] = now_s() + 0.5;
      }
      if (now_s() >= start_at[i]) {
        machines[i].start();
        start_at[i] = 0;
      }
    }
    sleep_s(0.02);
  }
  for (std::thread& each : consumers) {
    each.join();
  }
  int own_ends = 0;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    own_ends += machines[i].own_ends();
  }
  log.line("answered %d; from 2 s after the entry on sent %d, answered %d", counts.answered.load(),
           counts.sent_after.load(), counts.answered_after.load());
  log.line("processes that ended by themselves: %d", own_ends);
  constexpr int allowed_losses = 3;
  return log.verdict(counts.lost_passed_on > allowed_losses,
                     std::to_string(counts.lost_passed_on) +
                         " requests on kept channels were passed on to a sound replica and their "
                         "channel closed without an answer (3 are allowed); " +
                         std::to_string(own_ends) + " ends of processes by themselves");
}

}  // namespace

int main(int, char** arguments) {
  record log(arguments[1]);
  return run(log);
}
