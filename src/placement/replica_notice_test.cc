#include "fuchsiaspring/placement/replica_notice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/placement/placer.h"

namespace fuchsiaspring::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr base::duration drain_bound = milliseconds(1700);
const replica_notice leaving{.is_leaving = true};

replica_notice hold_for(base::duration time) {
  return {.hold = time};
}

class notice_board_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(notice_board_test);
  CPPUNIT_TEST(repeated_leaving_notice_does_not_extend_the_drain_bound);
  CPPUNIT_TEST(shorter_hold_does_not_shorten_a_longer_one);
  CPPUNIT_TEST(hold_longer_than_the_bound_is_cut);
  CPPUNIT_TEST(notice_concerns_one_start_of_a_replica);
  CPPUNIT_TEST(hold_beyond_the_drain_bound_excludes_for_good);
  CPPUNIT_TEST(memory_is_bounded_and_keeps_the_newest_notices);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_board = notice_board();
    m_board.set_drain_bound(drain_bound);
  }

 private:
  // Guards against a replica that gets requests as long as its answers repeat that it leaves.
  void repeated_leaving_notice_does_not_extend_the_drain_bound() {
    CPPUNIT_ASSERT(m_board.record(m_first, leaving, start).has_begun_leaving);
    CPPUNIT_ASSERT(!m_board.record(m_first, leaving, start + seconds(1)).has_begun_leaving);
    CPPUNIT_ASSERT(m_board.effect(m_first, start + milliseconds(1699)) == notice_effect::leaving);
    CPPUNIT_ASSERT(m_board.effect(m_first, start + drain_bound) == notice_effect::left);
  }

  // Guards against requests to a held replica after an answer with a shorter hold, such as that to
  // a request that was in flight before.
  void shorter_hold_does_not_shorten_a_longer_one() {
    CPPUNIT_ASSERT(m_board.record(m_first, hold_for(seconds(3)), start).has_begun_hold);
    const notice_change shorter =
        m_board.record(m_first, hold_for(milliseconds(100)), start + seconds(1));
    CPPUNIT_ASSERT(!shorter.has_begun_hold);
    CPPUNIT_ASSERT(shorter.hold_left == seconds(2));
    m_board.record(m_first, hold_for(base::duration{}), start + seconds(1));
    m_board.record(m_first, {}, start + seconds(1));
    CPPUNIT_ASSERT(m_board.effect(m_first, start + milliseconds(2999)) == notice_effect::held);
    CPPUNIT_ASSERT(m_board.effect(m_first, start + seconds(3)) == notice_effect::none);
  }

  // Guards against a replica that stays unused for hours because of one wrong value.
  void hold_longer_than_the_bound_is_cut() {
    CPPUNIT_ASSERT(m_board.record(m_first, hold_for(std::chrono::hours(200)), start).is_hold_cut);
    CPPUNIT_ASSERT(m_board.effect(m_first, start + max_hold) == notice_effect::none);
  }

  // Guards against a started replica that gets no requests for what its predecessor has stated.
  void notice_concerns_one_start_of_a_replica() {
    m_board.record(m_first, {.is_leaving = true, .hold = seconds(1)}, start);
    for (const replica_start& other : {replica_start{"i-1", 2}, replica_start{"i-2", 1}}) {
      CPPUNIT_ASSERT(m_board.effect(other, start) == notice_effect::none);
      CPPUNIT_ASSERT(!m_board.is_leaving(other));
    }
    CPPUNIT_ASSERT(m_board.effect(m_first, start) == notice_effect::held);
  }

  // Guards against requests that wait for the end of a hold after which the replica has left.
  void hold_beyond_the_drain_bound_excludes_for_good() {
    m_board.record(m_first, {.is_leaving = true, .hold = seconds(2)}, start);
    CPPUNIT_ASSERT(m_board.effect(m_first, start) == notice_effect::left);
  }

  // Guards against memory that grows with each replica that ever left.
  void memory_is_bounded_and_keeps_the_newest_notices() {
    const replica_start held{"held", 1};
    m_board.record(held, hold_for(milliseconds(1)), start);
    for (std::size_t i = 0; i <= max_notices; ++i) {
      m_board.record({"i-1", i}, leaving, start + milliseconds(1 + i));
    }
    const base::time_point end = start + seconds(2);
    CPPUNIT_ASSERT_EQUAL(max_notices, m_board.size());
    CPPUNIT_ASSERT(!m_board.is_leaving({"i-1", 0}));
    CPPUNIT_ASSERT(m_board.effect({"i-1", 1}, end) != notice_effect::none);
    CPPUNIT_ASSERT(m_board.effect({"i-1", max_notices}, end) != notice_effect::none);
  }

  const replica_start m_first{"i-1", 1};
  notice_board m_board;
};

