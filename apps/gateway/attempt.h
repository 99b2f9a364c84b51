// One attempt to serve a request at one upstream.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "apps/gateway/request_record.h"
#include "fuchsiaspring/http/http_server.h"
#include "fuchsiaspring/http/upstream_transfer.h"

namespace fuchsiaspring::gateway {

struct attempt_settings {
  base::duration grant_max_age{};
  std::string upstream_ca_file;
};

// The response for the caller: complete, or a stream whose first event has arrived. The record is
// consumed.
struct attempt_response {
  http::http_response response;
};

// Nothing has reached the caller. The record is returned for a retry or a refusal.
struct attempt_failed {
  std::unique_ptr<request_record> record;
  std::string reason;  // label of the counter
  std::string message;
  int status = 502;
  bool sent = false;  // whether a byte of the request may have reached the upstream
};

using attempt_outcome = std::variant<attempt_response, attempt_failed>;

// Sends the request to the granted upstream and waits for the first event (streams) or the complete
// response (everything else). After `claimed_until` a request with a claimed key is not sent.
attempt_outcome run_attempt(std::unique_ptr<request_record> record,
                            const admission_granted& granted, http::transfer_pool& pool,
                            const attempt_settings& settings, base::time_point claimed_until);

}  // namespace fuchsiaspring::gateway
