// Tests of the gateway through real sockets.
#include "apps/gateway/gateway_fixture.h"

namespace fuchsiaspring::gateway {
namespace {

class gateway_test : public gateway_fixture {
  CPPUNIT_TEST_SUITE(gateway_test);
  CPPUNIT_TEST(invalid_input_is_refused_with_its_reason);
  CPPUNIT_TEST(request_is_refused_while_the_scheduler_is_silent);
  CPPUNIT_TEST(stream_is_relayed_whole_with_its_end_marker);
  CPPUNIT_TEST(broken_stream_does_not_look_complete);
  CPPUNIT_TEST(stream_without_end_marker_does_not_look_complete);
  CPPUNIT_TEST(garbage_and_foreign_events_are_not_relayed);
  CPPUNIT_TEST(response_to_another_request_is_not_relayed);
  CPPUNIT_TEST(silent_stream_ends_with_an_error);
  CPPUNIT_TEST(refused_connection_is_not_executed);
  CPPUNIT_TEST(idempotent_request_is_retried_before_the_first_byte);
  CPPUNIT_TEST(sent_non_idempotent_request_is_never_repeated);
  CPPUNIT_TEST(decisions_in_swapped_order_reach_their_requests);
  CPPUNIT_TEST(late_grant_is_returned_unused);
  CPPUNIT_TEST(old_grant_is_not_dispatched);
  CPPUNIT_TEST(caller_that_leaves_cancels_the_upstream_request);
  CPPUNIT_TEST(duplicate_key_is_refused_with_the_state_of_the_first_request);
  CPPUNIT_TEST(claim_is_released_when_admission_is_refused);
  CPPUNIT_TEST(preempted_request_frees_the_upstream);
  CPPUNIT_TEST(vm_out_of_service_is_not_ready);
  CPPUNIT_TEST(refused_retry_reports_the_first_failure);
  CPPUNIT_TEST_SUITE_END();

 private:
  void invalid_input_is_refused_with_its_reason() {
    const std::string path = "/v1/chat/completions";
    expect_refusal(post(path, chat_body, {}, "wrong"), 401, "unknown_team", "no");
    expect_refusal(post_chat("{"), 400, "invalid_json", "no");
    expect_refusal(post_chat("[1]"), 400, "invalid_json", "no");
    expect_refusal(post_chat(std::string(200, '[')), 400, "invalid_json", "no");
    expect_refusal(post_chat(R"({"model":5,"messages":[1]})"), 400, "invalid_request", "no");
    expect_refusal(post_chat(R"({"model":"m","messages":[]})"), 400, "invalid_request", "no");
    expect_refusal(post_chat(R"({"model":"m","messages":[1],"stream":1})"), 400, "invalid_request",
                   "no");
    expect_refusal(post_chat(R"({"model":"m","messages":[1],"max_tokens":-1})"), 400,
                   "invalid_request", "no");
    expect_refusal(post_chat(R"({"model":"other","messages":[1]})"), 404, "unknown_model", "no");
    expect_refusal(post_chat(std::string(20000, 'x')), 413, "body_too_large", "no");
    expect_refusal(post(path, chat_body, {"X-Request-Class: none"}), 400, "unknown_class", "no");
    expect_refusal(post(path, chat_body, {"X-Request-Class: pay"}, "token-2"), 403,
                   "class_not_allowed", "no");
    expect_refusal(post(path, chat_body, {"Idempotency-Key: a\tb"}), 400, "invalid_header", "no");
    expect_refusal(post("/services/none/x", "{}"), 404, "unknown_pool", "no");
    expect_refusal(post("/other", "{}"), 404, "not_found", "no");
  }

  void request_is_refused_while_the_scheduler_is_silent() {
    m_scheduler.reset();
    wait_until([this] { return !m_client->is_scheduler_alive(); });
    expect_refusal(post_chat(chat_body), 503, "scheduler_unavailable", "no");
  }

