#include "tests/scenario/runner.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "tests/scenario/http_call.h"
#include "tests/scenario/values.h"

namespace fuchsiaspring::scenario {
namespace {

using base::error;
using base::error_code;

constexpr auto poll_interval = std::chrono::milliseconds(50);
constexpr auto default_stop_timeout = std::chrono::seconds(10);

error usage_error(const std::string& usage) {
  return {error_code::invalid_argument, "expected: " + usage};
}

nlohmann::json read_json_file(const std::string& path) {
  std::ifstream file(path);
  return nlohmann::json::parse(file, nullptr, false);
}

}  // namespace

scenario_runner::scenario_runner(environment_options options, std::filesystem::path scenario_folder,
                                 const std::atomic<bool>& interrupted)
    : m_environment(std::move(options)),
      m_folder(std::move(scenario_folder)),
      m_interrupted(interrupted) {}

void scenario_runner::run(const std::vector<step>& steps) {
  for (const step& current : steps) {
    if (m_interrupted) {
      ++m_failed;
      std::cout << "interrupted before line " << current.line << std::endl;
      return;
    }
    if (auto done = execute(current); !done) {
      ++m_failed;
      std::cout << "line " << current.line << ": " << current.text << ": " << done.error().message
                << std::endl;
      return;
    }
  }
}

scenario_runner::outcome scenario_runner::execute(const step& current) {
  using action = outcome (scenario_runner::*)(const step&);
  static const std::map<std::string, action> actions = {
      {"start", &scenario_runner::start},
      {"stop", &scenario_runner::stop},
      {"kill", &scenario_runner::signal},
      {"freeze", &scenario_runner::signal},
      {"thaw", &scenario_runner::signal},
      {"publish", &scenario_runner::publish},
      {"take", &scenario_runner::set_out_of_service},
      {"bring", &scenario_runner::set_out_of_service},
      {"control", &scenario_runner::control},
      {"stale", &scenario_runner::control},
      {"fresh", &scenario_runner::control},
      {"down", &scenario_runner::control},
      {"up", &scenario_runner::control},
      {"drain", &scenario_runner::control},
      {"link", &scenario_runner::change_link},
      {"cut", &scenario_runner::change_link},
      {"silence", &scenario_runner::change_link},
      {"delay", &scenario_runner::change_link},
      {"drop", &scenario_runner::change_link},
      {"restore", &scenario_runner::change_link},
      {"load", &scenario_runner::begin_load},
      {"wait", &scenario_runner::wait_for_load},
      {"pause", &scenario_runner::pause},
      {"remember", &scenario_runner::remember},
      {"expect", &scenario_runner::expect},
  };
  const auto found = actions.find(current.words.empty() ? "" : current.words.front());
  if (found == actions.end()) {
    return error{error_code::invalid_argument, "unknown step"};
  }
  return (this->*found->second)(current);
}

scenario_runner::outcome scenario_runner::start(const step& current) {
  if (current.words.size() < 2) {
    return usage_error("start KIND NAME or start PROCESS");
  }
  const std::string& kind = current.words[1];
  if (kind == "config") {
    return m_environment.start_stand_in("config", "config", current.options);
  }
  if (current.words.size() == 2) {
    return m_environment.restart(kind);
  }
  if (kind == "engine" || kind == "service") {
    return m_environment.start_stand_in(kind, current.words[2], current.options);
  }
  if (kind != "vm") {
    return usage_error("start config, engine NAME, service NAME or vm NAME");
  }
  option_list settings;
  for (const auto& option : current.options) {
    if (option.first != "domain") {
      settings.push_back(option);
    }
  }
  return m_environment.start_vm(current.words[2], current.option("domain", "a"), settings);
}

// Sends SIGTERM and checks that each process exits with status 0 in time.
scenario_runner::outcome scenario_runner::stop(const step& current) {
  auto bound = split_time_bound(current, 1);
  if (!bound) {
    return bound.error();
  }
  if (bound.value().words.size() != 1 || m_environment.find(bound.value().words[0]).empty()) {
    return usage_error("stop PROCESS [within TIME]");
  }
  const auto timeout =
      bound.value().within.count() > 0 ? bound.value().within : default_stop_timeout;
  const auto children = m_environment.find(bound.value().words[0]);
  for (child_process* child : children) {
    child->signal(SIGTERM);
  }
  for (child_process* child : children) {
    const auto status = child->wait(timeout);
    check(status == 0, current,
          status ? "exit status " + std::to_string(*status) : std::string("still running"));
  }
  return base::success();
}

scenario_runner::outcome scenario_runner::signal(const step& current) {
  static const std::map<std::string, int> numbers = {
      {"kill", SIGKILL}, {"freeze", SIGSTOP}, {"thaw", SIGCONT}};
  if (current.words.size() != 2 || m_environment.find(current.words[1]).empty()) {
    return usage_error(current.words[0] + " PROCESS");
  }
  const int number = numbers.at(current.words[0]);
  for (child_process* child : m_environment.find(current.words[1])) {
    if (!child->is_running()) {
      return error{error_code::failed_precondition, current.words[1] + " is not running"};
    }
    child->signal(number);
    if (number == SIGKILL) {
      child->wait(default_stop_timeout);
    }
  }
  return base::success();
}

scenario_runner::outcome scenario_runner::publish(const step& current) {
  if (current.words.size() == 3 && current.words[1] == "objects") {
    return m_environment.publish_objects(
        m_folder / current.words[2],
        std::strtoull(current.option("revision", "0").c_str(), nullptr, 10));
  }
  if (current.words.size() < 3 || current.words[1] != "vms") {
    return usage_error("publish objects FOLDER or publish vms NAME...");
  }
  std::set<std::string> leaving;
  for (const auto& [name, value] : current.options) {
    if (name == "leaving") {
      leaving.insert(value);
    }
  }
  return m_environment.publish_vms({current.words.begin() + 2, current.words.end()}, leaving);
}

scenario_runner::outcome scenario_runner::set_out_of_service(const step& current) {
  const bool is_out = current.words.front() == "take";
  if (current.words.size() != 4 || current.words[1] != (is_out ? "out" : "back")) {
    return usage_error("take out KIND NAME or bring back KIND NAME");
  }
  return m_environment.set_out_of_service(current.words[2], current.words[3], is_out);
}

scenario_runner::outcome scenario_runner::control(const step& current) {
  static const std::map<std::string, std::string> bodies = {{"stale", R"({"stale":true})"},
                                                            {"fresh", R"({"stale":false})"},
                                                            {"down", R"({"down":true})"},
                                                            {"up", R"({"down":false})"},
                                                            {"drain", R"({"draining":true})"}};
  const auto shorthand = bodies.find(current.words.front());
  const std::size_t expected_words = shorthand == bodies.end() ? 3 : 2;
  if (current.words.size() != expected_words) {
    return usage_error("control NAME JSON, or stale, fresh, down, up or drain NAME");
  }
  const std::string body = shorthand == bodies.end() ? current.words[2] : shorthand->second;
  const auto response = http_call(m_environment.operator_url(current.words[1]) + "/control", body);
  if (!response || response->status != 200) {
    return error{error_code::unavailable,
                 response ? response->body : "no complete response within 1 s"};
  }
  return base::success();
}

scenario_runner::outcome scenario_runner::change_link(const step& current) {
  if (current.words.size() < 3) {
    return usage_error(current.words.front() + " FROM TO");
  }
  const std::string& verb = current.words[0];
  const std::string& from = current.words[1];
  const std::string& to = current.words[2];
  if (verb == "link") {
    return m_environment.add_link(from, to);
  }
  tcp_relay* relay = m_environment.find_link(from, to);
  if (relay == nullptr) {
    return error{error_code::not_found, "no link " + from + " " + to};
  }
  // A link "VM config" carries one sender only; on a shared link "* NAME" the fault is restricted
  // to the sender.
  const bool is_shared = m_environment.find_link("*", to) == relay;
  const std::string sender = is_shared && from != "*" ? from : "";
  if (verb == "cut") {
    const bool both_directions = !current.has_word("forward") && !current.has_word("backward");
    if (both_directions || current.has_word("forward")) {
      relay->set_held(direction::forward, sender, true);
    }
    if (both_directions || current.has_word("backward")) {
      relay->set_held(direction::backward, sender, true);
    }
  } else if (verb == "silence") {
    relay->silence(sender);
  } else if (verb == "drop") {
    relay->set_dropping(sender, true);
  } else if (verb == "restore") {
    relay->restore(sender);
  } else {
    const auto time = parse_duration(current.words.back());
    if (!time) {
      return time.error();
    }
    relay->set_delay(sender, time.value());
  }
  return base::success();
}

scenario_runner::outcome scenario_runner::begin_load(const step& current) {
  if (current.words.size() < 2) {
    return usage_error("load NAME to=VM,... rate=N duration=S mix=...");
  }
  const std::string& name = current.words[1];
  auto run = std::make_unique<load_run>();
  run->report_path = (m_environment.options().work_folder / ("load-" + name + ".json")).string();
  std::vector<std::string> arguments = {
      (m_environment.options().program_folder / "fuchsia-load").string(), "--quiet",
      "--report=" + run->report_path};
  for (const auto& [option, value] : current.options) {
    if (option == "plan") {
      arguments.push_back("--plan=" + (m_folder / value).string());
    } else if (option != "to") {
      std::string argument = "--";
      argument.append(option).append("=").append(value);
      arguments.push_back(std::move(argument));
    }
  }
  for (std::size_t index = 2; index < current.words.size(); ++index) {
    arguments.push_back("--" + current.words[index]);
  }
  std::istringstream targets(current.option("to"));
  std::string target;
  while (std::getline(targets, target, ',')) {
    const std::string url = m_environment.caller_url(target);
    if (url.empty()) {
      return error{error_code::not_found, "unknown target " + target};
    }
    arguments.push_back("--target=" + url);
    const std::string gateway_url = m_environment.operator_url(target + "/gateway");
    if (current.has_word("failover") && !gateway_url.empty()) {
      arguments.push_back("--ready=" + gateway_url + "/readyz");
    }
  }
  const std::string log =
      (m_environment.options().work_folder / ("load-" + name + ".log")).string();
  if (!run->child.start(arguments, log)) {
    return error{error_code::internal, "cannot start fuchsia-load"};
  }
  m_loads[name] = std::move(run);
  return base::success();
}

// Waits for a load run to end and checks its exit status; 0 means that no response was corrupt.
scenario_runner::outcome scenario_runner::wait_for_load(const step& current) {
  auto bound = split_time_bound(current, 1);
  if (!bound) {
    return bound.error();
  }
  const auto& words = bound.value().words;
  const auto found = m_loads.find(words.size() == 2 && words[0] == "load" ? words[1] : "");
  if (found == m_loads.end() || bound.value().within.count() == 0) {
    return usage_error("wait load NAME within TIME");
  }
  const auto status = found->second->child.wait(bound.value().within);
  check(status == 0, current,
        status ? "exit status " + std::to_string(*status) : std::string("still running"));
  return base::success();
}

scenario_runner::outcome scenario_runner::pause(const step& current) {
  const auto time = parse_duration(current.words.size() == 2 ? current.words[1] : "");
  if (!time) {
    return time.error();
  }
  sleep(time.value());
  return base::success();
}

scenario_runner::outcome scenario_runner::remember(const step& current) {
  if (current.words.size() < 3) {
    return usage_error("remember NAME VALUE");
  }
  const auto value = evaluate({current.words.begin() + 2, current.words.end()},
                              [this](const std::string& term) { return evaluate_term(term); });
  if (!value) {
    return error{error_code::unavailable, "a term of the expression has no value"};
  }
  m_remembered[current.words[1]] = *value;
  return base::success();
}

base::result<scenario_runner::time_bounded_words> scenario_runner::split_time_bound(
    const step& current, std::size_t first) {
  time_bounded_words found;
  found.words.assign(current.words.begin() + static_cast<std::ptrdiff_t>(first),
                     current.words.end());
  if (found.words.size() < 2) {
    return found;
  }
  const std::string keyword = found.words[found.words.size() - 2];
  if (keyword != "within" && keyword != "for") {
    return found;
  }
  const auto time = parse_duration(found.words.back());
  if (!time) {
    return time.error();
  }
  (keyword == "within" ? found.within : found.hold_time) = time.value();
  found.words.resize(found.words.size() - 2);
  return found;
}

scenario_runner::outcome scenario_runner::expect(const step& current) {
  auto bound = split_time_bound(current, 1);
  if (!bound) {
    return bound.error();
  }
  const auto& words = bound.value().words;
  std::size_t operator_index = 0;
  while (operator_index < words.size() && !compare(0, words[operator_index], 0)) {
    ++operator_index;
  }
  if (operator_index == 0 || operator_index + 1 >= words.size()) {
    return usage_error("expect VALUE OPERATOR VALUE [within TIME | for TIME]");
  }
  const auto read = [this](const std::string& term) { return evaluate_term(term); };
  const std::vector<std::string> left_words(
      words.begin(), words.begin() + static_cast<std::ptrdiff_t>(operator_index));
  const std::vector<std::string> right_words(
      words.begin() + static_cast<std::ptrdiff_t>(operator_index) + 1, words.end());
  const auto begin = std::chrono::steady_clock::now();
  while (true) {
    const auto left = evaluate(left_words, read);
    const auto right = evaluate(right_words, read);
    const bool is_true = left && right && *compare(*left, words[operator_index], *right);
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    const bool wait_for_it = !is_true && elapsed < bound.value().within;
    const bool keep_watching = is_true && elapsed < bound.value().hold_time;
    if (m_interrupted || (!wait_for_it && !keep_watching)) {
      check(is_true, current,
            "left side " + format_number(left) + ", right side " + format_number(right));
      return base::success();
    }
    sleep(poll_interval);
  }
}

void scenario_runner::check(bool is_true, const step& current, const std::string& found) {
  ++(is_true ? m_passed : m_failed);
  if (!is_true) {
    std::cout << "line " << current.line << ": " << current.text << ": " << found << std::endl;
  }
}

void scenario_runner::sleep(std::chrono::milliseconds time) const {
  const auto end = std::chrono::steady_clock::now() + time;
  while (!m_interrupted && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::min<std::chrono::steady_clock::duration>(
        poll_interval, end - std::chrono::steady_clock::now()));
  }
}

