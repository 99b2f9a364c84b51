// End-to-end tests of fuchsia-node with replicas whose responses have neither Content-Length nor
// chunks, so that the end of the connection is the end of the response.
#include <chrono>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

// More than the node buffers of a response before it forwards the beginning.
constexpr std::size_t large_body_bytes = 200'000;
const std::string last_chunk = "0\r\n\r\n";
const std::string event_stream_type = "Content-Type: text/event-stream\r\n";

std::string unframed_head(const received_request& request, const std::string& status,
                          const std::string& extra_headers = "") {
  return "HTTP/1.1 " + status +
         "\r\nFuchsiaspring-Attempt-Id: " + request.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\n" + extra_headers + "\r\n";
}

std::string unframed_stream(const received_request& request, const std::string& events) {
  return unframed_head(request, "200 OK", event_stream_type) + events;
}

void reset(tcp::socket& socket) {
  boost::system::error_code ignored;  // the node may have closed first
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Body of a whole chunked response; empty if its last chunk is missing.
std::string decode_chunks(const std::string& response) {
  std::string body;
  std::size_t at = response.find("\r\n\r\n") + 4;
  while (at < response.size()) {
    const std::size_t size = std::stoul(response.substr(at), nullptr, 16);
    if (size == 0) {
      return body;
    }
    at = response.find("\r\n", at) + 2;
    body += response.substr(at, size);
    at += size + 2;
  }
  return {};
}

class node_framing_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_framing_test);
  CPPUNIT_TEST(success_that_ends_with_the_connection_is_complete);
  CPPUNIT_TEST(large_success_that_ends_with_the_connection_is_complete);
  CPPUNIT_TEST(reset_success_becomes_502_or_is_repeated);
  CPPUNIT_TEST(reset_within_a_large_success_breaks_the_response_off);
  CPPUNIT_TEST(reset_success_of_a_long_request_becomes_502);
  CPPUNIT_TEST(stream_that_ends_after_an_event_is_complete);
  CPPUNIT_TEST(stream_that_ends_within_an_event_is_resumed);
  CPPUNIT_TEST(stream_that_ends_within_an_event_is_broken_off_without_resumption);
  CPPUNIT_TEST(stream_that_is_reset_after_an_event_is_resumed);
  CPPUNIT_TEST(stream_that_is_reset_after_an_event_is_broken_off_without_resumption);
  CPPUNIT_TEST(failure_that_ends_with_the_connection_is_passed_on);
  CPPUNIT_TEST(reset_failure_becomes_502);
  CPPUNIT_TEST(rejection_that_ends_with_the_connection_is_retried);
  CPPUNIT_TEST(reset_rejection_is_retried);
  CPPUNIT_TEST(late_copy_fails_a_request_that_may_not_be_repeated);
  CPPUNIT_TEST(late_copy_lets_a_request_be_repeated);
  CPPUNIT_TEST(late_copy_does_not_reach_a_request_without_an_id);
  CPPUNIT_TEST(http_1_0_replica_is_relayed);
  CPPUNIT_TEST(http_1_0_caller_sees_the_end_of_a_complete_stream);
  CPPUNIT_TEST(http_1_0_caller_sees_the_reset_of_a_broken_stream);
  CPPUNIT_TEST(http_1_0_caller_sees_the_reset_of_a_stream_when_the_node_ends);
  CPPUNIT_TEST(endless_body_ends_at_the_deadline);
  CPPUNIT_TEST(endless_body_does_not_fill_the_memory);
  CPPUNIT_TEST(responses_without_a_body_keep_both_connections);
  CPPUNIT_TEST(refused_head_request_keeps_the_connection_usable);
  CPPUNIT_TEST_SUITE_END();

  using responder = std::function<void(tcp::socket&, const received_request&)>;

  // For tests that repeat their steps.
  void restart_fixture() {
    tearDown();
    setUp();
  }

  // Two replicas; the first request of all gets `first`, the other ones get `next`.
  void add_replicas(const responder& first, const responder& next) {
    const auto respond = [this, first, next](tcp::socket& s, const received_request& r) {
      (m_replica_requests.size() == 1 ? first : next)(s, r);
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
  }

  // Writes `bytes` and resets the connection, either at once or when the node has read the bytes.
  responder write_and_reset(std::function<std::string(const received_request&)> bytes,
                            bool is_at_once) {
    return [this, bytes, is_at_once](tcp::socket& s, const received_request& r) {
      write_all(s, bytes(r));
      if (is_at_once) {
        reset(s);
        return;
      }
      auto delay = std::make_shared<boost::asio::steady_timer>(*m_io, milliseconds(100));
      delay->async_wait([&s, delay](const boost::system::error_code&) { reset(s); });
    };
  }

  static responder write_and_close(std::function<std::string(const received_request&)> bytes) {
    return [bytes](tcp::socket& s, const received_request& r) {
      write_all(s, bytes(r));
      s.close();
    };
  }

  static void respond_soundly(tcp::socket& s, const received_request& r) {
    write_all(s, replica_response(r, "200 OK", "sound"));
  }

  static json config_without_resumption() {
    json config = make_config(1);
    config["routes"][2]["stream-resumption"] = false;
    return config;
  }

  // A request with an id of its own: a repeat under the same id does not share a connection.
  std::string next_request(const std::string& path) {
    return request_bytes(path, "key-1", "r-" + std::to_string(m_next_id++));
  }

  std::string receive_all(const node_process& node, const std::string& bytes) {
    raw_caller& caller = send(node, bytes);
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] { return caller.is_closed(); }));
    return caller.received();
  }

  // Sends the next request on the connection of the last one.
  std::string send_again(const std::string& bytes, const std::string& end) {
    const std::size_t before = m_caller->received().size();
    m_caller->write(bytes);
    run_until(*m_io, [&] {
      return (m_caller->received().size() > before && m_caller->received().ends_with(end)) ||
             m_caller->is_closed();
    });
    return m_caller->received().substr(before);
  }

  static void expect_broken_off(const std::string& received) {
    expect_status(received, "200");
    CPPUNIT_ASSERT(!received.ends_with(last_chunk));
  }

  // The following two tests guard against a response that is complete at the replica but has no
  // end for the caller, and against a request on a connection that has ended.
  void success_that_ends_with_the_connection_is_complete() {
    add_replica("i-1", write_and_close([](const received_request& r) {
                  return unframed_head(r, "200 OK") + "whole";
                }));
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/once/1"), "whole");
    expect_status(response, "200");
    CPPUNIT_ASSERT(response.find("Content-Length: 5\r\n") != std::string::npos);
    expect_status(send_again(next_request("/once/1"), "whole"), "200");
    CPPUNIT_ASSERT_EQUAL(1, m_replica_requests[1].connection);
  }

  void large_success_that_ends_with_the_connection_is_complete() {
    const std::string body(large_body_bytes, 'x');
    add_replica("i-1", write_and_close([body](const received_request& r) {
                  return unframed_head(r, "200 OK") + body;
                }));
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/once/1"), last_chunk);
    expect_status(response, "200");
    CPPUNIT_ASSERT(decode_chunks(response) == body);
  }

  // The following tests guard against a part of a response that a caller takes for all of it.
  void reset_success_becomes_502_or_is_repeated() {
    for (const bool is_at_once : {true, false}) {
      restart_fixture();
      add_replicas(
          write_and_reset(
              [](const received_request& r) { return unframed_head(r, "200 OK") + "part"; },
              is_at_once),
          respond_soundly);
      node_process& node = start_ready_node();
      expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "502");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
      m_replica_requests.clear();
      expect_status(send_and_receive(node, request_bytes("/safe/1"), "sound"), "200");
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
    }
  }

  void reset_within_a_large_success_breaks_the_response_off() {
    for (const std::string path : {"/once/1", "/safe/1"}) {
      restart_fixture();
      add_replicas(write_and_reset(
                       [](const received_request& r) {
                         return unframed_head(r, "200 OK") + std::string(large_body_bytes, 'x');
                       },
                       false),
                   respond_soundly);
      expect_broken_off(receive_all(start_ready_node(), request_bytes(path)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
    }
  }

  // The replica does not read the request to its end; see
  // reset_while_the_request_is_written_is_a_failure.
  void reset_success_of_a_long_request_becomes_502() {
    add_replica(
        "i-1",
        write_and_reset(
            [](const received_request& r) { return unframed_head(r, "200 OK") + "part"; }, true));
    node_process& node = start_ready_node();
    const std::string body(4'000'000, 'x');
    std::string request = request_bytes("/once/1");
    const std::string no_length = "Content-Length: 0";
    request.replace(request.find(no_length), no_length.size(),
                    "Content-Length: " + std::to_string(body.size()));
    expect_status(send_and_receive(node, request + body, "}"), "502");
  }

  void stream_that_ends_after_an_event_is_complete() {
    add_replica("i-1", write_and_close([](const received_request& r) {
                  return unframed_stream(r, sse_event(1) + sse_event(2));
                }));
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/stream/1"), last_chunk);
    CPPUNIT_ASSERT_EQUAL(sse_event(1) + sse_event(2), decode_chunks(response));
  }

  // The stream goes on behind the last event, and its second part ends with the connection too.
  void expect_resumption(const responder& first) {
    add_replicas(first, write_and_close([](const received_request& r) {
                   return unframed_stream(r, sse_event(3) + sse_event(4));
                 }));
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/stream/1"), last_chunk);
    CPPUNIT_ASSERT_EQUAL(sse_event(1) + sse_event(2) + sse_event(3) + sse_event(4),
                         decode_chunks(response));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_replica_requests.at(1).header("Last-Event-Id"));
  }

  void stream_that_ends_within_an_event_is_resumed() {
    expect_resumption(write_and_close([](const received_request& r) {
      return unframed_stream(r, sse_event(1) + sse_event(2) + "id: 3\nda");
    }));
  }

  void stream_that_is_reset_after_an_event_is_resumed() {
    expect_resumption(write_and_reset(
        [](const received_request& r) { return unframed_stream(r, sse_event(1) + sse_event(2)); },
        false));
  }

  void expect_broken_off_stream(const responder& first) {
    add_replicas(first, respond_soundly);
    node_process& node = start_ready_node_with(config_without_resumption());
    const std::string received = receive_all(node, request_bytes("/stream/1"));
    expect_broken_off(received);
    CPPUNIT_ASSERT(received.find(sse_event(1)) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
  }

  void stream_that_ends_within_an_event_is_broken_off_without_resumption() {
    expect_broken_off_stream(write_and_close(
        [](const received_request& r) { return unframed_stream(r, sse_event(1) + "id: 2\nda"); }));
  }

  void stream_that_is_reset_after_an_event_is_broken_off_without_resumption() {
    expect_broken_off_stream(write_and_reset(
        [](const received_request& r) { return unframed_stream(r, sse_event(1)); }, false));
  }

  void failure_that_ends_with_the_connection_is_passed_on() {
    add_replica("i-1", write_and_close([](const received_request& r) {
                  return unframed_head(r, "500 Internal Server Error") + "whole";
                }));
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/once/1"), "whole");
    expect_status(response, "500");
    CPPUNIT_ASSERT(response.find("Content-Length: 5\r\n") != std::string::npos);
  }

  void reset_failure_becomes_502() {
    add_replicas(write_and_reset(
                     [](const received_request& r) {
                       return unframed_head(r, "500 Internal Server Error") + "part";
                     },
                     false),
                 respond_soundly);
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "502");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
  }

  static std::string rejection(const received_request& request) {
    return unframed_head(request, "503 Service Unavailable", "Fuchsiaspring-Not-Executed: 1\r\n") +
           "full";
  }

  // The following two tests guard against a request that fails although no replica has run it.
  void rejection_that_ends_with_the_connection_is_retried() {
    add_replicas(write_and_close(rejection), respond_soundly);
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
  }

  void reset_rejection_is_retried() {
    add_replicas(write_and_reset(rejection, false), respond_soundly);
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
  }

  // Responds to the second request on a connection with a copy of a response to another request.
  responder respond_with_late_copy(bool keeps_connection) {
    return [this, keeps_connection](tcp::socket& s, const received_request& r) {
      if (r.number == 0) {
        respond_soundly(s, r);
        return;
      }
      ++m_late_copies;
      write_all(s,
                "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: other\r\n"
                "Fuchsiaspring-Response-Signature: s\r\n\r\nsecret");
      if (!keeps_connection) {
        s.close();
      }
    };
  }

  // The following tests guard against a response that reaches another caller than its own, and
  // against a request that waits for a response that cannot follow.
  void late_copy_fails_a_request_that_may_not_be_repeated() {
    add_replica("i-1", respond_with_late_copy(true));
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
    const auto begin = std::chrono::steady_clock::now();
    const std::string response = send_and_receive(node, next_request("/once/1"), "}");
    expect_status(response, "502");
    CPPUNIT_ASSERT_EQUAL(1, m_late_copies);
    CPPUNIT_ASSERT_EQUAL(std::string::npos, response.find("secret"));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < seconds(1));
  }

  void late_copy_lets_a_request_be_repeated() {
    add_replica("i-1", respond_with_late_copy(true));
    add_replica("i-2", respond_soundly);
    node_process& node = start_ready_node();
    constexpr int max_requests = 20;
    for (int i = 0; i < max_requests && m_late_copies == 0; ++i) {
      expect_status(send_and_receive(node, next_request("/safe/1"), "sound"), "200");
      CPPUNIT_ASSERT(m_caller->received().ends_with("sound"));
    }
    CPPUNIT_ASSERT_EQUAL(1, m_late_copies);
  }

  void late_copy_does_not_reach_a_request_without_an_id() {
    add_replica("i-1", respond_with_late_copy(false));
    node_process& node = start_ready_node();
    std::string request_without_id = request_bytes("/once/1");
    const std::string id = "Fuchsiaspring-Attempt-Id: abc\r\n";
    request_without_id.erase(request_without_id.find(id), id.size());
    // What belongs to a request without an id cannot be told from what belongs to another one, so
    // that neither the requests before it nor those behind it may share its connection.
    int connection = 0;
    for (const std::string& request :
         {request_without_id, request_bytes("/once/1"), request_without_id}) {
      raw_caller& caller = send(node, request);
      run_until(*m_io, [&] {
        return caller.received().ends_with("sound") || caller.received().ends_with("secret") ||
               caller.received().ends_with("}");
      });
      expect_status(caller.received(), "200");
      CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().ends_with("sound"));
      CPPUNIT_ASSERT_EQUAL(connection++, m_replica_requests.back().connection);
    }
    CPPUNIT_ASSERT_EQUAL(0, m_late_copies);
  }

  void http_1_0_replica_is_relayed() {
    for (const std::string headers : {"", "Connection: keep-alive\r\n", "Content-Length: 5\r\n",
                                      "Content-Length: 5\r\nConnection: keep-alive\r\n"}) {
      restart_fixture();
      const bool has_length = headers.find("Length") != std::string::npos;
      const bool is_kept = has_length && headers.find("keep-alive") != std::string::npos;
      add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
        std::string head = unframed_head(r, "200 OK", headers);
        head.replace(0, 8, "HTTP/1.0");
        write_all(s, head + "whole");
        if (!has_length) {
          s.close();
        }
      });
      node_process& node = start_ready_node();
      const std::string response = send_and_receive(node, request_bytes("/once/1"), "whole");
      expect_status(response, "200");
      CPPUNIT_ASSERT(response.find("Content-Length: 5\r\n") != std::string::npos);
      expect_status(send_again(next_request("/once/1"), "whole"), "200");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(headers, is_kept ? 0 : 1, m_replica_requests[1].connection);
    }
  }

  static std::string http_1_0_request(const std::string& path) {
    std::string request = request_bytes(path);
    return request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  }

  // For an HTTP/1.0 caller only the way in which the connection ends tells a whole stream from a
  // part of it.
  void http_1_0_caller_sees_the_end_of_a_complete_stream() {
    add_replica("i-1", write_and_close([](const received_request& r) {
                  return unframed_stream(r, sse_event(1) + sse_event(2));
                }));
    const std::string response = receive_all(start_ready_node(), http_1_0_request("/stream/1"));
    CPPUNIT_ASSERT(response.ends_with("\r\n\r\n" + sse_event(1) + sse_event(2)));
    CPPUNIT_ASSERT(m_caller->end() == boost::asio::error::eof);
  }

  void http_1_0_caller_sees_the_reset_of_a_broken_stream() {
    add_replica("i-1", write_and_reset(
                           [](const received_request& r) {
                             return unframed_stream(r, sse_event(1) + sse_event(2));
                           },
                           false));
    const std::string response = receive_all(start_ready_node_with(config_without_resumption()),
                                             http_1_0_request("/stream/1"));
    CPPUNIT_ASSERT(response.ends_with(sse_event(2)));
    CPPUNIT_ASSERT(m_caller->end() == boost::asio::error::connection_reset);
  }

  void http_1_0_caller_sees_the_reset_of_a_stream_when_the_node_ends() {
    for (const int signal : {SIGTERM, SIGKILL}) {
      restart_fixture();
      add_replica("i-1", [](tcp::socket& s, const received_request& r) {
        write_all(s, unframed_stream(r, sse_event(1)));
      });
      json config = make_config(1);
      config["routes"][2]["timeout-ms"] = 30'000;
      node_process& node = start_ready_node_with(config);
      raw_caller& caller = send(node, http_1_0_request("/stream/1"));
      CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.received().ends_with(sse_event(1)); }));
      node.signal(signal);
      CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.is_closed(); }));
      CPPUNIT_ASSERT_MESSAGE(caller.end().message(),
                             caller.end() == boost::asio::error::connection_reset);
    }
  }

  static void respond_endlessly(tcp::socket& s, const received_request& r) {
    write_all(s, unframed_head(r, "200 OK"));
    write_endlessly(s, std::string(16384, 'x'));
  }

  void endless_body_ends_at_the_deadline() {
    add_replica("i-1", respond_endlessly);
    node_process& node = start_ready_node();
    const auto begin = std::chrono::steady_clock::now();
    expect_broken_off(receive_all(node, request_bytes("/once/1")));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < seconds(3));
  }

  // Guards against a body that collects in the node because the caller does not read it.
  void endless_body_does_not_fill_the_memory() {
    constexpr std::size_t max_growth_kib = 8192;
    add_replica("i-1", respond_endlessly);
    node_process& node = start_ready_node();
    const std::size_t before = node.peak_memory_kib();
    CPPUNIT_ASSERT(before > 0);
    tcp::socket caller(*m_io);
    caller.connect(
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().caller_port));
    write_all(caller, request_bytes("/once/1"));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find("outcome=broken_off") != std::string::npos; }));
    CPPUNIT_ASSERT(node.peak_memory_kib() - before < max_growth_kib);
  }

  void responses_without_a_body_keep_both_connections() {
    for (const std::string status : {"200 OK", "204 No Content", "304 Not Modified"}) {
      restart_fixture();
      add_replica("i-1", [status](tcp::socket& s, const received_request& r) {
        write_all(s, unframed_head(r, status));
      });
      node_process& node = start_ready_node();
      const auto make_request = [&] {
        std::string request = next_request("/once/1");
        return status == "200 OK" ? request.replace(0, 4, "HEAD") : request;
      };
      const std::string response = send_and_receive(node, make_request(), "\r\n\r\n");
      expect_status(response, status.substr(0, 3));
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\n"));
      expect_status(send_again(make_request(), "\r\n\r\n"), status.substr(0, 3));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 0, m_replica_requests[1].connection);
    }
  }

  // Guards against the body of a refusal that a caller takes for the next response, because a
  // response to HEAD has no body.
  void refused_head_request_keeps_the_connection_usable() {
    add_replica("i-1", respond_soundly);
    node_process& node = start_ready_node();
    std::string unroutable = request_bytes("/unknown/1");
    unroutable.replace(0, 4, "HEAD");
    const std::string refusal = send_and_receive(node, unroutable, "\r\n\r\n");
    expect_status(refusal, "404");
    CPPUNIT_ASSERT_MESSAGE(refusal, refusal.ends_with("\r\n\r\n"));
    expect_status(send_again(next_request("/once/1"), "sound"), "200");
  }

  int m_late_copies = 0;
  int m_next_id = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_framing_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
