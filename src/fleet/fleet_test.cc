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

std::vector<std::string> discovery_addresses_of(const peer_directory& peers, base::time_point now) {
  base::random_source random(1);
  return peers.discovery_addresses(now, random);
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
  CPPUNIT_TEST(lost_and_stopped_peers_are_contacted_for_minutes);
  CPPUNIT_TEST(large_fleet_sends_few_heartbeats_to_lost_peers);
  CPPUNIT_TEST(large_fleet_shares_work_inside_a_domain_only);
  CPPUNIT_TEST(nodes_of_a_medium_fleet_report_their_load_to_all);
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
    const auto first = discovery_addresses_of(peers, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
    peers.on_heartbeat({"vm-2", "10.0.0.2:7", 1}, start);
    const auto second = discovery_addresses_of(peers, start);
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
    peers.on_peer_listed("vm-3", "10.0.0.3:7", start);
    CPPUNIT_ASSERT(contains(discovery_addresses_of(peers, start), "10.0.0.3:7"));
    CPPUNIT_ASSERT(peers.live(start).empty());
    CPPUNIT_ASSERT(!contains(discovery_addresses_of(peers, start + seconds(10)), "10.0.0.3:7"));
  }

  // Guards against a node that starts while its seeds are down, and stays alone because its former
  // peers have forgotten it.
  void lost_and_stopped_peers_are_contacted_for_minutes() {
    peer_directory peers(self, {});
    peers.on_heartbeat({"vm-2", "10.0.0.2:7", 1}, start);
    peers.on_heartbeat({"vm-3", "10.0.0.3:7", 1}, start);
    peers.on_leaving("vm-3", start);
    base::random_source random(1);
    for (const auto later : {seconds(10), seconds(60), seconds(240)}) {
      const base::time_point now = start + later;
      peers.expire(now);
      std::set<std::string> contacted;
      for (int i = 0; i < 64; ++i) {
        const auto addresses = peers.discovery_addresses(now, random);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, addresses.size());
        contacted.insert(addresses.front());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, contacted.size());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.known_count(start + seconds(60)));
    const base::time_point end = start + seconds(600);
    peers.expire(end);
    CPPUNIT_ASSERT(discovery_addresses_of(peers, end).empty());
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

  // Guards against a fleet that sends more to lost peers the larger it is.
  void large_fleet_sends_few_heartbeats_to_lost_peers() {
    peer_directory peers = make_fleet(320);
    peers.on_leaving("vm-2", start);
    base::random_source random(1);
    std::size_t sent = 0;
    for (int i = 0; i < 2000; ++i) {
      const auto addresses = peers.discovery_addresses(start, random);
      sent += contains(addresses, "10.0.0.2:7") ? 1 : 0;
    }
    // 100 expected; five standard deviations are 49.
    CPPUNIT_ASSERT(sent > 51 && sent < 149);
  }

  // Guards against messages per node that grow with the size of the fleet.
  void large_fleet_shares_work_inside_a_domain_only() {
    const peer_directory peers = make_fleet(120);
    CPPUNIT_ASSERT(peers.sharing_level(start) == work_sharing::domain_only);
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, peers.group_addresses(start).size());
    CPPUNIT_ASSERT(peers.other_domain_addresses(start).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, discovery_addresses_of(peers, start).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{120}, peers.known_nodes(start).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{89}, peers.live(start + seconds(5)).size());
  }

  // Guards against nodes that overload replicas of other failure domains because the load of these
  // domains is unknown.
  void nodes_of_a_medium_fleet_report_their_load_to_all() {
    const peer_directory peers = make_fleet(40);
    CPPUNIT_ASSERT(peers.sharing_level(start) == work_sharing::load_outside_domain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, peers.group_addresses(start).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{29}, peers.other_domain_addresses(start).size());
    CPPUNIT_ASSERT(discovery_addresses_of(peers, start).empty());
    CPPUNIT_ASSERT(peers.live(start + seconds(5)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

}  // namespace
}  // namespace fuchsiaspring::fleet
