// Tests of upstream channels whose upstream stops in the middle of the head of a response.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/relay/upstream_channel.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::relay {
namespace {

using testing::raw_upstream;
using testing::received_request;
using testing::run_until;
using testing::tcp;
using testing::write_all;

enum class ending { closed, reset };

const std::string whole_response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

struct exchange_result {
  bool has_started = false;
  bool has_ended = false;
  std::optional<channel_failed> failure;
};

class head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(head_test);
  CPPUNIT_TEST(head_that_ends_at_any_byte_is_a_failure);
  CPPUNIT_TEST(head_that_is_reset_at_any_byte_is_a_failure);
  CPPUNIT_TEST(head_behind_an_interim_response_that_ends_at_any_byte_is_a_failure);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> heads() {
    std::vector<std::string> all;
    for (const std::string version : {"1.1", "1.0"}) {
      const std::string begin = "HTTP/" + version + " 200 OK\r\nX-Id: own\r\n";
      all.push_back(begin + "Content-Length: 12\r\n\r\n");
      all.push_back(begin + "\r\n");
    }
    all.emplace_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: own\r\n\r\n");
    all.emplace_back("HTTP/1.1 204 No Content\r\nX-Id: own\r\n\r\n");
    return all;
  }

  exchange_result exchange(const std::shared_ptr<upstream_channel>& channel,
                           const std::string& method) {
    exchange_result outcome;
    channel->send({.method = method, .target = "/a", .headers = {}, .body = {}}, nullptr, nullptr,
                  [&outcome](const channel_event& event) {
                    if (std::holds_alternative<response_started>(event)) {
                      outcome.has_started = true;
                    } else if (std::holds_alternative<response_ended>(event)) {
                      outcome.has_ended = true;
                    } else if (const auto* failed = std::get_if<channel_failed>(&event)) {
                      outcome.failure = *failed;
                    }
                  });
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.has_ended || outcome.failure; }));
    return outcome;
  }

  // The upstream ends each connection behind `bytes`, the whole response to the first request of a
  // kept connection excepted.
  void expect_failure(const std::string& bytes, const std::string& method, bool is_kept,
                      ending how) {
    raw_upstream upstream(m_io, [&](tcp::socket& s, const received_request& r) {
      if (is_kept && r.number == 0) {
        write_all(s, whole_response);
        return;
      }
      write_all(s, bytes);
      if (how == ending::reset) {
        s.set_option(boost::asio::socket_base::linger(true, 0));
      }
      s.close();
    });
    const auto channel = upstream_channel::create(m_io, upstream.endpoint(), {});
    if (is_kept) {
      CPPUNIT_ASSERT(exchange(channel, "GET").has_ended);
    }
    const exchange_result outcome = exchange(channel, method);
    const std::string message = method + (is_kept ? ", kept: " : ", new: ") + bytes;
    CPPUNIT_ASSERT_MESSAGE(message, !outcome.has_started);
    CPPUNIT_ASSERT_MESSAGE(message, outcome.failure);
    CPPUNIT_ASSERT_MESSAGE(message, outcome.failure->fault == channel_fault::broken);
    CPPUNIT_ASSERT_MESSAGE(message, outcome.failure->sent == sent_state::sent);
  }

  void expect_failures(const std::string& interim, ending how) {
    for (const std::string& head : heads()) {
      for (const std::string method : {"GET", "HEAD"}) {
        for (const bool is_kept : {false, true}) {
          for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            expect_failure(interim + head.substr(0, bytes), method, is_kept, how);
          }
        }
      }
    }
  }

  // The following tests guard against a part of a head that passes for a whole one, so that the
  // caller gets a success with an empty body.
  void head_that_ends_at_any_byte_is_a_failure() { expect_failures("", ending::closed); }

  void head_that_is_reset_at_any_byte_is_a_failure() { expect_failures("", ending::reset); }

  void head_behind_an_interim_response_that_ends_at_any_byte_is_a_failure() {
    expect_failures("HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n", ending::closed);
    const std::string interim = "HTTP/1.1 100 Continue\r\nX-Step: 1\r\n\r\n";
    for (std::size_t bytes = 0; bytes <= interim.size(); ++bytes) {
      expect_failure(interim.substr(0, bytes), "GET", false, ending::closed);
      expect_failure(interim.substr(0, bytes), "GET", true, ending::reset);
    }
  }

  boost::asio::io_context m_io;
};

CPPUNIT_TEST_SUITE_REGISTRATION(head_test);

}  // namespace
}  // namespace fuchsiaspring::relay
