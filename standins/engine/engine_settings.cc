#include "standins/engine/engine_settings.h"

#include <map>
#include <utility>
#include <variant>

namespace fuchsiaspring::standins {
namespace {

using field =
    std::variant<int engine_settings::*, double engine_settings::*, bool engine_settings::*>;

const std::map<std::string, field>& control_fields() {
  static const std::map<std::string, field> fields = {
      {"slots", &engine_settings::slots},
      {"queue", &engine_settings::queue},
      {"first_token_ms", &engine_settings::first_token_ms},
      {"prompt_token_us", &engine_settings::prompt_token_us},
      {"token_ms", &engine_settings::token_ms},
      {"output_median", &engine_settings::output_median},
      {"output_sigma", &engine_settings::output_sigma},
      {"slowdown", &engine_settings::slowdown},
      {"cold_limit", &engine_settings::cold_limit},
      {"cold_for_ms", &engine_settings::cold_for_ms},
      {"cold_slowdown", &engine_settings::cold_slowdown},
      {"crash_ms", &engine_settings::crash_ms},
      {"report_interval_ms", &engine_settings::report_interval_ms},
      {"report_cold", &engine_settings::report_cold},
      {"draining", &engine_settings::draining},
      {"freeze", &engine_settings::freeze},
      {"refuse", &engine_settings::refuse},
      {"garbage", &engine_settings::garbage},
      {"wrong_id", &engine_settings::wrong_id},
      {"fail_after_tokens", &engine_settings::fail_after_tokens},
  };
  return fields;
}

bool is_command(const std::string& name) {
  return name == "cold" || name == "restart" || name == "silence_open";
}

// Stores `value` in a member of `settings`. Returns false if it has the wrong type or is negative.
struct store_field {
  engine_settings& settings;
  const nlohmann::json& value;

  bool operator()(int engine_settings::*member) const {
    if (!value.is_number_integer() || value.get<int>() < 0) {
      return false;
    }
    settings.*member = value.get<int>();
    return true;
  }
  bool operator()(double engine_settings::*member) const {
    if (!value.is_number() || value.get<double>() < 0) {
      return false;
    }
    settings.*member = value.get<double>();
    return true;
  }
  bool operator()(bool engine_settings::*member) const {
    if (!value.is_boolean()) {
      return false;
    }
    settings.*member = value.get<bool>();
    return true;
  }
};

}  // namespace

void add_options(command_line& line, engine_settings& settings) {
  line.add("model", "name of the model", settings.model);
  line.add("seed", "seed of the output lengths", settings.seed);
  line.add("slots", "concurrent requests", settings.slots);
  line.add("queue", "further requests that wait for a slot, by X-Priority", settings.queue);
  line.add("first-token-ms", "time to the first token", settings.first_token_ms);
  line.add("prompt-token-us", "added to the time to the first token per prompt token",
           settings.prompt_token_us);
  line.add("token-ms", "time between tokens", settings.token_ms);
  line.add("output-median", "median of the output length in tokens", settings.output_median);
  line.add("output-sigma", "standard deviation of the logarithm of the output length",
           settings.output_sigma);
  line.add("longest-output", "longest output in tokens", settings.longest_output);
  line.add("slowdown", "added share of time per further running request", settings.slowdown);
  line.add("cold-limit", "concurrent requests while cold", settings.cold_limit);
  line.add("cold-for-ms", "length of a cold start; 0: none at the start", settings.cold_for_ms);
  line.add("cold-slowdown", "factor on all times while cold", settings.cold_slowdown);
  line.add("crash-ms", "after an overload, break all streams and send 500 for this time",
           settings.crash_ms);
  line.add("report-interval-ms", "interval of load samples", settings.report_interval_ms);
}

std::string apply_fields(const nlohmann::json& fields, engine_settings& settings) {
  engine_settings changed = settings;
  for (const auto& [name, value] : fields.items()) {
    if (is_command(name)) {
      continue;
    }
    const auto found = control_fields().find(name);
    if (found == control_fields().end() ||
        !std::visit(store_field{changed, value}, found->second)) {
      return name;
    }
  }
  settings = std::move(changed);
  return {};
}

}  // namespace fuchsiaspring::standins
