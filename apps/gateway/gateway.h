// Handles caller requests: validates a request, requests admission and relays it to an upstream.
//
// All functions are thread-safe; handle() runs on the thread of the caller's connection.
#pragma once

#include <settings.pb.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "apps/common/daemon.h"
#include "apps/gateway/attempt.h"
#include "apps/gateway/decision_client.h"
#include "apps/gateway/request_record.h"
#include "fuchsiaspring/http/http_server.h"
#include "fuchsiaspring/telemetry/metrics.h"

namespace fuchsiaspring::gateway {

class gateway {
 public:
  gateway(const schema::GatewaySettings& settings, decision_client& client,
          telemetry::metrics& metrics, std::shared_ptr<spdlog::logger> log);

  http::http_response handle(http::http_request& request);

  // Makes the readiness check fail; requests that still arrive are served.
  void begin_drain() { m_draining = true; }

  std::optional<std::string> not_ready_reason() const;
  std::string status() const;
  const apps::decision_log& decisions() const { return m_decision_log; }

 private:
  http::http_response refuse(const std::string& id, const refusal& refused);
  http::http_response list_models(const http::http_request& request, const std::string& id);
  http::http_response serve(std::unique_ptr<request_record> record);
  http::http_response refuse(std::unique_ptr<request_record> record, const refusal& refused);
  std::optional<refusal> claim(request_record& record, base::time_point& claimed_until);
  std::string next_request_id();
  // Whether operators took this VM or its failure domain out of service.
  bool is_out_of_service() const;

  const schema::GatewaySettings m_settings;
  const attempt_settings m_attempt_settings;
  decision_client& m_client;
  telemetry::metrics& m_metrics;
  std::shared_ptr<spdlog::logger> m_logger;
  apps::decision_log m_decision_log;
  http::transfer_pool m_transfers;
  const std::uint64_t m_start_ms;
  std::atomic<std::uint64_t> m_next_id{0};
  std::atomic<bool> m_draining{false};
};

}  // namespace fuchsiaspring::gateway
