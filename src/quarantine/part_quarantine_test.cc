#include "fuchsiaspring/quarantine/part_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace fuchsiaspring::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t harmful = 0xbad;
constexpr std::uint64_t system_prompt = 0x100;  // first part of all prompts
constexpr std::size_t no_limit = 1000;

const base::time_point start = base::time_point(std::chrono::hours(1));

crash_report crash(std::uint32_t replica, std::vector<std::uint64_t> parts, base::time_point at) {
  crash_report report{.replica = replica, .at = at};
  for (std::uint32_t depth = 0; depth < parts.size(); ++depth) {
    report.suspects.push_back({parts[depth], depth});
  }
  return report;
}

// As a node does, which calls expire() at every heartbeat.
verdict check(part_quarantine& parts, std::vector<std::uint64_t> prompt, base::time_point now) {
  parts.expire(now);
  return parts.check(prompt, now);
}

void merge(part_quarantine& parts, const std::vector<part_evidence>& received,
           base::time_point now) {
  parts.merge(received, change_origin::own, now);
}

class part_quarantine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(part_quarantine_test);
  CPPUNIT_TEST(part_is_blocked_after_three_separate_crashes);
  CPPUNIT_TEST(lost_rack_blocks_nothing);
  CPPUNIT_TEST(burst_on_a_part_that_was_never_answered_blocks_it_until_a_trial);
  CPPUNIT_TEST(part_that_another_node_has_answered_is_not_blocked_for_a_burst);
  CPPUNIT_TEST(completed_response_clears_a_part);
  CPPUNIT_TEST(crashes_of_a_blocked_part_do_not_count_against_others);
  CPPUNIT_TEST(crashes_seen_by_different_nodes_add_up);
  CPPUNIT_TEST(merging_is_idempotent_and_independent_of_the_order);
  CPPUNIT_TEST(old_evidence_stays_old);
  CPPUNIT_TEST(started_node_learns_of_blocked_parts);
  CPPUNIT_TEST(only_one_node_tries_a_blocked_part_and_a_limited_number_of_times);
  CPPUNIT_TEST(completed_trial_clears_the_part_on_all_nodes);
  CPPUNIT_TEST(blocked_part_is_forgotten_when_nobody_asks_for_it);
  CPPUNIT_TEST(state_is_bounded);
  CPPUNIT_TEST(evidence_from_before_the_start_of_the_machine_counts);
  CPPUNIT_TEST(crash_that_arrives_after_the_completion_is_void);
  CPPUNIT_TEST(all_parts_are_sent_in_turn);
  CPPUNIT_TEST(part_blocked_on_incomplete_evidence_is_released);
  CPPUNIT_TEST(evidence_that_arrives_late_decides_which_part_is_blocked);
  CPPUNIT_TEST(sound_part_behind_a_harmful_one_is_not_blocked);
  CPPUNIT_TEST(sound_part_with_more_crashes_is_not_blocked_beside_a_harmful_one);
  CPPUNIT_TEST(response_that_began_before_the_block_releases_a_sound_part);
  CPPUNIT_TEST(trial_tells_parts_with_the_same_evidence_apart);
  CPPUNIT_TEST(block_of_a_node_that_has_seen_less_does_not_spread);
  CPPUNIT_TEST(answers_of_other_nodes_decide_which_part_is_blocked);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<part_quarantine> make(const std::string& node = "vm-1") {
    return std::make_unique<part_quarantine>(quarantine_options{}, node);
  }

  // Three crashes a second apart, seen by one node, and its next heartbeat.
  static void block_harmful(part_quarantine& parts) {
    for (std::uint32_t i = 0; i < 3; ++i) {
      parts.record_crash(crash(i, {system_prompt, harmful}, start + seconds(i)),
                         start + seconds(i));
      parts.record_answer(std::vector<std::uint64_t>{system_prompt},
                          start + seconds(i) + milliseconds(10),
                          start + seconds(i) + milliseconds(200));
    }
    parts.expire(start + seconds(3));
  }

  // Guards against requests that end one replica after the other.
  void part_is_blocked_after_three_separate_crashes() {
    auto parts = make();
    block_harmful(*parts);
    const base::time_point now = start + seconds(3);
    CPPUNIT_ASSERT(check(*parts, {system_prompt, harmful}, now) == verdict::blocked);
    CPPUNIT_ASSERT(check(*parts, {system_prompt, 0x200}, now) == verdict::allowed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parts->blocked_parts(now).size());
  }

  // Guards against blocking sound requests after replicas were lost for another reason.
  void lost_rack_blocks_nothing() {
    auto parts = make();
    for (std::uint32_t i = 0; i < 12; ++i) {
      const base::time_point at = start + milliseconds(20 * i);
      parts->record_crash(crash(i, {system_prompt, 0x200 + i % 3}, at), at);
    }
    CPPUNIT_ASSERT(parts->blocked_parts(start + seconds(1)).empty());
    CPPUNIT_ASSERT(check(*parts, {system_prompt, 0x200}, start + seconds(1)) == verdict::allowed);
  }

  // Ends five replicas at once on a part beside others that are answered.
  static void crash_in_a_burst(part_quarantine& parts, std::uint64_t part, base::time_point at) {
    for (int i = 0; i < 3; ++i) {
      const base::time_point begun_at = at - seconds(3) + milliseconds(i);
      parts.record_answer(std::vector<std::uint64_t>{system_prompt}, begun_at,
                          begun_at + seconds(1));
    }
    for (std::uint32_t i = 0; i < 5; ++i) {
      parts.record_crash(crash(i, {system_prompt, part}, at), at);
    }
  }

  // Guards against bursts of requests that end many replicas each before three bursts have come,
  // and against a sound part that stays blocked because a rack was lost.
  void burst_on_a_part_that_was_never_answered_blocks_it_until_a_trial() {
    for (const bool is_sound : {true, false}) {
      auto parts = make();
      crash_in_a_burst(*parts, harmful, start);
      CPPUNIT_ASSERT(check(*parts, {system_prompt, harmful}, start) == verdict::allowed);
      base::time_point now = start + seconds(1);
      CPPUNIT_ASSERT(check(*parts, {system_prompt, harmful}, now) == verdict::blocked);
      CPPUNIT_ASSERT(check(*parts, {system_prompt, 0x200}, now) == verdict::allowed);
      now += seconds(1);
      CPPUNIT_ASSERT(check(*parts, {system_prompt, harmful}, now) == verdict::trial);
      CPPUNIT_ASSERT(check(*parts, {system_prompt, harmful}, now) == verdict::blocked);
      if (is_sound) {
        parts->record_answer(std::vector<std::uint64_t>{system_prompt, harmful},
                             now + milliseconds(100), now + seconds(1));
        now += seconds(1);
        CPPUNIT_ASSERT(check(*parts, {system_prompt, harmful}, now) == verdict::allowed);
        continue;
      }
      parts->record_crash(crash(9, {system_prompt, harmful}, now), now);
      for (const base::time_point end = now + seconds(19); now < end; now += seconds(1)) {
        CPPUNIT_ASSERT(check(*parts, {system_prompt, harmful}, now) == verdict::blocked);
      }
    }
  }

  // Guards against a node that blocks a part which only other nodes have answered.
  void part_that_another_node_has_answered_is_not_blocked_for_a_burst() {
    auto node = make();
    auto other = make("vm-2");
    other->record_answer(std::vector<std::uint64_t>{0x200}, start - seconds(9), start - seconds(8));
    crash_in_a_burst(*node, 0x200, start);
    merge(*other, node->take_changes(change_origin::own, start, no_limit), start);
    CPPUNIT_ASSERT(other->has_changes());
    merge(*node, other->take_changes(change_origin::own, start, no_limit), start);
    CPPUNIT_ASSERT(check(*node, {system_prompt, 0x200}, start + seconds(2)) == verdict::allowed);
  }

  // Guards against blocking parts that most requests share.
  void completed_response_clears_a_part() {
    auto parts = make();
    for (std::uint32_t i = 0; i < 6; ++i) {
      const base::time_point at = start + seconds(i);
      parts->record_crash(crash(i, {system_prompt}, at), at);
      if (i % 2 == 1) {
        CPPUNIT_ASSERT(check(*parts, {system_prompt}, at) == verdict::suspected);
        parts->record_answer(std::vector<std::uint64_t>{system_prompt}, at + milliseconds(10),
                             at + milliseconds(300));
      }
    }
    CPPUNIT_ASSERT(check(*parts, {system_prompt}, start + seconds(6)) == verdict::allowed);
    // A response that began before a crash says nothing about it.
    parts->record_crash(crash(7, {system_prompt}, start + seconds(7)), start + seconds(7));
    parts->record_crash(crash(8, {system_prompt}, start + seconds(8)), start + seconds(8));
    parts->record_answer(std::vector<std::uint64_t>{system_prompt},
                         start + seconds(6) + milliseconds(500), start + seconds(9));
    CPPUNIT_ASSERT(check(*parts, {system_prompt}, start + seconds(9)) == verdict::suspected);
  }

  // Guards against blocking the parts of requests that only ran beside the harmful one.
  void crashes_of_a_blocked_part_do_not_count_against_others() {
    auto parts = make();
    constexpr std::uint64_t beside = 0x300;
    for (std::uint32_t i = 0; i < 8; ++i) {
      const base::time_point at = start + seconds(i);
      crash_report report = crash(i, {system_prompt, harmful}, at);
      if (i != 1) {
        report.suspects.push_back({beside, 1});
      }
      parts->record_crash(report, at);
      if (i == 1) {
        parts->record_answer(std::vector<std::uint64_t>{system_prompt}, at + milliseconds(1),
                             at + milliseconds(1));
      }
    }
    const base::time_point now = start + seconds(8);
    CPPUNIT_ASSERT(parts->blocked_parts(now) == std::vector<std::uint64_t>{harmful});
    CPPUNIT_ASSERT(check(*parts, {system_prompt, beside}, now) == verdict::allowed);
  }

  // Guards against a fleet in which no node sees enough crashes to act.
  void crashes_seen_by_different_nodes_add_up() {
    std::vector<std::unique_ptr<part_quarantine>> nodes;
    for (int i = 0; i < 4; ++i) {
      nodes.push_back(make("vm-" + std::to_string(i)));
    }
    for (std::uint32_t i = 0; i < 3; ++i) {
      const base::time_point at = start + seconds(i);
      nodes[i]->record_crash(crash(i, {harmful}, at), at);
      const auto changes = nodes[i]->take_changes(change_origin::own, at, no_limit);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
      for (auto& node : nodes) {
        merge(*node, changes, at + milliseconds(5));
      }
    }
    for (auto& node : nodes) {
      CPPUNIT_ASSERT(check(*node, {harmful}, start + seconds(3)) == verdict::blocked);
    }
  }

  // Guards against one crash that counts several times because several nodes report it.
  void merging_is_idempotent_and_independent_of_the_order() {
    auto source = make("vm-2");
    source->record_crash(crash(1, {harmful}, start), start);
    const auto first = source->evidence(start, no_limit);
    source->record_crash(crash(2, {harmful}, start + seconds(1)), start + seconds(1));
    auto sink = make();
    // The same two crashes, many times and from several sources.
    for (int i = 0; i < 20; ++i) {
      const base::time_point now = start + seconds(1) + milliseconds(i);
      merge(*sink, source->evidence(now, no_limit), now);
    }
    merge(*sink, first, start + seconds(1) + milliseconds(30));
    CPPUNIT_ASSERT(check(*sink, {harmful}, start + seconds(2)) == verdict::suspected);
  }

  // Guards against evidence that a node brings back after it was cut off.
  void old_evidence_stays_old() {
    auto cut_off = make("vm-2");
    for (std::uint32_t i = 0; i < 2; ++i) {
      cut_off->record_crash(crash(i, {harmful}, start), start);
    }
    const base::time_point later = start + quarantine_options{}.evidence_lifetime + seconds(10);
    auto node = make();
    merge(*node, cut_off->evidence(later, no_limit), later);
    node->record_crash(crash(7, {harmful}, later), later);
    CPPUNIT_ASSERT(check(*node, {harmful}, later) == verdict::allowed);
    // A crash that this node has seen cleared is not accepted again.
    node->record_answer(std::vector<std::uint64_t>{harmful}, later + seconds(1),
                        later + seconds(2));
    auto other = make("vm-3");
    other->record_crash(crash(7, {harmful}, later), later);
    other->record_crash(crash(8, {harmful}, later + milliseconds(500)), later + milliseconds(500));
    merge(*node, other->evidence(later + seconds(3), no_limit), later + seconds(3));
    CPPUNIT_ASSERT(check(*node, {harmful}, later + seconds(3)) == verdict::allowed);
  }

  // Guards against a restarted node that sends a blocked part again.
  void started_node_learns_of_blocked_parts() {
    auto node = make();
    block_harmful(*node);
    const base::time_point later = start + minutes(2);
    CPPUNIT_ASSERT(check(*node, {harmful}, later - seconds(1)) != verdict::allowed);
    node->expire(later);
    auto started = make("vm-2");
    merge(*started, node->evidence(later, 4), later);
    started->set_nodes({"vm-1"});
    CPPUNIT_ASSERT(check(*started, {harmful}, later) == verdict::blocked);
  }

  // Guards against trials on every node, each of which would end a replica.
  void only_one_node_tries_a_blocked_part_and_a_limited_number_of_times() {
    std::vector<std::string> names;
    std::vector<std::unique_ptr<part_quarantine>> nodes;
    for (int i = 0; i < 256; ++i) {
      names.push_back("vm-" + std::to_string(i));
      nodes.push_back(make(names.back()));
    }
    block_harmful(*nodes[0]);
    const auto evidence = nodes[0]->evidence(start + seconds(3), no_limit);
    for (auto& node : nodes) {
      node->set_nodes(names);
      merge(*node, evidence, start + seconds(3));
    }
    int trials = 0;
    for (int second = 4; second < 3600; ++second) {
      const base::time_point now = start + seconds(second);
      for (auto& node : nodes) {
        const verdict result = check(*node, {system_prompt, harmful}, now);
        CPPUNIT_ASSERT(result == verdict::trial || result == verdict::blocked);
        trials += result == verdict::trial ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(2, trials);
  }

  void completed_trial_clears_the_part_on_all_nodes() {
    auto node = make();
    block_harmful(*node);
    auto other = make("vm-2");
    other->set_nodes({"vm-1"});
    merge(*other, node->evidence(start + seconds(3), no_limit), start + seconds(3));
    const base::time_point now = start + seconds(30);
    CPPUNIT_ASSERT(check(*node, {harmful}, now) == verdict::trial);
    CPPUNIT_ASSERT(check(*node, {harmful}, now) == verdict::blocked);
    node->record_answer(std::vector<std::uint64_t>{harmful}, now + milliseconds(50),
                        now + milliseconds(90));
    CPPUNIT_ASSERT(check(*node, {harmful}, now + seconds(1)) == verdict::allowed);
    merge(*other, node->take_changes(change_origin::own, now + seconds(1), no_limit),
          now + seconds(1));
    CPPUNIT_ASSERT(check(*other, {harmful}, now + seconds(1)) == verdict::allowed);
    // A message from before the trial does not block it again.
    auto late = make("vm-3");
    block_harmful(*late);
    merge(*node, late->evidence(now + seconds(2), no_limit), now + seconds(2));
    CPPUNIT_ASSERT(check(*node, {harmful}, now + seconds(2)) == verdict::allowed);
  }

  void blocked_part_is_forgotten_when_nobody_asks_for_it() {
    auto node = make();
    block_harmful(*node);
    node->expire(start + minutes(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node->blocked_parts(start + minutes(9)).size());
    node->expire(start + minutes(11));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, node->size());
  }

  // Guards against memory that grows with the number of parts.
  void state_is_bounded() {
    auto node = make();
    block_harmful(*node);
    std::mt19937_64 random(7);
    for (std::uint32_t i = 0; i < 5000; ++i) {
      const base::time_point at = start + seconds(3) + milliseconds(i);
      node->record_crash(crash(100 + i, {random(), random(), random()}, at), at);
    }
    CPPUNIT_ASSERT(node->size() <= quarantine_options{}.max_parts);
    CPPUNIT_ASSERT(check(*node, {harmful}, start + seconds(9)) == verdict::blocked);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, node->evidence(start + seconds(9), 16).size());
  }

  // Guards against a rebooted VM that ignores blocks which are older than its uptime.
  void evidence_from_before_the_start_of_the_machine_counts() {
    auto source = make("vm-2");
    block_harmful(*source);
    const auto evidence = source->evidence(start + minutes(3), no_limit);
    auto rebooted = make();
    const base::time_point now = base::time_point(seconds(10));
    merge(*rebooted, evidence, now);
    rebooted->set_nodes({"vm-2"});
    CPPUNIT_ASSERT(check(*rebooted, {harmful}, now) == verdict::blocked);
    rebooted->expire(now);
    CPPUNIT_ASSERT(check(*rebooted, {harmful}, now) == verdict::blocked);
  }

  void crash_that_arrives_after_the_completion_is_void() {
    auto source = make("vm-2");
    for (std::uint32_t i = 0; i < 2; ++i) {
      source->record_crash(crash(i, {harmful}, start + seconds(i)), start + seconds(i));
    }
    auto sink = make();
    sink->record_answer(std::vector<std::uint64_t>{harmful}, start + seconds(2),
                        start + seconds(3));
    merge(*sink, source->evidence(start + seconds(3), no_limit), start + seconds(3));
    CPPUNIT_ASSERT(check(*sink, {harmful}, start + seconds(3)) == verdict::allowed);
  }

  // Guards against a node that never learns of some parts because others always rank higher.
  void all_parts_are_sent_in_turn() {
    auto node = make();
    std::set<std::uint64_t> sent;
    for (std::uint32_t i = 0; i < 40; ++i) {
      node->record_crash(crash(i, {1000 + i}, start), start);
    }
    for (std::size_t turn = 0; turn < 40; ++turn) {
      for (const part_evidence& each : node->evidence(start, 8, turn)) {
        sent.insert(each.part);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, sent.size());
  }

  // The following two tests guard against blocking a sound part that ran beside the harmful one
  // when replicas end faster than responses complete: the node with the harmful request reports
  // late.
  void part_blocked_on_incomplete_evidence_is_released() {
    auto node = make();
    auto other = make("vm-2");
    constexpr std::uint64_t beside = 0x300;
    for (std::uint32_t i = 0; i < 5; ++i) {
      const base::time_point at = start + milliseconds(400 * i);
      other->record_crash(crash(i, {system_prompt, 0x400 + i, harmful}, at), at);
      if (i < 4) {
        node->record_crash(crash(i, {0x500 + i, beside}, at), at);
      }
    }
    base::time_point now = start + seconds(3);
    CPPUNIT_ASSERT(check(*node, {beside}, now) == verdict::blocked);
    other->expire(now);
    merge(*node, other->evidence(now, no_limit), now);
    node->set_nodes({"vm-2"});
    CPPUNIT_ASSERT(check(*node, {harmful}, now) == verdict::blocked);
    CPPUNIT_ASSERT(check(*node, {beside}, now) != verdict::blocked);
    // The block of a node that has not seen all evidence does not return.
    auto third = make("vm-3");
    for (std::uint32_t i = 0; i < 4; ++i) {
      const base::time_point at = start + milliseconds(400 * i);
      third->record_crash(crash(i, {0x500 + i, beside}, at), at);
    }
    third->expire(now);
    merge(*node, third->evidence(now, no_limit), now);
    CPPUNIT_ASSERT(check(*node, {beside}, now) != verdict::blocked);
  }

  void evidence_that_arrives_late_decides_which_part_is_blocked() {
    auto node = make();
    auto other = make("vm-2");
    constexpr std::uint64_t beside = 0x300;
    for (std::uint32_t i = 0; i < 4; ++i) {
      const base::time_point at = start + milliseconds(400 * i);
      other->record_crash(crash(i, {0x400 + i, harmful}, at), at);
      if (i > 0) {
        node->record_crash(crash(i, {0x500 + i, beside}, at), at);
      }
      merge(*node, other->take_changes(change_origin::own, at, no_limit), at + milliseconds(150));
    }
    const base::time_point now = start + seconds(2);
    CPPUNIT_ASSERT(check(*node, {beside}, now) != verdict::blocked);
    CPPUNIT_ASSERT(node->blocked_parts(now) == std::vector<std::uint64_t>{harmful});
  }
  // A prompt of which all requests share the parts in front of and behind the harmful one.
  static constexpr std::uint64_t subject = 0x200;
  static inline const std::vector<std::uint64_t> harmful_prompt{system_prompt, harmful, subject};
  static inline const std::vector<std::uint64_t> sound_prompt{system_prompt, subject};

  // Three crashes, faster after each other than responses end that begin between them.
  static base::time_point crash_three_times(part_quarantine& parts) {
    base::time_point at = start;
    for (std::uint32_t i = 0; i < 3; ++i) {
      parts.record_crash(crash(i, harmful_prompt, at), at);
      at += milliseconds(450);
    }
    parts.expire(at);
    return at;
  }

  static void expect_only_harmful_blocked(part_quarantine& parts, base::time_point now) {
    CPPUNIT_ASSERT(parts.blocked_parts(now) == std::vector<std::uint64_t>{harmful});
    CPPUNIT_ASSERT(check(parts, harmful_prompt, now) == verdict::blocked);
    CPPUNIT_ASSERT(check(parts, sound_prompt, now) == verdict::allowed);
  }

  // Guards against refused sound requests: a part behind the harmful one has the same crashes.
  void sound_part_behind_a_harmful_one_is_not_blocked() {
    auto parts = make();
    parts->record_answer(sound_prompt, start - seconds(4), start - seconds(1));
    const base::time_point now = crash_three_times(*parts);
    expect_only_harmful_blocked(*parts, now);
  }

  // The same for a part that was also asked for at a replica that ended for another reason.
  void sound_part_with_more_crashes_is_not_blocked_beside_a_harmful_one() {
    auto parts = make();
    parts->record_answer(sound_prompt, start - seconds(4), start - seconds(1));
    parts->record_crash(crash(7, sound_prompt, start - milliseconds(500)),
                        start - milliseconds(500));
    const base::time_point now = crash_three_times(*parts);
    expect_only_harmful_blocked(*parts, now);
  }

  // Guards against a block that lasts until a trial though responses show that the part is sound.
  void response_that_began_before_the_block_releases_a_sound_part() {
    auto parts = make();
    const base::time_point now = crash_three_times(*parts);
    CPPUNIT_ASSERT(parts->blocked_parts(now) == std::vector<std::uint64_t>{subject});
    parts->record_answer(sound_prompt, start + milliseconds(500), now + seconds(1));
    expect_only_harmful_blocked(*parts, now + seconds(1));
  }

  // Guards against sound requests that wait for the trial after 20 s because nothing has been
  // answered since the fleet started, and against trials of a harmful part.
  void trial_tells_parts_with_the_same_evidence_apart() {
    for (const bool is_sound : {true, false}) {
      auto parts = make();
      base::time_point now = crash_three_times(*parts) + seconds(3);
      CPPUNIT_ASSERT(check(*parts, harmful_prompt, now) == verdict::blocked);
      CPPUNIT_ASSERT(check(*parts, sound_prompt, now) == verdict::trial);
      CPPUNIT_ASSERT(check(*parts, sound_prompt, now + milliseconds(100)) == verdict::blocked);
      if (is_sound) {
        parts->record_answer(sound_prompt, now + milliseconds(100), now + seconds(1));
        expect_only_harmful_blocked(*parts, now + seconds(1));
        continue;
      }
      parts->record_crash(crash(9, sound_prompt, now + seconds(1)), now + seconds(1));
      for (now += seconds(2); now < start + seconds(20); now += seconds(1)) {
        CPPUNIT_ASSERT(check(*parts, sound_prompt, now) == verdict::blocked);
      }
    }
  }

  // Guards against a node without requests of its own that makes all others refuse sound requests.
  void block_of_a_node_that_has_seen_less_does_not_spread() {
    for (const bool comes_first : {true, false}) {
      auto idle = make("vm-2");
      const base::time_point now = crash_three_times(*idle);
      CPPUNIT_ASSERT(idle->blocked_parts(now) == std::vector<std::uint64_t>{subject});
      auto busy = make();
      busy->record_answer(sound_prompt, start - seconds(4), start - seconds(1));
      if (comes_first) {
        merge(*busy, idle->evidence(now, no_limit), now);
        crash_three_times(*busy);
      } else {
        crash_three_times(*busy);
        merge(*busy, idle->evidence(now, no_limit), now);
      }
      busy->expire(now + seconds(1));
      expect_only_harmful_blocked(*busy, now + seconds(1));
    }
  }

  // Guards against nodes that keep on blocking different parts.
  void answers_of_other_nodes_decide_which_part_is_blocked() {
    auto idle = make("vm-2");
    const base::time_point now = crash_three_times(*idle);
    auto busy = make();
    busy->record_answer(sound_prompt, start - seconds(4), start - seconds(1));
    crash_three_times(*busy);
    for (int i = 0; i < 2; ++i) {
      merge(*busy, idle->evidence(now, no_limit), now);
      merge(*idle, busy->evidence(now, no_limit), now);
    }
    expect_only_harmful_blocked(*idle, now);
    expect_only_harmful_blocked(*busy, now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_quarantine_test);

}  // namespace
}  // namespace fuchsiaspring::quarantine
