// Runs fuchsia-node as a separate process of a test.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

extern char** environ;

namespace fuchsiaspring::deploy_test {

class node_process {
 public:
  struct node_ports {
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t config_service_port = 0;
    // Nodes use the same peer port on different addresses.
    std::string peer_ip = "127.0.0.1";
    std::string seed_ip = "127.0.0.1";
    std::string listen_ip = "127.0.0.1";  // for callers, readiness and metrics
    std::string config_service_ip = "127.0.0.1";
  };

  node_process(const std::string& vm, const node_ports& ports, unsigned revocation_ms = 5000,
               unsigned grace_period_ms = 3000)
      : m_folder(std::filesystem::temp_directory_path() /
                 ("node-test-" + std::to_string(::getpid()) + "-" + vm)),
        m_ports(ports) {
    std::filesystem::create_directories(m_folder);
    write_settings(vm, revocation_ms, grace_period_ms);
    start();
  }

  ~node_process() {
    if (!m_status) {
      ::kill(m_process, SIGKILL);
      wait_for_end(std::chrono::seconds(5));
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }

  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;
  node_process(node_process&&) = delete;
  node_process& operator=(node_process&&) = delete;

  // Does nothing once the end of the process is known: its id may belong to another one by then.
  void signal(int number) const {
    if (!m_status) {
      ::kill(m_process, number);
    }
  }

  // Starts the program again after its end, with the same settings, and appends to the same log.
  void restart() {
    m_status.reset();
    start();
  }

  // Exit status or 128 plus the signal number; std::nullopt if the process still runs after
  // `timeout`.
  std::optional<int> wait_for_end(std::chrono::milliseconds timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!m_status && std::chrono::steady_clock::now() < end) {
      int status = 0;
      if (::waitpid(m_process, &status, WNOHANG) == m_process) {
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return m_status;
  }

  // Largest amount of memory that the process has used so far.
  std::size_t peak_memory_kib() const {
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    std::size_t kib = 0;
    while (status >> word && word != "VmHWM:") {
    }
    status >> kib;
    return kib;
  }

  // Descriptors that the process has open; 0 if it has ended.
  std::size_t open_descriptors() const {
    std::error_code ignored;  // the process may have ended
    std::size_t count = 0;
    for (std::filesystem::directory_iterator each("/proc/" + std::to_string(m_process) + "/fd",
                                                  ignored);
         each != std::filesystem::directory_iterator(); each.increment(ignored)) {
      ++count;
    }
    return count;
  }

  std::string log() const {
    std::ifstream file(m_folder / "log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  const node_ports& ports() const { return m_ports; }

  // Content of the settings file, and its replacement, which the node reads at its next SIGHUP.
  std::string settings() const {
    std::ifstream file(m_folder / "node.yaml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  void write_settings(const std::string& text) const {
    std::ofstream(m_folder / "node.yaml") << text;
  }

 private:
  void write_settings(const std::string& vm, unsigned revocation_ms,
                      unsigned grace_period_ms) const {
    const auto address = [](const std::string& ip, std::uint16_t port) {
      return "\"" + ip + ":" + std::to_string(port) + "\"\n";
    };
    const std::string& listen_ip = m_ports.listen_ip;
    std::ofstream file(m_folder / "node.yaml");
    file << "vm: \"" << vm << "\"\nfailure_domain: \"a\"\nregion: \"r\"\n"
         << "domain_regions:\n  - \"a=r\"\n"
         << "listen_address: " << address(listen_ip, m_ports.caller_port)
         << "operator_address: " << address(listen_ip, m_ports.readiness_port)
         << "metrics_address: " << address(listen_ip, m_ports.metrics_port)
         << "peer_address: " << address(m_ports.peer_ip, m_ports.peer_port) << "seeds:\n  - "
         << address(m_ports.seed_ip, m_ports.peer_port) << "config_service_address: "
         << address(m_ports.config_service_ip, m_ports.config_service_port)
         << "config_read_interval_ms: 100\npromises:\n  retry_ratio: 1.0\n"
         << "  revocation_ms: " << revocation_ms << "\n  grace_period_ms: " << grace_period_ms
         << "\n";
  }

  void start() {
    const std::string settings = (m_folder / "node.yaml").string();
    const std::string log = (m_folder / "log").string();
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    // Otherwise the port of a replica that ends stays open in the node.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = NODE_PROGRAM;
    std::string option = "--settings";
    std::string value = settings;
    char* arguments[] = {program.data(), option.data(), value.data(), nullptr};
    if (::posix_spawn(&m_process, NODE_PROGRAM, &actions, nullptr, arguments, environ) != 0) {
      m_status = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
  }

  std::filesystem::path m_folder;
  node_ports m_ports;
  pid_t m_process = -1;
  std::optional<int> m_status;
};

}  // namespace fuchsiaspring::deploy_test
