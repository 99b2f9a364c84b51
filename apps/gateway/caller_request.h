// Checks a caller's HTTP request and finds its team, class and pool.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "apps/gateway/refusal.h"
#include "fuchsiaspring/catalog/catalog_index.h"
#include "fuchsiaspring/http/http_server.h"

namespace fuchsiaspring::gateway {

// A verified request. Pointers in `route` belong to `catalog`.
struct caller_request {
  catalog::catalog_index::pointer catalog;
  catalog::route route;
  std::string upstream_target;  // path and query at the upstream
  std::string method;
  std::string content_type;
  std::string body;
  std::string model;
  bool stream = false;
  bool is_engine = true;
  bool idempotent = true;
  std::string idempotency_key;      // empty when the caller gave none
  std::uint32_t prompt_tokens = 0;  // estimate
  std::uint32_t max_tokens = 0;     // 0: not given
  std::uint64_t prefix_hash = 0;
  http::caller_socket connection;
};

// Verifies `request` against `catalog`. The request's body is moved out.
std::variant<caller_request, refusal> parse_caller_request(
    http::http_request& request, const catalog::catalog_index::pointer& catalog);

// The team of the bearer token, or nullptr.
const schema::Team* authenticate(const http::http_request& request,
                                 const catalog::catalog_index& catalog);

}  // namespace fuchsiaspring::gateway
