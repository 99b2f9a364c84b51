#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "fuchsiaspring/event_stream/event_splitter.h"
#include "fuchsiaspring/http/http_server.h"
#include "fuchsiaspring/http/upstream_transfer.h"

namespace fuchsiaspring::http {
namespace {

using std::chrono::milliseconds;

constexpr const char* address = "127.0.0.1:20201";
const std::string url = "http://127.0.0.1:20201";

// Sends numbered events until the stream is destroyed.
class counting_stream : public body_stream {
 public:
  counting_stream(int limit, stream_state ending, std::atomic<bool>& destroyed,
                  milliseconds pause = milliseconds(1))
      : m_limit(limit), m_ending(ending), m_destroyed(destroyed), m_pause(pause) {}
  counting_stream(const counting_stream&) = delete;
  counting_stream& operator=(const counting_stream&) = delete;
  counting_stream(counting_stream&&) = delete;
  counting_stream& operator=(counting_stream&&) = delete;
  ~counting_stream() override { m_destroyed = true; }

  stream_read read(std::span<char> buffer) override {
    if (m_sent == m_limit) {
      return {m_ending, 0};
    }
    const std::string event = "data: " + std::to_string(m_sent++) + "\n\n";
    std::copy(event.begin(), event.end(), buffer.begin());
    std::this_thread::sleep_for(m_pause);
    return {stream_state::data, event.size()};
  }

 private:
  int m_limit;
  stream_state m_ending;
  std::atomic<bool>& m_destroyed;
  milliseconds m_pause;
  int m_sent = 0;
};

base::result<std::string> read_all(upstream_transfer& transfer) {
  std::string text;
  std::array<char, 1000> buffer{};
  while (true) {
    auto size = transfer.read(buffer);
    if (!size) {
      return size.error();
    }
    if (size.value() == 0) {
      return text;
    }
    text.append(buffer.data(), size.value());
  }
}

in_port_t peer_port(int descriptor) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size);
  return peer.sin_port;
}

