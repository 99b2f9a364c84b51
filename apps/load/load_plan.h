// The requests that the load generator sends, and their schedule.
//
//   load_plan plan = ...;                       // see plan_reader.h
//   std::vector<arrival> schedule = make_schedule(plan);
//
// The schedule depends only on the plan and its seed. Arrivals do not depend on earlier responses
// (open loop), so a slow system does not lower the load that it is measured under.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::load {

enum class request_kind { chat, completion, service };
enum class arrival_process { poisson, constant };

// uuid7 keys carry the time of their creation, opaque keys do not.
enum class key_kind { none, opaque, uuid7 };

// One kind of request in the mix.
struct mix_entry {
  std::string name = "default";
  request_kind kind = request_kind::chat;
  double weight = 1;  // share of the plan's rate
  double rate = 0;    // requests/s; replaces the weight when positive
  double start_s = 0;
  double end_s = 0;  // 0: end of the plan
  std::string token;
  std::string request_class;
  std::string model = "model";
  bool stream = true;
  std::uint32_t max_tokens = 0;  // 0: not given
  std::uint32_t prompt_bytes = 200;
  std::uint32_t first_token_ms = 0;  // targets; 0: none
  std::uint32_t between_tokens_ms = 0;
  std::uint32_t total_ms = 0;
  std::string method = "POST";  // of service calls
  std::string path;             // of service calls
  key_kind keys = key_kind::none;
  double duplicates = 0;                // share of keyed requests that are sent again
  std::uint32_t duplicate_lag_ms = 50;  // longest delay of the second request
};

struct load_plan {
  std::vector<std::string> targets;     // base URLs
  std::vector<std::string> ready_urls;  // readiness check of each target; empty: none
  std::vector<mix_entry> mix;
  arrival_process arrivals = arrival_process::poisson;
  double rate = 10;         // requests/s, divided by weight among the entries without a rate
  double duration_s = 5;    // of the arrivals
  std::uint64_t count = 0;  // maximum number of arrivals; 0: no bound
  std::uint64_t seed = 1;
  std::uint32_t timeout_ms = 60000;  // of one request
  std::uint32_t threads = 1;
  bool fresh_connections = false;  // one connection per request
  bool failover = false;           // tries the next target when one cannot be connected to
};

// One request to send. `offset` counts from the start of the run.
struct arrival {
  base::duration offset{};
  std::size_t entry = 0;     // index in the mix
  std::size_t target = 0;    // index in the targets
  std::uint64_t serial = 0;  // unique in the run
  std::string key;           // idempotency key, may be empty
};

// All arrivals in the order of their offsets. A duplicate goes to another target than the first
// request when there is one. Opaque keys are the same in every run with the same seed; the time in
// a uuid7 key counts from `start_wall_ms`.
std::vector<arrival> make_schedule(const load_plan& plan, std::uint64_t start_wall_ms);

}  // namespace fuchsiaspring::load
