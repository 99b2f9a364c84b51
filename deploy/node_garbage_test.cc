// End-to-end tests of fuchsia-node with random and mutated datagrams, store entries, listings and
// settings.
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cmath>

#include "deploy/node_fixture.h"
#include "fuchsiaspring/base/random.h"
#include "peer.pb.h"

namespace fuchsiaspring::deploy_test {
namespace {

using boost::asio::ip::udp;

constexpr std::uint64_t seed = 4711;

class node_garbage_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_garbage_test);
  CPPUNIT_TEST(datagrams_of_random_bytes_do_not_end_the_node);
  CPPUNIT_TEST(store_entries_of_random_bytes_do_not_end_the_node);
  CPPUNIT_TEST(listings_of_random_bytes_do_not_end_the_node);
  CPPUNIT_TEST(settings_of_random_bytes_do_not_end_the_node);
  CPPUNIT_TEST_SUITE_END();

  base::random_source m_random{seed};

  std::size_t random_below(std::size_t limit) { return m_random.uniform_below(limit); }

  std::string random_bytes(std::size_t max_size) {
    std::string bytes(random_below(max_size + 1), ' ');
    for (char& each : bytes) {
      each = static_cast<char>(random_below(256));
    }
    return bytes;
  }

  // Overwrites, removes, inserts or repeats a few parts of `bytes`.
  std::string mutated(std::string bytes) {
    for (std::size_t i = random_below(4) + 1; i > 0 && !bytes.empty(); --i) {
      const std::size_t at = random_below(bytes.size());
      switch (random_below(5)) {
        case 0:
          bytes[at] = static_cast<char>(random_below(256));
          break;
        case 1:
          bytes.erase(at, random_below(20) + 1);
          break;
        case 2:
          bytes.insert(at, random_bytes(20));
          break;
        case 3:
          bytes.insert(at, bytes.substr(at, random_below(40)));
          break;
        default:
          bytes.insert(at, std::vector<std::string>{"-1", "1e999", "99999999999999999999", "null",
                                                    "[]", "{}", "\"\"", "0"}[random_below(8)]);
      }
    }
    return bytes;
  }

  // A heartbeat whose fields have valid types, and extreme or random values.
  std::string strange_heartbeat() {
    const std::vector<std::string> addresses{
        "", ":", "127.0.0.1", "127.0.0.1:0", "::1:9", "256.0.0.1:70000", "x:y"};
    const auto number = [&] { return m_random.next() >> random_below(64); };
    schema::PeerHeartbeat message;
    message.set_vm(random_below(4) == 0 ? "vm-1" : "vm-" + std::to_string(random_below(50)));
    message.set_address(addresses[random_below(addresses.size())]);
    message.set_failure_domain(random_below(2) == 0 ? "a" : "b");
    message.set_incarnation(number());
    message.set_sequence(number());
    message.set_leaving(random_below(5) == 0);
    message.set_has_load(true);
    for (std::size_t i = random_below(5); i > 0; --i) {
      schema::UpstreamLoad& load = *message.add_loads();
      load.set_upstream_hash(number());
      load.set_running(static_cast<std::uint32_t>(number()));
      load.set_prefill_tokens(static_cast<std::uint32_t>(number()));
      load.set_gap_sensitivity(random_below(2) == 0 ? -1e30F : std::nanf(""));
      schema::PromptPlacement& placed = *message.add_placements();
      placed.set_upstream_hash(number());
      placed.add_parts(number());
      schema::PeerAddress& known = *message.add_known();
      known.set_vm("vm-" + std::to_string(random_below(50)));
      known.set_address(addresses[random_below(addresses.size())]);
    }
    return message.SerializeAsString();
  }

