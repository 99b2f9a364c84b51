// The whole path through the real program: a caller, a store and replicas on loopback sockets.
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
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string reply(const received_request& seen, const std::string& status, const std::string& body,
                  const std::string& more = "") {
  return "HTTP/1.1 " + status +
         "\r\nFuchsiaspring-Attempt-Id: " + seen.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const received_request& seen) {
  return "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: " + seen.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

std::string event(int id) {
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

// Larger than what nodes pass on to each other while the service can be asked.
json make_large_config(int version) {
  json config = make_config(version);
  for (int i = 0; i < 1500; ++i) {
    config["routes"].push_back(make_route("more-" + std::to_string(i), "safe", "app"));
  }
  return config;
}

json make_entry(std::uint16_t port) {
  return {{"service", "app"}, {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", "a"},      {"slots", 6},
          {"state", "ready"}, {"cold-remaining-ms", 0},
          {"born", 1}};
}

std::string call(const std::string& path, const std::string& key = "key-1") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nFuchsiaspring-Attempt-Id: abc\r\n"
         "Authorization: Bearer " +
         key + "\r\nFuchsiaspring-Tenant: forged\r\nContent-Length: 0\r\n\r\n";
}

class node_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_path_test);
  CPPUNIT_TEST(request_runs_for_its_team_and_without_its_key);
  CPPUNIT_TEST(unknown_routes_and_keys_are_refused);
  CPPUNIT_TEST(nothing_is_denied_before_a_configuration_is_known);
  CPPUNIT_TEST(request_that_runs_once_is_not_repeated_after_a_lost_answer);
  CPPUNIT_TEST(rejected_request_goes_to_another_replica);
  CPPUNIT_TEST(idempotent_request_is_repeated_after_a_failure);
  CPPUNIT_TEST(broken_stream_goes_on_at_another_replica);
  CPPUNIT_TEST(slow_answer_is_awaited_when_no_other_replica_is_free);
  CPPUNIT_TEST(success_without_signature_is_no_success);
  CPPUNIT_TEST(caller_that_leaves_ends_the_work_at_the_replica);
  CPPUNIT_TEST(final_answer_comes_when_the_time_of_the_route_is_up);
  CPPUNIT_TEST(revoked_key_is_refused);
  CPPUNIT_TEST(keys_are_refused_once_the_configuration_is_not_proved);
  CPPUNIT_TEST(draining_replica_gets_no_new_work);
  CPPUNIT_TEST(entries_of_other_writers_harm_nobody);
  CPPUNIT_TEST(peer_vouches_for_a_node_that_lost_the_store);
  CPPUNIT_TEST(node_reads_for_itself_when_its_reader_lost_the_store);
  CPPUNIT_TEST(large_configuration_reaches_every_node);
  CPPUNIT_TEST(large_configuration_reaches_a_node_that_lost_the_store);
  CPPUNIT_TEST(signal_to_read_settings_does_not_end_a_node_that_starts);
  CPPUNIT_TEST(planned_stop_finishes_what_runs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = std::make_unique<boost::asio::io_context>();
    m_store = std::make_unique<store_stand_in>(*m_io);
    m_heads.clear();
    m_answers.clear();
  }

  void tearDown() override {
    m_caller.reset();
    m_nodes.clear();
    m_replicas.clear();
    m_store.reset();
    m_io.reset();
  }

 private:
  using answer_function = std::function<void(tcp::socket&, const received_request&)>;

  void add_replica(const std::string& id, answer_function answer) {
    m_replicas.push_back(std::make_unique<raw_upstream>(
        *m_io, [this, answer](tcp::socket& socket, const received_request& seen) {
          m_heads.push_back(seen);
          answer(socket, seen);
        }));
    m_store->put("servers/" + id, make_entry(m_replicas.back()->endpoint().port()));
  }

  node_process& start_node(unsigned revocation_ms = 5000, std::uint16_t store_port = 0) {
    const std::size_t number = m_nodes.size() + 1;
    const std::uint16_t peers = m_nodes.empty() ? free_port(*m_io) : m_nodes.front()->ports().peers;
    m_nodes.push_back(std::make_unique<node_process>(
        "vm-" + std::to_string(number),
        node_process::addresses{free_port(*m_io), free_port(*m_io), free_port(*m_io), peers,
                                store_port == 0 ? m_store->port() : store_port,
                                "127.0.0." + std::to_string(number)},
        revocation_ms));
    return *m_nodes.back();
  }

  // Starts a node with the usual configuration and waits until it has adopted `replicas`.
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
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().callers));
    m_caller->write(bytes);
    return *m_caller;
  }

  // Sends a call and waits for the whole answer, which ends with `end`.
  std::string ask(const node_process& node, const std::string& bytes, const std::string& end) {
    raw_caller& caller = send(node, bytes);
    run_until(*m_io, [&] { return caller.received().ends_with(end) || caller.is_closed(); });
    return caller.received();
  }

  static void expect_status(const std::string& answer, const std::string& status) {
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, answer.substr(0, 12));
  }

  std::string readiness(const node_process& node) {
    raw_caller caller(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().readiness));
    caller.write("GET /readyz HTTP/1.1\r\n\r\n");
    run_until(*m_io, [&] { return caller.received().ends_with("\n"); });
    return caller.received();
  }

  // Guards against a forged team, a key that leaks, and a request for another replica.
  void request_runs_for_its_team_and_without_its_key() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    const std::string answer = ask(node, call("/safe/1?q=2"), "hi");
    expect_status(answer, "200");
    CPPUNIT_ASSERT(answer.find("Fuchsiaspring-Response-Signature: s") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /safe/1?q=2 HTTP/1.1"),
                         m_heads[0].head.substr(0, m_heads[0].head.find("\r\n")));
    CPPUNIT_ASSERT_EQUAL(std::string("team-1"), m_heads[0].header("Fuchsiaspring-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), m_heads[0].header("Fuchsiaspring-Expected-Instance"));
    CPPUNIT_ASSERT(m_heads[0].head.find("key-1") == std::string::npos);
    CPPUNIT_ASSERT(std::stoi(m_heads[0].header("Fuchsiaspring-Request-Deadline")) <= 1500);
    CPPUNIT_ASSERT(readiness(node).starts_with("HTTP/1.1 200"));
  }

  void unknown_routes_and_keys_are_refused() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    expect_status(ask(node, call("/none/1"), "}"), "404");
    expect_status(ask(node, call("/safe/1", "key-2"), "}"), "401");
    CPPUNIT_ASSERT(m_heads.empty());
  }

  // Guards against a fresh process that tells callers their route does not exist.
  void nothing_is_denied_before_a_configuration_is_known() {
    node_process& node = start_node();
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_store->reads() > 1; }));
    const std::string answer = ask(node, call("/none/1"), "}");
    expect_status(answer, "503");
    CPPUNIT_ASSERT(answer.find("Retry-After: 0.5") != std::string::npos);
    CPPUNIT_ASSERT(readiness(node).starts_with("HTTP/1.1 503"));
  }

  // Guards against a charge that lands twice.
  void request_that_runs_once_is_not_repeated_after_a_lost_answer() {
    const auto lose = [](tcp::socket& s, const received_request&) { s.close(); };
    add_replica("i-1", lose);
    add_replica("i-2", lose);
    node_process& node = start_ready_node();
    const std::string answer = ask(node, call("/once/1"), "}");
    expect_status(answer, "502");
    CPPUNIT_ASSERT(answer.find("\"executed\":\"unknown\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_heads.size());
  }

  void rejected_request_goes_to_another_replica() {
    bool is_first = true;
    const auto answer = [&](tcp::socket& s, const received_request& r) {
      write_all(s, std::exchange(is_first, false)
                       ? reply(r, "503 Full", "", "Fuchsiaspring-Not-Executed: 1\r\n")
                       : reply(r, "200 OK", "hi"));
    };
    add_replica("i-1", answer);
    add_replica("i-2", answer);
    node_process& node = start_ready_node();
    expect_status(ask(node, call("/once/1"), "hi"), "200");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_heads.size());
  }

  void idempotent_request_is_repeated_after_a_failure() {
    bool is_first = true;
    const auto answer = [&](tcp::socket& s, const received_request& r) {
      write_all(s, std::exchange(is_first, false) ? reply(r, "500 Error", "bad")
                                                  : reply(r, "200 OK", "hi"));
    };
    add_replica("i-1", answer);
    add_replica("i-2", answer);
    node_process& node = start_ready_node();
    expect_status(ask(node, call("/safe/1"), "hi"), "200");
  }

  // Guards against events that are lost, repeated or joined in the middle.
  void broken_stream_goes_on_at_another_replica() {
    bool is_first = true;
    const auto answer = [&](tcp::socket& s, const received_request& r) {
      if (std::exchange(is_first, false)) {
        write_all(s, stream_head(r) + chunk(event(1)) + chunk(event(2) + "id: 3\nda"));
        s.close();
        return;
      }
      write_all(s, stream_head(r) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    };
    add_replica("i-1", answer);
    add_replica("i-2", answer);
    node_process& node = start_ready_node();
    const std::string got = ask(node, call("/stream/1"), "0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_heads[1].header("Last-Event-Id"));
    for (int id = 1; id <= 4; ++id) {
      const std::size_t first = got.find(event(id));
      CPPUNIT_ASSERT(first != std::string::npos);
      CPPUNIT_ASSERT(got.find("id: " + std::to_string(id), first + 1) == std::string::npos);
    }
  }

  // Guards against work that is given up late though nobody else can take it.
  void slow_answer_is_awaited_when_no_other_replica_is_free() {
    boost::asio::steady_timer delay(*m_io);
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      delay.expires_after(milliseconds(800));
      delay.async_wait([&s, r](const boost::system::error_code& cancelled) {
        if (!cancelled) {
          write_all(s, reply(r, "200 OK", "hi"));
        }
      });
    });
    node_process& node = start_ready_node();
    expect_status(ask(node, call("/safe/1"), "hi"), "200");
  }

  // Guards against bytes that no replica vouches for.
  void success_without_signature_is_no_success() {
    add_replica("i-1", [](tcp::socket& s, const received_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    });
    node_process& node = start_ready_node();
    expect_status(ask(node, call("/once/1"), "}"), "502");
  }

  void caller_that_leaves_ends_the_work_at_the_replica() {
    add_replica("i-1", [](tcp::socket&, const received_request&) {});
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, call("/once/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_heads.size() == 1; }));
    caller.close();
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return m_replicas[0]->closed() == 1; }, milliseconds(500)));
  }

  void final_answer_comes_when_the_time_of_the_route_is_up() {
    add_replica("i-1", [](tcp::socket&, const received_request&) {});
    node_process& node = start_ready_node();
    const auto start = std::chrono::steady_clock::now();
    expect_status(ask(node, call("/once/1"), "}"), "504");
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CPPUNIT_ASSERT(elapsed > milliseconds(1400) && elapsed < milliseconds(2000));
  }

  void revoked_key_is_refused() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    expect_status(ask(node, call("/safe/1"), "hi"), "200");
    json config = make_config(2);
    config["tenants"][0]["api-keys"] = {"key-2"};
    m_store->put("op/config", config);
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return node.log().find("config_version=2") != std::string::npos; }));
    expect_status(ask(node, call("/safe/1"), "}"), "401");
    expect_status(ask(node, call("/safe/1", "key-2"), "hi"), "200");
  }

  // Guards against a node that is cut off and goes on accepting revoked keys.
  void keys_are_refused_once_the_configuration_is_not_proved() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node(1500);
    m_store->set_silent(true);
    run_until(
        *m_io, [] { return false; }, milliseconds(1600));
    const std::string answer = ask(node, call("/safe/1"), "}");
    expect_status(answer, "503");
    CPPUNIT_ASSERT(answer.find("configuration_outdated") != std::string::npos);
    CPPUNIT_ASSERT(readiness(node).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find("agent: lease_lapsed") != std::string::npos; }));
    m_store->set_silent(false);
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find("configuration_regained") != std::string::npos; }));
    expect_status(ask(node, call("/safe/1"), "hi"), "200");
  }

  void draining_replica_gets_no_new_work() {
    const auto answer = [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    };
    add_replica("i-1", answer);
    add_replica("i-2", answer);
    node_process& node = start_ready_node();
    json entry = make_entry(m_replicas[0]->endpoint().port());
    entry["state"] = "draining";
    m_store->put("servers/i-1", entry);
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return node.log().find("draining=1") != std::string::npos; }));
    m_heads.clear();
    for (int i = 0; i < 6; ++i) {
      expect_status(ask(node, call("/safe/1"), "hi"), "200");
    }
    for (const received_request& each : m_heads) {
      CPPUNIT_ASSERT_EQUAL(std::string("i-2"), each.header("Fuchsiaspring-Expected-Instance"));
    }
  }

  void entries_of_other_writers_harm_nobody() {
    m_store->put_bytes("servers/i-8", "\xff\x00{");
    m_store->put("servers/i-9", {{"service", 7}});
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    CPPUNIT_ASSERT(node.log().find("unreadable_entries=2") != std::string::npos);
    expect_status(ask(node, call("/safe/1"), "hi"), "200");
  }

  // Guards against refusals at a node whose own way to the store is lost.
  void peer_vouches_for_a_node_that_lost_the_store() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    start_ready_node(1500);
    node_process& cut_off = start_node(1500, free_port(*m_io));
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return cut_off.log().find("state_adopted") != std::string::npos; }));
    run_until(
        *m_io, [] { return false; }, milliseconds(2000));
    expect_status(ask(cut_off, call("/safe/1"), "hi"), "200");
  }

  // Guards against a node in touch with the store that stays on an old configuration because the
  // node that it asks is cut off (hunt-5756-3 on suds-router).
  void node_reads_for_itself_when_its_reader_lost_the_store() {
    std::vector<std::unique_ptr<store_stand_in>> stores;
    for (int i = 0; i < 3; ++i) {
      stores.push_back(std::make_unique<store_stand_in>(*m_io));
      stores.back()->put("op/config", make_config(1));
      start_node(5000, stores.back()->port());
    }
    run_until(
        *m_io, [] { return false; }, milliseconds(1500));
    std::vector<int> before;
    for (const auto& each : stores) {
      before.push_back(each->reads());
    }
    run_until(
        *m_io, [] { return false; }, milliseconds(1000));
    std::optional<std::size_t> asking;
    for (std::size_t i = 0; i < stores.size(); ++i) {
      if (stores[i]->reads() - before[i] <= 2) {
        CPPUNIT_ASSERT(!asking);
        asking = i;
      }
    }
    CPPUNIT_ASSERT(asking);
    for (std::size_t i = 0; i < stores.size(); ++i) {
      stores[i]->set_silent(i != *asking);
    }
    stores[*asking]->put("op/config", make_config(2));
    const node_process& node = *m_nodes[*asking];
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find("config_version=2") != std::string::npos; },
        milliseconds(1000)));
    m_nodes.clear();
  }

  // Guards against a node that waits for a reader which does not pass on so large a change.
  void large_configuration_reaches_every_node() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    start_ready_node();
    start_node();
    start_node();
    m_store->put("op/config", make_large_config(2));
    for (const auto& node : m_nodes) {
      CPPUNIT_ASSERT(run_until(
          *m_io, [&] { return node->log().find("config_version=2") != std::string::npos; },
          seconds(2)));
      expect_status(ask(*node, call("/more-1499/1"), "hi"), "200");
    }
  }

  // Guards against a node that no source gives a large change: its peers leave it to the service,
  // which the node cannot reach.
  void large_configuration_reaches_a_node_that_lost_the_store() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, reply(r, "200 OK", "hi"));
    });
    start_ready_node();
    start_node();
    start_node();
    node_process& cut_off = start_node(5000, free_port(*m_io));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return cut_off.log().find("config_version=1") != std::string::npos; }));
    m_store->put("op/config", make_large_config(2));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return cut_off.log().find("config_version=2") != std::string::npos; },
        seconds(3)));
    expect_status(ask(cut_off, call("/more-1499/1"), "hi"), "200");
  }

  // Guards against a node that ends because its settings change while it starts (soak, seed 237).
  void signal_to_read_settings_does_not_end_a_node_that_starts() {
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
    // Opens once the node reads its settings, which it does not get before the signal.
    std::ofstream settings(pipe);
    ::kill(process, SIGHUP);
    settings << "no settings\n";
    settings.close();
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(process, ::waitpid(process, &status, 0));
    std::filesystem::remove(pipe);
    CPPUNIT_ASSERT(WIFEXITED(status));
  }

  void planned_stop_finishes_what_runs() {
    tcp::socket* open = nullptr;
    std::optional<received_request> running;
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      open = &s;
      running = r;
    });
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, call("/once/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return running.has_value(); }));
    node.signal(SIGTERM);
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return readiness(node).starts_with("HTTP/1.1 503"); }));
    write_all(*open, reply(*running, "200 OK", "done"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.is_closed(); }));
    expect_status(caller.received(), "200");
    CPPUNIT_ASSERT(caller.received().find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(caller.received().ends_with("done"));
    CPPUNIT_ASSERT_EQUAL(0, node.wait_for_end(seconds(4)).value_or(-1));
    CPPUNIT_ASSERT(node.log().find("node: stopped requests_in_flight=0") != std::string::npos);
  }

  std::unique_ptr<boost::asio::io_context> m_io;
  std::unique_ptr<store_stand_in> m_store;
  std::vector<std::unique_ptr<raw_upstream>> m_replicas;
  std::vector<std::unique_ptr<node_process>> m_nodes;
  std::unique_ptr<raw_caller> m_caller;
  std::vector<received_request> m_heads;
  std::vector<std::string> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_path_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
