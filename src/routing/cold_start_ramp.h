// The bound on an upstream's concurrent requests from a cold start up to its warm limit.
//
// Steps double from `cold_limit`. A step is passed when a step's worth of requests has finished
// with a first-token time within twice the warm median. The first step returns when the upstream
// reports that it is cold or has restarted, or when first-token times rise fivefold three times in
// a row.
//
// Not every VM sends enough requests to an upstream to pass a step itself. Such a VM follows the
// others: it rises one step for each notice of a higher step, and for `busy_reports_per_step`
// reports in a row that show the fleet running a step's worth of requests.
#pragma once

#include <cstdint>
#include <optional>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::routing::internal {

class cold_start_ramp {
 public:
  static constexpr double in_time_ratio = 2.0;
  static constexpr double cold_ratio = 5.0;
  static constexpr std::uint32_t cold_streak = 3;
  static constexpr std::uint32_t busy_reports_per_step = 3;
  // Notices of a higher step are ignored for this time after a detected cold start, since they may
  // have been sent before it. It exceeds the delay of a message.
  static constexpr base::duration raise_holdoff = std::chrono::seconds(1);
  // After a detected cold start reports do not raise the step for this time, since an upstream that
  // turned cold unannounced still reports itself as warm.
  static constexpr base::duration report_holdoff = std::chrono::seconds(30);

  // Sets the limits. The present step stays, bounded by the new limit.
  void configure(std::uint32_t limit, std::uint32_t cold_limit);

  // Bound of the present step, for the whole fleet.
  std::uint32_t bound() const { return m_step < m_limit ? m_step : m_limit; }
  bool warm() const { return m_step >= m_limit; }

  // Back to the first step. `detected` means that a cold start was noticed, here or elsewhere, as
  // opposed to a start of this program or a return to service. Returns whether the step fell.
  bool reset(base::time_point now, bool detected);

  // Adopts the step of another VM's notice, but rises by one step at most. Returns whether the step
  // changed.
  bool lower_to(std::uint32_t bound, base::time_point now);
  bool raise_to(std::uint32_t bound, base::time_point now);

  // `ratio` is the first-token time divided by the warm median, if that is known. Returns whether
  // this is the last of `cold_streak` slow ones in a row; the caller then resets the ramp.
  bool on_first_token(std::optional<double> ratio);

  // `own_share` is the part of the step that this VM may use. Returns whether the step was passed.
  bool on_finish(std::uint32_t own_share);

  // Counts a load report without the cold flag. Returns whether the step was passed.
  bool on_report(std::uint32_t running, std::uint32_t queued, base::time_point now);

  // The cold flag of the last load report. No step is passed while it is set.
  void set_reported_cold(bool cold) { m_reported_cold = cold; }

 private:
  std::uint32_t first_step() const { return m_cold_limit < m_limit ? m_cold_limit : m_limit; }
  void set_step(std::uint32_t step);

  std::uint32_t m_limit = 0;
  std::uint32_t m_cold_limit = 1;
  std::uint32_t m_step = 0;
  std::uint32_t m_in_time = 0;   // first tokens in time since the step began
  std::uint32_t m_finished = 0;  // requests finished since the step began
  std::uint32_t m_slow_streak = 0;
  std::uint32_t m_busy_reports = 0;
  bool m_reported_cold = false;
  std::optional<base::time_point> m_detected_at;
};

}  // namespace fuchsiaspring::routing::internal
