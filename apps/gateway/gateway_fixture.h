// Fixture of the gateway tests: the gateway on real sockets, with a scheduler, an agent and an
// upstream that the tests control.
#pragma once

#include "apps/gateway/gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/text_format.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "fuchsiaspring/base/digest.h"
#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/http/http_server.h"
#include "fuchsiaspring/http/upstream_transfer.h"
#include "fuchsiaspring/telemetry/log.h"
#include "fuchsiaspring/transport/messenger.h"

namespace fuchsiaspring::gateway {
using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* gateway_mailbox = "127.0.0.1:20301";
constexpr const char* scheduler_mailbox = "127.0.0.1:20302";
constexpr const char* agent_mailbox = "127.0.0.1:20303";
constexpr const char* caller_address = "127.0.0.1:20304";
constexpr const char* upstream_address = "127.0.0.1:20305";
constexpr const char* unused_address = "127.0.0.1:20399";
constexpr const char* transport_key = "gateway-test-key-0123456789";
constexpr const char* chat_body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
constexpr const char* chat_stream_body =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";

inline schema::Bundle make_test_bundle() {
  const std::string text = R"(
    tiers { name: "top" rank: 0 }
    service_levels { name: "fast" first_token_ms: 1000 total_ms: 5000 }
    classes { name: "ask" tier: "top" service_level: "fast" pool: "engines" max_queue: 10
              idempotent: true retry_budget_per_mille: 1000 }
    classes { name: "pay" tier: "top" service_level: "fast" pool: "payments" max_queue: 10 }
    classes { name: "look" tier: "top" service_level: "fast" pool: "payments" max_queue: 10
              idempotent: true retry_budget_per_mille: 1000 }
    teams { name: "t1" default_class: "ask" classes: "ask" classes: "pay" classes: "look"
            token_sha256: "TOKEN1" }
    teams { name: "t2" default_class: "ask" classes: "ask" token_sha256: "TOKEN2" }
    pools { name: "engines" kind: POOL_KIND_ENGINE models: "m" connect_timeout_ms: 200
            first_byte_timeout_ms: 500 idle_timeout_ms: 300
            upstreams { name: "e1" address: "127.0.0.1:20305" failure_domain: "d" limit: 9 cold_limit: 9 } }
    pools { name: "payments" kind: POOL_KIND_SERVICE connect_timeout_ms: 200
            first_byte_timeout_ms: 500 idle_timeout_ms: 300
            upstreams { name: "p1" address: "127.0.0.1:20306" failure_domain: "d" limit: 9 cold_limit: 9 } }
    failure_domains { name: "d" region: "r" })";
  schema::Catalog objects;
  CPPUNIT_ASSERT(google::protobuf::TextFormat::ParseFromString(text, &objects));
  objects.mutable_teams(0)->set_token_sha256(0, base::sha256_hex("token-1"));
  objects.mutable_teams(1)->set_token_sha256(0, base::sha256_hex("token-2"));
  return catalog::make_bundle(objects, 1);
}

// Stand-in for the scheduler or the agent: passes each message to a handler of the test.
class fake_peer {
 public:
  using handler = std::function<void(transport::messenger&, const schema::Envelope&)>;

  fake_peer(const std::string& address, handler handle)
      : m_messenger(
            std::move(transport::messenger::open(
                          {.name = address, .listen_address = address, .keys = {transport_key}}))
                .value()),
        m_handle(std::move(handle)),
        m_thread([this] { run(); }) {}
  fake_peer(const fake_peer&) = delete;
  fake_peer& operator=(const fake_peer&) = delete;
  fake_peer(fake_peer&&) = delete;
  fake_peer& operator=(fake_peer&&) = delete;
  ~fake_peer() {
    m_stopping = true;
    m_thread.join();
  }

  transport::messenger& messenger() { return *m_messenger; }

 private:
  void run() {
    while (!m_stopping) {
      if (const auto envelope = m_messenger->receive(milliseconds(10))) {
        m_handle(*m_messenger, *envelope);
      }
    }
  }

  std::unique_ptr<transport::messenger> m_messenger;
  handler m_handle;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

// Sends the given parts of a body, each after a pause, then returns `ending`.
class scripted_stream : public http::body_stream {
 public:
  scripted_stream(std::vector<std::string> parts, http::stream_state ending,
                  std::atomic<int>& destroyed, milliseconds pause = milliseconds(1))
      : m_parts(std::move(parts)),
        m_ending(ending),
        m_destroyed_streams(destroyed),
        m_pause(pause) {}
  scripted_stream(const scripted_stream&) = delete;
  scripted_stream& operator=(const scripted_stream&) = delete;
  scripted_stream(scripted_stream&&) = delete;
  scripted_stream& operator=(scripted_stream&&) = delete;
  ~scripted_stream() override { ++m_destroyed_streams; }

