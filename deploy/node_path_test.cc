// End-to-end tests of fuchsia-node: requests, configuration, and signals.
#include <sys/stat.h>

#include <algorithm>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

class node_path_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_path_test);
  CPPUNIT_TEST(request_is_forwarded_with_its_team_and_without_its_key);
  CPPUNIT_TEST(unknown_routes_and_keys_are_refused);
  CPPUNIT_TEST(requests_get_503_until_a_configuration_is_adopted);
  CPPUNIT_TEST(caller_disconnect_cancels_the_attempt);
  CPPUNIT_TEST(caller_that_shuts_down_its_sending_side_gets_its_response);
  CPPUNIT_TEST(route_timeout_gives_504);
  CPPUNIT_TEST(revoked_key_is_refused);
  CPPUNIT_TEST(keys_are_refused_after_the_lease_lapses);
  CPPUNIT_TEST(draining_replica_gets_no_new_work);
  CPPUNIT_TEST(invalid_store_entries_are_skipped);
  CPPUNIT_TEST(peer_renews_the_lease_of_a_node_without_store);
  CPPUNIT_TEST(node_reads_the_store_when_its_reader_lost_it);
  CPPUNIT_TEST(large_configuration_reaches_every_node);
  CPPUNIT_TEST(large_configuration_reaches_a_node_without_store);
  CPPUNIT_TEST(sighup_during_startup_does_not_end_the_node);
  CPPUNIT_TEST(sigterm_completes_requests_in_flight);
  CPPUNIT_TEST(sigterm_completes_a_request_that_is_still_arriving);
  CPPUNIT_TEST(requests_in_flight_are_answered_before_the_grace_period_ends);
  CPPUNIT_TEST(streams_are_broken_off_before_the_grace_period_ends);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a forged team header, a key that leaks to a replica, and a request that reaches
  // a replica other than the chosen one.
  void request_is_forwarded_with_its_team_and_without_its_key() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/safe/1?q=2"), "hi");
    expect_status(response, "200");
    CPPUNIT_ASSERT(response.find("Fuchsiaspring-Response-Signature: s") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        std::string("POST /safe/1?q=2 HTTP/1.1"),
        m_replica_requests[0].head.substr(0, m_replica_requests[0].head.find("\r\n")));
    CPPUNIT_ASSERT_EQUAL(std::string("team-1"),
                         m_replica_requests[0].header("Fuchsiaspring-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         m_replica_requests[0].header("Fuchsiaspring-Expected-Instance"));
    CPPUNIT_ASSERT(m_replica_requests[0].head.find("key-1") == std::string::npos);
    CPPUNIT_ASSERT(std::stoi(m_replica_requests[0].header("Fuchsiaspring-Request-Deadline")) <=
                   1500);
    CPPUNIT_ASSERT(readyz_response(node).starts_with("HTTP/1.1 200"));
  }

  void unknown_routes_and_keys_are_refused() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/none/1"), "}"), "404");
    expect_status(send_and_receive(node, request_bytes("/safe/1", "key-2"), "}"), "401");
    CPPUNIT_ASSERT(m_replica_requests.empty());
  }

  // Guards against a 404 for an existing route from a node that has no configuration yet.
  void requests_get_503_until_a_configuration_is_adopted() {
    node_process& node = start_node();
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_store->reads() > 1; }));
    const std::string response = send_and_receive(node, request_bytes("/none/1"), "}");
    expect_status(response, "503");
    CPPUNIT_ASSERT(response.find("Retry-After: 0.5") != std::string::npos);
    CPPUNIT_ASSERT(readyz_response(node).starts_with("HTTP/1.1 503"));
  }

  void caller_disconnect_cancels_the_attempt() {
    add_replica("i-1", [](tcp::socket&, const received_request&) {});
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, request_bytes("/once/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_replica_requests.size() == 1; }));
    caller.close();
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return m_replicas[0]->closed_connections() == 1; }, milliseconds(500)));
  }

  // Guards against the loss of the response to a request that runs at most once.
  void caller_that_shuts_down_its_sending_side_gets_its_response() {
    boost::asio::steady_timer delay(*m_io);
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      delay.expires_after(milliseconds(400));
      delay.async_wait([&s, r](const boost::system::error_code&) {
        write_all(s, replica_response(r, "200 OK", "hi"));
      });
    });
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, request_bytes("/once/1"));
    caller.shut_down_sending();
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_MESSAGE(caller.received(),
                           caller.received().find("HTTP/1.1 200") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().ends_with("hi"));
    CPPUNIT_ASSERT(caller.end() == boost::asio::error::eof);
  }

  void route_timeout_gives_504() {
    add_replica("i-1", [](tcp::socket&, const received_request&) {});
    node_process& node = start_ready_node();
    const auto start = std::chrono::steady_clock::now();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "504");
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CPPUNIT_ASSERT(elapsed > milliseconds(1400) && elapsed < milliseconds(2000));
  }

  void revoked_key_is_refused() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
    json config = make_config(2);
    config["tenants"][0]["api-keys"] = {"key-2"};
    m_store->put("op/config", config);
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return node.log().find("config_version=2") != std::string::npos; }));
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "}"), "401");
    expect_status(send_and_receive(node, request_bytes("/safe/1", "key-2"), "hi"), "200");
  }

  // Guards against a node that still accepts revoked keys after it has lost the store.
  void keys_are_refused_after_the_lease_lapses() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node(1500);
    m_store->set_silent(true);
    run_until(
        *m_io, [] { return false; }, milliseconds(1600));
    const std::string response = send_and_receive(node, request_bytes("/safe/1"), "}");
    expect_status(response, "503");
    CPPUNIT_ASSERT(response.find("configuration_outdated") != std::string::npos);
    CPPUNIT_ASSERT(readyz_response(node).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find("agent: lease_lapsed") != std::string::npos; }));
    m_store->set_silent(false);
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find("configuration_regained") != std::string::npos; }));
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
  }

  void draining_replica_gets_no_new_work() {
    const auto handler = [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    };
    add_replica("i-1", handler);
    add_replica("i-2", handler);
    node_process& node = start_ready_node();
    json entry = make_server_entry(m_replicas[0]->endpoint().port());
    entry["state"] = "draining";
    m_store->put("servers/i-1", entry);
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return node.log().find("draining=1") != std::string::npos; }));
    m_replica_requests.clear();
    for (int i = 0; i < 6; ++i) {
      expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
    }
    for (const received_request& each : m_replica_requests) {
      CPPUNIT_ASSERT_EQUAL(std::string("i-2"), each.header("Fuchsiaspring-Expected-Instance"));
    }
  }

  void invalid_store_entries_are_skipped() {
    m_store->put_bytes("servers/i-8", "\xff\x00{");
    m_store->put("servers/i-9", {{"service", 7}});
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    CPPUNIT_ASSERT(node.log().find("unreadable_entries=2") != std::string::npos);
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
  }

  // Guards against refusals at a node that cannot reach the store while its peers can.
  void peer_renews_the_lease_of_a_node_without_store() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    start_ready_node(1500);
    node_process& cut_off = start_node(1500, m_ports->next());
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return cut_off.log().find("state_adopted") != std::string::npos; }));
    run_until(
        *m_io, [] { return false; }, milliseconds(2000));
    expect_status(send_and_receive(cut_off, request_bytes("/safe/1"), "hi"), "200");
  }

  // Guards against a node that keeps an old configuration although it can reach the store, because
  // the reader node that it reads from has lost its connection to the store (hunt-5756-3 on
  // suds-router).
  void node_reads_the_store_when_its_reader_lost_it() {
    std::vector<std::unique_ptr<store_stand_in>> stores;
    for (int i = 0; i < 3; ++i) {
      stores.push_back(std::make_unique<store_stand_in>(*m_io));
      stores.back()->put("op/config", make_config(1));
      start_node(5000, stores.back()->port());
    }
    run_until(
        *m_io, [] { return false; }, milliseconds(1500));
    std::vector<int> reads_before;
    for (const auto& each : stores) {
      reads_before.push_back(each->reads());
    }
    run_until(
        *m_io, [] { return false; }, milliseconds(1000));
    std::optional<std::size_t> non_reader;
    for (std::size_t i = 0; i < stores.size(); ++i) {
      if (stores[i]->reads() - reads_before[i] <= 2) {
        CPPUNIT_ASSERT(!non_reader);
        non_reader = i;
      }
    }
    CPPUNIT_ASSERT(non_reader);
    for (std::size_t i = 0; i < stores.size(); ++i) {
      stores[i]->set_silent(i != *non_reader);
    }
    stores[*non_reader]->put("op/config", make_config(2));
    const node_process& node = *m_nodes[*non_reader];
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find("config_version=2") != std::string::npos; },
        milliseconds(1000)));
    m_nodes.clear();
  }

  // Guards against a node that keeps requesting the configuration from a reader that refuses to
  // send one of this size, instead of reading the service itself.
  void large_configuration_reaches_every_node() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    start_ready_node();
    start_node();
    start_node();
    m_store->put("op/config", make_large_config(2));
    for (const auto& node : m_nodes) {
      CPPUNIT_ASSERT(run_until(
          *m_io, [&] { return node->log().find("config_version=2") != std::string::npos; },
          seconds(2)));
      expect_status(send_and_receive(*node, request_bytes("/more-1499/1"), "hi"), "200");
    }
  }

  // Guards against a node that gets a large configuration from nowhere: its peers refer it to the
  // service, which it cannot reach.
  void large_configuration_reaches_a_node_without_store() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "hi"));
    });
    start_ready_node();
    start_node();
    start_node();
    node_process& cut_off = start_node(5000, m_ports->next());
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return cut_off.log().find("config_version=1") != std::string::npos; }));
    m_store->put("op/config", make_large_config(2));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return cut_off.log().find("config_version=2") != std::string::npos; },
        seconds(3)));
    expect_status(send_and_receive(cut_off, request_bytes("/more-1499/1"), "hi"), "200");
  }

  // Guards against a SIGHUP that ends the node before it has installed its handler, because the
  // settings changed during its start (soak seed 237).
  void sighup_during_startup_does_not_end_the_node() {
    const std::string pipe =
        (std::filesystem::temp_directory_path() / ("settings-" + std::to_string(::getpid())))
            .string();
    CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(pipe.c_str(), 0600));
    std::string program = NODE_PROGRAM;
    std::string option = "--settings";
    std::string path = pipe;
    char* arguments[] = {program.data(), option.data(), path.data(), nullptr};
    pid_t process = -1;
    CPPUNIT_ASSERT_EQUAL(
        0, ::posix_spawn(&process, NODE_PROGRAM, nullptr, nullptr, arguments, environ));
    // Opening the pipe blocks until the node opens it; the node reads nothing before the signal.
    std::ofstream settings(pipe);
    ::kill(process, SIGHUP);
    settings << "no settings\n";
    settings.close();
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(process, ::waitpid(process, &status, 0));
    std::filesystem::remove(pipe);
    CPPUNIT_ASSERT(WIFEXITED(status));
  }

  // A configuration whose routes time out after the grace period of 3 s.
  static json make_slow_config() {
    json config = make_config(1);
    for (json& route : config["routes"]) {
      route["timeout-ms"] = 6000;
    }
    return config;
  }

  // The platform kills the process at the end of its grace period.
  static void expect_end_within_grace_period(node_process& node,
                                             std::chrono::steady_clock::time_point signalled_at) {
    const auto killed_at = signalled_at + seconds(3);
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(killed_at - std::chrono::steady_clock::now());
    CPPUNIT_ASSERT_EQUAL(0, node.wait_for_end(time_left).value_or(-1));
  }

  void sigterm_completes_requests_in_flight() {
    tcp::socket* replica_socket = nullptr;
    std::optional<received_request> running_request;
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      replica_socket = &s;
      running_request = r;
    });
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, request_bytes("/once/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return running_request.has_value(); }));
    node.signal(SIGTERM);
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return readyz_response(node).starts_with("HTTP/1.1 503"); }));
    write_all(*replica_socket, replica_response(*running_request, "200 OK", "done"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.is_closed(); }));
    expect_status(caller.received(), "200");
    CPPUNIT_ASSERT(caller.received().find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(caller.received().ends_with("done"));
    CPPUNIT_ASSERT_EQUAL(0, node.wait_for_end(seconds(4)).value_or(-1));
    CPPUNIT_ASSERT(node.log().find("node: stopped requests_in_flight=0") != std::string::npos);
  }

  // Guards against a process that exits while a request is being received, since no request is in
  // flight then.
  void sigterm_completes_a_request_that_is_still_arriving() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "done"));
    });
    node_process& node = start_ready_node();
    const std::string bytes = request_bytes("/once/1");
    raw_caller& caller = send(node, bytes.substr(0, bytes.size() / 2));
    node.signal(SIGTERM);
    // The node stops accepting after half of its grace period of 3 s.
    run_until(
        *m_io, [] { return false; }, milliseconds(1800));
    caller.write(bytes.substr(bytes.size() / 2));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.is_closed(); }));
    expect_status(caller.received(), "200");
    CPPUNIT_ASSERT_EQUAL(0, node.wait_for_end(seconds(4)).value_or(-1));
  }

  // Guards against connections that close without an answer when the process stops, and against a
  // queued request that is sent to the replica which the end of another request has freed.
  void requests_in_flight_are_answered_before_the_grace_period_ends() {
    add_replica("i-1", [](tcp::socket&, const received_request&) {});
    json entry = make_server_entry(m_replicas[0]->endpoint().port());
    entry["slots"] = 1;
    m_store->put("servers/i-1", entry);
    node_process& node = start_ready_node_with(make_slow_config());
    constexpr std::size_t all_requests = 6;  // more than a replica with one slot takes
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (std::size_t i = 0; i < all_requests; ++i) {
      callers.push_back(make_caller(node));
      callers.back()->write(request_bytes("/once/" + std::to_string(i)));
    }
    run_until(
        *m_io, [] { return false; }, milliseconds(200));
    const std::size_t sent_requests = m_replica_requests.size();
    CPPUNIT_ASSERT(sent_requests > 0 && sent_requests < all_requests);
    const auto signalled_at = std::chrono::steady_clock::now();
    node.signal(SIGTERM);
    CPPUNIT_ASSERT(run_until(*m_io, [&] {
      return std::ranges::all_of(callers, [](const auto& caller) { return caller->is_closed(); });
    }));
    std::size_t possibly_run = 0;
    for (const auto& caller : callers) {
      const std::string& response = caller->received();
      CPPUNIT_ASSERT(response.find(R"("reason":"stopping")") != std::string::npos);
      if (response.find(R"("executed":"unknown")") != std::string::npos) {
        expect_status(response, "502");
        ++possibly_run;
        continue;
      }
      expect_status(response, "503");
      CPPUNIT_ASSERT(response.find(R"("executed":"no")") != std::string::npos);
      CPPUNIT_ASSERT(response.find("Retry-After: ") != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(sent_requests, possibly_run);
    expect_end_within_grace_period(node, signalled_at);
    run_until(
        *m_io, [] { return false; }, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(sent_requests, m_replica_requests.size());
    CPPUNIT_ASSERT(node.log().find("node: stopped requests_in_flight=0") != std::string::npos);
  }

  // Guards against a partial stream that looks complete. The end of the connection is the end of
  // the response for a caller of HTTP/1.0.
  void streams_are_broken_off_before_the_grace_period_ends() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, stream_response_head(r) + chunk(sse_event(1)));
    });
    node_process& node = start_ready_node_with(make_slow_config());
    const auto chunked = make_caller(node);
    chunked->write(request_bytes("/stream/1"));
    const auto unframed = make_caller(node);
    std::string unframed_request = request_bytes("/stream/2");
    unframed_request.replace(unframed_request.find("HTTP/1.1"), 8, "HTTP/1.0");
    unframed->write(unframed_request);
    CPPUNIT_ASSERT(run_until(*m_io, [&] {
      return chunked->received().ends_with(chunk(sse_event(1))) &&
             unframed->received().ends_with(sse_event(1));
    }));
    const auto signalled_at = std::chrono::steady_clock::now();
    node.signal(SIGTERM);
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return chunked->is_closed() && unframed->is_closed(); }));
    CPPUNIT_ASSERT(chunked->received().ends_with(chunk(sse_event(1))));
    CPPUNIT_ASSERT(unframed->received().ends_with(sse_event(1)));
    CPPUNIT_ASSERT(unframed->end() == boost::asio::error::connection_reset);
    expect_end_within_grace_period(node, signalled_at);
    CPPUNIT_ASSERT(node.log().find("node: stopped requests_in_flight=0") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_path_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
