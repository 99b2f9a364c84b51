// End-to-end tests of sound replicas that fall silent for a while in the middle of a response.
#include <deque>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

const std::string last_chunk = "0\r\n\r\n";

// Bytes of a response and the pause before them.
struct response_part {
  milliseconds pause{};
  std::string bytes;
};

class node_silence_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_silence_test);
  CPPUNIT_TEST(paused_stream_is_completed_although_the_other_replica_rejects);
  CPPUNIT_TEST(paused_stream_is_completed_although_the_other_replica_fails);
  CPPUNIT_TEST(paused_stream_is_completed_although_the_other_replica_breaks_off);
  CPPUNIT_TEST(stream_that_pauses_inside_an_event_is_completed);
  CPPUNIT_TEST(stream_that_pauses_before_its_end_is_completed);
  CPPUNIT_TEST(given_up_stream_is_resumed_at_a_replica_that_was_busy);
  CPPUNIT_TEST(given_up_stream_waits_for_an_outdated_configuration);
  CPPUNIT_TEST(whole_response_that_arrives_in_pieces_is_not_given_up);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    m_timers.clear();
    node_fixture::tearDown();
  }

 private:
  // Shorter than the pause after which a replica is taken for dead, longer than usual gaps.
  static constexpr milliseconds sound_pause{1700};
  // Longer than a stall, an outdated configuration and the second attempt together.
  static constexpr milliseconds route_timeout{9000};

  static json config_with_long_timeout() {
    json config = make_config(1);
    for (json& route : config["routes"]) {
      route["timeout-ms"] = route_timeout.count();
    }
    return config;
  }

  // Adds two replicas. The first one that gets a request writes the parts of a stream, the other
  // one responds with `respond_otherwise`.
  void add_pausing_and_other_replica(const std::vector<response_part>& parts,
                                     const request_handler& respond_otherwise) {
    const auto respond = [this, parts, respond_otherwise](tcp::socket& s,
                                                          const received_request& r) {
      if (m_replica_requests.size() > 1) {
        respond_otherwise(s, r);
        return;
      }
      write_all(s, stream_response_head(r));
      write_parts(s, parts);
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
  }

  void write_parts(tcp::socket& socket, const std::vector<response_part>& parts) {
    milliseconds at{};
    for (const response_part& each : parts) {
      at += each.pause;
      m_timers.emplace_back(*m_io, at).async_wait(
          [&socket, bytes = each.bytes](const boost::system::error_code& cancelled) {
            if (!cancelled) {
              write_all(socket, bytes);
            }
          });
    }
  }

  static std::vector<response_part> pause_between_events() {
    return {{milliseconds(0), chunk(sse_event(1))},
            {sound_pause, chunk(sse_event(2)) + chunk(sse_event(3)) + last_chunk}};
  }

  // Sends a stream's request and expects each event once, in a complete response.
  void expect_complete_stream() {
    node_process& node = start_ready_node_with(config_with_long_timeout());
    const std::string received = send_and_receive(node, request_bytes("/stream/1"), last_chunk);
    CPPUNIT_ASSERT_MESSAGE(node.log(), received.ends_with(last_chunk));
    for (int id = 1; id <= 3; ++id) {
      const std::size_t first = received.find(sse_event(id));
      CPPUNIT_ASSERT_MESSAGE(received, first != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(received,
                             received.find(sse_event(id), first + 1) == std::string::npos);
    }
  }

  // The following tests guard against a stream that is given up for a pause of its replica, and is
  // then broken off because the only other attempt that its route allows does not serve it.
  void paused_stream_is_completed_although_the_other_replica_rejects() {
    add_pausing_and_other_replica(
        pause_between_events(), [](tcp::socket& s, const received_request& r) {
          write_all(s, replica_response(r, "503 Full", "", "Fuchsiaspring-Not-Executed: 1\r\n"));
        });
    expect_complete_stream();
  }

  void paused_stream_is_completed_although_the_other_replica_fails() {
    add_pausing_and_other_replica(pause_between_events(),
                                  [](tcp::socket& s, const received_request& r) {
                                    write_all(s, replica_response(r, "500 Failed", "no"));
                                  });
    expect_complete_stream();
  }

  void paused_stream_is_completed_although_the_other_replica_breaks_off() {
    add_pausing_and_other_replica(pause_between_events(),
                                  [](tcp::socket& s, const received_request&) { s.close(); });
    expect_complete_stream();
  }

  void stream_that_pauses_inside_an_event_is_completed() {
    const std::string second = chunk(sse_event(2));
    add_pausing_and_other_replica(
        {{milliseconds(0), chunk(sse_event(1)) + second.substr(0, 6)},
         {sound_pause, second.substr(6) + chunk(sse_event(3)) + last_chunk}},
        [](tcp::socket& s, const received_request&) { s.close(); });
    expect_complete_stream();
  }

  void stream_that_pauses_before_its_end_is_completed() {
    add_pausing_and_other_replica(
        {{milliseconds(0), chunk(sse_event(1)) + chunk(sse_event(2)) + chunk(sse_event(3))},
         {sound_pause, last_chunk}},
        [](tcp::socket& s, const received_request&) { s.close(); });
    expect_complete_stream();
  }

  // Sends a stream's request. The replica that gets it writes the first event and never goes on;
  // the other one responds with `respond_otherwise`.
  raw_caller& send_to_stalled_replica(const request_handler& respond_otherwise,
                                      unsigned revocation_ms = 5000) {
    add_pausing_and_other_replica({{milliseconds(0), chunk(sse_event(1))}}, respond_otherwise);
    node_process& node = start_ready_node_with(config_with_long_timeout(), revocation_ms);
    return send(node, request_bytes("/stream/1"));
  }

  void expect_resumed(const raw_caller& caller) {
    run_until(
        *m_io, [&] { return caller.received().ends_with(last_chunk) || caller.is_closed(); },
        route_timeout);
    CPPUNIT_ASSERT_MESSAGE(m_nodes.back()->log(), caller.received().ends_with(last_chunk));
    CPPUNIT_ASSERT(caller.received().find(sse_event(2)) != std::string::npos);
  }

  // The following two tests guard against a stream that the router gave up, and then broke off for
  // an obstacle that passes.
  void given_up_stream_is_resumed_at_a_replica_that_was_busy() {
    expect_resumed(send_to_stalled_replica([this](tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() == 2) {
        write_all(s, replica_response(r, "503 Full", "", "Fuchsiaspring-Not-Executed: 1\r\n"));
        return;
      }
      write_all(s, stream_response_head(r) + chunk(sse_event(2)) + last_chunk);
    }));
  }

  void given_up_stream_waits_for_an_outdated_configuration() {
    constexpr unsigned revocation_ms = 2000;
    static constexpr milliseconds longer_than_the_lease{2200};
    expect_resumed(send_to_stalled_replica(
        [this](tcp::socket& s, const received_request& r) {
          if (m_replica_requests.size() > 2) {
            write_all(s, stream_response_head(r) + chunk(sse_event(2)) + last_chunk);
            return;
          }
          m_store->set_silent(true);
          const std::string rejection =
              replica_response(r, "503 Full", "", "Fuchsiaspring-Not-Executed: 1\r\n");
          write_parts(s, {{longer_than_the_lease, rejection}});
          m_timers.emplace_back(*m_io, longer_than_the_lease + milliseconds(300))
              .async_wait([this](const boost::system::error_code& cancelled) {
                if (!cancelled) {
                  m_store->set_silent(false);
                }
              });
        },
        revocation_ms));
  }

  // Guards against a whole response that is given up while its bytes come in, because the route's
  // last run is then spent on a response that had nothing wrong.
  void whole_response_that_arrives_in_pieces_is_not_given_up() {
    constexpr int pieces = 6;
    constexpr milliseconds pause{700};
    const auto respond = [this](tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() > 1) {
        s.close();
        return;
      }
      const std::string whole = replica_response(r, "200 OK", std::string(pieces - 1, 'x'));
      const std::size_t head = whole.size() - (pieces - 1);
      std::vector<response_part> parts{{milliseconds(0), whole.substr(0, head)}};
      for (std::size_t at = head; at < whole.size(); ++at) {
        parts.push_back({pause, whole.substr(at, 1)});
      }
      write_parts(s, parts);
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
    node_process& node = start_ready_node_with(config_with_long_timeout());
    const std::string received = send_and_receive(node, request_bytes("/safe/1"), "xxxxx");
    CPPUNIT_ASSERT_MESSAGE(node.log(), received.ends_with("xxxxx"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(node.log(), std::size_t{1}, m_replica_requests.size());
  }

  std::deque<boost::asio::steady_timer> m_timers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_silence_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
