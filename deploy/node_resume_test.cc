// End-to-end tests of fuchsia-node with streams that break off, and replicas that respond to the
// resumption, or to the first attempt, with something else than a sound stream.
#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

// More than the node buffers of a response.
constexpr std::size_t large_body_bytes = 200'000;
const std::string last_chunk = "0\r\n\r\n";
const std::string secret = "secret";
const std::string event_stream_type = "Content-Type: text/event-stream\r\n";
const std::string json_type = "Content-Type: application/json\r\n";
constexpr int last_id = 4;  // of a whole stream

// A response that does not fit behind the events of a begun stream.
struct unfit_response {
  std::string name;
  std::string status_and_headers;
  std::string body;
  enum class framing { length, chunks, connection } framed_by = framing::length;
  int last_sound_id = 0;  // of the events that it begins with; 0: none
};

std::string head_of(const received_request& request, const unfit_response& response) {
  return "HTTP/1.1 " + response.status_and_headers +
         "Fuchsiaspring-Attempt-Id: " + request.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\n";
}

void write_response(tcp::socket& socket, const received_request& request,
                    const unfit_response& response) {
  const std::string head = head_of(request, response);
  switch (response.framed_by) {
    case unfit_response::framing::length:
      write_all(socket, head + "Content-Length: " + std::to_string(response.body.size()) +
                            "\r\n\r\n" + response.body);
      return;
    case unfit_response::framing::chunks:
      write_all(socket, head + "Transfer-Encoding: chunked\r\n\r\n" +
                            (response.body.empty() ? "" : chunk(response.body)) + last_chunk);
      return;
    case unfit_response::framing::connection:
      write_all(socket, head + "\r\n" + response.body);
      socket.close();
      return;
  }
}

std::string events(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += sse_event(id);
  }
  return text;
}

// Responses that are no event stream of status 200.
std::vector<unfit_response> responses_of_another_kind() {
  using framing = unfit_response::framing;
  const std::string large = secret + std::string(large_body_bytes, 'x');
  std::vector<unfit_response> all;
  for (const std::string status : {"201 Created", "202 Accepted", "206 Partial Content",
                                   "302 Found", "404 Not Found", "500 Error", "502 Bad Gateway"}) {
    for (const framing each : {framing::length, framing::chunks, framing::connection}) {
      all.push_back(
          {status + " short", status + "\r\n" + event_stream_type, secret + "\n\n", each});
      all.push_back({status + " large", status + "\r\n" + json_type, large, each});
    }
    all.push_back({status + " empty", status + "\r\n", "", framing::connection});
  }
  all.push_back({"204", "204 No Content\r\n", "", framing::length});
  for (const std::string type : {"application/json", "text/html; charset=utf-8", "text/plain"}) {
    const std::string headers = "200 OK\r\nContent-Type: " + type + "\r\n";
    for (const framing each : {framing::length, framing::chunks, framing::connection}) {
      all.push_back({type, headers, "{\"error\":\"" + secret + "\"}", each});
      all.push_back({type + " like an event", headers, secret + "\n\n", each});
      all.push_back({type + " with fields", headers, "id: 9\ndata: " + secret + "\n\n", each});
      all.push_back({type + " large", headers, large, each});
    }
  }
  return all;
}

