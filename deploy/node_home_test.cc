// End-to-end tests of limits to the regions in which requests may run.
#include <map>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

class node_home_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_home_test);
  CPPUNIT_TEST(homes_of_route_and_team_both_bind);
  CPPUNIT_TEST(homes_without_a_common_region_are_refused_at_once);
  CPPUNIT_TEST(queued_requests_follow_narrower_homes);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int request_count = 40;

  std::map<std::string, int> m_arrivals;      // by replica
  std::vector<std::function<void()>> m_held;  // responses that the replicas have not sent

  static json config_with_homes(int version, const json& route_homes, const json& team_homes) {
    json config = make_config(version);
    for (json& route : config["routes"]) {
      route["allowed-regions"] = route_homes;
    }
    config["tenants"][0]["allowed-regions"] = team_homes;
    return config;
  }

  // `is_holding`: responses are sent by release().
  void add_replica_in(const std::string& domain, bool is_holding = false) {
    add_replica(domain,
                [this, domain, is_holding](tcp::socket& socket, const received_request& request) {
                  ++m_arrivals[domain];
                  const std::string response = replica_response(request, "200 OK", "done");
                  if (!is_holding) {
                    write_all(socket, response);
                    return;
                  }
                  m_held.emplace_back([&socket, response] { write_all(socket, response); });
                });
    json entry = make_server_entry(m_replicas.back()->endpoint().port());
    entry["zone"] = domain;
    entry["slots"] = 1;
    m_store->put("servers/" + domain, entry);
  }

  void release() {
    for (const auto& send_response : std::exchange(m_held, {})) {
      send_response();
    }
  }

  node_process& start_node_with_two_regions(const json& config) {
    m_store->put("op/config", config);
    node_process& node = start_node();
    const std::string one_region = "domain_regions:\n  - \"a=r\"\n";
    std::string settings = node.settings();
    settings.replace(settings.find(one_region), one_region.size(),
                     "domain_regions:\n  - \"a=east\"\n  - \"b=west\"\n");
    node.signal(SIGKILL);
    node.wait_for_end(seconds(5));
    node.write_settings(settings);
    node.restart();
    wait_for(node, "config_version=1 replicas=2 ");
    return node;
  }

  void wait_for(const node_process& node, const std::string& text) {
    const std::string started = "node: started";
    CPPUNIT_ASSERT(run_until(*m_io, [&] {
      const std::string log = node.log();
      return log.find(text, log.rfind(started)) != std::string::npos;
    }));
  }

  // Guards against a team whose homes replace those of the route: the request runs where the route
  // may not. The node is in the region where only the team may run.
  void homes_of_route_and_team_both_bind() {
    add_replica_in("a");
    add_replica_in("b");
    node_process& node =
        start_node_with_two_regions(config_with_homes(1, {"west"}, {"east", "west"}));
    for (int i = 0; i < request_count; ++i) {
      const std::string id = std::to_string(i);
      expect_status(send_and_receive(node, request_bytes("/once/1", "key-1", id), "done"), "200");
    }
    CPPUNIT_ASSERT_EQUAL(0, m_arrivals["a"]);
    CPPUNIT_ASSERT_EQUAL(request_count, m_arrivals["b"]);
  }

  // Guards against homes without a common region that pass for no limit, and against requests that
  // wait in vain for a replica.
  void homes_without_a_common_region_are_refused_at_once() {
    add_replica_in("a");
    add_replica_in("b");
    node_process& node = start_node_with_two_regions(config_with_homes(1, {"east"}, {"west"}));
    const std::string refused = send_and_receive(node, request_bytes("/once/1"), "}");
    expect_status(refused, "503");
    CPPUNIT_ASSERT(refused.find("\"executed\":\"no\"") != std::string::npos);
    CPPUNIT_ASSERT(refused.find("no_permitted_region") != std::string::npos);
    CPPUNIT_ASSERT(refused.find("Retry-After: ") != std::string::npos);
    const std::string log = node.log();
    const std::size_t finished = log.find("reason=no_permitted_region route=once");
    CPPUNIT_ASSERT(finished != std::string::npos);
    CPPUNIT_ASSERT(log.find("home_regions=none", finished) != std::string::npos);
    CPPUNIT_ASSERT(m_arrivals.empty());
  }

  // Guards against requests that wait while their homes become narrower, and run outside them.
  void queued_requests_follow_narrower_homes() {
    add_replica_in("a", true);
    add_replica_in("b", true);
    json config = config_with_homes(1, {"east", "west"}, {"east", "west"});
    for (json& route : config["routes"]) {
      route["timeout-ms"] = 5000;
      route["target-latency-ms"] = 4000;
    }
    node_process& node = start_node_with_two_regions(config);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < request_count; ++i) {
      callers.push_back(make_caller(node));
      callers.back()->write(request_bytes("/once/1", "key-1", std::to_string(i)));
    }
    wait(milliseconds(300));
    CPPUNIT_ASSERT(m_arrivals["a"] > 0 && m_arrivals["a"] + m_arrivals["b"] < request_count);
    config["version"] = 2;
    config["tenants"][0]["allowed-regions"] = {"west"};
    m_store->put("op/config", config);
    wait_for(node, "config_version=2 ");
    const int arrivals_before = m_arrivals["a"];
    for (int i = 0; i < request_count; ++i) {
      release();
      wait(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(arrivals_before, m_arrivals["a"]);
    CPPUNIT_ASSERT(m_arrivals["a"] + m_arrivals["b"] > request_count / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_home_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
