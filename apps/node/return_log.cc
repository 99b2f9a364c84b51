#include "apps/node/return_log.h"

#include <string>

namespace fuchsiaspring::node_app {

namespace {

std::string era_text(const node::store_version& version) {
  return version.era ? std::to_string(*version.era) : "none";
}

}  // namespace

void return_log::report(const node::state_merger& merger, const node::published_state& merged,
                        base::time_point now) {
  if (merger.returns() != m_returns) {
    m_log.write(telemetry::level::warn, "agent", "store_returned",
                {{"era_before", era_text(m_version)},
                 {"era", era_text(merged.version)},
                 {"revision_before", m_version.revision},
                 {"revision", merged.version.revision}});
    m_metrics.count("fuchsia_store_returns_total",
                    "Returns of the configuration service from an older copy.", {},
                    merger.returns() - m_returns);
    m_returns = merger.returns();
  }
  m_version = merged.version;
  const node::return_corrections& corrections = merger.guard().corrections();
  if (corrections != m_corrections) {
    m_corrections = corrections;
    m_log.write(telemetry::level::info, "agent", "store_corrections",
                {{"kept_replicas", corrections.kept_replicas},
                 {"departed_replicas", corrections.departed_replicas},
                 {"kept_evacuations", corrections.kept_evacuations},
                 {"return_age_ms", merger.guard().age(now).value_or(base::duration{})}});
  }
  set_gauges(merged);
}

void return_log::set_gauges(const node::published_state& merged) {
  m_metrics.set("fuchsia_store_era", "Era of the held state, 0: not stated.", {},
                static_cast<double>(merged.version.era.value_or(0)));
  const auto set_corrections = [this](const char* kind, std::size_t value) {
    m_metrics.set("fuchsia_store_corrections",
                  "Differences of the state in use from the state as read.", {{"kind", kind}},
                  static_cast<double>(value));
  };
  set_corrections("kept_replica", m_corrections.kept_replicas);
  set_corrections("departed_replica", m_corrections.departed_replicas);
  set_corrections("kept_evacuation", m_corrections.kept_evacuations);
}

}  // namespace fuchsiaspring::node_app