  http::stream_read read(std::span<char> buffer) override {
    if (m_next == m_parts.size()) {
      return {m_ending, 0};
    }
    std::this_thread::sleep_for(m_pause);
    const std::string& part = m_parts[m_next++];
    std::copy(part.begin(), part.end(), buffer.begin());
    return {http::stream_state::data, part.size()};
  }

 private:
  std::vector<std::string> m_parts;
  http::stream_state m_ending;
  std::atomic<int>& m_destroyed_streams;
  milliseconds m_pause;
  std::size_t m_next = 0;
};

inline std::string stream_chunk(const std::string& id) {
  return "data: {\"id\":\"" + id + "\"}\n\n";
}

struct received_response {
  int status = 0;
  std::string body;
  bool complete = false;
  std::string request_id;

  json error() const { return json::parse(body); }
};

// Ports are fixed: one test program with this fixture runs at a time.
class gateway_fixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    m_granted_address = upstream_address;
    m_on_admit = [this](transport::messenger& messenger, const schema::Envelope& envelope) {
      send_grant(messenger, envelope.admit_request(), m_granted_address);
    };
    m_claim_result.Clear();
    m_claim_result.set_granted(true);
    m_claim_result.set_valid_ms(60000);
    schema::GatewaySettings settings;
    settings.set_vm("vm1");
    settings.set_scheduler_address(scheduler_mailbox);
    settings.set_agent_address(agent_mailbox);
    settings.set_mailbox_address(gateway_mailbox);
    settings.set_scheduler_timeout_ms(1000);
    settings.set_grant_max_age_ms(2000);
    m_messenger = std::move(transport::messenger::open({.name = "vm1/gateway",
                                                        .listen_address = gateway_mailbox,
                                                        .keys = {transport_key}}))
                      .value();
    schema::LogSettings log_settings;
    log_settings.set_level("off");
    const auto log = telemetry::make_logger("gateway", log_settings);
    m_client = std::make_unique<decision_client>(settings, *m_messenger, m_metrics, log);
    m_gateway = std::make_unique<gateway>(settings, *m_client, m_metrics, log);
    m_server = std::make_unique<http::http_server>(
        http::server_options{.listen_address = caller_address, .max_body_bytes = 10000},
        [this](http::http_request& request) { return m_gateway->handle(request); });
    CPPUNIT_ASSERT(m_server->start());
    m_receiver = std::thread([this] { m_client->run(); });
    m_agent = std::make_unique<fake_peer>(
        agent_mailbox, [this](transport::messenger& messenger, const schema::Envelope& envelope) {
          on_agent_message(messenger, envelope);
        });
    m_scheduler = std::make_unique<fake_peer>(
        scheduler_mailbox,
        [this](transport::messenger& messenger, const schema::Envelope& envelope) {
          on_scheduler_message(messenger, envelope);
        });
    wait_until([this] { return m_client->catalog() && m_client->is_scheduler_alive(); });
  }

  void tearDown() override {
    m_server->stop();
    m_client->stop();
    m_receiver.join();
    m_scheduler.reset();
    m_agent.reset();
    m_upstream.reset();
    m_server.reset();
    m_gateway.reset();
    m_client.reset();
    m_messenger.reset();
    m_reports.clear();
    m_finished_keys.clear();
    m_destroyed_streams = 0;
    m_upstream_calls = 0;
  }

 protected:
  template <typename Condition>
  static void wait_until(Condition condition) {
    for (int i = 0; i < 500 && !condition(); ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_MESSAGE("condition not reached within 5 s", condition());
  }

  void on_agent_message(transport::messenger& messenger, const schema::Envelope& envelope) {
    schema::Envelope reply;
    if (envelope.has_config_request()) {
      *reply.mutable_config_update()->mutable_bundle() = make_test_bundle();
    } else if (envelope.has_claim_key()) {
      *reply.mutable_claim_result() = m_claim_result;
      reply.mutable_claim_result()->set_attempt_id(envelope.claim_key().attempt_id());
    } else if (envelope.has_finish_key()) {
      const std::lock_guard lock(m_mutex);
      m_finished_keys.push_back(envelope.finish_key());
      return;
    } else {
      return;
    }
    messenger.send(gateway_mailbox, reply);
  }

  void on_scheduler_message(transport::messenger& messenger, const schema::Envelope& envelope) {
    if (envelope.has_heartbeat()) {
      schema::Envelope heartbeat;
      heartbeat.mutable_heartbeat()->set_serving(true);
      messenger.send(gateway_mailbox, heartbeat);
    } else if (envelope.has_admit_request()) {
      m_on_admit(messenger, envelope);
    } else if (envelope.has_attempt_report()) {
      const std::lock_guard lock(m_mutex);
      m_reports.push_back(envelope.attempt_report());
    }
  }

  static void send_grant(transport::messenger& messenger, const schema::AdmitRequest& request,
                         const std::string& address) {
    schema::Envelope reply;
    auto& decision = *reply.mutable_admit_decision();
    decision.set_request_id(request.request_id());
    decision.set_attempt(request.attempt());
    decision.mutable_grant()->set_upstream("e1");
    decision.mutable_grant()->set_address(address);
    decision.mutable_grant()->set_grant_id(std::hash<std::string>()(request.request_id()));
    messenger.send(gateway_mailbox, reply);
  }

  void start_upstream(http::http_server::handler handle) {
    m_upstream = std::make_unique<http::http_server>(
        http::server_options{.listen_address = upstream_address},
        [this, handle = std::move(handle)](http::http_request& request) {
          ++m_upstream_calls;
          return handle(request);
        });
    CPPUNIT_ASSERT(m_upstream->start());
  }

  void stream_from_upstream(std::vector<std::string> parts,
                            http::stream_state ending = http::stream_state::end) {
    start_upstream([this, parts = std::move(parts), ending](http::http_request&) {
      return http::http_response{
          200,
          {{"Content-Type", "text/event-stream"}},
          std::make_unique<scripted_stream>(parts, ending, m_destroyed_streams)};
    });
  }

  received_response post(const std::string& path, const std::string& body,
                         std::vector<std::string> headers = {},
                         const std::string& token = "token-1") {
    headers.push_back("Authorization: Bearer " + token);
    http::upstream_transfer transfer(m_pool, {.url = "http://" + std::string(caller_address) + path,
                                              .method = "POST",
                                              .headers = std::move(headers),
                                              .body = body,
                                              .fresh_connection = true});
    received_response result;
    const auto status = transfer.wait_for_head();
    CPPUNIT_ASSERT(status);
    result.status = status.value();
    result.request_id = transfer.header("x-request-id");
    std::array<char, 4096> buffer{};
    while (true) {
      const auto size = transfer.read(buffer);
      result.complete = size && size.value() == 0;
      if (!size || size.value() == 0) {
        return result;
      }
      result.body.append(buffer.data(), size.value());
    }
  }

  received_response post_chat(const std::string& body) {
    return post("/v1/chat/completions", body);
  }

  void expect_refusal(const received_response& response, int status, const std::string& reason,
                      const std::string& executed) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, status, response.status);
    CPPUNIT_ASSERT_EQUAL(reason, response.error()["reason"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(executed, response.error()["executed"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(reason, response.error()["error"]["code"].get<std::string>());
  }

  void expect_broken_stream(const received_response& response, const std::string& reason) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
    CPPUNIT_ASSERT(!response.complete);
    CPPUNIT_ASSERT(response.body.find("[DONE]") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(response.body, response.body.find(reason) != std::string::npos);
  }

  bool has_report(schema::AttemptPhase phase, const std::string& reason) {
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& report) {
      return report.phase() == phase && report.reason() == reason;
    });
  }

  telemetry::metrics m_metrics;
  http::transfer_pool m_pool;
  std::unique_ptr<transport::messenger> m_messenger;
  std::unique_ptr<decision_client> m_client;
  std::unique_ptr<gateway> m_gateway;
  std::unique_ptr<http::http_server> m_server;
  std::unique_ptr<http::http_server> m_upstream;
  std::unique_ptr<fake_peer> m_scheduler;
  std::unique_ptr<fake_peer> m_agent;
  std::thread m_receiver;
  fake_peer::handler m_on_admit;
  std::string m_granted_address;
  schema::ClaimResult m_claim_result;
  std::atomic<int> m_destroyed_streams{0};
  std::atomic<int> m_upstream_calls{0};
  std::mutex m_mutex;  // guards the two members below
  std::vector<schema::AttemptReport> m_reports;
  std::vector<schema::FinishKey> m_finished_keys;
};

}  // namespace fuchsiaspring::gateway
