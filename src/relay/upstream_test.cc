#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>

#include "fuchsiaspring/relay/channel_pool.h"
#include "fuchsiaspring/relay/upstream_channel.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::relay {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using testing::raw_upstream;
using testing::received_request;
using testing::run_until;
using testing::tcp;
using testing::write_all;
using testing::write_endlessly;

const request simple_request{.method = "GET", .target = "/a"};
const request head_request{.method = "HEAD", .target = "/a"};
// Longer than what the sockets buffer.
const request long_request{
    .method = "POST", .target = "/a", .headers = {}, .body = std::string(16U << 20U, 'x')};

std::string response_bytes(const std::string& id, const std::string& body,
                           const std::string& extra_headers = "") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Outcome of one request.
struct exchange_result {
  bool is_finished = false;
  unsigned status = 0;
  std::string body;
  std::optional<channel_fault> fault;
  sent_state sent = sent_state::not_sent;
};

class upstream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(upstream_test);
  CPPUNIT_TEST(response_is_delivered_and_the_connection_reused);
  CPPUNIT_TEST(response_to_another_request_is_discarded);
  CPPUNIT_TEST(bytes_after_a_response_close_the_connection);
  CPPUNIT_TEST(late_bytes_on_an_idle_connection_close_it);
  CPPUNIT_TEST(truncated_response_is_a_failure);
  CPPUNIT_TEST(response_without_length_ends_with_the_connection);
  CPPUNIT_TEST(reset_within_a_response_without_length_is_a_failure);
  CPPUNIT_TEST(non_http_response_is_malformed);
  CPPUNIT_TEST(refused_connection_sends_nothing);
  CPPUNIT_TEST(failed_send_check_sends_nothing);
  CPPUNIT_TEST(request_that_is_given_up_is_reset);
  CPPUNIT_TEST(request_on_a_closed_connection_is_not_resent);
  CPPUNIT_TEST(cancelled_request_closes_its_connection);
  CPPUNIT_TEST(stated_idle_timeout_closes_the_connection);
  CPPUNIT_TEST(recent_reuse_skips_older_idle_connections);
  CPPUNIT_TEST(repeat_of_a_request_does_not_reuse_its_connection);
  CPPUNIT_TEST(connection_that_has_carried_many_requests_is_closed);
  CPPUNIT_TEST(endless_head_is_malformed);
  CPPUNIT_TEST(endless_interim_responses_are_malformed);
  CPPUNIT_TEST(status_outside_the_protocol_is_malformed);
  CPPUNIT_TEST(head_with_two_status_lines_is_malformed);
  CPPUNIT_TEST(unsolicited_change_of_protocol_is_malformed);
  CPPUNIT_TEST(response_with_an_unusable_transfer_encoding_is_malformed);
  CPPUNIT_TEST(endless_chunk_header_is_malformed);
  CPPUNIT_TEST(endless_trailer_is_malformed);
  CPPUNIT_TEST(endless_response_to_another_request_is_malformed);
  CPPUNIT_TEST(endless_chunked_response_to_another_request_is_malformed);
  CPPUNIT_TEST(response_to_another_request_without_length_is_malformed);
  CPPUNIT_TEST(response_to_another_request_fails_a_head_request);
  CPPUNIT_TEST(reset_while_the_request_is_written_is_a_failure);
  CPPUNIT_TEST(response_before_the_end_of_the_request_closes_the_connection);
  CPPUNIT_TEST(connections_made_while_the_event_loop_is_busy_do_not_time_out);
  CPPUNIT_TEST(responses_without_a_body_keep_the_connection);
  CPPUNIT_TEST(response_that_ends_with_the_connection_closes_it);
  CPPUNIT_TEST(http_1_0_response_keeps_the_connection_only_if_it_says_so);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context m_io;

  void send(upstream_channel& channel, exchange_result& outcome,
            upstream_channel::send_check check = nullptr, const request& message = simple_request) {
    channel.send(
        message,
        [](const response_head& head) {
          const std::string* id = head.headers.find("X-Id");
          return id == nullptr || *id == "own";
        },
        std::move(check),
        [&outcome](const channel_event& event) {
          std::visit(
              overloaded{
                  [&](const response_started& started) { outcome.status = started.head.status; },
                  [&](const body_received& received) { outcome.body += received.bytes; },
                  [&](const response_ended&) { outcome.is_finished = true; },
                  [&](const channel_failed& failed) {
                    outcome.is_finished = true;
                    outcome.fault = failed.fault;
                    outcome.sent = failed.sent;
                  }},
              event);
        });
  }

  exchange_result exchange(const std::shared_ptr<upstream_channel>& channel,
                           const request& message = simple_request) {
    exchange_result outcome;
    send(*channel, outcome, nullptr, message);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.is_finished; }));
    return outcome;
  }

  exchange_result exchange_with(raw_upstream& upstream) {
    return exchange(upstream_channel::create(m_io, upstream.endpoint(), {}));
  }

  // Sends `beginning` and then `repeated` until the channel closes the connection, which must
  // report malformed bytes long before the upstream is done.
  void expect_malformed(const std::string& beginning, const std::string& repeated) {
    raw_upstream upstream(m_io, [&](tcp::socket& s, const received_request&) {
      write_all(s, beginning);
      write_endlessly(s, repeated);
    });
    const exchange_result outcome = exchange_with(upstream);
    CPPUNIT_ASSERT(outcome.fault == channel_fault::malformed);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return upstream.closed_connections() == 1; }));
  }

  // The following tests guard against an upstream that occupies memory, processor and connection of
  // the router until the request's deadline, because it sends bytes without end.
  void endless_head_is_malformed() {
    expect_malformed("HTTP/1.1 200 OK\r\n", "X-More: " + std::string(1000, 'x') + "\r\n");
  }

  // The upstream stays silent behind its answer.
  void expect_malformed_answer(const std::string& bytes) {
    for (const std::string before : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
      raw_upstream upstream(
          m_io, [&](tcp::socket& s, const received_request&) { write_all(s, before + bytes); });
      const exchange_result outcome = exchange_with(upstream);
      CPPUNIT_ASSERT_MESSAGE(bytes, outcome.fault == channel_fault::malformed);
      CPPUNIT_ASSERT(outcome.sent == sent_state::sent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 0U, outcome.status);
    }
  }

  // The following three tests guard against a request that waits for its whole time because an
  // answer passes for an interim response, and against a status that callers cannot interpret.
  void status_outside_the_protocol_is_malformed() {
    for (const std::string status :
         {"000", "001", "099", "600", "999", "2x0", "20", "100000", "-20", "2000"}) {
      for (const std::string version : {"1.0", "1.1"}) {
        expect_malformed_answer("HTTP/" + version + " " + status +
                                " Odd\r\nContent-Length: 2\r\n\r\nok");
      }
    }
  }

  // Guards against a success whose body contains the chunk sizes, or is encoded without a header
  // that says so.
  void response_with_an_unusable_transfer_encoding_is_malformed() {
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    for (const std::string codings :
         {"xchunked", "identity", "chunked, gzip", "gzip, chunked", "chunked, chunked"}) {
      expect_malformed_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings + "\r\n\r\n" +
                              chunks);
    }
    expect_malformed_answer("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
  }

  void head_with_two_status_lines_is_malformed() {
    for (const std::string second : {"HTTP/1.1 404 Not Found", "HTTP/1.1 404: x"}) {
      for (const std::string first : {"HTTP/1.1 200 OK", "HTTP/1.1 102 Processing"}) {
        expect_malformed_answer(first + "\r\n" + second + "\r\nContent-Length: 2\r\n\r\nok");
      }
    }
  }

  void unsolicited_change_of_protocol_is_malformed() {
    expect_malformed_answer(
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n");
  }

  void endless_interim_responses_are_malformed() {
    expect_malformed("", "HTTP/1.1 102 Processing\r\n\r\n");
  }

  void endless_chunk_header_is_malformed() {
    expect_malformed("HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
                     std::string(4096, 'x'));
  }

  void endless_trailer_is_malformed() {
    expect_malformed("HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                     "X-More: " + std::string(1000, 'x') + "\r\n");
  }

  void endless_response_to_another_request_is_malformed() {
    expect_malformed("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", std::string(4096, 'x'));
  }

  void endless_chunked_response_to_another_request_is_malformed() {
    expect_malformed("HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "1000\r\n" + std::string(4096, 'x') + "\r\n");
  }

  // Guards against a request that waits until its deadline behind a late copy that ends with the
  // connection: no response can follow it.
  void response_to_another_request_without_length_is_malformed() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request& received) {
      write_all(s, received.number == 0 ? response_bytes("own", "hi")
                                        : "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\nsecret");
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    exchange(channel);
    const exchange_result second = exchange(channel);
    CPPUNIT_ASSERT(second.fault == channel_fault::malformed);
    CPPUNIT_ASSERT(second.sent == sent_state::sent);
    CPPUNIT_ASSERT_EQUAL(std::string(), second.body);
    CPPUNIT_ASSERT(!channel->is_reusable());
  }

  // Guards against the body of a late copy that is read as the head of the next response: a
  // response to HEAD has no body, but a copy of a response to another method has.
  void response_to_another_request_fails_a_head_request() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("other", response_bytes("own", "")));
    });
    const exchange_result outcome =
        exchange(upstream_channel::create(m_io, upstream.endpoint(), {}), head_request);
    CPPUNIT_ASSERT(outcome.fault == channel_fault::malformed);
    CPPUNIT_ASSERT_EQUAL(0U, outcome.status);
  }

  // Guards against connections that are given up although the system has made them: the event loop
  // was busy for longer than the timeout, and needs several turns to look at all sockets.
  void connections_made_while_the_event_loop_is_busy_do_not_time_out() {
    constexpr std::size_t channel_count = 400;
    constexpr milliseconds busy_time{400};
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "hi"));
    });
    boost::asio::steady_timer first_timer(m_io, milliseconds(1));
    first_timer.async_wait([](const boost::system::error_code&) {});
    std::deque<exchange_result> outcomes(channel_count);
    std::vector<std::shared_ptr<upstream_channel>> channels;
    for (exchange_result& each : outcomes) {
      channels.push_back(upstream_channel::create(m_io, upstream.endpoint(), {}));
      send(*channels.back(), each);
    }
    std::this_thread::sleep_for(busy_time);
    const auto is_finished = [](const exchange_result& each) { return each.is_finished; };
    CPPUNIT_ASSERT(run_until(
        m_io, [&] { return std::all_of(outcomes.begin(), outcomes.end(), is_finished); }));
    const auto timed_out = std::count_if(
        outcomes.begin(), outcomes.end(),
        [](const exchange_result& each) { return each.fault == channel_fault::connect_timeout; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, timed_out);
  }

  // Accepts a connection whose upstream reads a part of a long request only, and writes `bytes`.
  tcp::socket respond_early(tcp::acceptor& acceptor, const exchange_result& outcome,
                            const std::string& bytes, std::size_t expected_body) {
    tcp::socket peer(m_io);
    bool is_accepted = false;
    acceptor.async_accept(peer, [&](const boost::system::error_code&) { is_accepted = true; });
    CPPUNIT_ASSERT(run_until(m_io, [&] { return is_accepted; }));
    std::array<char, 100> beginning{};
    boost::asio::read(peer, boost::asio::buffer(beginning));
    write_all(peer, bytes);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.body.size() == expected_body; }));
    return peer;
  }

  // Guards against a response that was reset but looks complete: the write of the request that is
  // still in progress takes the error of the socket, and the read sees the end of the connection.
  void reset_while_the_request_is_written_is_a_failure() {
    tcp::acceptor acceptor(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    const auto channel = upstream_channel::create(m_io, acceptor.local_endpoint(), {});
    exchange_result outcome;
    send(*channel, outcome, nullptr, long_request);
    tcp::socket peer =
        respond_early(acceptor, outcome, "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\npart", 4);
    CPPUNIT_ASSERT(!outcome.is_finished);
    peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.is_finished; }));
    CPPUNIT_ASSERT(outcome.fault == channel_fault::broken);
  }

  // Guards against the rest of a request body that the upstream takes for the next request.
  void response_before_the_end_of_the_request_closes_the_connection() {
    tcp::acceptor acceptor(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    const auto channel = upstream_channel::create(m_io, acceptor.local_endpoint(), {});
    exchange_result outcome;
    send(*channel, outcome, nullptr, long_request);
    tcp::socket peer = respond_early(acceptor, outcome, response_bytes("own", "mine"), 4);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.is_finished; }));
    CPPUNIT_ASSERT(!outcome.fault);
    CPPUNIT_ASSERT(!channel->is_reusable());
    std::string rest;
    boost::system::error_code end;
    boost::asio::read(peer, boost::asio::dynamic_buffer(rest), end);
    CPPUNIT_ASSERT(end);
    CPPUNIT_ASSERT(rest.size() < long_request.body.size());
    CPPUNIT_ASSERT_EQUAL(std::string::npos, rest.find_first_not_of('x', 200));
  }

  // Guards against a wait for the end of a connection that the upstream keeps open, and against a
  // new connection for each such request.
  void responses_without_a_body_keep_the_connection() {
    for (const std::string status : {"200 OK", "204 No Content", "304 Not Modified"}) {
      raw_upstream upstream(m_io, [&](tcp::socket& s, const received_request&) {
        write_all(s, "HTTP/1.1 " + status + "\r\nX-Id: own\r\n\r\n");
      });
      const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
      const request& message = status == "200 OK" ? head_request : simple_request;
      CPPUNIT_ASSERT_MESSAGE(status, !exchange(channel, message).fault);
      CPPUNIT_ASSERT_MESSAGE(status, channel->is_reusable());
      CPPUNIT_ASSERT_MESSAGE(status, !exchange(channel, message).fault);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 1, upstream.connections());
    }
  }

  void response_that_ends_with_the_connection_closes_it() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nX-Id: own\r\nConnection: keep-alive\r\n\r\nall of it");
      s.shutdown(tcp::socket::shutdown_send);
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"), exchange(channel).body);
    CPPUNIT_ASSERT(!channel->is_reusable());
    CPPUNIT_ASSERT(run_until(m_io, [&] { return upstream.closed_connections() == 1; }));
  }

  // HTTP/1.0 closes the connection after a response unless the upstream states otherwise.
  void http_1_0_response_keeps_the_connection_only_if_it_says_so() {
    for (const bool has_length : {false, true}) {
      for (const bool has_keep_alive : {false, true}) {
        const std::string response = std::string("HTTP/1.0 200 OK\r\nX-Id: own\r\n") +
                                     (has_keep_alive ? "Connection: keep-alive\r\n" : "") +
                                     (has_length ? "Content-Length: 2\r\n" : "") + "\r\nhi";
        raw_upstream upstream(m_io, [&](tcp::socket& s, const received_request&) {
          write_all(s, response);
          if (!has_length) {
            s.shutdown(tcp::socket::shutdown_send);
          }
        });
        const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
        const exchange_result outcome = exchange(channel);
        CPPUNIT_ASSERT_MESSAGE(response, !outcome.fault);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string("hi"), outcome.body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, has_length && has_keep_alive,
                                     channel->is_reusable());
      }
    }
  }

  void response_is_delivered_and_the_connection_reused() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "hi"));
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), exchange(channel).body);
    CPPUNIT_ASSERT(channel->is_reusable());
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), exchange(channel).body);
    CPPUNIT_ASSERT_EQUAL(1, upstream.connections());
  }

  // Guards against delivering the response of another caller's request.
  void response_to_another_request_is_discarded() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("other", "secret"));
      write_all(s, response_bytes("own", "mine"));
    });
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), exchange_with(upstream).body);
  }

  void bytes_after_a_response_close_the_connection() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "mine") + response_bytes("own", "again"));
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), exchange(channel).body);
    CPPUNIT_ASSERT(!channel->is_reusable());
  }

  void late_bytes_on_an_idle_connection_close_it() {
    tcp::socket* open = nullptr;
    raw_upstream upstream(m_io, [&](tcp::socket& s, const received_request&) {
      open = &s;
      write_all(s, response_bytes("own", "mine"));
    });
    channel_pool pool(m_io, {});
    const auto channel = pool.acquire("u", upstream.endpoint(), reuse::any, "");
    exchange(channel);
    pool.release("u", channel);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle_count());
    write_all(*open, response_bytes("own", "late"));
    CPPUNIT_ASSERT(run_until(m_io, [&] { return pool.idle_count() == 0; }));
  }

  void truncated_response_is_a_failure() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 10\r\n\r\nhalf");
      s.close();
    });
    const exchange_result outcome = exchange_with(upstream);
    CPPUNIT_ASSERT(outcome.fault == channel_fault::broken);
    CPPUNIT_ASSERT(outcome.sent == sent_state::sent);
  }

  void response_without_length_ends_with_the_connection() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nall of it");
      s.close();
    });
    const exchange_result outcome = exchange_with(upstream);
    CPPUNIT_ASSERT(!outcome.fault);
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"), outcome.body);
  }

  void reset_within_a_response_without_length_is_a_failure() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nsome of it");
      s.set_option(boost::asio::socket_base::linger(true, 0));
      s.close();
    });
    CPPUNIT_ASSERT(exchange_with(upstream).fault == channel_fault::broken);
  }

  void non_http_response_is_malformed() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, "\x01\x02garbage\r\n\r\n");
    });
    const exchange_result outcome = exchange_with(upstream);
    CPPUNIT_ASSERT(outcome.fault == channel_fault::malformed);
    CPPUNIT_ASSERT_EQUAL(0U, outcome.status);
  }

  void refused_connection_sends_nothing() {
    tcp::acceptor closed(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const tcp::endpoint unused_endpoint = closed.local_endpoint();
    closed.close();
    const exchange_result outcome = exchange(upstream_channel::create(m_io, unused_endpoint, {}));
    CPPUNIT_ASSERT(outcome.fault == channel_fault::connect_failed);
    CPPUNIT_ASSERT(outcome.sent == sent_state::not_sent);
  }

  // How the connection of a request ends for an upstream that reads after `cancel`.
  error_code end_after_cancel(const std::string& response) {
    tcp::acceptor acceptor(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto channel = upstream_channel::create(m_io, acceptor.local_endpoint(), {});
    bool is_answered = false;
    channel->send(simple_request, nullptr, nullptr, [&](const channel_event& event) {
      is_answered = is_answered || std::holds_alternative<response_ended>(event);
    });
    tcp::socket upstream(m_io);
    acceptor.async_accept(upstream, [](const error_code&) {});
    CPPUNIT_ASSERT(run_until(m_io, [&] { return upstream.is_open() && upstream.available() > 0; }));
    if (!response.empty()) {
      write_all(upstream, response);
      CPPUNIT_ASSERT(run_until(m_io, [&] { return is_answered; }));
    }
    channel->cancel();
    std::string received;
    error_code end;
    boost::asio::read(upstream, boost::asio::dynamic_buffer(received), end);
    return end;
  }

  // Guards against a request that was given up and runs later: bytes that a partition holds up are
  // delivered behind it unless the connection is reset.
  void request_that_is_given_up_is_reset() {
    CPPUNIT_ASSERT(end_after_cancel("") == boost::asio::error::connection_reset);
    CPPUNIT_ASSERT(end_after_cancel(response_bytes("own", "hi")) == boost::asio::error::eof);
  }

  // Guards against sending a request whose permission expired, for example during a suspension of
  // the process.
  void failed_send_check_sends_nothing() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "hi"));
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    exchange_result outcome;
    send(*channel, outcome, [] { return false; });
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.is_finished; }));
    CPPUNIT_ASSERT(outcome.fault == channel_fault::refused_to_send);
    CPPUNIT_ASSERT(outcome.sent == sent_state::not_sent);
    CPPUNIT_ASSERT_EQUAL(0, upstream.requests());
  }

  // Guards against an automatic resend on a new connection, which could run the request twice.
  void request_on_a_closed_connection_is_not_resent() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request& received) {
      if (received.number == 0) {
        write_all(s, response_bytes("own", "hi"));
      } else {
        s.close();
      }
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    exchange(channel);
    const exchange_result second = exchange(channel);
    CPPUNIT_ASSERT(second.fault == channel_fault::broken);
    CPPUNIT_ASSERT(second.sent == sent_state::sent);
    run_until(
        m_io, [] { return false; }, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(2, upstream.requests());
  }

  void cancelled_request_closes_its_connection() {
    raw_upstream upstream(m_io, [](tcp::socket&, const received_request&) {});
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    exchange_result outcome;
    send(*channel, outcome);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return upstream.requests() == 1; }));
    channel->cancel();
    CPPUNIT_ASSERT(run_until(
        m_io, [&] { return upstream.closed_connections() == 1; }, milliseconds(400)));
    CPPUNIT_ASSERT(!outcome.is_finished);
  }

  void stated_idle_timeout_closes_the_connection() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "hi", "Keep-Alive: timeout=1\r\n"));
    });
    channel_pool pool(m_io, {});
    const auto channel = pool.acquire("u", upstream.endpoint(), reuse::any, "");
    exchange(channel);
    pool.release("u", channel);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle_count());
    CPPUNIT_ASSERT(run_until(
        m_io, [&] { return pool.idle_count() == 0; }, milliseconds(1600)));
    CPPUNIT_ASSERT(run_until(m_io, [&] { return upstream.closed_connections() == 1; }));
  }

  // Guards against sending a request that must not run twice on a connection that was dropped
  // without notice while idle.
  void recent_reuse_skips_older_idle_connections() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "hi"));
    });
    channel_pool pool(m_io, {});
    const auto first = pool.acquire("u", upstream.endpoint(), reuse::any, "");
    exchange(first);
    pool.release("u", first);
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::recent, "") == first);
    pool.release("u", first);
    run_until(
        m_io, [] { return false; }, milliseconds(800));
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::recent, "") != first);
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::any, "") == first);
  }

  // Guards against a second response to a request that passes for the response to its repeat.
  void repeat_of_a_request_does_not_reuse_its_connection() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "hi"));
    });
    channel_pool pool(m_io, {});
    const auto first = pool.acquire("u", upstream.endpoint(), reuse::any, "r-1");
    exchange(first);
    pool.release("u", first);
    const auto repeat = pool.acquire("u", upstream.endpoint(), reuse::any, "r-1");
    CPPUNIT_ASSERT(repeat != first);
    // The connection is kept for other requests, and remembers the ids of all of them.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle_count());
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::any, "r-2") == first);
    exchange(first);
    exchange(repeat);
    pool.release("u", first);
    pool.release("u", repeat);
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::any, "r-2") == repeat);
    const auto third = pool.acquire("u", upstream.endpoint(), reuse::any, "r-1");
    CPPUNIT_ASSERT(third != first && third != repeat);
  }

  // Guards against memory for ids that grows with the number of requests on a connection.
  void connection_that_has_carried_many_requests_is_closed() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const received_request&) {
      write_all(s, response_bytes("own", "hi"));
    });
    channel_pool pool(m_io, {});
    constexpr int max_requests = 1024;
    for (int i = 0; i <= max_requests; ++i) {
      const auto channel =
          pool.acquire("u", upstream.endpoint(), reuse::any, "r-" + std::to_string(i));
      exchange(channel);
      pool.release("u", channel);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, pool.opened_connections());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_test);

}  // namespace
}  // namespace fuchsiaspring::relay
