#include "tests/scenario/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <thread>

extern "C" char** environ;  // NOLINT(readability-redundant-declaration)

namespace fuchsiaspring::scenario {
namespace {

constexpr auto wait_interval = std::chrono::milliseconds(5);
constexpr int signal_status_base = 128;
constexpr mode_t log_mode = 0644;

}  // namespace

child_process::~child_process() {
  signal(SIGKILL);
  signal(SIGCONT);
  wait(std::chrono::seconds(5));
}

bool child_process::start(const std::vector<std::string>& arguments, const std::string& log_path) {
  if (is_running()) {
    return false;
  }
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& each : arguments) {
    pointers.push_back(const_cast<char*>(each.c_str()));
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, log_mode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child inherits the signal mask of the calling thread; it must start with no signal blocked.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  pid_t started = -1;
  const int failure =
      posix_spawn(&started, pointers[0], &actions, &attributes, pointers.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    return false;
  }
  m_id = started;
  m_status.reset();
  return true;
}

void child_process::reap() {
  if (m_id < 0 || m_status) {
    return;
  }
  int status = 0;
  if (waitpid(m_id, &status, WNOHANG) == m_id) {
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : signal_status_base + WTERMSIG(status);
  }
}

bool child_process::is_running() {
  reap();
  return m_id >= 0 && !m_status;
}

void child_process::signal(int number) {
  if (is_running()) {
    kill(m_id, number);
  }
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (is_running()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(wait_interval);
  }
  return m_status.value_or(0);
}

}  // namespace fuchsiaspring::scenario
