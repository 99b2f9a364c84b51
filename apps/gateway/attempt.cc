#include "apps/gateway/attempt.h"

#include <algorithm>
#include <array>
#include <utility>

#include "apps/gateway/stream_relay.h"
#include "apps/gateway/stream_validator.h"

namespace fuchsiaspring::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_response_body_bytes = 16U << 20U;
constexpr std::size_t read_bytes = 16U << 10U;
constexpr std::size_t body_block_bytes = 256U << 10U;
constexpr int first_server_error = 500;
constexpr int too_many_requests = 429;

struct failure {
  std::string reason;
  std::string message;
  int status = 502;
};

failure to_failure(const base::error& error, const http::upstream_transfer& transfer,
                   const caller_request& request) {
  switch (error.code) {
    case base::error_code::failed_precondition:
      return {"grant_expired", "The grant was too old to be used.", 503};
    case base::error_code::timed_out:
      return transfer.is_sent()
                 ? failure{"upstream_timeout", "The upstream went silent.", 504}
                 : failure{"upstream_connect", "The upstream cannot be reached.", 503};
    case base::error_code::cancelled:
      return request.connection.is_closed()
                 ? failure{"caller_gone", "The caller closed the connection.", 499}
                 : failure{"preempted", "The request gave way to a higher tier.", 503};
    case base::error_code::invalid_argument:
      return {"upstream_invalid", "The upstream's answer is not HTTP.", 502};
    default:
      return transfer.is_sent()
                 ? failure{"upstream_incomplete", "The upstream broke off its answer.", 502}
                 : failure{"upstream_connect", "The upstream cannot be reached.", 503};
  }
}

attempt_failed fail_attempt(std::unique_ptr<request_record> record, const failure& cause,
                            bool sent) {
  record->clear_preemption();
  record->on_failed(cause.reason, sent);
  return {std::move(record), cause.reason, cause.message, cause.status, sent};
}

std::string join(std::vector<std::string> blocks, std::size_t total) {
  if (blocks.size() == 1) {
    return std::move(blocks.front());
  }
  std::string body;
  body.reserve(total);
  for (std::string& block : blocks) {
    body += block;
    block = {};
  }
  return body;
}

// Collects the body in blocks and joins them once it is complete: while a string of 16 MiB grows,
// it and its former copies take up to four times its size.
base::result<std::string> read_body(http::upstream_transfer& transfer) {
  std::vector<std::string> blocks;
  std::size_t total = 0;
  std::array<char, read_bytes> buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (total <= max_response_body_bytes) {
    const auto size = transfer.read(buffer);
    if (!size) {
      return size.error();
    }
    if (size.value() == 0) {
      return join(std::move(blocks), total);
    }
    if (blocks.empty() || blocks.back().size() + size.value() > body_block_bytes) {
      blocks.emplace_back();
      blocks.back().reserve(blocks.size() == 1 ? 0 : body_block_bytes);
    }
    blocks.back().append(buffer.data(), size.value());
    total += size.value();
  }
  return base::error{base::error_code::internal, "the body of the response exceeds 16 MiB"};
}

std::vector<std::string> upstream_headers(const request_record& record,
                                          const schema::Grant& grant) {
  const caller_request& request = record.request();
  std::vector<std::string> headers{"X-Request-Id: " + record.id(),
                                   "X-Priority: " + std::to_string(grant.priority())};
  if (!request.content_type.empty()) {
    headers.push_back("Content-Type: " + request.content_type);
  } else if (request.is_engine) {
    headers.emplace_back("Content-Type: application/json");
  }
  if (!request.idempotency_key.empty()) {
    headers.push_back("Idempotency-Key: " + request.idempotency_key);
  }
  return headers;
}

