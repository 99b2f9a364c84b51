// Case 12: a key that was taken away with the last tenant is accepted again.
//
// Two nodes before two replicas. One tenant holds the only key. Version 5 of the configuration
// takes the key away: with the trouble it removes the tenant, and its list of tenants is empty;
// without it, the tenant stays and holds no key. Before and after, consumers send unsafe requests
// with the key, with a key that no configuration has held, and with none. The check is the rule's:
// a request with the key that was sent later than 5 s after the ack may not run.
#include "stage.h"

namespace {

using namespace stage;

constexpr double revocation_s = 5;
constexpr double taken_away_at_s = 6;
constexpr double duration_s = 22;
constexpr const char* host = "filing.example";
constexpr const char* revoked_key = "key-dispatch-1";

struct ledger {
  std::mutex mutex;
  std::map<std::string, double> sent_with_key;  // by attempt id
  double acked_at = 0;
  int runs = 0;
  int late_runs = 0;     // with the key, sent later than the bound
  int foreign_runs = 0;  // with a key that no configuration has held, or with none, after the ack
};

class replica {
 public:
  replica(std::string id, ledger& all, record& out)
      : m_id(std::move(id)),
        m_all(all),
        m_out(out),
        m_listener("127.0.0.1", 0, [this](int fd) { serve(fd); }) {}

  std::string address() const { return m_listener.address(); }

 private:
  void serve(int fd) {
    reader in(fd);
    while (const auto asked = read_request(in, now_s() + 60)) {
      const std::string id = asked->fields.get("Fuchsiaspring-Attempt-Id");
      if (asked->fields.get("Fuchsiaspring-Expected-Instance") != m_id) {
        write_all(fd, "HTTP/1.1 421 Misdirected Request\r\nFuchsiaspring-Attempt-Id: " + id +
                          "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      run(id, asked->fields.get("Fuchsiaspring-Tenant"));
      sleep_s(0.015);
      if (!write_all(fd, success(*asked, "filed"))) {
        return;
      }
    }
  }

  void run(const std::string& id, const std::string& tenant) {
    const std::lock_guard guard(m_all.mutex);
    ++m_all.runs;
    const auto sent = m_all.sent_with_key.find(id);
    const bool has_key = sent != m_all.sent_with_key.end();
    const bool is_late =
        has_key && m_all.acked_at > 0 && sent->second > m_all.acked_at + revocation_s;
    m_all.late_runs += is_late ? 1 : 0;
    m_all.foreign_runs += has_key ? 0 : 1;
    m_out.line("run at %s: id=%s tenant='%s'%s", m_id.c_str(), id.c_str(), tenant.c_str(),
               is_late    ? ": THE KEY WAS TAKEN AWAY OVER 5 S BEFORE"
               : !has_key ? ": NO CONFIGURATION HELD A KEY FOR THIS"
                          : "");
  }

  std::string m_id;
  ledger& m_all;
  record& m_out;
  listener m_listener;
};

json configuration(int version, const json& tenants) {
  return {{"version", version},
          {"routes",
           {{{"name", "filing"},
             {"hostname", host},
             {"prefix", "/file/"},
             {"kind", "unsafe"},
             {"timeout-ms", 800},
             {"target-latency-ms", 300},
             {"max-attempts", 1},
             {"priority", 2},
             {"public", false},
             {"service", "filing-api"}}}},
          {"services",
           {{{"name", "filing-api"}, {"health-check-path", "/health"}, {"connection-limit", 110}}}},
          {"tenants", tenants},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

void file_requests(const std::string& name, const std::string& header, bool has_key, const node& at,
                   ledger& all, record& out, std::map<int, int>& answers) {
  for (int i = 0; now_s() < duration_s; ++i) {
    const std::string id = name + "-" + std::to_string(i);
    std::vector<std::string> headers = {"Fuchsiaspring-Request-Deadline: 1500"};
    if (!header.empty()) {
      headers.push_back(header);
    }
    if (has_key) {
      const std::lock_guard guard(all.mutex);
      all.sent_with_key[id] = now_s();
    }
    const answer got = ask(at.settings().ip, at.settings().frontend,
                           render_request("POST", "/file/renewals", host, id, headers, "fee"), 2);
    out.line("sent id=%s, answered %d", id.c_str(), got.status);
    {
      const std::lock_guard guard(all.mutex);
      ++answers[got.status];
    }
    sleep_s(0.25);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  limit_time(100);
  now_s();
  record out(argv[1]);
  out.line("trouble: %s", has_trouble() ? "yes" : "no");
  temporary_folder folder;
  ledger all;
  store platform;
  replica first("i-1", all, out);
  replica second("i-2", all, out);
  platform.put("op/config",
               configuration(3, {{{"name", "dispatch"}, {"api-keys", {revoked_key}}}}));
  platform.put("servers/i-1", entry("filing-api", first.address(), "zone-a", 6, unix_ms()));
  platform.put("servers/i-2", entry("filing-api", second.address(), "zone-a", 6, unix_ms()));
  const std::uint16_t peer_port = free_port();
  std::vector<std::unique_ptr<node>> nodes;
  for (int i = 0; i < 2; ++i) {
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
  std::map<int, int> answers;
  std::vector<std::thread> consumers;
  for (int i = 0; i < 2; ++i) {
    const node& at = *nodes[static_cast<std::size_t>(i)];
    const std::string number = std::to_string(i + 1);
    consumers.emplace_back([&, number] {
      file_requests("key-" + number, std::string("Authorization: Bearer ") + revoked_key, true, at,
                    all, out, answers);
    });
    consumers.emplace_back([&, number] {
      file_requests("invented-" + number, "Authorization: Bearer no-such-key", false, at, all, out,
                    answers);
    });
    consumers.emplace_back(
        [&, number] { file_requests("without-" + number, "", false, at, all, out, answers); });
  }
  sleep_s(taken_away_at_s - now_s());
  const json tenants =
      has_trouble() ? json::array() : json{{{"name", "dispatch"}, {"api-keys", json::array()}}};
  platform.put("op/config", configuration(5, tenants));
  {
    const std::lock_guard guard(all.mutex);
    all.acked_at = now_s();
  }
  out.line("version 5 takes the key away, acknowledged; its tenants: %s", tenants.dump().c_str());
  for (std::thread& each : consumers) {
    each.join();
  }
  const std::lock_guard guard(all.mutex);
  out.line(
      "runs %d; with the key, sent later than 5 s after the ack: %d; with an unknown key or "
      "none: %d",
      all.runs, all.late_runs, all.foreign_runs);
  for (const auto& [status, count] : answers) {
    out.line("answered %d: %d", status, count);
  }
  if (nodes[0]->ended() || nodes[1]->ended() || answers[200] == 0) {
    out.line("the case could not run");
    end_all(2);
  }
  const bool is_broken = all.late_runs > 0;
  out.line(is_broken ? "CONFIG is broken" : "CONFIG holds");
  nodes.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder.path(), ignored);
  end_all(is_broken ? 1 : 0);
}
