// Connections of callers whose listener is short of memory or connections.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::relay {
namespace {

using std::chrono::milliseconds;
using testing::raw_caller;
using testing::run_until;

constexpr std::size_t body_bytes = 100'000;
// Room for one body above the size that needs a reservation, and for small requests beside it.
const memory_limits one_body{
    .bytes = 1'000'000, .reserved_bytes = 150'000, .waiting_bytes = 400'000};

std::string head_of(std::size_t length) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

const std::string large_request = head_of(body_bytes) + std::string(body_bytes, 'x');

class caller_memory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_memory_test);
  CPPUNIT_TEST(body_waits_for_memory_while_small_requests_go_on);
  CPPUNIT_TEST(stalled_body_gives_way_to_one_that_waits);
  CPPUNIT_TEST(stalled_head_gives_way_when_connections_are_short);
  CPPUNIT_TEST(body_that_arrives_a_byte_at_a_time_ends_at_its_timeout);
  CPPUNIT_TEST(chunks_of_one_byte_are_charged_by_their_bytes);
  CPPUNIT_TEST(charges_return_to_zero);
  CPPUNIT_TEST_SUITE_END();

  struct fixture {
    explicit fixture(const memory_limits& memory, caller_limits limits = {},
                     std::size_t max_connections = 100)
        : budget(memory_budget::create(memory)),
          listener(
              io, {boost::asio::ip::address_v4::loopback(), 0}, limits, max_connections,
              [this](caller_connection& caller, request message) {
                requests.push_back(std::move(message));
                callers.push_back(caller.shared_from_this());
              },
              [this](input_fault fault) { faults.push_back(fault); }, budget) {
      listener.set_close_handler([this](const closed_connection& each) { closed.push_back(each); });
      listener.start();
    }

    std::unique_ptr<raw_caller> send(const std::string& bytes) {
      auto caller = std::make_unique<raw_caller>(io, listener.local_endpoint());
      caller->write(bytes);
      return caller;
    }

    boost::asio::io_context io;
    std::shared_ptr<memory_budget> budget;
    std::vector<request> requests;
    std::vector<std::shared_ptr<caller_connection>> callers;
    std::vector<input_fault> faults;
    std::vector<closed_connection> closed;
    caller_listener listener;
  };

  void body_waits_for_memory_while_small_requests_go_on() {
    fixture f(one_body);
    const auto first = f.send(large_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 1; }));
    const auto second = f.send(large_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.budget->waiting() == 1; }));
    const auto small = f.send(head_of(5) + "small");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("small"), f.requests[1].body.text());
    f.requests[0].body = {};
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::string(body_bytes, 'x'), f.requests[2].body.text());
    CPPUNIT_ASSERT(f.faults.empty());
  }

  // Guards against callers that stop in the middle of a body and keep others out.
  void stalled_body_gives_way_to_one_that_waits() {
    fixture f(one_body);
    const auto stalled = f.send(head_of(body_bytes) + "x");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.budget->reserved_bytes() > 0; }));
    const auto waiting = f.send(large_request);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 1; }));
    CPPUNIT_ASSERT(run_until(f.io, [&] { return stalled->is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), stalled->received().substr(0, 12));
    CPPUNIT_ASSERT(stalled->received().find("Retry-After: 1\r\n") != std::string::npos);
  }

  void stalled_head_gives_way_when_connections_are_short() {
    fixture f({}, {}, 1);
    const auto stalled = f.send("GET /a HTT");
    run_until(
        f.io, [] { return false; }, milliseconds(1100));
    const auto next = f.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.closed.size());
    CPPUNIT_ASSERT(f.closed[0].reason == close_reason::stalled);
  }

  void body_that_arrives_a_byte_at_a_time_ends_at_its_timeout() {
    fixture f({}, {.idle_timeout = std::chrono::seconds(5), .body_timeout = milliseconds(300)});
    const auto caller = f.send(head_of(body_bytes));
    for (int i = 0; i < 100 && !caller->is_closed(); ++i) {
      caller->write("x");
      run_until(
          f.io, [&] { return caller->is_closed(); }, milliseconds(20));
    }
    CPPUNIT_ASSERT(caller->is_closed());
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408"), caller->received().substr(0, 12));
  }

  void chunks_of_one_byte_are_charged_by_their_bytes() {
    fixture f(one_body);
    std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 3000; ++i) {
      bytes += "1\r\nx\r\n";
    }
    const auto caller = f.send(bytes + "0\r\n\r\n");
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string(3000, 'x'), f.requests[0].body.text());
    const std::size_t with_body = f.budget->used_bytes();
    f.requests.clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4096}, with_body - f.budget->used_bytes());
  }

  // Guards against charges that outlive what they were made for, after which nothing is served.
  void charges_return_to_zero() {
    fixture f(one_body);
    {
      const auto whole = f.send(large_request);
      const auto partial = f.send(head_of(5) + "x");
      const auto broken = f.send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n");
      CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 1; }));
      f.callers[0]->respond({{200, {}}, "ok"});
      CPPUNIT_ASSERT(run_until(f.io, [&] { return whole->received().ends_with("ok"); }));
    }
    f.requests.clear();
    f.callers.clear();
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.budget->used_bytes() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.budget->reserved_bytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_memory_test);

}  // namespace
}  // namespace fuchsiaspring::relay
