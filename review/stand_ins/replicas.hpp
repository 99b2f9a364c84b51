// Replicas of a service: they register in the store and answer as the pages say.
#pragma once

#include "platform.hpp"

namespace review {

inline std::string server_entry(const std::string& service, const endpoint& at,
                                const std::string& zone, int slots, long born_ms,
                                const std::string& state = "ready") {
  return R"({"service":")" + service + R"(","address":")" + at.text() + R"(","zone":")" + zone +
         R"(","version":"v1","slots":)" + std::to_string(slots) + R"(,"state":")" + state +
         R"(","cold-remaining-ms":0,"sequence":1,"born":)" + std::to_string(born_ms) + "}";
}

inline long wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// One process of a service.
class replica {
 public:
  using handler = std::function<bool(replica&, channel&, const request&)>;

  replica(std::string id, std::string service, std::string zone, int slots, const endpoint& at,
          store& registry, record& log, handler on_request, server::early_rule is_early = nullptr)
      : m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_slots(slots),
        m_registry(registry),
        m_log(log),
        m_handler(std::move(on_request)),
        m_server(
            at, [this](channel& from, const request& message) { return serve(from, message); },
            std::move(is_early)) {
    enroll();
  }

  const std::string& id() const { return m_id; }
  bool is_running() const { return m_server.is_running(); }

  // Ends the process; it starts again after `back_s`, as a new lifetime under the same id.
  void crash(double back_s) {
    m_back_at = now_s() + back_s;
    m_server.stop();
    m_log.line("replica %s: process ends", m_id.c_str());
  }
  // Starts a process that has ended and is due.
  void start_if_due() {
    if (m_server.is_running() || now_s() < m_back_at) {
      return;
    }
    m_server.start();
    enroll();
    m_log.line("replica %s: back", m_id.c_str());
  }

  std::vector<std::pair<std::string, std::string>> answer_headers(const request& message) const {
    return {{"Fuchsiaspring-Attempt-Id", message.id()},
            {"Fuchsiaspring-Response-Signature", "3e1b.07." + m_id},
            {"Fuchsiaspring-Instance-Id", m_id}};
  }
  bool answer(channel& to, const request& message, const std::string& status,
              const std::string& body) const {
    return to.write(render_response(status, answer_headers(message), body));
  }
  bool begin_stream(channel& to, const request& message) const {
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : answer_headers(message)) {
      bytes += name + ": " + value + "\r\n";
    }
    return to.write(bytes +
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  }
  static bool send_event(channel& to, int number) {
    const std::string event =
        "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    return to.write(size + event + "\r\n");
  }
  static bool end_stream(channel& to) { return to.write("0\r\n\r\n"); }

 private:
  void enroll() {
    m_born = wall_ms();
    m_registry.put("servers/" + m_id,
                   server_entry(m_service, m_server.at(), m_zone, m_slots, m_born));
  }

  bool serve(channel& from, const request& message) {
    if (message.target() == "/health") {
      return from.write(render_response("200 OK", {{"Fuchsiaspring-Instance-Id", m_id}}, ""));
    }
    const std::string expected = message.top.header("Fuchsiaspring-Expected-Instance");
    if (!expected.empty() && expected != m_id) {
      return answer(from, message, "421 Misdirected Request", "");
    }
    return m_handler(*this, from, message);
  }

  std::string m_id;
  std::string m_service;
  std::string m_zone;
  int m_slots;
  store& m_registry;
  record& m_log;
  handler m_handler;
  std::atomic<double> m_back_at = 0;
  long m_born = 0;
  server m_server;  // last: its threads use the other members
};

}  // namespace review
