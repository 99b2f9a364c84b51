// Stand-ins for the scripts of review/6 and later: the platform's store, replicas, consumers, and
// real node processes, all on loopback addresses. Plain POSIX sockets and threads, one thread for
// each connection; no dependency beyond the C++ library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point process_start = steady::now();

inline double seconds_now() {
  return std::chrono::duration<double>(steady::now() - process_start).count();
}

inline void sleep_ms(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// Waits until `done` holds; returns whether it does.
inline bool wait_until(const std::function<bool()>& done, int timeout_ms) {
  const auto end = steady::now() + milliseconds(timeout_ms);
  while (!done()) {
    if (steady::now() > end) {
      return done();
    }
    sleep_ms(5);
  }
  return true;
}

inline std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

// Writes record.txt: one line for each thing that was sent, answered or run.
class recorder {
 public:
  explicit recorder(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}
  ~recorder() {
    if (m_file != nullptr) {
      std::fclose(m_file);
    }
  }
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(m_mutex);
    if (m_file == nullptr) {
      return;
    }
    std::fprintf(m_file, "%8.3f s  ", seconds_now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

inline std::string base64(const std::string& bytes) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::size_t i = 0;
  for (; i + 2 < bytes.size(); i += 3) {
    const unsigned value = static_cast<unsigned char>(bytes[i]) << 16U |
                           static_cast<unsigned char>(bytes[i + 1]) << 8U |
                           static_cast<unsigned char>(bytes[i + 2]);
    text += digits[value >> 18U];
    text += digits[value >> 12U & 63U];
    text += digits[value >> 6U & 63U];
    text += digits[value & 63U];
  }
  if (i + 1 == bytes.size()) {
    const unsigned value = static_cast<unsigned char>(bytes[i]) << 16U;
    text += digits[value >> 18U];
    text += digits[value >> 12U & 63U];
    text += "==";
  } else if (i + 2 == bytes.size()) {
    const unsigned value = static_cast<unsigned char>(bytes[i]) << 16U |
                           static_cast<unsigned char>(bytes[i + 1]) << 8U;
    text += digits[value >> 18U];
    text += digits[value >> 12U & 63U];
    text += digits[value >> 6U & 63U];
    text += '=';
  }
  return text;
}

// --- sockets ---------------------------------------------------------------------------------

inline sockaddr_in to_address(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int listen_on(const std::string& ip, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in address = to_address(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline std::uint16_t port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int connect_to(const std::string& ip, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = to_address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return fd;
}

inline bool write_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

inline void reset_and_close(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

// Reads more bytes into `buffer`. Returns 1 if some came, 0 at the end or a reset, -1 at the timeout.
inline int read_more(int fd, std::string& buffer, int timeout_ms) {
  pollfd descriptor{fd, POLLIN, 0};
  const int ready = ::poll(&descriptor, 1, timeout_ms);
  if (ready == 0) {
    return -1;
  }
  char bytes[16384];
  const ssize_t size = ::recv(fd, bytes, sizeof bytes, 0);
  if (size <= 0) {
    return 0;
  }
  buffer.append(bytes, static_cast<std::size_t>(size));
  return 1;
}

struct message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  const std::string* find(const std::string& name) const {
    for (const auto& [each, value] : headers) {
      if (::strcasecmp(each.c_str(), name.c_str()) == 0) {
        return &value;
      }
    }
    return nullptr;
  }
  std::string header(const std::string& name) const {
    const std::string* value = find(name);
    return value == nullptr ? std::string() : *value;
  }
  std::string target() const {
    const std::size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
};

inline void parse_head(const std::string& head, message& into) {
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  if (line.ends_with('\r')) {
    line.pop_back();
  }
  into.first_line = line;
  while (std::getline(lines, line)) {
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') {
      ++begin;
    }
    into.headers.emplace_back(line.substr(0, colon), line.substr(begin));
  }
}

// A server with one thread for each connection. `stop()` ends all of them with a reset.
class server {
 public:
  using handler = std::function<void(int fd, const message&)>;

  server(std::string ip, handler on_request) : m_ip(std::move(ip)), m_handler(std::move(on_request)) {}
  ~server() {
    stop();
    for (std::thread& each : m_threads) {
      each.join();
    }
  }
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  bool start(std::uint16_t port = 0) {
    const int fd = listen_on(m_ip, port);
    if (fd < 0) {
      return false;
    }
    m_port = port_of(fd);
    m_listener = fd;
    const std::lock_guard lock(m_mutex);
    m_is_running = true;
    m_threads.emplace_back([this, fd] { accept_all(fd); });
    return true;
  }

  // Refuses connections from now on and resets the open ones, like a process that has ended.
  void stop() {
    const std::lock_guard lock(m_mutex);
    m_is_running = false;
    if (m_listener >= 0) {
      ::shutdown(m_listener, SHUT_RDWR);
      ::close(std::exchange(m_listener, -1));
    }
    for (const int fd : m_open) {
      // Dissolves the association, which resets the connection at once; its thread closes it.
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      ::connect(fd, &none, sizeof none);
    }
  }

  bool is_running() {
    const std::lock_guard lock(m_mutex);
    return m_is_running;
  }
  const std::string& ip() const { return m_ip; }
  std::uint16_t port() const { return m_port; }
  std::string address() const { return m_ip + ":" + std::to_string(m_port); }

 private:
  void accept_all(int listener) {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int enabled = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      const std::lock_guard lock(m_mutex);
      if (!m_is_running) {
        reset_and_close(fd);
        return;
      }
      m_open.insert(fd);
      m_threads.emplace_back([this, fd] { serve(fd); });
    }
  }

  void serve(int fd) {
    std::string buffer;
    while (is_running()) {
      message request;
      if (!read_request(fd, buffer, request)) {
        break;
      }
      m_handler(fd, request);
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    ::close(fd);
  }

  bool read_request(int fd, std::string& buffer, message& request) {
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!is_running() || read_more(fd, buffer, 200) == 0) {
        return false;
      }
    }
    parse_head(buffer.substr(0, end + 2), request);
    const std::size_t length = std::strtoul(request.header("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + length) {
      if (!is_running() || read_more(fd, buffer, 200) == 0) {
        return false;
      }
    }
    request.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
  }

  std::string m_ip;
  std::uint16_t m_port = 0;
  handler m_handler;
  std::mutex m_mutex;
  bool m_is_running = false;
  int m_listener = -1;
  std::set<int> m_open;
  std::list<std::thread> m_threads;
};

// --- the platform's store ----------------------------------------------------------------------

// Lists items as the pages say of GET /kv-range. In a drill it comes back from an older copy.
class store {
 public:
  explicit store(const std::string& ip)
      : m_server(ip, [this](int fd, const message& request) { answer(fd, request); }) {}

  bool start() { return m_server.start(); }
  std::string address() const { return m_server.address(); }

  // The return is the store's ack.
  void put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_items[key] = {value, ++m_revision};
  }
  void remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    m_items.erase(key);
    ++m_revision;
  }

  void keep_copy() {
    const std::lock_guard lock(m_mutex);
    m_copy = m_items;
    m_copy_revision = m_revision;
  }
  void leave() {
    const std::lock_guard lock(m_mutex);
    m_is_away = true;
  }
  void come_back() {
    const std::lock_guard lock(m_mutex);
    m_items = m_copy;
    m_revision = m_copy_revision;
    ++m_era;
    m_is_away = false;
  }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
  };

  static std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t question = target.find('?');
    std::size_t at = question == std::string::npos ? question : target.find(name + "=", question);
    if (at == std::string::npos) {
      return {};
    }
    at += name.size() + 1;
    const std::string raw = target.substr(at, target.find('&', at) - at);
    std::string text;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        text += static_cast<char>(std::strtoul(raw.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        text += raw[i];
      }
    }
    return text;
  }

  void answer(int fd, const message& request) {
    std::string text;
    std::uint64_t era = 0;
    {
      const std::lock_guard lock(m_mutex);
      if (m_is_away) {
        ::shutdown(fd, SHUT_RDWR);
        return;
      }
      era = m_era;
      text = list(parameter(request.target(), "prefix"), parameter(request.target(), "after"));
    }
    write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: " +
                      std::to_string(era) + "\r\nContent-Length: " + std::to_string(text.size()) +
                      "\r\n\r\n" + text);
  }

  std::string list(const std::string& prefix, const std::string& after) const {
    std::string items;
    for (auto each = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
         each != m_items.end() && each->first.starts_with(prefix); ++each) {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + each->first +
               "\",\"value\":\"" + base64(each->second.value) +
               "\",\"revision\":" + std::to_string(each->second.revision) + "}";
    }
    return "{\"items\":[" + items + "],\"has-more\":false,\"at\":" + std::to_string(m_revision) + "}";
  }

  std::mutex m_mutex;
  std::map<std::string, item> m_items;
  std::map<std::string, item> m_copy;
  std::uint64_t m_revision = 100;
  std::uint64_t m_copy_revision = 100;
  std::uint64_t m_era = 1;
  bool m_is_away = false;
  server m_server;
};

