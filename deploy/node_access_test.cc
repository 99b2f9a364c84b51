// End-to-end tests of API keys and of configurations that take them away.
#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

class node_access_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_access_test);
  CPPUNIT_TEST(key_that_goes_with_the_last_team_is_refused);
  CPPUNIT_TEST(list_that_is_not_understood_admits_nobody);
  CPPUNIT_TEST(configuration_without_teams_admits_no_revoked_key);
  CPPUNIT_TEST(waiting_request_is_refused_when_its_route_begins_to_ask_for_keys);
  CPPUNIT_TEST(waiting_request_whose_key_changes_teams_may_come_back);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int waiting_requests = 20;

  int m_requests = 0;
  std::vector<std::function<void()>> m_held;  // responses that the replica has not sent

  static json config_with_teams(int version, const json& teams) {
    json config = make_config(version);
    config["tenants"] = teams;
    for (json& route : config["routes"]) {
      route["timeout-ms"] = 5000;
      route["target-latency-ms"] = 4000;
    }
    return config;
  }

  static json team(const std::string& name, const std::vector<std::string>& keys) {
    return {{"name", name}, {"api-keys", keys}};
  }

  static std::string bytes_without_key(const std::string& path, const std::string& id) {
    std::string bytes = request_bytes(path, "key-1", id);
    const std::string header = "Authorization: Bearer key-1\r\n";
    return bytes.erase(bytes.find(header), header.size());
  }

  void add_answering_replica() {
    add_replica("i-1", [](tcp::socket& socket, const received_request& request) {
      write_all(socket, replica_response(request, "200 OK", "done"));
    });
  }

  // A replica that answers one request at a time, when release() is called.
  void add_holding_replica() {
    add_replica("i-1", [this](tcp::socket& socket, const received_request& request) {
      m_held.emplace_back(
          [&socket, request] { write_all(socket, replica_response(request, "200 OK", "done")); });
    });
    json entry = make_server_entry(m_replicas.back()->endpoint().port());
    entry["slots"] = 1;
    m_store->put("servers/i-1", entry);
  }

  void release() {
    for (const auto& send_response : std::exchange(m_held, {})) {
      send_response();
    }
  }

  void publish(const node_process& node, const json& config) {
    m_store->put("op/config", config);
    const std::string adopted = "config_version=" + config["version"].dump() + " ";
    CPPUNIT_ASSERT(run_until(
        *m_io, [&] { return node.log().find(adopted) != std::string::npos; }, seconds(5)));
  }

  std::string status_of(const node_process& node, const std::string& bytes) {
    const std::string response = send_and_receive(node, bytes, "}");
    return response.substr(0, 12);
  }

  void expect_statuses(const node_process& node, const std::string& with_key,
                       const std::string& without_key) {
    for (const char* path : {"/once/1", "/safe/1", "/stream/1"}) {
      for (const char* key : {"key-1", "invented"}) {
        const std::string id = std::to_string(++m_requests);
        CPPUNIT_ASSERT_EQUAL(with_key, status_of(node, request_bytes(path, key, id)));
      }
    }
    const std::string id = std::to_string(++m_requests);
    const std::string response = send_and_receive(node, bytes_without_key("/once/1", id), "done");
    CPPUNIT_ASSERT_EQUAL(without_key, response.substr(0, 12));
  }

  // Guards against a revoked key that is accepted again because its team was the last one.
  void key_that_goes_with_the_last_team_is_refused() {
    add_answering_replica();
    node_process& node =
        start_ready_node_with(config_with_teams(1, json::array({team("team-1", {"key-1"})})));
    expect_status(send_and_receive(node, request_bytes("/once/1"), "done"), "200");
    publish(node, config_with_teams(2, json::array()));
    m_replica_requests.clear();
    expect_statuses(node, "HTTP/1.1 401", "HTTP/1.1 401");
    CPPUNIT_ASSERT(m_replica_requests.empty());
    CPPUNIT_ASSERT(node.log().find("key_rule config_version=2 asks_for_keys=true teams=0") !=
                   std::string::npos);
  }

  // Guards against routes that open because a value in place of the list is not understood.
  void list_that_is_not_understood_admits_nobody() {
    add_answering_replica();
    node_process& node =
        start_ready_node_with(config_with_teams(1, json::array({team("team-1", {"key-1"})})));
    int version = 1;
    for (const json& odd : {json(), json::object(), json("team-1"), json::array({7})}) {
      publish(node, config_with_teams(++version, odd));
      m_replica_requests.clear();
      expect_statuses(node, "HTTP/1.1 401", "HTTP/1.1 401");
      CPPUNIT_ASSERT(m_replica_requests.empty());
    }
  }

  // Guards against a revoked key that is accepted because the whole list is gone. Requests without
  // a key run there, and no key reaches a replica.
  void configuration_without_teams_admits_no_revoked_key() {
    add_answering_replica();
    node_process& node =
        start_ready_node_with(config_with_teams(1, json::array({team("team-1", {"key-1"})})));
    json config = config_with_teams(2, json::array());
    config.erase("tenants");
    publish(node, config);
    expect_statuses(node, "HTTP/1.1 401", "HTTP/1.1 200");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replica_requests.size());
  }

  std::vector<std::unique_ptr<raw_caller>> send_waiting(
      const node_process& node, const std::function<std::string(const std::string&)>& bytes_of) {
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < waiting_requests; ++i) {
      callers.push_back(make_caller(node));
      callers.back()->write(bytes_of(std::to_string(++m_requests)));
    }
    wait(milliseconds(300));
    CPPUNIT_ASSERT(!m_replica_requests.empty() && m_replica_requests.size() < waiting_requests);
    return callers;
  }

  // Lets the replica answer what it has, and returns the responses to the requests that waited.
  std::vector<std::string> responses_after_release(
      const std::vector<std::unique_ptr<raw_caller>>& callers) {
    for (int i = 0; i < waiting_requests; ++i) {
      release();
      wait(milliseconds(20));
    }
    std::vector<std::string> responses;
    for (const auto& caller : callers) {
      responses.push_back(caller->received());
    }
    return responses;
  }

  static std::ptrdiff_t count_starting_with(const std::vector<std::string>& responses,
                                            const std::string& start) {
    return std::count_if(responses.begin(), responses.end(),
                         [&](const std::string& each) { return each.starts_with(start); });
  }

  // Guards against requests that run without a key because they waited while the rule changed.
  void waiting_request_is_refused_when_its_route_begins_to_ask_for_keys() {
    add_holding_replica();
    json config = config_with_teams(1, json::array());
    config.erase("tenants");
    node_process& node = start_ready_node_with(config);
    const auto callers =
        send_waiting(node, [](const std::string& id) { return bytes_without_key("/once/1", id); });
    const auto begun = static_cast<std::ptrdiff_t>(m_replica_requests.size());
    publish(node, config_with_teams(2, json::array({team("team-1", {"key-1"})})));
    const std::vector<std::string> responses = responses_after_release(callers);
    CPPUNIT_ASSERT_EQUAL(begun, static_cast<std::ptrdiff_t>(m_replica_requests.size()));
    CPPUNIT_ASSERT_EQUAL(begun, count_starting_with(responses, "HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(waiting_requests - begun, count_starting_with(responses, "HTTP/1.1 401"));
  }

  // Guards against a final refusal of a request whose key is valid before and after the change.
  void waiting_request_whose_key_changes_teams_may_come_back() {
    add_holding_replica();
    node_process& node =
        start_ready_node_with(config_with_teams(1, json::array({team("team-1", {"key-1"})})));
    const auto callers = send_waiting(
        node, [](const std::string& id) { return request_bytes("/once/1", "key-1", id); });
    const auto begun = static_cast<std::ptrdiff_t>(m_replica_requests.size());
    publish(node,
            config_with_teams(2, json::array({team("team-1", {}), team("team-2", {"key-1"})})));
    const std::vector<std::string> responses = responses_after_release(callers);
    CPPUNIT_ASSERT_EQUAL(begun, static_cast<std::ptrdiff_t>(m_replica_requests.size()));
    CPPUNIT_ASSERT_EQUAL(waiting_requests - begun, count_starting_with(responses, "HTTP/1.1 503"));
    for (const std::string& each : responses) {
      CPPUNIT_ASSERT(each.starts_with("HTTP/1.1 200") ||
                     each.find("Retry-After: ") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_access_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
