// Counters, gauges and histograms in the Prometheus text format.
//
//   telemetry::metrics metrics;
//   metrics.count("fuchsia_refusals_total", "Refused requests.", {{"reason", "queue_full"}});
//   std::string page = metrics.text();
//
// Thread-safe. A series exists from its first use on. Series with known label values should be
// declared with an increment of 0, so that alerts see them before the first event.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace fuchsiaspring::telemetry {

using labels = std::map<std::string, std::string>;

class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;
  metrics(metrics&&) = delete;
  metrics& operator=(metrics&&) = delete;
  ~metrics();

  void count(const std::string& name, const std::string& help, const labels& series_labels = {},
             double increment = 1);
  void set(const std::string& name, const std::string& help, const labels& series_labels,
           double value);
  // Adds an observation to a histogram with bucket bounds from 1 ms to 600 s.
  void observe_seconds(const std::string& name, const std::string& help,
                       const labels& series_labels, double seconds);

  // All metrics in the text exposition format.
  std::string text() const;

 private:
  struct state;
  std::unique_ptr<state> m_state;
};

}  // namespace fuchsiaspring::telemetry
