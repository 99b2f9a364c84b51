// Runs scenario files against the real programs.
//
//   scenario-runner [--programs FOLDER] [--work FOLDER] [--port-base N] [--keep] FILE...
//
// Without files it runs every scenario of the repository except those that KNOWN-RED.txt lists as
// "scenario:NAME", which it prints. The last line is "NAME: N passed, N failed", where NAME is the
// scenario's name, or the program's for several files. The exit status is 0 when nothing failed.
#include <arpa/inet.h>
#include <getopt.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "tests/scenario/runner.h"
#include "tests/scenario/script.h"

namespace fuchsiaspring::scenario {
namespace {

namespace fs = std::filesystem;

std::atomic<bool> interrupted{false};

void on_stop_signal(int /*number*/) {
  interrupted = true;
}

struct options {
  fs::path programs = fs::path(FUCHSIA_BUILD_FOLDER) / "bin";
  fs::path work;
  std::uint16_t port_base = 0;  // 0: the first base that no other run has reserved
  bool keep = false;
  std::vector<fs::path> files;
};

constexpr const char* help_text = R"(Usage: scenario-runner [OPTION...] [FILE...]
  --programs FOLDER  folder of the programs
  --work FOLDER      folder for settings and logs (a new one under the temporary folder)
  --port-base N      first port to use (default: the first base from 22500 on that is free)
  --keep             keep the work folder; it is always kept after a failure
)";

const option long_options[] = {
    {"programs", required_argument, nullptr, 'p'},
    {"work", required_argument, nullptr, 'w'},
    {"port-base", required_argument, nullptr, 'b'},
    {"keep", no_argument, nullptr, 'k'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
};

// Returns the exit status if the program must end now, and -1 otherwise.
int parse_options(int argc, char** argv, options& chosen) {
  while (true) {
    const int code = getopt_long(argc, argv, "", long_options, nullptr);
    switch (code) {
      case -1:
        chosen.files.assign(argv + optind, argv + argc);
        return -1;
      case 'p':
        chosen.programs = optarg;
        break;
      case 'w':
        chosen.work = optarg;
        break;
      case 'b':
        chosen.port_base = static_cast<std::uint16_t>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'k':
        chosen.keep = true;
        break;
      case 'h':
        std::cout << help_text;
        return 0;
      default:
        return 2;
    }
  }
}

// Names of the scenarios that KNOWN-RED.txt lists.
std::vector<std::string> known_failures() {
  constexpr std::string_view prefix = "scenario:";
  std::vector<std::string> names;
  std::ifstream file(fs::path(FUCHSIA_SOURCE_FOLDER) / "KNOWN-RED.txt");
  std::string word;
  while (file >> word) {
    if (word.starts_with(prefix)) {
      names.push_back(word.substr(prefix.size()));
    }
  }
  return names;
}

std::vector<fs::path> all_scenarios() {
  const auto excluded = known_failures();
  std::vector<fs::path> files;
  for (const auto& entry :
       fs::directory_iterator(fs::path(FUCHSIA_SOURCE_FOLDER) / "tests" / "scenarios")) {
    if (entry.path().extension() != ".scenario") {
      continue;
    }
    const std::string name = entry.path().stem().string();
    if (std::find(excluded.begin(), excluded.end(), name) != excluded.end()) {
      std::cout << "skipped, listed in KNOWN-RED.txt: " << name << std::endl;
      continue;
    }
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

// Reserves a range of ports against other runs on the same machine: a listening socket on the base
// port of 127.0.3.250, an address that no scenario uses, acts as the lock.
class port_reservation {
 public:
  port_reservation() = default;
  ~port_reservation() {
    if (m_descriptor >= 0) {
      close(m_descriptor);
    }
  }
  port_reservation(const port_reservation&) = delete;
  port_reservation& operator=(const port_reservation&) = delete;
  port_reservation(port_reservation&&) = delete;
  port_reservation& operator=(port_reservation&&) = delete;

  // Returns false if another run has reserved the range.
  bool reserve(std::uint16_t port_base) {
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_base);
    inet_pton(AF_INET, "127.0.3.250", &address.sin_addr);
    const bool is_reserved =
        bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(m_descriptor, 1) == 0;
    if (!is_reserved) {
      close(m_descriptor);
      m_descriptor = -1;
    }
    return is_reserved;
  }

  // Reserves the first free range and returns its base, or 0 if there is none.
  std::uint16_t reserve_first_free() {
    for (std::uint16_t base = first_port_base; base <= last_port_base; base += port_range) {
      if (reserve(base)) {
        return base;
      }
    }
    return 0;
  }

 private:
  static constexpr std::uint16_t first_port_base = 22500;
  static constexpr std::uint16_t last_port_base = 22950;
  static constexpr std::uint16_t port_range = 50;

  int m_descriptor = -1;
};

struct totals {
  int passed = 0;
  int failed = 0;
};

void run_file(const fs::path& file, const options& chosen, totals& total) {
  const std::string name = file.stem().string();
  std::ifstream input(file);
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  const auto steps = parse_script(text);
  if (!input || !steps || steps.value().empty()) {
    ++total.failed;
    std::cout << name << ": " << (steps ? "file is empty or unreadable" : steps.error().message)
              << std::endl;
    return;
  }
  const fs::path work = chosen.work / name;
  fs::remove_all(work);
  totals found;
  {
    scenario_runner runner({chosen.programs, work, chosen.port_base}, file.parent_path(),
                           interrupted);
    runner.run(steps.value());
    found = {runner.passed(), runner.failed()};
  }
  std::cout << "== " << name << ": " << found.passed << " passed, " << found.failed << " failed"
            << std::endl;
  if (found.failed > 0) {
    std::cout << "logs and settings are in " << work.string() << std::endl;
  } else if (!chosen.keep) {
    fs::remove_all(work);
  }
  total.passed += found.passed;
  total.failed += found.failed;
}

int run(int argc, char** argv) {
  options chosen;
  const int status = parse_options(argc, argv, chosen);
  if (status >= 0) {
    return status;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGINT, on_stop_signal);
  std::signal(SIGTERM, on_stop_signal);
  std::string name = fs::path(argv[0]).filename().string();
  if (chosen.files.size() == 1) {
    name = chosen.files.front().stem().string();
  }
  if (chosen.files.empty()) {
    chosen.files = all_scenarios();
  }
  if (chosen.work.empty()) {
    chosen.work = fs::temp_directory_path() / ("fuchsia-scenario-" + std::to_string(getpid()));
  }
  port_reservation ports;
  if (chosen.port_base == 0) {
    chosen.port_base = ports.reserve_first_free();
  } else if (!ports.reserve(chosen.port_base)) {
    chosen.port_base = 0;
  }
  if (chosen.port_base == 0) {
    std::cerr << name
              << ": other runs have reserved the port base, or every base from 22500 to 22950\n";
    return 1;
  }
  totals total;
  for (const fs::path& file : chosen.files) {
    run_file(file, chosen, total);
  }
  std::error_code ignored;
  fs::remove(chosen.work, ignored);  // only when it is empty
  std::cout << name << ": " << total.passed << " passed, " << total.failed << " failed"
            << std::endl;
  return total.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace fuchsiaspring::scenario

int main(int argc, char** argv) {
  return fuchsiaspring::scenario::run(argc, argv);
}
