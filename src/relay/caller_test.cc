#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::relay {
namespace {

using std::chrono::milliseconds;
using testing::raw_caller;
using testing::run_until;

const std::string simple_request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

class caller_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_test);
  CPPUNIT_TEST(handler_is_called_after_the_body_is_complete);
  CPPUNIT_TEST(non_http_bytes_are_rejected);
  CPPUNIT_TEST(ambiguous_framing_is_rejected);
  CPPUNIT_TEST(malformed_chunks_are_rejected);
  CPPUNIT_TEST(oversized_headers_and_bodies_are_rejected);
  CPPUNIT_TEST(incomplete_head_times_out);
  CPPUNIT_TEST(idle_connection_is_closed);
  CPPUNIT_TEST(pipelined_requests_get_responses_in_order);
  CPPUNIT_TEST(disconnect_is_reported_while_the_request_is_handled);
  CPPUNIT_TEST(aborted_stream_is_incomplete_for_the_caller);
  CPPUNIT_TEST(ended_stream_is_complete_and_keeps_the_connection);
  CPPUNIT_TEST(draining_listener_closes_connections_after_their_response);
  CPPUNIT_TEST(stopped_listener_answers_a_request_on_a_connection_not_accepted_yet);
  CPPUNIT_TEST(stopped_listener_answers_a_request_that_has_arrived_on_an_idle_connection);
  CPPUNIT_TEST(aborted_response_that_ends_with_the_connection_is_reset);
  CPPUNIT_TEST(response_that_is_not_read_in_time_is_reset);
  CPPUNIT_TEST(response_to_head_has_no_body);
  CPPUNIT_TEST(stream_in_response_to_head_has_no_chunks);
  CPPUNIT_TEST(status_without_a_body_has_no_length);
  CPPUNIT_TEST(endless_chunk_header_of_a_caller_is_rejected);
  CPPUNIT_TEST(closed_connections_are_reported_with_their_reason);
  CPPUNIT_TEST_SUITE_END();

  struct fixture {
    explicit fixture(caller_limits limits = {})
        : listener(
              io, {boost::asio::ip::address_v4::loopback(), 0}, limits, 100,
              [this](caller_connection& caller, request message) {
                requests.push_back(std::move(message));
                callers.push_back(caller.shared_from_this());
                if (responds_immediately) {
                  caller.respond({{200, {}}, "ok"});
                }
              },
              [this](input_fault fault) { faults.push_back(fault); }) {
      listener.set_close_handler([this](const closed_connection& each) { closed.push_back(each); });
      listener.start();
    }

    boost::asio::io_context io;
    bool responds_immediately = true;
    std::vector<request> requests;
    std::vector<std::shared_ptr<caller_connection>> callers;
    std::vector<input_fault> faults;
    std::vector<closed_connection> closed;
    caller_listener listener;
  };

  static void expect_rejection(const std::string& input, const std::string& status,
                               caller_limits limits = {}) {
    fixture f(limits);
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(input);
    CPPUNIT_ASSERT_MESSAGE(input, run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, caller.received().substr(0, 12));
    CPPUNIT_ASSERT(f.requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.faults.size());
  }

  void handler_is_called_after_the_body_is_complete() {
    fixture f;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(
        "POST /a?b=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    run_until(
        f.io, [] { return false; }, milliseconds(20));
    CPPUNIT_ASSERT(f.requests.empty());
    caller.write("2\r\nde\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(
        run_until(f.io, [&] { return caller.received().find("ok") != std::string::npos; }));
    CPPUNIT_ASSERT_EQUAL(std::string("/a?b=1"), f.requests[0].target);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), f.requests[0].body);
  }

  // Guards against a connection that stays open without a response after bytes of another protocol.
  void non_http_bytes_are_rejected() {
    expect_rejection(std::string("\x00\xff\x16\x03\x01garbage\r\n\r\n", 16), "400");
    expect_rejection("GET\r\n\r\n", "400");
    expect_rejection("GET /a HTTP/1.1\r\nBad Name: x\r\n\r\n", "400");
  }

  // Guards against request smuggling, a second request hidden in the body of the first.
  void ambiguous_framing_is_rejected() {
    expect_rejection(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        "400");
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                     "400");
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length: 4x\r\n\r\nabcd", "400");
  }

  void malformed_chunks_are_rejected() {
    expect_rejection("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "400");
    expect_rejection("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n",
                     "400");
  }

  void oversized_headers_and_bodies_are_rejected() {
    const std::string large(20000, 'x');
    expect_rejection("GET /a HTTP/1.1\r\nX: " + large + "\r\n\r\n", "431");
    caller_limits small;
    small.body_bytes = 10;
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n", "413", small);
  }

  void incomplete_head_times_out() {
    caller_limits limits;
    limits.header_timeout = milliseconds(50);
    expect_rejection("GET /a HTTP/1.1\r\nHo", "408", limits);
  }

  void idle_connection_is_closed() {
    caller_limits limits;
    limits.idle_timeout = milliseconds(50);
    fixture f(limits);
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT(caller.received().find("ok") != std::string::npos);
  }

  void pipelined_requests_get_responses_in_order() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 1; }));
    run_until(
        f.io, [] { return false; }, milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.requests.size());
    f.callers[0]->respond({{200, {}}, "first"});
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), f.requests[1].target);
  }

  // Guards against upstream work that continues for a caller that has disconnected.
  void disconnect_is_reported_while_the_request_is_handled() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    bool is_disconnected = false;
    f.callers[0]->set_disconnect_handler([&] { is_disconnected = true; });
    caller.close();
    CPPUNIT_ASSERT(run_until(
        f.io, [&] { return is_disconnected; }, milliseconds(400)));
  }

  // Guards against a truncated response that the caller takes for a complete one.
  void aborted_stream_is_incomplete_for_the_caller() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    f.callers[0]->begin_stream({200, {}});
    f.callers[0]->send("part");
    CPPUNIT_ASSERT(
        run_until(f.io, [&] { return caller.received().find("part") != std::string::npos; }));
    f.callers[0]->abort();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT(!caller.received().ends_with("0\r\n\r\n"));
  }

  void ended_stream_is_complete_and_keeps_the_connection() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    f.callers[0]->begin_stream({200, {}});
    f.callers[0]->send("part");
    f.callers[0]->end_stream();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.received().ends_with("0\r\n\r\n"); }));
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 2; }));
  }

  // The following two tests guard against a planned stop that resets a connection although a whole
  // request has arrived on it.
  void stopped_listener_answers_a_request_on_a_connection_not_accepted_yet() {
    fixture f;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    f.listener.stop_accepting();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), caller.received().substr(0, 12));
    f.callers.clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.listener.open_connections());
  }

  void stopped_listener_answers_a_request_that_has_arrived_on_an_idle_connection() {
    fixture f;
    raw_caller caller(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.listener.open_connections() == 1; }));
    caller.write(simple_request);
    f.listener.stop_accepting();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), caller.received().substr(0, 12));
  }

  // Guards against a broken-off response that looks complete to an HTTP/1.0 caller, for which the
  // end of the connection is the end of the response.
  void aborted_response_that_ends_with_the_connection_is_reset() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write("GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    f.callers[0]->begin_stream({200, {}});
    f.callers[0]->send("part");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.received().ends_with("part"); }));
    f.callers[0]->abort();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT(caller.end() == boost::asio::error::connection_reset);
  }

  // Guards against a part of a response that looks complete because the caller read too slowly.
  void response_that_is_not_read_in_time_is_reset() {
    constexpr std::size_t body_bytes = 64U << 20U;  // more than is read until the timeout
    fixture f;
    f.responds_immediately = false;
    testing::tcp::socket caller(f.io);
    caller.connect(f.listener.local_endpoint());
    testing::write_all(caller, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    f.callers[0]->begin_stream({200, {}});
    f.callers[0]->send(std::string(body_bytes, 'x'));
    f.callers[0]->end_stream();
    std::string received;
    std::array<char, 1024> piece{};
    // A caller that reads nothing at all would be given up by the kernel before the timeout.
    const auto read_slowly = [&] {
      received.append(piece.data(), caller.read_some(boost::asio::buffer(piece)));
      return f.closed.size() == 1;
    };
    CPPUNIT_ASSERT(run_until(f.io, read_slowly, std::chrono::seconds(12)));
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::write_timeout);
    boost::system::error_code end;
    boost::asio::read(caller, boost::asio::dynamic_buffer(received), end);
    CPPUNIT_ASSERT(received.size() < body_bytes);
    CPPUNIT_ASSERT_MESSAGE(end.message(), end == boost::asio::error::connection_reset);
  }

  // The following two tests guard against the body of a response to HEAD that the caller takes for
  // the beginning of the next response.
  void response_to_head_has_no_body() {
    fixture f;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.received().ends_with("ok"); }));
    const std::size_t end_of_first = caller.received().find("\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(caller.received(), end_of_first + 4,
                                 caller.received().find("HTTP/1.1", 1));
    CPPUNIT_ASSERT(caller.received().find("Content-Length: 2\r\n") < end_of_first);
  }

  void stream_in_response_to_head_has_no_chunks() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    f.callers[0]->begin_stream({200, {}});
    f.callers[0]->send("part");
    f.callers[0]->end_stream();
    f.responds_immediately = true;
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.received().ends_with("ok"); }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(caller.received(), caller.received().find("\r\n\r\n") + 4,
                                 caller.received().find("HTTP/1.1", 1));
  }

  // Guards against a cache that takes the stored response for an empty one, and against callers
  // that reject a 204 with a length.
  void status_without_a_body_has_no_length() {
    for (const unsigned status : {204U, 304U}) {
      fixture f;
      f.responds_immediately = false;
      raw_caller caller(f.io, f.listener.local_endpoint());
      caller.write(simple_request);
      CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
      f.callers[0]->respond({{status, {}}, ""});
      CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.received().ends_with("\r\n\r\n"); }));
      CPPUNIT_ASSERT_EQUAL(std::string::npos, caller.received().find("Content-Length"));
      caller.write(simple_request);
      CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 2; }));
    }
  }

  // Guards against a caller that fills the memory of the router with bytes outside the body limit.
  void endless_chunk_header_of_a_caller_is_rejected() {
    expect_rejection("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=" +
                         std::string(300'000, 'x'),
                     "400", {.header_timeout = std::chrono::seconds(60)});
  }

  // Guards against requests that are lost without a trace in the log.
  void closed_connections_are_reported_with_their_reason() {
    caller_limits limits;
    limits.idle_timeout = milliseconds(50);
    fixture f(limits);
    raw_caller idle(f.io, f.listener.local_endpoint());
    idle.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return idle.is_closed(); }));
    f.responds_immediately = false;
    raw_caller aborted(f.io, f.listener.local_endpoint());
    aborted.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 2; }));
    f.callers[1]->abort();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::idle_timeout);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.closed[0].responses);
    CPPUNIT_ASSERT(f.closed[0].idle_time >= milliseconds(50));
    CPPUNIT_ASSERT(f.closed[1].reason == close_reason::aborted);
  }

  // Guards against a drain that aborts running requests or leaves connections open.
  void draining_listener_closes_connections_after_their_response() {
    fixture f;
    f.responds_immediately = false;
    raw_caller busy(f.io, f.listener.local_endpoint());
    raw_caller idle(f.io, f.listener.local_endpoint());
    busy.write(simple_request);
    CPPUNIT_ASSERT(run_until(
        f.io, [&] { return f.callers.size() == 1 && f.listener.open_connections() == 2; }));
    f.listener.begin_drain();
    f.listener.stop_accepting();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return idle.is_closed(); }));
    CPPUNIT_ASSERT(!busy.is_closed());
    f.callers[0]->respond({{200, {}}, "last"});
    CPPUNIT_ASSERT(run_until(f.io, [&] { return busy.is_closed(); }));
    CPPUNIT_ASSERT(busy.received().find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(busy.received().ends_with("last"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_test);

}  // namespace
}  // namespace fuchsiaspring::relay
