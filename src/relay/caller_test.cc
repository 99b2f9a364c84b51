#include <utility>

#include <cppunit/extensions/HelperMacros.h>

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
  CPPUNIT_TEST(request_is_handed_over_whole);
  CPPUNIT_TEST(bytes_that_are_no_http_are_refused_at_once);
  CPPUNIT_TEST(ambiguous_framing_is_refused);
  CPPUNIT_TEST(broken_chunks_are_refused);
  CPPUNIT_TEST(large_headers_and_bodies_are_refused);
  CPPUNIT_TEST(slow_head_is_refused);
  CPPUNIT_TEST(idle_connection_is_closed);
  CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
  CPPUNIT_TEST(caller_that_leaves_is_noticed_while_its_request_runs);
  CPPUNIT_TEST(aborted_stream_does_not_look_complete);
  CPPUNIT_TEST(ended_stream_is_complete_and_the_connection_is_kept);
  CPPUNIT_TEST(draining_listener_ends_connections_after_their_answer);
  CPPUNIT_TEST_SUITE_END();

  struct fixture {
    explicit fixture(caller_limits limits = {})
        : listener(
              io, {boost::asio::ip::address_v4::loopback(), 0}, limits, 100,
              [this](caller_connection& caller, request message) {
                requests.push_back(std::move(message));
                callers.push_back(caller.shared_from_this());
                if (answers_at_once) {
                  caller.respond({{200, {}}, "ok"});
                }
              },
              [this](input_fault fault) { faults.push_back(fault); }) {
      listener.start();
    }

    boost::asio::io_context io;
    bool answers_at_once = true;
    std::vector<request> requests;
    std::vector<std::shared_ptr<caller_connection>> callers;
    std::vector<input_fault> faults;
    caller_listener listener;
  };

  static void expect_refusal(const std::string& input, const std::string& status,
                             caller_limits limits = {}) {
    fixture f(limits);
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(input);
    CPPUNIT_ASSERT_MESSAGE(input, run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, caller.received().substr(0, 12));
    CPPUNIT_ASSERT(f.requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.faults.size());
  }

  void request_is_handed_over_whole() {
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

  // Guards against a connection that stays open and silent on bytes of another protocol.
  void bytes_that_are_no_http_are_refused_at_once() {
    expect_refusal(std::string("\x00\xff\x16\x03\x01garbage\r\n\r\n", 16), "400");
    expect_refusal("GET\r\n\r\n", "400");
    expect_refusal("GET /a HTTP/1.1\r\nBad Name: x\r\n\r\n", "400");
  }

  // Guards against a second request that is smuggled inside the body of the first.
  void ambiguous_framing_is_refused() {
    expect_refusal(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        "400");
    expect_refusal("POST /a HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                   "400");
    expect_refusal("POST /a HTTP/1.1\r\nContent-Length: 4x\r\n\r\nabcd", "400");
  }

  void broken_chunks_are_refused() {
    expect_refusal("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "400");
    expect_refusal("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n", "400");
  }

  void large_headers_and_bodies_are_refused() {
    const std::string large(20000, 'x');
    expect_refusal("GET /a HTTP/1.1\r\nX: " + large + "\r\n\r\n", "431");
    caller_limits small;
    small.body_bytes = 10;
    expect_refusal("POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n", "413", small);
  }

  void slow_head_is_refused() {
    caller_limits limits;
    limits.header_timeout = milliseconds(50);
    expect_refusal("GET /a HTTP/1.1\r\nHo", "408", limits);
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

  void pipelined_requests_are_answered_in_order() {
    fixture f;
    f.answers_at_once = false;
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

  // Guards against upstream work that goes on for a caller who has left.
  void caller_that_leaves_is_noticed_while_its_request_runs() {
    fixture f;
    f.answers_at_once = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    bool is_gone = false;
    f.callers[0]->set_gone_handler([&] { is_gone = true; });
    caller.close();
    CPPUNIT_ASSERT(run_until(
        f.io, [&] { return is_gone; }, milliseconds(400)));
  }

  // Guards against half an answer that a caller takes for a whole one.
  void aborted_stream_does_not_look_complete() {
    fixture f;
    f.answers_at_once = false;
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

  void ended_stream_is_complete_and_the_connection_is_kept() {
    fixture f;
    f.answers_at_once = false;
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

  // Guards against a planned stop that cuts requests, and against connections that outlive it.
  void draining_listener_ends_connections_after_their_answer() {
    fixture f;
    f.answers_at_once = false;
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
