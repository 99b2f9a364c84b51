// The agent's parts over loopback sockets, where their handlers throw exceptions.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <stdexcept>
#include <string>

#include "apps/node/config_reader.h"
#include "apps/node/peer_exchange.h"
#include "deploy/store_stand_in.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {
namespace {

using boost::asio::ip::udp;
using relay::testing::run_until;
using std::chrono::milliseconds;

udp::endpoint loopback(std::uint16_t port) {
  return {boost::asio::ip::address_v4::loopback(), port};
}

class node_agent_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_agent_test);
  CPPUNIT_TEST(configuration_is_read_again_after_an_exception);
  CPPUNIT_TEST(pages_of_different_eras_are_not_mixed);
  CPPUNIT_TEST(heartbeats_go_on_after_an_exception);
  CPPUNIT_TEST(datagrams_are_received_after_an_exception);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context m_io;
  udp::socket m_peer{m_io, loopback(0)};
  std::uint16_t m_node_port = free_port();
  deploy_test::store_stand_in m_store{m_io};
  telemetry::event_log m_log{"vm-1", {}};
  telemetry::metrics m_metrics;
  node::scheduler m_scheduler{{.vm = "vm-1", .failure_domain = "a"}, 1, base::boot_clock::now()};
  relay::channel_pool m_channels{m_io, {}};
  quarantine::part_quarantine m_prompt_quarantine{{}, "vm-1"};
  node_context m_context{.io = m_io,
                         .settings = make_settings(),
                         .log = m_log,
                         .metrics = m_metrics,
                         .scheduler = m_scheduler,
                         .channels = m_channels,
                         .prompt_quarantine = m_prompt_quarantine,
                         .lease = fleet::config_lease({})};
  int m_calls = 0;

  std::uint16_t free_port() { return udp::socket(m_io, loopback(0)).local_endpoint().port(); }

  schema::NodeSettings make_settings() {
    schema::NodeSettings settings;
    settings.set_vm("vm-1");
    settings.set_failure_domain("a");
    settings.set_peer_address("127.0.0.1:" + std::to_string(m_node_port));
    settings.set_peer_interval_ms(20);
    settings.set_config_service_address("127.0.0.1:" + std::to_string(m_store.port()));
    settings.set_config_read_interval_ms(100);
    settings.mutable_promises()->set_drain_ms(5000);
    settings.mutable_promises()->set_config_apply_ms(5000);
    settings.mutable_promises()->set_evacuation_ms(5000);
    return settings;
  }

  // Runs the loop like run_event_loop(): an exception of a handler does not end it.
  bool runs_until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    while (!done() && std::chrono::steady_clock::now() < end) {
      try {
        run_until(m_io, done, milliseconds(50));
      } catch (const std::runtime_error&) {
        continue;
      }
    }
    return done();
  }

  void fail_at_first() {
    if (++m_calls == 1) {
      throw std::runtime_error("unexpected");
    }
  }

  void send_heartbeat() {
    schema::PeerHeartbeat message;
    message.set_vm("vm-2");
    message.set_address("127.0.0.1:" + std::to_string(m_peer.local_endpoint().port()));
    message.set_failure_domain("a");
    message.set_incarnation(1);
    const std::string bytes = message.SerializeAsString();
    m_peer.send_to(boost::asio::buffer(bytes), loopback(m_node_port));
  }

  // The following tests guard against one exception after which a node reads no configuration, so
  // that it refuses all requests with a key, or neither sends nor receives heartbeats, so that the
  // other nodes take it for lost.
  void configuration_is_read_again_after_an_exception() {
    m_store.put("op/config", {{"version", 1}});
    const fleet::peer_directory peers({.vm = "vm-1"}, {});
    config_reader reader(
        m_context, peers,
        [this](const node::published_state&, const node::read_evidence&) { fail_at_first(); });
    reader.start();
    CPPUNIT_ASSERT(runs_until([&] { return m_calls >= 3; }));
  }

  static void send_page(relay::testing::tcp::socket& socket, int era, const std::string& fields) {
    const std::string text = "{" + fields + "}";
    relay::testing::write_all(socket, "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) +
                                          "\r\nContent-Length: " + std::to_string(text.size()) +
                                          "\r\n\r\n" + text);
  }

  // Guards against an entry from before a return of the store in a state from behind it.
  void pages_of_different_eras_are_not_mixed() {
    // The values are {} and {"version":3}, in base64.
    const std::string last =
        R"("items":[{"key":"op/config","value":"eyJ2ZXJzaW9uIjozfQ=="}],"at":2)";
    int pages = 0;
    m_store.respond_with([&](relay::testing::tcp::socket& socket) {
      if (++pages == 1) {
        send_page(socket, 1,
                  R"("items":[{"key":"op/evacuate/z","value":"e30="}],"at":9,"has-more":true)");
      } else {
        send_page(socket, 2, last);
      }
    });
    const fleet::peer_directory peers({.vm = "vm-1"}, {});
    std::vector<node::published_state> states;
    config_reader reader(m_context, peers,
                         [&](const node::published_state& state, const node::read_evidence&) {
                           states.push_back(state);
                         });
    reader.start();
    CPPUNIT_ASSERT(runs_until([&] { return !states.empty(); }));
    CPPUNIT_ASSERT_EQUAL(3, pages);
    CPPUNIT_ASSERT(states.front().evacuated_domains.empty());
    CPPUNIT_ASSERT((states.front().version == node::store_version{2, 2}));
  }

  void heartbeats_go_on_after_an_exception() {
    peer_exchange exchange(m_context);
    exchange.start({.on_nodes = [this] { fail_at_first(); }});
    CPPUNIT_ASSERT(runs_until([&] { return m_calls >= 3; }));
  }

  void datagrams_are_received_after_an_exception() {
    peer_exchange exchange(m_context);
    exchange.start({.on_remote_load = [this] { fail_at_first(); }});
    for (int i = 1; i <= 3; ++i) {
      send_heartbeat();
      CPPUNIT_ASSERT(runs_until([&] { return m_calls >= i; }));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_agent_test);

}  // namespace
}  // namespace fuchsiaspring::node_app
