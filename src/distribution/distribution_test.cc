#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/distribution/reader_plan.h"
#include "fuchsiaspring/distribution/revision_store.h"

namespace fuchsiaspring::distribution {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{};

schema::Bundle make_bundle(std::uint64_t revision, const std::string& content = "good") {
  schema::Bundle result;
  result.set_revision(revision);
  result.set_catalog(content);
  return result;
}

schema::VmList make_list(int size, int domains) {
  schema::VmList list;
  for (int i = 0; i < size; ++i) {
    auto& vm = *list.add_vms();
    vm.set_name("vm" + std::to_string(i));
    vm.set_failure_domain("d" + std::to_string(i % domains));
    vm.set_state(schema::VM_STATE_LIVE);
  }
  return list;
}

class distribution_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(distribution_test);
  CPPUNIT_TEST(revision_never_falls);
  CPPUNIT_TEST(invalid_revision_is_refused_as_a_whole_and_counted_once);
  CPPUNIT_TEST(agent_with_a_stale_service_alone_is_not_ready);
  CPPUNIT_TEST(readers_are_replaced_when_suspected);
  CPPUNIT_TEST(fallback_reads_stay_within_the_budget);
  CPPUNIT_TEST(two_peers_are_served_at_a_time);
  CPPUNIT_TEST(silent_and_busy_peers_are_skipped);
  CPPUNIT_TEST_SUITE_END();

  static revision_store make_store(int* verifications = nullptr) {
    return revision_store([verifications](const schema::Bundle& offered) -> base::result<void> {
      if (verifications != nullptr) {
        ++*verifications;
      }
      if (offered.catalog() == "good") {
        return base::success();
      }
      return base::error{base::error_code::invalid_argument, "bad catalog"};
    });
  }

  // Guards invariant I10: a late or stale source must not roll the configuration back.
  void revision_never_falls() {
    revision_store store = make_store();
    CPPUNIT_ASSERT(store.offer(make_bundle(5)) == offer_result::adopted);
    CPPUNIT_ASSERT(store.offer(make_bundle(4)) == offer_result::not_newer);
    CPPUNIT_ASSERT(store.offer(make_bundle(5)) == offer_result::not_newer);
    CPPUNIT_ASSERT(store.offer(make_bundle(7)) == offer_result::adopted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, store.revision());
  }

  void invalid_revision_is_refused_as_a_whole_and_counted_once() {
    int verifications = 0;
    revision_store store = make_store(&verifications);
    store.offer(make_bundle(5));
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(store.offer(make_bundle(6, "bad")) == offer_result::refused);
    }
    CPPUNIT_ASSERT_EQUAL(2, verifications);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store.refused_count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, store.refused_revision());
    CPPUNIT_ASSERT_EQUAL(std::string("good"), store.current()->catalog());
    // A damaged copy does not hide the good one.
    CPPUNIT_ASSERT(store.offer(make_bundle(6)) == offer_result::adopted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store.refused_revision());
  }

  // Guards invariant I10 after a restart with a stale service.
  void agent_with_a_stale_service_alone_is_not_ready() {
    const schema::VmList list = make_list(3, 3);
    revision_store store = make_store();
    CPPUNIT_ASSERT(store.not_ready_reason(&list, "vm0"));
    store.offer(make_bundle(5));
    CPPUNIT_ASSERT(store.not_ready_reason(&list, "vm0"));
    store.on_peer_revision("vm1", 0);
    store.on_peer_revision("stranger", 4);
    CPPUNIT_ASSERT(store.not_ready_reason(&list, "vm0"));
    store.on_peer_revision("vm1", 7);
    CPPUNIT_ASSERT_EQUAL(std::string("a peer has a newer configuration"),
                         store.not_ready_reason(&list, "vm0").value());
    store.offer(make_bundle(7));
    CPPUNIT_ASSERT(!store.not_ready_reason(&list, "vm0"));
    revision_store alone = make_store();
    alone.offer(make_bundle(5));
    const schema::VmList one = make_list(1, 1);
    CPPUNIT_ASSERT(alone.not_ready_reason(nullptr, "vm0"));
    CPPUNIT_ASSERT(!alone.not_ready_reason(&one, "vm0"));
  }

  void readers_are_replaced_when_suspected() {
    const schema::VmList list = make_list(410, 7);
    const auto readers = [&](const std::set<std::string>& suspected) {
      std::set<std::string> names;
      for (const auto& vm : list.vms()) {
        if (!suspected.contains(vm.name()) && is_reader(list, suspected, vm.name(), {})) {
          names.insert(vm.name());
        }
      }
      return names;
    };
    const auto first = readers({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, first.size());
    const auto second = readers({*first.begin()});
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, second.size());
    CPPUNIT_ASSERT(!second.contains(*first.begin()));
    CPPUNIT_ASSERT(is_reader(list, {}, "not listed", {}));
  }

  // Guards against overload of the configuration service when all agents of a fleet start or
  // lose their readers simultaneously.
  void fallback_reads_stay_within_the_budget() {
    base::random_source random(3);
    std::vector<fallback_schedule> agents;
    for (int i = 0; i < 410; ++i) {
      agents.emplace_back(reader_rules{}, start, random);
    }
    int max_reads = 0;
    int total_reads = 0;
    for (int second = 0; second < 60; ++second) {
      int reads = 0;
      for (auto& agent : agents) {
        reads += agent.take_due(start + seconds(second), agents.size(), random) ? 1 : 0;
      }
      max_reads = std::max(max_reads, reads);
      total_reads += reads;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(total_reads), total_reads <= 60 * 100);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(max_reads), max_reads <= 260);
  }

  void two_peers_are_served_at_a_time() {
    serving_slots slots;
    CPPUNIT_ASSERT(slots.take("a", 5, start));
    CPPUNIT_ASSERT(slots.take("b", 5, start));
    CPPUNIT_ASSERT(slots.take("a", 5, start));
    CPPUNIT_ASSERT(!slots.take("c", 5, start));
    CPPUNIT_ASSERT(slots.take("c", 6, start));
    slots.release("a", 5);
    CPPUNIT_ASSERT(slots.take("c", 5, start));
    CPPUNIT_ASSERT(!slots.take("d", 5, start + milliseconds(499)));
    CPPUNIT_ASSERT(slots.take("d", 5, start + milliseconds(500)));
  }

  // Guards against a fetch that waits forever for one holder that does not reply.
  void silent_and_busy_peers_are_skipped() {
    base::random_source random(3);
    fetch_schedule fetches;
    CPPUNIT_ASSERT(!fetches.next_peer(5, {}, start, random));
    const auto first = fetches.next_peer(5, {"a", "b"}, start, random);
    CPPUNIT_ASSERT(first.has_value());
    CPPUNIT_ASSERT(!fetches.next_peer(5, {"a", "b"}, start + milliseconds(299), random));
    const auto second = fetches.next_peer(5, {"a", "b"}, start + milliseconds(300), random);
    CPPUNIT_ASSERT(second.has_value() && second != first);
    fetches.on_busy(*second, start + milliseconds(301));
    CPPUNIT_ASSERT(!fetches.next_peer(5, {"a", "b"}, start + milliseconds(302), random));
    CPPUNIT_ASSERT(fetches.next_peer(5, {"a", "b"}, start + milliseconds(321), random) == second);
    fetches.on_arrival();
    CPPUNIT_ASSERT(fetches.next_peer(6, {"a"}, start + milliseconds(322), random).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(distribution_test);

}  // namespace
}  // namespace fuchsiaspring::distribution
