// How responses without a length end: in order, or by a reset whose error something else has taken.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fuchsiaspring/relay/upstream_channel.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::relay {
namespace {

using std::chrono::milliseconds;
using testing::run_until;
using testing::tcp;
using testing::write_all;

const request simple_request{.method = "GET", .target = "/a"};
// Longer than what the sockets buffer.
const request long_request{
    .method = "POST", .target = "/a", .headers = {}, .body = std::string(16U << 20U, 'x')};

// Heads of responses without a length: of either version, and of a stream.
const std::vector<std::string> early_heads{
    "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"};

struct exchange_result {
  bool is_finished = false;
  std::string body;
  std::optional<channel_fault> fault;
};

void reset(tcp::socket& peer) {
  boost::system::error_code ignored;
  peer.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  peer.close(ignored);
}

class upstream_end_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(upstream_end_test);
  CPPUNIT_TEST(reset_is_a_failure_after_a_look_for_input);
  CPPUNIT_TEST(reset_of_a_kept_connection_is_a_failure_after_a_look_for_input);
  CPPUNIT_TEST(reset_during_the_write_of_the_request_is_a_failure);
  CPPUNIT_TEST(reset_of_a_kept_connection_during_the_write_of_the_request_is_a_failure);
  CPPUNIT_TEST(orderly_end_during_the_write_of_the_request_completes_the_response);
  CPPUNIT_TEST(reset_behind_an_orderly_end_completes_the_response);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context m_io;
  tcp::acceptor m_acceptor{m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};

  void send(upstream_channel& channel, exchange_result& outcome, const request& message) {
    channel.send(message, nullptr, nullptr, [&outcome](const channel_event& event) {
      std::visit(overloaded{[](const response_started&) {},
                            [&](const body_received& received) { outcome.body += received.bytes; },
                            [&](const response_ended&) { outcome.is_finished = true; },
                            [&](const channel_failed& failed) {
                              outcome.is_finished = true;
                              outcome.fault = failed.fault;
                            }},
                 event);
    });
  }

  tcp::socket accept() {
    std::optional<tcp::socket> accepted;
    m_acceptor.async_accept([&](const boost::system::error_code&, tcp::socket socket) {
      accepted = std::move(socket);
    });
    CPPUNIT_ASSERT(run_until(m_io, [&] { return accepted.has_value(); }));
    return std::move(*accepted);
  }

