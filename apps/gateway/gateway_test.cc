// Tests of the gateway through real sockets.
#include "apps/gateway/gateway_fixture.h"

namespace fuchsiaspring::gateway {
namespace {

class gateway_test : public gateway_fixture {
  CPPUNIT_TEST_SUITE(gateway_test);
  CPPUNIT_TEST(bad_input_gets_a_clear_refusal);
  CPPUNIT_TEST(request_is_refused_while_the_scheduler_is_silent);
  CPPUNIT_TEST(stream_is_relayed_whole_with_its_end_marker);
  CPPUNIT_TEST(broken_stream_does_not_look_complete);
  CPPUNIT_TEST(stream_without_end_marker_does_not_look_complete);
  CPPUNIT_TEST(garbage_and_foreign_events_are_not_relayed);
  CPPUNIT_TEST(answer_to_another_request_is_not_relayed);
  CPPUNIT_TEST(silent_stream_ends_with_an_error);
  CPPUNIT_TEST(refused_connection_is_not_executed);
  CPPUNIT_TEST(idempotent_request_is_retried_before_the_first_byte);
  CPPUNIT_TEST(sent_non_idempotent_request_is_never_repeated);
  CPPUNIT_TEST(decisions_in_swapped_order_reach_their_requests);
  CPPUNIT_TEST(late_grant_is_returned_unused);
  CPPUNIT_TEST(old_grant_is_not_dispatched);
  CPPUNIT_TEST(caller_that_leaves_cancels_the_upstream_request);
  CPPUNIT_TEST(duplicate_key_is_answered_with_the_first_state);
  CPPUNIT_TEST(claim_is_released_when_admission_is_refused);
  CPPUNIT_TEST(preempted_request_frees_the_upstream);
  CPPUNIT_TEST(vm_out_of_service_is_not_ready);
  CPPUNIT_TEST(refused_retry_tells_the_first_failure);
  CPPUNIT_TEST_SUITE_END();

 private:
  void bad_input_gets_a_clear_refusal() {
    const std::string path = "/v1/chat/completions";
    expect_refusal(call(path, chat, {}, "wrong"), 401, "unknown_team", "no");
    expect_refusal(ask("{"), 400, "invalid_json", "no");
    expect_refusal(ask("[1]"), 400, "invalid_json", "no");
    expect_refusal(ask(std::string(200, '[')), 400, "invalid_json", "no");
    expect_refusal(ask(R"({"model":5,"messages":[1]})"), 400, "invalid_request", "no");
    expect_refusal(ask(R"({"model":"m","messages":[]})"), 400, "invalid_request", "no");
    expect_refusal(ask(R"({"model":"m","messages":[1],"stream":1})"), 400, "invalid_request", "no");
    expect_refusal(ask(R"({"model":"m","messages":[1],"max_tokens":-1})"), 400, "invalid_request",
                   "no");
    expect_refusal(ask(R"({"model":"other","messages":[1]})"), 404, "unknown_model", "no");
    expect_refusal(ask(std::string(20000, 'x')), 413, "body_too_large", "no");
    expect_refusal(call(path, chat, {"X-Request-Class: none"}), 400, "unknown_class", "no");
    expect_refusal(call(path, chat, {"X-Request-Class: pay"}, "token-2"), 403, "class_not_allowed",
                   "no");
    expect_refusal(call(path, chat, {"Idempotency-Key: a\tb"}), 400, "invalid_header", "no");
    expect_refusal(call("/services/none/x", "{}"), 404, "unknown_pool", "no");
    expect_refusal(call("/other", "{}"), 404, "not_found", "no");
  }

  void request_is_refused_while_the_scheduler_is_silent() {
    m_scheduler.reset();
    wait_until([this] { return !m_client->is_scheduler_alive(); });
    expect_refusal(ask(chat), 503, "scheduler_unavailable", "no");
  }

  void stream_is_relayed_whole_with_its_end_marker() {
    const std::string done = "data: [DONE]\n\n";
    stream_from_upstream({chunk("a"), ": note\n\n" + chunk("a").substr(0, 5), chunk("a").substr(5),
                          chunk("a") + done});
    const answer given = ask(chat_stream);
    CPPUNIT_ASSERT_EQUAL(chunk("a") + ": note\n\n" + chunk("a") + chunk("a") + done, given.body);
    CPPUNIT_ASSERT(given.complete);
    wait_until([this] { return has_report(schema::ATTEMPT_PHASE_FINISHED, ""); });
  }

  void broken_stream_does_not_look_complete() {
    stream_from_upstream({chunk("a"), chunk("a")}, http::stream_state::broken);
    expect_broken_stream(ask(chat_stream), "upstream_incomplete");
  }

