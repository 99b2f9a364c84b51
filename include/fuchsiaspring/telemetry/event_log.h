// Structured log with one line per event.
//
//   telemetry::event_log log("vm-1", {.format = telemetry::line_format::text});
//   log.write(telemetry::level::warn, "gateway", "request_refused",
//             {{"id", request_id}, {"reason", "too_late"}, {"waited_ms", 412}});
//
// Writes to standard output and never blocks: when the reader is slow, lines are dropped and
// counted. The rate is limited per level, so that lines about successful requests do not displace
// warnings about refused ones. Fields never hold keys, prompts or completions. Not thread-safe;
// one event loop owns the log.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::telemetry {

enum class level { debug, info, warn, error };

enum class line_format { text, json };

using field_value = std::variant<std::string_view, std::int64_t, double, bool>;

struct field {
  field(std::string_view field_name, std::string_view text) : name(field_name), value(text) {}
  field(std::string_view field_name, const std::string& text)
      : name(field_name), value(std::string_view(text)) {}
  field(std::string_view field_name, const char* text)
      : name(field_name), value(std::string_view(text)) {}
  field(std::string_view field_name, bool flag) : name(field_name), value(flag) {}
  field(std::string_view field_name, double number) : name(field_name), value(number) {}
  template <typename Integer>
  requires std::is_integral_v<Integer> field(std::string_view field_name, Integer number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
  // A duration is written in milliseconds; name the field accordingly.
  field(std::string_view field_name, base::duration time)
      : name(field_name), value(1000 * base::to_seconds(time)) {}

  std::string_view name;
  field_value value;
};

struct event_log_options {
  line_format format = line_format::text;
  level min_level = level::info;
  double lines_per_s = 200;  // per level
  int descriptor = 1;
};

class event_log {
 public:
  event_log(std::string vm, event_log_options options);

  void write(level severity, std::string_view part, std::string_view event,
             std::initializer_list<field> fields);

  void set_min_level(level min_level) { m_options.min_level = min_level; }

  // Lines dropped by the rate limit or because the reader was slow.
  std::uint64_t dropped() const { return m_dropped; }

 private:
  struct bucket {
    double tokens = 0;
    base::time_point refilled_at{};
  };

  bool take_token(level severity, base::time_point now);

  std::string m_vm;
  event_log_options m_options;
  std::array<bucket, 4> m_buckets;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported_dropped = 0;
};

// The level with a name such as "warn"; info for an unknown name.
level parse_level(std::string_view level_name);

}  // namespace fuchsiaspring::telemetry
