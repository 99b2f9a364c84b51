#include "apps/gateway/refusal.h"

#include <nlohmann/json.hpp>

namespace fuchsiaspring::gateway {
namespace {

std::string_view error_type(int status) {
  switch (status) {
    case 401:
      return "authentication_error";
    case 403:
      return "permission_error";
    case 429:
      return "rate_limit_error";
    default:
      return status < 500 ? "invalid_request_error" : "server_error";
  }
}

}  // namespace

std::string to_json(const refusal& refused) {
  const std::string executed = refused.executed == execution::no ? "no" : "unknown";
  nlohmann::json error{{"message", refused.message}, {"type", error_type(refused.status)},
                       {"code", refused.reason},     {"param", nullptr},
                       {"executed", executed},       {"reason", refused.reason}};
  if (!refused.key_state.empty()) {
    error["key_state"] = refused.key_state;
  }
  return nlohmann::json{{"error", error}, {"executed", executed}, {"reason", refused.reason}}
      .dump();
}

http::http_response to_response(const refusal& refused, const std::string& request_id) {
  auto response = http::http_response::json(refused.status, to_json(refused) + "\n");
  response.headers.emplace_back("X-Request-Id", request_id);
  if (refused.status == 429 || refused.status == 503) {
    response.headers.emplace_back("Retry-After", std::to_string(refused.retry_after_s));
  }
  return response;
}

}  // namespace fuchsiaspring::gateway
