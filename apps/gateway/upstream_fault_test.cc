// Tests of the gateway with upstreams that send faulty HTTP.
#include <boost/asio/executor_work_guard.hpp>
#include <charconv>

#include "apps/gateway/gateway_fixture.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::gateway {
namespace {

using relay::testing::raw_upstream;
using relay::testing::received_request;
using relay::testing::tcp;
using relay::testing::write_all;

// A raw_upstream with a thread of its own.
class upstream_thread {
 public:
  explicit upstream_thread(raw_upstream::request_handler on_request)
      : m_upstream(m_io, std::move(on_request)), m_thread([this] {
          const auto work = boost::asio::make_work_guard(m_io);
          m_io.run();
        }) {}
  upstream_thread(const upstream_thread&) = delete;
  upstream_thread& operator=(const upstream_thread&) = delete;
  upstream_thread(upstream_thread&&) = delete;
  upstream_thread& operator=(upstream_thread&&) = delete;
  ~upstream_thread() {
    m_io.stop();
    m_thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_upstream.endpoint().port());
  }

 private:
  boost::asio::io_context m_io;
  raw_upstream m_upstream;
  std::thread m_thread;
};

std::string with_length(const std::string& status, const std::string& body,
                        const std::string& content_type = "application/json") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + content_type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& bytes) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), bytes.size(), 16).ptr;
  return std::string(digits.begin(), end) + "\r\n" + bytes + "\r\n";
}

const std::string upstream_refusal = with_length("503 Busy", R"({"executed":"no"})");

class upstream_fault_test : public gateway_fixture {
  CPPUNIT_TEST_SUITE(upstream_fault_test);
  CPPUNIT_TEST(refusal_that_is_written_once_more_answers_no_other_request);
  CPPUNIT_TEST(bytes_behind_a_response_answer_no_other_request);
  CPPUNIT_TEST(response_that_is_no_stream_does_not_begin_one);
  CPPUNIT_TEST(text_of_an_error_is_not_relayed_within_a_stream);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<upstream_thread> serve(raw_upstream::request_handler on_request) {
    auto upstream = std::make_unique<upstream_thread>(std::move(on_request));
    m_granted_address = upstream->address();
    return upstream;
  }

  // An upstream that writes `bytes` in response to each request and ends the connection.
  std::unique_ptr<upstream_thread> serve_and_end(const std::string& bytes) {
    return serve([bytes](tcp::socket& socket, const received_request&) {
      write_all(socket, bytes);
      boost::system::error_code ignored;  // the gateway may have closed first
      socket.shutdown(tcp::socket::shutdown_send, ignored);
    });
  }

  received_response look_up() {
    return post("/services/payments/balance", "{}", {"X-Request-Class: look"});
  }

  // The following two tests guard against "not run" for a request that ran, from an upstream that
  // writes the refusal of an earlier request once more.
  void refusal_that_is_written_once_more_answers_no_other_request() {
    const auto upstream = serve([](tcp::socket& socket, const received_request& request) {
      write_all(socket, request.connection == 0 ? upstream_refusal
                                                : with_length("200 OK", R"({"balance":1})"));
    });
    CPPUNIT_ASSERT_EQUAL(503, look_up().status);
    const received_response second = look_up();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(second.body, 200, second.status);
  }

  void bytes_behind_a_response_answer_no_other_request() {
    for (const bool is_refusal_late : {false, true}) {
      std::atomic<int> written_refusals{0};
      const auto upstream = serve([&](tcp::socket& socket, const received_request& request) {
        const std::string answer = with_length("200 OK", std::to_string(request.connection));
        if (is_refusal_late) {
          write_all(socket, answer);
          std::this_thread::sleep_for(milliseconds(20));
          write_all(socket, upstream_refusal);
        } else {
          write_all(socket, answer + upstream_refusal);
        }
        ++written_refusals;
      });
      for (int i = 0; i < 3; ++i) {
        const received_response response = look_up();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::to_string(i), response.body);
        wait_until([&] { return written_refusals == i + 1; });
      }
    }
  }

  // Guards against the text of an error as a part of a stream, or a stream that seems complete.
  void response_that_is_no_stream_does_not_begin_one() {
    const std::string text = "Internal error\n\n";
    const std::string event = stream_chunk("a") + "data: [DONE]\n\n";
    for (const std::string& bytes : {
             with_length("200 OK", text, "text/plain"),
             with_length("200 OK", text, "text/event-stream"),
             with_length("200 OK", event, "text/html"),
             with_length("200 OK", R"({"error":"x"})" + std::string("\n\n")),
             with_length("200 OK", "", "text/event-stream"),
             with_length("201 Created", event, "text/event-stream"),
             with_length("206 Partial Content", event, "text/event-stream"),
             std::string("HTTP/1.1 204 No Content\r\n\r\n"),
             with_length("404 Not Found", text, "text/plain"),
             with_length("500 Internal Server Error", event, "text/event-stream"),
             std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"),
             std::string("HTTP/1.0 200 OK\r\n\r\n"),
         }) {
      const auto upstream = serve_and_end(bytes);
      const received_response response = post_chat(chat_stream_body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 502, response.status);
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), response.error()["executed"].get<std::string>());
      CPPUNIT_ASSERT_MESSAGE(response.body, response.body.find("Internal") == std::string::npos);
    }
  }

  void text_of_an_error_is_not_relayed_within_a_stream() {
    for (const std::string& text :
         {std::string("Internal error\n\n"), upstream_refusal + "\r\n\r\n",
          std::string("data: {\"id\":\"a\"}\nInternal error\n\n")}) {
      const auto upstream =
          serve_and_end(stream_head + chunk(stream_chunk("a")) + chunk(text) + "0\r\n\r\n");
      const received_response response = post_chat(chat_stream_body);
      expect_broken_stream(response, "upstream_invalid");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, stream_chunk("a"),
                                   response.body.substr(0, stream_chunk("a").size()));
      CPPUNIT_ASSERT_MESSAGE(response.body, response.body.find("Internal") == std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(response.body, response.body.find("HTTP/1.1") == std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_fault_test);

}  // namespace
}  // namespace fuchsiaspring::gateway
