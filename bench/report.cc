#include "bench/report.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fuchsiaspring::bench {
namespace {

// The top tier counts as recovered at this attainment, its goal at 4 times capacity.
constexpr double recovered_attainment = 0.97;

double ratio(double part, double whole) {
  return whole > 0 ? part / whole : 1;
}

seed_aggregate aggregate_over_seeds(const trial& measured, bool high_is_good,
                                    const std::function<double(const run_result&)>& value) {
  seed_aggregate result;
  bool first = true;
  for (const run_result& run : measured.runs) {
    const double current = value(run);
    result.mean += current / static_cast<double>(measured.runs.size());
    const bool worse = high_is_good ? current < result.worst : current > result.worst;
    if (first || worse) {
      result.worst = current;
    }
    first = false;
  }
  return result;
}

double top_tier_attainment(const workload& source, const run_result& run) {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  for (std::size_t i = 0; i < source.classes.size(); ++i) {
    if (source.classes[i].policy.tier == source.tiers.front().name) {
      offered += run.classes[i].offered;
      in_time += run.classes[i].in_time;
    }
  }
  return ratio(static_cast<double>(in_time), static_cast<double>(offered));
}

// The lowest ratio, over the classes, of dispatches to those due under the class's floor: its share
// of the pool's dispatches, or the offered requests if fewer.
double lowest_floor(const workload& source, const run_result& run) {
  double lowest = 1;
  for (const pool_spec& pool : source.pools) {
    double dispatched = 0;
    for (std::size_t i = 0; i < source.classes.size(); ++i) {
      if (source.classes[i].policy.pool == pool.name) {
        dispatched += static_cast<double>(run.classes[i].dispatched);
      }
    }
    for (std::size_t i = 0; i < source.classes.size(); ++i) {
      const admission::class_policy& policy = source.classes[i].policy;
      if (policy.pool != pool.name) {
        continue;
      }
      const double granted = std::min(dispatched * policy.floor_per_mille / 1000,
                                      static_cast<double>(run.classes[i].offered));
      lowest = std::min(lowest, ratio(static_cast<double>(run.classes[i].dispatched), granted));
    }
  }
  return lowest;
}

// Seconds from the event until the end of the last second with an attainment below
// recovered_attainment.
double recovery_time(const trial& measured, std::size_t event) {
  double result = 0;
  for (std::size_t second = 0; second < recovery_seconds; ++second) {
    double offered = 0;
    double in_time = 0;
    for (const run_result& run : measured.runs) {
      offered += static_cast<double>(run.recoveries[event].offered[second]);
      in_time += static_cast<double>(run.recoveries[event].in_time[second]);
    }
    if (ratio(in_time, offered) < recovered_attainment) {
      result = static_cast<double>(second) + 1;
    }
  }
  return result;
}

// Attainment of the top tier from the time allowed for recovery to the end of the observed
// interval.
double attainment_after_recovery(const trial& measured, std::size_t event) {
  constexpr std::size_t allowed_seconds = 5;
  double offered = 0;
  double in_time = 0;
  for (const run_result& run : measured.runs) {
    for (std::size_t second = allowed_seconds; second < recovery_seconds; ++second) {
      offered += static_cast<double>(run.recoveries[event].offered[second]);
      in_time += static_cast<double>(run.recoveries[event].in_time[second]);
    }
  }
  return ratio(in_time, offered);
}

std::string percent(const seed_aggregate& value) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << 100 * value.mean << "/" << 100 * value.worst;
  return out.str();
}

// Outcomes of the offered requests of one class, summed over the seeds.
nlohmann::json outcomes_json(const trial& measured, std::size_t class_index) {
  class_result sum;
  for (const run_result& run : measured.runs) {
    const class_result& part = run.classes[class_index];
    sum.offered += part.offered;
    sum.in_time += part.in_time;
    sum.refused += part.refused;
    sum.abandoned += part.abandoned;
    sum.late += part.late;
    sum.failed += part.failed;
    sum.dispatched += part.dispatched;
  }
  return {{"offered", sum.offered},      {"in_time", sum.in_time}, {"refused", sum.refused},
          {"abandoned", sum.abandoned},  {"late", sum.late},       {"failed", sum.failed},
          {"dispatched", sum.dispatched}};
}

nlohmann::json aggregate_json(const seed_aggregate& value) {
  return {{"mean", value.mean}, {"worst", value.worst}};
}

}  // namespace

