// End-to-end tests of fuchsia-node: a caller, a store and replicas on loopback sockets.
#include <cppunit/extensions/HelperMacros.h>

#include <sys/stat.h>

#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "deploy/node_process.h"
#include "deploy/server_ports.h"
#include "deploy/store_stand_in.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::deploy_test {
namespace {

using nlohmann::json;
using relay::testing::raw_caller;
using relay::testing::raw_upstream;
using relay::testing::received_request;
using relay::testing::run_until;
using relay::testing::tcp;
using relay::testing::write_all;
using relay::testing::write_endlessly;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string replica_response(const received_request& request, const std::string& status,
                             const std::string& body, const std::string& extra_headers = "") {
  return "HTTP/1.1 " + status +
         "\r\nFuchsiaspring-Attempt-Id: " + request.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_response_head(const received_request& request) {
  return "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: " +
         request.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

std::string sse_event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

json make_route(const std::string& name, const std::string& kind, const std::string& service) {
  return {
      {"name", name},    {"hostname", "h.example"},  {"prefix", "/" + name + "/"},
      {"kind", kind},    {"timeout-ms", 1500},       {"target-latency-ms", 200},
      {"priority", 1},   {"service", service},       {"max-attempts", 2},
      {"public", false}, {"session-affinity", true}, {"stream-resumption", kind == "streaming"}};
}

json make_config(int version) {
  return {{"version", version},
          {"routes",
           {make_route("safe", "safe", "app"), make_route("once", "unsafe", "app"),
            make_route("stream", "streaming", "app")}},
          {"services", {{{"name", "app"}, {"health-check-path", "/health"}}}},
          {"tenants", {{{"name", "team-1"}, {"api-keys", {"key-1"}}}}}};
}

// Larger than 64 KiB, the limit above which nodes refuse a configuration to peers that can reach
// the configuration service.
json make_large_config(int version) {
  json config = make_config(version);
  for (int i = 0; i < 1500; ++i) {
    config["routes"].push_back(make_route("more-" + std::to_string(i), "safe", "app"));
  }
  return config;
}

json make_server_entry(std::uint16_t port) {
  return {{"service", "app"}, {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", "a"},      {"slots", 6},
          {"state", "ready"}, {"cold-remaining-ms", 0},
          {"born", 1}};
}

std::string request_bytes(const std::string& path, const std::string& key = "key-1") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nFuchsiaspring-Attempt-Id: abc\r\n"
         "Authorization: Bearer " +
         key + "\r\nFuchsiaspring-Tenant: forged\r\nContent-Length: 0\r\n\r\n";
}

class node_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_path_test);
  CPPUNIT_TEST(request_is_forwarded_with_its_team_and_without_its_key);
  CPPUNIT_TEST(unknown_routes_and_keys_are_refused);
  CPPUNIT_TEST(requests_get_503_until_a_configuration_is_adopted);
  CPPUNIT_TEST(non_idempotent_request_is_not_retried_after_a_lost_response);
  CPPUNIT_TEST(rejected_request_goes_to_another_replica);
  CPPUNIT_TEST(idempotent_request_is_retried_after_a_failure);
  CPPUNIT_TEST(broken_stream_resumes_at_another_replica);
  CPPUNIT_TEST(slow_attempt_is_kept_when_no_other_replica_is_free);
  CPPUNIT_TEST(success_without_signature_becomes_502);
  CPPUNIT_TEST(endless_failure_ends_before_the_timeout);
  CPPUNIT_TEST(endless_rejection_is_retried_at_another_replica);
  CPPUNIT_TEST(endless_event_is_resumed_at_another_replica);
  CPPUNIT_TEST(failure_of_a_resumed_stream_breaks_the_response_off);
  CPPUNIT_TEST(caller_disconnect_cancels_the_attempt);
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
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = std::make_unique<boost::asio::io_context>();
    m_ports = std::make_unique<server_ports>(*m_io, base::system_seed());
    m_store = std::make_unique<store_stand_in>(*m_io);
    m_replica_requests.clear();
    m_responses.clear();
  }

  void tearDown() override {
    m_caller.reset();
    m_nodes.clear();
    m_replicas.clear();
    m_store.reset();
    m_ports.reset();
    m_io.reset();
  }

 private:
  using request_handler = std::function<void(tcp::socket&, const received_request&)>;

