// The story of one request, told from the log lines of the nodes that it met.
//
//   std::vector<log_line> lines = read_log_lines(file);
//   for (const std::string& line : tell_story("27841daa370d4942", lines)) { out << line << '\n'; }
//
// The story has the lines of the request over all nodes in order of time. Before them comes, for
// each of these nodes, what it believed when the request came: the configuration that it had
// adopted, and whether it had lost the configuration, its lease or a reader.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiaspring::ctl {

struct log_line {
  std::uint64_t time_ms = 0;  // Unix time
  std::string level;
  std::string vm;
  std::string event;       // part and event, as in "gateway: request_finished"
  std::string fields;      // "name=value" pairs
  std::string request_id;  // empty: the line is about no request

  friend bool operator==(const log_line&, const log_line&) = default;
};

// A line of either format that nodes write; nothing for any other line. Text before the time is
// passed over, since collectors put their own marks there.
std::optional<log_line> parse_log_line(std::string_view line);

std::vector<log_line> read_log_lines(std::istream& from);

// Lines of text; empty when no line names the request.
std::vector<std::string> tell_story(std::string_view request_id, std::vector<log_line> lines);

}  // namespace fuchsiaspring::ctl
