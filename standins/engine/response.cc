#include "standins/engine/response.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::standins {
namespace {

std::string dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string event(const nlohmann::json& value) {
  return "data: " + dump(value) + "\n\n";
}

nlohmann::json envelope(const response_plan& plan, const char* chat_object) {
  return {{"id", (plan.is_chat ? "chatcmpl-" : "cmpl-") + plan.request_id},
          {"object", plan.is_chat ? chat_object : "text_completion"},
          {"created", plan.created_s},
          {"model", plan.model}};
}

nlohmann::json usage(const response_plan& plan) {
  return {{"prompt_tokens", plan.prompt_tokens},
          {"completion_tokens", plan.tokens},
          {"total_tokens", plan.prompt_tokens + plan.tokens}};
}

const char* finish_reason(const response_plan& plan) {
  return plan.reached_token_limit ? "length" : "stop";
}

}  // namespace

std::string response_word(const response_plan& plan, std::uint32_t index) {
  return plan.request_id + "." + std::to_string(index) + "/" + std::to_string(plan.tokens) + " ";
}

std::string word_event(const response_plan& plan, std::uint32_t index) {
  auto body = envelope(plan, "chat.completion.chunk");
  nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
  const std::string word = response_word(plan, index);
  if (plan.is_chat) {
    choice["delta"] = {{"content", word}};
    if (index == 1) {
      choice["delta"]["role"] = "assistant";
    }
  } else {
    choice["text"] = word;
  }
  body["choices"] = nlohmann::json::array({choice});
  return event(body);
}

std::string closing_events(const response_plan& plan) {
  auto body = envelope(plan, "chat.completion.chunk");
  nlohmann::json choice = {{"index", 0}, {"finish_reason", finish_reason(plan)}};
  if (plan.is_chat) {
    choice["delta"] = nlohmann::json::object();
  } else {
    choice["text"] = "";
  }
  body["choices"] = nlohmann::json::array({choice});
  std::string events = event(body);
  if (plan.include_usage) {
    body["choices"] = nlohmann::json::array();
    body["usage"] = usage(plan);
    events += event(body);
  }
  return events + "data: [DONE]\n\n";
}

std::string response_body(const response_plan& plan) {
  std::string text;
  for (std::uint32_t index = 1; index <= plan.tokens; ++index) {
    text += response_word(plan, index);
  }
  auto body = envelope(plan, "chat.completion");
  nlohmann::json choice = {{"index", 0}, {"finish_reason", finish_reason(plan)}};
  if (plan.is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  body["choices"] = nlohmann::json::array({choice});
  body["usage"] = usage(plan);
  return dump(body);
}

std::uint32_t draw_output_length(std::uint64_t seed, const std::string& request_id, double median,
                                 double sigma, std::uint32_t max_length) {
  base::random_source random(base::hash64(request_id, seed));
  const double length = std::round(random.log_normal(median, sigma));
  return static_cast<std::uint32_t>(std::clamp(length, 1.0, static_cast<double>(max_length)));
}

}  // namespace fuchsiaspring::standins
