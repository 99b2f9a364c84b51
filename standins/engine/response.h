// Text and OpenAI-style JSON of the engine stand-in's responses.
//
// Word i of n of the response to request R is "R.i/n ", so that a client can verify that a response
// is complete, in order and for its own request.
#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaspring::standins {

struct response_plan {
  std::string request_id;
  std::string model;
  bool is_chat = true;
  bool include_usage = false;
  bool reached_token_limit = false;  // the response was shortened to max_tokens
  std::uint32_t prompt_tokens = 0;
  std::uint32_t tokens = 1;
  std::uint64_t created_s = 0;
};

// Word `index` (from 1) of the response.
std::string response_word(const response_plan& plan, std::uint32_t index);

// Server-sent event with word `index`.
std::string word_event(const response_plan& plan, std::uint32_t index);

// The last events of the stream: finish reason, usage if requested, and [DONE].
std::string closing_events(const response_plan& plan);

// Body of a response that is not streamed.
std::string response_body(const response_plan& plan);

// A number of output tokens drawn from a log-normal distribution. It depends only on `seed` and
// `request_id`, so it does not vary with the order of arrival.
std::uint32_t draw_output_length(std::uint64_t seed, const std::string& request_id, double median,
                                 double sigma, std::uint32_t max_length);

}  // namespace fuchsiaspring::standins
