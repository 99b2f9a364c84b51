#include "fuchsiaspring/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>

namespace fuchsiaspring::telemetry {
namespace {

const prometheus::Histogram::BucketBoundaries bucket_bounds_s{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.3, 2, 5, 10, 30, 60, 120, 300, 600};

}  // namespace

struct metrics::state {
  prometheus::Registry registry;
  mutable std::mutex mutex;  // guards the families below
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

metrics::metrics() : m_state(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& help, const labels& series_labels,
                    double increment) {
  const std::lock_guard lock(m_state->mutex);
  auto*& family = m_state->counters[name];
  if (family == nullptr) {
    family = &prometheus::BuildCounter().Name(name).Help(help).Register(m_state->registry);
  }
  family->Add(series_labels).Increment(increment);
}

void metrics::set(const std::string& name, const std::string& help, const labels& series_labels,
                  double value) {
  const std::lock_guard lock(m_state->mutex);
  auto*& family = m_state->gauges[name];
  if (family == nullptr) {
    family = &prometheus::BuildGauge().Name(name).Help(help).Register(m_state->registry);
  }
  family->Add(series_labels).Set(value);
}

void metrics::observe_seconds(const std::string& name, const std::string& help,
                              const labels& series_labels, double seconds) {
  const std::lock_guard lock(m_state->mutex);
  auto*& family = m_state->histograms[name];
  if (family == nullptr) {
    family = &prometheus::BuildHistogram().Name(name).Help(help).Register(m_state->registry);
  }
  family->Add(series_labels, bucket_bounds_s).Observe(seconds);
}

std::string metrics::text() const {
  return prometheus::TextSerializer().Serialize(m_state->registry.Collect());
}

}  // namespace fuchsiaspring::telemetry