// --- replicas ------------------------------------------------------------------------------------

inline std::string status_text(int status) {
  return std::to_string(status) + (status == 200 ? " OK" : status == 421 ? " Misdirected Request"
                                                                         : " Service Unavailable");
}

// A whole answer of a replica with the headers that the pages name.
inline std::string whole_answer(const message& request, int status, const std::string& body,
                                const std::string& extra = "") {
  return "HTTP/1.1 " + status_text(status) +
         "\r\nFuchsiaspring-Attempt-Id: " + request.header("Fuchsiaspring-Attempt-Id") + "\r\n" +
         (status == 200 ? "Fuchsiaspring-Response-Signature: s1\r\n" : "") + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string stream_head(const message& request) {
  return "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: " +
         request.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

inline std::string replica_entry(const std::string& service, const std::string& address,
                                 const std::string& zone, int slots, std::uint64_t born,
                                 const std::string& state = "ready") {
  return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
         "\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":" + std::to_string(born) + "}";
}

// --- nodes -----------------------------------------------------------------------------------------

struct node_options {
  std::string name;
  std::string ip;
  std::string zone = "a";
  std::string region = "r";
  std::vector<std::pair<std::string, std::string>> zone_regions = {{"a", "r"}};
  std::vector<std::string> seed_ips;
  std::string store_address;
  int memory_mb = 260;
  int revocation_ms = 5000;
};

// A process of the deploy file's program, with settings as deploy/node.yaml.in renders them.
class node {
 public:
  node(std::string folder, node_options options) : m_folder(std::move(folder)), m_options(std::move(options)) {}
  ~node() {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
    }
  }
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  static constexpr std::uint16_t consumer_port = 8740;
  static constexpr std::uint16_t ready_port = 8749;
  static constexpr std::uint16_t metrics_port = 9464;
  static constexpr std::uint16_t peer_port = 7200;

  bool start() {
    write_settings();
    const std::string log = m_folder + "/" + m_options.name + ".log";
    const std::string settings = settings_path();
    m_pid = ::fork();
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the node ends with the script
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, STDOUT_FILENO);
      ::dup2(fd, STDERR_FILENO);
      ::execl("target/bin/fuchsia-node", "fuchsia-node", "--settings", settings.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    return m_pid > 0;
  }

  void signal(int number) const { ::kill(m_pid, number); }

  // Ends the process with SIGKILL.
  void kill() {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }

  // Whether the process has ended by itself.
  bool has_ended() {
    if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
      m_pid = -1;
    }
    return m_pid < 0;
  }

  bool is_ready() const {
    const int fd = connect_to(m_options.ip, ready_port);
    if (fd < 0) {
      return false;
    }
    write_all(fd, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    std::string answer;
    while (answer.find("\r\n") == std::string::npos && read_more(fd, answer, 1000) == 1) {
    }
    ::close(fd);
    return answer.starts_with("HTTP/1.1 200");
  }

  std::string log() const {
    std::ifstream file(m_folder + "/" + m_options.name + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  pid_t pid() const { return m_pid; }
  const std::string& name() const { return m_options.name; }
  const std::string& ip() const { return m_options.ip; }
  node_options& options() { return m_options; }
  std::string settings_path() const { return m_folder + "/" + m_options.name + ".yaml"; }

  void write_settings() const {
    const node_options& o = m_options;
    std::ofstream file(settings_path());
    file << "vm: \"" << o.name << "\"\nfailure_domain: \"" << o.zone << "\"\nregion: \"" << o.region
         << "\"\ndomain_regions:\n";
    for (const auto& [zone, region] : o.zone_regions) {
      file << "  - \"" << zone << "=" << region << "\"\n";
    }
    file << "listen_address: \"" << o.ip << ":" << consumer_port << "\"\noperator_address: \"" << o.ip
         << ":" << ready_port << "\"\nmetrics_address: \"" << o.ip << ":" << metrics_port
         << "\"\npeer_address: \"" << o.ip << ":" << peer_port << "\"\nseeds:\n";
    for (const std::string& seed : o.seed_ips) {
      file << "  - \"" << seed << ":8748\"\n";
    }
    file << "config_service_address: \"" << o.store_address << "\"\nmemory_limit_mb: " << o.memory_mb
         << "\nfile_descriptor_limit: 4100\npromises:\n  drain_ms: 2000\n  config_apply_ms: 2000\n"
            "  evacuation_ms: 5000\n  revocation_ms: "
         << o.revocation_ms
         << "\n  grace_period_ms: 8000\n  retry_ratio: 0.2\n  retry_slack: 52\n"
            "  retry_window_ms: 10000\n";
  }

 private:
  std::string m_folder;
  node_options m_options;
  pid_t m_pid = -1;
  int m_status = 0;
};

// A network 127.x.y.0/24 of loopback addresses on which the ports of the nodes are free.
inline std::string free_network() {
  for (unsigned i = 0; i < 200; ++i) {
    const unsigned number = static_cast<unsigned>(::getpid()) * 7 + i * 131;
    const std::string network =
        "127." + std::to_string(16 + number % 200) + "." + std::to_string(1 + number / 200 % 250) + ".";
    bool is_free = true;
    for (const std::uint16_t port : {node::consumer_port, node::ready_port, node::metrics_port, node::peer_port}) {
      for (int host = 1; host <= 6 && is_free; ++host) {
        const int fd = listen_on(network + std::to_string(host), port);
        is_free = fd >= 0;
        if (fd >= 0) {
          ::close(fd);
        }
      }
    }
    if (is_free) {
      return network;
    }
  }
  return {};
}

// --- consumers ---------------------------------------------------------------------------------------

struct answer {
  int status = 0;           // 0: none
  bool is_signed = false;   // with the replica's signature
  bool is_complete = false;
  std::string body;
  message head;
};

inline std::string request_bytes(const std::string& method, const std::string& path,
                                 const std::string& host, const std::string& id,
                                 const std::string& key, int deadline_ms,
                                 const std::string& extra = "", const std::string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nFuchsiaspring-Attempt-Id: " + id +
         "\r\nFuchsiaspring-Request-Deadline: " + std::to_string(deadline_ms) + "\r\n" +
         (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") + extra +
         (method == "GET" && body.empty() ? ""
                                          : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

// Reads one answer. Waits for `timeout_ms` at most.
inline answer read_answer(int fd, int timeout_ms) {
  const auto end = steady::now() + milliseconds(timeout_ms);
  const auto left = [&] {
    return std::max<int>(0, static_cast<int>(
                                std::chrono::duration_cast<milliseconds>(end - steady::now()).count()));
  };
  answer result;
  std::string buffer;
  std::size_t head_end = 0;
  while (true) {
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (read_more(fd, buffer, left()) != 1) {
        return result;
      }
    }
    result.head = {};
    parse_head(buffer.substr(0, head_end + 2), result.head);
    buffer.erase(0, head_end + 4);
    if (result.head.status() >= 200) {
      break;
    }
  }
  result.status = result.head.status();
  result.is_signed = result.head.find("Fuchsiaspring-Response-Signature") != nullptr;
  if (const std::string* length = result.head.find("Content-Length")) {
    const std::size_t size = std::strtoul(length->c_str(), nullptr, 10);
    while (buffer.size() < size && read_more(fd, buffer, left()) == 1) {
    }
    result.is_complete = buffer.size() >= size;
    result.body = buffer.substr(0, size);
    return result;
  }
  while (true) {
    std::size_t line_end = 0;
    while ((line_end = buffer.find("\r\n")) == std::string::npos) {
      if (read_more(fd, buffer, left()) != 1) {
        return result;
      }
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    while (buffer.size() < line_end + 2 + size + 2) {
      if (read_more(fd, buffer, left()) != 1) {
        return result;
      }
    }
    result.body += buffer.substr(line_end + 2, size);
    buffer.erase(0, line_end + 2 + size + 2);
    if (size == 0) {
      result.is_complete = true;
      return result;
    }
  }
}

// Sends one request on a new channel and reads the answer.
inline answer exchange(const std::string& ip, const std::string& bytes, int timeout_ms) {
  const int fd = connect_to(ip, node::consumer_port);
  if (fd < 0) {
    return {};
  }
  answer result;
  if (write_all(fd, bytes)) {
    result = read_answer(fd, timeout_ms);
  }
  ::close(fd);
  return result;
}

// --- the frame of a script -----------------------------------------------------------------------------

// Exit statuses that the issue names.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

// Whether the disruption is played: the variable TROUBLE is not 0.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