  void add_replica(const std::string& id, request_handler handler) {
    m_replicas.push_back(std::make_unique<raw_upstream>(
        *m_io, [this, handler](tcp::socket& socket, const received_request& request) {
          m_replica_requests.push_back(request);
          handler(socket, request);
        }));
    m_store->put("servers/" + id, make_server_entry(m_replicas.back()->endpoint().port()));
  }

  node_process& start_node(unsigned revocation_ms = 5000, std::uint16_t store_port = 0) {
    const std::size_t number = m_nodes.size() + 1;
    const std::uint16_t peers =
        m_nodes.empty() ? m_ports->next() : m_nodes.front()->ports().peer_port;
    m_nodes.push_back(std::make_unique<node_process>(
        "vm-" + std::to_string(number),
        node_process::node_ports{m_ports->next(), m_ports->next(), m_ports->next(), peers,
                                 store_port == 0 ? m_store->port() : store_port,
                                 "127.0.0." + std::to_string(number)},
        revocation_ms));
    return *m_nodes.back();
  }

  // Starts a node with make_config(1) and waits until it has adopted all replicas.
  node_process& start_ready_node(unsigned revocation_ms = 5000) {
    m_store->put("op/config", make_config(1));
    node_process& node = start_node(revocation_ms);
    CPPUNIT_ASSERT(run_until(*m_io, [&] {
      return node.log().find("replicas=" + std::to_string(m_replicas.size())) != std::string::npos;
    }));
    return node;
  }

