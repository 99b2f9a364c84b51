#include "fuchsiaspring/settings/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "fuchsiaspring/settings/address.h"
#include "fuchsiaspring/settings/settings_page.h"
#include "settings.pb.h"

namespace fuchsiaspring::settings {
namespace {

const std::string valid_gateway =
    "vm: vm1\n"
    "failure_domain: pnw-a\n"
    "listen_address: 10.0.0.1:8080\n"
    "operator_address: 10.0.0.1:9090\n"
    "mailbox_address: 10.0.0.1:7001\n"
    "scheduler_address: '[fd00::1]:7002'\n"
    "agent_address: 10.0.0.1:7003\n"
    "key_file: /etc/fuchsiaspring/fleet.key\n";

const std::string valid_node =
    "vm: vm1\n"
    "failure_domain: pnw-a\n"
    "region: pnw\n"
    "listen_address: 10.0.0.1:8080\n"
    "operator_address: 10.0.0.1:9090\n"
    "metrics_address: 10.0.0.1:9464\n"
    "peer_address: 10.0.0.1:7001\n"
    "config_service_address: 10.200.0.1:8742\n";

class settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(defaults_come_from_the_schema);
  CPPUNIT_TEST(all_faults_are_reported_with_location_and_range);
  CPPUNIT_TEST(fractions_of_promises_are_dropped);
  CPPUNIT_TEST(malformed_files_are_refused);
  CPPUNIT_TEST(inconsistent_keys_are_refused);
  CPPUNIT_TEST(address_needs_a_numeric_ip_and_a_port);
  CPPUNIT_TEST(only_keys_that_need_a_restart_are_listed);
  CPPUNIT_TEST(settings_page_is_up_to_date);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_path = std::filesystem::temp_directory_path() /
             ("settings_test_" + std::to_string(getpid()) + ".yaml");
  }
  void tearDown() override { std::filesystem::remove(m_path); }

 private:
  template <typename Message>
  base::result<Message> load(const std::string& text) {
    std::ofstream(m_path) << text;
    return load_settings<Message>(m_path);
  }

  void expect_in_message(const std::string& message, const std::string& part) {
    CPPUNIT_ASSERT_MESSAGE(part + " not in:\n" + message, message.find(part) != std::string::npos);
  }

  void expect_gateway_fault(const std::string& text, const std::string& part) {
    const auto loaded = load<schema::GatewaySettings>(text);
    CPPUNIT_ASSERT_MESSAGE("accepted: " + text, !loaded);
    expect_in_message(loaded.error().message, part);
  }

  // Guards against defaults in the code that differ from the schema.
  void defaults_come_from_the_schema() {
    const auto loaded = load<schema::GatewaySettings>(valid_gateway + "log: {level: debug}\n");
    CPPUNIT_ASSERT_MESSAGE(loaded ? "" : loaded.error().message, loaded.has_value());
    CPPUNIT_ASSERT_EQUAL(4194304U, loaded.value().max_body_bytes());
    CPPUNIT_ASSERT_EQUAL(std::string("debug"), loaded.value().log().level());
    CPPUNIT_ASSERT_EQUAL(std::string("text"), loaded.value().log().format());
    CPPUNIT_ASSERT_EQUAL(std::string("[fd00::1]:7002"), loaded.value().scheduler_address());
  }

  // Guards against a node that does not start because a bound of its platform has a fraction.
  void fractions_of_promises_are_dropped() {
    const std::string valid_promises =
        "{grace_period_ms: 7.5e3, drain_ms: 1500.9, retry_window_ms: 10e3, retry_slack: 52.5}";
    const auto loaded =
        load<schema::NodeSettings>(valid_node + "promises: " + valid_promises + "\n");
    CPPUNIT_ASSERT_MESSAGE(loaded ? "" : loaded.error().message, loaded.has_value());
    const schema::PromiseSettings& promises = loaded.value().promises();
    CPPUNIT_ASSERT_EQUAL(7500U, promises.grace_period_ms());
    CPPUNIT_ASSERT_EQUAL(1500U, promises.drain_ms());
    CPPUNIT_ASSERT_EQUAL(10000U, promises.retry_window_ms());
    CPPUNIT_ASSERT_EQUAL(52U, promises.retry_slack());
    for (const std::string value : {"-0.5", "1e99", "nan", "7.5s", "\"7.5\"", "0.4e3"}) {
      const std::string text = "promises: {grace_period_ms: " + value + "}\n";
      CPPUNIT_ASSERT_MESSAGE(value, !load<schema::NodeSettings>(valid_node + text));
    }
    CPPUNIT_ASSERT(!load<schema::NodeSettings>(valid_node + "file_descriptor_limit: 4100.5\n"));
  }

