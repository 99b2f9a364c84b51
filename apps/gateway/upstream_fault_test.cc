// Tests of the gateway with upstreams that send faulty HTTP.
#include <boost/asio/executor_work_guard.hpp>

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

std::string with_length(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const std::string upstream_refusal = with_length("503 Busy", R"({"executed":"no"})");

class upstream_fault_test : public gateway_fixture {
  CPPUNIT_TEST_SUITE(upstream_fault_test);
  CPPUNIT_TEST(refusal_that_is_written_once_more_answers_no_other_request);
  CPPUNIT_TEST(bytes_behind_a_response_answer_no_other_request);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<upstream_thread> serve(raw_upstream::request_handler on_request) {
    auto upstream = std::make_unique<upstream_thread>(std::move(on_request));
    m_granted_address = upstream->address();
    return upstream;
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_fault_test);

}  // namespace
}  // namespace fuchsiaspring::gateway
