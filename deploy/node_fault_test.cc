// End-to-end tests of fuchsia-node with replicas that fail, reject, break off or do not end.
#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

class node_fault_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_fault_test);
  CPPUNIT_TEST(non_idempotent_request_is_not_retried_after_a_lost_response);
  CPPUNIT_TEST(rejected_request_goes_to_another_replica);
  CPPUNIT_TEST(idempotent_request_is_retried_after_a_failure);
  CPPUNIT_TEST(broken_stream_resumes_at_another_replica);
  CPPUNIT_TEST(slow_attempt_is_kept_when_no_other_replica_is_free);
  CPPUNIT_TEST(endless_failure_ends_before_the_timeout);
  CPPUNIT_TEST(endless_rejection_is_retried_at_another_replica);
  CPPUNIT_TEST(endless_event_is_resumed_at_another_replica);
  CPPUNIT_TEST(failure_of_a_resumed_stream_breaks_the_response_off);
  CPPUNIT_TEST(success_without_signature_becomes_502);
  CPPUNIT_TEST(stream_without_a_first_event_is_not_broken_off);
  CPPUNIT_TEST(slow_stream_that_cannot_be_resumed_is_not_broken_off);
  CPPUNIT_TEST(broken_stream_waits_for_a_replica_that_can_resume_it);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a non-idempotent request, such as a charge, that is executed twice.
  void non_idempotent_request_is_not_retried_after_a_lost_response() {
    const auto close_connection = [](tcp::socket& s, const received_request&) { s.close(); };
    add_replica("i-1", close_connection);
    add_replica("i-2", close_connection);
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/once/1"), "}");
    expect_status(response, "502");
    CPPUNIT_ASSERT(response.find("\"executed\":\"unknown\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
  }

  void rejected_request_goes_to_another_replica() {
    bool is_first_attempt = true;
    const auto handler = [&](tcp::socket& s, const received_request& r) {
      write_all(s, std::exchange(is_first_attempt, false)
                       ? replica_response(r, "503 Full", "", "Fuchsiaspring-Not-Executed: 1\r\n")
                       : replica_response(r, "200 OK", "hi"));
    };
    add_replica("i-1", handler);
    add_replica("i-2", handler);
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "hi"), "200");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
  }

  void idempotent_request_is_retried_after_a_failure() {
    bool is_first_attempt = true;
    const auto handler = [&](tcp::socket& s, const received_request& r) {
      write_all(s, std::exchange(is_first_attempt, false) ? replica_response(r, "500 Error", "bad")
                                                          : replica_response(r, "200 OK", "hi"));
    };
    add_replica("i-1", handler);
    add_replica("i-2", handler);
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
  }

  // Guards against events that are lost, repeated or spliced from two replicas.
  void broken_stream_resumes_at_another_replica() {
    bool is_first_attempt = true;
    const auto handler = [&](tcp::socket& s, const received_request& r) {
      if (std::exchange(is_first_attempt, false)) {
        write_all(
            s, stream_response_head(r) + chunk(sse_event(1)) + chunk(sse_event(2) + "id: 3\nda"));
        s.close();
        return;
      }
      write_all(s,
                stream_response_head(r) + chunk(sse_event(3)) + chunk(sse_event(4)) + "0\r\n\r\n");
    };
    add_replica("i-1", handler);
    add_replica("i-2", handler);
    node_process& node = start_ready_node();
    const std::string received = send_and_receive(node, request_bytes("/stream/1"), "0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_replica_requests[1].header("Last-Event-Id"));
    for (int id = 1; id <= 4; ++id) {
      const std::size_t first = received.find(sse_event(id));
      CPPUNIT_ASSERT(first != std::string::npos);
      CPPUNIT_ASSERT(received.find("id: " + std::to_string(id), first + 1) == std::string::npos);
    }
  }

  // Guards against an attempt that is cancelled for being slow when no other replica could take the
  // request.
  void slow_attempt_is_kept_when_no_other_replica_is_free() {
    boost::asio::steady_timer delay(*m_io);
    add_replica("i-1", [&](tcp::socket& s, const received_request& r) {
      delay.expires_after(milliseconds(800));
      delay.async_wait([&s, r](const boost::system::error_code& cancelled) {
        if (!cancelled) {
          write_all(s, replica_response(r, "200 OK", "hi"));
        }
      });
    });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/safe/1"), "hi"), "200");
  }

  // Guards against forwarding a success that did not come from a replica.
  using make_response = std::function<std::string(const received_request&)>;

  // Adds two replicas. The first one that gets a request responds with `status_and_headers` and a
  // body that begins with `body` and has no end, the other one with `sound_response`.
  void add_endless_and_sound_replica(const std::string& status_and_headers, const std::string& body,
                                     const make_response& sound_response) {
    const auto respond = [this, status_and_headers, body, sound_response](
                             tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() > 1) {
        write_all(s, sound_response(r));
        return;
      }
      write_all(s, "HTTP/1.1 " + status_and_headers +
                       "Fuchsiaspring-Attempt-Id: abc\r\n"
                       "Fuchsiaspring-Response-Signature: s\r\n\r\n" +
                       body);
      write_endlessly(s, std::string(16384, 'x'));
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
  }

  // The following tests guard against a replica whose body has no end: it filled the memory of the
  // node until the request's timeout, and the caller got nothing from the sound replica.
  void endless_failure_ends_before_the_timeout() {
    add_endless_and_sound_replica(
        "500 Internal Server Error\r\n", "",
        [](const received_request& r) { return replica_response(r, "200 OK", "hi"); });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "502");
  }

  void endless_rejection_is_retried_at_another_replica() {
    add_endless_and_sound_replica(
        "503 Service Unavailable\r\nFuchsiaspring-Not-Executed: 1\r\n", "",
        [](const received_request& r) { return replica_response(r, "200 OK", "hi"); });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "hi"), "200");
  }

  void endless_event_is_resumed_at_another_replica() {
    add_endless_and_sound_replica("200 OK\r\nContent-Type: text/event-stream\r\n", sse_event(1),
                                  [](const received_request& r) {
                                    return stream_response_head(r) + chunk(sse_event(2)) +
                                           "0\r\n\r\n";
                                  });
    node_process& node = start_ready_node();
    const std::string response = send_and_receive(node, request_bytes("/stream/1"), "0\r\n\r\n");
    CPPUNIT_ASSERT(response.find(sse_event(2)) != std::string::npos);
    CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(node.log().find("an event of the stream has no end") != std::string::npos);
  }

  // Guards against a response head in the middle of a stream that has begun.
  void failure_of_a_resumed_stream_breaks_the_response_off() {
    const auto respond = [this](tcp::socket& s, const received_request& r) {
      if (m_replica_requests.size() > 1) {
        write_all(s, replica_response(r, "404 Not Found", "no such stream"));
        return;
      }
      write_all(s, stream_response_head(r) + chunk(sse_event(1)));
      s.close();
    };
    add_replica("i-1", respond);
    add_replica("i-2", respond);
    node_process& node = start_ready_node();
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return caller.is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_replica_requests.size());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(caller.received(), std::string::npos,
                                 caller.received().find("no such stream"));
    CPPUNIT_ASSERT(!caller.received().ends_with("0\r\n\r\n"));
  }

  void success_without_signature_becomes_502() {
    add_replica("i-1", [](tcp::socket& s, const received_request&) {
      write_all(s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    });
    node_process& node = start_ready_node();
    expect_status(send_and_receive(node, request_bytes("/once/1"), "}"), "502");
  }

  // The following two tests guard against a stream that the router breaks off although its replica
  // is at work: no event arrived in time, and the response had begun, so that it could neither be
  // repeated nor resumed.
  void stream_without_a_first_event_is_not_broken_off() {
    boost::asio::steady_timer delay(*m_io);
    const auto respond_late = [&](tcp::socket& s, const received_request& r) {
      write_all(s, stream_response_head(r));
      delay.expires_after(milliseconds(700));
      delay.async_wait([&s](const boost::system::error_code& cancelled) {
        if (!cancelled) {
          write_all(s, chunk(sse_event(1)) + chunk(sse_event(2)) + "0\r\n\r\n");
        }
      });
    };
    add_replica("i-1", respond_late);
    add_replica("i-2", respond_late);
    node_process& node = start_ready_node();
    const std::string received = send_and_receive(node, request_bytes("/stream/1"), "0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(node.log(), received.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(received.find(sse_event(1)) != std::string::npos);
  }

  void slow_stream_that_cannot_be_resumed_is_not_broken_off() {
    const std::string event_without_id = "data: x\n\n";
    boost::asio::steady_timer delay(*m_io);
    const auto respond_slowly = [&](tcp::socket& s, const received_request& r) {
      write_all(s, stream_response_head(r) + chunk(event_without_id));
      delay.expires_after(milliseconds(1700));
      delay.async_wait([&s, event_without_id](const boost::system::error_code& cancelled) {
        if (!cancelled) {
          write_all(s, chunk(event_without_id) + "0\r\n\r\n");
        }
      });
    };
    add_replica("i-1", respond_slowly);
    add_replica("i-2", respond_slowly);
    json config = make_config(1);
    config["routes"][2]["timeout-ms"] = 4000;
    node_process& node = start_ready_node_with(config);
    const std::string received = send_and_receive(node, request_bytes("/stream/1"), "0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(node.log(), received.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
  }

  // Guards against a stream that the router breaks off although a replica that could resume it
  // comes into service before the deadline.
  void broken_stream_waits_for_a_replica_that_can_resume_it() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, stream_response_head(r) + chunk(sse_event(1)));
      s.close();
    });
    json config = make_config(1);
    config["routes"][2]["timeout-ms"] = 4000;
    node_process& node = start_ready_node_with(config);
    raw_caller& caller = send(node, request_bytes("/stream/1"));
    run_until(
        *m_io, [&] { return caller.is_closed(); }, milliseconds(3200));
    CPPUNIT_ASSERT_MESSAGE(node.log(), !caller.is_closed());
    add_replica("i-2", [](tcp::socket& s, const received_request& r) {
      write_all(s, stream_response_head(r) + chunk(sse_event(2)) + "0\r\n\r\n");
    });
    run_until(*m_io,
              [&] { return caller.received().ends_with("0\r\n\r\n") || caller.is_closed(); });
    CPPUNIT_ASSERT_MESSAGE(node.log(), caller.received().ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(caller.received().find(sse_event(2)) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_fault_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
