// End-to-end tests of fuchsia-node with replicas that stop in the middle of the head of a response.
#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

const std::string last_chunk = "0\r\n\r\n";
const std::string body = "0123456789ab";

// How the replica frames its response.
enum class framing { length, chunks, connection };

// How the replica ends the connection.
enum class ending { closed, reset };

struct head_case {
  std::string method = "POST";
  std::string path;
  std::string version = "1.1";
  framing framed_by = framing::length;
  bool has_interim = false;  // a 1xx response comes before the head
  bool is_kept = false;      // the connection has carried a request before
};

std::string describe(const head_case& each) {
  return each.method + " " + each.path + ", HTTP/" + each.version + ", framing " +
         std::to_string(static_cast<int>(each.framed_by)) +
         (each.has_interim ? ", behind a 1xx" : "") + (each.is_kept ? ", kept" : ", new");
}

// Interim response and head, with the blank line.
std::string head_of(const head_case& each, const std::string& id) {
  const bool is_stream = each.path.starts_with("/stream");
  std::string head = each.has_interim ? "HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n" : "";
  head += "HTTP/" + each.version + " 200 OK\r\nFuchsiaspring-Attempt-Id: " + id +
          "\r\nFuchsiaspring-Response-Signature: s\r\n";
  if (is_stream) {
    head += "Content-Type: text/event-stream\r\n";
  }
  if (each.framed_by == framing::length) {
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  } else if (each.framed_by == framing::chunks) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  return head + "\r\n";
}