// Event streams that do not go on behind event 2.
std::vector<unfit_response> unfit_streams() {
  using framing = unfit_response::framing;
  std::vector<unfit_response> all;
  const std::string headers = "200 OK\r\n" + event_stream_type;
  const std::string error_event = "event: error\ndata: " + secret + "\n\n";
  for (const framing each : {framing::length, framing::chunks, framing::connection}) {
    all.push_back({"no events", headers, "", each});
    all.push_back({"only a comment", headers, ": note\n\n", each});
    all.push_back({"error event", headers, error_event, each});
    all.push_back({"data without an id", headers, "data: " + secret + "\n\n", each});
    all.push_back({"text without fields", headers, secret + "\n\n", each});
    all.push_back({"text without a type", "200 OK\r\n", secret + "\n\n", each});
    all.push_back({"head of a response", headers,
                   "HTTP/1.1 500 Error\r\nX-Secret: " + secret + "\r\n\r\n" + secret, each});
    all.push_back({"event of the resume point", headers, "id: 2\ndata: " + secret + "\n\n", each});
    all.push_back({"stream from its beginning", headers,
                   "id: 1\ndata: " + secret + "\n\n" + events(2, last_id), each});
    all.push_back({"encoded", headers + "Content-Encoding: gzip\r\n",
                   "id: 3\ndata: " + secret + "\n\n", each});
    all.push_back({"error behind an event", headers, sse_event(3) + error_event, each, 3});
    all.push_back({"text behind an event", headers, sse_event(3) + secret + "\n\n", each, 3});
    all.push_back({"repeated event", headers,
                   sse_event(3) + "id: 3\ndata: " + secret + "\n\n" + sse_event(4), each, 3});
    all.push_back({"event that goes back", headers,
                   sse_event(3) + "id: 2\ndata: " + secret + "\n\n" + sse_event(4), each, 3});
  }
  return all;
}

// Body of a chunked response; what has arrived of it if its last chunk is missing.
std::string decode_chunks(const std::string& response) {
  std::string body;
  std::size_t at = response.find("\r\n\r\n") + 4;
  while (at < response.size()) {
    const std::size_t size = std::stoul(response.substr(at), nullptr, 16);
    at = response.find("\r\n", at) + 2;
    body += response.substr(at, size);
    at += size + 2;
  }
  return body;
}