http::transfer_options make_options(request_record& record, const admission_granted& granted,
                                    const attempt_settings& settings,
                                    base::time_point claimed_until) {
  const caller_request& request = record.request();
  const schema::Pool& pool = *request.route.pool;
  http::transfer_options options;
  options.url = (granted.grant.tls() ? "https://" : "http://") + granted.grant.address() +
                request.upstream_target;
  options.method = request.method;
  options.headers = upstream_headers(record, granted.grant);
  options.body = request.body;
  options.connect_timeout = milliseconds(pool.connect_timeout_ms());
  options.first_byte_timeout = milliseconds(pool.first_byte_timeout_ms());
  options.idle_timeout = milliseconds(pool.idle_timeout_ms());
  options.fresh_connection = !request.idempotent;
  options.ca_file = settings.upstream_ca_file;
  options.caller = request.connection;
  // Called right before the first byte is sent. A pause of the process after this check is not
  // detected, but it can only delay the single dispatch of a claimed request, not repeat it.
  options.before_send = [&record, &granted, settings, claimed_until] {
    const auto age_ms = base::wall_clock_ms() - granted.sent_at_ms;
    const bool is_fresh =
        age_ms <= static_cast<std::uint64_t>(base::to_milliseconds(settings.grant_max_age)) &&
        base::boot_clock::now() < claimed_until;
    return is_fresh && record.on_dispatched();
  };
  return options;
}

attempt_outcome finish_buffered(std::unique_ptr<request_record> record,
                                http::upstream_transfer& transfer, int status) {
  auto body = read_body(transfer);
  if (!body) {
    const failure cause = to_failure(body.error(), transfer, record->request());
    return fail_attempt(std::move(record), cause, true);
  }
  const bool is_engine = record->request().is_engine;
  if (is_engine && !is_json_object(body.value())) {
    return fail_attempt(std::move(record),
                        {"upstream_invalid", "The upstream's answer is not JSON."}, true);
  }
  http::http_response response{status, {}, std::move(body.value())};
  const std::string type = transfer.header("content-type");
  response.headers.emplace_back("Content-Type", type.empty() ? "application/octet-stream" : type);
  response.headers.emplace_back("X-Request-Id", record->id());
  record->clear_preemption();
  record->on_finished(status);
  return attempt_response{std::move(response)};
}

// Whether a response of this type can be a stream. A response without a type is judged by its
// events alone.
bool is_event_stream(std::string_view content_type) {
  constexpr std::string_view expected = "text/event-stream";
  const std::string_view type = content_type.substr(0, content_type.find_first_of("; \t"));
  return type.empty() || std::equal(type.begin(), type.end(), expected.begin(), expected.end(),
                                    [](char c, char lower) { return (c | 0x20) == lower; });
}

attempt_outcome begin_stream(std::unique_ptr<request_record> record,
                             std::unique_ptr<http::upstream_transfer> transfer) {
  if (!is_event_stream(transfer->header("content-type"))) {
    return fail_attempt(std::move(record),
                        {"upstream_invalid", "The upstream's answer is not a stream."}, true);
  }
  const std::string id = record->id();
  auto relay = std::make_unique<stream_relay>(std::move(record), std::move(transfer));
  if (const auto failed = relay->wait_for_first_event()) {
    return fail_attempt(relay->release_record(), {failed->reason, failed->message}, true);
  }
  http::http_response response{200, {}, std::move(relay)};
  response.headers = {
      {"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", id}};
  return attempt_response{std::move(response)};
}

}  // namespace

attempt_outcome run_attempt(std::unique_ptr<request_record> record,
                            const admission_granted& granted, http::transfer_pool& pool,
                            const attempt_settings& settings, base::time_point claimed_until) {
  record->begin_attempt(granted);
  auto transfer = std::make_unique<http::upstream_transfer>(
      pool, make_options(*record, granted, settings, claimed_until));
  record->set_preemption([target = transfer.get()] { target->cancel(); });
  const auto head = transfer->wait_for_head();
  const caller_request& request = record->request();
  if (!head) {
    const bool sent = transfer->is_sent();
    return fail_attempt(std::move(record), to_failure(head.error(), *transfer, request), sent);
  }
  const std::string echoed = transfer->header("x-request-id");
  if (!echoed.empty() && echoed != record->id()) {
    return fail_attempt(std::move(record),
                        {"upstream_invalid", "The upstream answered another request."}, true);
  }
  const int status = head.value();
  const bool is_upstream_error = status >= first_server_error || status == too_many_requests;
  if (request.is_engine && is_upstream_error) {
    return fail_attempt(std::move(record), {"upstream_error", "The upstream failed.", 502}, true);
  }
  if (request.is_engine && request.stream && status == 200) {
    return begin_stream(std::move(record), std::move(transfer));
  }
  return finish_buffered(std::move(record), *transfer, status);
}

}  // namespace fuchsiaspring::gateway
