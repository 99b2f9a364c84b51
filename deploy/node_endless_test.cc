// End-to-end tests of fuchsia-node with replicas, stores and peers that send bytes without end.
#include <chrono>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

constexpr std::size_t max_growth_kib = 16384;
const std::string garbage(4096, 'x');

// Bytes that a replica writes once, and those that it repeats without end.
struct endless_bytes {
  std::string name;
  std::string begin;
  std::string repeated;
};

std::string own_head(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status +
         "\r\nFuchsiaspring-Attempt-Id: abc\r\nFuchsiaspring-Response-Signature: s\r\n" + headers;
}

std::vector<endless_bytes> all_endless_bytes() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string not_executed = "Fuchsiaspring-Not-Executed: 1\r\n";
  return {
      {"status line", "", garbage},
      {"reason", "HTTP/1.1 200 ", garbage},
      {"field name", "HTTP/1.1 200 OK\r\n", garbage},
      {"fields", "HTTP/1.1 200 OK\r\n", "X-More: " + garbage + "\r\n"},
      {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"empty lines", "", "\r\n\r\n"},
      {"chunk header", own_head("200 OK", chunked) + "1;", garbage},
      {"trailer", own_head("200 OK", chunked) + "0\r\n", "X-More: " + garbage + "\r\n"},
      {"body of a failure", own_head("500 Error", "\r\n"), garbage},
      {"body of a refusal", own_head("503 Full", not_executed + "\r\n"), garbage},
      {"body of a response to another request",
       "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: other\r\n" + chunked, "4\r\nxxxx\r\n"},
      {"body of a response without an id", "HTTP/1.1 200 OK\r\n\r\n", garbage},
      {"event", own_head("200 OK", "Content-Type: text/event-stream\r\n\r\n"), garbage},
  };
}

