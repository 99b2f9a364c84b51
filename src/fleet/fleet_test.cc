#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/fleet/config_lease.h"
#include "fuchsiaspring/fleet/peer_directory.h"

namespace fuchsiaspring::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};

const peer_info self{"vm-1", "10.0.0.1:7", 1, "a"};

bool contains(const std::vector<std::string>& texts, const std::string& text) {
  return std::find(texts.begin(), texts.end(), text) != texts.end();
}

class fleet_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_test);
  CPPUNIT_TEST(lease_is_invalid_before_the_first_proof);
  CPPUNIT_TEST(lease_ends_at_its_bound_after_the_read_was_sent);
  CPPUNIT_TEST(late_proof_does_not_shorten_the_lease);
  CPPUNIT_TEST(seeds_are_contacted_until_their_node_sends_a_heartbeat);
  CPPUNIT_TEST(silent_peer_is_not_live_but_still_counted);
  CPPUNIT_TEST(new_and_restarted_peers_are_reported_once);
  CPPUNIT_TEST(listed_node_is_contacted_for_a_limited_time);
  CPPUNIT_TEST(large_fleet_reports_to_other_domains_through_relays);
  CPPUNIT_TEST(relay_is_a_live_node_and_changes);
  CPPUNIT_TEST(nodes_of_a_large_fleet_list_known_nodes_to_their_domain);
  CPPUNIT_TEST(new_nodes_are_listed_in_a_fleet_that_looks_small);
  CPPUNIT_TEST(small_fleet_needs_no_relays);
  CPPUNIT_TEST(listed_node_of_another_domain_is_not_contacted_in_a_large_fleet);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a process that accepts keys before its first read of the configuration.
  void lease_is_invalid_before_the_first_proof() {
    const config_lease lease(seconds(5));
    CPPUNIT_ASSERT(!lease.is_valid(start));
    CPPUNIT_ASSERT(!lease.has_proof());
  }

  // Guards against a VM that was suspended or partitioned and continues to accept revoked keys.
  void lease_ends_at_its_bound_after_the_read_was_sent() {
    config_lease lease(seconds(5));
    lease.record_proof(start);
    CPPUNIT_ASSERT(lease.is_valid(start + milliseconds(4999)));
    CPPUNIT_ASSERT(!lease.is_valid(start + seconds(5)));
  }

  void late_proof_does_not_shorten_the_lease() {
    config_lease lease(seconds(5));
    lease.record_proof(start + seconds(2));
    lease.record_proof(start);
    CPPUNIT_ASSERT(lease.is_valid(start + seconds(6)));
  }

  void seeds_are_contacted_until_their_node_sends_a_heartbeat() {
    peer_directory peers(self, {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"});
    const auto first = peers.discovery_addresses(start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
    peers.on_heartbeat({"vm-2", "10.0.0.2:7", 1}, start);
    const auto second = peers.discovery_addresses(start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
    CPPUNIT_ASSERT(contains(second, "10.0.0.3:7"));
    CPPUNIT_ASSERT(contains(peers.group_addresses(start), "10.0.0.2:7"));
  }

  // Guards against two sides of a network partition that each use the whole of a limit.
  void silent_peer_is_not_live_but_still_counted() {
    peer_directory peers(self, {});
    peers.on_heartbeat({"vm-2", "10.0.0.2:7", 1}, start);
    const base::time_point later = start + seconds(5);
    CPPUNIT_ASSERT(peers.live(later).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.known_nodes(later).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.expire(later).size());
    CPPUNIT_ASSERT(peers.expire(later).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.known_nodes(start + seconds(60)).size());
  }

  void new_and_restarted_peers_are_reported_once() {
    peer_directory peers(self, {});
    CPPUNIT_ASSERT(peers.on_heartbeat({"vm-2", "10.0.0.2:7", 1}, start));
    CPPUNIT_ASSERT(!peers.on_heartbeat({"vm-2", "10.0.0.2:7", 1}, start));
    CPPUNIT_ASSERT(peers.on_heartbeat({"vm-2", "10.0.0.2:7", 2}, start));
    CPPUNIT_ASSERT(!peers.on_heartbeat({"vm-1", "10.0.0.1:7", 9}, start));
  }

  void listed_node_is_contacted_for_a_limited_time() {
    peer_directory peers(self, {});
    peers.on_peer_listed({.vm = "vm-3", .address = "10.0.0.3:7"}, start);
    CPPUNIT_ASSERT(contains(peers.discovery_addresses(start), "10.0.0.3:7"));
    CPPUNIT_ASSERT(peers.live(start).empty());
    CPPUNIT_ASSERT(!contains(peers.discovery_addresses(start + seconds(10)), "10.0.0.3:7"));
  }

  // The directory of one of `nodes` nodes, a quarter of which are in its failure domain.
  static peer_directory make_fleet(int nodes) {
    peer_directory peers(self, {});
    for (int i = 2; i <= nodes; ++i) {
      const std::string number = std::to_string(i);
      peers.on_heartbeat({"vm-" + number, "10.0.0." + number + ":7", 1, i % 4 == 0 ? "a" : "b"},
                         start);
    }
    return peers;
  }

  // Guards against messages between domains that grow with the square of the fleet: a node reports
  // to its own domain and to one node of each other domain.
  void large_fleet_reports_to_other_domains_through_relays() {
    const peer_directory peers = make_fleet(120);
    base::random_source random(1);
    CPPUNIT_ASSERT(peers.sharing_level(start) == work_sharing::relayed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, peers.group_addresses(start).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.relay_addresses(start, random).size());
    CPPUNIT_ASSERT(peers.discovery_addresses(start).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{120}, peers.known_nodes(start).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{89}, peers.live(start + seconds(5)).size());
  }

  // Guards against a failed relay that keeps the reports of a node from a whole domain.
  void relay_is_a_live_node_and_changes() {
    peer_directory peers = make_fleet(40);
    base::random_source random(1);
    std::set<std::string> relays;
    for (int i = 0; i < 100; ++i) {
      relays.merge(std::set<std::string>{peers.relay_addresses(start, random).front()});
    }
    CPPUNIT_ASSERT(relays.size() > 15);
    const base::time_point later = start + seconds(9);
    peers.on_heartbeat({"vm-3", "10.0.0.3:7", 1, "b"}, later);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3:7"), peers.relay_addresses(later, random).front());
  }

  // Guards against nodes of one domain that never learn of each other once the seeds are live: each
  // part then reads the configuration service and places requests by itself.
  void nodes_of_a_large_fleet_list_known_nodes_to_their_domain() {
    const peer_directory peers = make_fleet(40);
    base::random_source random(1);
    const std::vector<std::string> addresses = peers.gossip_addresses(start, random);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses.size());
    CPPUNIT_ASSERT(contains(peers.group_addresses(start), addresses.front()));
  }

  // Guards against nodes that know a few nodes of a large fleet, take it for a small one and stop
  // to list them.
  void new_nodes_are_listed_in_a_fleet_that_looks_small() {
    peer_directory peers = make_fleet(12);
    base::random_source random(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.gossip_addresses(start, random).size());
    const base::time_point later = start + seconds(6);
    peers.on_heartbeat({"vm-2", "10.0.0.2:7", 1, "b"}, later);
    CPPUNIT_ASSERT(peers.gossip_addresses(later, random).empty());
  }

  void small_fleet_needs_no_relays() {
    const peer_directory peers = make_fleet(12);
    base::random_source random(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, peers.group_addresses(start).size());
    CPPUNIT_ASSERT(peers.relay_addresses(start, random).empty());
  }

  // Guards against a discovery heartbeat from every node to every node of the other domains.
  void listed_node_of_another_domain_is_not_contacted_in_a_large_fleet() {
    peer_directory peers = make_fleet(40);
    peers.on_peer_listed({.vm = "vm-90", .address = "10.0.0.90:7", .failure_domain = "b"}, start);
    peers.on_peer_listed({.vm = "vm-91", .address = "10.0.0.91:7", .failure_domain = "a"}, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.discovery_addresses(start).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{42}, peers.known_nodes(start).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

}  // namespace
}  // namespace fuchsiaspring::fleet