  void stream_without_end_marker_does_not_look_complete() {
    stream_from_upstream({chunk("a"), chunk("a")});
    expect_broken_stream(ask(chat_stream), "upstream_incomplete");
  }

  // Guards against bytes of another caller's answer.
  void garbage_and_foreign_events_are_not_relayed() {
    stream_from_upstream({chunk("a"), chunk("b"), "data: [DONE]\n\n"});
    const answer foreign = ask(chat_stream);
    expect_broken_stream(foreign, "upstream_invalid");
    CPPUNIT_ASSERT(foreign.body.find("\"b\"") == std::string::npos);
    m_upstream.reset();
    stream_from_upstream({chunk("a"), "data: \x01\x02{{\n\n", "data: [DONE]\n\n"});
    expect_broken_stream(ask(chat_stream), "upstream_invalid");
  }

  void answer_to_another_request_is_not_relayed() {
    start_upstream([](http::http_request&) {
      auto response = http::http_response::json(200, "{\"secret\":1}");
      response.headers.emplace_back("X-Request-Id", "another");
      return response;
    });
    const answer given = ask(chat);
    expect_refusal(given, 502, "upstream_invalid", "unknown");
    CPPUNIT_ASSERT(given.body.find("secret") == std::string::npos);
  }

  void silent_stream_ends_with_an_error() {
    start_upstream([this](http::http_request&) {
      return http::http_response{200,
                                 {{"Content-Type", "text/event-stream"}},
                                 std::make_unique<scripted_stream>(
                                     std::vector<std::string>{chunk("a"), chunk("a")},
                                     http::stream_state::end, m_destroyed, milliseconds(400))};
    });
    expect_broken_stream(ask(chat_stream), "upstream_timeout");
  }

  void refused_connection_is_not_executed() {
    m_granted_address = absent_address;
    expect_refusal(ask(chat), 503, "upstream_connect", "no");
    CPPUNIT_ASSERT(has_report(schema::ATTEMPT_PHASE_FAILED, "upstream_connect"));
  }

  void idempotent_request_is_retried_before_the_first_byte() {
    start_upstream([this](http::http_request&) {
      return m_upstream_calls < 3 ? http::http_response::text(500, "no")
                                  : http::http_response::json(200, "{\"ok\":1}");
    });
    const answer given = ask(chat);
    CPPUNIT_ASSERT_EQUAL(200, given.status);
    CPPUNIT_ASSERT_EQUAL(3, m_upstream_calls.load());
  }

  // Guards against a payment that runs twice after its answer was lost.
  void sent_non_idempotent_request_is_never_repeated() {
    start_upstream([](http::http_request&) {
      std::this_thread::sleep_for(milliseconds(900));
      return http::http_response::json(200, "{}");
    });
    const answer given =
        call("/services/payments/pay", "{}", {"X-Request-Class: pay", "Idempotency-Key: k1"});
    expect_refusal(given, 504, "upstream_timeout", "unknown");
    CPPUNIT_ASSERT_EQUAL(1, m_upstream_calls.load());
    wait_until([this] {
      const std::lock_guard lock(m_mutex);
      return m_finished_keys.size() == 1;
    });
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_UNKNOWN, m_finished_keys.front().state());
  }

  void decisions_in_swapped_order_reach_their_requests() {
    std::vector<schema::AdmitRequest> held;
    m_on_admit = [&](transport::messenger& link, const schema::Envelope& envelope) {
      held.push_back(envelope.admit_request());
      if (held.size() == 2) {
        send_grant(link, held[1], upstream_address);
        send_grant(link, held[0], upstream_address);
      }
    };
    start_upstream([](http::http_request& request) {
      return http::http_response::json(200, "{\"asked\":" + request.body + "}");
    });
    answer second;
    const auto body = [](int n) {
      return R"({"model":"m","messages":[)" + std::to_string(n) + "]}";
    };
    std::thread other([&] { second = ask(body(2)); });
    const answer first = ask(body(1));
    other.join();
    CPPUNIT_ASSERT_EQUAL(1, first.error()["asked"]["messages"][0].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, second.error()["asked"]["messages"][0].get<int>());
  }

