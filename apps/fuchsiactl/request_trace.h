// Traces one request through the log lines of the nodes that handled it.
//
//   std::vector<log_line> lines = read_log_lines(file);
//   const std::vector<std::string> trace = trace_request("27841daa370d4942", lines);
//
// The trace has the lines of the request over all nodes, ordered by time. Before them comes, for
// each of these nodes, its state before the first line of the request: the configuration that it
// had adopted, and the last loss and recovery of its configuration and its lease.
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
  std::string request_id;  // empty if the line belongs to no request

  friend bool operator==(const log_line&, const log_line&) = default;
};

// Parses a line of either format that nodes write; nothing for any other line. Text before the time
// is skipped, since log collectors add their own prefixes.
std::optional<log_line> parse_log_line(std::string_view line);

std::vector<log_line> read_log_lines(std::istream& from);

// Lines of the trace; empty when no line belongs to the request.
std::vector<std::string> trace_request(std::string_view request_id, std::vector<log_line> lines);

}  // namespace fuchsiaspring::ctl