class node_endless_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_endless_test);
  CPPUNIT_TEST(requests_are_served_beside_replicas_that_send_bytes_without_end);
  CPPUNIT_TEST(bytes_without_end_after_a_response_close_the_connection);
  CPPUNIT_TEST(slow_body_without_end_ends_at_the_deadline);
  CPPUNIT_TEST(response_to_head_with_a_body_without_end_is_complete);
  CPPUNIT_TEST(store_answer_without_end_does_not_fill_the_memory);
  CPPUNIT_TEST(pages_of_the_store_without_end_do_not_fill_the_memory);
  CPPUNIT_TEST(peers_requests_without_end_do_not_fill_the_memory);
  CPPUNIT_TEST_SUITE_END();

  static tcp::endpoint loopback(std::uint16_t port) {
    return {boost::asio::ip::address_v4::loopback(), port};
  }

  static void expect_small_growth(const node_process& node, std::size_t before) {
    CPPUNIT_ASSERT(before > 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(before) + " KiB before, " +
                               std::to_string(node.peak_memory_kib()) + " after",
                           node.peak_memory_kib() - before < max_growth_kib);
  }

  // The following tests guard against bytes that fill the memory of the node, or that keep it from
  // serving other requests.
  void requests_are_served_beside_replicas_that_send_bytes_without_end() {
    constexpr int faulty_replicas = 20;
    const std::vector<endless_bytes> kinds = all_endless_bytes();
    json config = make_config(1);
    config["services"].push_back({{"name", "faulty"}, {"health-check-path", "/health"}});
    for (const std::string kind : {"safe", "unsafe", "streaming"}) {
      config["routes"].push_back(make_route("faulty-" + kind, kind, "faulty"));
    }
    add_replica("i-sound", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "sound"));
    });
    for (int i = 0; i < faulty_replicas; ++i) {
      const std::string id = "i-" + std::to_string(i);
      const endless_bytes kind = kinds[static_cast<std::size_t>(i) % kinds.size()];
      add_replica(id, [kind](tcp::socket& s, const received_request&) {
        write_all(s, kind.begin);
        write_endlessly(s, kind.repeated);
      });
      json entry = make_server_entry(m_replicas.back()->endpoint().port());
      entry["service"] = "faulty";
      m_store->put("servers/" + id, entry);
    }
    node_process& node = start_ready_node_with(config);
    const std::size_t before = node.peak_memory_kib();
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 2 * faulty_replicas; ++i) {
      const std::string path = i % 3 == 0   ? "/faulty-safe/1"
                               : i % 3 == 1 ? "/faulty-unsafe/1"
                                            : "/faulty-streaming/1";
      callers.push_back(std::make_unique<raw_caller>(*m_io, loopback(node.ports().caller_port)));
      callers.back()->write(request_bytes(path));
    }
    for (int i = 0; i < 10; ++i) {
      expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
    }
    for (const auto& caller : callers) {
      CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                               return caller->received().ends_with("}") || caller->is_closed();
                             }));
    }
    expect_small_growth(node, before);
  }

  void bytes_without_end_after_a_response_close_the_connection() {
    std::size_t kind = 0;
    const std::vector<endless_bytes> kinds = all_endless_bytes();
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "sound"));
      auto timer = std::make_shared<boost::asio::steady_timer>(*m_io, milliseconds(10));
      timer->async_wait([&s, timer, each = kinds[kind]](const boost::system::error_code&) {
        write_all(s, each.begin);
        write_endlessly(s, each.repeated);
      });
    });
    node_process& node = start_ready_node();
    const std::size_t before = node.peak_memory_kib();
    for (kind = 0; kind < kinds.size(); ++kind) {
      expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
      const int requests = m_replicas.front()->requests();
      CPPUNIT_ASSERT_MESSAGE(kinds[kind].name, run_until(*m_io, [&] {
                               return m_replicas.front()->closed_connections() >= requests;
                             }));
    }
    expect_small_growth(node, before);
  }

  // Writes `bytes` every 20 ms until the peer closes the connection.
  void write_slowly(tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    if (error) {
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(*m_io, milliseconds(20));
    timer->async_wait([this, &socket, timer, bytes](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        write_slowly(socket, bytes);
      }
    });
  }

  void slow_body_without_end_ends_at_the_deadline() {
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& head :
         {own_head("200 OK", chunked), own_head("500 Error", chunked),
          own_head("503 Full", "Fuchsiaspring-Not-Executed: 1\r\n" + chunked),
          "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: other\r\n" + chunked}) {
      tearDown();
      setUp();
      add_replica("i-1", [this, head](tcp::socket& s, const received_request&) {
        write_all(s, head);
        write_slowly(s, "1\r\nx\r\n");
      });
      json config = make_config(1);
      config["routes"][1]["timeout-ms"] = 500;
      node_process& node = start_ready_node_with(config);
      const auto begin = std::chrono::steady_clock::now();
      expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "504");
      CPPUNIT_ASSERT_MESSAGE(head, std::chrono::steady_clock::now() - begin < seconds(1));
    }
  }

  // A response to HEAD has no body; its connection must not be used again.
  void response_to_head_with_a_body_without_end_is_complete() {
    add_replica("i-1", [](tcp::socket& s, const received_request&) {
      write_all(s, own_head("200 OK", "Content-Length: 5\r\n\r\n"));
      write_endlessly(s, garbage);
    });
    node_process& node = start_ready_node();
    std::string request = request_bytes("/once/1");
    request.replace(0, 4, "HEAD");
    for (int i = 1; i <= 2; ++i) {
      const std::string response = send_and_receive(node, request, "\r\n\r\n");
      expect_status(response, "200");
      CPPUNIT_ASSERT(response.ends_with("\r\n\r\n"));
      CPPUNIT_ASSERT(
          run_until(*m_io, [&] { return m_replicas.front()->closed_connections() == i; }));
    }
  }

  // Requests are served and the memory stays small while the store responds with `respond`.
  void expect_service_beside(const std::function<void(tcp::socket&)>& respond) {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "sound"));
    });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
    const std::size_t before = node.peak_memory_kib();
    m_store->respond_with(respond);
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             return node.log().find("configuration_lost") != std::string::npos;
                           }));
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
    wait(milliseconds(500));  // some more reads
    expect_small_growth(node, before);
    m_store->respond_with(nullptr);
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             return node.log().find("configuration_regained") != std::string::npos;
                           }));
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
  }

  void store_answer_without_end_does_not_fill_the_memory() {
    expect_service_beside([](tcp::socket& s) {
      write_all(s, "HTTP/1.1 200 OK\r\n\r\n{\"items\":[\"");
      write_endlessly(s, std::string(65536, 'x'));
    });
  }

  void pages_of_the_store_without_end_do_not_fill_the_memory() {
    const std::string value(60'000, 'A');
    json page = {{"items", json::array()}, {"has-more", true}, {"at", 1}};
    for (int i = 0; i < 10; ++i) {
      page["items"].push_back(
          {{"key", "other/" + std::to_string(i)}, {"value", value}, {"revision", 1}});
    }
    const std::string text = page.dump();
    expect_service_beside([text](tcp::socket& s) {
      write_all(s, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                       "\r\n\r\n" + text);
    });
  }

  // Peers and operators send no bodies.
  void peers_requests_without_end_do_not_fill_the_memory() {
    constexpr int connections = 20;
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "sound"));
    });
    node_process& node = start_ready_node();
    const std::size_t before = node.peak_memory_kib();
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (const std::uint16_t port :
         {node.ports().peer_port, node.ports().readiness_port, node.ports().metrics_port}) {
      for (int i = 0; i < connections; ++i) {
        callers.push_back(std::make_unique<raw_caller>(*m_io, loopback(port)));
        callers.back()->write(
            "GET /snapshot HTTP/1.1\r\nHost: peer\r\nContent-Length: 4000000\r\n\r\n" +
            std::string(1'000'000, 'x'));
        wait(milliseconds(1));
      }
    }
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
    expect_small_growth(node, before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_endless_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
