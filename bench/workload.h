// Workloads of the decision benchmark: text files that name pools, classes, teams and events, and
// the seeded arrivals that follow from them.
//
//   auto workload = bench::load_workload("bench/workloads/saturday_peak.txt");
//   std::vector<bench::arrival> arrivals = bench::generate(workload.value(), 1.2, seed);
//
// A line is a keyword, a name and key=value pairs; '#' starts a comment. Work is counted in output
// tokens; a prompt token counts as `prefill` of one.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fuchsiaspring/admission/admission_policy.h"
#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::bench {

// Identical upstreams of a pool. An upstream with b active requests gives each of them a token
// every token_ms * (1 + slowdown * (b - 1) / (slots - 1)).
struct pool_spec {
  std::string name;
  int upstreams = 1;
  int domains = 1;  // upstream i belongs to domain i % domains
  int slots = 1;
  double token_ms = 25;
  double slowdown = 1;
  double prefill = 0.005;
  int cold_limit = 1;        // in cold start, more active requests make all of them fail
  double cold_seconds = 20;  // duration of a cold start
  double cold_speed = 0.25;  // token rate in cold start, relative to warm

  double token_seconds(int active) const;
  // Work per second of one warm upstream with all slots in use.
  double upstream_capacity() const;
};

struct class_spec {
  admission::class_policy policy;
  double work_share = 0;  // of the offered work
  double prompt_median = 1;
  double prompt_sigma = 0;
  double output_median = 1;
  double output_sigma = 0;
  double total_seconds = 600;          // target for the last token
  double caller_timeout_seconds = 60;  // for the first token; the caller then cancels the request
  bool idempotent = true;
};

struct team_spec {
  admission::team_policy policy;
  double share = 0;        // of the arrivals of each class, relative to the other teams
  double fixed_rate = 0;   // requests/s that do not scale with the load
  std::string only_class;  // class of the requests at the fixed rate
};

enum class event_kind { burst, cold, domain_out };

// burst: `team` sends `factor` times its rate from `start_s` to `end_s`. cold: upstream `index` of
// `pool` restarts unannounced at `start_s`. domain_out: domain `index` of `pool` is out of service
// from `start_s` to `end_s`; requests still running after `grace_s` fail.
struct event_spec {
  event_kind kind = event_kind::burst;
  std::string team;
  std::string pool;
  int index = 0;
  double factor = 1;
  double start_s = 0;
  double end_s = 0;
  double grace_s = 3;
};

// Relative rate of arrivals at a time; linear between points.
struct profile_point {
  double time_s = 0;
  double factor = 1;
};

struct workload {
  std::string name;
  double duration_s = 180;
  double warmup_s = 60;  // arrivals and work before are not measured
  std::vector<admission::tier_policy> tiers;
  std::vector<pool_spec> pools;
  std::vector<class_spec> classes;
  std::vector<team_spec> teams;
  std::vector<event_spec> events;
  std::vector<profile_point> profile;

  admission::policy admission_policy() const;
  const pool_spec& pool(const std::string& pool_name) const;
  double capacity() const;  // work per second of all pools
};

// One request of the open-loop arrivals.
struct arrival {
  double time_s = 0;
  std::uint32_t class_index = 0;
  std::uint32_t team_index = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
};

base::result<workload> load_workload(const std::string& path);

// Arrivals in order of time at `load` times the capacity. The same arguments give the same
// arrivals.
std::vector<arrival> generate(const workload& source, double load, std::uint64_t seed);

}  // namespace fuchsiaspring::bench
