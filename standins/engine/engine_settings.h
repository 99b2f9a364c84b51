// Settings of the engine stand-in, and their changes at run time through POST /control.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/common/command_line.h"

namespace fuchsiaspring::standins {

struct engine_settings {
  std::string model = "model";
  std::uint64_t seed = 1;
  int slots = 8;
  int queue = 0;                 // requests that wait for a slot
  double first_token_ms = 20;    // from the start of the request in its slot
  double prompt_token_us = 0;    // added to the first-token time per prompt token
  double token_ms = 5;           // between tokens
  double output_median = 64;     // tokens
  double output_sigma = 0.6;     // deviation of the logarithm
  int longest_output = 8192;     // tokens
  double slowdown = 0;           // added share of time per further running request
  int cold_limit = 1;            // concurrent requests while cold
  int cold_for_ms = 0;           // 0: cold only while POST /control has set "cold"
  double cold_slowdown = 1;      // factor on all times while cold
  int crash_ms = 0;              // after an overload: break streams, send 500 for this time
  int report_interval_ms = 500;  // between load samples, and so the greatest age of a report
  bool report_cold = true;       // whether load reports include the cold start
  bool draining = false;         // sends 503 to new requests
  bool freeze = false;           // accepts requests and sends nothing
  bool refuse = false;           // closes the connection of each new request
  bool garbage = false;          // sends invalid bytes in place of words
  bool wrong_id = false;         // sends another request's id
  int fail_after_tokens = 0;     // breaks a response off after this many tokens; 0: never
};

// Declares the options of the command line.
void add_options(command_line& line, engine_settings& settings);

// Applies `fields` to `settings` and returns an empty string. If a field is unknown or invalid,
// changes nothing and returns its name. Skips the fields that are commands rather than settings
// ("cold", "restart", "silence_open").
std::string apply_fields(const nlohmann::json& fields, engine_settings& settings);

}  // namespace fuchsiaspring::standins
