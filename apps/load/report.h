// Builds the JSON report from the outcomes of a run.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "apps/load/load_plan.h"
#include "apps/load/run.h"

namespace fuchsiaspring::load {

// The `fraction` quantile of `values` by nearest rank; 0 for no values. Reorders `values`.
double quantile(std::vector<float>& values, double fraction);

// The report over all requests and by class and entry. `class` is the entry's request class, or
// its name when it has none.
nlohmann::json make_report(const load_plan& plan, const run_result& result);

}  // namespace fuchsiaspring::load
