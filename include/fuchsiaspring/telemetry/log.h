// Loggers whose lines carry the name of a program part.
//
//   auto log = telemetry::make_logger("gateway", settings.log());
//   log->info("Listening on {}.", address);
//
// Messages are short sentences. They never hold prompts, completions, tokens or keys. Thread-safe.
#pragma once

#include <settings.pb.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace fuchsiaspring::telemetry {

// A logger to standard error. `part` precedes the message of a text line and is the field "part" of
// a JSON line.
std::shared_ptr<spdlog::logger> make_logger(const std::string& part,
                                            const schema::LogSettings& settings);

// Sets the level of `log` to that of the settings, for example after a reload.
void apply_level(spdlog::logger& log, const schema::LogSettings& settings);

}  // namespace fuchsiaspring::telemetry
