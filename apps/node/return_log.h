// Reports to logs and metrics when the store has come back from an older copy, and what is
// corrected in its state since.
#pragma once

#include <cstdint>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/state_merger.h"
#include "fuchsiaspring/node/types.h"
#include "fuchsiaspring/telemetry/event_log.h"
#include "fuchsiaspring/telemetry/metrics.h"

namespace fuchsiaspring::node_app {

class return_log {
 public:
  return_log(telemetry::event_log& log, telemetry::metrics& metrics)
      : m_log(log), m_metrics(metrics) {}

  // Called after each merge.
  void report(const node::state_merger& merger, const node::published_state& merged,
              base::time_point now);

 private:
  void set_gauges(const node::published_state& merged);

  telemetry::event_log& m_log;
  telemetry::metrics& m_metrics;
  node::store_version m_version;
  node::return_corrections m_corrections;
  std::uint32_t m_returns = 0;
};

}  // namespace fuchsiaspring::node_app
