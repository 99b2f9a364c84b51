#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/idempotency/claim_round.h"
#include "fuchsiaspring/idempotency/key_recorder.h"

namespace fuchsiaspring::idempotency {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t start_wall_ms = 1'800'000'000'000;
const base::time_point start{};

retention_rules short_rules() {
  return {.window = seconds(60),
          .clock_error = seconds(5),
          .max_claim_duration = seconds(1),
          .open_record_limit = seconds(20),
          .max_records = 1000};
}

class idempotency_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(idempotency_test);
  CPPUNIT_TEST(key_times_are_parsed);
  CPPUNIT_TEST(restarted_recorder_abstains_for_the_window);
  CPPUNIT_TEST(old_timestamped_key_is_never_new_after_a_restart);
  CPPUNIT_TEST(record_outlives_the_latest_claim_of_its_key);
  CPPUNIT_TEST(abandoned_attempt_leaves_no_record);
  CPPUNIT_TEST(outcome_of_another_attempt_is_ignored);
  CPPUNIT_TEST(full_recorder_abstains_and_recovers);
  CPPUNIT_TEST(recorder_confirms_only_its_version);
  CPPUNIT_TEST(recorders_stand_in_different_domains);
  CPPUNIT_TEST(round_needs_quorum_of_every_group);
  CPPUNIT_TEST(late_or_foreign_replies_grant_nothing);
  CPPUNIT_TEST_SUITE_END();

  static schema::RecordKey request(const std::string& key, const std::string& attempt,
                                   std::uint64_t key_time_ms = 0) {
    schema::RecordKey message;
    message.set_scope("team/pool");
    message.set_key_digest(key);
    message.set_attempt_id(attempt);
    message.set_key_time_ms(key_time_ms);
    message.set_list_version(1);
    return message;
  }

  static schema::RecordVerdict record_verdict(key_recorder& recorder, const schema::RecordKey& key,
                                              base::duration since_start) {
    const auto wall =
        start_wall_ms + static_cast<std::uint64_t>(base::to_milliseconds(since_start));
    return recorder.record(key, 1, start + since_start, wall).verdict();
  }

  // A recorder whose abstention after its start has ended before `start`.
  static key_recorder recorder_past_abstention(const retention_rules& rules = short_rules()) {
    return {rules, start - seconds(3600), start_wall_ms - 3'600'000};
  }

