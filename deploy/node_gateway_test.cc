// The gateway with callers and an upstream over loopback connections, where work for a request
// throws an exception or the process stops.
#include "apps/node/gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "apps/node/event_loop.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::node_app {
namespace {

using relay::testing::raw_caller;
using relay::testing::raw_upstream;
using relay::testing::received_request;
using relay::testing::run_until;

routes::configuration make_config() {
  routes::configuration config;
  config.version = 1;
  routes::route route;
  route.name = "ask";
  route.host = "a.example";
  route.prefix = "/ask/";
  route.kind = routes::request_kind::stream;
  route.timeout = std::chrono::seconds(60);
  route.latency_target = std::chrono::milliseconds(600);
  route.services = {{"model", 1}};
  config.routes = {route};
  config.services = {{.name = "model"}};
  config.teams = routes::team_list::unlisted();
  return config;
}

schema::NodeSettings make_settings() {
  schema::NodeSettings settings;
  settings.set_listen_address("127.0.0.1:0");
  settings.set_max_connections(10);
  return settings;
}

constexpr std::uint64_t first_request = 1;  // number of the first request of a gateway

class node_gateway_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_gateway_test);
  CPPUNIT_TEST(request_that_was_not_sent_ends_with_503);
  CPPUNIT_TEST(request_that_an_upstream_may_have_run_ends_with_502);
  CPPUNIT_TEST(stream_that_has_begun_is_broken_off);
  CPPUNIT_TEST(exception_at_the_dispatch_ends_with_503_and_frees_the_replica);
  CPPUNIT_TEST(requests_after_an_exception_are_answered);
  CPPUNIT_TEST(all_requests_are_answered_when_the_process_stops);
  CPPUNIT_TEST(request_that_arrives_when_the_process_stops_is_not_sent);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context m_io;
  telemetry::event_log m_log{"vm-1", {}};
  telemetry::metrics m_metrics;
  node::scheduler m_scheduler{{.vm = "vm-1", .failure_domain = "a"}, 1, base::boot_clock::now()};
  relay::channel_pool m_channels{m_io, {}};
  quarantine::part_quarantine m_prompt_quarantine{{}, "vm-1"};
  node_context m_context{.io = m_io,
                         .settings = make_settings(),
                         .log = m_log,
                         .metrics = m_metrics,
                         .scheduler = m_scheduler,
                         .channels = m_channels,
                         .prompt_quarantine = m_prompt_quarantine,
                         .lease = fleet::config_lease({})};
  gateway m_gateway{m_context};
  std::string m_response;  // of the upstream
  raw_upstream m_upstream{m_io,
                          [this](boost::asio::ip::tcp::socket& socket, const received_request&) {
                            relay::testing::write_all(socket, m_response);
                          }};

  // Adopts the configuration, with the upstream as its only replica or without replicas.
  void start(bool has_replica) {
    const base::time_point now = base::boot_clock::now();
    m_context.lease.record_proof(now);
    m_gateway.adopt(std::make_shared<const routes::route_table>(make_config()));
    std::vector<placement::replica> replicas;
    if (has_replica) {
      replicas.push_back({.id = "m1",
                          .service = "model",
                          .address = "127.0.0.1:" + std::to_string(m_upstream.endpoint().port()),
                          .failure_domain = "a",
                          .slots = 1});
    }
    m_scheduler.adopt(make_config(), replicas, {}, now);
    m_gateway.start();
  }

  static void send_request(raw_caller& caller) {
    caller.write("GET /ask/1 HTTP/1.1\r\nHost: a.example\r\n\r\n");
  }

  void throw_in_callback() {
    m_gateway.with_request(first_request,
                           [](proxied_request&) { throw std::runtime_error("unexpected"); });
  }

  bool runs_until(const std::function<bool()>& done) { return run_until(m_io, done); }

  bool has_answer(const raw_caller& caller, const std::string& status) {
    return runs_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }) &&
           caller.received().starts_with("HTTP/1.1 " + status);
  }

  void assert_counted(int failures) {
    CPPUNIT_ASSERT(m_metrics.text().find("fuchsia_handler_failures_total " +
                                         std::to_string(failures)) != std::string::npos);
  }

  // Guards against a caller that waits for an answer that never comes.
  void request_that_was_not_sent_ends_with_503() {
    start(false);
    raw_caller caller(m_io, m_gateway.local_endpoint());
    send_request(caller);
    CPPUNIT_ASSERT(runs_until([&] { return m_scheduler.waiting() == 1; }));
    throw_in_callback();
    CPPUNIT_ASSERT(has_answer(caller, "503"));
    CPPUNIT_ASSERT(caller.received().find("internal_error") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway.requests_in_flight());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_scheduler.waiting());
    assert_counted(1);
  }

  // Guards against a second run of a request that its caller takes for not executed.
  void request_that_an_upstream_may_have_run_ends_with_502() {
    start(true);
    raw_caller caller(m_io, m_gateway.local_endpoint());
    send_request(caller);
    CPPUNIT_ASSERT(runs_until([&] { return m_upstream.requests() == 1; }));
    throw_in_callback();
    CPPUNIT_ASSERT(has_answer(caller, "502"));
    CPPUNIT_ASSERT(caller.received().find("unknown") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway.requests_in_flight());
    CPPUNIT_ASSERT(m_scheduler.placer().own_load().empty());
    CPPUNIT_ASSERT(runs_until([&] { return m_upstream.closed_connections() == 1; }));
    assert_counted(1);
  }

  // Guards against a partial stream that its caller takes for complete or waits on for ever.
  void stream_that_has_begun_is_broken_off() {
    m_response =
        "HTTP/1.1 200 OK\r\nFuchsiaspring-Response-Signature: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n";
    start(true);
    raw_caller caller(m_io, m_gateway.local_endpoint());
    send_request(caller);
    CPPUNIT_ASSERT(
        runs_until([&] { return caller.received().find("data: 1") != std::string::npos; }));
    throw_in_callback();
    CPPUNIT_ASSERT(runs_until([&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT(caller.received().find("0\r\n\r\n") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway.requests_in_flight());
    assert_counted(1);
  }

  // Guards against an exception inside the result handler that leaves the request without an answer
  // and its replica loaded, also if the work that throws is part of the cleanup.
  void exception_at_the_dispatch_ends_with_503_and_frees_the_replica() {
    m_gateway.set_load_handler([](const std::string&, const placement::request_profile&, bool) {
      throw std::runtime_error("unexpected");
    });
    start(true);
    raw_caller caller(m_io, m_gateway.local_endpoint());
    send_request(caller);
    CPPUNIT_ASSERT(has_answer(caller, "503"));
    CPPUNIT_ASSERT_EQUAL(0, m_upstream.requests());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway.requests_in_flight());
    CPPUNIT_ASSERT(m_scheduler.placer().own_load().empty());
    assert_counted(2);
  }

  // Guards against a replica that counts as busy, or a queue that stops, after an exception.
  void requests_after_an_exception_are_answered() {
    m_response =
        "HTTP/1.1 200 OK\r\nFuchsiaspring-Response-Signature: s\r\n"
        "Content-Length: 9\r\n\r\ndata: 1\n\n";
    bool is_failing = true;
    m_gateway.set_load_handler([&](const std::string&, const placement::request_profile&, bool) {
      if (std::exchange(is_failing, false)) {
        throw std::runtime_error("unexpected");
      }
    });
    start(true);
    raw_caller first(m_io, m_gateway.local_endpoint());
    send_request(first);
    CPPUNIT_ASSERT(has_answer(first, "503"));
    raw_caller second(m_io, m_gateway.local_endpoint());
    send_request(second);
    CPPUNIT_ASSERT(has_answer(second, "200"));
    assert_counted(1);
  }

  // Guards against an exception in the work for one request that leaves others without an answer,
  // and against replicas that count as loaded.
  void all_requests_are_answered_when_the_process_stops() {
    bool is_stopping = false;
    m_gateway.set_load_handler([&](const std::string&, const placement::request_profile&, bool) {
      if (is_stopping) {
        throw std::runtime_error("unexpected");
      }
    });
    start(true);
    constexpr std::size_t all_requests = 6;  // more than the replica with one slot takes
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (std::size_t i = 0; i < all_requests; ++i) {
      callers.push_back(std::make_unique<raw_caller>(m_io, m_gateway.local_endpoint()));
      send_request(*callers.back());
    }
    CPPUNIT_ASSERT(runs_until([&] {
      return m_gateway.requests_in_flight() == all_requests && m_scheduler.waiting() > 0 &&
             m_upstream.requests() == static_cast<int>(all_requests - m_scheduler.waiting());
    }));
    const int sent_requests = m_upstream.requests();
    CPPUNIT_ASSERT(sent_requests > 0);
    is_stopping = true;
    m_gateway.end_requests();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway.requests_in_flight());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_scheduler.waiting());
    int possibly_run = 0;
    for (const auto& caller : callers) {
      CPPUNIT_ASSERT(has_answer(*caller, "50"));
      const bool is_502 = caller->received().starts_with("HTTP/1.1 502");
      CPPUNIT_ASSERT(is_502 || caller->received().starts_with("HTTP/1.1 503"));
      possibly_run += is_502 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(sent_requests, possibly_run);
    CPPUNIT_ASSERT(m_scheduler.placer().own_load().empty());
    CPPUNIT_ASSERT_EQUAL(sent_requests, m_upstream.requests());
  }

  // Guards against a request that is sent to a replica right before the process exits, and whose
  // caller gets no answer.
  void request_that_arrives_when_the_process_stops_is_not_sent() {
    start(true);
    raw_caller caller(m_io, m_gateway.local_endpoint());
    m_gateway.end_requests();
    send_request(caller);
    CPPUNIT_ASSERT(has_answer(caller, "503"));
    CPPUNIT_ASSERT(caller.received().find(R"("reason":"stopping")") != std::string::npos);
    CPPUNIT_ASSERT(caller.received().find(R"("executed":"no")") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway.requests_in_flight());
    CPPUNIT_ASSERT_EQUAL(0, m_upstream.requests());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_gateway_test);

}  // namespace
}  // namespace fuchsiaspring::node_app
