// Case 14: prompts with a part that crashes replicas come five at a time.
//
// Three nodes before twelve replicas of a language model. Eight callers send sound requests, one
// after the other. A ninth caller sends five requests at once every five seconds, which share a
// part of their prompts. With the trouble, that part crashes each replica that begins to write an
// answer on it, and the replica is back after three seconds. The route is a stream that may be
// resumed, with two attempts. The check is the rule's: after the fifth crash and the stability
// window, no more than three requests with that part may reach replicas.
#include "stage.h"

namespace {

using namespace stage;

constexpr double duration_s = 32;
constexpr double batch_interval_s = 5;
constexpr double stability_window_s = 3;
constexpr double down_s = 3;
constexpr int replicas = 12;
constexpr int batch = 5;
constexpr int nodes_in_use = 3;
constexpr int sound_callers = 8;
constexpr double prefill_s = 0.11;  // 9,190 tokens at 81.9 a ms
constexpr int events = 9;
constexpr double event_interval_s = 0.03;
constexpr int most_late_requests = 3;  // of the rule
constexpr std::size_t crashes_to_learn = 5;
constexpr const char* host = "drafter.example";
constexpr const char* key = "Authorization: Bearer key-yard-1";
constexpr const char* bad_part = "bad0c0de";

struct ledger {
  std::mutex mutex;
  std::vector<double> crashes;
  std::vector<double> bad_arrivals;
  int sound_sent = 0, sound_whole = 0, sound_refused = 0, sound_cut = 0;
};

class engine {
 public:
  engine(int number, store& platform, ledger& all, record& out)
      : m_number(number),
        m_platform(platform),
        m_all(all),
        m_out(out),
        m_listener("127.0.0.1", 0, [this](int fd) { serve(fd); }) {
    register_start();
  }

 private:
  void register_start() {
    const std::lock_guard guard(m_mutex);
    m_id = "i-" + std::to_string(m_number) + "-" + std::to_string(++m_starts);
    m_platform.put("servers/" + m_id,
                   entry("drafter-pool", m_listener.address(), "zone-a", 64, unix_ms()));
  }
  std::string id() {
    const std::lock_guard guard(m_mutex);
    return m_id;
  }

