// End-to-end tests of fuchsia-node with replicas that leave without a notice while the node reads
// late.
#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

using steady_clock = std::chrono::steady_clock;

constexpr milliseconds drain_bound{2000};

class node_drain_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_drain_test);
  CPPUNIT_TEST(late_read_does_not_keep_a_replica_that_has_left);
  CPPUNIT_TEST(replicas_whose_entries_expired_in_an_outage_are_kept);
  CPPUNIT_TEST_SUITE_END();

  std::vector<steady_clock::time_point> m_arrivals;  // at i-1

  void add_two_replicas() {
    add_replica("i-1", [this](tcp::socket& s, const received_request& r) {
      m_arrivals.push_back(steady_clock::now());
      write_all(s, replica_response(r, "200 OK", "done"));
    });
    add_replica("i-2", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "done"));
    });
  }

  void send_requests_until(const node_process& node, steady_clock::time_point end) {
    while (steady_clock::now() < end) {
      send_and_receive(node, request_bytes("/safe/1"), "done");
      wait(milliseconds(10));
    }
  }

  std::ptrdiff_t arrivals_since(steady_clock::time_point from) const {
    return std::ranges::count_if(m_arrivals, [&](const auto& at) { return at >= from; });
  }

  // Guards against a late read that is taken for an outage of the store: the process got no
  // processor time, while the store was sound and the entry of a replica was removed.
  void late_read_does_not_keep_a_replica_that_has_left() {
    add_two_replicas();
    node_process& node = start_ready_node();
    send_requests_until(node, steady_clock::now() + milliseconds(300));
    CPPUNIT_ASSERT(arrivals_since({}) > 0);
    node.signal(SIGSTOP);
    m_store->remove("servers/i-1");
    const auto removed = steady_clock::now();
    wait(milliseconds(1500));
    node.signal(SIGCONT);
    send_requests_until(node, removed + 2 * drain_bound);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(node.log(), std::ptrdiff_t{0},
                                 arrivals_since(removed + drain_bound));
  }

  // Guards against refusals because the entries of sound replicas expired while the store was down.
  void replicas_whose_entries_expired_in_an_outage_are_kept() {
    add_two_replicas();
    node_process& node = start_ready_node();
    m_store->set_silent(true);
    m_store->remove("servers/i-1");
    m_store->remove("servers/i-2");
    wait(milliseconds(3000));
    m_store->set_silent(false);
    const auto returned = steady_clock::now();
    while (steady_clock::now() < returned + milliseconds(1200)) {
      expect_status(send_and_receive(node, request_bytes("/safe/1"), "done"), "200");
      wait(milliseconds(10));
    }
    // What is not listed again has left.
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             return node.log().find("replicas=0 ") != std::string::npos;
                           }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_drain_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
