#include "apps/fuchsiactl/request_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace fuchsiaspring::ctl {
namespace {

using nlohmann::json;

// Events that change a node's configuration or its lease.
constexpr std::array state_events{"agent: state_adopted",          "agent: configuration_lost",
                                  "agent: configuration_regained", "agent: lease_lapsed",
                                  "agent: lease_regained",         "node: started"};
constexpr std::array levels{"debug", "info", "warn", "error"};

template <typename List>
bool is_one_of(const List& list, std::string_view text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

// Removes the first word and the space after it from `text` and returns the word.
std::string_view consume_word(std::string_view& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  const std::string_view word = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return word;
}

std::string value_of(std::string_view fields, std::string_view name) {
  const std::string marked = " " + std::string(name) + "=";
  const std::string padded = " " + std::string(fields);
  const std::size_t at = padded.find(marked);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t from = at + marked.size();
  return padded.substr(from, padded.find(' ', from) - from);
}

std::optional<log_line> parse_text(std::string_view line) {
  while (!line.empty()) {
    const std::string_view word = consume_word(line);
    log_line parsed;
    const auto [end, failed] =
        std::from_chars(word.data(), word.data() + word.size(), parsed.time_ms);
    std::string_view rest = line;
    const std::string_view level = consume_word(rest);
    const bool is_time = failed == std::errc{} && end == word.data() + word.size();
    if (!is_time || !is_one_of(levels, level) || !rest.starts_with("vm=")) {
      continue;
    }
    parsed.level = level;
    parsed.vm = consume_word(rest).substr(3);
    parsed.event = std::string(consume_word(rest)) + " ";
    parsed.event += consume_word(rest);
    parsed.fields = rest;
    parsed.request_id = value_of(rest, "id");
    return parsed;
  }
  return std::nullopt;
}

std::optional<log_line> parse_json(std::string_view line) {
  const json object = json::parse(line, nullptr, false);
  if (!object.is_object() || !object.contains("time_ms") || !object.contains("event")) {
    return std::nullopt;
  }
  log_line parsed{.time_ms = object.value("time_ms", std::uint64_t{0}),
                  .level = object.value("level", ""),
                  .vm = object.value("vm", ""),
                  .event = object.value("part", "") + ": " + object.value("event", ""),
                  .fields = {},
                  .request_id = object.value("id", "")};
  for (const auto& [name, value] : object.items()) {
    if (name == "time_ms" || name == "level" || name == "vm" || name == "part" || name == "event") {
      continue;
    }
    parsed.fields += parsed.fields.empty() ? "" : " ";
    parsed.fields += name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return parsed;
}

std::string format_line(const log_line& line, std::uint64_t begin_ms) {
  const auto offset = static_cast<std::int64_t>(line.time_ms - begin_ms);
  return (offset < 0 ? "" : "+") + std::to_string(offset) + " ms  " + line.vm + "  " + line.event +
         " " + line.fields;
}

}  // namespace

std::optional<log_line> parse_log_line(std::string_view line) {
  const std::size_t brace = line.find('{');
  if (brace != std::string_view::npos &&
      line.find("\"time_ms\":", brace) != std::string_view::npos) {
    return parse_json(line.substr(brace));
  }
  return parse_text(line);
}

std::vector<log_line> read_log_lines(std::istream& from) {
  std::vector<log_line> lines;
  for (std::string line; std::getline(from, line);) {
    if (auto parsed = parse_log_line(line)) {
      lines.push_back(std::move(*parsed));
    }
  }
  return lines;
}

std::vector<std::string> trace_request(std::string_view request_id, std::vector<log_line> lines) {
  std::stable_sort(lines.begin(), lines.end(), [](const log_line& left, const log_line& right) {
    return left.time_ms < right.time_ms;
  });
  const auto first = std::find_if(lines.begin(), lines.end(), [&](const log_line& each) {
    return each.request_id == request_id;
  });
  if (first == lines.end()) {
    return {};
  }
  std::set<std::string> vms;
  for (const log_line& each : lines) {
    if (each.request_id == request_id) {
      vms.insert(each.vm);
    }
  }
  std::map<std::pair<std::string, std::string>, const log_line*> state_lines;  // by VM and event
  for (auto each = lines.begin(); each != first; ++each) {
    if (vms.contains(each->vm) && is_one_of(state_events, each->event)) {
      state_lines[{each->vm, each->event}] = &*each;
    }
  }
  std::vector<const log_line*> selected;
  selected.reserve(state_lines.size());
  for (const auto& [key, line] : state_lines) {
    selected.push_back(line);
  }
  for (const log_line& each : lines) {
    if (each.request_id == request_id) {
      selected.push_back(&each);
    }
  }
  std::stable_sort(
      selected.begin(), selected.end(),
      [](const log_line* left, const log_line* right) { return left->time_ms < right->time_ms; });
  std::vector<std::string> trace;
  trace.reserve(selected.size());
  for (const log_line* each : selected) {
    trace.push_back(format_line(*each, first->time_ms));
  }
  return trace;
}

}  // namespace fuchsiaspring::ctl
