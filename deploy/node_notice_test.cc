// End-to-end tests of fuchsia-node with replicas that state in their answers that they leave, or
// that they want no requests for some time.
#include <algorithm>
#include <csignal>
#include <deque>
#include <set>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

using clock = std::chrono::steady_clock;

const std::string leaving_header = "Server-Leaving: 1\r\n";
const std::string rejected_header = "Fuchsiaspring-Not-Executed: 1\r\n";
const std::string last_chunk = "0\r\n\r\n";

std::string retry_after_header(const std::string& value) {
  return "Retry-After: " + value + "\r\n";
}

struct arrival {
  std::string replica;
  clock::time_point at;
};

class node_notice_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_notice_test);
  CPPUNIT_TEST(leaving_replica_gets_nothing_while_the_store_is_away);
  CPPUNIT_TEST(leaving_replica_that_is_listed_again_gets_nothing);
  CPPUNIT_TEST(leaving_replicas_serve_within_the_bound_and_then_callers_are_refused);
  CPPUNIT_TEST(replica_that_starts_again_is_not_affected);
  CPPUNIT_TEST(replica_at_a_used_address_is_not_affected);
  CPPUNIT_TEST(answer_of_unknown_origin_marks_nobody);
  CPPUNIT_TEST(queued_request_waits_for_the_end_of_a_hold);
  CPPUNIT_TEST(granted_request_is_not_sent_to_a_held_replica);
  CPPUNIT_TEST(granted_request_is_not_sent_to_a_leaving_replica);
  CPPUNIT_TEST(stream_is_not_resumed_at_a_held_replica);
  CPPUNIT_TEST(rejected_request_is_served_after_the_hold);
  CPPUNIT_TEST(callers_are_refused_at_once_during_a_long_hold);
  CPPUNIT_TEST(malformed_retry_after_holds_nothing);
  CPPUNIT_TEST(excessive_retry_after_is_cut);
  CPPUNIT_TEST(hold_is_no_evidence_of_a_crash);
  CPPUNIT_TEST(callers_do_not_see_what_replicas_tell_the_router);
  CPPUNIT_TEST(operators_see_held_and_leaving_replicas);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    m_callers.clear();
    m_arrivals.clear();
    m_timers.clear();
    m_next_id = 0;
    node_fixture::tearDown();
  }

 private:
  // Adds a replica whose requests are recorded.
  void add_recorded(const std::string& id, const request_handler& respond) {
    add_replica(id, [this, respond](tcp::socket& s, const received_request& r) {
      m_arrivals.push_back({r.header("Fuchsiaspring-Expected-Instance"), clock::now()});
      respond(s, r);
    });
  }

  static json entry_of(const raw_upstream& replica, int started_at_ms) {
    json entry = make_server_entry(replica.endpoint().port());
    entry["born"] = started_at_ms;
    return entry;
  }

  // Replicas of which the first one that gets a request answers 200 with these headers, and all
  // others without.
  void add_replicas_of_which_one_states(int count, const std::string& headers) {
    for (int i = 1; i <= count; ++i) {
      add_recorded("i-" + std::to_string(i),
                   [this, headers](tcp::socket& s, const received_request& r) {
                     const bool is_stated = m_arrivals.back().replica == m_arrivals[0].replica;
                     write_all(s, replica_response(r, "200 OK", "hi", is_stated ? headers : ""));
                   });
    }
  }

  // A request with an id of its own.
  std::string next_request(const std::string& path) {
    std::string bytes = request_bytes(path);
    const std::string id = "r-" + std::to_string(++m_next_id);
    return bytes.replace(bytes.find("abc"), 3, id);
  }

  std::string call(const node_process& node, const std::string& path, const std::string& end) {
    return send_and_receive(node, next_request(path), end);
  }

  raw_caller& open_caller(const node_process& node) {
    return m_callers.emplace_back(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().caller_port));
  }

  void call_after(milliseconds delay, std::function<void()> function) {
    m_timers.emplace_back(*m_io, delay)
        .async_wait([function = std::move(function)](const boost::system::error_code& cancelled) {
          if (!cancelled) {
            function();
          }
        });
  }

  static std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
      ++found;
    }
    return found;
  }

  void wait_for_states(const node_process& node, std::size_t states) {
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return count(node.log(), "state_adopted") >= states; }));
  }

  std::size_t arrivals_at(const std::string& replica) const {
    return static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(),
                      [&](const arrival& each) { return each.replica == replica; }));
  }

  static double retry_after_of(const std::string& response) {
    const std::size_t at = response.find("Retry-After: ");
    CPPUNIT_ASSERT_MESSAGE(response, at != std::string::npos);
    return std::stod(response.substr(at + std::string("Retry-After: ").size()));
  }

  std::string status_page(const node_process& node, const std::string& page) {
    raw_caller caller(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().metrics_port));
    caller.write("GET " + page + " HTTP/1.1\r\nConnection: close\r\n\r\n");
    run_until(*m_io, [&] { return caller.is_closed(); });
    return caller.received();
  }

  // Guards against requests on kept or new connections to a replica whose entry still says that it
  // is ready, because the store is away.
  void leaving_replica_gets_nothing_while_the_store_is_away() {
    add_replicas_of_which_one_states(2, leaving_header);
    node_process& node = start_ready_node();
    expect_status(call(node, "/safe/1", "hi"), "200");
    m_store->set_silent(true);
    for (int i = 0; i < 24; ++i) {
      expect_status(call(node, "/safe/1", "hi"), "200");
      wait(milliseconds(100));  // longer than the drain bound of 2 s in total
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals_at(m_arrivals[0].replica));
    CPPUNIT_ASSERT_EQUAL(std::size_t{25}, m_arrivals.size());
  }

  // Guards against a replica that is chosen again because its entry expired and came back.
  void leaving_replica_that_is_listed_again_gets_nothing() {
    add_replicas_of_which_one_states(2, leaving_header);
    node_process& node = start_ready_node();
    expect_status(call(node, "/safe/1", "hi"), "200");
    const std::string leaving = m_arrivals[0].replica;
    const raw_upstream& upstream = *m_replicas[leaving == "i-1" ? 0 : 1];
    m_store->remove("servers/" + leaving);
    wait_for_states(node, 2);
    m_store->put("servers/" + leaving, entry_of(upstream, 1));
    wait_for_states(node, 3);
    for (int i = 0; i < 6; ++i) {
      expect_status(call(node, "/safe/1", "hi"), "200");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals_at(leaving));
  }

  // Guards against refusals while the leaving replicas still serve, against requests to them later
  // than the bound, and against callers that wait in vain.
  void leaving_replicas_serve_within_the_bound_and_then_callers_are_refused() {
    add_replicas_of_which_one_states(1, leaving_header);
    node_process& node = start_ready_node();
    expect_status(call(node, "/safe/1", "hi"), "200");
    expect_status(call(node, "/once/1", "hi"), "200");
    wait(milliseconds(2000) -
         std::chrono::duration_cast<milliseconds>(clock::now() - m_arrivals[0].at));
    const auto sent_at = clock::now();
    const std::string refused = call(node, "/safe/1", "}");
    CPPUNIT_ASSERT(clock::now() - sent_at < milliseconds(300));
    expect_status(refused, "503");
    CPPUNIT_ASSERT(refused.find("\"reason\":\"replicas_leaving\"") != std::string::npos);
    CPPUNIT_ASSERT(refused.find("\"executed\":\"no\"") != std::string::npos);
    CPPUNIT_ASSERT(retry_after_of(refused) > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_arrivals.size());
  }

  // Guards against a started replica that gets nothing for what its predecessor has stated.
  void replica_that_starts_again_is_not_affected() {
    add_recorded("i-1", [this](tcp::socket& s, const received_request& r) {
      write_all(
          s, m_arrivals.size() == 1
                 ? replica_response(r, "503 Full", "no", leaving_header + retry_after_header("60"))
                 : replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    expect_status(call(node, "/safe/1", "no"), "503");
    expect_status(call(node, "/once/1", "}"), "503");
    m_store->put("servers/i-1", entry_of(*m_replicas[0], 2));
    wait_for_states(node, 2);
    expect_status(call(node, "/once/1", "hi"), "200");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_arrivals.size());
  }

  void replica_at_a_used_address_is_not_affected() {
    add_recorded("i-1", [this](tcp::socket& s, const received_request& r) {
      write_all(
          s, m_arrivals.size() == 1
                 ? replica_response(r, "503 Full", "no", leaving_header + retry_after_header("60"))
                 : replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    expect_status(call(node, "/safe/1", "no"), "503");
    expect_status(call(node, "/once/1", "}"), "503");
    m_store->remove("servers/i-1");
    m_store->put("servers/i-9", entry_of(*m_replicas[0], 1));
    wait_for_states(node, 2);
    expect_status(call(node, "/once/1", "hi"), "200");
    CPPUNIT_ASSERT_EQUAL(std::string("i-9"), m_arrivals[1].replica);
  }

  // Guards against a sound replica that is marked by a late copy of another request's answer, by an
  // answer without an id, or by the replica that has taken over its address.
  void answer_of_unknown_origin_marks_nobody() {
    const std::string notices =
        leaving_header + retry_after_header("60") + rejected_header + "Content-Length: 0\r\n\r\n";
    add_recorded("i-1", [this, notices](tcp::socket& s, const received_request& r) {
      const std::string own = replica_response(r, "200 OK", "hi");
      const std::string full = "HTTP/1.1 503 Full\r\n";
      switch (m_arrivals.size()) {
        case 1:
          write_all(s, full + "Fuchsiaspring-Attempt-Id: other\r\n" + notices + own);
          return;
        case 2:
          write_all(s, full + notices + own);
          return;
        case 4:
          write_all(s, "HTTP/1.1 421 Misdirected Request\r\nFuchsiaspring-Attempt-Id: " +
                           r.header("Fuchsiaspring-Attempt-Id") + "\r\n" + notices);
          return;
        default:
          write_all(s, own);
      }
    });
    node_process& node = start_ready_node();
    expect_status(call(node, "/once/1", "hi"), "200");
    raw_caller& second = send(node, next_request("/once/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_arrivals.size() == 2; }));
    run_until(
        *m_io, [&] { return second.received().find("\r\n\r\n") != std::string::npos; }, seconds(2));
    expect_status(call(node, "/once/1", "hi"), "200");
    send(node, next_request("/once/1"));
    CPPUNIT_ASSERT(
        run_until(*m_io, [&] { return node.log().find("outcome=replaced") != std::string::npos; }));
    CPPUNIT_ASSERT_MESSAGE(node.log(), node.log().find("replica_leaving") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(node.log(), node.log().find("replica_held") == std::string::npos);
  }

  // Guards against queued requests that are sent to a replica during its pause as soon as one of
  // its requests ends.
  void queued_request_waits_for_the_end_of_a_hold() {
    add_recorded("i-1", [this](tcp::socket& s, const received_request& r) {
      if (m_arrivals.size() == 1) {
        call_after(milliseconds(50), [&s, r] {
          write_all(
              s, replica_response(r, "503 Full", "", rejected_header + retry_after_header("0.5")));
        });
      } else if (m_arrivals.size() == 2) {
        call_after(milliseconds(150),
                   [&s, r] { write_all(s, replica_response(r, "200 OK", "hi")); });
      } else {
        write_all(s, replica_response(r, "200 OK", "hi"));
      }
    });
    json entry = entry_of(*m_replicas[0], 1);
    entry["slots"] = 1;  // takes two requests at a time
    m_store->put("servers/i-1", entry);
    node_process& node = start_ready_node();
    for (int i = 0; i < 4; ++i) {
      open_caller(node).write(next_request("/safe/1"));
    }
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_arrivals.size() == 5; }));
    // Two requests were in flight before; the others, and the rejected one, arrive after the hold.
    CPPUNIT_ASSERT(m_arrivals[1].at - m_arrivals[0].at < milliseconds(50));
    CPPUNIT_ASSERT(m_arrivals[2].at - m_arrivals[0].at >= milliseconds(550));
    CPPUNIT_ASSERT(run_until(*m_io, [&] {
      return std::all_of(m_callers.begin(), m_callers.end(),
                         [](const raw_caller& each) { return each.received().ends_with("hi"); });
    }));
  }

  // Has i-1 answer a request with `headers` when the node has granted another one to i-1, but has
  // not sent it yet. To that end the node is suspended, and finds both the request and the answer
  // when it goes on.
  void expect_granted_request_goes_elsewhere(const std::string& headers) {
    tcp::socket* socket = nullptr;
    received_request first;
    const auto respond = [&](tcp::socket& s, const received_request& r) {
      if (m_arrivals.size() > 2) {
        write_all(s, replica_response(r, "200 OK", "hi"));
      } else if (m_arrivals.back().replica == "i-1") {
        socket = &s;
        first = r;
      }
    };
    add_recorded("i-1", respond);
    add_recorded("i-2", respond);
    json entry = entry_of(*m_replicas[1], 1);
    entry["slots"] = 1;  // i-1 is preferred while i-2 has a request
    m_store->put("servers/i-2", entry);
    node_process& node = start_ready_node();
    raw_caller& last = open_caller(node);
    open_caller(node).write(next_request("/once/1"));
    open_caller(node).write(next_request("/once/1"));
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_arrivals.size() == 2 && socket != nullptr; }));
    node.signal(SIGSTOP);
    wait(milliseconds(20));
    last.write(next_request("/once/1"));
    wait(milliseconds(20));
    // The node reads the interim response before it grants the request, and the other one after it.
    write_all(*socket,
              "HTTP/1.1 100 Continue\r\n\r\n" + replica_response(first, "503 Full", "no", headers));
    wait(milliseconds(20));
    node.signal(SIGCONT);
    CPPUNIT_ASSERT(run_until(*m_io, [&] { return last.received().ends_with("hi"); }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(node.log(), std::string("i-2"), m_arrivals[2].replica);
    CPPUNIT_ASSERT_MESSAGE(node.log(),
                           node.log().find("fault=refused_to_send") != std::string::npos);
  }

  // Guards against a request that was granted before its replica asked for a pause or stated that
  // it leaves, and is sent after it.
  void granted_request_is_not_sent_to_a_held_replica() {
    expect_granted_request_goes_elsewhere(retry_after_header("0.6"));
  }

  void granted_request_is_not_sent_to_a_leaving_replica() {
    expect_granted_request_goes_elsewhere(leaving_header);
  }

  // Guards against a stream that is resumed at a replica during its pause.
  void stream_is_not_resumed_at_a_held_replica() {
    const auto respond = [this](tcp::socket& s, const received_request& r) {
      if (m_arrivals.size() == 1) {
        write_all(s,
                  replica_response(r, "503 Full", "", rejected_header + retry_after_header("0.8")));
      } else if (r.head.starts_with("POST /safe/")) {
        write_all(s, replica_response(r, "200 OK", "hi"));
      } else if (r.header("Last-Event-Id").empty()) {
        write_all(s, stream_response_head(r) + chunk(sse_event(1)));
        s.close();
      } else {
        write_all(s, stream_response_head(r) + chunk(sse_event(2)) + last_chunk);
      }
    };
    add_recorded("i-1", respond);
    add_recorded("i-2", respond);
    json config = make_config(1);
    config["routes"][2]["timeout-ms"] = 4000;
    node_process& node = start_ready_node_with(config);
    expect_status(call(node, "/safe/1", "hi"), "200");
    const std::string received = call(node, "/stream/1", last_chunk);
    CPPUNIT_ASSERT_MESSAGE(node.log(), received.ends_with(last_chunk));
    CPPUNIT_ASSERT(received.find(sse_event(2)) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_arrivals.size());
    CPPUNIT_ASSERT_EQUAL(m_arrivals[1].replica, m_arrivals[2].replica);
    CPPUNIT_ASSERT_EQUAL(m_arrivals[0].replica, m_arrivals[3].replica);
    CPPUNIT_ASSERT(m_arrivals[3].at - m_arrivals[0].at >= milliseconds(800));
  }

  // Guards against a refusal of a request that its only replica would serve after a short pause.
  void rejected_request_is_served_after_the_hold() {
    add_recorded("i-1", [this](tcp::socket& s, const received_request& r) {
      write_all(
          s, m_arrivals.size() == 1
                 ? replica_response(r, "503 Full", "", rejected_header + retry_after_header("0.3"))
                 : replica_response(r, "200 OK", "hi"));
    });
    node_process& node = start_ready_node();
    expect_status(call(node, "/once/1", "hi"), "200");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_arrivals.size());
    CPPUNIT_ASSERT(m_arrivals[1].at - m_arrivals[0].at >= milliseconds(300));
  }

  // Guards against callers that wait in vain, that are told to return while all replicas are held,
  // and that all return at the same time.
  void callers_are_refused_at_once_during_a_long_hold() {
    const auto respond = [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "503 Full", "", rejected_header + retry_after_header("3")));
    };
    add_recorded("i-1", respond);
    add_recorded("i-2", respond);
    node_process& node = start_ready_node();
    expect_status(call(node, "/once/1", "}"), "503");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_arrivals.size());
    std::set<double> delays;
    for (int i = 0; i < 5; ++i) {
      const auto sent_at = clock::now();
      const std::string refused = call(node, "/safe/1", "}");
      CPPUNIT_ASSERT(clock::now() - sent_at < milliseconds(300));
      expect_status(refused, "503");
      CPPUNIT_ASSERT(refused.find("\"reason\":\"replicas_held\"") != std::string::npos);
      CPPUNIT_ASSERT(refused.find("\"executed\":\"no\"") != std::string::npos);
      const auto hold_left = m_arrivals[0].at + seconds(3) - clock::now();
      const double delay = retry_after_of(refused);
      CPPUNIT_ASSERT(delay >= std::chrono::duration<double>(hold_left).count());
      CPPUNIT_ASSERT(delay < 5);
      delays.insert(delay);
    }
    CPPUNIT_ASSERT(delays.size() > 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_arrivals.size());
  }

  // Guards against a replica that gets nothing for a time that it has not stated.
  void malformed_retry_after_holds_nothing() {
    const std::vector<std::string> values = {
        "-1", "soon", "nan", "inf", "1e3", "5.", "Fri, 31 Dec 1999 23:59:59 GMT", "", "0"};
    add_recorded("i-1", [this, &values](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "503 Full", "no",
                                    retry_after_header(values[m_arrivals.size() - 1])));
    });
    node_process& node = start_ready_node();
    for (std::size_t i = 0; i < values.size(); ++i) {
      expect_status(call(node, "/safe/1", "no"), "503");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(values[i], i + 1, m_arrivals.size());
    }
    CPPUNIT_ASSERT_EQUAL(values.size() - 1, count(node.log(), "retry_after_ignored"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(node.log(), "replica_held"));
  }

  // Guards against a replica that is out of use for years because of one wrong value.
  void excessive_retry_after_is_cut() {
    add_recorded("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "503 Full", "no", retry_after_header(std::string(30, '9'))));
    });
    node_process& node = start_ready_node();
    expect_status(call(node, "/safe/1", "no"), "503");
    CPPUNIT_ASSERT(node.log().find("is_cut=true") != std::string::npos);
    const json status = json::parse(
        status_page(node, "/status").substr(status_page(node, "/status").find("\r\n\r\n") + 4));
    const double held_ms = status["upstreams"][0]["held_ms"];
    CPPUNIT_ASSERT(held_ms > 290'000 && held_ms <= 300'000);
  }

  // Guards against a probe of a sound replica, and prompt parts that are suspected, because its
  // refusal ended with the connection.
  void hold_is_no_evidence_of_a_crash() {
    add_recorded("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, "HTTP/1.1 503 Full\r\nFuchsiaspring-Attempt-Id: " +
                       r.header("Fuchsiaspring-Attempt-Id") + "\r\n" + retry_after_header("1") +
                       "\r\nno");
      s.close();
    });
    node_process& node = start_ready_node();
    std::string request = next_request("/once/1");
    request.insert(request.find("Content-Length"),
                   "Fuchsiaspring-Prompt-Prefix: a1:900,b2:100\r\n");
    // The replica does not state that it did not run the request.
    expect_status(send_and_receive(node, request, "}"), "502");
    wait(milliseconds(300));
    CPPUNIT_ASSERT_MESSAGE(node.log(), node.log().find("replica_end") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, m_replicas[0]->connections());
  }

  // Guards against callers that avoid this router because one of its replicas leaves, or wait for
  // one replica although another one serves.
  void callers_do_not_see_what_replicas_tell_the_router() {
    add_recorded("i-1", [this](tcp::socket& s, const received_request& r) {
      write_all(s, m_arrivals.size() == 1
                       ? replica_response(r, "200 OK", "hi", leaving_header)
                       : replica_response(r, "503 Full", "no", retry_after_header("60")));
    });
    node_process& node = start_ready_node();
    CPPUNIT_ASSERT(call(node, "/safe/1", "hi").find("Server-Leaving") == std::string::npos);
    add_recorded("i-2", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "503 Full", "no", retry_after_header("60")));
    });
    add_recorded("i-3", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "503 Full", "no", retry_after_header("60")));
    });
    wait_for_states(node, 2);
    wait(milliseconds(200));
    const std::string with_others = call(node, "/safe/1", "no");
    expect_status(with_others, "503");
    CPPUNIT_ASSERT_EQUAL(std::string::npos, with_others.find("Retry-After"));
    CPPUNIT_ASSERT(m_arrivals.back().replica != "i-1");
  }

  // Guards against refusals whose cause operators cannot find.
  void operators_see_held_and_leaving_replicas() {
    add_recorded("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s,
                replica_response(r, "503 Full", "no", leaving_header + retry_after_header("1.5")));
    });
    node_process& node = start_ready_node();
    expect_status(call(node, "/safe/1", "no"), "503");
    const std::string log = node.log();
    CPPUNIT_ASSERT_MESSAGE(log, log.find("replica_leaving replica=i-1 started_at_ms=1 until_ms=") !=
                                    std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(
        log, log.find("replica_held replica=i-1 started_at_ms=1 until_ms=") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(log,
                           log.find("stated_ms=1500.0 is_cut=false id=r-1") != std::string::npos);
    const std::string status = status_page(node, "/status");
    CPPUNIT_ASSERT_MESSAGE(status, status.find("\"leaving\":true") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(status, status.find("\"held_ms\":1") != std::string::npos);
    const std::string metrics = status_page(node, "/metrics");
    CPPUNIT_ASSERT(metrics.find("fuchsia_replica_holds_total 1") != std::string::npos);
    CPPUNIT_ASSERT(metrics.find("fuchsia_replicas_leaving_total 1") != std::string::npos);
  }

  std::deque<raw_caller> m_callers;
  std::vector<arrival> m_arrivals;
  std::deque<boost::asio::steady_timer> m_timers;
  int m_next_id = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_notice_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
