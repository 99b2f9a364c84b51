// Refusals: error responses of the router itself instead of an upstream's response.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "fuchsiaspring/http/http_server.h"

namespace fuchsiaspring::gateway {

// Whether the request may have been executed. `no` is given only when no byte of the request
// reached an upstream.
enum class execution { no, unknown };

struct refusal {
  int status = 503;
  std::string reason;   // label of the counter
  std::string message;  // for the caller
  execution executed = execution::no;
  std::uint32_t retry_after_s = 1;  // sent with 429 and 503
  std::string key_state;            // state of the first request, for a duplicate key

  friend auto operator<=>(const refusal&, const refusal&) = default;
};

// Every reason that this program can give, so that each has a counter from the start.
inline constexpr std::array<std::string_view, 34> all_reasons{"admission_timeout",
                                                              "body_too_large",
                                                              "caller_gone",
                                                              "class_not_allowed",

                                                              "deadline_unreachable",
                                                              "displaced",
                                                              "domain_out_of_service",
                                                              "duplicate_key",
                                                              "grant_expired",
                                                              "invalid_header",
                                                              "invalid_json",
                                                              "invalid_request",
                                                              "key_expired",

                                                              "key_time_invalid",
                                                              "key_unconfirmed",
                                                              "method_not_allowed",
                                                              "no_configuration",
                                                              "no_upstream",
                                                              "not_found",
                                                              "preempted",
                                                              "queue_full",
                                                              "retry_budget",
                                                              "scheduler_unavailable",
                                                              "unknown_class",
                                                              "unknown_model",
                                                              "unknown_pool",
                                                              "unknown_team",
                                                              "upstream_connect",
                                                              "upstream_error",
                                                              "upstream_incomplete",
                                                              "upstream_invalid",
                                                              "upstream_timeout",
                                                              "upstreams_busy",
                                                              "isolated"};

// The error object of `refused` as JSON.
std::string to_json(const refusal& refused);

// The complete response to a request whose response has not started.
http::http_response to_response(const refusal& refused, const std::string& request_id);

}  // namespace fuchsiaspring::gateway
