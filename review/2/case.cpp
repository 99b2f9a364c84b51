// A replica begins to answer a long request before it has read its body, and breaks off.
//
// The answer has neither a length nor chunks and ends with its channel. The replica resets the
// channel in the middle of it, as the system does for a process that ends with unread bytes. The
// requests are unsafe. Twice for 5.5 s three of five replicas do so with long requests; all other
// answers are whole.
#include "caller.hpp"
#include "replicas.hpp"

namespace {

using namespace review;

constexpr double begin_s = 3;
// Twice, each for trouble_s.
constexpr double trouble_at_s[] = {6, 16};
constexpr double trouble_s = 5.5;
constexpr double end_s = 24;
constexpr int replica_count = 5;
constexpr int faulty_replicas = 3;
constexpr int light_consumers = 24;
constexpr int long_consumers = 6;
constexpr double light_interval_s = 0.03;
constexpr double long_interval_s = 0.15;
constexpr std::size_t long_body_bytes = 4'000'000;  // `max-body-bytes` is 4,194,304
constexpr int max_pause_ms = 4;                     // between the half answer and the reset

const char* const config = R"({"version":1,"routes":[
  {"name":"r-file","hostname":"h.example","prefix":"/file/","kind":"unsafe","timeout-ms":5000,
   "target-latency-ms":1000,"priority":0,"service":"filing","max-attempts":1,"public":false,
   "session-affinity":false,"stream-resumption":false}],
 "services":[{"name":"filing","health-check-path":"/health","connection-limit":110,
   "cold-start-s":0.0,"cold-per-s":0.0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
   "idle-timeout-ms":15000},
 "tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]})";

std::string whole_body(const std::string& id) {
  return "filed " + id + "\ncase number 4711\nfee charged\nend\n";
}

struct tally {
  std::atomic<int> light_answered = 0;
  std::atomic<int> light_other = 0;
  std::atomic<int> resets = 0;
  std::atomic<int> answers_in_trouble = 0;  // of all replicas, while some break off
  std::atomic<int> whole = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> cut_short = 0;
};

// Answers before the body is read, and resets the channel in the middle.
bool break_off(replica& self, channel& to, const request& message, tally& counts) {
  const std::string body = whole_body(message.id());
  std::string bytes = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
  for (const auto& [name, value] : self.answer_headers(message)) {
    bytes += name + ": " + value + "\r\n";
  }
  to.write(bytes + "\r\n" + body.substr(0, body.size() / 2));
  static thread_local std::mt19937 random(std::random_device{}());
  sleep_s(std::uniform_real_distribution<double>(0, max_pause_ms / 1000.0)(random));
  ++counts.resets;
  to.reset();
  return false;
}

void send_light_requests(machine& at, tally& counts) {
  std::unique_ptr<channel> open;
  sleep_until_s(begin_s);
  while (now_s() < end_s) {
    if (!open) {
      open = channel::connect(at.frontend());
    }
    const outgoing message{.target = "/file/light", .deadline_ms = 4000, .body = "x"};
    answer got;
    if (open && open->write(message.bytes())) {
      got = read_answer(*open, now_s() + 5);
    }
    const bool is_whole =
        got.status == 200 && got.is_complete && got.body == whole_body(message.id);
    ++(is_whole ? counts.light_answered : counts.light_other);
    if (!is_whole) {
      open.reset();
    }
    sleep_s(light_interval_s);
  }
}

void send_long_requests(machine& at, tally& counts, record& log) {
  const std::string body(long_body_bytes, 'f');
  sleep_until_s(begin_s);
  while (now_s() < end_s) {
    outgoing message{.target = "/file/long", .deadline_ms = 4000};
    message.body = body;
    const answer got = call(at.frontend(), message);
    const bool is_complete = got.status == 200 && got.is_complete;
    if (is_complete && got.body != whole_body(message.id)) {
      ++counts.cut_short;
      log.line(
          "request %s to %s: 200, complete, %zu of %zu bytes, signature %s: HALF OF AN ANSWER "
          "AS A COMPLETE SUCCESS",
          message.id.c_str(), at.name().c_str(), got.body.size(), whole_body(message.id).size(),
          got.top.header("Fuchsiaspring-Response-Signature").c_str());
    } else {
      ++(is_complete ? counts.whole : counts.failed);
    }
    sleep_s(long_interval_s);
  }
}

int run(record& log) {
  loopback addresses;
  store platform_store(addresses.address(200));
  tally counts;
  const auto is_in_trouble = [] {
    const double now = now_s();
    return has_trouble() &&
           std::any_of(std::begin(trouble_at_s), std::end(trouble_at_s),
                       [now](double from) { return now >= from && now < from + trouble_s; });
  };
  const auto breaks_off = [&](const std::string& target, int index) {
    return target == "/file/long" && index < faulty_replicas && is_in_trouble();
  };
  const std::vector<std::string> zones{"z-a", "z-b", "z-c"};
  std::vector<std::unique_ptr<replica>> replicas;
  for (int i = 0; i < replica_count; ++i) {
    // The body of a request that has none, though its length says otherwise, was not read.
    const replica::handler on_request = [&](replica& self, channel& from, const request& message) {
      counts.answers_in_trouble += is_in_trouble() ? 1 : 0;
      const bool is_unread = message.body.empty();
      return is_unread ? break_off(self, from, message, counts)
                       : self.answer(from, message, "200 OK", whole_body(message.id()));
    };
    const server::early_rule is_early = [&, i](const head& top) {
      return breaks_off(top.word(1), i);
    };
    replicas.push_back(std::make_unique<replica>("i-filing" + std::to_string(i + 1), "filing",
                                                 zones[i % 3], 6, addresses.address(100 + i),
                                                 platform_store, log, on_request, is_early));
  }
  platform_store.put("op/config", config);
  fleet machines(addresses, zones, platform_store.at(), {}, log);
  if (!machines.wait_until_ready(3)) {
    log.line("the case could not run");
    return 2;
  }
  std::vector<std::thread> consumers;
  for (int i = 0; i < light_consumers; ++i) {
    consumers.emplace_back([&, i] { send_light_requests(machines[i % 3], counts); });
  }
  for (int i = 0; i < long_consumers; ++i) {
    consumers.emplace_back([&, i] { send_long_requests(machines[i % 3], counts, log); });
  }
  for (std::thread& each : consumers) {
    each.join();
  }
  log.line("answers of all replicas in the two spans of 5.5 s: %d, of which broken off: %d",
           counts.answers_in_trouble.load(), counts.resets.load());
  log.line("light requests: %d answered whole, %d otherwise", counts.light_answered.load(),
           counts.light_other.load());
  log.line(
      "long requests: %d answers broken off by their replicas; consumers got %d whole answers, "
      "%d failures, %d half answers as complete ones",
      counts.resets.load(), counts.whole.load(), counts.failed.load(), counts.cut_short.load());
  return log.verdict(counts.cut_short > 0,
                     std::to_string(counts.cut_short) + " of " + std::to_string(counts.resets) +
                         " answers that their replica reset midway reached the consumer as a "
                         "complete success");
}

}  // namespace

int main(int, char** arguments) {
  record log(arguments[1]);
  return run(log);
}
