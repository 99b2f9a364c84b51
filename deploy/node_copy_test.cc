// End-to-end tests of fuchsia-node with replicas that write an earlier refusal once more on a kept
// connection.
#include <chrono>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

const std::string not_executed = "Fuchsiaspring-Not-Executed: 1\r\n";

// A refusal; without an id if `id` is empty.
std::string refusal(const std::string& status, const std::string& id,
                    const std::string& extra_headers = not_executed) {
  const std::string id_header = id.empty() ? "" : "Fuchsiaspring-Attempt-Id: " + id + "\r\n";
  return "HTTP/1.1 " + status + "\r\n" + id_header + extra_headers +
         "Content-Length: 4\r\n\r\nfull";
}

class node_copy_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_copy_test);
  CPPUNIT_TEST(copy_of_a_refusal_does_not_answer_the_next_request);
  CPPUNIT_TEST(copy_of_a_refusal_split_at_any_byte_does_not_answer_the_next_request);
  CPPUNIT_TEST(copy_of_a_refusal_alone_does_not_say_that_a_request_did_not_run);
  CPPUNIT_TEST(copy_of_a_refusal_does_not_let_a_request_run_twice);
  CPPUNIT_TEST(refusal_without_an_id_on_a_new_connection_is_not_believed);
  CPPUNIT_TEST(success_without_an_id_on_a_new_connection_is_not_believed);
  CPPUNIT_TEST(success_of_an_earlier_request_without_an_id_does_not_answer_the_next_one);
  CPPUNIT_TEST(refusal_status_without_a_statement_becomes_502);
  CPPUNIT_TEST(repeat_under_the_same_id_uses_another_connection);
  CPPUNIT_TEST(other_requests_use_the_connection_that_carried_a_refusal);
  CPPUNIT_TEST_SUITE_END();

  enum class arrival { before_the_request, with_the_request, after_the_request };

  // Sends a request and returns the status that its caller gets.
  std::string status_of(const node_process& node, const std::string& path, const std::string& id) {
    raw_caller& caller = send(node, request_bytes(path, "key-1", id));
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             const std::string& received = caller.received();
                             return received.ends_with("mine") || received.ends_with("full") ||
                                    received.ends_with("another") || received.ends_with("}") ||
                                    caller.is_closed();
                           }));
    return caller.received().substr(std::string("HTTP/1.1 ").size(), 3);
  }

  std::string next_id() { return "r-" + std::to_string(m_next_id++); }

  void run_later(milliseconds delay, std::function<void()> task) {
    auto timer = std::make_shared<boost::asio::steady_timer>(*m_io, delay);
    timer->async_wait(
        [timer, task = std::move(task)](const boost::system::error_code&) { task(); });
  }

  // Adds a replica that runs each request and writes `m_copy` as `m_arrival` states.
  void add_copying_replica() {
    add_replica("i-1", [this](tcp::socket& s, const received_request& r) {
      m_socket = &s;
      const std::string answer = replica_response(r, "200 OK", "mine");
      if (m_arrival == arrival::with_the_request) {
        write_all(s, m_copy);
      }
      run_later(milliseconds(m_copy.empty() ? 0 : 15), [this, &s, answer] {
        if (m_arrival == arrival::after_the_request) {
          write_all(s, m_copy);
        }
        write_all(s, answer);
      });
    });
  }

  // Guards against a request that ran and whose caller was told that it did not.
  void copy_of_a_refusal_does_not_answer_the_next_request() {
    add_copying_replica();
    node_process& node = start_ready_node();
    CPPUNIT_ASSERT_EQUAL(std::string("200"), status_of(node, "/once/1", "r-earlier"));
    for (const std::string status : {"503 Full", "429 Full", "421 Other", "400 Bad"}) {
      for (const std::string copied_id : {"", "r-earlier"}) {
        for (const std::string& statement : {not_executed, std::string()}) {
          for (const arrival when : {arrival::before_the_request, arrival::with_the_request,
                                     arrival::after_the_request}) {
            m_arrival = when;
            m_copy = refusal(status, copied_id, statement);
            if (when == arrival::before_the_request) {
              write_all(*m_socket, m_copy);
            }
            const std::string id = next_id();
            m_replica_requests.clear();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(m_copy, std::string("200"),
                                         status_of(node, "/once/1", id));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(m_copy, std::size_t{1}, m_replica_requests.size());
          }
        }
      }
    }
  }

  void copy_of_a_refusal_split_at_any_byte_does_not_answer_the_next_request() {
    std::string first_part;  // written when the request has arrived
    std::string second_part;
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      m_socket = &s;
      write_all(s, first_part);
      const std::string rest = second_part + replica_response(r, "200 OK", "mine");
      run_later(milliseconds(first_part.empty() ? 0 : 5), [&s, rest] { write_all(s, rest); });
    });
    node_process& node = start_ready_node();
    for (const std::string copied_id : {"", "r-earlier"}) {
      const std::string copy = refusal("503 Full", copied_id);
      for (std::size_t split = 0; split <= copy.size(); ++split) {
        first_part.clear();
        second_part.clear();
        CPPUNIT_ASSERT_EQUAL(std::string("200"), status_of(node, "/once/1", next_id()));
        // Both parts behind the request.
        first_part = copy.substr(0, split);
        second_part = copy.substr(split);
        m_replica_requests.clear();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(split), std::string("200"),
                                     status_of(node, "/once/1", next_id()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
        // The first part before the request. It closes the connection, and the second part on the
        // next one is no response.
        write_all(*m_socket, std::exchange(first_part, std::string()));
        const std::string status = status_of(node, "/once/1", next_id());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(split),
                                     std::string(second_part.empty() || split == 0 ? "200" : "502"),
                                     status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
      }
    }
  }

  void copy_of_a_refusal_alone_does_not_say_that_a_request_did_not_run() {
    for (const std::string path : {"/once/1", "/safe/1", "/stream/1"}) {
      bool is_copying = false;
      tearDown();
      setUp();
      add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
        write_all(s, is_copying ? refusal("503 Full", "") : replica_response(r, "404 No", "mine"));
      });
      node_process& node = start_ready_node();
      CPPUNIT_ASSERT_EQUAL(std::string("404"), status_of(node, path, next_id()));
      is_copying = true;
      const std::string status = status_of(node, path, next_id());
      CPPUNIT_ASSERT_MESSAGE(path + ": " + status, status == "502" || status == "504");
    }
  }

  void copy_of_a_refusal_does_not_let_a_request_run_twice() {
    int copies = 0;
    const auto respond = [&](tcp::socket& s, const received_request& r) {
      copies += r.number > 0 ? 1 : 0;
      write_all(s, (r.number > 0 ? refusal("503 Full", "") : std::string()) +
                       replica_response(r, "200 OK", "mine"));
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
    node_process& node = start_ready_node();
    for (int i = 0; i < 8; ++i) {
      m_replica_requests.clear();
      CPPUNIT_ASSERT_EQUAL(std::string("200"), status_of(node, "/once/1", next_id()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
    }
    CPPUNIT_ASSERT(copies > 0);
  }

  void refusal_without_an_id_on_a_new_connection_is_not_believed() {
    for (const std::string status : {"503 Full", "429 Full", "421 Other", "400 Bad"}) {
      tearDown();
      setUp();
      const auto respond = [&](tcp::socket& s, const received_request& r) {
        write_all(s, m_replica_requests.size() == 1 ? refusal(status, "")
                                                    : replica_response(r, "200 OK", "mine"));
      };
      add_replica("i-1", respond);
      add_replica("i-2", respond);
      node_process& node = start_ready_node();
      const auto begin = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(std::string("502"), status_of(node, "/once/1", next_id()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
      m_replica_requests.clear();
      CPPUNIT_ASSERT_EQUAL(std::string("200"), status_of(node, "/safe/1", next_id()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < seconds(1));
    }
  }

  static std::string success_without_id() {
    return "HTTP/1.1 200 OK\r\nFuchsiaspring-Response-Signature: s\r\n"
           "Content-Length: 7\r\n\r\nanother";
  }

  // The following two tests guard against a response that reaches another caller than its own.
  void success_without_an_id_on_a_new_connection_is_not_believed() {
    add_replica(
        "i-1", [](tcp::socket& s, const received_request&) { write_all(s, success_without_id()); });
    node_process& node = start_ready_node();
    for (const std::string path : {"/once/1", "/stream/1"}) {
      CPPUNIT_ASSERT_EQUAL(std::string("502"), status_of(node, path, next_id()));
    }
  }

  void success_of_an_earlier_request_without_an_id_does_not_answer_the_next_one() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(
          s, (r.number == 0 ? "" : success_without_id()) + replica_response(r, "200 OK", "mine"));
    });
    node_process& node = start_ready_node();
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("200"), status_of(node, "/once/1", next_id()));
      CPPUNIT_ASSERT_MESSAGE(m_caller->received(), m_caller->received().ends_with("mine"));
    }
  }

  // These statuses promise that a request did not run, which only the replica's statement proves.
  // Guards against one that is passed on because its body is too long to be kept.
  void refusal_status_without_a_statement_becomes_502() {
    std::string status;
    std::string body;
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, status, body));
    });
    node_process& node = start_ready_node();
    for (const std::size_t length : {std::size_t{4}, std::size_t{200'000}}) {
      body = std::string(length, 'x');
      for (const std::string each : {"503 Full", "429 Full", "408 Timeout"}) {
        status = each;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(each, std::string("502"),
                                     status_of(node, "/once/1", next_id()));
      }
    }
  }

  // Guards against the copy of the first refusal of a request that its caller sends once more.
  void repeat_under_the_same_id_uses_another_connection() {
    add_replica("i-1", [this](tcp::socket& s, const received_request& r) {
      write_all(s, m_replica_requests.size() == 1
                       ? refusal("503 Full", r.header("Fuchsiaspring-Attempt-Id"))
                       : replica_response(r, "200 OK", "mine"));
      if (m_replica_requests.size() == 1) {
        m_socket = &s;
      }
    });
    json config = make_config(1);
    config["routes"][1]["timeout-ms"] = 300;
    node_process& node = start_ready_node_with(config);
    CPPUNIT_ASSERT_EQUAL(std::string("503"), status_of(node, "/once/1", "r-same"));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), status_of(node, "/once/1", "r-same"));
    CPPUNIT_ASSERT_EQUAL(1, m_replica_requests.back().connection);
  }

  // Guards against a new connection for each request, which has a cost for replica and node.
  void other_requests_use_the_connection_that_carried_a_refusal() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, r.number == 0 ? refusal("503 Full", r.header("Fuchsiaspring-Attempt-Id"))
                                 : replica_response(r, "200 OK", "mine"));
    });
    json config = make_config(1);
    config["routes"][1]["timeout-ms"] = 300;
    node_process& node = start_ready_node_with(config);
    CPPUNIT_ASSERT_EQUAL(std::string("503"), status_of(node, "/once/1", next_id()));
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("200"), status_of(node, "/once/1", next_id()));
      CPPUNIT_ASSERT_EQUAL(0, m_replica_requests.back().connection);
    }
  }

  tcp::socket* m_socket = nullptr;  // of the replica's newest connection
  std::string m_copy;
  arrival m_arrival = arrival::with_the_request;
  int m_next_id = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_copy_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
