#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
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
  CPPUNIT_TEST(caller_that_shuts_down_its_sending_side_gets_its_responses);
  CPPUNIT_TEST(response_in_writing_reaches_a_caller_that_shuts_down_its_sending_side);
  CPPUNIT_TEST(caller_that_leaves_after_shutting_down_its_sending_side_is_noticed);
  CPPUNIT_TEST(end_of_input_counts_as_disconnect_where_no_interim_response_is_possible);
  CPPUNIT_TEST(aborted_stream_is_incomplete_for_the_caller);
  CPPUNIT_TEST(ended_stream_is_complete_and_keeps_the_connection);
  CPPUNIT_TEST(draining_listener_closes_connections_after_their_response);
  CPPUNIT_TEST(stopped_listener_waits_for_the_first_request_of_a_new_connection);
  CPPUNIT_TEST(draining_listener_answers_pipelined_requests);
  CPPUNIT_TEST(stopped_listener_answers_a_request_on_a_connection_not_accepted_yet);
  CPPUNIT_TEST(stopped_listener_answers_a_request_that_has_arrived_on_an_idle_connection);
  CPPUNIT_TEST(aborted_response_that_ends_with_the_connection_is_reset);
  CPPUNIT_TEST(response_that_is_not_read_in_time_is_reset);
  CPPUNIT_TEST(finished_response_that_is_not_taken_when_the_process_ends_looks_incomplete);
  CPPUNIT_TEST(response_to_head_has_no_body);
  CPPUNIT_TEST(stream_in_response_to_head_has_no_chunks);
  CPPUNIT_TEST(status_without_a_body_has_no_length);
  CPPUNIT_TEST(endless_chunk_header_of_a_caller_is_rejected);
  CPPUNIT_TEST(closed_connections_are_reported_with_their_reason);
  CPPUNIT_TEST(rejection_of_a_second_request_reaches_the_caller);
  CPPUNIT_TEST(header_that_the_parser_cannot_hold_is_rejected);
  CPPUNIT_TEST(raised_idle_timeout_keeps_a_connection_that_is_idle_already);
  CPPUNIT_TEST(raised_idle_timeout_that_is_learned_within_the_grace_period_keeps_the_connection);
  CPPUNIT_TEST(lowered_idle_timeout_keeps_a_connection_that_became_idle_before);
  CPPUNIT_TEST(withdrawn_idle_timeout_applies_only_to_connections_that_were_idle_under_it);
  CPPUNIT_TEST(idle_connection_is_closed_after_the_grace_period);
  CPPUNIT_TEST(request_that_arrives_while_the_loop_is_busy_outlives_the_idle_timeout);
  CPPUNIT_TEST(full_listener_closes_the_connection_that_has_been_idle_longest);
  CPPUNIT_TEST(full_listener_keeps_idle_connections_on_which_a_request_has_arrived);
  CPPUNIT_TEST(full_listener_without_idle_connections_refuses_with_a_response);
  CPPUNIT_TEST(refusal_reaches_a_caller_whose_request_has_arrived);
  CPPUNIT_TEST(refusal_is_not_destroyed_by_a_request_that_arrives_after_it);
  CPPUNIT_TEST(refused_connections_are_closed_in_the_end_and_limited_in_number);
  CPPUNIT_TEST(closed_connections_are_no_longer_candidates_for_eviction);
  CPPUNIT_TEST(head_that_is_complete_when_a_busy_loop_reaches_its_timeout_is_answered);
  CPPUNIT_TEST(large_head_that_has_arrived_when_its_timeout_is_reached_is_answered);
  CPPUNIT_TEST(body_that_is_complete_when_a_busy_loop_reaches_its_timeout_is_answered);
  CPPUNIT_TEST(slow_head_is_rejected_although_bytes_arrive_all_the_time);
  CPPUNIT_TEST(stalled_body_is_rejected);
  CPPUNIT_TEST(slow_head_after_the_idle_timeout_is_rejected);
  CPPUNIT_TEST_SUITE_END();

  struct fixture {
    explicit fixture(caller_limits limits = {}, std::size_t max_connections = 100)
        : listener(
              io, {boost::asio::ip::address_v4::loopback(), 0}, limits, max_connections,
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
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), f.requests[0].body.text());
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

  // `received` without the interim responses at its beginning.
  static std::string without_interim_responses(std::string received) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    while (received.starts_with(interim)) {
      received.erase(0, interim.size());
    }
    return received;
  }

  // The following two tests guard against responses that are lost because their callers have
  // nothing more to send.
  void caller_that_shuts_down_its_sending_side_gets_its_responses() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request + simple_request);
    caller.shut_down_sending();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    bool is_disconnected = false;
    f.callers[0]->set_disconnect_handler([&] { is_disconnected = true; });
    run_for(f, milliseconds(700));
    CPPUNIT_ASSERT(!is_disconnected);
    f.callers[0]->respond({{200, {}}, "first"});
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 2; }));
    const std::string first = without_interim_responses(caller.received());
    CPPUNIT_ASSERT_MESSAGE(first, first.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_MESSAGE(first, first.find("\r\n\r\nfirst") != std::string::npos);
    run_for(f, milliseconds(50));
    f.callers[1]->begin_stream({200, {}});
    f.callers[1]->send("second");
    run_for(f, milliseconds(300));
    f.callers[1]->end_stream();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_MESSAGE(caller.received(),
                           caller.received().ends_with("\r\n\r\n6\r\nsecond\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT(caller.end() == boost::asio::error::eof);
  }

  void response_in_writing_reaches_a_caller_that_shuts_down_its_sending_side() {
    constexpr std::size_t body_bytes = 16U << 20U;  // more than the buffers of the sockets hold
    fixture f;
    f.responds_immediately = false;
    testing::tcp::socket caller(f.io);
    caller.connect(f.listener.local_endpoint());
    testing::write_all(caller, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    f.callers[0]->respond({{200, {}}, std::string(body_bytes, 'x')});
    run_for(f, milliseconds(20));
    caller.shutdown(testing::tcp::socket::shutdown_send);
    run_for(f, milliseconds(20));
    std::string received;
    bool is_done = false;
    boost::asio::async_read(caller, boost::asio::dynamic_buffer(received),
                            [&](const boost::system::error_code&, std::size_t) { is_done = true; });
    CPPUNIT_ASSERT(run_until(f.io, [&] { return is_done; }));
    CPPUNIT_ASSERT_EQUAL(body_bytes, received.size() - received.find("\r\n\r\n") - 4);
  }

  // Guards against work that goes on for a caller that closes its connection in two steps.
  void caller_that_leaves_after_shutting_down_its_sending_side_is_noticed() {
    fixture f;
    f.responds_immediately = false;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    caller.shut_down_sending();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    bool is_disconnected = false;
    f.callers[0]->set_disconnect_handler([&] { is_disconnected = true; });
    run_for(f, milliseconds(400));
    CPPUNIT_ASSERT(!is_disconnected);
    caller.close();
    CPPUNIT_ASSERT(run_until(
        f.io, [&] { return is_disconnected; }, milliseconds(400)));
    f.callers.clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.listener.open_connections());
  }

  // Guards against work that goes on for a caller that has left, and an interim response that a
  // caller of HTTP/1.0 takes for its response.
  void end_of_input_counts_as_disconnect_where_no_interim_response_is_possible() {
    for (const bool is_stream : {false, true}) {
      fixture f;
      f.responds_immediately = false;
      raw_caller caller(f.io, f.listener.local_endpoint());
      caller.write(is_stream ? simple_request : "GET /a HTTP/1.0\r\n\r\n");
      CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
      bool is_disconnected = false;
      f.callers[0]->set_disconnect_handler([&] { is_disconnected = true; });
      if (is_stream) {
        f.callers[0]->begin_stream({200, {}});
      }
      caller.shut_down_sending();
      CPPUNIT_ASSERT(run_until(
          f.io, [&] { return is_disconnected; }, milliseconds(400)));
      CPPUNIT_ASSERT(caller.received().find("100 Continue") == std::string::npos);
    }
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
    boost::system::error_code end;
    const auto read_slowly = [&] {
      received.append(piece.data(), caller.read_some(boost::asio::buffer(piece), end));
      return end || f.closed.size() == 1;
    };
    CPPUNIT_ASSERT(run_until(f.io, read_slowly, std::chrono::seconds(12)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(end.message(), std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::write_timeout);
    if (!end) {
      boost::asio::read(caller, boost::asio::dynamic_buffer(received), end);
    }
    CPPUNIT_ASSERT(received.size() < body_bytes);
    CPPUNIT_ASSERT_MESSAGE(end.message(), end == boost::asio::error::connection_reset);
  }

  // Guards against a part of a response that looks complete because the process has ended before
  // its caller took the rest.
  void finished_response_that_is_not_taken_when_the_process_ends_looks_incomplete() {
    constexpr std::size_t body_bytes = 64U << 20U;  // more than the buffers of the sockets hold
    for (const std::string version : {"HTTP/1.0", "HTTP/1.1"}) {
      auto f = std::make_unique<fixture>();
      f->responds_immediately = false;
      boost::asio::io_context io_of_caller;
      testing::tcp::socket caller(io_of_caller);
      caller.connect(f->listener.local_endpoint());
      testing::write_all(caller, "GET /a " + version + "\r\n\r\n");
      CPPUNIT_ASSERT(run_until(f->io, [&] { return f->callers.size() == 1; }));
      f->callers[0]->begin_stream({200, {}});
      f->callers[0]->send(std::string(body_bytes, 'x'));
      f->callers[0]->end_stream();
      run_for(*f, milliseconds(50));
      f.reset();
      std::string received;
      boost::system::error_code end;
      boost::asio::read(caller, boost::asio::dynamic_buffer(received), end);
      CPPUNIT_ASSERT(received.size() < body_bytes);
      CPPUNIT_ASSERT(!received.ends_with("0\r\n\r\n"));
      CPPUNIT_ASSERT_MESSAGE(end.message(),
                             version == "HTTP/1.1" || end == boost::asio::error::connection_reset);
    }
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

  // Guards against a request on a reused connection that ends without an answer when it is
  // rejected, for example under lower limits of a new configuration.
  void rejection_of_a_second_request_reaches_the_caller() {
    expect_rejection_of_second_request(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", "413");
    expect_rejection_of_second_request(
        "GET /a HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", "431");
    expect_rejection_of_second_request("GET /a HTTP/1.1\r\nHo", "408");
    expect_rejection_of_second_request("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab",
                                       "408");
    expect_rejection_of_second_request("GET\r\n\r\n", "400");
  }

  static void expect_rejection_of_second_request(const std::string& input,
                                                 const std::string& status) {
    caller_limits limits;
    limits.body_bytes = 1000;
    limits.idle_timeout = milliseconds(100);
    limits.header_timeout = milliseconds(100);
    fixture f(limits);
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.received().ends_with("ok"); }));
    const std::size_t first_response_bytes = caller.received().size();
    caller.write(input);
    CPPUNIT_ASSERT_MESSAGE(input, run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, caller.received().substr(first_response_bytes, 12));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.faults.size());
  }

  // Guards against an exception in the event loop: the parser throws for a value of 64 KiB or more.
  void header_that_the_parser_cannot_hold_is_rejected() {
    caller_limits limits;
    limits.header_bytes = 200'000;
    expect_rejection("GET /a HTTP/1.1\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n", "431",
                     limits);
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

  // Limits without a grace period.
  static caller_limits idle_limits(base::duration idle_timeout) {
    return {.idle_timeout = idle_timeout, .idle_grace = {}};
  }

  static void run_for(fixture& f, milliseconds time) {
    run_until(
        f.io, [] { return false; }, time);
  }

  static bool gets_response(fixture& f, raw_caller& caller) {
    caller.write(simple_request);
    return run_until(f.io,
                     [&] { return caller.is_closed() || caller.received().ends_with("ok"); }) &&
           caller.received().starts_with("HTTP/1.1 200");
  }

  // The following four tests guard against a request that is lost because its connection is closed
  // after a limit that is not the one callers rely on.
  void raised_idle_timeout_keeps_a_connection_that_is_idle_already() {
    fixture f(idle_limits(milliseconds(100)));
    raw_caller caller(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.listener.open_connections() == 1; }));
    f.listener.set_limits(idle_limits(std::chrono::seconds(60)));
    run_for(f, milliseconds(250));
    CPPUNIT_ASSERT(gets_response(f, caller));
  }

  void raised_idle_timeout_that_is_learned_within_the_grace_period_keeps_the_connection() {
    fixture f({.idle_timeout = milliseconds(50), .idle_grace = milliseconds(300)});
    raw_caller caller(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.listener.open_connections() == 1; }));
    run_for(f, milliseconds(100));
    f.listener.set_limits(
        {.idle_timeout = std::chrono::seconds(60), .idle_grace = milliseconds(300)});
    run_for(f, milliseconds(400));
    CPPUNIT_ASSERT(gets_response(f, caller));
  }

  void lowered_idle_timeout_keeps_a_connection_that_became_idle_before() {
    fixture f(idle_limits(milliseconds(400)));
    raw_caller caller(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.listener.open_connections() == 1; }));
    f.listener.set_limits(idle_limits(milliseconds(20)));
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].idle_timeout == milliseconds(400));
    CPPUNIT_ASSERT(f.closed[0].idle_time >= milliseconds(400));
  }

  void withdrawn_idle_timeout_applies_only_to_connections_that_were_idle_under_it() {
    fixture f(idle_limits(milliseconds(30)));
    raw_caller before(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.listener.open_connections() == 1; }));
    f.listener.set_limits(idle_limits(milliseconds(400)));
    f.listener.set_limits(idle_limits(milliseconds(200)));
    f.listener.set_limits(idle_limits(milliseconds(30)));
    raw_caller after(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return before.is_closed() && after.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].idle_timeout == milliseconds(30));
    CPPUNIT_ASSERT(f.closed[1].idle_timeout == milliseconds(400));
    CPPUNIT_ASSERT(f.closed[1].idle_time >= milliseconds(400));
  }

  // Guards against idle connections that stay open for ever, and a report without the grace period.
  void idle_connection_is_closed_after_the_grace_period() {
    fixture f({.idle_timeout = milliseconds(30), .idle_grace = milliseconds(120)});
    raw_caller caller(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::idle_timeout);
    CPPUNIT_ASSERT(f.closed[0].idle_timeout == milliseconds(150));
    CPPUNIT_ASSERT(f.closed[0].idle_time >= milliseconds(150));
  }

  // Keeps the event loop busy for `time`. Then calls `action` in the turn in which the timers that
  // expired meanwhile are due, before their handlers.
  static void be_busy(fixture& f, milliseconds time, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(f.io, milliseconds(0));
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
    std::this_thread::sleep_for(time);
    f.io.restart();
    f.io.poll();
  }

  // Guards against a request that is lost because its connection is closed before the request is
  // read.
  void request_that_arrives_while_the_loop_is_busy_outlives_the_idle_timeout() {
    fixture f(idle_limits(milliseconds(50)));
    raw_caller caller(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.listener.open_connections() == 1; }));
    be_busy(f, milliseconds(100), [&] { caller.write(simple_request); });
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), caller.received().substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.closed[0].responses);
  }

  static void wait_for_connections(fixture& f, std::size_t count) {
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.listener.open_connections() == count; }));
  }

  // Guards against new callers that get no answer while idle connections take all places.
  void full_listener_closes_the_connection_that_has_been_idle_longest() {
    fixture f({}, 2);
    raw_caller first(f.io, f.listener.local_endpoint());
    wait_for_connections(f, 1);
    raw_caller second(f.io, f.listener.local_endpoint());
    wait_for_connections(f, 2);
    CPPUNIT_ASSERT(gets_response(f, first));
    f.callers.clear();
    raw_caller third(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(gets_response(f, third));
    CPPUNIT_ASSERT(run_until(f.io, [&] { return second.is_closed(); }));
    CPPUNIT_ASSERT(!first.is_closed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::evicted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.closed[0].unread_bytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.closed[0].responses);
    f.callers.clear();
    wait_for_connections(f, 2);
  }

  // Guards against a request that is lost because its connection makes room for another.
  void full_listener_keeps_idle_connections_on_which_a_request_has_arrived() {
    fixture f({}, 2);
    raw_caller first(f.io, f.listener.local_endpoint());
    wait_for_connections(f, 1);
    raw_caller second(f.io, f.listener.local_endpoint());
    wait_for_connections(f, 2);
    raw_caller third(f.io, f.listener.local_endpoint());
    first.write(simple_request);
    third.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] {
      return first.received().ends_with("ok") && third.received().ends_with("ok") &&
             second.is_closed();
    }));
    CPPUNIT_ASSERT(!first.is_closed());
  }

  static void expect_overload_response(const raw_caller& caller) {
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), caller.received().substr(0, 12));
    CPPUNIT_ASSERT(caller.received().find("Connection: close\r\n") != std::string::npos);
    CPPUNIT_ASSERT(caller.received().find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT(caller.received().ends_with(R"({"error":"too_many_connections"})"));
    CPPUNIT_ASSERT(caller.end() == boost::asio::error::eof);
  }

  // The following two tests guard against callers that are dropped without an answer.
  void full_listener_without_idle_connections_refuses_with_a_response() {
    fixture f({}, 1);
    f.responds_immediately = false;
    raw_caller busy(f.io, f.listener.local_endpoint());
    busy.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    raw_caller refused(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return refused.is_closed(); }));
    expect_overload_response(refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::too_many_connections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.closed[0].responses);
    f.callers[0]->respond({{200, {}}, "ok"});
    CPPUNIT_ASSERT(run_until(f.io, [&] { return busy.received().ends_with("ok"); }));
  }

  void refusal_reaches_a_caller_whose_request_has_arrived() {
    fixture f({}, 1);
    f.responds_immediately = false;
    raw_caller busy(f.io, f.listener.local_endpoint());
    busy.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
    raw_caller refused(f.io, f.listener.local_endpoint());
    refused.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n" +
                  std::string(10'000, 'x'));
    CPPUNIT_ASSERT(run_until(f.io, [&] { return refused.is_closed(); }));
    expect_overload_response(refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.closed[0].unread_bytes);
  }

  // A connection that a listener without places has refused.
  static testing::tcp::socket refused_socket(fixture& f) {
    const std::size_t closed_before = f.closed.size();
    testing::tcp::socket socket(f.io);
    socket.connect(f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.closed.size() > closed_before; }));
    return socket;
  }

  // Whether bytes that arrive at the peer reset the connection.
  static bool is_closed_by_peer(fixture& f, testing::tcp::socket& socket) {
    testing::write_all(socket, simple_request);
    run_for(f, milliseconds(20));
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(simple_request), error);
    return error.failed();
  }

  // Guards against a reset that makes the caller lose the response.
  void refusal_is_not_destroyed_by_a_request_that_arrives_after_it() {
    fixture f({}, 0);
    testing::tcp::socket socket = refused_socket(f);
    CPPUNIT_ASSERT(!is_closed_by_peer(f, socket));
    std::string bytes;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), end);
    CPPUNIT_ASSERT(end == boost::asio::error::eof);
    CPPUNIT_ASSERT(bytes.starts_with("HTTP/1.1 503"));
  }

  // Guards against callers that exhaust the file descriptors because they do not close their
  // refused connections.
  void refused_connections_are_closed_in_the_end_and_limited_in_number() {
    constexpr std::size_t more_than_the_limit = 80;
    fixture f({}, 0);
    std::vector<testing::tcp::socket> refused;
    for (std::size_t i = 0; i < more_than_the_limit; ++i) {
      refused.push_back(refused_socket(f));
    }
    CPPUNIT_ASSERT(is_closed_by_peer(f, refused.back()));
    CPPUNIT_ASSERT(!is_closed_by_peer(f, refused.front()));
    run_for(f, milliseconds(700));
    CPPUNIT_ASSERT(is_closed_by_peer(f, refused.front()));
  }

  // Guards against the use of a connection that has ended as the one that makes room.
  void closed_connections_are_no_longer_candidates_for_eviction() {
    fixture f({}, 2);
    {
      raw_caller gone(f.io, f.listener.local_endpoint());
      wait_for_connections(f, 1);
    }
    wait_for_connections(f, 0);
    raw_caller first(f.io, f.listener.local_endpoint());
    raw_caller second(f.io, f.listener.local_endpoint());
    raw_caller third(f.io, f.listener.local_endpoint());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return first.is_closed(); }));
    CPPUNIT_ASSERT(gets_response(f, second));
    CPPUNIT_ASSERT(gets_response(f, third));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
  }

  // Sends `first`, and `rest` while the loop is busy beyond the timeouts of `limits`. Expects that
  // the request gets its response.
  static void expect_response_despite_busy_loop(const caller_limits& limits,
                                                const std::string& first, const std::string& rest) {
    fixture f(limits);
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write(first);
    run_for(f, milliseconds(20));
    be_busy(f, milliseconds(200), [&] { caller.write(rest); });
    CPPUNIT_ASSERT(
        run_until(f.io, [&] { return caller.is_closed() || caller.received().ends_with("ok"); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), caller.received().substr(0, 12));
    CPPUNIT_ASSERT(f.faults.empty());
  }

  // The following three tests guard against a whole request that is rejected as too slow, because
  // the router was too slow to read it.
  void head_that_is_complete_when_a_busy_loop_reaches_its_timeout_is_answered() {
    expect_response_despite_busy_loop({.header_timeout = milliseconds(100)},
                                      "GET /a HTTP/1.1\r\nHo", "st: h\r\n\r\n");
  }

  void large_head_that_has_arrived_when_its_timeout_is_reached_is_answered() {
    expect_response_despite_busy_loop(
        {.header_timeout = milliseconds(100)},
        "GET /a HTTP/1.1\r\nHost: h\r\nX-A: ", std::string(15'000, 'x') + "\r\n\r\n");
  }

  void body_that_is_complete_when_a_busy_loop_reaches_its_timeout_is_answered() {
    const caller_limits limits{.idle_timeout = milliseconds(100)};
    expect_response_despite_busy_loop(
        limits, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd");
    expect_response_despite_busy_loop(
        limits, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2",
        "\r\nde\r\n0\r\n\r\n");
  }

  // Writes a byte again and again until the listener reports a fault: every millisecond before
  // `turns_from`, and then in each turn of the loop, before the handlers of timers that started
  // later. A fast machine takes so many turns that bytes in all of them would reach the limit of
  // the head before its timeout.
  static void write_repeatedly(fixture& f, raw_caller& caller, base::time_point turns_from) {
    const bool is_each_turn = base::boot_clock::now() >= turns_from;
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(f.io, milliseconds(is_each_turn ? 0 : 1));
    timer->async_wait([timer, &f, &caller, turns_from](const boost::system::error_code& error) {
      if (!error && f.faults.empty()) {
        caller.write("x");
        write_repeatedly(f, caller, turns_from);
      }
    });
  }

  // The time at which less than 10 ms are left of a timeout of 100 ms that starts now.
  static base::time_point end_of_timeout() { return base::boot_clock::now() + milliseconds(91); }

  // Expects a rejection for a caller that sends `first`, and then a byte again and again.
  static void expect_timeout_of_slow_caller(caller_limits limits, const std::string& first) {
    fixture f(limits);
    raw_caller caller(f.io, f.listener.local_endpoint());
    const base::time_point begin = base::boot_clock::now();
    caller.write(first);
    write_repeatedly(f, caller, end_of_timeout());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return !caller.received().empty(); }));
    CPPUNIT_ASSERT(base::boot_clock::now() - begin < std::chrono::seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408"), caller.received().substr(0, 12));
  }

  // The following three tests guard against connections that slow callers keep for ever.
  void slow_head_is_rejected_although_bytes_arrive_all_the_time() {
    expect_timeout_of_slow_caller({.header_timeout = milliseconds(100)},
                                  "GET /a HTTP/1.1\r\nX-A: ");
    // The extension of a chunk header is no progress of the body.
    expect_timeout_of_slow_caller(
        {.idle_timeout = milliseconds(100)},
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;");
  }

  void stalled_body_is_rejected() {
    expect_rejection("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "408",
                     {.idle_timeout = milliseconds(50)});
  }

  void slow_head_after_the_idle_timeout_is_rejected() {
    fixture f({.header_timeout = milliseconds(100), .idle_timeout = milliseconds(50)});
    raw_caller caller(f.io, f.listener.local_endpoint());
    wait_for_connections(f, 1);
    be_busy(f, milliseconds(100), [&] { caller.write("GET /a HTTP/1.1\r\nX-A: "); });
    write_repeatedly(f, caller, end_of_timeout());
    CPPUNIT_ASSERT(run_until(f.io, [&] { return !f.faults.empty(); }));
    CPPUNIT_ASSERT(f.faults[0] == input_fault::header_timeout);
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

  // Guards against a request that is lost because its connection was accepted right before it, and
  // against a stop that waits for callers without a request.
  void stopped_listener_waits_for_the_first_request_of_a_new_connection() {
    fixture f;
    raw_caller silent(f.io, f.listener.local_endpoint());
    raw_caller caller(f.io, f.listener.local_endpoint());
    wait_for_connections(f, 2);
    f.listener.stop_accepting();
    run_for(f, milliseconds(100));
    caller.write(simple_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), caller.received().substr(0, 12));
    CPPUNIT_ASSERT(!silent.is_closed());
    CPPUNIT_ASSERT(run_until(
        f.io, [&] { return silent.is_closed(); }, milliseconds(600)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::stopped);
  }

  // Guards against whole requests that are lost because the response before them closes the
  // connection.
  void draining_listener_answers_pipelined_requests() {
    for (const bool is_stopped : {false, true}) {
      fixture f;
      f.responds_immediately = false;
      raw_caller caller(f.io, f.listener.local_endpoint());
      caller.write(simple_request + simple_request + simple_request.substr(0, 10));
      CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 1; }));
      is_stopped ? f.listener.stop_accepting() : f.listener.begin_drain();
      f.callers[0]->respond({{200, {}}, "first"});
      CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 2; }));
      f.callers[1]->begin_stream({200, {}});
      f.callers[1]->send("second");
      f.callers[1]->end_stream();
      run_for(f, milliseconds(20));
      CPPUNIT_ASSERT(!caller.is_closed());
      CPPUNIT_ASSERT(caller.received().find("Connection: close") == std::string::npos);
      caller.write(simple_request.substr(10));
      CPPUNIT_ASSERT(run_until(f.io, [&] { return f.callers.size() == 3; }));
      f.callers[2]->respond({{200, {}}, "third"});
      CPPUNIT_ASSERT(run_until(f.io, [&] { return caller.is_closed(); }));
      CPPUNIT_ASSERT(caller.received().find("Connection: close") != std::string::npos);
      CPPUNIT_ASSERT(caller.received().ends_with("third"));
      CPPUNIT_ASSERT(caller.end() == boost::asio::error::eof);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_test);

}  // namespace
}  // namespace fuchsiaspring::relay
