// Queueing model of a pool of engine upstreams in virtual time: slots, a token time that grows with
// the batch, cold starts that fail under load, and withdrawal from service.
//
//   bench::engine_pool pool(spec, measure_from_s, measure_to_s);
//   pool.start(upstream, attempt, prompt_work, output_tokens, now);
//   pool.next_event();                       // time of the next token milestone
//   for (const bench::milestone& reached : pool.advance(now)) { ... }
//
// All requests of an upstream progress at the same rate, so their work is measured on one counter
// per upstream, and a request needs events only for its first and its last token.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "bench/workload.h"

namespace fuchsiaspring::bench {

enum class milestone_kind { first_token, finished, failed };

struct milestone {
  std::uint64_t attempt = 0;
  int upstream = 0;
  milestone_kind kind = milestone_kind::finished;
};

class engine_pool {
 public:
  engine_pool(const pool_spec& spec, double measure_from_s, double measure_to_s);

  // Starts an attempt. If it exceeds the cold limit of an upstream in cold start, all requests of
  // the upstream fail; the next advance() returns the failures.
  void start(int upstream, std::uint64_t attempt, double prompt_work, double output_tokens,
             double now);

  // Stops a running attempt without a milestone. Does nothing for an ended or unknown attempt.
  void cancel(std::uint64_t attempt, double now);

  // Fails the running requests of the upstream and begins a cold start.
  void restart(int upstream, double now);

  // Fails the running requests of the upstream.
  void abort_running(int upstream, double now);

  void set_out_of_service(int upstream, bool out) { m_upstreams[upstream].out_of_service = out; }

  // Earliest time at which advance() can return a milestone, infinity without running requests.
  double next_event() const;
  std::vector<milestone> advance(double now);

  int size() const { return static_cast<int>(m_upstreams.size()); }
  int running_requests(int upstream) const;
  bool out_of_service(int upstream) const { return m_upstreams[upstream].out_of_service; }
  const pool_spec& spec() const { return m_spec; }

  // Tokens that the running attempt has generated.
  double tokens(std::uint64_t attempt) const;

  // Work of the ended or running attempt inside the measured interval.
  double measured_work(std::uint64_t attempt) const;

 private:
  struct upstream_state {
    bool out_of_service = false;
    double cold_until = -1;
    double counter = 0;  // cumulative work for each running request
    double updated = 0;
    double counter_at_from = -1;
    double counter_at_to = -1;
    std::set<std::tuple<double, std::uint64_t, milestone_kind>> milestones;
    std::set<std::uint64_t> running;
  };
  struct attempt_state {
    int upstream = 0;
    // Values of the upstream's counter.
    double start_counter = 0;
    double first_token_counter = 0;
    double finish_counter = 0;
    double end_counter = -1;  // -1 while running
  };

  double rate(const upstream_state& upstream) const;
  void update(upstream_state& upstream, double now);
  void integrate(upstream_state& upstream, double now);
  void stop(std::uint64_t attempt, upstream_state& upstream);
  void fail_all(int upstream);

  pool_spec m_spec;
  double m_from;
  double m_to;
  std::vector<upstream_state> m_upstreams;
  std::map<std::uint64_t, attempt_state> m_attempts;
  std::vector<milestone> m_pending;
};

}  // namespace fuchsiaspring::bench