  void stream_is_relayed_whole_with_its_end_marker() {
    const std::string done = "data: [DONE]\n\n";
    stream_from_upstream({stream_chunk("a"), ": note\n\n" + stream_chunk("a").substr(0, 5),
                          stream_chunk("a").substr(5), stream_chunk("a") + done});
    const received_response response = post_chat(chat_stream_body);
    CPPUNIT_ASSERT_EQUAL(
        stream_chunk("a") + ": note\n\n" + stream_chunk("a") + stream_chunk("a") + done,
        response.body);
    CPPUNIT_ASSERT(response.complete);
    wait_until([this] { return has_report(schema::ATTEMPT_PHASE_FINISHED, ""); });
  }

  void broken_stream_does_not_look_complete() {
    stream_from_upstream({stream_chunk("a"), stream_chunk("a")}, http::stream_state::broken);
    expect_broken_stream(post_chat(chat_stream_body), "upstream_incomplete");
  }

  void stream_without_end_marker_does_not_look_complete() {
    stream_from_upstream({stream_chunk("a"), stream_chunk("a")});
    expect_broken_stream(post_chat(chat_stream_body), "upstream_incomplete");
  }

  // Guards against relaying another caller's completion.
  void garbage_and_foreign_events_are_not_relayed() {
    stream_from_upstream({stream_chunk("a"), stream_chunk("b"), "data: [DONE]\n\n"});
    const received_response foreign = post_chat(chat_stream_body);
    expect_broken_stream(foreign, "upstream_invalid");
    CPPUNIT_ASSERT(foreign.body.find("\"b\"") == std::string::npos);
    m_upstream.reset();
    stream_from_upstream({stream_chunk("a"), "data: \x01\x02{{\n\n", "data: [DONE]\n\n"});
    expect_broken_stream(post_chat(chat_stream_body), "upstream_invalid");
  }

  void response_to_another_request_is_not_relayed() {
    start_upstream([](http::http_request&) {
      auto response = http::http_response::json(200, "{\"secret\":1}");
      response.headers.emplace_back("X-Request-Id", "another");
      return response;
    });
    const received_response response = post_chat(chat_body);
    expect_refusal(response, 502, "upstream_invalid", "unknown");
    CPPUNIT_ASSERT(response.body.find("secret") == std::string::npos);
  }

  void silent_stream_ends_with_an_error() {
    start_upstream([this](http::http_request&) {
      return http::http_response{
          200,
          {{"Content-Type", "text/event-stream"}},
          std::make_unique<scripted_stream>(
              std::vector<std::string>{stream_chunk("a"), stream_chunk("a")},
              http::stream_state::end, m_destroyed_streams, milliseconds(400))};
    });
    expect_broken_stream(post_chat(chat_stream_body), "upstream_timeout");
  }

  void refused_connection_is_not_executed() {
    m_granted_address = unused_address;
    expect_refusal(post_chat(chat_body), 503, "upstream_connect", "no");
    CPPUNIT_ASSERT(has_report(schema::ATTEMPT_PHASE_FAILED, "upstream_connect"));
  }

  void idempotent_request_is_retried_before_the_first_byte() {
    start_upstream([this](http::http_request&) {
      return m_upstream_calls < 3 ? http::http_response::text(500, "no")
                                  : http::http_response::json(200, "{\"ok\":1}");
    });
    const received_response response = post_chat(chat_body);
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_EQUAL(3, m_upstream_calls.load());
  }

  // Guards against a payment that runs twice after its response was lost.
  void sent_non_idempotent_request_is_never_repeated() {
    start_upstream([](http::http_request&) {
      std::this_thread::sleep_for(milliseconds(900));
      return http::http_response::json(200, "{}");
    });
    const received_response response =
        post("/services/payments/pay", "{}", {"X-Request-Class: pay", "Idempotency-Key: k1"});
    expect_refusal(response, 504, "upstream_timeout", "unknown");
    CPPUNIT_ASSERT_EQUAL(1, m_upstream_calls.load());
    wait_until([this] {
      const std::lock_guard lock(m_mutex);
      return m_finished_keys.size() == 1;
    });
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_UNKNOWN, m_finished_keys.front().state());
  }

