// Tests of requests whose framing or trailer could make a router and a replica see different
// requests.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "fuchsiaspring/relay/caller_connection.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::relay {
namespace {

using testing::raw_caller;
using testing::run_until;

const std::string hidden_request = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
const std::string chunked_body = "3\r\nabc\r\n0\r\n\r\n";

class framing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(framing_test);
  CPPUNIT_TEST(request_with_an_ambiguous_transfer_encoding_is_rejected);
  CPPUNIT_TEST(request_with_an_unsupported_transfer_coding_is_rejected);
  CPPUNIT_TEST(chunked_is_accepted_in_any_case);
  CPPUNIT_TEST(trailer_fields_do_not_become_headers);
  CPPUNIT_TEST_SUITE_END();

  struct fixture {
    fixture()
        : listener(
              io, {boost::asio::ip::address_v4::loopback(), 0}, {}, 10,
              [this](caller_connection& caller, request message) {
                requests.push_back(std::move(message));
                caller.respond({{200, {}}, "ok"});
              },
              [](input_fault) {}) {
      listener.start();
    }

    boost::asio::io_context io;
    std::vector<request> requests;
    caller_listener listener;
  };

  static void expect_rejection(const std::string& version, const std::string& fields,
                               const std::string& body, const std::string& status) {
    fixture f;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write("POST /a HTTP/" + version + "\r\nHost: h\r\n" + fields + "\r\n" + body);
    CPPUNIT_ASSERT_MESSAGE(fields, run_until(f.io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, "HTTP/1.1 " + status, caller.received().substr(0, 12));
    CPPUNIT_ASSERT_MESSAGE(fields, f.requests.empty());
  }

  // Guards against request smuggling: a body that the router does not see is a request to it.
  void request_with_an_ambiguous_transfer_encoding_is_rejected() {
    for (const std::string codings :
         {"identity", "gzip", "chunked, gzip", "xchunked", "chunked;a=1", "\"chunked\"", "",
          "chunked,", "chunked, chunked", "gzip\r\nTransfer-Encoding: identity",
          "chunked\r\nTransfer-Encoding: gzip", "chunked\r\nTransfer-Encoding: chunked"}) {
      const std::string field = "Transfer-Encoding: " + codings + "\r\n";
      expect_rejection("1.1", field, hidden_request, "400");
      expect_rejection("1.1", field, "0\r\n\r\n" + hidden_request, "400");
    }
    for (const std::string codings : {"identity", "chunked"}) {
      const std::string field = "Transfer-Encoding: " + codings + "\r\n";
      expect_rejection("1.1", "Content-Length: 3\r\n" + field, chunked_body, "400");
      expect_rejection("1.1", field + "Content-Length: 3\r\n", chunked_body, "400");
      expect_rejection("1.0", field + "Connection: keep-alive\r\n", chunked_body, "400");
    }
  }

  // Guards against a body that reaches the replica still encoded, without the header that says so.
  void request_with_an_unsupported_transfer_coding_is_rejected() {
    expect_rejection("1.1", "Transfer-Encoding: gzip, chunked\r\n", chunked_body, "501");
    expect_rejection("1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                     chunked_body, "501");
  }

  static request accepted_request(const std::string& head, const std::string& body) {
    fixture f;
    raw_caller caller(f.io, f.listener.local_endpoint());
    caller.write("POST /a HTTP/1.1\r\n" + head + "\r\n" + body);
    CPPUNIT_ASSERT(run_until(f.io, [&] { return f.requests.size() == 1; }));
    return f.requests[0];
  }

  void chunked_is_accepted_in_any_case() {
    const request message = accepted_request("transfer-encoding: Chunked \r\n", chunked_body);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), message.body.text());
  }

  // Guards against a key in a trailer that admits the request (RFC 9110, section 6.5.1).
  void trailer_fields_do_not_become_headers() {
    const header_list expected = {{"Host", "h"}, {"X-Id", "1"}, {"Transfer-Encoding", "chunked"}};
    const request message = accepted_request(
        "Host: h\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n",
        "3\r\nabc\r\n0\r\nAuthorization: Bearer key\r\nX-Id: 2\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(message.headers == expected);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), message.body.text());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(framing_test);

}  // namespace
}  // namespace fuchsiaspring::relay
