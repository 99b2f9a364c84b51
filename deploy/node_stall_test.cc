// End-to-end tests of streams that wait for events: which attempts the router gives up, and when.
#include <signal.h>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

const std::string last_chunk = "0\r\n\r\n";

class node_stall_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_stall_test);
  CPPUNIT_TEST(event_that_arrives_while_the_node_is_suspended_keeps_the_attempt);
  CPPUNIT_TEST(head_and_event_that_arrive_while_the_node_is_suspended_keep_the_attempt);
  CPPUNIT_TEST(stream_whose_rest_has_arrived_at_the_deadline_is_completed);
  CPPUNIT_TEST(stalled_stream_is_kept_when_the_only_other_replica_has_used_its_cold_rate);
  CPPUNIT_TEST(stalled_stream_is_resumed_at_another_replica);
  CPPUNIT_TEST(comment_before_the_first_event_does_not_begin_the_response);
  CPPUNIT_TEST_SUITE_END();

  static json config_with_timeout(int timeout_ms) {
    json config = make_config(1);
    for (json& route : config["routes"]) {
      route["timeout-ms"] = timeout_ms;
    }
    return config;
  }

  // Suspends the node, calls `function` a moment later and resumes the node after `suspension`.
  void suspend(const node_process& node, const std::function<void()>& function,
               milliseconds suspension) {
    node.signal(SIGSTOP);
    run_for(milliseconds(50));
    function();
    run_for(suspension);
    node.signal(SIGCONT);
    run_for(milliseconds(100));
  }

  void run_for(milliseconds time) {
    run_until(
        *m_io, [] { return false; }, time);
  }

  // Adds two replicas. The first one that gets a request keeps it and writes `beginning`; the other
  // one answers with `sound_response`.
  void add_waiting_and_sound_replica(const std::string& beginning,
                                     const std::string& sound_response) {
    const auto respond = [this, beginning, sound_response](tcp::socket& s,
                                                           const received_request& r) {
      if (m_waiting_replica == nullptr) {
        m_waiting_replica = &s;
        write_all(s, beginning.empty() ? beginning : stream_response_head(r) + beginning);
        return;
      }
      write_all(s, stream_response_head(r) + sound_response);
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
  }

  bool ends(const raw_caller& caller) {
    return run_until(*m_io, [&] { return caller.received().ends_with(last_chunk); });
  }

  // The following two tests guard against an attempt that is given up although its next event has
  // arrived: the event loop was behind, and the stall timer was due before the event was read.
  void event_that_arrives_while_the_node_is_suspended_keeps_the_attempt() {
    add_waiting_and_sound_replica(chunk(sse_event(1)), chunk(sse_event(3)) + last_chunk);
    node_process& node = start_ready_node_with(config_with_timeout(8000));
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return caller.received().find(sse_event(1)) != std::string::npos; }));
    suspend(
        node, [this] { write_all(*m_waiting_replica, chunk(sse_event(2))); }, milliseconds(1500));
    write_all(*m_waiting_replica, chunk(sse_event(3)) + last_chunk);
    CPPUNIT_ASSERT_MESSAGE(node.log(), ends(caller));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(node.log(), std::size_t{1}, m_replica_requests.size());
  }

  void head_and_event_that_arrive_while_the_node_is_suspended_keep_the_attempt() {
    add_waiting_and_sound_replica("", chunk(sse_event(1)) + last_chunk);
    node_process& node = start_ready_node_with(config_with_timeout(8000));
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_waiting_replica != nullptr; }));
    suspend(
        node,
        [this] {
          write_all(*m_waiting_replica,
                    stream_response_head(m_replica_requests[0]) + chunk(sse_event(1)));
        },
        milliseconds(600));
    write_all(*m_waiting_replica, chunk(sse_event(2)) + last_chunk);
    CPPUNIT_ASSERT_MESSAGE(node.log(), ends(caller));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(node.log(), std::size_t{1}, m_replica_requests.size());
  }

  // Guards against a stream that is broken off at its deadline although its rest arrived in time:
  // the event loop was behind, and the rest takes several reads.
  void stream_whose_rest_has_arrived_at_the_deadline_is_completed() {
    constexpr int last_event = 40;
    add_waiting_and_sound_replica(chunk(sse_event(1)), last_chunk);
    node_process& node = start_ready_node_with(config_with_timeout(1000));
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return caller.received().find(sse_event(1)) != std::string::npos; }));
    std::string rest;
    for (int id = 2; id <= last_event; ++id) {
      rest += chunk("id: " + std::to_string(id) + "\ndata: " + std::string(1000, 'x') + "\n\n");
    }
    suspend(
        node, [&] { write_all(*m_waiting_replica, rest + last_chunk); }, milliseconds(1200));
    CPPUNIT_ASSERT_MESSAGE(node.log(), ends(caller));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
  }

  // Guards against a stream that is given up for a replica that then does not take it: the look for
  // another replica used up the only request that a cold one may get.
  void stalled_stream_is_kept_when_the_only_other_replica_has_used_its_cold_rate() {
    add_waiting_and_sound_replica(chunk(sse_event(1)), chunk(sse_event(2)) + last_chunk);
    json cold = make_server_entry(m_replicas.back()->endpoint().port());
    cold["cold-remaining-ms"] = 60000;
    m_store->put("servers/i-2", cold);
    json config = config_with_timeout(3500);
    config["services"][0]["cold-per-s"] = 0.3;
    node_process& node = start_ready_node_with(config);
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    run_for(milliseconds(1700));
    if (m_replica_requests.size() == 1) {
      write_all(*m_waiting_replica, chunk(sse_event(2)) + last_chunk);
    }
    CPPUNIT_ASSERT_MESSAGE(node.log(), ends(caller));
  }

  // Guards against a stream that hangs with its replica until the deadline.
  void stalled_stream_is_resumed_at_another_replica() {
    add_waiting_and_sound_replica(chunk(sse_event(1)), chunk(sse_event(2)) + last_chunk);
    node_process& node = start_ready_node_with(config_with_timeout(8000));
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT_MESSAGE(node.log(), ends(caller));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_replica_requests[1].header("Last-Event-Id"));
    CPPUNIT_ASSERT(caller.received().find(sse_event(2)) != std::string::npos);
  }

  // Guards against a stream that can neither be repeated nor resumed because a comment was passed
  // on before its first event.
  void comment_before_the_first_event_does_not_begin_the_response() {
    const auto respond = [this](tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() == 1) {
        write_all(s, stream_response_head(r) + chunk(": ping\n\n"));
        s.close();
        return;
      }
      write_all(s, stream_response_head(r) + chunk(sse_event(1)) + last_chunk);
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT_MESSAGE(node.log(), ends(caller));
    CPPUNIT_ASSERT(caller.received().find(sse_event(1)) != std::string::npos);
  }

  tcp::socket* m_waiting_replica = nullptr;

 public:
  void tearDown() override {
    m_waiting_replica = nullptr;
    node_fixture::tearDown();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_stall_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