class node_head_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_head_test);
  CPPUNIT_TEST(cut_head_becomes_502);
  CPPUNIT_TEST(cut_head_of_a_response_to_head_becomes_502);
  CPPUNIT_TEST(cut_head_lets_a_request_be_repeated);
  CPPUNIT_TEST(cut_head_does_not_end_a_begun_stream);
  CPPUNIT_TEST(success_without_length_and_without_a_body_becomes_502);
  CPPUNIT_TEST(status_outside_the_protocol_is_no_answer);
  CPPUNIT_TEST_SUITE_END();

  static void end(tcp::socket& socket, ending how) {
    boost::system::error_code ignored;  // the node may have closed first
    if (how == ending::reset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
  }

  // Adds a replica that writes `m_cut` and ends the connection, while `m_is_cutting`.
  void add_cutting_replica(const std::string& id) {
    add_replica(id, [this](tcp::socket& s, const received_request& r) {
      if (!m_is_cutting) {
        write_all(s, replica_response(r, "404 No", "sound"));
        return;
      }
      write_all(s, m_cut);
      if (m_ending == ending::closed) {
        end(s, m_ending);
        return;
      }
      // The node reads the bytes before the reset discards them.
      auto timer = std::make_shared<boost::asio::steady_timer>(*m_io, milliseconds(2));
      timer->async_wait([this, &s, timer](const boost::system::error_code&) { end(s, m_ending); });
    });
  }

  std::string next_id() { return "r-" + std::to_string(m_next_id++); }

  std::string exchange(const node_process& node, const head_case& each, const std::string& id) {
    std::string request = request_bytes(each.path, "key-1", id);
    request.replace(0, request.find(' '), each.method);
    raw_caller& caller = send(node, request);
    const std::string response_end = each.method == "HEAD" ? "\r\n\r\n" : "}";
    CPPUNIT_ASSERT_MESSAGE(describe(each) + node.log(), run_until(*m_io, [&] {
                             const std::string& received = caller.received();
                             return received.ends_with(response_end) || caller.is_closed() ||
                                    received.ends_with("sound") || received.ends_with(last_chunk);
                           }));
    return caller.received();
  }

  // Sends a request whose response ends behind `bytes` of its head, and returns the status that its
  // caller gets.
  std::string status_at(const node_process& node, const head_case& each, std::size_t bytes) {
    m_is_cutting = false;
    if (each.is_kept) {
      head_case plain = each;
      plain.method = "POST";
      expect_status(exchange(node, plain, next_id()), "404");
    }
    const std::string id = next_id();
    m_cut = head_of(each, id).substr(0, bytes);
    m_is_cutting = true;
    const std::size_t before = m_replica_requests.size();
    const std::string response = exchange(node, each, id);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(each), std::size_t{1},
                                 m_replica_requests.size() - before);
    return response.substr(std::string("HTTP/1.1 ").size(), 3);
  }

  // Lengths of the parts of a head at which a replica stops: within the status line, a field name
  // and the digits of the length, behind a field line, before the end of the blank line and behind
  // an interim response.
  static std::vector<std::size_t> places_in(const std::string& head) {
    std::vector<std::size_t> places{0,
                                    3,
                                    head.find("200") + 1,
                                    head.find("Signature"),
                                    head.find("Signature: s") + 14,
                                    head.size() - 1};
    if (const std::size_t length = head.find("Content-Length: "); length != std::string::npos) {
      places.push_back(length + 17);
      places.push_back(length + 18);
    }
    if (const std::size_t interim = head.find("\r\n\r\n"); interim + 4 < head.size()) {
      places.push_back(interim + 2);
      places.push_back(interim + 4);
    }
    return places;
  }

  void expect_502(const head_case& each) {
    const std::string head = head_of(each, "r-0");
    for (const std::size_t bytes : places_in(head)) {
      tearDown();
      setUp();
      add_cutting_replica("i-1");
      node_process& node = start_ready_node();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(each) + ", byte " + std::to_string(bytes),
                                   std::string("502"), status_at(node, each, bytes));
    }
  }

  // The following tests guard against a part of a head that passes for a whole response: the caller
  // gets a success with an empty or short body. See head_test for each byte of a head.
  void cut_head_becomes_502() {
    for (const ending how : {ending::closed, ending::reset}) {
      m_ending = how;
      // Requests that may be repeated wait for another replica, which takes a while.
      std::vector<std::string> paths{"/once/1"};
      if (how == ending::closed) {
        paths.insert(paths.end(), {"/safe/1", "/stream/1"});
      }
      for (const std::string& path : paths) {
        expect_502({"POST", path, "1.1", framing::length, false, false});
        expect_502({"POST", path, "1.1", framing::connection, true, true});
        expect_502({"POST", path, "1.0", framing::connection, false, false});
      }
    }
  }

  void cut_head_of_a_response_to_head_becomes_502() {
    for (const ending how : {ending::closed, ending::reset}) {
      m_ending = how;
      expect_502({"HEAD", "/once/1", "1.1", framing::length, true, false});
      expect_502({"HEAD", "/once/1", "1.0", framing::connection, false, true});
    }
  }

  // Two replicas; the response to the first request of all ends behind `bytes` of its head.
  void add_replicas(const head_case& each, std::size_t bytes) {
    const auto respond = [this, each, bytes](tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() > 1) {
        write_all(s, replica_response(r, "200 OK", "sound"));
        return;
      }
      write_all(s, head_of(each, r.header("Fuchsiaspring-Attempt-Id")).substr(0, bytes));
      end(s, m_ending);
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
  }

  void cut_head_lets_a_request_be_repeated() {
    const head_case each{"POST", "/safe/1", "1.1", framing::length, true, false};
    for (const ending how : {ending::closed, ending::reset}) {
      m_ending = how;
      for (const std::size_t bytes : places_in(head_of(each, "r-0"))) {
        tearDown();
        setUp();
        add_replicas(each, bytes);
        const std::string response = exchange(start_ready_node(), each, next_id());
        expect_status(response, "200");
        CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\nsound"));
      }
    }
  }

  void cut_head_does_not_end_a_begun_stream() {
    const head_case each{"POST", "/stream/1", "1.1", framing::connection, true, false};
    json config = make_config(1);
    config["routes"][2]["max-attempts"] = 3;
    for (const std::size_t bytes : places_in(head_of(each, "r-0"))) {
      tearDown();
      setUp();
      const auto respond = [&](tcp::socket& s, const received_request& r) {
        switch (m_replica_requests.size()) {
          case 1:
            write_all(s, stream_response_head(r) + chunk(sse_event(1)));
            s.close();
            return;
          case 2:
            write_all(s, head_of(each, r.header("Fuchsiaspring-Attempt-Id")).substr(0, bytes));
            s.close();
            return;
          default:
            write_all(s, stream_response_head(r) + chunk(sse_event(2)) + last_chunk);
        }
      };
      for (const std::string id : {"i-1", "i-2", "i-3"}) {
        add_replica(id, respond);
      }
      const std::string response = exchange(start_ready_node_with(config), each, next_id());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_replica_requests.size());
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\n" + chunk(sse_event(1)) +
                                                          chunk(sse_event(2)) + last_chunk));
    }
  }

  // A replica that ends behind a head without a length has not written a byte of its body.
  void success_without_length_and_without_a_body_becomes_502() {
    m_ending = ending::closed;
    for (const std::string path : {"/once/1", "/safe/1", "/stream/1"}) {
      for (const std::string version : {"1.0", "1.1"}) {
        const head_case each{"POST", path, version, framing::connection, false, false};
        tearDown();
        setUp();
        add_cutting_replica("i-1");
        node_process& node = start_ready_node();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(each), std::string("502"),
                                     status_at(node, each, std::string::npos));
      }
    }
  }

  // Guards against a caller that waits for its whole time, or gets a status that it cannot
  // interpret, and against a request that is not repeated although it may be.
  void status_outside_the_protocol_is_no_answer() {
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
      tearDown();
      setUp();
      const auto respond = [&](tcp::socket& s, const received_request& r) {
        write_all(s, m_replica_requests.size() == 1 ? replica_response(r, status + " Odd", "odd")
                                                    : replica_response(r, "200 OK", "sound"));
      };
      add_replica("i-1", respond);
      add_replica("i-2", respond);
      node_process& node = start_ready_node();
      const auto begin = std::chrono::steady_clock::now();
      expect_status(exchange(node, {.path = "/once/1"}, next_id()), "502");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
      m_replica_requests.clear();
      expect_status(exchange(node, {.path = "/safe/1"}, next_id()), "200");
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
      CPPUNIT_ASSERT_MESSAGE(status, std::chrono::steady_clock::now() - begin < seconds(1));
      CPPUNIT_ASSERT_MESSAGE(node.log(), node.log().find("fault=malformed") != std::string::npos);
    }
  }

  std::string m_cut;
  ending m_ending = ending::closed;
  bool m_is_cutting = false;
  int m_next_id = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_head_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
