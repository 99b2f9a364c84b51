#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "fuchsiaspring/fleet/config_source.h"

namespace fuchsiaspring::fleet {
namespace {

using std::chrono::milliseconds;

std::vector<peer_info> make_nodes(int domains, int per_domain) {
  std::vector<peer_info> nodes;
  for (int d = 0; d < domains; ++d) {
    for (int i = 0; i < per_domain; ++i) {
      const std::string name = "vm-" + std::to_string(d) + "-" + std::to_string(i);
      nodes.push_back({name, name + ":7", 1, "domain-" + std::to_string(d)});
    }
  }
  return nodes;
}

class config_source_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_source_test);
  CPPUNIT_TEST(one_node_of_each_domain_reads_the_service);
  CPPUNIT_TEST(others_ask_the_reader_of_their_domain);
  CPPUNIT_TEST(old_proof_or_failed_peer_leads_to_a_service_read);
  CPPUNIT_TEST(node_that_cannot_reach_the_service_asks_a_peer);
  CPPUNIT_TEST(node_without_peers_reads_the_service);
  CPPUNIT_TEST_SUITE_END();

  base::random_source m_random{1};

  // Guards against a load on the service that grows with the number of nodes.
  void one_node_of_each_domain_reads_the_service() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, config_readers(make_nodes(4, 18)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config_readers(make_nodes(1, 5)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, config_readers(make_nodes(1, 1)).size());
  }

  void others_ask_the_reader_of_their_domain() {
    const std::vector<peer_info> nodes = make_nodes(3, 4);
    const std::vector<std::string> readers = config_readers(nodes);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      std::vector<peer_info> live = nodes;
      live.erase(live.begin() + static_cast<std::ptrdiff_t>(i));
      const config_source source =
          choose_source(nodes[i], live, {.proof_age = milliseconds(700)}, m_random);
      const bool is_reader =
          std::find(readers.begin(), readers.end(), nodes[i].vm) != readers.end();
      CPPUNIT_ASSERT_EQUAL(is_reader, std::holds_alternative<service_source>(source));
      if (const auto* peer = std::get_if<peer_source>(&source)) {
        CPPUNIT_ASSERT_EQUAL(nodes[i].vm.substr(0, 4), peer->address.substr(0, 4));
      }
    }
  }

  // Guards against nodes that keep reading from a reader without a connection to the service.
  void old_proof_or_failed_peer_leads_to_a_service_read() {
    const std::vector<peer_info> nodes = make_nodes(2, 4);
    const std::vector<peer_info> live(nodes.begin() + 1, nodes.end());
    for (const source_status& status :
         {source_status{}, source_status{.proof_age = milliseconds(2500)},
          source_status{.proof_age = milliseconds(10), .did_peer_fail = true}}) {
      CPPUNIT_ASSERT(
          std::holds_alternative<service_source>(choose_source(nodes[0], live, status, m_random)));
    }
  }

  // Guards against refusals at a node when only its own connection to the service fails.
  void node_that_cannot_reach_the_service_asks_a_peer() {
    const std::vector<peer_info> nodes = make_nodes(2, 2);
    const std::vector<peer_info> live(nodes.begin() + 1, nodes.end());
    const source_status service_failed{.proof_age = milliseconds(2500), .did_service_fail = true};
    CPPUNIT_ASSERT(std::holds_alternative<peer_source>(
        choose_source(nodes[0], live, service_failed, m_random)));
  }

  void node_without_peers_reads_the_service() {
    const source_status service_failed{.did_service_fail = true};
    CPPUNIT_ASSERT(std::holds_alternative<service_source>(
        choose_source(make_nodes(1, 1)[0], {}, service_failed, m_random)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_source_test);

}  // namespace
}  // namespace fuchsiaspring::fleet
