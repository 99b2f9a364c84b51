// Open-loop load generator for the router or for an engine.
//
//   fuchsia-load --target http://127.0.0.1:8080 --rate 50 --duration 10
//       --mix name=counter,token=t1,class=counter,model=suds,first_token_ms=500
//   fuchsia-load --plan mix.yaml --seed 7 --report report.json
//
// Exit status: 0 if no response was corrupt, 1 if one was, 2 for an invalid command line.
#include <getopt.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include "apps/load/load_plan.h"
#include "apps/load/plan_reader.h"
#include "apps/load/report.h"
#include "apps/load/run.h"

namespace fuchsiaspring::load {
namespace {

std::atomic<bool> stop_requested{false};

void on_stop_signal(int /*number*/) {
  stop_requested = true;
}

struct options {
  load_plan plan;
  std::string report_path;
  bool quiet = false;
};

constexpr const char* help_text = R"(Usage: fuchsia-load [OPTION...]
  --plan FILE           read a plan from YAML; later options override it
  --target URL          base URL, may be repeated
  --ready URL           readiness check of the target of the same position, may be repeated;
                        no new request goes to a target that is not ready
  --mix FIELD=VALUE,... one kind of request, may be repeated
  --rate N              requests/s, shared by the mix (10)
  --duration S          length of the arrivals in seconds (5)
  --count N             maximum number of requests
  --arrivals KIND       poisson or constant (poisson)
  --seed N              seed of the schedule (1)
  --timeout-ms N        timeout of one request (60000)
  --threads N           worker threads (1)
  --fresh-connections   one connection per request
  --failover            try the next target when one refuses the connection, as a balancer does
  --report FILE         write the JSON report there instead of to standard output
  --quiet               no progress line
Fields of --mix: name kind weight rate start_s end_s token class model stream max_tokens
  prompt_bytes first_token_ms between_tokens_ms total_ms method path keys duplicates
  duplicate_lag_ms
)";

const option long_options[] = {
    {"plan", required_argument, nullptr, 'p'},
    {"target", required_argument, nullptr, 't'},
    {"ready", required_argument, nullptr, 'u'},
    {"mix", required_argument, nullptr, 'm'},
    {"rate", required_argument, nullptr, 'f'},
    {"duration", required_argument, nullptr, 'f'},
    {"count", required_argument, nullptr, 'f'},
    {"arrivals", required_argument, nullptr, 'f'},
    {"seed", required_argument, nullptr, 'f'},
    {"timeout-ms", required_argument, nullptr, 'f'},
    {"threads", required_argument, nullptr, 'f'},
    {"fresh-connections", no_argument, nullptr, 'c'},
    {"failover", no_argument, nullptr, 'o'},
    {"report", required_argument, nullptr, 'r'},
    {"quiet", no_argument, nullptr, 'q'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
};

std::string field_name(const std::string& option_name) {
  static const std::map<std::string, std::string> names = {{"duration", "duration_s"},
                                                           {"timeout-ms", "timeout_ms"}};
  const auto found = names.find(option_name);
  return found == names.end() ? option_name : found->second;
}

// Fills `chosen`. Returns -1 to run the plan, or the exit status if the program ends here.
int parse_options(int argc, char** argv, options& chosen) {
  bool targets_given = false;
  while (true) {
    int index = 0;
    const int code = getopt_long(argc, argv, "", long_options, &index);
    base::result<void> result = base::success();
    switch (code) {
      case -1:
        result = validate_plan(chosen.plan);
        break;
      case 'p':
        result = read_plan_file(optarg, chosen.plan);
        break;
      case 't':
        if (!std::exchange(targets_given, true)) {
          chosen.plan.targets.clear();
        }
        chosen.plan.targets.emplace_back(optarg);
        break;
      case 'u':
        chosen.plan.ready_urls.emplace_back(optarg);
        break;
      case 'm':
        result = add_mix_entry(optarg, chosen.plan);
        break;
      case 'f':
        result = set_plan_field(field_name(long_options[index].name), optarg, chosen.plan);
        break;
      case 'c':
        chosen.plan.fresh_connections = true;
        break;
      case 'o':
        chosen.plan.failover = true;
        break;
      case 'r':
        chosen.report_path = optarg;
        break;
      case 'q':
        chosen.quiet = true;
        break;
      case 'h':
        std::cout << help_text;
        return 0;
      default:
        return 2;
    }
    if (!result) {
      std::cerr << "fuchsia-load: " << result.error().message << "\n";
      return 2;
    }
    if (code == -1) {
      return -1;
    }
  }
}

void print_progress(const run_progress& sums) {
  std::fprintf(
      stderr, "load: %.0f s, sent %llu, in flight %llu, ok %llu, refused %llu, other %llu\n",
      sums.elapsed_s, static_cast<unsigned long long>(sums.sent),
      static_cast<unsigned long long>(sums.sent - sums.ended),
      static_cast<unsigned long long>(sums.ok), static_cast<unsigned long long>(sums.refused),
      static_cast<unsigned long long>(sums.ended - sums.ok - sums.refused));
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
  const auto result = run_load(chosen.plan, stop_requested, [&chosen](const run_progress& sums) {
    if (!chosen.quiet) {
      print_progress(sums);
    }
  });
  const auto report = make_report(chosen.plan, result);
  if (chosen.report_path.empty()) {
    std::cout << report.dump(2) << "\n";
  } else {
    std::ofstream(chosen.report_path) << report.dump(2) << "\n";
  }
  return report["outcomes"].contains("corrupt") ? 1 : 0;
}

}  // namespace
}  // namespace fuchsiaspring::load

int main(int argc, char** argv) {
  return fuchsiaspring::load::run(argc, argv);
}
