#include "apps/gateway/caller_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/base/json_document.h"

namespace fuchsiaspring::gateway {
namespace {

using nlohmann::json;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view services_prefix = "/services/";
constexpr std::size_t max_key_characters = 255;
constexpr std::size_t max_header_characters = 1024;
// Tokens are estimated from bytes; four bytes a token fits English text.
constexpr std::size_t bytes_per_token = 4;
// Requests with the same beginning of the prompt share an engine's prefix cache.
constexpr std::size_t prefix_bytes = 1024;

refusal bad_request(std::string reason, std::string message) {
  return {.status = 400, .reason = std::move(reason), .message = std::move(message)};
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= 0x20 && c < 0x7F; });
}

// Values that are passed on to an upstream or shown to operators must not break a header line.
std::optional<refusal> check_headers(const http::http_request& request) {
  for (const char* name : {"idempotency-key", "x-request-class", "content-type"}) {
    const std::string& value = request.header(name);
    if (!is_printable(value) || value.size() > max_header_characters) {
      return bad_request("invalid_header",
                         std::string("The header ") + name + " is too long or not printable.");
    }
  }
  if (request.header("idempotency-key").size() > max_key_characters) {
    return bad_request("invalid_header", "The idempotency key has over 255 characters.");
  }
  return std::nullopt;
}

refusal route_refusal(catalog::refusal_reason reason) {
  refusal refused{.reason = std::string(catalog::to_string(reason))};
  switch (reason) {
    case catalog::refusal_reason::unknown_team:
      refused.status = 401;
      refused.message = "The bearer token belongs to no team.";
      break;
    case catalog::refusal_reason::unknown_class:
      refused.status = 400;
      refused.message = "The request class does not exist.";
      break;
    case catalog::refusal_reason::class_not_allowed:
      refused.status = 403;
      refused.message = "The team may not use this class here.";
      break;
    case catalog::refusal_reason::unknown_model:
      refused.status = 404;
      refused.message = "No pool serves this model.";
      break;
    case catalog::refusal_reason::unknown_pool:
      refused.status = 404;
      refused.message = "There is no such pool.";
      break;
  }
  return refused;
}

// Fills in the fields that the router reads from an OpenAI-style body; the body itself is passed on
// unchanged.
std::optional<refusal> read_engine_body(const json& body, bool is_chat, caller_request& parsed) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return bad_request("invalid_request", "\"model\" must be a string.");
  }
  parsed.model = model->get<std::string>();
  const char* prompt_name = is_chat ? "messages" : "prompt";
  const auto prompt = body.find(prompt_name);
  const bool valid_prompt =
      prompt != body.end() && (is_chat ? prompt->is_array() && !prompt->empty()
                                       : prompt->is_string() || prompt->is_array());
  if (!valid_prompt) {
    return bad_request("invalid_request",
                       std::string("\"") + prompt_name + "\" is missing or of the wrong type.");
  }
  if (const auto stream = body.find("stream"); stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return bad_request("invalid_request", "\"stream\" must be true or false.");
    }
    parsed.stream = stream->get<bool>();
  }
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto limit = body.find(name);
    if (limit == body.end() || limit->is_null()) {
      continue;
    }
    if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() == 0 ||
        limit->get<std::uint64_t>() > UINT32_MAX) {
      return bad_request("invalid_request",
                         std::string("\"") + name + "\" must be a positive whole number.");
    }
    parsed.max_tokens = limit->get<std::uint32_t>();
  }
  const std::string text = prompt->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  parsed.prompt_tokens = static_cast<std::uint32_t>(text.size() / bytes_per_token + 1);
  parsed.prefix_hash = base::hash64(parsed.model + text.substr(0, prefix_bytes));
  return std::nullopt;
}

std::optional<refusal> read_engine_request(const http::http_request& request,
                                           caller_request& parsed) {
  if (request.method != "POST") {
    return refusal{.status = 405, .reason = "method_not_allowed", .message = "Use POST."};
  }
  const auto body = base::parse_json_object(request.body);
  if (!body) {
    return bad_request("invalid_json", "The body is not a JSON object.");
  }
  parsed.upstream_target = request.path;
  return read_engine_body(*body, request.path == "/v1/chat/completions", parsed);
}

}  // namespace

const schema::Team* authenticate(const http::http_request& request,
                                 const catalog::catalog_index& catalog) {
  const std::string& header = request.header("authorization");
  if (!header.starts_with(bearer_prefix)) {
    return nullptr;
  }
  return catalog.team_by_token(std::string_view(header).substr(bearer_prefix.size()));
}

std::variant<caller_request, refusal> parse_caller_request(
    http::http_request& request, const catalog::catalog_index::pointer& catalog) {
  const schema::Team* team = authenticate(request, *catalog);
  if (team == nullptr) {
    return route_refusal(catalog::refusal_reason::unknown_team);
  }
  if (request.body_too_large) {
    return refusal{.status = 413, .reason = "body_too_large", .message = "The body is too large."};
  }
  if (auto refused = check_headers(request)) {
    return *refused;
  }
  caller_request parsed;
  parsed.catalog = catalog;
  parsed.method = request.method;
  parsed.is_engine = !request.path.starts_with(services_prefix);
  if (parsed.is_engine) {
    if (auto refused = read_engine_request(request, parsed)) {
      return *refused;
    }
  } else {
    const auto path_start = request.target.find('/', services_prefix.size());
    parsed.upstream_target =
        path_start == std::string::npos ? "/" : request.target.substr(path_start);
  }
  auto route =
      catalog->resolve(team, request.header("x-request-class"), parsed.model, request.path);
  if (!route) {
    return route_refusal(route.error());
  }
  parsed.route = route.value();
  parsed.idempotent = parsed.route.request_class->idempotent();
  parsed.idempotency_key = request.header("idempotency-key");
  parsed.content_type = request.header("content-type");
  parsed.connection = request.connection;
  parsed.body = std::move(request.body);
  return parsed;
}

}  // namespace fuchsiaspring::gateway