  // Guards against a misread key time, and against opaque keys that are taken for timestamped ones.
  void key_times_are_parsed() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x017F22E279B0},
                         key_time_ms("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1469922850259}, key_time_ms("01ARZ3NDEKTSV4RRFFQ69G5FAV"));
    for (const char* opaque :
         {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
          "017f22e279b0-7cc3-98c4-dc0c0c07398f-", "81ARZ3NDEKTSV4RRFFQ69G5FAV",
          "01ARZ3NDEKTSV4RRFFQ69G5FAU", "00000000000000000000000123"}) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, key_time_ms(opaque));
    }
    const auto rules = short_rules();
    CPPUNIT_ASSERT(check_key_time(start_wall_ms + 5001, start_wall_ms, rules) ==
                   key_time_verdict::in_future);
    CPPUNIT_ASSERT(check_key_time(start_wall_ms - 60'001, start_wall_ms, rules) ==
                   key_time_verdict::expired);
    CPPUNIT_ASSERT(check_key_time(start_wall_ms - 60'000, start_wall_ms, rules) ==
                   key_time_verdict::acceptable);
  }

  // Guards against a second dispatch of a key whose record a restart erased.
  void restarted_recorder_abstains_for_the_window() {
    key_recorder recorder(short_rules(), start, start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_ABSTAIN,
                         record_verdict(recorder, request("k", "a"), {}));
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_DUPLICATE,
                         record_verdict(recorder, request("k", "b"), seconds(1)));
    CPPUNIT_ASSERT_EQUAL(
        schema::RECORD_VERDICT_RECORDED,
        record_verdict(recorder, request("t", "a", start_wall_ms + 5001), seconds(2)));
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_ABSTAIN,
                         record_verdict(recorder, request("m", "a"), milliseconds(60'999)));
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_RECORDED,
                         record_verdict(recorder, request("n", "a"), seconds(61)));
  }

  // Guards against a second dispatch when the caller's clock is ahead: the key was dispatched
  // before the recorder started, and other agents still accept it after the window has passed.
  void old_timestamped_key_is_never_new_after_a_restart() {
    key_recorder recorder(short_rules(), start, start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(
        schema::RECORD_VERDICT_ABSTAIN,
        record_verdict(recorder, request("t", "a", start_wall_ms + 5000), seconds(64)));
  }

  // Guards against a time at which the record of a key has expired and the key is still accepted.
  void record_outlives_the_latest_claim_of_its_key() {
    key_recorder recorder = recorder_past_abstention();
    record_verdict(recorder, request("t", "a", start_wall_ms + 9000), {});
    record_verdict(recorder, request("k", "a"), {});
    for (int elapsed = 1; elapsed < 90; ++elapsed) {
      const auto verdict =
          record_verdict(recorder, request("t", "b", start_wall_ms + 9000), seconds(elapsed));
      CPPUNIT_ASSERT_EQUAL(
          elapsed <= 79 ? schema::RECORD_VERDICT_DUPLICATE : schema::RECORD_VERDICT_ABSTAIN,
          verdict);
      if (elapsed == 60) {
        CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_DUPLICATE,
                             record_verdict(recorder, request("k", "b"), milliseconds(60'999)));
        CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_RECORDED,
                             record_verdict(recorder, request("k", "b"), seconds(61)));
      }
    }
    recorder.expire(start + seconds(200), start_wall_ms + 200'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, recorder.size());
    // A wall clock that is set back does not make the key new again.
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_ABSTAIN,
                         recorder
                             .record(request("t", "c", start_wall_ms + 9000), 1,
                                     start + seconds(201), start_wall_ms + 10'000)
                             .verdict());
  }

  // Guards against needless refusals: late messages of an abandoned attempt must not block the key.
  void abandoned_attempt_leaves_no_record() {
    key_recorder recorder = recorder_past_abstention();
    schema::AbandonKey abandon;
    abandon.set_scope("team/pool");
    abandon.set_key_digest("k");
    abandon.set_attempt_id("a");
    record_verdict(recorder, request("k", "a"), {});
    recorder.abandon(abandon, start, start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_ABSTAIN,
                         record_verdict(recorder, request("k", "a"), {}));
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_RECORDED,
                         record_verdict(recorder, request("k", "b"), {}));
    recorder.abandon(abandon, start, start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_DUPLICATE,
                         record_verdict(recorder, request("k", "c"), {}));
  }

  // Guards against a reply that reports the outcome of an attempt other than the recorded one.
  void outcome_of_another_attempt_is_ignored() {
    key_recorder recorder = recorder_past_abstention();
    record_verdict(recorder, request("k", "a"), {});
    schema::RecordOutcome outcome;
    outcome.set_scope("team/pool");
    outcome.set_key_digest("k");
    outcome.set_attempt_id("b");
    outcome.set_state(schema::KEY_STATE_FINISHED);
    outcome.set_http_status(500);
    recorder.finish(outcome, start, start_wall_ms);
    auto reply = recorder.record(request("k", "c"), 1, start + seconds(19), start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_RECORDED, reply.state());
    reply = recorder.record(request("k", "c"), 1, start + seconds(21), start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_UNKNOWN, reply.state());
    outcome.set_attempt_id("a");
    outcome.set_http_status(200);
    recorder.finish(outcome, start + seconds(21), start_wall_ms);
    reply = recorder.record(request("k", "a"), 1, start + seconds(21), start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_DUPLICATE, reply.verdict());
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_FINISHED, reply.state());
    CPPUNIT_ASSERT_EQUAL(200U, reply.http_status());
  }

  // Guards against eviction of records that are still needed, and against unbounded memory.
  void full_recorder_abstains_and_recovers() {
    retention_rules rules = short_rules();
    rules.max_records = 10;
    key_recorder recorder = recorder_past_abstention(rules);
    for (int i = 0; i < 10; ++i) {
      record_verdict(recorder, request(std::to_string(i), "a", i % 2 == 0 ? 0 : start_wall_ms), {});
    }
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_ABSTAIN,
                         record_verdict(recorder, request("x", "a"), seconds(60)));
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_RECORDED,
                         record_verdict(recorder, request("x", "a"), seconds(61)));
  }

  // Guards against records under different lists, whose quorums need not overlap.
  void recorder_confirms_only_its_version() {
    key_recorder recorder = recorder_past_abstention();
    auto reply = recorder.record(request("k", "a"), 2, start, start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_OTHER_VERSION, reply.verdict());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, reply.list_version());
    reply = recorder.record(request("k", "a"), 0, start, start_wall_ms);
    CPPUNIT_ASSERT_EQUAL(schema::RECORD_VERDICT_NOT_ACTIVE, reply.verdict());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, recorder.size());
  }

  // Guards against the loss of a quorum with a single failure domain.
  void recorders_stand_in_different_domains() {
    schema::VmList list;
    for (int i = 0; i < 9; ++i) {
      auto& vm = *list.add_vms();
      vm.set_name("vm" + std::to_string(i));
      vm.set_failure_domain("d" + std::to_string(i % 3));
      vm.set_state(i < 8 ? schema::VM_STATE_LIVE : schema::VM_STATE_LEAVING);
    }
    for (int key = 0; key < 200; ++key) {
      const auto group = choose_recorders(list, "s", std::to_string(key));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.members.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group.quorum);
      std::set<int> domains;
      for (const auto& name : group.members) {
        CPPUNIT_ASSERT(name != "vm8");
        domains.insert((name.back() - '0') % 3);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, domains.size());
    }
    list.mutable_vms()->DeleteSubrange(2, 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, choose_recorders(list, "s", "k").quorum);
  }

  static schema::RecordReply reply(schema::RecordVerdict verdict,
                                   const std::string& attempt = "a") {
    schema::RecordReply message;
    message.set_key_digest("k");
    message.set_attempt_id(attempt);
    message.set_verdict(verdict);
    message.set_list_version(1);
    return message;
  }

  // Guards against a grant without the recorders of an older list, which may hold the key.
  void round_needs_quorum_of_every_group() {
    const std::vector<recorder_group> groups{{{"a", "b", "c"}, 2}, {{"c", "d", "e"}, 2}};
    claim_round round(request("k", "a"), groups, {}, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, round.take_due_recorders(start).size());
    CPPUNIT_ASSERT(round.take_due_recorders(start + milliseconds(99)).empty());
    for (const char* name : {"a", "a", "b", "c"}) {
      round.on_reply(name, reply(schema::RECORD_VERDICT_RECORDED), start);
      CPPUNIT_ASSERT(round.state() == claim_state::pending);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         round.take_due_recorders(start + milliseconds(100)).size());
    round.on_reply("d", reply(schema::RECORD_VERDICT_RECORDED), start);
    CPPUNIT_ASSERT(round.may_dispatch(start + seconds(2)));
    CPPUNIT_ASSERT(!round.may_dispatch(start + milliseconds(2001)));

    claim_round unconfirmable(request("k", "a"), groups, {}, start);
    unconfirmable.on_reply("d", reply(schema::RECORD_VERDICT_ABSTAIN), start);
    CPPUNIT_ASSERT(unconfirmable.state() == claim_state::pending);
    unconfirmable.on_reply("e", reply(schema::RECORD_VERDICT_ABSTAIN), start);
    CPPUNIT_ASSERT(unconfirmable.state() == claim_state::unconfirmed);
  }

  // Guards against a grant from replies to another attempt, under another version, of a VM outside
  // the group or after the end of the round.
  void late_or_foreign_replies_grant_nothing() {
    claim_round round(request("k", "a"), {{{"a", "b", "c"}, 2}}, {}, start);
    round.on_reply("a", reply(schema::RECORD_VERDICT_RECORDED), start);
    round.on_reply("b", reply(schema::RECORD_VERDICT_RECORDED, "other"), start);
    round.on_reply("stranger", reply(schema::RECORD_VERDICT_RECORDED), start);
    auto other_version = reply(schema::RECORD_VERDICT_RECORDED);
    other_version.set_list_version(0);
    round.on_reply("c", other_version, start);
    CPPUNIT_ASSERT(round.state() == claim_state::pending);
    round.on_reply("b", reply(schema::RECORD_VERDICT_RECORDED), round.deadline());
    CPPUNIT_ASSERT(round.state() == claim_state::unconfirmed);

    claim_round duplicated(request("k", "a"), {{{"a", "b", "c"}, 2}}, {}, start);
    duplicated.on_reply("a", reply(schema::RECORD_VERDICT_RECORDED), start);
    duplicated.on_reply("c", reply(schema::RECORD_VERDICT_DUPLICATE), start);
    duplicated.on_reply("b", reply(schema::RECORD_VERDICT_RECORDED), start);
    CPPUNIT_ASSERT(duplicated.state() == claim_state::duplicate);
    claim_round empty(request("k", "a"), {}, {}, start);
    CPPUNIT_ASSERT(empty.state() == claim_state::unconfirmed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(idempotency_test);

}  // namespace
}  // namespace fuchsiaspring::idempotency
