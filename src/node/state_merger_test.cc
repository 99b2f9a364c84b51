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
  CPPUNIT_TEST(missing_replica_is_removed_at_once_after_late_reads);
  CPPUNIT_TEST(old_proofs_do_not_hide_an_outage);
  CPPUNIT_TEST(replica_missing_after_an_outage_is_kept_until_it_can_be_listed_again);
  CPPUNIT_TEST(older_configuration_never_replaces_a_newer_one);
  CPPUNIT_TEST_SUITE_END();

  // The number of replicas after a read at `now` that lists only "a", and whose content was the
  // newest until then.
  static std::size_t replicas_after(state_merger& merger, base::time_point now,
                                    std::optional<base::time_point> failed_at = {}) {
    return merger.merge(make_state(1, {"a"}), {now, failed_at}, now).replicas.size();
  }

  static state_merger merger_with_two_replicas() {
    state_merger merger;
    merger.merge(make_state(1, {"a", "b"}), {start, {}}, start);
    return merger;
  }

  // Guards against requests that are sent to a replica that has left.
  void missing_replica_is_removed_at_once_while_reads_succeed() {
    state_merger merger = merger_with_two_replicas();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_after(merger, start + interval));
  }

  // Guards against late reads that count as an outage: the node or its peers were slow, or one call
  // failed.
  void missing_replica_is_removed_at_once_after_late_reads() {
    for (const base::duration late :
         {milliseconds(1650), milliseconds(2000), milliseconds(3000), milliseconds(10'000)}) {
      state_merger merger = merger_with_two_replicas();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_after(merger, start + late));
    }
    state_merger merger = merger_with_two_replicas();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         replicas_after(merger, start + seconds(2), start + milliseconds(900)));
    // A failure before the last proof says nothing about the time behind it.
    merger = merger_with_two_replicas();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         replicas_after(merger, start + seconds(3), start - milliseconds(1)));
  }

  // Guards against reads of peers whose proofs are as old as those of the last one.
  void old_proofs_do_not_hide_an_outage() {
    state_merger merger = merger_with_two_replicas();
    const base::time_point failed_at = start + milliseconds(1700);
    merger.merge(make_state(1, {"a", "b"}), {start + milliseconds(100), failed_at},
                 start + milliseconds(1800));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         replicas_after(merger, start + milliseconds(2500), failed_at));
  }

  // Guards against an empty list of replicas right after the service returns, and against replicas
  // that are kept forever although they left during the outage.
  void replica_missing_after_an_outage_is_kept_until_it_can_be_listed_again() {
    state_merger merger = merger_with_two_replicas();
    const base::time_point service_returned_at = start + seconds(6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         replicas_after(merger, service_returned_at, start + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replicas_after(merger, service_returned_at + interval));
    base::time_point now = service_returned_at + interval;
    while (now < service_returned_at + milliseconds(2300)) {
      now += interval;
      replicas_after(merger, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_after(merger, now));
  }

  // Guards against a configuration that is replaced by an older or unreadable one.
  void older_configuration_never_replaces_a_newer_one() {
    state_merger merger;
    const auto merge = [&](published_state read, base::duration after) {
      return merger.merge(std::move(read), {start + after, {}}, start + after).config->version;
    };
    merge(make_state(7, {}), {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, merge(make_state(5, {}), interval));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, merge(published_state(), 2 * interval));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, merge(make_state(9, {}), 3 * interval));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_merger_test);

}  // namespace
}  // namespace fuchsiaspring::node
