// State of one upstream of the subset.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/routing/router.h"
#include "routing/cold_start_ramp.h"
#include "routing/latency_baseline.h"
#include "routing/outlier.h"

namespace fuchsiaspring::routing::internal {

struct member {
  // Weight of a load report halves in this time.
  static constexpr base::duration report_half_life = std::chrono::seconds(1);

  std::string name;
  std::string failure_domain;
  std::uint64_t seed = 0;  // hash of the name
  std::uint32_t rank = 0;  // distance of the domain, 0 is the own domain
  std::uint32_t limit = 0;
  bool marked_out = false;  // out-of-service mark of the upstream
  bool domain_out = false;  // out-of-service mark of its domain
  std::optional<base::time_point> leaving_at;

  std::uint32_t in_flight = 0;
  std::uint32_t slot_share = 0;
  cold_start_ramp ramp;
  outlier_history outlier;
  latency_baseline baseline;

  std::optional<base::time_point> reported_at;
  double remote_requests = 0.0;  // requests of other VMs in the last report
  std::uint64_t started_at = 0;

  bool in_service() const { return !marked_out && !domain_out && !leaving_at; }
  std::uint32_t bound() const { return std::min(slot_share, ramp.bound()); }
  bool has_slot() const { return in_flight < bound(); }

  // Share of the present capacity in use by the whole fleet, as far as known here.
  double load(base::time_point now) const {
    double requests = in_flight;
    if (reported_at && remote_requests > 0.0) {
      const double age = base::to_seconds(now - *reported_at);
      requests += remote_requests * std::exp2(-age / base::to_seconds(report_half_life));
    }
    const std::uint32_t capacity = ramp.bound();
    return capacity == 0 ? requests : requests / capacity;
  }
};

}  // namespace fuchsiaspring::routing::internal
