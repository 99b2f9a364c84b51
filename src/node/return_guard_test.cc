// Fault cases of a store that comes back older, played through state_merger.
#include "fuchsiaspring/node/return_guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fuchsiaspring/node/state_merger.h"

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr base::duration interval = milliseconds(700);

placement::replica ready(const std::string& id, std::uint64_t started_at_ms = 1) {
  return {.id = id, .service = "s", .started_at_ms = started_at_ms};
}

placement::replica draining(const std::string& id) {
  placement::replica entry = ready(id);
  entry.is_draining = true;
  return entry;
}

// A node that reads a store.
struct reading_node {
  state_merger merger;
  base::time_point now = start;

  // Ids of the replicas in use after a read: "a b(draining) !domain".
  std::string read(const store_version& version, const std::vector<placement::replica>& replicas,
                   const std::set<std::string>& evacuated = {}, base::duration age = {}) {
    published_state state{.version = version,
                          .config = routes::configuration(),
                          .replicas = replicas,
                          .evacuated_domains = evacuated};
    const published_state& merged = merger.merge(std::move(state), {now - age, {}}, now);
    std::set<std::string> words;
    for (const placement::replica& each : merged.replicas) {
      words.insert(each.id + (each.is_draining ? "(draining)" : ""));
    }
    std::string text;
    for (const std::string& each : words) {
      text += each + " ";
    }
    for (const std::string& each : merged.evacuated_domains) {
      text += "!" + each + " ";
    }
    now += interval;
    return text;
  }
};

