// Which requests a node may still send to an upstream during a planned stop.
//
//   node::response_times times;
//   times.record(route, taken);                              // at the end of each response
//   node::can_end_before(stop, {.now = now, .deadline = deadline, .expected =
//   times.expected(route)});
//
// A node that stops ends its requests some time before its grace period does. A request that it has
// passed on by then has an unknown outcome, and a stream is cut, while a refusal lets the caller go
// to another node at once.
//
// Not thread-safe; time is an argument.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::node {

// Moments of a planned stop.
struct stop_schedule {
  base::time_point accepting_until{};  // requests that come until then are served as always
  base::time_point requests_until{};   // those that have not ended by then are ended

  friend bool operator==(const stop_schedule&, const stop_schedule&) = default;
};

struct pending_request {
  base::time_point now{};
  base::time_point deadline{};             // the caller is answered by then in any case
  std::optional<base::duration> expected;  // time that it takes, if known

  friend bool operator==(const pending_request&, const pending_request&) = default;
};

// Whether the request is expected to end before the node ends it.
bool can_end_before(const stop_schedule& stop, const pending_request& request);

// How long the responses of each route have taken lately.
class response_times {
 public:
  void record(std::string_view route, base::duration taken);

  // A time within which almost all recent responses have ended; nothing before the first one.
  std::optional<base::duration> expected(std::string_view route) const;

 private:
  std::map<std::string, base::duration, std::less<>> m_expected;  // by route
};

}  // namespace fuchsiaspring::node
