// Reports to the log which parts of prompts are suspected of ending replicas, and which are
// blocked.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/quarantine/part_quarantine.h"
#include "fuchsiaspring/telemetry/event_log.h"

namespace fuchsiaspring::node_app {

class part_log {
 public:
  explicit part_log(telemetry::event_log& log) : m_log(log) {}

  // Called at an interval. Writes what has changed since the last call.
  void report(const quarantine::part_quarantine& parts, base::time_point now);

 private:
  void write(telemetry::level level, std::string_view event,
             const quarantine::part_summary& summary, std::size_t rank);

  telemetry::event_log& m_log;
  std::map<std::uint64_t, quarantine::part_summary> m_reported;  // by part
};

}  // namespace fuchsiaspring::node_app