class placer_notice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(placer_notice_test);
  CPPUNIT_TEST(leaving_replica_gets_nothing_while_another_one_serves);
  CPPUNIT_TEST(leaving_replicas_serve_until_the_drain_bound_and_no_longer);
  CPPUNIT_TEST(held_replica_gets_nothing_until_its_hold_ends);
  CPPUNIT_TEST(notice_outlasts_the_entry_of_its_replica);
  CPPUNIT_TEST(restarted_replica_and_new_replica_at_the_address_get_requests);
  CPPUNIT_TEST(pause_ends_with_the_first_hold);
  CPPUNIT_TEST(hold_is_no_failure_of_the_replica);
  CPPUNIT_TEST(hold_is_no_success_of_the_replica);
  CPPUNIT_TEST_SUITE_END();

  static replica make_replica(const std::string& id) {
    return {.id = id,
            .service = "app",
            .address = "10.0.0." + id + ":80",
            .failure_domain = "a",
            .slots = 4,
            .started_at_ms = 1};
  }

  static void update(placer& target, const std::vector<replica>& replicas, base::time_point now) {
    const std::vector<service_profile> services{{.name = "app"}};
    target.update(services, replicas, {}, now);
  }

  static placer make_placer(const std::vector<replica>& replicas) {
    placer made({.vm = "vm-1", .failure_domain = "a"});
    made.set_drain_bound(drain_bound);
    update(made, replicas, start);
    return made;
  }

  // Ids of the replicas that requests are sent to.
  static std::set<std::string> used_replicas(placer& from, base::time_point now) {
    std::set<std::string> used;
    for (int i = 0; i < 8; ++i) {
      const decision decided = from.choose(m_request, now);
      const auto* chosen = std::get_if<choice>(&decided);
      if (chosen == nullptr) {
        continue;
      }
      used.insert(chosen->replica_id);
      from.on_dispatch(chosen->replica_id, m_request, *chosen, now);
      from.on_end(chosen->replica_id, *chosen, outcome::answered, true, now);
      now += milliseconds(1);
    }
    return used;
  }

  // Guards against requests to a replica that has stated that it leaves, although its entry still
  // says that it is ready.
  void leaving_replica_gets_nothing_while_another_one_serves() {
    placer p = make_placer({make_replica("1"), make_replica("2")});
    p.on_notice({"1", 1}, leaving, start);
    CPPUNIT_ASSERT(used_replicas(p, start) == std::set<std::string>{"2"});
    CPPUNIT_ASSERT(!p.is_eligible("1", m_request, start));
    // A request that was granted before the other replica was held is still sent.
    p.on_notice({"2", 1}, hold_for(seconds(1)), start);
    CPPUNIT_ASSERT(p.is_eligible("1", m_request, start));
    CPPUNIT_ASSERT(!p.find_pause(m_request, start));
    CPPUNIT_ASSERT(used_replicas(p, start) == std::set<std::string>{"1"});
  }

  // Guards against refusals while leaving replicas still serve, and against requests to them later
  // than the bound.
  void leaving_replicas_serve_until_the_drain_bound_and_no_longer() {
    placer p = make_placer({make_replica("1"), make_replica("2")});
    p.on_notice({"1", 1}, leaving, start);
    p.on_notice({"2", 1}, leaving, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used_replicas(p, start).size());
    CPPUNIT_ASSERT(p.is_eligible("1", m_request, start + milliseconds(1699)));
    CPPUNIT_ASSERT(!p.is_eligible("1", m_request, start + drain_bound));
    CPPUNIT_ASSERT(used_replicas(p, start + drain_bound).empty());
    CPPUNIT_ASSERT(p.find_pause(m_request, start + drain_bound) == service_pause{});
  }

  void held_replica_gets_nothing_until_its_hold_ends() {
    placer p = make_placer({make_replica("1")});
    p.on_notice({"1", 1}, hold_for(seconds(1)), start);
    CPPUNIT_ASSERT(used_replicas(p, start + milliseconds(900)).empty());
    CPPUNIT_ASSERT(!p.is_eligible("1", m_request, start + milliseconds(999)));
    CPPUNIT_ASSERT(p.is_eligible("1", m_request, start + seconds(1)));
    CPPUNIT_ASSERT(used_replicas(p, start + seconds(1)) == std::set<std::string>{"1"});
  }

  // Guards against requests to a leaving replica whose entry expired in an outage of the store and
  // came back, as old as it was.
  void notice_outlasts_the_entry_of_its_replica() {
    placer p = make_placer({make_replica("1")});
    p.on_notice({"1", 1}, leaving, start);
    update(p, {}, start);
    update(p, {}, start + seconds(60));
    update(p, {make_replica("1")}, start + seconds(61));
    CPPUNIT_ASSERT(used_replicas(p, start + seconds(61)).empty());
    CPPUNIT_ASSERT(p.status(start + seconds(61))[0].is_leaving);
  }

  // Guards against new replicas that get no requests for what their predecessors have stated.
  void restarted_replica_and_new_replica_at_the_address_get_requests() {
    placer p = make_placer({make_replica("1")});
    p.on_notice({"1", 1}, {.is_leaving = true, .hold = seconds(9)}, start);
    replica restarted = make_replica("1");
    restarted.started_at_ms = 2;
    update(p, {restarted}, start);
    CPPUNIT_ASSERT(used_replicas(p, start + seconds(5)) == std::set<std::string>{"1"});
    // A late answer of the former process does not concern the new one.
    p.on_notice({"1", 1}, hold_for(seconds(9)), start + seconds(5));
    CPPUNIT_ASSERT(used_replicas(p, start + seconds(5)) == std::set<std::string>{"1"});
    replica other = make_replica("2");
    other.address = restarted.address;
    other.started_at_ms = 3;
    update(p, {restarted, other}, start + seconds(5));
    CPPUNIT_ASSERT(used_replicas(p, start + seconds(5)) == std::set<std::string>{"2"});
  }

  // Guards against requests that wait for replicas that leave, or are refused although a replica
  // that is only busy could take them.
  void pause_ends_with_the_first_hold() {
    placer p = make_placer({make_replica("1"), make_replica("2"), make_replica("3")});
    p.on_notice({"1", 1}, hold_for(seconds(5)), start);
    p.on_notice({"2", 1}, hold_for(seconds(3)), start);
    CPPUNIT_ASSERT(!p.find_pause(m_request, start));
    p.on_notice({"3", 1}, leaving, start);
    const base::time_point later = start + drain_bound;
    CPPUNIT_ASSERT(p.find_pause(m_request, later)->ends_at == start + seconds(3));
    request_profile restricted = m_request;
    restricted.excluded = {"2"};
    CPPUNIT_ASSERT(p.find_pause(restricted, later)->ends_at == start + seconds(5));
    update(p, {}, later);
    CPPUNIT_ASSERT(!p.find_pause(m_request, later));
  }

  // Guards against a replica that is ejected, and whose cached prefixes are forgotten, because it
  // asked for pauses.
  void hold_is_no_failure_of_the_replica() {
    const std::vector<service_profile> services{{.name = "app", .is_engine = true}};
    placer p({.vm = "vm-1", .failure_domain = "a", .prefix_reuse = seconds(8)});
    p.update(services, std::vector<replica>{make_replica("1"), make_replica("2")}, {}, start);
    request_profile request = m_request;
    request.prompt = {{7, 900}, {8, 100}};
    request.prompt_tokens = 1000;
    request.excluded = {"2"};
    for (int i = 0; i < 20; ++i) {
      const choice chosen = std::get<choice>(p.choose(request, start));
      p.on_dispatch("1", request, chosen, start);
      p.on_end("1", chosen, outcome::held, false, start);
    }
    CPPUNIT_ASSERT(!p.status(start)[0].is_ejected);
    CPPUNIT_ASSERT_EQUAL(1000U, std::get<choice>(p.choose(request, start)).cached_tokens);
  }

  // Guards against a failing replica that is not ejected because it asks for a pause in between.
  void hold_is_no_success_of_the_replica() {
    placer p = make_placer({make_replica("1"), make_replica("2")});
    const choice chosen{.replica_id = "1"};
    for (const outcome each : {outcome::server_error, outcome::server_error, outcome::server_error,
                               outcome::held, outcome::server_error}) {
      p.on_end("1", chosen, each, false, start);
    }
    CPPUNIT_ASSERT(p.status(start)[0].is_ejected);
  }

  inline static const request_profile m_request{.service = "app"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(notice_board_test);
CPPUNIT_TEST_SUITE_REGISTRATION(placer_notice_test);

}  // namespace
}  // namespace fuchsiaspring::placement
