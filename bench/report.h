// Aggregates the runs of several seeds and prints them as a table and as JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <vector>

#include "bench/decision_cost.h"
#include "bench/simulation.h"
#include "bench/workload.h"

namespace fuchsiaspring::bench {

// The runs of one workload, load and scheduler with different seeds.
struct trial {
  scheduler_kind kind = scheduler_kind::fuchsia;
  double load = 0;
  std::vector<run_result> runs;
};

// Mean and worst value of a metric over the seeds.
struct seed_aggregate {
  double mean = 0;
  double worst = 0;
};

// Metrics of one trial for the goals in section 1.6 of the design page.
struct summary {
  std::vector<seed_aggregate> attainment;  // by class
  seed_aggregate top_tier;
  seed_aggregate other_teams;    // top tier of the teams without a burst
  seed_aggregate goodput;        // share of the scheduled capacity
  seed_aggregate offered;        // work, as a share of the scheduled capacity
  seed_aggregate wasted;         // share of the generated tokens
  seed_aggregate guaranteed;     // of the smallest guarantee; 1 when the workload has none
  seed_aggregate floor;          // lowest ratio, over the classes, of dispatches to floor or demand
  std::vector<double> after_5s;  // attainment of the top tier from 5 s to 30 s after each event
  std::vector<double> recovery_s;  // of the top tier, for each event, over all seeds
  double preempted = 0;
  double retries = 0;
};

summary summarize(const workload& source, const trial& measured);

void print_heading(std::ostream& out, const workload& source, std::size_t seeds);
void print_row(std::ostream& out, const workload& source, const trial& measured,
               const summary& result);
nlohmann::json to_json(const workload& source, const trial& measured, const summary& result);
nlohmann::json to_json(const decision_cost& cost);

}  // namespace fuchsiaspring::bench
