#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <thread>

#include "tests/scenario/child_process.h"
#include "tests/scenario/relay/tcp_relay.h"
#include "tests/scenario/script.h"
#include "tests/scenario/values.h"

namespace fuchsiaspring::scenario {
namespace {

using std::chrono::milliseconds;

constexpr const char* relay_ip = "127.0.4.250";
constexpr const char* target_ip = "127.0.4.251";
// Depends on the process id, so that concurrent runs rarely use the same port.
const auto test_port = static_cast<std::uint16_t>(22000 + getpid() % 500);

sockaddr_in address_of(const char* ip) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(test_port);
  inet_pton(AF_INET, ip, &address.sin_addr);
  return address;
}

// A listening socket behind a relay.
struct relay_fixture {
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  tcp_relay relay;

  relay_fixture() {
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = address_of(target_ip);
    CPPUNIT_ASSERT_EQUAL(
        0, bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    CPPUNIT_ASSERT_EQUAL(0, listen(listener, 16));
    CPPUNIT_ASSERT(relay.start(relay_ip, test_port, target_ip, test_port));
  }
  ~relay_fixture() { close(listener); }
  relay_fixture(const relay_fixture&) = delete;
  relay_fixture& operator=(const relay_fixture&) = delete;
  relay_fixture(relay_fixture&&) = delete;
  relay_fixture& operator=(relay_fixture&&) = delete;

  // Connects through the relay; returns the client's and the server's socket.
  std::pair<int, int> connect_through_relay() const {
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = address_of(relay_ip);
    CPPUNIT_ASSERT_EQUAL(
        0, connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    const int server = accept(listener, nullptr, nullptr);
    const timeval timeout{0, 200000};
    setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(server, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    return {client, server};
  }
};

void write_text(int descriptor, const std::string& text) {
  send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

// Returns the bytes of one read, or an empty string if none arrive within 200 ms.
std::string read_text(int descriptor) {
  char buffer[64];
  const ssize_t count = recv(descriptor, buffer, sizeof buffer, 0);
  return count > 0 ? std::string(buffer, static_cast<std::size_t>(count)) : "";
}

class scenario_parts_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(scenario_parts_test);
  CPPUNIT_TEST(options_are_separated_from_words);
  CPPUNIT_TEST(json_body_is_one_word);
  CPPUNIT_TEST(metric_selects_series_by_label);
  CPPUNIT_TEST(missing_json_field_has_no_value);
  CPPUNIT_TEST(expression_adds_and_subtracts);
  CPPUNIT_TEST(relay_passes_bytes_both_ways);
  CPPUNIT_TEST(holding_one_direction_keeps_the_other);
  CPPUNIT_TEST(silence_leaves_new_connections_working);
  CPPUNIT_TEST(holding_one_sender_leaves_others_working);
  CPPUNIT_TEST(drop_resets_connections);
  CPPUNIT_TEST(killed_child_reports_its_signal);
  CPPUNIT_TEST_SUITE_END();

  void options_are_separated_from_words() {
    const auto steps = parse_script("# comment\n\nstart engine e1 domain=a slots=8 # note\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, steps.value().size());
    CPPUNIT_ASSERT_EQUAL(3, steps.value()[0].line);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, steps.value()[0].words.size());
    CPPUNIT_ASSERT_EQUAL(std::string("8"), steps.value()[0].option("slots"));
  }

  void json_body_is_one_word() {
    const auto steps = parse_script(R"(control e1 {"freeze": true, "slots": 2})");
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"freeze": true, "slots": 2})"),
                         steps.value()[0].words.at(2));
  }

  // Guards against a check that passes because unrelated series were added to the sum.
  void metric_selects_series_by_label() {
    const std::string page =
        "# TYPE a_total counter\na_total{reason=\"x\"} 2\na_total{reason=\"y\"} 3\n"
        "a_total_more 50\na_total 1\n";
    CPPUNIT_ASSERT_EQUAL(6.0, metric_sum(page, "a_total"));
    CPPUNIT_ASSERT_EQUAL(2.0, metric_sum(page, "a_total{reason=\"x\"}"));
    CPPUNIT_ASSERT_EQUAL(0.0, metric_sum(page, "b_total"));
  }