  // The response begins, is reset while the event loop is busy, and something looks for input.
  void expect_failure_after_look(upstream_channel& channel, const exchange_result& outcome,
                                 tcp::socket& peer, const std::string& head) {
    write_all(peer, head + "\r\npart");
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.body == "part"; }));
    reset(peer);
    std::this_thread::sleep_for(milliseconds(5));
    CPPUNIT_ASSERT(channel.has_unread_input());
    CPPUNIT_ASSERT(channel.has_unread_input());
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.is_finished; }));
    CPPUNIT_ASSERT_MESSAGE(head, outcome.fault == channel_fault::broken);
  }

  // The following tests guard against a part of a response that passes for a complete one. A look
  // for input that takes the error of the connection leaves the read with the end of the
  // connection.
  void reset_is_a_failure_after_a_look_for_input() {
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 500 Failed\r\n",
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"}) {
      const auto channel = upstream_channel::create(m_io, m_acceptor.local_endpoint(), {});
      exchange_result outcome;
      send(*channel, outcome, simple_request);
      tcp::socket peer = accept();
      expect_failure_after_look(*channel, outcome, peer, head);
    }
  }

  void reset_of_a_kept_connection_is_a_failure_after_a_look_for_input() {
    const auto channel = upstream_channel::create(m_io, m_acceptor.local_endpoint(), {});
    exchange_result first;
    send(*channel, first, simple_request);
    tcp::socket peer = accept();
    write_all(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CPPUNIT_ASSERT(run_until(m_io, [&] { return first.is_finished; }));
    CPPUNIT_ASSERT(channel->is_reusable());
    exchange_result second;
    send(*channel, second, simple_request);
    expect_failure_after_look(*channel, second, peer, "HTTP/1.1 200 OK\r\n");
  }

  // The write of the request takes the error, and its handler may run behind that of the read. Many
  // connections are reset at different moments, so that some of them have either order.
  void expect_failures_during_write(bool are_connections_kept) {
    constexpr std::size_t connections = 40;
    const request message{
        .method = "POST", .target = "/a", .headers = {}, .body = std::string(1U << 22U, 'x')};
    // Takes whole packets, but not the request.
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(1 << 17));
    std::size_t complete = 0;
    for (std::size_t round = 0; round < 6; ++round) {
      const std::string& head = early_heads.at(round % early_heads.size());
      std::vector<std::shared_ptr<upstream_channel>> channels;
      std::vector<tcp::socket> peers;
      std::vector<exchange_result> outcomes(connections);
      for (std::size_t i = 0; i < connections; ++i) {
        channels.push_back(upstream_channel::create(m_io, m_acceptor.local_endpoint(), {}));
        if (are_connections_kept) {
          peers.push_back(keep_connection(*channels.back()));
        }
      }
      for (std::size_t i = 0; i < connections; ++i) {
        send(*channels[i], outcomes[i], message);
      }
      std::thread upstream([&] { reset_early_responses(std::move(peers), connections, head); });
      const bool are_finished = run_until(m_io, [&] {
        return std::ranges::all_of(outcomes, [](const auto& each) { return each.is_finished; });
      });
      upstream.join();
      CPPUNIT_ASSERT(are_finished);
      complete += static_cast<std::size_t>(
          std::ranges::count_if(outcomes, [](const auto& each) { return !each.fault; }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, complete);
  }

  void reset_during_the_write_of_the_request_is_a_failure() { expect_failures_during_write(false); }

  void reset_of_a_kept_connection_during_the_write_of_the_request_is_a_failure() {
    expect_failures_during_write(true);
  }

  // Carries one request on the channel's connection, and returns the upstream's side of it.
  tcp::socket keep_connection(upstream_channel& channel) {
    exchange_result first;
    send(channel, first, simple_request);
    tcp::socket peer = accept();
    std::array<char, 1024> head{};
    peer.read_some(boost::asio::buffer(head));
    write_all(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CPPUNIT_ASSERT(run_until(m_io, [&] { return first.is_finished; }));
    CPPUNIT_ASSERT(channel.is_reusable());
    return peer;
  }

  // Responds on `connections` connections before the requests have arrived, and resets all of them.
  // Without `peers` the connections are accepted first.
  void reset_early_responses(std::vector<tcp::socket> peers, std::size_t connections,
                             const std::string& head) {
    boost::asio::io_context io;
    const bool is_new = peers.empty();
    for (std::size_t i = 0; i < connections; ++i) {
      boost::system::error_code ignored;
      if (is_new) {
        peers.emplace_back(io);
        m_acceptor.accept(peers.back(), ignored);
      }
      std::array<char, 1024> request_head{};
      peers[i].read_some(boost::asio::buffer(request_head), ignored);
      write_all(peers[i], head + "\r\npart");
      if (i % 2 == 1) {
        reset(peers[i - 1]);
      }
    }
    std::this_thread::sleep_for(milliseconds(1));
    for (tcp::socket& peer : peers) {
      reset(peer);
    }
  }

  // The upstream ends a whole response before it has read the request; `then` may go on.
  void expect_complete_response(const std::function<void(tcp::socket&)>& then) {
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    const auto channel = upstream_channel::create(m_io, m_acceptor.local_endpoint(), {});
    exchange_result outcome;
    send(*channel, outcome, long_request);
    tcp::socket peer = accept();
    write_all(peer, "HTTP/1.1 200 OK\r\n\r\nwhole");
    peer.shutdown(tcp::socket::shutdown_send);
    then(peer);
    CPPUNIT_ASSERT(run_until(m_io, [&] { return outcome.is_finished; }));
    CPPUNIT_ASSERT(!outcome.fault);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), outcome.body);
    CPPUNIT_ASSERT(!channel->is_reusable());
  }

  // Guards against complete responses that are thrown away, or wait for the end of a request that
  // the upstream does not read.
  void orderly_end_during_the_write_of_the_request_completes_the_response() {
    expect_complete_response([](tcp::socket&) {});
  }

  void reset_behind_an_orderly_end_completes_the_response() {
    expect_complete_response([](tcp::socket& peer) {
      std::this_thread::sleep_for(milliseconds(5));
      reset(peer);
      std::this_thread::sleep_for(milliseconds(5));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_end_test);

}  // namespace
}  // namespace fuchsiaspring::relay