class return_guard_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(return_guard_test);
  CPPUNIT_TEST(departures_are_kept_through_two_returns);
  CPPUNIT_TEST(replaced_incarnation_does_not_come_back);
  CPPUNIT_TEST(next_incarnation_is_used);
  CPPUNIT_TEST(missing_replica_is_kept_until_it_can_have_written);
  CPPUNIT_TEST(removal_in_the_new_era_is_followed_at_once);
  CPPUNIT_TEST(changes_within_the_new_era_are_followed);
  CPPUNIT_TEST(entries_of_one_era_are_followed);
  CPPUNIT_TEST(running_replica_finds_its_way_back);
  CPPUNIT_TEST(missing_evacuation_is_kept_for_a_bounded_time);
  CPPUNIT_TEST(evacuation_ends_once_the_new_era_has_listed_it);
  CPPUNIT_TEST(return_during_a_cut_of_the_node);
  CPPUNIT_TEST(node_that_starts_between_takes_the_first_state);
  CPPUNIT_TEST(late_answer_of_the_old_era_changes_nothing);
  CPPUNIT_TEST(memory_of_departures_is_bounded);
  CPPUNIT_TEST_SUITE_END();

  static void expect(const std::string& expected, const std::string& actual) {
    CPPUNIT_ASSERT_EQUAL(expected, actual);
  }

  // Guards against requests to a replica that has left or drains, because a copy lists it as ready.
  void departures_are_kept_through_two_returns() {
    reading_node node;
    node.read({1, 5}, {ready("a"), ready("b"), ready("c")});
    expect("a b(draining) ", node.read({1, 7}, {ready("a"), draining("b")}));
    for (const std::uint64_t era : {2, 3}) {
      for (std::uint64_t revision = 5; revision < 45; ++revision) {
        expect("a b(draining) ", node.read({era, revision}, {ready("a"), ready("b"), ready("c")}));
      }
    }
    CPPUNIT_ASSERT_EQUAL(2U, node.merger.returns());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node.merger.guard().corrections().departed_replicas);
  }

  // Guards against requests to an earlier start of a replica that the copy lists.
  void replaced_incarnation_does_not_come_back() {
    reading_node node;
    node.read({1, 5}, {ready("a", 10), ready("b")});
    node.read({1, 6}, {ready("a", 20), ready("b")});
    expect("a b ", node.read({2, 5}, {ready("a", 10), ready("b")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.merger.guard().corrections().kept_replicas);
    node.now += seconds(3);
    expect("b ", node.read({2, 6}, {ready("a", 10), ready("b")}));
    expect("a b ", node.read({2, 7}, {ready("a", 20), ready("b")}));
  }

  // Guards against a replica that is blocked although it has started again.
  void next_incarnation_is_used() {
    reading_node node;
    node.read({1, 5}, {ready("a"), draining("b"), ready("c")});
    node.read({1, 6}, {draining("b")});
    expect("b(draining) ", node.read({2, 5}, {ready("a"), ready("b"), ready("c")}));
    expect("a b ", node.read({2, 6}, {ready("a", 2), ready("b", 2), ready("c")}));
  }

  // Guards against refusals because the copy lacks replicas that have started since, and against
  // those that are kept for longer than after an outage.
  void missing_replica_is_kept_until_it_can_have_written() {
    reading_node node;
    node.read({1, 5}, {ready("a"), ready("b")});
    const base::time_point returned = node.now;
    expect("a b ", node.read({2, 4}, {ready("a")}));
    node.now = returned + milliseconds(2200);
    expect("a b ", node.read({2, 5}, {ready("a")}));
    node.now = returned + milliseconds(2301);
    expect("a ", node.read({2, 6}, {ready("a")}));
    // It writes late.
    expect("a b ", node.read({2, 7}, {ready("a"), ready("b")}));
  }

  // Guards against requests to a replica that leaves right after the return.
  void removal_in_the_new_era_is_followed_at_once() {
    reading_node node;
    node.read({1, 5}, {ready("a"), ready("b")});
    node.read({2, 4}, {ready("a"), ready("b")});
    expect("a ", node.read({2, 5}, {ready("a")}));
  }

  // Guards against a replica that is blocked although the new era shows a change of its state.
  void changes_within_the_new_era_are_followed() {
    reading_node node;
    node.read({1, 5}, {ready("a"), draining("b")});
    expect("a b(draining) ", node.read({2, 4}, {ready("a"), ready("b")}));
    expect("a b(draining) ", node.read({2, 5}, {ready("a"), draining("b")}));
    expect("a b ", node.read({2, 6}, {ready("a"), ready("b")}));
  }

  // Guards against a memory of departures that overrules a store which has lost nothing.
  void entries_of_one_era_are_followed() {
    reading_node node;
    node.read({1, 5}, {ready("a"), draining("b")});
    expect("b ", node.read({1, 6}, {ready("b")}));
    expect("a b ", node.read({1, 7}, {ready("a"), ready("b")}));
    expect("a b ", node.read({2, 6}, {ready("a"), ready("b")}));
  }

  // Guards against a replica that is never used again because its entry had expired for a moment
  // before the return.
  void running_replica_finds_its_way_back() {
    reading_node node;
    node.read({1, 5}, {ready("a"), ready("b")});
    node.read({1, 6}, {ready("a")});
    const base::time_point returned = node.now;
    while (node.now <= returned + return_guard::expiry_time) {
      expect("a ", node.read({2, 5}, {ready("a"), ready("b")}));
    }
    expect("a b ", node.read({2, 5}, {ready("a"), ready("b")}));
  }

  // Guards against requests to an evacuated domain whose key the copy lacks, and against a domain
  // that stays evacuated although nobody wants it.
  void missing_evacuation_is_kept_for_a_bounded_time() {
    reading_node node;
    node.read({1, 5}, {}, {"z"});
    const base::time_point returned = node.now;
    expect("!z ", node.read({2, 4}, {}));
    // The second return may have lost the operator's next write.
    node.now = returned + seconds(9);
    expect("!z ", node.read({3, 4}, {}));
    node.now = returned + seconds(18);
    expect("!z ", node.read({3, 5}, {}));
    node.now = returned + milliseconds(19'001);
    expect("", node.read({3, 6}, {}));
  }

  // Guards against an evacuation that the operator cannot end.
  void evacuation_ends_once_the_new_era_has_listed_it() {
    reading_node node;
    node.read({1, 5}, {}, {"y", "z"});
    expect("!y !z ", node.read({2, 4}, {}, {"y"}));
    expect("!z ", node.read({2, 5}, {}));
    expect("!z ", node.read({2, 6}, {}, {"z"}));
    expect("", node.read({2, 7}, {}));
  }

  // Guards against a node that takes what it missed for a part of the copy.
  void return_during_a_cut_of_the_node() {
    reading_node node;
    node.read({1, 5}, {ready("a"), draining("b"), ready("c")}, {"z"});
    node.now += seconds(8);
    expect("a b(draining) c !z ", node.read({3, 2}, {ready("a"), ready("b")}));
    node.now += seconds(3);
    expect("a b(draining) !z ", node.read({3, 3}, {ready("a"), ready("b")}));
  }

  // A node without memory has nothing to hold against the copy, and follows what is written again.
  void node_that_starts_between_takes_the_first_state() {
    reading_node node;
    expect("a ", node.read({2, 4}, {ready("a")}));
    expect("a(draining) b !z ", node.read({2, 5}, {draining("a"), ready("b")}, {"z"}));
    expect("b ", node.read({2, 6}, {ready("b")}));
    CPPUNIT_ASSERT_EQUAL(0U, node.merger.returns());
  }

  // Guards against a peer with the old era that overrules the new one, by a late answer too.
  void late_answer_of_the_old_era_changes_nothing() {
    reading_node node;
    node.read({1, 9}, {ready("a"), ready("b")});
    node.read({2, 4}, {ready("a"), ready("b")});
    node.read({2, 5}, {ready("a")});
    expect("a ", node.read({1, 9}, {ready("a"), ready("b")}, {}, milliseconds(900)));
    expect("a ", node.read({1, 10}, {ready("b")}, {"z"}, seconds(3)));
    CPPUNIT_ASSERT_EQUAL(1U, node.merger.returns());
  }

  // Guards against memory that grows with every replica that ever was.
  void memory_of_departures_is_bounded() {
    reading_node node;
    for (std::uint64_t round = 0; round < 6; ++round) {
      std::vector<placement::replica> replicas;
      for (int i = 0; i < 1000; ++i) {
        replicas.push_back(ready(std::to_string(round) + "-" + std::to_string(i)));
      }
      node.read({1, round}, replicas);
    }
    node.read({1, 7}, {});
    CPPUNIT_ASSERT_EQUAL(return_guard::max_departures, node.merger.guard().remembered_departures());
    node.now += return_guard::departure_memory;
    node.read({1, 8}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, node.merger.guard().remembered_departures());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(return_guard_test);

}  // namespace
}  // namespace fuchsiaspring::node
