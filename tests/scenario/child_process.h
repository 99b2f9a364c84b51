// A program started by a scenario.
//
//   child_process engine;
//   engine.start({"build/bin/standin-engine", "--listen=127.0.2.1:22510"}, "engine.log");
//   engine.signal(SIGTERM);
//   std::optional<int> status = engine.wait(std::chrono::seconds(5));
//
// Signals are sent only while the child has not been reaped, so that they cannot reach another
// process that reuses its id. The destructor kills and reaps the child. Not thread-safe.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiaspring::scenario {

class child_process {
 public:
  child_process() = default;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  child_process(child_process&&) = delete;
  child_process& operator=(child_process&&) = delete;
  ~child_process();

  // Starts `arguments[0]` and appends its output to `log_path`. Returns false if it cannot be
  // started or the previous program is still running.
  bool start(const std::vector<std::string>& arguments, const std::string& log_path);

  bool is_running();

  // Sends a signal if the child is still running.
  void signal(int number);

  // Waits for the child to end. Returns its exit status or 128 plus the number of the signal that
  // ended it; std::nullopt if it is still running after `timeout`.
  std::optional<int> wait(std::chrono::milliseconds timeout);

  pid_t id() const { return m_id; }

 private:
  void reap();

  pid_t m_id = -1;
  std::optional<int> m_status;
};

}  // namespace fuchsiaspring::scenario