  // Guards against a check of a misspelt field that passes because a missing field counts as 0.
  void missing_json_field_has_no_value() {
    const auto document = nlohmann::json::parse(R"({"a":{"b":[1,2]},"c":true})");
    CPPUNIT_ASSERT(json_number(document, "a.b.1") == 2.0);
    CPPUNIT_ASSERT(json_number(document, "a.b") == 2.0);
    CPPUNIT_ASSERT(json_number(document, "c") == 1.0);
    CPPUNIT_ASSERT(!json_number(document, "a.x"));
  }

  void expression_adds_and_subtracts() {
    const auto read = [](const std::string& term) -> std::optional<double> {
      return term == "bad" ? std::nullopt : std::optional(std::stod(term));
    };
    CPPUNIT_ASSERT(evaluate({"5", "-", "2", "+", "1"}, read) == 4.0);
    CPPUNIT_ASSERT(!evaluate({"5", "-", "bad"}, read));
    CPPUNIT_ASSERT(!compare(1, "=", 1));
  }

  void relay_passes_bytes_both_ways() {
    const relay_fixture fixture;
    const auto [client, server] = fixture.connect_through_relay();
    write_text(client, "to server");
    CPPUNIT_ASSERT_EQUAL(std::string("to server"), read_text(server));
    write_text(server, "to client");
    CPPUNIT_ASSERT_EQUAL(std::string("to client"), read_text(client));
    close(client);
    CPPUNIT_ASSERT_EQUAL(std::string(), read_text(server));
    close(server);
  }

  void holding_one_direction_keeps_the_other() {
    relay_fixture fixture;
    const auto [client, server] = fixture.connect_through_relay();
    fixture.relay.set_held(direction::forward, "", true);
    write_text(client, "held");
    CPPUNIT_ASSERT_EQUAL(std::string(), read_text(server));
    write_text(server, "passes");
    CPPUNIT_ASSERT_EQUAL(std::string("passes"), read_text(client));
    fixture.relay.restore("");
    CPPUNIT_ASSERT_EQUAL(std::string("held"), read_text(server));
    close(client);
    close(server);
  }

  void silence_leaves_new_connections_working() {
    relay_fixture fixture;
    const auto [client, server] = fixture.connect_through_relay();
    fixture.relay.silence("");
    write_text(client, "lost");
    CPPUNIT_ASSERT_EQUAL(std::string(), read_text(server));
    const auto [new_client, new_server] = fixture.connect_through_relay();
    write_text(new_client, "works");
    CPPUNIT_ASSERT_EQUAL(std::string("works"), read_text(new_server));
    for (const int descriptor : {client, server, new_client, new_server}) {
      close(descriptor);
    }
  }

  void holding_one_sender_leaves_others_working() {
    relay_fixture fixture;
    fixture.relay.set_held(direction::forward, "vm1", true);
    const auto [first, first_server] = fixture.connect_through_relay();
    const auto [second, second_server] = fixture.connect_through_relay();
    write_text(first, "xx vm1/agent");
    write_text(second, "xx vm2/agent");
    CPPUNIT_ASSERT_EQUAL(std::string(), read_text(first_server));
    CPPUNIT_ASSERT_EQUAL(std::string("xx vm2/agent"), read_text(second_server));
    for (const int descriptor : {first, first_server, second, second_server}) {
      close(descriptor);
    }
  }

  void drop_resets_connections() {
    relay_fixture fixture;
    const auto [client, server] = fixture.connect_through_relay();
    fixture.relay.set_dropping("", true);
    char byte = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t{-1}, recv(client, &byte, 1, 0));
    CPPUNIT_ASSERT_EQUAL(ECONNRESET, errno);
    close(client);
    close(server);
  }

  void killed_child_reports_its_signal() {
    child_process child;
    CPPUNIT_ASSERT(child.start({"/bin/sleep", "30"}, "/dev/null"));
    CPPUNIT_ASSERT(!child.start({"/bin/sleep", "30"}, "/dev/null"));
    CPPUNIT_ASSERT(!child.wait(milliseconds(20)));
    child.signal(SIGKILL);
    CPPUNIT_ASSERT(child.wait(std::chrono::seconds(5)) == 128 + SIGKILL);
    CPPUNIT_ASSERT(!child.is_running());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scenario_parts_test);

}  // namespace
}  // namespace fuchsiaspring::scenario
