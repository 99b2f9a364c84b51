#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/relay/channel_pool.h"
#include "fuchsiaspring/relay/upstream_channel.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::relay {
namespace {

using std::chrono::milliseconds;
using testing::raw_upstream;
using testing::run_until;
using testing::seen_request;
using testing::tcp;
using testing::write_all;

const request simple{.method = "GET", .target = "/a"};

std::string answer(const std::string& id, const std::string& body,
                   const std::string& more_headers = "") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What one request came to.
struct result {
  bool is_over = false;
  unsigned status = 0;
  std::string body;
  std::optional<channel_fault> fault;
  sent_state sent = sent_state::none;
};

class upstream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(upstream_test);
  CPPUNIT_TEST(answer_is_delivered_and_the_connection_kept);
  CPPUNIT_TEST(foreign_answer_is_dropped_and_the_own_one_read);
  CPPUNIT_TEST(bytes_after_an_answer_end_the_connection);
  CPPUNIT_TEST(late_bytes_on_an_idle_connection_end_it);
  CPPUNIT_TEST(short_answer_is_no_complete_answer);
  CPPUNIT_TEST(answer_without_length_ends_with_its_connection);
  CPPUNIT_TEST(reset_within_an_answer_without_length_is_a_failure);
  CPPUNIT_TEST(garbage_is_a_failure);
  CPPUNIT_TEST(refused_connection_sends_nothing);
  CPPUNIT_TEST(nothing_is_sent_when_the_check_says_no);
  CPPUNIT_TEST(request_on_a_dead_connection_is_not_sent_again);
  CPPUNIT_TEST(cancelled_request_closes_its_connection);
  CPPUNIT_TEST(stated_idle_timeout_is_kept);
  CPPUNIT_TEST(recent_reuse_takes_no_old_connection);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context m_io;

  void send(upstream_channel& channel, result& into, upstream_channel::send_check check = nullptr) {
    channel.send(
        simple,
        [](const response_head& head) {
          const std::string* id = head.headers.find("X-Id");
          return id == nullptr || *id == "own";
        },
        std::move(check),
        [&into](const channel_event& event) {
          std::visit(overloaded{[&](const response_started& started) {
                                  into.status = started.head.status;
                                },
                                [&](const body_received& received) { into.body += received.bytes; },
                                [&](const response_ended&) { into.is_over = true; },
                                [&](const channel_failed& failed) {
                                  into.is_over = true;
                                  into.fault = failed.fault;
                                  into.sent = failed.sent;
                                }},
                     event);
        });
  }

