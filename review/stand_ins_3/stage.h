// Stand-ins and helpers of the cases 11 to 15: a store, replicas, consumers and node processes on
// loopback addresses and the real clock. Blocking sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace stage {

using nlohmann::json;

inline double now_s() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_s(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

inline std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

// Whether the disruption of the case is left out.
inline bool has_trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// Ids of the processes that the case has started and that have not ended.
inline std::array<std::atomic<pid_t>, 16>& started_processes() {
  static std::array<std::atomic<pid_t>, 16> ids{};
  return ids;
}

// Ends all processes that the case has started, and the case. Safe in a signal handler.
[[noreturn]] inline void end_all(int status) {
  for (std::atomic<pid_t>& each : started_processes()) {
    if (const pid_t id = each.exchange(0); id > 0) {
      ::kill(id, SIGKILL);
    }
  }
  ::_exit(status);
}

// A case that takes too long, or is interrupted, could not run.
inline void limit_time(unsigned seconds) {
  for (const int number : {SIGALRM, SIGTERM, SIGINT}) {
    ::signal(number, [](int) { end_all(2); });
  }
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(seconds);
}

// The file record.txt of a case.
class record {
 public:
  explicit record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {
    if (m_file == nullptr) {
      end_all(2);
    }
  }
  ~record() { std::fclose(m_file); }
  record(const record&) = delete;
  record& operator=(const record&) = delete;

  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard guard(m_mutex);
    std::fprintf(m_file, "%8.3f %s\n", now_s(), text);
    std::fflush(m_file);
  }

 private:
  std::FILE* m_file;
  std::mutex m_mutex;
};