  raw_caller& send(const node_process& node, const std::string& bytes) {
    m_caller = std::make_unique<raw_caller>(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().caller_port));
    m_caller->write(bytes);
    return *m_caller;
  }

  // Returns the bytes received until they end with `end`, the connection closes or 5 s have passed.
  std::string send_and_receive(const node_process& node, const std::string& bytes,
                               const std::string& end) {
    raw_caller& caller = send(node, bytes);
    run_until(*m_io, [&] { return caller.received().ends_with(end) || caller.is_closed(); });
    return caller.received();
  }

  static void expect_status(const std::string& response, const std::string& status) {
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, response.substr(0, 12));
  }

  std::string readyz_response(const node_process& node) {
    raw_caller caller(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().readiness_port));
    caller.write("GET /readyz HTTP/1.1\r\n\r\n");
    run_until(*m_io, [&] { return caller.received().ends_with("\n"); });
    return caller.received();
  }

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

  // Guards against a non-idempotent request, such as a charge, that is executed twice.
  void non_idempotent_request_is_not_retried_after_a_lost_response() {
    const auto close_connection = [](tcp::socket& s, const received_request&) { s.close(); };
    add_replica("i-1", close_connection);
    add_replica("i-2", close_connection);
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/once/1"), "}");
    expect_status(response, "502");
    CPPUNIT_ASSERT(response.find("\"executed\":\"unknown\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
  }

  void rejected_request_goes_to_another_replica() {
    bool is_first_attempt = true;
    const auto handler = [&](tcp::socket& s, const received_request& r) {
      write_all(s, std::exchange(is_first_attempt, false)
                       ? replica_response(r, "503 Full", "", "Fuchsiaspring-Not-Executed: 1\r\n")
                       : replica_response(r, "200 OK", "hi"));
    };
    add_replica("i-1", handler);
    add_replica("i-2", handler);
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "hi"), "200");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
  }

  void idempotent_request_is_retried_after_a_failure() {
    bool is_first_attempt = true;
    const auto handler = [&](tcp::socket& s, const received_request& r) {
      write_all(s, std::exchange(is_first_attempt, false) ? replica_response(r, "500 Error", "bad")
                                                          : replica_response(r, "200 OK", "hi"));
    };
    add_replica("i-1", handler);
    add_replica("i-2", handler);
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
  }

  // Guards against events that are lost, repeated or spliced from two replicas.
  void broken_stream_resumes_at_another_replica() {
    bool is_first_attempt = true;
    const auto handler = [&](tcp::socket& s, const received_request& r) {
      if (std::exchange(is_first_attempt, false)) {
        write_all(
            s, stream_response_head(r) + chunk(sse_event(1)) + chunk(sse_event(2) + "id: 3\nda"));
        s.close();
        return;
      }
      write_all(s,
                stream_response_head(r) + chunk(sse_event(3)) + chunk(sse_event(4)) + "0\r\n\r\n");
    };
    add_replica("i-1", handler);
    add_replica("i-2", handler);
    node_process& node = start_ready_node();
    const std::string received = send_and_receive(node, request_bytes("/stream/1"), "0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_replica_requests[1].header("Last-Event-Id"));
    for (int id = 1; id <= 4; ++id) {
      const std::size_t first = received.find(sse_event(id));
      CPPUNIT_ASSERT(first != std::string::npos);
      CPPUNIT_ASSERT(received.find("id: " + std::to_string(id), first + 1) == std::string::npos);
    }
  }

  // Guards against an attempt that is cancelled for being slow when no other replica could take the
  // request.
  void slow_attempt_is_kept_when_no_other_replica_is_free() {
    boost::asio::steady_timer delay(*m_io);
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      delay.expires_after(milliseconds(800));
      delay.async_wait([&s, r](const boost::system::error_code& cancelled) {
        if (!cancelled) {
          write_all(s, replica_response(r, "200 OK", "hi"));
        }
      });
    });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
  }

  // Guards against forwarding a success that did not come from a replica.
  using make_response = std::function<std::string(const received_request&)>;

  // Adds two replicas. The first one that gets a request responds with `status_and_headers` and a
  // body that begins with `body` and has no end, the other one with `sound_response`.
  void add_endless_and_sound_replica(const std::string& status_and_headers, const std::string& body,
                                     const make_response& sound_response) {
    const auto respond = [this, status_and_headers, body, sound_response](
                             tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() > 1) {
        write_all(s, sound_response(r));
        return;
      }
      write_all(s, "HTTP/1.1 " + status_and_headers +
                       "Fuchsiaspring-Attempt-Id: abc\r\n"
                       "Fuchsiaspring-Response-Signature: s\r\n\r\n" +
                       body);
      write_endlessly(s, std::string(16384, 'x'));
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
  }

  // The following tests guard against a replica whose body has no end: it filled the memory of the
  // node until the request's timeout, and the caller got nothing from the sound replica.
  void endless_failure_ends_before_the_timeout() {
    add_endless_and_sound_replica(
        "500 Internal Server Error\r\n", "",
        [](const received_request& r) { return replica_response(r, "200 OK", "hi"); });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "502");
  }

  void endless_rejection_is_retried_at_another_replica() {
    add_endless_and_sound_replica(
        "503 Service Unavailable\r\nFuchsiaspring-Not-Executed: 1\r\n", "",
        [](const received_request& r) { return replica_response(r, "200 OK", "hi"); });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "hi"), "200");
  }

  void endless_event_is_resumed_at_another_replica() {
    add_endless_and_sound_replica("200 OK\r\nContent-Type: text/event-stream\r\n", sse_event(1),
                                  [](const received_request& r) {
                                    return stream_response_head(r) + chunk(sse_event(2)) +
                                           "0\r\n\r\n";
                                  });
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/stream/1"), "0\r\n\r\n");
    CPPUNIT_ASSERT(response.find(sse_event(2)) != std::string::npos);
    CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(node.log().find("an event of the stream has no end") != std::string::npos);
  }

  // Guards against a response head in the middle of a stream that has begun.
  void failure_of_a_resumed_stream_breaks_the_response_off() {
    const auto respond = [this](tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() > 1) {
        write_all(s, replica_response(r, "404 Not Found", "no such stream"));
        return;
      }
      write_all(s, stream_response_head(r) + chunk(sse_event(1)));
      s.close();
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(caller.received(), std::string::npos,
                                 caller.received().find("no such stream"));
    CPPUNIT_ASSERT(!caller.received().ends_with("0\r\n\r\n"));
  }

  void success_without_signature_becomes_502() {
    add_replica("i-1", [](tcp::socket& s, const received_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "502");
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

  std::unique_ptr<boost::asio::io_context> m_io;
  std::unique_ptr<server_ports> m_ports;
  std::unique_ptr<store_stand_in> m_store;
  std::vector<std::unique_ptr<raw_upstream>> m_replicas;
  std::vector<std::unique_ptr<node_process>> m_nodes;
  std::unique_ptr<raw_caller> m_caller;
  std::vector<received_request> m_replica_requests;
  std::vector<std::string> m_responses;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_path_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