  void decisions_in_swapped_order_reach_their_requests() {
    std::vector<schema::AdmitRequest> requests;
    m_on_admit = [&](transport::messenger& messenger, const schema::Envelope& envelope) {
      requests.push_back(envelope.admit_request());
      if (requests.size() == 2) {
        send_grant(messenger, requests[1], upstream_address);
        send_grant(messenger, requests[0], upstream_address);
      }
    };
    start_upstream([](http::http_request& request) {
      return http::http_response::json(200, "{\"asked\":" + request.body + "}");
    });
    received_response second;
    const auto body = [](int n) {
      return R"({"model":"m","messages":[)" + std::to_string(n) + "]}";
    };
    std::thread other([&] { second = post_chat(body(2)); });
    const received_response first = post_chat(body(1));
    other.join();
    CPPUNIT_ASSERT_EQUAL(1, first.error()["asked"]["messages"][0].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, second.error()["asked"]["messages"][0].get<int>());
  }

  // Guards against a slot that stays occupied when a decision arrives after its caller has
  // disconnected.
  void late_grant_is_returned_unused() {
    schema::AdmitRequest late;
    late.set_request_id("nobody");
    send_grant(m_scheduler->messenger(), late, upstream_address);
    wait_until([this] { return has_report(schema::ATTEMPT_PHASE_CANCELLED, "grant_unused"); });
  }

  // Guards against a dispatch by a process that was paused since it got its grant.
  void old_grant_is_not_dispatched() {
    start_upstream([](http::http_request&) { return http::http_response::json(200, "{}"); });
    http::http_request request{.method = "POST",
                               .target = "/v1/chat/completions",
                               .path = "/v1/chat/completions",
                               .headers = {{"authorization", "Bearer token-1"}},
                               .body = chat_body};
    auto parsed = parse_caller_request(request, m_client->catalog());
    apps::decision_log decisions;
    const std::uint64_t incarnation = m_scheduler->messenger().incarnation();
    const auto attempt = [&](std::uint64_t age_ms, std::uint64_t scheduler_incarnation) {
      admission_granted granted;
      granted.grant.set_address(upstream_address);
      granted.sent_at_ms = base::wall_clock_ms() - age_ms;
      granted.scheduler_incarnation = scheduler_incarnation;
      return run_attempt(
          std::make_unique<request_record>(request_services{*m_client, m_metrics, decisions}, "r1",
                                           std::get<caller_request>(parsed)),
          granted, m_pool, {.grant_max_age = milliseconds(2000)}, base::time_point::max());
    };
    // A grant that is too old, and one of a scheduler that has been restarted since.
    for (const auto& [age_ms, grant_incarnation] :
         {std::pair{2500, incarnation}, {0, incarnation - 1}}) {
      const auto outcome = attempt(age_ms, grant_incarnation);
      const auto* failed = std::get_if<attempt_failed>(&outcome);
      CPPUNIT_ASSERT(failed != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::string("grant_expired"), failed->reason);
      CPPUNIT_ASSERT(!failed->sent);
    }
    CPPUNIT_ASSERT_EQUAL(0, m_upstream_calls.load());
    CPPUNIT_ASSERT(std::holds_alternative<attempt_response>(attempt(500, incarnation)));
  }

  void caller_that_leaves_cancels_the_upstream_request() {
    stream_from_upstream(std::vector<std::string>(100000, stream_chunk("a")));
    {
      http::upstream_transfer transfer(
          m_pool, {.url = "http://" + std::string(caller_address) + "/v1/chat/completions",
                   .method = "POST",
                   .headers = {"Authorization: Bearer token-1"},
                   .body = chat_stream_body,
                   .fresh_connection = true});
      CPPUNIT_ASSERT(transfer.wait_for_head());
    }
    wait_until([this] { return m_destroyed_streams == 1; });
    wait_until([this] { return has_report(schema::ATTEMPT_PHASE_CANCELLED, "caller_gone"); });
  }