std::optional<double> scenario_runner::read_json(const std::string& url, const std::string& path) {
  const auto response = http_call(url);
  if (!response || response->status != 200) {
    return std::nullopt;
  }
  return json_number(nlohmann::json::parse(response->body, nullptr, false), path);
}

// A term is a number, $NAME, or SOURCE(NAME) with an optional .PATH or .METRIC suffix.
std::optional<double> scenario_runner::evaluate_term(const std::string& term) {
  if (term.starts_with('$')) {
    const auto found = m_remembered.find(term.substr(1));
    return found == m_remembered.end() ? std::nullopt : std::optional(found->second);
  }
  const std::size_t open = term.find('(');
  const std::size_t close = term.find(')');
  if (open == std::string::npos || close == std::string::npos || close < open) {
    char* end = nullptr;
    const double number = std::strtod(term.c_str(), &end);
    return *end == '\0' && !term.empty() ? std::optional(number) : std::nullopt;
  }
  const std::string source = term.substr(0, open);
  const std::string name = term.substr(open + 1, close - open - 1);
  const std::string path = close + 2 <= term.size() ? term.substr(close + 2) : "";
  const std::string url = m_environment.operator_url(name);
  if (source == "counters" || source == "status" || source == "load") {
    return read_json(url + "/" + source, path);
  }
  if (source == "metric") {
    const auto response = http_call(url + "/metrics");
    return response ? std::optional(metric_sum(response->body, path)) : std::nullopt;
  }
  if (source == "ready") {
    const auto response = http_call(url + "/readyz");
    return response && response->status == 200 ? 1 : 0;
  }
  if (source == "running") {
    int running = 0;
    for (child_process* child : m_environment.find(name)) {
      running += child->is_running() ? 1 : 0;
    }
    return running;
  }
  if (source == "report") {
    const auto found = m_loads.find(name);
    if (found == m_loads.end()) {
      return std::nullopt;
    }
    // The report has no entries for outcomes, reasons and statuses that did not occur; they count
    // as 0.
    const auto report = read_json_file(found->second->report_path);
    if (!report.is_object()) {
      return std::nullopt;
    }
    const auto value = json_number(report, path);
    const bool is_count =
        path.find("outcomes.") != std::string::npos || path.find("reasons.") != std::string::npos ||
        path.find("statuses.") != std::string::npos || path.find("executed.") != std::string::npos;
    return value || !is_count ? value : 0;
  }
  return std::nullopt;
}

}  // namespace fuchsiaspring::scenario
