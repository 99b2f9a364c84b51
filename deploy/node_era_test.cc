// End-to-end tests of several nodes with a store that comes back from an older copy.
#include <map>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

using steady_clock = std::chrono::steady_clock;

class node_era_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_era_test);
  CPPUNIT_TEST(returned_store_undoes_no_departure_and_no_evacuation);
  CPPUNIT_TEST(nodes_that_start_after_a_return_undo_nothing);
  CPPUNIT_TEST(node_that_missed_a_revocation_learns_it_from_its_peers);
  CPPUNIT_TEST(fallen_revisions_cause_no_direct_reads_of_all_nodes);
  CPPUNIT_TEST(odd_eras_do_not_keep_the_nodes_from_following);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int node_count = 4;
  static constexpr milliseconds away_time{600};
  // A running replica has written again by then; an operator may not.
  static constexpr milliseconds rewrite_time{1500};

  std::map<std::string, int> m_arrivals;  // by replica, since the last clear()
  int m_requests = 0;
  std::map<std::string, json> m_entries;  // as first published

  static json config_with_keys(int version, const json& keys) {
    json config = make_config(version);
    config["services"].push_back({{"name", "near"}, {"health-check-path", "/health"}});
    config["routes"].push_back(make_route("near", "safe", "near"));
    config["tenants"] = {{{"name", "team-1"}, {"api-keys", keys}}};
    return config;
  }

  void add_counted_replica(const std::string& id, const std::string& service = "app",
                           const std::string& domain = "b") {
    add_replica(id, [this, id](tcp::socket& socket, const received_request& request) {
      ++m_arrivals[id];
      // Requests overlap, so that each replica of a service gets some.
      auto timer = std::make_shared<boost::asio::steady_timer>(*m_io, milliseconds(20));
      timer->async_wait([&socket, request, timer](const boost::system::error_code&) {
        write_all(socket, replica_response(request, "200 OK", "done"));
      });
    });
    json& entry = m_entries[id];
    entry = make_server_entry(m_replicas.back()->endpoint().port());
    entry["service"] = service;
    entry["zone"] = domain;
    m_store->put("servers/" + id, entry);
  }

  void start_nodes() {
    for (int i = 0; i < node_count; ++i) {
      start_node();
    }
    wait_for_all("replicas=" + std::to_string(m_replicas.size()) + " ");
  }

  // Waits until the last adopted state of each node shows `text`.
  void wait_for_all(const std::string& text) {
    for (const auto& node : m_nodes) {
      CPPUNIT_ASSERT_MESSAGE(text + "\n" + node->log(), run_until(*m_io, [&] {
                               const std::string log = node->log();
                               const std::size_t last = log.rfind("state_adopted");
                               return last != std::string::npos &&
                                      log.find(text, last) != std::string::npos;
                             }));
    }
  }

  void send_to_all_for(milliseconds time) {
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
      std::vector<std::unique_ptr<raw_caller>> callers;
      for (const auto& node : m_nodes) {
        for (const char* path : {"/safe/1", "/safe/2", "/safe/3", "/near/1"}) {
          callers.push_back(make_caller(*node));
          callers.back()->write(request_bytes(path, "key-1", std::to_string(++m_requests)));
        }
      }
      for (const auto& caller : callers) {
        run_until(*m_io,
                  [&] { return caller->received().ends_with("done") || caller->is_closed(); });
        expect_status(caller->received(), "200");
      }
    }
  }

  std::size_t failed_reads() const {
    std::size_t failures = 0;
    for (const auto& node : m_nodes) {
      const std::string log = node->log();
      constexpr std::string_view event = "configuration_read_failed";
      for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1)) {
        ++failures;
      }
    }
    return failures;
  }

  // Publishes what the copy that was kept before lacks: key-2 is revoked, "left" has left, domain a
  // is evacuated.
  void publish_losses() {
    m_store->keep_copy();
    m_store->remove("servers/left");
    m_store->put("op/evacuate/a", json::object());
    m_store->put("op/config", config_with_keys(2, {"key-1"}));
  }

  void return_store() {
    m_store->leave();
    wait(away_time);
    m_store->come_back();
  }

  // Kills all nodes but one and starts them again.
  void restart_all_but(std::size_t survivor) {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (i != survivor) {
        m_nodes[i]->signal(SIGKILL);
        m_nodes[i]->wait_for_end(seconds(5));
        m_nodes[i]->restart();
      }
    }
  }

  // A process that was started a moment ago may not listen yet.
  bool is_listening(const node_process& node) {
    try {
      make_caller(node);
      return true;
    } catch (const boost::system::system_error&) {
      return false;
    }
  }

  // Requests with the revoked key that are served within this time.
  int served_with_revoked_key(milliseconds time) {
    int served = 0;
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
      for (const auto& node : m_nodes) {
        if (!is_listening(*node)) {
          continue;
        }
        const std::string id = std::to_string(++m_requests);
        const std::string response =
            send_and_receive(*node, request_bytes("/safe/1", "key-2", id), "}");
        served += response.starts_with("HTTP/1.1 200") ? 1 : 0;
      }
      wait(milliseconds(20));
    }
    return served;
  }

  // Guards against requests to replicas that have left or drain and to evacuated domains, because
  // the copy from which the store returned is older than that, and against revoked keys that are
  // accepted again.
  void returned_store_undoes_no_departure_and_no_evacuation() {
    m_store->put("op/config", config_with_keys(1, {"key-1", "key-2"}));
    add_counted_replica("left");
    add_counted_replica("draining");
    add_counted_replica("running");
    add_counted_replica("evacuated", "near", "a");
    add_counted_replica("beside", "near", "b");
    start_nodes();
    m_store->keep_copy();
    m_store->remove("servers/left");
    json draining = m_entries["draining"];
    draining["state"] = "draining";
    m_store->put("servers/draining", draining);
    add_counted_replica("new");
    m_store->put("op/evacuate/a", json::object());
    m_store->put("op/config", config_with_keys(2, {"key-1"}));
    wait_for_all("config_version=2 replicas=5 draining=1 evacuated_domains=1 ");

    m_store->leave();
    wait(away_time);
    m_store->come_back();
    m_arrivals.clear();
    send_to_all_for(rewrite_time);
    CPPUNIT_ASSERT(m_arrivals["new"] > 0);
    expect_status(send_and_receive(*m_nodes[0], request_bytes("/safe/1", "key-2"), "\n"), "401");
    m_store->put("servers/new", m_entries["new"]);
    m_store->put("op/evacuate/a", json::object());
    m_store->put("op/config", config_with_keys(2, {"key-1"}));
    send_to_all_for(rewrite_time);
    const std::string seen = "left " + std::to_string(m_arrivals["left"]) + ", draining " +
                             std::to_string(m_arrivals["draining"]) + ", evacuated " +
                             std::to_string(m_arrivals["evacuated"]);
    CPPUNIT_ASSERT_EQUAL(std::string("left 0, draining 0, evacuated 0"), seen);

    m_store->remove("op/evacuate/a");
    wait_for_all("evacuated_domains=0 ");
  }

  // Guards against revoked keys, replicas that left and evacuated domains that are in use again
  // because a node started after the store had come back older: it knows only the copy. The only
  // node that lives through the return is no seed.
  void nodes_that_start_after_a_return_undo_nothing() {
    m_store->put("op/config", config_with_keys(1, {"key-1", "key-2"}));
    add_counted_replica("left");
    add_counted_replica("running");
    add_counted_replica("evacuated", "near", "a");
    add_counted_replica("beside", "near", "b");
    start_nodes();
    publish_losses();
    wait_for_all("config_version=2 replicas=3 draining=0 evacuated_domains=1 ");
    return_store();
    m_arrivals.clear();
    restart_all_but(node_count - 1);
    CPPUNIT_ASSERT_EQUAL(0, served_with_revoked_key(milliseconds(800)));
    restart_all_but(0);
    CPPUNIT_ASSERT_EQUAL(0, served_with_revoked_key(milliseconds(800)));
    wait_for_all("config_version=2 ");
    send_to_all_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, m_arrivals["left"] + m_arrivals["evacuated"]);
    CPPUNIT_ASSERT(m_arrivals["running"] > 0 && m_arrivals["beside"] > 0);
    m_store->put("op/config", config_with_keys(3, {"key-1", "key-2"}));
    wait_for_all("config_version=3 ");
  }

  // Guards against a running node that accepts a revoked key until the operator has written again:
  // it was suspended while the key was revoked, and the copy does not show that.
  void node_that_missed_a_revocation_learns_it_from_its_peers() {
    m_store->put("op/config", config_with_keys(1, {"key-1", "key-2"}));
    add_counted_replica("running");
    start_nodes();
    m_store->keep_copy();
    m_nodes[1]->signal(SIGSTOP);
    m_store->put("op/config", config_with_keys(2, {"key-1"}));
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return m_nodes[0]->log().find("config_version=2 ") != std::string::npos; }));
    return_store();
    m_nodes[1]->signal(SIGCONT);
    wait_for_all("config_version=2 ");
    expect_status(send_and_receive(*m_nodes[1], request_bytes("/safe/1", "key-2"), "}"), "401");
  }

  // Guards against nodes that refuse the state of a peer because its revision is lower, and all
  // read the store themselves at once.
  void fallen_revisions_cause_no_direct_reads_of_all_nodes() {
    m_store->put("op/config", make_config(1));
    add_counted_replica("running");
    start_nodes();
    m_store->keep_copy();
    for (int i = 0; i < 50; ++i) {
      m_store->put("other/" + std::to_string(i), json::object());
    }
    m_store->put("op/config", make_config(2));
    wait_for_all("config_version=2 ");
    m_store->come_back();
    for (int version = 3; version < 12; ++version) {
      m_store->put("op/config", make_config(version));
      wait(milliseconds(200));
    }
    wait_for_all("config_version=11 ");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, failed_reads());
  }

  // Guards against nodes that follow the store no longer because its header is missing, malformed
  // or falls, and lose the proof that API keys need.
  void odd_eras_do_not_keep_the_nodes_from_following() {
    m_store->put("op/config", make_config(1));
    add_counted_replica("running");
    m_store->state_era_as("7");
    start_nodes();
    int version = 1;
    for (const std::optional<std::string>& text : std::vector<std::optional<std::string>>{
             std::nullopt, "x", "", "-1", "99999999999999999999", "3", "18446744073709551615"}) {
      m_store->state_era_as(text);
      m_store->put("op/config", make_config(++version));
      wait_for_all("config_version=" + std::to_string(version) + " ");
    }
    for (const auto& node : m_nodes) {
      CPPUNIT_ASSERT(node->log().find("lease_lapsed") == std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_era_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