  void duplicate_key_is_refused_with_the_state_of_the_first_request() {
    m_claim_result.set_granted(false);
    m_claim_result.set_duplicate_state(schema::KEY_STATE_FINISHED);
    m_claim_result.set_first_status(200);
    const received_response response =
        post("/services/payments/pay", "{}", {"X-Request-Class: pay", "Idempotency-Key: k1"});
    expect_refusal(response, 409, "duplicate_key", "unknown");
    CPPUNIT_ASSERT_EQUAL(std::string("finished"),
                         response.error()["error"]["key_state"].get<std::string>());
  }

  // Guards against a key that stays taken although its request never ran.
  void claim_is_released_when_admission_is_refused() {
    m_on_admit = [](transport::messenger& messenger, const schema::Envelope& envelope) {
      schema::Envelope reply;
      auto& decision = *reply.mutable_admit_decision();
      decision.set_request_id(envelope.admit_request().request_id());
      decision.set_attempt(1);
      decision.mutable_refusal()->set_reason("queue_full");
      decision.mutable_refusal()->set_http_status(429);
      messenger.send(gateway_mailbox, reply);
    };
    const received_response response =
        post("/services/payments/pay", "{}", {"X-Request-Class: pay", "Idempotency-Key: k1"});
    expect_refusal(response, 429, "queue_full", "no");
    wait_until([this] {
      const std::lock_guard lock(m_mutex);
      return m_finished_keys.size() == 1;
    });
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_UNSPECIFIED, m_finished_keys.front().state());
  }

  void preempted_request_frees_the_upstream() {
    stream_from_upstream(std::vector<std::string>(100000, stream_chunk("a")));
    received_response response;
    std::thread caller([&] { response = post_chat(chat_stream_body); });
    wait_until([this] { return has_report(schema::ATTEMPT_PHASE_FIRST_TOKEN, ""); });
    schema::Envelope cancel;
    {
      const std::lock_guard lock(m_mutex);
      cancel.mutable_cancel_request()->set_request_id(m_reports.front().request_id());
    }
    m_scheduler->messenger().send(gateway_mailbox, cancel);
    caller.join();
    expect_broken_stream(response, "preempted");
    wait_until([this] { return m_destroyed_streams == 1; });
  }

  // Guards against a load balancer that sends callers to a VM that operators took out of service.
  void vm_out_of_service_is_not_ready() {
    wait_until([this] { return !m_gateway->not_ready_reason(); });
    schema::Catalog objects = catalog::parse_bundle(make_test_bundle()).value();
    objects.mutable_failure_domains(0)->set_out_of_service(true);
    auto& vm = *objects.add_vms();
    vm.set_name("vm1");
    vm.set_failure_domain("d");
    schema::Envelope update;
    *update.mutable_config_update()->mutable_bundle() = catalog::make_bundle(objects, 2);
    m_agent->messenger().send(gateway_mailbox, update);
    wait_until([this] { return m_gateway->not_ready_reason() == "out of service"; });
  }

  void refused_retry_reports_the_first_failure() {
    m_on_admit = [this](transport::messenger& messenger, const schema::Envelope& envelope) {
      const auto& request = envelope.admit_request();
      if (request.attempt() == 1) {
        send_grant(messenger, request, upstream_address);
        return;
      }
      schema::Envelope reply;
      auto& decision = *reply.mutable_admit_decision();
      decision.set_request_id(request.request_id());
      decision.set_attempt(request.attempt());
      decision.mutable_refusal()->set_reason("retry_budget");
      messenger.send(gateway_mailbox, reply);
    };
    start_upstream([](http::http_request&) { return http::http_response::text(500, "no"); });
    expect_refusal(post_chat(chat_body), 502, "upstream_error", "unknown");
    CPPUNIT_ASSERT_EQUAL(1, m_upstream_calls.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

}  // namespace
}  // namespace fuchsiaspring::gateway
