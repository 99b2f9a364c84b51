#include "apps/node/part_log.h"

#include <array>
#include <charconv>
#include <string>

namespace fuchsiaspring::node_app {
namespace {

// Likeliest causes that are reported at a time. When a rack is lost, hundreds of parts have
// evidence against them.
constexpr std::size_t max_reported_parts = 4;
// Fewer replicas end on most parts sooner or later.
constexpr std::size_t min_replicas = 2;

std::string to_hex(std::uint64_t value) {
  constexpr int hexadecimal = 16;
  std::array<char, sizeof(value) * 2> digits{};
  const auto [end, error] = std::to_chars(digits.begin(), digits.end(), value, hexadecimal);
  return {digits.begin(), end};
}

}  // namespace

void part_log::report(const quarantine::part_quarantine& parts, base::time_point now) {
  std::map<std::uint64_t, quarantine::part_summary> reported;
  std::size_t rank = 0;
  for (const quarantine::part_summary& each : parts.summaries(min_replicas, now)) {
    ++rank;
    if (!each.is_blocked && rank > max_reported_parts) {
      continue;
    }
    const auto before = m_reported.find(each.part);
    const bool is_known = before != m_reported.end();
    const bool was_blocked = is_known && before->second.is_blocked;
    if (each.is_blocked && !was_blocked) {
      write(telemetry::level::warn, "prompt_part_blocked", each, rank);
    } else if (!each.is_blocked && (!is_known || before->second != each)) {
      write(telemetry::level::info, "prompt_part_suspected", each, rank);
    }
    reported.emplace(each.part, each);
  }
  for (const auto& [part, before] : m_reported) {
    const auto current = reported.find(part);
    if (before.is_blocked && (current == reported.end() || !current->second.is_blocked)) {
      m_log.write(telemetry::level::warn, "gateway", "prompt_part_cleared",
                  {{"part", to_hex(part)}});
    }
  }
  m_reported = std::move(reported);
}

void part_log::write(telemetry::level level, std::string_view event,
                     const quarantine::part_summary& summary, std::size_t rank) {
  m_log.write(level, "gateway", event,
              {{"part", to_hex(summary.part)},
               {"rank", rank},
               {"depth", summary.depth},
               {"replicas", summary.replicas},
               {"separate", summary.separate},
               {"explained", summary.explained},
               {"never_answered", summary.was_never_answered}});
}

}  // namespace fuchsiaspring::node_app
