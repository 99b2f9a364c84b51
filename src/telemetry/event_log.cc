#include "fuchsiaspring/telemetry/event_log.h"

#include <fcntl.h>
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace fuchsiaspring::telemetry {
namespace {

constexpr std::string_view level_names[] = {"debug", "info", "warn", "error"};
// A burst may write as many lines as the rate limit allows in this time.
constexpr double burst_seconds = 2;
// Longer lines could be written in part when a pipe is nearly full.
constexpr std::size_t max_line_bytes = 4000;

void append_quoted(fmt::memory_buffer& out, std::string_view text) {
  out.push_back('"');
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char last_printable = 0x7e;
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (byte < first_printable || byte > last_printable) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", byte);
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

bool needs_quotes(std::string_view text) {
  return text.empty() || std::any_of(text.begin(), text.end(), [](char c) {
           return c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\';
         });
}

void append_value(fmt::memory_buffer& out, const field_value& value, bool is_json) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    if (is_json || needs_quotes(*text)) {
      append_quoted(out, *text);
    } else {
      out.append(text->data(), text->data() + text->size());
    }
  } else if (const auto* number = std::get_if<std::int64_t>(&value)) {
    fmt::format_to(std::back_inserter(out), "{}", *number);
  } else if (const auto* real = std::get_if<double>(&value)) {
    fmt::format_to(std::back_inserter(out), "{:.1f}", *real);
  } else {
    fmt::format_to(std::back_inserter(out), "{}", std::get<bool>(value));
  }
}

void append_name(fmt::memory_buffer& out, std::string_view name, bool is_json) {
  if (is_json) {
    fmt::format_to(std::back_inserter(out), ",\"{}\":", name);
  } else {
    fmt::format_to(std::back_inserter(out), " {}=", name);
  }
}

bool is_writable(int descriptor) {
  pollfd state{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

event_log::event_log(std::string vm, event_log_options options)
    : m_vm(std::move(vm)), m_options(options) {
  for (bucket& level_bucket : m_buckets) {
    level_bucket.tokens = burst_seconds * m_options.lines_per_s;
  }
}

bool event_log::take_token(level severity, base::time_point now) {
  bucket& level_bucket = m_buckets[static_cast<std::size_t>(severity)];
  const double elapsed = std::max(0.0, base::to_seconds(now - level_bucket.refilled_at));
  level_bucket.tokens = std::min(burst_seconds * m_options.lines_per_s,
                                 level_bucket.tokens + elapsed * m_options.lines_per_s);
  level_bucket.refilled_at = now;
  if (level_bucket.tokens < 1) {
    return false;
  }
  level_bucket.tokens -= 1;
  return true;
}

void event_log::write(level severity, std::string_view part, std::string_view event,
                      std::initializer_list<field> fields) {
  if (severity < m_options.min_level) {
    return;
  }
  if (!take_token(severity, base::boot_clock::now())) {
    ++m_dropped;
    return;
  }
  const bool is_json = m_options.format == line_format::json;
  const std::uint64_t ms = base::wall_clock_ms();
  fmt::memory_buffer line;
  const std::string_view name = level_names[static_cast<std::size_t>(severity)];
  if (is_json) {
    fmt::format_to(std::back_inserter(line),
                   R"({{"time_ms":{},"level":"{}","vm":"{}","part":"{}","event":"{}")", ms, name,
                   m_vm, part, event);
  } else {
    fmt::format_to(std::back_inserter(line), "{} {} vm={} {}: {}", ms, name, m_vm, part, event);
  }
  for (const field& each : fields) {
    append_name(line, each.name, is_json);
    append_value(line, each.value, is_json);
  }
  const std::uint64_t unreported = m_dropped - m_reported_dropped;
  if (unreported > 0) {
    append_name(line, "lines_dropped", is_json);
    append_value(line, static_cast<std::int64_t>(unreported), is_json);
  }
  if (line.size() > max_line_bytes) {
    line.resize(max_line_bytes);
  }
  if (is_json) {
    line.push_back('}');
  }
  line.push_back('\n');
  // The descriptor may be shared with other processes, so it is polled instead of being made
  // non-blocking. A writable pipe accepts a line of up to max_line_bytes completely.
  if (!is_writable(m_options.descriptor) ||
      ::write(m_options.descriptor, line.data(), line.size()) < 0) {
    ++m_dropped;
    return;
  }
  m_reported_dropped += unreported;
}

level parse_level(std::string_view level_name) {
  if (level_name == "trace" || level_name == "debug") {
    return level::debug;
  }
  if (level_name == "warn") {
    return level::warn;
  }
  return level_name == "error" ? level::error : level::info;
}

}  // namespace fuchsiaspring::telemetry
