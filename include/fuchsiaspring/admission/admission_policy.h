// Admission policy that operators configure, as plain values.
//
//   admission::policy policy;
//   policy.tiers = {{"gold", 0}, {"bronze", 1}};
//   policy.classes = {{.name = "question", .tier = "gold", .pool = "model-a",
//                      .first_token_target = std::chrono::milliseconds(1300),
//                      .floor_per_mille = 50, .max_queue = 64}};
//   policy.teams = {{.name = "t1", .guarantees = {{"question", 2.0, 1.0}}}};
//
// The scheduler derives a policy from the verified catalog. Names are unique within their list. An
// entry that refers to an unknown tier is ignored, since the catalog's verification refuses it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::admission {

// A priority level. Rank 0 is the highest.
struct tier_policy {
  std::string name;
  std::uint32_t rank = 0;

  friend bool operator==(const tier_policy&, const tier_policy&) = default;
};

// A request class. `max_queue` bounds the requests of the class that one VM queues for one pool;
// room that other classes of the pool leave unused may be borrowed.
struct class_policy {
  std::string name;
  std::string tier;
  std::string pool;                     // default pool
  base::duration first_token_target{};  // from the caller's arrival; 0 means no deadline
  std::uint32_t floor_per_mille = 0;    // share of the pool's dispatches; 0 means 1 per mille
  std::uint32_t max_queue = 0;          // requests; 0 counts as 1
  bool preemptible = false;             // running requests may be cancelled for a higher tier

  friend bool operator==(const class_policy&, const class_policy&) = default;
};

// A rate in requests/s that a team gets before other teams of the class. Both figures are already
// divided by the number of live VMs.
struct guarantee_policy {
  std::string request_class;
  double requests_per_second = 0;
  double burst = 1;  // requests; values below 1 count as 1

  friend bool operator==(const guarantee_policy&, const guarantee_policy&) = default;
};

struct team_policy {
  std::string name;
  std::uint32_t weight = 1;  // share of surplus; 0 counts as 1
  std::vector<guarantee_policy> guarantees;

  friend bool operator==(const team_policy&, const team_policy&) = default;
};

struct policy {
  std::vector<tier_policy> tiers;
  std::vector<class_policy> classes;
  std::vector<team_policy> teams;
  // A running request that has generated this many tokens or more is never preempted, which bounds
  // the work that one preemption discards. Lower and higher limits lose more capacity to floors and
  // to discarded work; see docs/decisions.md.
  std::uint32_t preemption_max_tokens = 32;

  friend bool operator==(const policy&, const policy&) = default;
};

}  // namespace fuchsiaspring::admission