bool becomes_true(const std::atomic<bool>& value) {
  for (int i = 0; i < 200 && !value; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return value;
}

class http_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_test);
  CPPUNIT_TEST(complete_response_arrives);
  CPPUNIT_TEST(stream_arrives_complete_and_in_order);
  CPPUNIT_TEST(broken_stream_is_an_error);
  CPPUNIT_TEST(refused_connection_sends_nothing);
  CPPUNIT_TEST(failed_send_check_sends_nothing);
  CPPUNIT_TEST(silent_upstream_times_out);
  CPPUNIT_TEST(connections_that_were_idle_beside_a_silent_one_are_not_reused);
  CPPUNIT_TEST(destroyed_transfer_cancels_the_stream);
  CPPUNIT_TEST(disconnect_is_detected_while_the_handler_waits);
  CPPUNIT_TEST(body_over_the_limit_is_reported_as_too_large);
  CPPUNIT_TEST(drained_server_finishes_open_streams);
  CPPUNIT_TEST(pauses_beyond_the_connection_timeout_do_not_cut_a_response);
  CPPUNIT_TEST(caller_that_takes_no_bytes_is_given_up);
  CPPUNIT_TEST(second_server_on_the_address_fails);
  CPPUNIT_TEST(events_are_split_at_any_byte);
  CPPUNIT_TEST_SUITE_END();

  transfer_pool m_pool;
  std::atomic<bool> m_destroyed{false};

  void complete_response_arrives() {
    http_server server({.listen_address = address}, [](http_request& request) {
      return http_response::text(201, request.method + " " + request.target + " " + request.body +
                                          request.header("x-name"));
    });
    CPPUNIT_ASSERT(server.start());
    upstream_transfer transfer(
        m_pool,
        {.url = url + "/a?b=c", .method = "POST", .headers = {"X-Name: n"}, .body = "text"});
    CPPUNIT_ASSERT_EQUAL(201, transfer.wait_for_head().value());
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a?b=c textn"), read_all(transfer).value());
  }

  http_server streaming_server(int limit, stream_state ending) {
    return {{.listen_address = address}, [this, limit, ending](http_request&) {
              return http_response{
                  200, {}, std::make_unique<counting_stream>(limit, ending, m_destroyed)};
            }};
  }

  void stream_arrives_complete_and_in_order() {
    http_server server = streaming_server(50, stream_state::end);
    CPPUNIT_ASSERT(server.start());
    upstream_transfer transfer(m_pool, {.url = url});
    CPPUNIT_ASSERT_EQUAL(200, transfer.wait_for_head().value());
    std::string expected;
    for (int i = 0; i < 50; ++i) {
      expected += "data: " + std::to_string(i) + "\n\n";
    }
    CPPUNIT_ASSERT_EQUAL(expected, read_all(transfer).value());
  }

  // Guards against an upstream crash that looks like the end of a response.
  void broken_stream_is_an_error() {
    http_server server = streaming_server(5, stream_state::broken);
    CPPUNIT_ASSERT(server.start());
    upstream_transfer transfer(m_pool, {.url = url});
    CPPUNIT_ASSERT(transfer.wait_for_head());
    CPPUNIT_ASSERT(!read_all(transfer));
  }

  void refused_connection_sends_nothing() {
    upstream_transfer transfer(m_pool, {.url = "http://127.0.0.1:20299/", .method = "POST"});
    const auto status = transfer.wait_for_head();
    CPPUNIT_ASSERT(!status && status.error().code == base::error_code::unavailable);
    CPPUNIT_ASSERT(!transfer.is_sent());
  }

  // Guards against reporting a request as not run after it was sent.
  void failed_send_check_sends_nothing() {
    std::atomic<int> calls{0};
    http_server server({.listen_address = address}, [&](http_request&) {
      ++calls;
      return http_response::text(200, "ok");
    });
    CPPUNIT_ASSERT(server.start());
    upstream_transfer transfer(m_pool,
                               {.url = url, .method = "POST", .before_send = [] { return false; }});
    const auto status = transfer.wait_for_head();
    CPPUNIT_ASSERT(!status && status.error().code == base::error_code::failed_precondition);
    CPPUNIT_ASSERT(!transfer.is_sent());
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, calls.load());
  }

  void silent_upstream_times_out() {
    http_server server({.listen_address = address}, [](http_request&) {
      std::this_thread::sleep_for(milliseconds(500));
      return http_response::text(200, "late");
    });
    CPPUNIT_ASSERT(server.start());
    upstream_transfer transfer(
        m_pool,
        {.url = url, .connect_timeout = milliseconds(50), .first_byte_timeout = milliseconds(100)});
    const auto status = transfer.wait_for_head();
    CPPUNIT_ASSERT(!status && status.error().code == base::error_code::timed_out);
    CPPUNIT_ASSERT(transfer.is_sent());
  }

  // Guards against requests that time out one after the other on kept connections, all of which
  // stopped to deliver bytes while they were idle.
  void connections_that_were_idle_beside_a_silent_one_are_not_reused() {
    constexpr milliseconds first_byte_timeout(100);
    std::mutex mutex;
    std::set<in_port_t> known_ports;
    std::atomic<bool> is_silent = false;
    http_server server({.listen_address = address}, [&](http_request& request) {
      const in_port_t port = peer_port(request.connection.descriptor());
      bool is_known = false;
      {
        const std::lock_guard lock(mutex);
        is_known = !known_ports.insert(port).second;
      }
      if (is_silent && is_known) {
        std::this_thread::sleep_for(5 * first_byte_timeout);
      }
      return http_response::text(200, "ok");
    });
    CPPUNIT_ASSERT(server.start());
    const transfer_options options{
        .url = url, .connect_timeout = milliseconds(50), .first_byte_timeout = first_byte_timeout};
    {
      upstream_transfer first(m_pool, options);
      upstream_transfer second(m_pool, options);
      CPPUNIT_ASSERT(first.wait_for_head() && second.wait_for_head());
      CPPUNIT_ASSERT(read_all(first) && read_all(second));
    }
    is_silent = true;
    {
      upstream_transfer third(m_pool, options);
      const auto status = third.wait_for_head();
      CPPUNIT_ASSERT(!status && status.error().code == base::error_code::timed_out);
    }
    upstream_transfer fourth(m_pool, options);
    upstream_transfer fifth(m_pool, options);
    CPPUNIT_ASSERT(fourth.wait_for_head());
    CPPUNIT_ASSERT(fifth.wait_for_head());
  }

  void destroyed_transfer_cancels_the_stream() {
    http_server server = streaming_server(1000000, stream_state::end);
    CPPUNIT_ASSERT(server.start());
    {
      upstream_transfer transfer(m_pool, {.url = url});
      CPPUNIT_ASSERT(transfer.wait_for_head());
    }
    CPPUNIT_ASSERT(becomes_true(m_destroyed));
    for (int i = 0; i < 100 && server.requests_in_flight() > 0; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests_in_flight());
  }

  // Guards against queued work for a caller that has disconnected.
  void disconnect_is_detected_while_the_handler_waits() {
    std::atomic<bool> disconnect_detected{false};
    http_server server({.listen_address = address}, [&](http_request& request) {
      for (int i = 0; i < 200 && !disconnect_detected; ++i) {
        disconnect_detected = request.connection.is_closed();
        std::this_thread::sleep_for(milliseconds(10));
      }
      return http_response::text(200, "late");
    });
    CPPUNIT_ASSERT(server.start());
    {
      upstream_transfer transfer(m_pool, {.url = url,
                                          .connect_timeout = milliseconds(50),
                                          .first_byte_timeout = milliseconds(50)});
      CPPUNIT_ASSERT(!transfer.wait_for_head());
    }
    CPPUNIT_ASSERT(becomes_true(disconnect_detected));
  }

  void body_over_the_limit_is_reported_as_too_large() {
    http_server server({.listen_address = address, .max_body_bytes = 1000},
                       [](http_request& request) {
                         return http_response::text(request.body_too_large ? 413 : 200, "x");
                       });
    CPPUNIT_ASSERT(server.start());
    for (const auto& [size, status] : {std::pair{1000, 200}, {1001, 413}, {500000, 413}}) {
      upstream_transfer transfer(m_pool,
                                 {.url = url, .method = "POST", .body = std::string(size, 'x')});
      CPPUNIT_ASSERT_EQUAL(status, transfer.wait_for_head().value());
    }
  }

  void drained_server_finishes_open_streams() {
    http_server server = streaming_server(100, stream_state::end);
    CPPUNIT_ASSERT(server.start());
    upstream_transfer transfer(m_pool, {.url = url});
    CPPUNIT_ASSERT(transfer.wait_for_head());
    server.stop_accepting();
    upstream_transfer late(m_pool, {.url = url, .fresh_connection = true});
    CPPUNIT_ASSERT(!late.wait_for_head());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests_in_flight());
    CPPUNIT_ASSERT(read_all(transfer));
    for (int i = 0; i < 100 && server.requests_in_flight() > 0; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests_in_flight());
  }

  // Guards against a sound response that is cut because its first byte or a later one comes late.
  void pauses_beyond_the_connection_timeout_do_not_cut_a_response() {
    constexpr milliseconds pause(2100);
    http_server server(
        {.listen_address = address, .connection_timeout_s = 1}, [&](http_request& request) {
          if (request.path == "/late") {
            std::this_thread::sleep_for(pause);
            return http_response::text(200, "late");
          }
          return http_response{
              200, {}, std::make_unique<counting_stream>(3, stream_state::end, m_destroyed, pause)};
        });
    CPPUNIT_ASSERT(server.start());
    upstream_transfer late(m_pool, {.url = url + "/late"});
    CPPUNIT_ASSERT_EQUAL(200, late.wait_for_head().value());
    CPPUNIT_ASSERT_EQUAL(std::string("late"), read_all(late).value());
    upstream_transfer stream(m_pool, {.url = url});
    CPPUNIT_ASSERT(stream.wait_for_head());
    const auto text = read_all(stream);
    CPPUNIT_ASSERT_MESSAGE(text ? "" : text.error().message, text);
    CPPUNIT_ASSERT_EQUAL(std::string("data: 0\n\ndata: 1\n\ndata: 2\n\n"), text.value());
  }

  // Guards against threads and bodies that are kept for callers that have stopped reading.
  void caller_that_takes_no_bytes_is_given_up() {
    constexpr std::size_t body_bytes = 64U << 20U;  // more than the buffers of the sockets hold
    http_server server({.listen_address = address, .connection_timeout_s = 1}, [&](http_request&) {
      return http_response::text(200, std::string(body_bytes, 'x'));
    });
    CPPUNIT_ASSERT(server.start());
    upstream_transfer transfer(m_pool, {.url = url});
    CPPUNIT_ASSERT(transfer.wait_for_head());
    for (int i = 0; i < 500 && server.requests_in_flight() > 0; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests_in_flight());
    CPPUNIT_ASSERT(!read_all(transfer));
  }

  // Guards against two processes that listen on one address and each get part of the callers.
  void second_server_on_the_address_fails() {
    http_server first = streaming_server(1, stream_state::end);
    CPPUNIT_ASSERT(first.start());
    http_server second = streaming_server(1, stream_state::end);
    CPPUNIT_ASSERT(!second.start());
  }

  void events_are_split_at_any_byte() {
    const std::string text =
        "data: {\"a\":1}\n\n: note\n\ndata: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
      event_stream::event_splitter splitter;
      std::string raw;
      std::vector<std::string> data;
      for (const auto& part : {text.substr(0, cut), text.substr(cut)}) {
        splitter.append(part);
        while (auto event = splitter.next()) {
          raw += event->raw;
          data.push_back(event->data);
        }
      }
      CPPUNIT_ASSERT_EQUAL(text, raw);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, data.size());
      CPPUNIT_ASSERT_EQUAL(std::string("x\ny"), data[2]);
      CPPUNIT_ASSERT(!splitter.has_partial_event());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_test);

}  // namespace
}  // namespace fuchsiaspring::http