  // Guards against a slot that stays occupied when a decision comes after its caller left.
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
                               .body = chat};
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
    // A grant that is too old, and one of a scheduler that was restarted since.
    for (const auto& [age_ms, of] : {std::pair{2500, incarnation}, {0, incarnation - 1}}) {
      const auto outcome = attempt(age_ms, of);
      const auto* failed = std::get_if<attempt_failed>(&outcome);
      CPPUNIT_ASSERT(failed != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::string("grant_expired"), failed->reason);
      CPPUNIT_ASSERT(!failed->sent);
    }
    CPPUNIT_ASSERT_EQUAL(0, m_upstream_calls.load());
    CPPUNIT_ASSERT(std::holds_alternative<attempt_answered>(attempt(500, incarnation)));
  }

  void caller_that_leaves_cancels_the_upstream_request() {
    stream_from_upstream(std::vector<std::string>(100000, chunk("a")));
    {
      http::upstream_transfer transfer(
          m_pool, {.url = "http://" + std::string(caller_address) + "/v1/chat/completions",
                   .method = "POST",
                   .headers = {"Authorization: Bearer token-1"},
                   .body = chat_stream,
                   .fresh_connection = true});
      CPPUNIT_ASSERT(transfer.wait_for_head());
    }
    wait_until([this] { return m_destroyed == 1; });
    wait_until([this] { return has_report(schema::ATTEMPT_PHASE_CANCELLED, "caller_gone"); });
  }

  void duplicate_key_is_answered_with_the_first_state() {
    m_claim_answer.set_granted(false);
    m_claim_answer.set_duplicate_state(schema::KEY_STATE_FINISHED);
    m_claim_answer.set_first_status(200);
    const answer given =
        call("/services/payments/pay", "{}", {"X-Request-Class: pay", "Idempotency-Key: k1"});
    expect_refusal(given, 409, "duplicate_key", "unknown");
    CPPUNIT_ASSERT_EQUAL(std::string("finished"),
                         given.error()["error"]["key_state"].get<std::string>());
  }

  // Guards against a key that stays taken although its request never ran.
  void claim_is_released_when_admission_is_refused() {
    m_on_admit = [](transport::messenger& link, const schema::Envelope& envelope) {
      schema::Envelope reply;
      auto& decision = *reply.mutable_admit_decision();
      decision.set_request_id(envelope.admit_request().request_id());
      decision.set_attempt(1);
      decision.mutable_refusal()->set_reason("queue_full");
      decision.mutable_refusal()->set_http_status(429);
      link.send(gateway_mailbox, reply);
    };
    const answer given =
        call("/services/payments/pay", "{}", {"X-Request-Class: pay", "Idempotency-Key: k1"});
    expect_refusal(given, 429, "queue_full", "no");
    wait_until([this] {
      const std::lock_guard lock(m_mutex);
      return m_finished_keys.size() == 1;
    });
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_UNSPECIFIED, m_finished_keys.front().state());
  }

  void preempted_request_frees_the_upstream() {
    stream_from_upstream(std::vector<std::string>(100000, chunk("a")));
    answer given;
    std::thread caller([&] { given = ask(chat_stream); });
    wait_until([this] { return has_report(schema::ATTEMPT_PHASE_FIRST_TOKEN, ""); });
    schema::Envelope cancel;
    {
      const std::lock_guard lock(m_mutex);
      cancel.mutable_cancel_request()->set_request_id(m_reports.front().request_id());
    }
    m_scheduler->messenger().send(gateway_mailbox, cancel);
    caller.join();
    expect_broken_stream(given, "preempted");
    wait_until([this] { return m_destroyed == 1; });
  }

  // Guards against a balancer that goes on sending callers to a VM that operators took out.
  void vm_out_of_service_is_not_ready() {
    wait_until([this] { return !m_gateway->not_ready_reason(); });
    schema::Catalog objects = catalog::parse_bundle(make_test_bundle()).value();
    objects.mutable_failure_domains(0)->set_out_of_service(true);
    auto& mark = *objects.add_vms();
    mark.set_name("vm1");
    mark.set_failure_domain("d");
    schema::Envelope update;
    *update.mutable_config_update()->mutable_bundle() = catalog::make_bundle(objects, 2);
    m_agent->messenger().send(gateway_mailbox, update);
    wait_until([this] { return m_gateway->not_ready_reason() == "out of service"; });
  }

  void refused_retry_tells_the_first_failure() {
    m_on_admit = [this](transport::messenger& link, const schema::Envelope& envelope) {
      const auto& request = envelope.admit_request();
      if (request.attempt() == 1) {
        send_grant(link, request, upstream_address);
        return;
      }
      schema::Envelope reply;
      auto& decision = *reply.mutable_admit_decision();
      decision.set_request_id(request.request_id());
      decision.set_attempt(request.attempt());
      decision.mutable_refusal()->set_reason("retry_budget");
      link.send(gateway_mailbox, reply);
    };
    start_upstream([](http::http_request&) { return http::http_response::text(500, "no"); });
    expect_refusal(ask(chat), 502, "upstream_error", "unknown");
    CPPUNIT_ASSERT_EQUAL(1, m_upstream_calls.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

}  // namespace
}  // namespace fuchsiaspring::gateway