  result exchange(const std::shared_ptr<upstream_channel>& channel) {
    result got;
    send(*channel, got);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return got.is_over; }));
    return got;
  }

  result exchange_with(raw_upstream& upstream) {
    return exchange(upstream_channel::create(m_io, upstream.endpoint(), {}));
  }

  void answer_is_delivered_and_the_connection_kept() {
    raw_upstream upstream(
        m_io, [](tcp::socket& s, const seen_request&) { write_all(s, answer("own", "hi")); });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), exchange(channel).body);
    CPPUNIT_ASSERT(channel->is_reusable());
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), exchange(channel).body);
    CPPUNIT_ASSERT_EQUAL(1, upstream.connections());
  }

  // Guards against another caller's bytes.
  void foreign_answer_is_dropped_and_the_own_one_read() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const seen_request&) {
      write_all(s, answer("other", "secret"));
      write_all(s, answer("own", "mine"));
    });
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), exchange_with(upstream).body);
  }

  void bytes_after_an_answer_end_the_connection() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const seen_request&) {
      write_all(s, answer("own", "mine") + answer("own", "again"));
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), exchange(channel).body);
    CPPUNIT_ASSERT(!channel->is_reusable());
  }

  void late_bytes_on_an_idle_connection_end_it() {
    tcp::socket* open = nullptr;
    raw_upstream upstream(m_io, [&](tcp::socket& s, const seen_request&) {
      open = &s;
      write_all(s, answer("own", "mine"));
    });
    channel_pool pool(m_io, {});
    const auto channel = pool.acquire("u", upstream.endpoint(), reuse::any);
    exchange(channel);
    pool.release("u", channel);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle());
    write_all(*open, answer("own", "late"));
    CPPUNIT_ASSERT(run_until(m_io, [&] { return pool.idle() == 0; }));
  }

  void short_answer_is_no_complete_answer() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const seen_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 10\r\n\r\nhalf");
      s.close();
    });
    const result got = exchange_with(upstream);
    CPPUNIT_ASSERT(got.fault == channel_fault::broken);
    CPPUNIT_ASSERT(got.sent == sent_state::sent);
  }

  void answer_without_length_ends_with_its_connection() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const seen_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nall of it");
      s.close();
    });
    const result got = exchange_with(upstream);
    CPPUNIT_ASSERT(!got.fault);
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"), got.body);
  }

  void reset_within_an_answer_without_length_is_a_failure() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const seen_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nsome of it");
      s.set_option(boost::asio::socket_base::linger(true, 0));
      s.close();
    });
    CPPUNIT_ASSERT(exchange_with(upstream).fault == channel_fault::broken);
  }

  void garbage_is_a_failure() {
    raw_upstream upstream(
        m_io, [](tcp::socket& s, const seen_request&) { write_all(s, "\x01\x02garbage\r\n\r\n"); });
    const result got = exchange_with(upstream);
    CPPUNIT_ASSERT(got.fault == channel_fault::malformed);
    CPPUNIT_ASSERT_EQUAL(0U, got.status);
  }

  void refused_connection_sends_nothing() {
    tcp::acceptor closed(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const tcp::endpoint nobody = closed.local_endpoint();
    closed.close();
    const result got = exchange(upstream_channel::create(m_io, nobody, {}));
    CPPUNIT_ASSERT(got.fault == channel_fault::connect_failed);
    CPPUNIT_ASSERT(got.sent == sent_state::none);
  }

  // Guards against a request that is sent after the process was suspended.
  void nothing_is_sent_when_the_check_says_no() {
    raw_upstream upstream(
        m_io, [](tcp::socket& s, const seen_request&) { write_all(s, answer("own", "hi")); });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    result got;
    send(*channel, got, [] { return false; });
    CPPUNIT_ASSERT(run_until(m_io, [&] { return got.is_over; }));
    CPPUNIT_ASSERT(got.fault == channel_fault::refused_to_send);
    CPPUNIT_ASSERT(got.sent == sent_state::none);
    CPPUNIT_ASSERT_EQUAL(0, upstream.requests());
  }

  // Guards against a library that repeats a request on a new connection by itself.
  void request_on_a_dead_connection_is_not_sent_again() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const seen_request& seen) {
      if (seen.number == 0) {
        write_all(s, answer("own", "hi"));
      } else {
        s.close();
      }
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    exchange(channel);
    const result second = exchange(channel);
    CPPUNIT_ASSERT(second.fault == channel_fault::broken);
    CPPUNIT_ASSERT(second.sent == sent_state::sent);
    run_until(
        m_io, [] { return false; }, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(2, upstream.requests());
  }

  void cancelled_request_closes_its_connection() {
    raw_upstream upstream(m_io, [](tcp::socket&, const seen_request&) {});
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    result got;
    send(*channel, got);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return upstream.requests() == 1; }));
    channel->cancel();
    CPPUNIT_ASSERT(run_until(
        m_io, [&] { return upstream.closed() == 1; }, milliseconds(400)));
    CPPUNIT_ASSERT(!got.is_over);
  }

  void stated_idle_timeout_is_kept() {
    raw_upstream upstream(m_io, [](tcp::socket& s, const seen_request&) {
      write_all(s, answer("own", "hi", "Keep-Alive: timeout=1\r\n"));
    });
    channel_pool pool(m_io, {});
    const auto channel = pool.acquire("u", upstream.endpoint(), reuse::any);
    exchange(channel);
    pool.release("u", channel);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle());
    CPPUNIT_ASSERT(run_until(
        m_io, [&] { return pool.idle() == 0; }, milliseconds(1600)));
    CPPUNIT_ASSERT(run_until(m_io, [&] { return upstream.closed() == 1; }));
  }

  // Guards against a request that runs at most once on a connection that was dropped silently.
  void recent_reuse_takes_no_old_connection() {
    raw_upstream upstream(
        m_io, [](tcp::socket& s, const seen_request&) { write_all(s, answer("own", "hi")); });
    channel_pool pool(m_io, {});
    const auto first = pool.acquire("u", upstream.endpoint(), reuse::any);
    exchange(first);
    pool.release("u", first);
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::recent) == first);
    pool.release("u", first);
    run_until(
        m_io, [] { return false; }, milliseconds(800));
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::recent) != first);
    CPPUNIT_ASSERT(pool.acquire("u", upstream.endpoint(), reuse::any) == first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_test);

}  // namespace
}  // namespace fuchsiaspring::relay
