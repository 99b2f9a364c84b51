#include "catalog/field_rules.h"

#include <array>
#include <sstream>

namespace fuchsiaspring::catalog::internal {
namespace {

// Routing and shares assume that no request lasts longer than 10 min (design page, section 7).
constexpr double max_request_ms = 600'000;
constexpr double max_list_version = 9'007'199'254'740'992;  // 2^53, exact as a double

constexpr std::array rules{
    number_rule{"Tier", "rank", 0, 15, 0, "", "Priority, 0 is the highest; unique"},
    number_rule{"ServiceLevel", "first_token_ms", 1, max_request_ms, 0, "ms",
                "Target for the first token or, for services, the first byte"},
    number_rule{"ServiceLevel", "between_tokens_ms", 0, 60'000, 0, "ms",
                "Target between two tokens; 0 means none"},
    number_rule{"ServiceLevel", "attainment_per_mille", 1, 1000, 950, "per mille",
                "Share of requests that meet the targets"},
    number_rule{"ServiceLevel", "total_ms", 1, max_request_ms, max_request_ms, "ms",
                "Bound on the whole request; at least first_token_ms"},
    number_rule{"RequestClass", "floor_per_mille", 1, 300, 10, "per mille",
                "Share of dispatches that the class always gets; all classes together at most 300"},
    number_rule{"RequestClass", "max_queue", 1, 100'000, 100, "requests", "Queued requests per VM"},
    number_rule{"RequestClass", "retry_budget_per_mille", 0, 1000, 0, "per mille",
                "Retries per 1,000 requests; 0 means no retries, the only value for classes that "
                "are not idempotent"},
    number_rule{"TeamGuarantee", "requests_per_second", 0.001, 100'000, 0, "requests/s",
                "Rate guaranteed over the whole fleet"},
    number_rule{"TeamGuarantee", "burst", 1, 100'000, 1, "requests",
                "Requests that may arrive at once", "requests of one second, at least 1"},
    number_rule{"Team", "weight", 1, 1000, 1, "", "Share of the surplus relative to other teams"},
    number_rule{"Upstream", "limit", 1, 100'000, 0, "requests", "Concurrent requests when warm"},
    number_rule{"Upstream", "cold_limit", 1, 100'000, 1, "requests",
                "Concurrent requests in cold start; at most `limit`"},
    number_rule{"Pool", "connect_timeout_ms", 1, 60'000, 1000, "ms", "Longest wait to connect"},
    number_rule{"Pool", "first_byte_timeout_ms", 1, max_request_ms, 30'000, "ms",
                "Longest wait for the first byte of an answer"},
    number_rule{"Pool", "idle_timeout_ms", 1, max_request_ms, 30'000, "ms",
                "Longest silence within an answer"},
    number_rule{"Catalog", "membership_floor", 0, max_list_version, 0, "",
                "VM list version below which no VM still runs; 0 means none"},
};

}  // namespace

const number_rule* find_rule(const google::protobuf::FieldDescriptor& field) {
  for (const number_rule& rule : rules) {
    if (rule.field == field.name() && rule.message == field.containing_type()->name()) {
      return &rule;
    }
  }
  return nullptr;
}

std::string format_number(double value) {
  constexpr int digits = 16;
  std::ostringstream text;
  text.precision(digits);
  text << value;
  return text.str();
}

std::string accepted_range(const number_rule& rule) {
  std::string text = format_number(rule.min) + " to " + format_number(rule.max);
  if (!rule.unit.empty()) {
    text += " " + std::string(rule.unit);
  }
  return text;
}

std::optional<std::string> check_value(const google::protobuf::FieldDescriptor& field,
                                       const settings::scalar_value& value) {
  const number_rule* rule = find_rule(field);
  if (rule == nullptr) {
    return std::nullopt;
  }
  const auto* integer = std::get_if<std::int64_t>(&value);
  const double number =
      integer == nullptr ? std::get<double>(value) : static_cast<double>(*integer);
  if (number < rule->min || number > rule->max) {
    return format_number(number) + " is out of range, accepted: " + accepted_range(*rule);
  }
  return std::nullopt;
}

}  // namespace fuchsiaspring::catalog::internal
