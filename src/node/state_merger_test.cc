#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/node/state_merger.h"

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr base::duration interval = milliseconds(700);

published_state make_state(std::uint64_t version, const std::vector<std::string>& replicas) {
  published_state state;
  state.config.emplace();
  state.config->version = version;
  for (const std::string& id : replicas) {
    state.replicas.push_back({.id = id, .service = "s"});
  }
  return state;
}

class state_merger_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(state_merger_test);
  CPPUNIT_TEST(missing_replica_is_removed_at_once_while_reads_succeed);
  CPPUNIT_TEST(replica_missing_after_an_outage_is_kept_until_it_can_be_listed_again);
  CPPUNIT_TEST(older_configuration_never_replaces_a_newer_one);
  CPPUNIT_TEST_SUITE_END();

  // Guards against requests that are sent to a replica that has left.
  void missing_replica_is_removed_at_once_while_reads_succeed() {
    state_merger merger(interval);
    merger.merge(make_state(1, {"a", "b"}), start);
    const published_state& next = merger.merge(make_state(1, {"a"}), start + interval);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.replicas.size());
  }

  // Guards against an empty list of replicas right after the service returns, and against replicas
  // that are kept forever although they left during the outage.
  void replica_missing_after_an_outage_is_kept_until_it_can_be_listed_again() {
    state_merger merger(interval);
    merger.merge(make_state(1, {"a", "b"}), start);
    const base::time_point service_returned_at = start + seconds(6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         merger.merge(make_state(1, {"a"}), service_returned_at).replicas.size());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        merger.merge(make_state(1, {"a"}), service_returned_at + interval).replicas.size());
    base::time_point now = service_returned_at + interval;
    while (now < service_returned_at + milliseconds(2300)) {
      now += interval;
      merger.merge(make_state(1, {"a"}), now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, merger.merge(make_state(1, {"a"}), now).replicas.size());
  }

  // Guards against a configuration that is replaced by an older or unreadable one.
  void older_configuration_never_replaces_a_newer_one() {
    state_merger merger(interval);
    merger.merge(make_state(7, {}), start);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         merger.merge(make_state(5, {}), start + interval).config->version);
    published_state unreadable;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         merger.merge(unreadable, start + 2 * interval).config->version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                         merger.merge(make_state(9, {}), start + 3 * interval).config->version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_merger_test);

}  // namespace
}  // namespace fuchsiaspring::node