  void add_sound_replica() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "sound"));
    });
  }

  void expect_service(node_process& node) {
    CPPUNIT_ASSERT_MESSAGE(node.log(), !node.wait_for_end(milliseconds(1)));
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
  }

  // The following tests guard against one malformed message that ends the process, or a part of it.
  void datagrams_of_random_bytes_do_not_end_the_node() {
    add_sound_replica();
    node_process& node = start_ready_node();
    const udp::endpoint remote(boost::asio::ip::address_v4::loopback(), node.ports().peer_port);
    udp::socket peer(*m_io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    for (int i = 0; i < 3000; ++i) {
      const std::string bytes = i % 3 == 0   ? random_bytes(300)
                                : i % 3 == 1 ? strange_heartbeat()
                                             : mutated(strange_heartbeat());
      peer.send_to(boost::asio::buffer(bytes), remote);
      if (i % 50 == 0) {
        wait(milliseconds(4));
      }
    }
    expect_service(node);
    // The node still answers a new peer and sends it heartbeats.
    schema::PeerHeartbeat message;
    message.set_vm("vm-sound");
    message.set_address("127.0.0.1:" + std::to_string(peer.local_endpoint().port()));
    message.set_failure_domain("a");
    message.set_incarnation(1);
    const std::string bytes = message.SerializeAsString();
    peer.non_blocking(true);
    int received = 0;
    std::array<char, 8192> buffer{};
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             boost::system::error_code error;
                             peer.send_to(boost::asio::buffer(bytes), remote, 0, error);
                             udp::endpoint sender;
                             peer.receive_from(boost::asio::buffer(buffer), sender, 0, error);
                             received += error ? 0 : 1;
                             return received >= 3;
                           }));
  }

  void store_entries_of_random_bytes_do_not_end_the_node() {
    add_sound_replica();
    node_process& node = start_ready_node();
    const std::string replica = make_server_entry(9).dump();
    const std::string config = make_config(2).dump();
    for (int i = 0; i < 300; ++i) {
      const std::string number = std::to_string(random_below(20));
      m_store->put_bytes("servers/x-" + number,
                         random_below(5) == 0 ? random_bytes(200) : mutated(replica));
      m_store->put_bytes("op/evacuate/" + number, random_bytes(20));
      if (i % 4 == 0) {
        m_store->put_bytes("op/config", mutated(config));
        wait(milliseconds(25));
      }
    }
    for (int i = 0; i < 20; ++i) {
      m_store->remove("servers/x-" + std::to_string(i));
      m_store->remove("op/evacuate/" + std::to_string(i));
    }
    m_store->put("op/config", make_config(1'000'000'000));
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             return node.log().find("config_version=1000000000") !=
                                    std::string::npos;
                           }));
    expect_service(node);
  }

  void listings_of_random_bytes_do_not_end_the_node() {
    add_sound_replica();
    node_process& node = start_ready_node();
    const json items = json::array({{{"key", "op/config"}, {"value", "e30="}, {"revision", 1}}});
    const std::string listing = json{{"items", items}, {"has-more", false}, {"at", 7}}.dump();
    int reads = 0;
    m_store->respond_with([&](tcp::socket& s) {
      ++reads;
      const std::string body = random_below(4) == 0 ? random_bytes(500) : mutated(listing);
      const std::string response =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      write_all(s, random_below(3) == 0 ? mutated(response) : response);
      if (random_below(3) == 0) {
        s.close();
      }
    });
    run_until(
        *m_io, [&] { return reads >= 40; }, seconds(8));
    m_store->respond_with(nullptr);
    m_store->put("op/config", make_config(1'000'000'000));
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             return node.log().find("config_version=1000000000") !=
                                    std::string::npos;
                           }));
    expect_service(node);
  }

  void settings_of_random_bytes_do_not_end_the_node() {
    add_sound_replica();
    node_process& node = start_ready_node();
    const std::string settings = node.settings();
    for (int i = 0; i < 60; ++i) {
      node.write_settings(random_below(4) == 0 ? random_bytes(300) : mutated(settings));
      node.signal(SIGHUP);
      wait(milliseconds(15));
    }
    node.write_settings(settings);
    node.signal(SIGHUP);
    CPPUNIT_ASSERT_MESSAGE(node.log(), node.log().find("reload_refused") != std::string::npos);
    wait(milliseconds(100));
    expect_service(node);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_garbage_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