  void serve(int fd) {
    reader in(fd);
    while (const auto asked = read_request(in, now_s() + 60)) {
      const std::string attempt = asked->fields.get("Fuchsiaspring-Attempt-Id");
      if (asked->fields.get("Fuchsiaspring-Expected-Instance") != id()) {
        write_all(fd, "HTTP/1.1 421 Misdirected Request\r\nFuchsiaspring-Attempt-Id: " + attempt +
                          "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const bool is_bad =
          asked->fields.get("Fuchsiaspring-Prompt-Prefix").find(bad_part) != std::string::npos;
      if (is_bad) {
        const std::lock_guard guard(m_all.mutex);
        m_all.bad_arrivals.push_back(now_s());
        m_out.line("id=%s with the bad part reaches %s", attempt.c_str(), id().c_str());
      }
      sleep_s(prefill_s);
      if (is_bad) {
        crash(attempt);
        return;
      }
      if (!write_all(fd, "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: " + attempt +
                             "\r\nFuchsiaspring-Response-Signature: sig\r\nContent-Type: "
                             "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return;
      }
      for (int i = 1; i <= events; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: tokens\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!write_all(fd, size + event + "\r\n")) {
          return;
        }
        sleep_s(event_interval_s);
      }
      if (!write_all(fd, "0\r\n\r\n")) {
        return;
      }
    }
  }

  void crash(const std::string& attempt) {
    if (m_is_down.exchange(true)) {
      return;
    }
    const std::string old_id = id();
    m_listener.close();
    {
      const std::lock_guard guard(m_all.mutex);
      m_all.crashes.push_back(now_s());
      m_out.line("%s begins to answer id=%s and crashes, crash %zu", old_id.c_str(),
                 attempt.c_str(), m_all.crashes.size());
    }
    std::thread([this, old_id] {
      sleep_s(down_s);
      m_listener.open();
      m_is_down = false;
      m_platform.remove("servers/" + old_id);
      register_start();
      m_out.line("%s is back as %s", old_id.c_str(), id().c_str());
    }).detach();
  }

  int m_number;
  int m_starts = 0;
  std::string m_id;
  std::mutex m_mutex;
  std::atomic<bool> m_is_down = false;
  store& m_platform;
  ledger& m_all;
  record& m_out;
  listener m_listener;
};

std::string prompt(const std::string& id, const std::string& middle, unsigned last) {
  char text[128];
  std::snprintf(text, sizeof text, "Fuchsiaspring-Prompt-Prefix: a11:2520,%s:3780,%x:2890",
                middle.c_str(), last);
  return render_request("POST", "/draft/packet", host, id,
                        {key, "Fuchsiaspring-Request-Deadline: 4000", "Fuchsiaspring-Model: m",
                         "Fuchsiaspring-Token-Counts: 9190,54", text},
                        "permit file");
}

answer send(const node& to, const std::string& bytes) {
  return ask(to.settings().ip, to.settings().frontend, bytes, 6);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  limit_time(110);
  now_s();
  record out(argv[1]);
  out.line("trouble: %s", has_trouble() ? "yes" : "no");
  temporary_folder folder;
  ledger all;
  store platform;
  platform.put("op/config", {{"version", 3},
                             {"routes",
                              {{{"name", "packet-draft"},
                                {"hostname", host},
                                {"prefix", "/draft/"},
                                {"kind", "streaming"},
                                {"timeout-ms", 4000},
                                {"target-latency-ms", 500},
                                {"target-gap-ms", 250},
                                {"max-attempts", 2},
                                {"priority", 1},
                                {"session-affinity", true},
                                {"stream-resumption", true},
                                {"service", "drafter-pool"}}}},
                             {"services",
                              {{{"name", "drafter-pool"},
                                {"health-check-path", "/health"},
                                {"connection-limit", 370},
                                {"engine", {{"slots", 64}, {"kv-cache-tokens", 280984}}}}}},
                             {"tenants", {{{"name", "yard"}, {"api-keys", {"key-yard-1"}}}}},
                             {"limits",
                              {{"max-header-bytes", 16384},
                               {"max-body-bytes", 4194304},
                               {"header-timeout-ms", 3000},
                               {"idle-timeout-ms", 15000}}}});
  std::vector<std::unique_ptr<engine>> engines;
  for (int i = 0; i < replicas; ++i) {
    engines.push_back(std::make_unique<engine>(i + 1, platform, all, out));
  }
  const std::uint16_t peer_port = free_port();
  std::vector<std::unique_ptr<node>> nodes;
  for (int i = 0; i < nodes_in_use; ++i) {
    node_settings settings;
    settings.name = "front-" + std::to_string(i + 1);
    settings.ip = "127.0.0." + std::to_string(i + 1);
    settings.peer = peer_port;
    settings.seeds = {"127.0.0.1:" + std::to_string(peer_port)};
    settings.store = platform.address();
    nodes.push_back(std::make_unique<node>(folder.path(), settings));
    nodes.back()->start();
  }
  for (const auto& each : nodes) {
    if (!wait_ready(*each, 10)) {
      out.line("a node is not ready");
      end_all(2);
    }
  }
  sleep_s(4);  // the nodes are in touch
  const double begin = now_s();
  std::vector<std::thread> callers;
  for (int i = 0; i < sound_callers; ++i) {
    callers.emplace_back([&, i] {
      for (int k = 0; now_s() < begin + duration_s; ++k) {
        const std::string id = "sound-" + std::to_string(i) + "-" + std::to_string(k);
        const answer got = send(*nodes[static_cast<std::size_t>((i + k) % nodes_in_use)],
                                prompt(id, "50" + std::to_string((i + k) % 8),
                                       static_cast<unsigned>(0x10000 + i * 10000 + k)));
        const std::lock_guard guard(all.mutex);
        ++all.sound_sent;
        all.sound_whole += got.status == 200 && got.is_complete;
        all.sound_cut += got.status == 200 && !got.is_complete;
        all.sound_refused += got.status != 200;
      }
    });
  }
  int number = 0;
  double batch_at = begin + 2;
  while (now_s() < begin + duration_s - 3) {
    sleep_s(batch_at - now_s());
    std::vector<std::thread> at_once;
    for (int i = 0; i < batch; ++i) {
      const int k = number++;
      at_once.emplace_back([&, k] {
        const std::string id = "batch-" + std::to_string(k);
        const answer got = send(*nodes[static_cast<std::size_t>(k % nodes_in_use)],
                                prompt(id, has_trouble() ? bad_part : "600d0c0de",
                                       static_cast<unsigned>(0x900000 + k)));
        out.line("id=%s answered %d", id.c_str(), got.status);
      });
    }
    for (std::thread& each : at_once) {
      each.join();
    }
    batch_at += batch_interval_s;
  }
  for (std::thread& each : callers) {
    each.join();
  }
  const std::lock_guard guard(all.mutex);
  std::sort(all.crashes.begin(), all.crashes.end());
  int late = 0;
  if (all.crashes.size() >= crashes_to_learn) {
    const double bound = all.crashes[crashes_to_learn - 1] + stability_window_s;
    late = static_cast<int>(std::count_if(all.bad_arrivals.begin(), all.bad_arrivals.end(),
                                          [&](double at) { return at > bound; }));
    out.line("fifth crash at %.3f", all.crashes[crashes_to_learn - 1]);
  }
  out.line(
      "crashes %zu; requests with the bad part at replicas %zu, %d of them over 3 s after the "
      "fifth crash",
      all.crashes.size(), all.bad_arrivals.size(), late);
  out.line("sound requests sent %d, whole %d, cut %d, not served %d", all.sound_sent,
           all.sound_whole, all.sound_cut, all.sound_refused);
  out.line(late > most_late_requests ? "BUDGET is broken" : "BUDGET holds");
  bool has_ended = false;
  for (const auto& each : nodes) {
    has_ended = has_ended || each->ended();
  }
  if (has_ended || all.sound_whole == 0) {
    out.line("the case could not run");
    end_all(2);
  }
  nodes.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder.path(), ignored);
  end_all(late > most_late_requests ? 1 : 0);
}