summary summarize(const workload& source, const trial& measured) {
  summary result;
  for (std::size_t i = 0; i < source.classes.size(); ++i) {
    result.attainment.push_back(aggregate_over_seeds(measured, true, [i](const run_result& run) {
      return ratio(static_cast<double>(run.classes[i].in_time),
                   static_cast<double>(run.classes[i].offered));
    }));
  }
  result.top_tier = aggregate_over_seeds(
      measured, true, [&](const run_result& run) { return top_tier_attainment(source, run); });
  result.other_teams = aggregate_over_seeds(measured, true, [](const run_result& run) {
    return ratio(static_cast<double>(run.other_teams_in_time),
                 static_cast<double>(run.other_teams_offered));
  });
  result.goodput = aggregate_over_seeds(measured, true, [](const run_result& run) {
    return ratio(run.good_work, run.capacity_work);
  });
  result.offered = aggregate_over_seeds(measured, true, [](const run_result& run) {
    return ratio(run.offered_work, run.capacity_work);
  });
  result.wasted = aggregate_over_seeds(measured, false, [](const run_result& run) {
    return run.total_work > 0 ? 1 - run.good_work / run.total_work : 0;
  });
  result.guaranteed = aggregate_over_seeds(measured, true, [](const run_result& run) {
    return ratio(static_cast<double>(run.conforming_in_time), static_cast<double>(run.conforming));
  });
  result.floor = aggregate_over_seeds(
      measured, true, [&](const run_result& run) { return lowest_floor(source, run); });
  for (std::size_t event = 0; event < measured.runs.front().recoveries.size(); ++event) {
    result.recovery_s.push_back(recovery_time(measured, event));
    result.after_5s.push_back(attainment_after_recovery(measured, event));
  }
  result.preempted = aggregate_over_seeds(measured, false, [](const run_result& run) {
                       return static_cast<double>(run.preempted);
                     }).mean;
  result.retries = aggregate_over_seeds(measured, false, [](const run_result& run) {
                     return static_cast<double>(run.retries);
                   }).mean;
  return result;
}

void print_heading(std::ostream& out, const workload& source, std::size_t seeds) {
  out << "\n"
      << source.name << ", " << seeds << " seeds, percent as mean/worst seed\n"
      << std::left << std::setw(6) << "load" << std::setw(25) << "scheduler" << std::setw(13)
      << "top tier" << std::setw(13) << "other teams" << std::setw(13) << "goodput" << std::setw(13)
      << "wasted" << std::setw(13) << "guarantee" << std::setw(13) << "floor";
  for (const class_spec& spec : source.classes) {
    out << std::setw(13) << spec.policy.name;
  }
  out << "preempted retries recovery_s(after_5s)\n";
}

void print_row(std::ostream& out, const workload& source, const trial& measured,
               const summary& result) {
  out << std::left << std::setw(6) << measured.load << std::setw(25) << to_string(measured.kind)
      << std::setw(13) << percent(result.top_tier) << std::setw(13) << percent(result.other_teams)
      << std::setw(13) << percent(result.goodput) << std::setw(13) << percent(result.wasted)
      << std::setw(13) << percent(result.guaranteed) << std::setw(13) << percent(result.floor);
  for (std::size_t i = 0; i < source.classes.size(); ++i) {
    out << std::setw(13) << percent(result.attainment[i]);
  }
  out << std::setw(10) << result.preempted << std::setw(8) << result.retries;
  for (std::size_t event = 0; event < result.recovery_s.size(); ++event) {
    out << result.recovery_s[event] << "(" << std::fixed << std::setprecision(1)
        << 100 * result.after_5s[event] << ") " << std::defaultfloat << std::setprecision(6);
  }
  out << std::endl;
}

nlohmann::json to_json(const workload& source, const trial& measured, const summary& result) {
  nlohmann::json attainment;
  nlohmann::json outcomes;
  for (std::size_t i = 0; i < source.classes.size(); ++i) {
    attainment[source.classes[i].policy.name] = aggregate_json(result.attainment[i]);
    outcomes[source.classes[i].policy.name] = outcomes_json(measured, i);
  }
  return {{"workload", source.name},
          {"load", measured.load},
          {"scheduler", to_string(measured.kind)},
          {"seeds", measured.runs.size()},
          {"attainment", attainment},
          {"outcomes", outcomes},
          {"top_tier", aggregate_json(result.top_tier)},
          {"top_tier_other_teams", aggregate_json(result.other_teams)},
          {"goodput", aggregate_json(result.goodput)},
          {"offered", aggregate_json(result.offered)},
          {"wasted", aggregate_json(result.wasted)},
          {"guaranteed", aggregate_json(result.guaranteed)},
          {"floor", aggregate_json(result.floor)},
          {"recovery_s", result.recovery_s},
          {"after_5s", result.after_5s},
          {"preempted", result.preempted},
          {"retries", result.retries}};
}

nlohmann::json to_json(const decision_cost& cost) {
  return {{"teams", cost.teams},
          {"decisions", cost.decisions},
          {"queued", cost.queued},
          {"offer_p50_us", cost.offer_p50_us},
          {"offer_p99_us", cost.offer_p99_us},
          {"next_p50_us", cost.next_p50_us},
          {"next_p99_us", cost.next_p99_us},
          {"blocked_p99_us", cost.blocked_p99_us},
          {"preemption_p99_us", cost.preemption_p99_us},
          {"update_policy_ms", cost.update_policy_ms},
          {"memory_mb", cost.memory_mb}};
}

}  // namespace fuchsiaspring::bench
