// What a node learns from another one that has read the service before it came back older.
#include "fuchsiaspring/node/held_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/node/state_merger.h"

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr base::duration interval = milliseconds(700);

published_state make_state(const store_version& version, std::uint64_t config_version,
                           const std::vector<placement::replica>& replicas = {},
                           const std::set<std::string>& evacuated = {}) {
  published_state state{
      .version = version, .config = {}, .replicas = replicas, .evacuated_domains = evacuated};
  state.config.emplace().version = config_version;
  return state;
}

placement::replica ready(const std::string& id) {
  return {.id = id, .service = "s", .started_at_ms = 1};
}

class held_state_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(held_state_test);
  CPPUNIT_TEST(started_node_learns_what_the_copy_lacks);
  CPPUNIT_TEST(told_state_from_before_the_return_is_learned);
  CPPUNIT_TEST(learned_state_is_passed_on);
  CPPUNIT_TEST(version_that_the_service_never_had_is_not_learned);
  CPPUNIT_TEST(configuration_that_is_not_listed_again_is_forgotten);
  CPPUNIT_TEST(replica_that_came_back_before_the_question_is_used);
  CPPUNIT_TEST_SUITE_END();

  static constexpr store_version before_return{1, 100};
  static constexpr store_version after_return{2, 90};

  // Has read version 5, the departure of "left" and the evacuation of "z". `returned`: and the
  // copy.
  static state_merger running_node(bool has_read_copy) {
    state_merger merger;
    merger.merge(make_state({1, 90}, 3, {ready("left"), ready("kept")}), {start, {}}, start);
    const base::time_point now = start + interval;
    merger.merge(make_state(before_return, 5, {ready("kept")}, {"z"}), {now, {}}, now);
    if (has_read_copy) {
      read_copy(merger, now + interval);
    }
    return merger;
  }

  static const published_state& read_copy(state_merger& merger, base::time_point now) {
    return merger.merge(make_state(after_return, 3, {ready("left"), ready("kept")}), {now, {}},
                        now);
  }

  static std::string text_of(const published_state& state) {
    std::string text = std::to_string(state.config->version);
    for (const placement::replica& each : state.replicas) {
      text += " " + each.id;
    }
    for (const std::string& each : state.evacuated_domains) {
      text += " !" + each;
    }
    return text;
  }

  static constexpr base::time_point now = start + 3 * interval;

  // Guards against revoked keys, replicas that left and evacuated domains that are used again by a
  // node that starts after the return.
  void started_node_learns_what_the_copy_lacks() {
    state_merger started;
    read_copy(started, now);
    CPPUNIT_ASSERT_EQUAL(std::string("5 kept !z"),
                         text_of(started.learn(running_node(true).held(3, now), now)));
    CPPUNIT_ASSERT_EQUAL(std::string("5 kept !z"), text_of(read_copy(started, now + interval)));
  }

  // Guards against a peer that has not read the copy yet and is asked by one that has.
  void told_state_from_before_the_return_is_learned() {
    state_merger started;
    read_copy(started, now);
    const published_state& learned = started.learn(running_node(false).held(3, now), now);
    CPPUNIT_ASSERT_EQUAL(std::string("5 kept !z"), text_of(learned));
  }

  // Guards against a fleet whose nodes are restarted one after the other before the operator has
  // written again.
  void learned_state_is_passed_on() {
    state_merger second;
    read_copy(second, now);
    second.learn(running_node(true).held(3, now), now);
    state_merger third;
    read_copy(third, now);
    CPPUNIT_ASSERT_EQUAL(std::string("5 kept !z"), text_of(third.learn(second.held(3, now), now)));
    CPPUNIT_ASSERT(!second.held(5, now).config);
  }

  // Guards against a faulty node whose version keeps a fleet from following the service: within an
  // era the service loses nothing.
  void version_that_the_service_never_had_is_not_learned() {
    state_merger node = running_node(false);
    held_state told = running_node(false).held(0, now);
    told.config->config.version = 1'000'000;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, node.learn(told, now).config->version);
    told.config->version.era.reset();
    state_merger without_era;
    without_era.merge(make_state({{}, 100}, 5), {now, {}}, now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, without_era.learn(told, now).config->version);
  }

  // Guards against a fleet that keeps a configuration for ever which the operator does not write
  // again.
  void configuration_that_is_not_listed_again_is_forgotten() {
    const state_merger node = running_node(true);
    const base::time_point end = now + state_merger::config_memory;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, node.told_config_version(now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, node.told_config_version(end));
    CPPUNIT_ASSERT(!node.held(3, end).config);
    state_merger started;
    read_copy(started, now);
    held_state told = node.held(3, now);
    told.config->age = state_merger::config_memory;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, started.learn(told, now).config->version);
  }

  // Guards against replicas that are not used because a peer has not read yet that they are back.
  void replica_that_came_back_before_the_question_is_used() {
    state_merger peer;
    peer.merge(make_state({1, 90}, 5, {ready("back")}), {start, {}}, start);
    peer.merge(make_state({1, 91}, 5), {start + interval, {}}, start + interval);
    state_merger started;
    started.merge(make_state({1, 92}, 5, {ready("back")}), {now, {}}, now);
    CPPUNIT_ASSERT_EQUAL(std::string("5 back"), text_of(started.learn(peer.held(5, now), now)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(held_state_test);

}  // namespace
}  // namespace fuchsiaspring::node