inline sockaddr_in address_of(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// A port that is free on the address for TCP and for UDP.
inline std::uint16_t free_port(const std::string& ip = "127.0.0.1") {
  static std::set<std::uint16_t> given;
  for (int i = 0; i < 200; ++i) {
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address = address_of(ip, 0);
    socklen_t size = sizeof address;
    ::bind(tcp, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
    const bool is_free = ::bind(udp, reinterpret_cast<sockaddr*>(&address), size) == 0;
    ::close(tcp);
    ::close(udp);
    const std::uint16_t port = ntohs(address.sin_port);
    if (is_free && given.insert(port).second) {
      return port;
    }
  }
  end_all(2);
}

inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// Closes the connection with a reset.
inline void reset(int fd) {
  const linger abort{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

// Bytes of a connection, read on demand.
class reader {
 public:
  explicit reader(int fd) : m_fd(fd) {}

  // Waits up to `deadline` (of now_s) for more bytes. False at the end, an error or the deadline.
  bool more(double deadline) {
    pollfd entry{m_fd, POLLIN, 0};
    const double left = deadline - now_s();
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      m_is_late = true;
      return false;
    }
    char bytes[16384];
    const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
    if (n <= 0) {
      m_is_closed = true;
      m_is_reset = n < 0;
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  std::optional<std::string> until(const std::string& mark, double deadline) {
    std::size_t from = 0;
    while (true) {
      const std::size_t at = m_buffer.find(mark, from);
      if (at != std::string::npos) {
        std::string taken = m_buffer.substr(0, at);
        m_buffer.erase(0, at + mark.size());
        return taken;
      }
      from = m_buffer.size() < mark.size() ? 0 : m_buffer.size() - mark.size();
      if (!more(deadline)) {
        return std::nullopt;
      }
    }
  }
  std::optional<std::string> count(std::size_t bytes, double deadline) {
    while (m_buffer.size() < bytes) {
      if (!more(deadline)) {
        return std::nullopt;
      }
    }
    std::string taken = m_buffer.substr(0, bytes);
    m_buffer.erase(0, bytes);
    return taken;
  }
  std::string& buffer() { return m_buffer; }
  bool is_closed() const { return m_is_closed; }
  bool is_reset() const { return m_is_reset; }
  bool is_late() const { return m_is_late; }

 private:
  int m_fd;
  std::string m_buffer;
  bool m_is_closed = false;
  bool m_is_reset = false;
  bool m_is_late = false;
};

struct headers {
  std::vector<std::pair<std::string, std::string>> all;

  std::string get(const std::string& name) const {
    for (const auto& [key, value] : all) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  bool has(const std::string& name) const {
    return std::any_of(all.begin(), all.end(), [&](const auto& each) {
      return strcasecmp(each.first.c_str(), name.c_str()) == 0;
    });
  }
};

inline headers parse_headers(const std::string& head) {
  headers result;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    result.all.emplace_back(line.substr(0, colon),
                            value == std::string::npos ? "" : line.substr(value));
  }
  return result;
}

struct request {
  std::string method;
  std::string target;
  headers fields;
  std::string body;
};

// Reads the body of a message; nothing if it is cut.
inline std::optional<std::string> read_chunks(reader& in, double deadline) {
  std::string body;
  while (true) {
    const auto size_line = in.until("\r\n", deadline);
    if (!size_line) {
      return std::nullopt;
    }
    const std::size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
    if (size == 0) {
      return in.until("\r\n", deadline) ? std::optional(body) : std::nullopt;
    }
    const auto piece = in.count(size + 2, deadline);
    if (!piece) {
      return std::nullopt;
    }
    body += piece->substr(0, size);
  }
}

inline std::optional<request> read_request(reader& in, double deadline) {
  const auto head = in.until("\r\n\r\n", deadline);
  if (!head) {
    return std::nullopt;
  }
  request result;
  std::istringstream first(*head);
  first >> result.method >> result.target;
  result.fields = parse_headers(*head);
  const std::string length = result.fields.get("Content-Length");
  std::optional<std::string> body(std::string{});
  if (result.fields.get("Transfer-Encoding") == "chunked") {
    body = read_chunks(in, deadline);
  } else if (!length.empty()) {
    body = in.count(std::strtoul(length.c_str(), nullptr, 10), deadline);
  }
  if (!body) {
    return std::nullopt;
  }
  result.body = std::move(*body);
  return result;
}

// A listening socket with one thread for each connection.
class listener {
 public:
  using handler = std::function<void(int)>;

  listener(const std::string& ip, std::uint16_t port, handler on_connection)
      : m_ip(ip), m_port(port), m_on_connection(std::move(on_connection)) {
    open();
  }
  ~listener() { close(); }
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  void open() {
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = address_of(m_ip, m_port);
    if (::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(m_fd, 512) != 0) {
      std::perror("listen");
      end_all(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_is_open = true;
    m_accepting = std::thread([this, fd = m_fd] { accept_all(fd); });
  }
  // Closes the port and resets all connections, as a process that ends does.
  void close() {
    if (!m_is_open.exchange(false)) {
      return;
    }
    ::shutdown(m_fd, SHUT_RDWR);
    m_accepting.join();
    ::close(m_fd);
    const std::lock_guard guard(m_mutex);
    for (const int fd : m_connections) {
      reset(fd);
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  std::uint16_t port() const { return m_port; }
  std::string address() const { return m_ip + ":" + std::to_string(m_port); }
  bool is_open() const { return m_is_open; }

 private:
  void accept_all(int listening) {
    while (m_is_open) {
      const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!m_is_open) {
          return;
        }
        sleep_s(0.005);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard guard(m_mutex);
        m_connections.insert(fd);
      }
      std::thread([this, fd] {
        m_on_connection(fd);
        {
          const std::lock_guard guard(m_mutex);
          m_connections.erase(fd);
        }
        ::close(fd);
      }).detach();
    }
  }

  std::string m_ip;
  std::uint16_t m_port;
  handler m_on_connection;
  int m_fd = -1;
  std::atomic<bool> m_is_open = false;
  std::thread m_accepting;
  std::mutex m_mutex;
  std::set<int> m_connections;
};

inline std::string base64(const std::string& bytes) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

// The platform's store: lists its items, in pages of up to 500.
class store {
 public:
  explicit store(const std::string& ip = "127.0.0.1")
      : m_listener(ip, 0, [this](int fd) { serve(fd); }) {}

  std::string address() const { return m_listener.address(); }
  std::uint16_t port() const { return m_listener.port(); }

  void put(const std::string& key, const json& value) {
    const std::lock_guard guard(m_mutex);
    m_items[key] = {value.dump(), ++m_revision};
  }
  void remove(const std::string& key) {
    const std::lock_guard guard(m_mutex);
    if (m_items.erase(key) > 0) {
      ++m_revision;
    }
  }
  // A store that is away accepts connections and answers nothing.
  void set_silent(bool is_silent) { m_is_silent = is_silent; }
  void set_era(std::optional<std::uint64_t> era) {
    const std::lock_guard guard(m_mutex);
    m_era = era;
  }
  struct item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct copy {
    std::map<std::string, item> items;
    std::uint64_t revision = 0;
  };
  copy take_copy() {
    const std::lock_guard guard(m_mutex);
    return {m_items, m_revision};
  }
  void restore(const copy& from) {
    const std::lock_guard guard(m_mutex);
    m_items = from.items;
    m_revision = from.revision;
  }
  int reads() const { return m_reads; }

 private:
  static std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
      return {};
    }
    std::string text;
    for (std::size_t i = at + name.size() + 1; i < target.size() && target[i] != '&'; ++i) {
      if (target[i] == '%' && i + 2 < target.size()) {
        text += static_cast<char>(std::strtoul(target.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        text += target[i];
      }
    }
    return text;
  }
  std::string list(const std::string& target) {
    const std::string prefix = parameter(target, "prefix");
    const std::string after = parameter(target, "after");
    const std::lock_guard guard(m_mutex);
    json answer = {{"items", json::array()}, {"has-more", false}, {"at", m_revision}};
    auto each = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    for (; each != m_items.end() && each->first.starts_with(prefix); ++each) {
      if (answer["items"].size() >= 500) {
        answer["has-more"] = true;
        break;
      }
      answer["items"].push_back({{"key", each->first},
                                 {"value", base64(each->second.value)},
                                 {"revision", each->second.revision},
                                 {"created", 1},
                                 {"lease", 0}});
    }
    return answer.dump();
  }
  void serve(int fd) {
    reader in(fd);
    while (const auto asked = read_request(in, now_s() + 600)) {
      if (m_is_silent) {
        sleep_s(600);
        return;
      }
      ++m_reads;
      sleep_s(0.004);
      const bool is_list = asked->target.starts_with("/kv-range");
      const std::string body = is_list ? list(asked->target) : "{}";
      std::string era;
      {
        const std::lock_guard guard(m_mutex);
        era = m_era ? "Store-Era: " + std::to_string(*m_era) + "\r\n" : "";
      }
      if (!write_all(fd, std::string(is_list ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found") +
                             "\r\nContent-Type: application/json\r\n" + era + "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::mutex m_mutex;
  std::map<std::string, item> m_items;
  std::uint64_t m_revision = 1;
  std::optional<std::uint64_t> m_era;
  std::atomic<bool> m_is_silent = false;
  std::atomic<int> m_reads = 0;
  listener m_listener;
};

// A node of the system under test, as its deploy file starts it.
struct node_settings {
  std::string name = "front-1";
  std::string zone = "zone-a";
  std::string ip = "127.0.0.1";
  std::vector<std::string> zones = {"zone-a"};
  std::vector<std::string> seeds;  // control-plane addresses
  std::string store;
  std::uint16_t frontend = 0, ready = 0, metrics = 0, peer = 0;
  int memory_mb = 110;
  int file_descriptors = 4100;
  int drain_ms = 2000, config_apply_ms = 2000, evacuation_ms = 5000, revocation_ms = 5000;
  int grace_period_s = 8;
  double retry_ratio = 0.2;
  int retry_slack = 52;
  int budget_window_s = 10;
};

class node {
 public:
  node(const std::filesystem::path& folder, node_settings settings)
      : m_folder(folder / settings.name), m_settings(std::move(settings)) {
    std::filesystem::create_directories(m_folder);
    for (std::uint16_t* port :
         {&m_settings.frontend, &m_settings.ready, &m_settings.metrics, &m_settings.peer}) {
      if (*port == 0) {
        *port = free_port(m_settings.ip);
      }
    }
    write_settings();
  }
  ~node() { kill(); }
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  const node_settings& settings() const { return m_settings; }

  // With the layout of deploy/node.yaml.in.
  void write_settings() {
    const node_settings& s = m_settings;
    std::ofstream out(m_folder / "boot.yaml");
    out << "vm: \"" << s.name << "\"\nfailure_domain: \"" << s.zone
        << "\"\nregion: \"region\"\ndomain_regions:\n";
    for (const std::string& zone : s.zones) {
      out << "  - \"" << zone << "=region\"\n";
    }
    out << "listen_address: \"" << s.ip << ":" << s.frontend << "\"\noperator_address: \"" << s.ip
        << ":" << s.ready << "\"\nmetrics_address: \"" << s.ip << ":" << s.metrics
        << "\"\npeer_address: \"" << s.ip << ":" << s.peer << "\"\nseeds:\n";
    for (const std::string& seed : s.seeds) {
      out << "  - \"" << seed << "\"\n";
    }
    out << "config_service_address: \"" << s.store << "\"\nmemory_limit_mb: " << s.memory_mb
        << "\nfile_descriptor_limit: " << s.file_descriptors
        << "\npromises:\n  drain_ms: " << s.drain_ms << "\n  config_apply_ms: " << s.config_apply_ms
        << "\n  evacuation_ms: " << s.evacuation_ms << "\n  revocation_ms: " << s.revocation_ms
        << "\n  grace_period_ms: " << s.grace_period_s << "000\n  retry_ratio: " << s.retry_ratio
        << "\n  retry_slack: " << s.retry_slack << "\n  retry_window_ms: " << s.budget_window_s
        << "000\n";
  }

  void start() {
    const std::string program = "target/bin/fuchsia-node";
    const std::string settings = (m_folder / "boot.yaml").string();
    const std::string log = (m_folder / "log").string();
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    std::vector<std::string> words = {program, "--settings", settings};
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    if (::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ) != 0) {
      std::fprintf(stderr, "cannot start %s\n", program.c_str());
      end_all(2);
    }
    posix_spawn_file_actions_destroy(&actions);
    for (std::atomic<pid_t>& each : started_processes()) {
      pid_t none = 0;
      if (each.compare_exchange_strong(none, m_pid)) {
        break;
      }
    }
  }
  void signal(int number) const {
    if (m_pid > 0) {
      ::kill(m_pid, number);
    }
  }
  // The status of the process if it has ended by itself.
  std::optional<int> ended() {
    if (m_pid <= 0) {
      return m_status;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
      forget();
      m_status = status;
    }
    return m_pid > 0 ? std::nullopt : m_status;
  }
  void kill() {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      forget();
    }
  }
  // Waits until the process has ended after a signal.
  bool wait_ended(double timeout_s) {
    const double end = now_s() + timeout_s;
    while (!ended() && now_s() < end) {
      sleep_s(0.01);
    }
    return m_pid <= 0;
  }
  pid_t pid() const { return m_pid; }

  double field_kib(const std::string& file, const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/" + file);
    std::string word;
    double kib = 0;
    while (status >> word && word != name) {
    }
    status >> kib;
    return kib;
  }
  double resident_mb() const { return field_kib("status", "VmRSS:") * 1024 / 1e6; }
  double peak_mb() const { return field_kib("status", "VmHWM:") * 1024 / 1e6; }
  double cpu_s() const {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string word;
    double user = 0, system = 0;
    for (int i = 0; i < 11; ++i) {
      rest >> word;
    }
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  std::string log() const {
    std::ifstream file(m_folder / "log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

 private:
  void forget() {
    for (std::atomic<pid_t>& each : started_processes()) {
      pid_t id = m_pid;
      if (each.compare_exchange_strong(id, 0)) {
        break;
      }
    }
    m_pid = -1;
  }

  std::filesystem::path m_folder;
  node_settings m_settings;
  pid_t m_pid = -1;
  std::optional<int> m_status;
};

inline int connect_to(const std::string& ip, std::uint16_t port, int receive_bytes = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  }
  const sockaddr_in address = address_of(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

struct answer {
  int status = 0;  // 0: none
  headers fields;
  std::string body;
  bool is_complete = false;
  bool is_closed = false;  // by the node, before the answer was complete
  std::string raw_head;
};

// Reads one answer, past interim ones.
inline answer read_answer(reader& in, double deadline, bool is_head = false) {
  answer result;
  while (true) {
    const auto head = in.until("\r\n\r\n", deadline);
    if (!head) {
      result.is_closed = in.is_closed();
      return result;
    }
    result.raw_head = *head;
    result.status = std::atoi(head->size() > 9 ? head->c_str() + 9 : "0");
    result.fields = parse_headers(*head);
    if (result.status >= 200 || result.status < 100) {
      break;
    }
  }
  if (is_head || result.status == 204 || result.status == 304) {
    result.is_complete = true;
    return result;
  }
  if (result.fields.get("Transfer-Encoding") == "chunked") {
    while (true) {
      const auto size_line = in.until("\r\n", deadline);
      if (!size_line) {
        break;
      }
      const std::size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
      if (size == 0) {
        result.is_complete = in.until("\r\n", deadline).has_value();
        break;
      }
      const auto piece = in.count(size + 2, deadline);
      if (!piece) {
        break;
      }
      result.body += piece->substr(0, size);
    }
  } else if (result.fields.has("Content-Length")) {
    const auto body =
        in.count(std::strtoul(result.fields.get("Content-Length").c_str(), nullptr, 10), deadline);
    result.is_complete = body.has_value();
    result.body = body.value_or(in.buffer());
  } else {
    while (in.more(deadline)) {
    }
    result.body = in.buffer();
    result.is_complete = in.is_closed() && !in.is_reset();
  }
  result.is_closed = !result.is_complete && in.is_closed();
  return result;
}

inline std::string render_request(const std::string& method, const std::string& target,
                                  const std::string& host, const std::string& id,
                                  const std::vector<std::string>& more, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                     "\r\nFuchsiaspring-Attempt-Id: " + id + "\r\n";
  for (const std::string& each : more) {
    text += each + "\r\n";
  }
  if (method != "GET" || !body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Sends one request on a new connection and reads the answer.
inline answer ask(const std::string& ip, std::uint16_t port, const std::string& bytes,
                  double timeout_s) {
  const int fd = connect_to(ip, port);
  if (fd < 0) {
    return {};
  }
  answer result;
  if (write_all(fd, bytes)) {
    reader in(fd);
    result = read_answer(in, now_s() + timeout_s);
  }
  ::close(fd);
  return result;
}

inline json route(const std::string& name, const std::string& kind, const std::string& service,
                  int timeout_ms, int target_ms, int max_attempts, bool is_resumable,
                  int priority) {
  json result = {{"name", name},
                 {"hostname", "api.example"},
                 {"prefix", "/" + name + "/"},
                 {"kind", kind},
                 {"timeout-ms", timeout_ms},
                 {"target-latency-ms", target_ms},
                 {"max-attempts", max_attempts},
                 {"priority", priority},
                 {"public", false},
                 {"service", service}};
  if (kind == "streaming") {
    result["target-gap-ms"] = 250;
    result["session-affinity"] = true;
    result["stream-resumption"] = is_resumable;
  }
  return result;
}

inline json entry(const std::string& service, const std::string& address, const std::string& zone,
                  int slots, std::uint64_t born) {
  return {{"service", service}, {"address", address},     {"zone", zone},
          {"version", 1},       {"slots", slots},         {"state", "ready"},
          {"sequence", 1},      {"cold-remaining-ms", 0}, {"born", born}};
}

inline std::string success(const request& asked, const std::string& body,
                           const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: " +
         asked.fields.get("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: sig\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A temporary folder that is removed at the end.
class temporary_folder {
 public:
  temporary_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "fuchsia-case-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      end_all(2);
    }
    m_path = name;
  }
  ~temporary_folder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  const std::filesystem::path& path() const { return m_path; }

 private:
  std::filesystem::path m_path;
};

// Waits until the node is ready on the platform's question.
inline bool wait_ready(const node& of, double timeout_s) {
  const double end = now_s() + timeout_s;
  while (now_s() < end) {
    const answer got = ask(of.settings().ip, of.settings().ready,
                           "GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n", 0.5);
    if (got.status == 200) {
      return true;
    }
    sleep_s(0.05);
  }
  return false;
}

}  // namespace stage
