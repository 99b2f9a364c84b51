#include "fuchsiaspring/telemetry/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace fuchsiaspring::telemetry {
namespace {

// Writes the message as a JSON string, so that quotes in it do not break the line.
class json_message_flag : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
              spdlog::memory_buf_t& out) override {
    const std::string text(message.payload.data(), message.payload.size());
    const std::string quoted =
        nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    out.append(quoted.data(), quoted.data() + quoted.size());
  }

  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<json_message_flag>();
  }
};

}  // namespace

std::shared_ptr<spdlog::logger> make_logger(const std::string& part,
                                            const schema::LogSettings& settings) {
  auto log =
      std::make_shared<spdlog::logger>(part, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  if (settings.format() == "json") {
    formatter->add_flag<json_message_flag>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","part":"%n","message":%*})");
  } else {
    formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %n: %v");
  }
  log->set_formatter(std::move(formatter));
  log->flush_on(spdlog::level::info);
  apply_level(*log, settings);
  return log;
}

void apply_level(spdlog::logger& log, const schema::LogSettings& settings) {
  log.set_level(settings.level().empty() ? spdlog::level::info
                                         : spdlog::level::from_str(settings.level()));
}

}  // namespace fuchsiaspring::telemetry