class node_resume_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_resume_test);
  CPPUNIT_TEST(response_of_another_kind_is_skipped_by_a_resumed_stream);
  CPPUNIT_TEST(unfit_stream_is_skipped_by_a_resumed_stream);
  CPPUNIT_TEST(response_of_another_kind_breaks_a_stream_off_at_the_last_attempt);
  CPPUNIT_TEST(unfit_stream_breaks_a_stream_off_at_the_last_attempt);
  CPPUNIT_TEST(http_1_0_caller_sees_the_reset_of_a_stream_with_an_unfit_end);
  CPPUNIT_TEST(http_1_0_caller_sees_the_reset_of_a_response_that_breaks_off);
  CPPUNIT_TEST(response_of_another_kind_to_the_first_attempt_is_whole_or_replaced);
  CPPUNIT_TEST(encoded_success_is_not_believed);
  CPPUNIT_TEST(error_within_a_stream_is_not_passed_on);
  CPPUNIT_TEST(stream_without_ids_is_passed_on_unchanged);
  CPPUNIT_TEST(stream_with_comments_and_an_end_marker_is_passed_on_unchanged);
  CPPUNIT_TEST(stream_without_a_type_is_passed_on_as_it_arrives);
  CPPUNIT_TEST(empty_stream_of_the_first_attempt_is_complete);
  CPPUNIT_TEST_SUITE_END();

  using responder = std::function<void(tcp::socket&, const received_request&)>;

  // Adds a replica for each responder. The first request gets the first one, whichever replica
  // receives it, and so on.
  void add_replicas(const std::vector<responder>& responders) {
    for (std::size_t i = 0; i < responders.size(); ++i) {
      add_replica("i-" + std::to_string(i),
                  [this, responders](tcp::socket& s, const received_request& r) {
                    responders.at(m_replica_requests.size() - 1)(s, r);
                  });
    }
  }

  static void begin_and_break_off(tcp::socket& s, const received_request& r) {
    write_all(s, stream_response_head(r) + chunk(events(1, 2)));
    s.close();
  }

  // Responds with the events that are missing.
  static void respond_soundly(tcp::socket& s, const received_request& r) {
    const std::string id = r.header("Last-Event-Id");
    const int first = id.empty() ? 1 : std::stoi(id) + 1;
    write_all(s, stream_response_head(r) + chunk(events(first, last_id)) + last_chunk);
  }

  static responder respond_with(const unfit_response& response) {
    return
        [response](tcp::socket& s, const received_request& r) { write_response(s, r, response); };
  }

  static json config_with_attempts(std::size_t attempts) {
    json config = make_config(1);
    config["routes"][2]["max-attempts"] = attempts;
    return config;
  }

  // Runs one request with a new node and returns what the caller received.
  std::string exchange(const std::vector<responder>& responders,
                       const std::string& request = request_bytes("/stream/1")) {
    tearDown();
    setUp();
    add_replicas(responders);
    node_process& node = start_ready_node_with(config_with_attempts(responders.size()));
    raw_caller& caller = send(node, request);
    run_until(*m_io, [&] {
      const std::string& received = caller.received();
      return caller.is_closed() || received.ends_with(last_chunk) || has_whole_body(received);
    });
    return caller.received();
  }

  static bool has_whole_body(const std::string& received) {
    const std::string name = "Content-Length: ";
    const std::size_t length = received.find(name);
    const std::size_t end = received.find("\r\n\r\n");
    return length != std::string::npos && end != std::string::npos &&
           received.size() == end + 4 + std::stoul(received.substr(length + name.size()));
  }

  static std::string describe(const unfit_response& response) {
    return response.name + ", framing " + std::to_string(static_cast<int>(response.framed_by));
  }

  // The stream is whole, as if its second attempt had not been made.
  void expect_skipped(const std::vector<unfit_response>& responses) {
    for (const unfit_response& each : responses) {
      const std::string received =
          exchange({begin_and_break_off, respond_with(each), respond_soundly});
      CPPUNIT_ASSERT_MESSAGE(describe(each) + received.substr(0, 1000),
                             received.ends_with(last_chunk));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(each), events(1, last_id), decode_chunks(received));
      const std::string resumed_from = std::to_string(std::max(2, each.last_sound_id));
      CPPUNIT_ASSERT_EQUAL(resumed_from, m_replica_requests.at(2).header("Last-Event-Id"));
    }
  }

  // The stream ends behind its last sound event, and not as if it were whole.
  void expect_broken_off(const std::vector<unfit_response>& responses) {
    for (const unfit_response& each : responses) {
      const std::string received = exchange({begin_and_break_off, respond_with(each)});
      CPPUNIT_ASSERT_MESSAGE(describe(each), m_caller->is_closed());
      CPPUNIT_ASSERT_MESSAGE(describe(each) + received.substr(0, 1000),
                             !received.ends_with(last_chunk));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(each), events(1, std::max(2, each.last_sound_id)),
                                   decode_chunks(received));
    }
  }

  // The following tests guard against the text or the head of a failure in the middle of a stream,
  // events that arrive twice, and a stream that looks whole although nothing ended it.
  void response_of_another_kind_is_skipped_by_a_resumed_stream() {
    expect_skipped(responses_of_another_kind());
  }

  void unfit_stream_is_skipped_by_a_resumed_stream() { expect_skipped(unfit_streams()); }

  void response_of_another_kind_breaks_a_stream_off_at_the_last_attempt() {
    expect_broken_off(responses_of_another_kind());
  }

  void unfit_stream_breaks_a_stream_off_at_the_last_attempt() {
    expect_broken_off(unfit_streams());
  }

  void http_1_0_caller_sees_the_reset_of_a_stream_with_an_unfit_end() {
    std::string request = request_bytes("/stream/1");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    for (const unfit_response& each : unfit_streams()) {
      const std::string received = exchange({begin_and_break_off, respond_with(each)}, request);
      CPPUNIT_ASSERT_MESSAGE(
          describe(each),
          received.ends_with("\r\n\r\n" + events(1, std::max(2, each.last_sound_id))));
      CPPUNIT_ASSERT_MESSAGE(describe(each),
                             m_caller->end() == boost::asio::error::connection_reset);
    }
  }

  // Only the way in which the connection ends tells an HTTP/1.0 caller that a part is missing.
  void http_1_0_caller_sees_the_reset_of_a_response_that_breaks_off() {
    const std::string length = "Content-Length: " + std::to_string(2 * large_body_bytes) + "\r\n";
    const std::string part(large_body_bytes, 'x');
    for (const std::string& framing :
         {length + "\r\n" + part, "Transfer-Encoding: chunked\r\n\r\n" + chunk(part)}) {
      for (const std::string path : {"/once/1", "/safe/1", "/stream/1"}) {
        std::string request = request_bytes(path);
        request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
        const std::string received =
            exchange({[&](tcp::socket& s, const received_request& r) {
                       write_all(s, head_of(r, {"", "200 OK\r\n" + json_type, ""}) + framing);
                       s.close();
                     }},
                     request);
        CPPUNIT_ASSERT_MESSAGE(path, !received.starts_with("HTTP/1.1 502"));
        CPPUNIT_ASSERT_MESSAGE(path, m_caller->end() == boost::asio::error::connection_reset);
      }
    }
  }

  // Guards against a failure that is cut off, or that passes for a stream.
  void response_of_another_kind_to_the_first_attempt_is_whole_or_replaced() {
    for (const unfit_response& each : responses_of_another_kind()) {
      const std::string received = exchange({respond_with(each), respond_soundly});
      const std::string head = received.substr(0, received.find("\r\n\r\n") + 4);
      const std::string status = each.status_and_headers.substr(0, 3);
      const std::string message = describe(each) + ": " + received.substr(0, 1000);
      if (received.ends_with(last_chunk) && m_replica_requests.size() == 2) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, events(1, last_id), decode_chunks(received));
        continue;
      }
      expect_status(received, status);
      const std::string body =
          received.ends_with(last_chunk) ? decode_chunks(received) : received.substr(head.size());
      CPPUNIT_ASSERT_MESSAGE(message, body == each.body);
    }
  }

  // Callers ask for bodies without an encoding, so that an encoded one is not the replica's.
  void encoded_success_is_not_believed() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", secret, "Content-Encoding: gzip\r\n"));
    });
    node_process& node = start_ready_node();
    for (const std::string path : {"/once/1", "/stream/1"}) {
      expect_status(send_and_receive(node, request_bytes(path), "}"), "502");
    }
  }

  void error_within_a_stream_is_not_passed_on() {
    const unfit_response failing{"error behind events", "200 OK\r\n" + event_stream_type,
                                 events(1, 3) + "event: error\ndata: " + secret + "\n\n",
                                 unfit_response::framing::chunks};
    const std::string received = exchange({respond_with(failing), respond_soundly});
    CPPUNIT_ASSERT(received.ends_with(last_chunk));
    CPPUNIT_ASSERT_EQUAL(events(1, last_id), decode_chunks(received));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), m_replica_requests.at(1).header("Last-Event-Id"));
  }

  // The following tests guard against sound streams that the checks above break off.
  void expect_unchanged(const std::string& type, const std::string& body) {
    for (const auto framing : {unfit_response::framing::length, unfit_response::framing::chunks,
                               unfit_response::framing::connection}) {
      const std::string received =
          exchange({respond_with({"sound", "200 OK\r\n" + type, body, framing})});
      CPPUNIT_ASSERT_MESSAGE(received, received.ends_with(last_chunk));
      CPPUNIT_ASSERT_EQUAL(body, decode_chunks(received));
    }
  }

  void stream_without_ids_is_passed_on_unchanged() {
    expect_unchanged(event_stream_type,
                     "event: begin\ndata: a\n\ndata: a\n\n: note\n\ndata: [DONE]\n\n");
  }

  void stream_with_comments_and_an_end_marker_is_passed_on_unchanged() {
    expect_unchanged("Content-Type: Text/Event-Stream; charset=utf-8\r\n",
                     ": note\n\n" + events(1, 2) + ": note\n\nretry: 10\n\n" +
                         "weight-versions: 3\nid: 7\ndata: x\n\n\r\n\r\ndata: [DONE]\n\n");
  }

  // Replicas need not state the type of a stream.
  void stream_without_a_type_is_passed_on_as_it_arrives() {
    expect_unchanged("", events(1, last_id));
    tearDown();
    setUp();
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, head_of(r, {"", "200 OK\r\n", ""}) + "\r\n" + sse_event(1));
    });
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return caller.received().find(sse_event(1)) != std::string::npos; }));
  }

  // A caller that resumes a stream behind its last event learns that nothing is missing.
  void empty_stream_of_the_first_attempt_is_complete() {
    const std::string received = exchange({respond_with(
        {"empty", "200 OK\r\n" + event_stream_type, "", unfit_response::framing::chunks})});
    expect_status(received, "200");
    CPPUNIT_ASSERT(received.ends_with("\r\n\r\n" + last_chunk));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_resume_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