  // Guards against a check that stops at the first fault, so that each one needs another start.
  void all_faults_are_reported_with_location_and_range() {
    const auto loaded = load<schema::AgentSettings>(
        "vm: [vm1]\n"
        "operator_address: localhost:9090\n"
        "key_retention_ms: 5\n"
        "claim_timeout_ms: fast\n"
        "clock_error_ms: \"12\"\n"
        "readers_per_domian: 2\n"
        "local_mailboxes: [10.0.0.1:1, 10.0.0.1]\n"
        "log:\n"
        "  level: loud\n");
    CPPUNIT_ASSERT(!loaded);
    const std::string file = m_path.string();
    const std::string& message = loaded.error().message;
    expect_in_message(message, file + ":1: vm: expected text, found a list");
    expect_in_message(message, file +
                                   ":2: operator_address: \"localhost:9090\" is not accepted, "
                                   "accepted: ip:port");
    expect_in_message(message, file +
                                   ":3: key_retention_ms: 5 is out of range, accepted: 1000 to "
                                   "86400000 ms");
    expect_in_message(message,
                      file + ":4: claim_timeout_ms: expected a whole number, found \"fast\"");
    expect_in_message(message, file + ":5: clock_error_ms: expected a whole number");
    expect_in_message(
        message,
        file + ":6: readers_per_domian: unknown key, did you mean \"readers_per_domain\"?");
    expect_in_message(message, file + ":7: local_mailboxes[1]: \"10.0.0.1\" is not accepted");
    expect_in_message(message,
                      file + ":9: log.level: \"loud\" is not accepted, accepted: trace, debug");
    expect_in_message(message,
                      file + ": mailbox_address: required key is missing, accepted: ip:port");
    expect_in_message(message, file + ": key_file: required key is missing");
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{11}, std::count(message.begin(), message.end(), '\n'));
  }

  void malformed_files_are_refused() {
    const auto absent = load_settings<schema::GatewaySettings>("/nonexistent/gateway.yaml");
    CPPUNIT_ASSERT(absent.error().code == base::error_code::not_found);
    expect_gateway_fault("vm: [vm1\nkey_file: x\n", "not valid YAML");
    expect_gateway_fault("", "vm: required key is missing");
    expect_gateway_fault("- vm\n", "expected a mapping, found a list");
    expect_gateway_fault(valid_gateway + "---\nvm: vm2\n", ":9: a second YAML document");
    // yaml-cpp's LoadAll never returns for a comma outside brackets.
    expect_gateway_fault("- vm1\n, vm2\n", ":2: a second YAML document or a misplaced character");
    expect_gateway_fault(valid_gateway + "vm: vm2\n",
                         ":9: vm: given a second time, first on line 1");
    expect_gateway_fault(valid_gateway + "log:\n", "log: expected a mapping, found no value");
    // 2^32 + 4096 would be in range after truncation to 32 bits.
    expect_gateway_fault(valid_gateway + "max_body_bytes: 4294971392\n", "is out of range");
    expect_gateway_fault(valid_gateway + "upstream_ca_file: \"a\\n\"\n", "control characters");
    expect_gateway_fault(valid_gateway + "quite_other: 1\n", ":9: quite_other: unknown key");
    expect_gateway_fault(valid_gateway + "max_body_bytes: -1\n", "is out of range");
  }

  void inconsistent_keys_are_refused() {
    expect_gateway_fault(valid_gateway + "tls_key_file: /k.pem\n", ":9: tls_key_file: ");
    std::string text = valid_gateway;
    text.replace(text.find("9090"), 4, "8080");
    expect_gateway_fault(text,
                         ":4: operator_address: 10.0.0.1:8080 is already the value of "
                         "listen_address");
    const auto loaded = load<schema::AgentSettings>("suspicion_timeout_ms: 1500\n");
    expect_in_message(loaded.error().message, ":1: suspicion_timeout_ms: 1500 ms is below twice");
  }

  void address_needs_a_numeric_ip_and_a_port() {
    for (const char* good : {"127.0.0.1:1", "0.0.0.0:65535", "[::1]:80"}) {
      CPPUNIT_ASSERT_MESSAGE(good, is_ip_port(good));
    }
    for (const char* bad : {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                            "127.0.0.1:+8", "127.0.0.1:-8", "127.0.0.1:80 ", "127.0.0.256:80",
                            "::1:80", "[]:80", "[::g]:80", "host:80", "127.0.0.1:8a"}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !is_ip_port(bad));
    }
  }

  // Guards against a reload that reports success although a changed value needs a restart.
  void only_keys_that_need_a_restart_are_listed() {
    const auto running = load<schema::GatewaySettings>(valid_gateway).value();
    CPPUNIT_ASSERT(not_reloadable_changes(running, running).empty());
    schema::GatewaySettings updated = running;
    updated.set_shutdown_timeout_ms(5);
    updated.mutable_log()->set_level("warn");
    CPPUNIT_ASSERT(not_reloadable_changes(running, updated).empty());
    updated.mutable_log()->set_format("json");
    updated.set_listen_address("10.0.0.1:8081");
    const std::vector<std::string> expected{"listen_address", "log.format"};
    CPPUNIT_ASSERT(not_reloadable_changes(running, updated) == expected);
  }

  // Guards against a schema change without `fuchsiactl settings-doc > docs/settings.md`.
  void settings_page_is_up_to_date() {
    std::ifstream stream(std::filesystem::path(FUCHSIASPRING_SOURCE_DIR) / "docs/settings.md");
    CPPUNIT_ASSERT_EQUAL(settings_page(), std::string(std::istreambuf_iterator<char>(stream), {}));
  }

  std::filesystem::path m_path;
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

}  // namespace
}  // namespace fuchsiaspring::settings
