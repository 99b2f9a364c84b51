#include "fuchsiaspring/capability/speed_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "fuchsiaspring/capability/own_average.h"

namespace fuchsiaspring::capability {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr replica_key first{1, 10};
constexpr replica_key second{2, 10};
constexpr slow_mode rare_slow_phases{0.05, 0.9};

class speed_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(speed_table_test);
  CPPUNIT_TEST(a_row_that_is_sent_again_counts_once);
  CPPUNIT_TEST(rows_are_sent_twice_and_new_ones_first);
  CPPUNIT_TEST(one_sender_has_a_bounded_weight);
  CPPUNIT_TEST(a_lost_sender_is_forgotten);
  CPPUNIT_TEST(another_start_of_a_replica_is_unknown);
  CPPUNIT_TEST(estimates_return_to_the_prior);
  CPPUNIT_TEST(a_slow_phase_shows_at_once_and_passes);
  CPPUNIT_TEST(memory_is_bounded);
  CPPUNIT_TEST(own_average_follows_samples_and_decays);
  CPPUNIT_TEST_SUITE_END();

  static speed_table make_table() {
    speed_table table;
    const std::vector<replica_key> listed{first, second};
    table.set_replicas(listed);
    return table;
  }

  static double estimate(const speed_table& table, const replica_key& key, base::time_point now) {
    return table.estimate(key, rare_slow_phases, now);
  }

  static void merge(speed_table& table, const std::string& sender, speed_row row,
                    base::time_point now) {
    table.merge(sender, {&row, 1}, now);
  }

  // Guards against samples that count once for each copy of their row.
  void a_row_that_is_sent_again_counts_once() {
    speed_table once = make_table();
    speed_table twice = make_table();
    merge(once, "vm-2", {first, 1, 0.8F, 0}, start);
    merge(twice, "vm-2", {first, 1, 0.8F, 0}, start);
    merge(twice, "vm-2", {first, 1, 0.8F, 200}, start + milliseconds(200));
    const base::time_point later = start + milliseconds(300);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(estimate(once, first, later), estimate(twice, first, later), 1e-6);
    // A datagram that was overtaken does not replace a newer row.
    merge(twice, "vm-2", {first, 1, -0.8F, 2000}, later);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(estimate(once, first, later), estimate(twice, first, later), 1e-6);
  }

  // Guards against rows that are lost with one datagram, and against new rows behind old ones.
  void rows_are_sent_twice_and_new_ones_first() {
    speed_table table = make_table();
    table.record(first, 0.5, start);
    const std::vector<speed_row> expected{{first, 1, 0.5F, 100}};
    CPPUNIT_ASSERT(expected == table.rows_to_send(audience::group, 16, start + milliseconds(100)));
    table.record(second, -0.5, start + milliseconds(150));
    const std::vector<speed_row> rows =
        table.rows_to_send(audience::group, 16, start + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows.size());
    CPPUNIT_ASSERT(rows[0].key == second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         table.rows_to_send(audience::group, 16, start + milliseconds(400)).size());
    CPPUNIT_ASSERT(table.rows_to_send(audience::group, 16, start + milliseconds(600)).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        table.rows_to_send(audience::other_domains, 1, start + milliseconds(600)).size());
  }

  // Guards against a sender that outweighs all others by its count.
  void one_sender_has_a_bounded_weight() {
    speed_table table = make_table();
    merge(table, "liar", {first, 1'000'000, 1'700'000.0F, 0}, start);
    for (int i = 0; i < 6; ++i) {
      merge(table, "vm-" + std::to_string(i), {first, 1, 0, 0}, start);
    }
    CPPUNIT_ASSERT(table.log_usual(first, start) < 0.33);
  }

  // Guards against reports of nodes that have left, and of a faulty node that was stopped.
  void a_lost_sender_is_forgotten() {
    speed_table table = make_table();
    merge(table, "vm-2", {first, 1, 1.5F, 0}, start);
    CPPUNIT_ASSERT(estimate(table, first, start) > 1.5);
    table.forget("vm-2", start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, estimate(table, first, start), 1e-6);
  }

  // Guards against a restarted replica that is avoided for what it was before.
  void another_start_of_a_replica_is_unknown() {
    speed_table table = make_table();
    merge(table, "vm-2", {first, 1, 1.5F, 0}, start);
    table.record(first, 1.5, start);
    const replica_key restarted{first.replica_hash, 11};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, estimate(table, restarted, start), 1e-6);
    const std::vector<replica_key> listed{restarted, second};
    table.set_replicas(listed);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, estimate(table, restarted, start), 1e-6);
    merge(table, "vm-2", {first, 1, 1.5F, 0}, start);  // of the old start
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, estimate(table, restarted, start), 1e-6);
    CPPUNIT_ASSERT(table.rows_to_send(audience::group, 16, start).empty());
  }

  // Guards against a replica that is avoided for ever because nobody measures it again.
  void estimates_return_to_the_prior() {
    speed_table table = make_table();
    for (int i = 0; i < 8; ++i) {
      merge(table, "vm-" + std::to_string(i), {first, 1, 1.0F, 0}, start);
    }
    CPPUNIT_ASSERT(estimate(table, first, start) > 2);
    CPPUNIT_ASSERT(estimate(table, first, start + seconds(12)) < 1.2);
  }

  // Guards against slow phases that are over before an average shows them.
  void a_slow_phase_shows_at_once_and_passes() {
    speed_table table = make_table();
    for (int i = 0; i < 8; ++i) {
      merge(table, "vm-" + std::to_string(i), {first, 1, 0, 1000}, start);
    }
    merge(table, "vm-20", {first, 1, 0.95F, 0}, start);
    merge(table, "vm-21", {first, 1, 0.95F, 0}, start);
    constexpr slow_mode learned{0.15, 0.92};
    CPPUNIT_ASSERT(table.estimate(first, learned, start) > 1.7);
    CPPUNIT_ASSERT(table.estimate(first, learned, start + milliseconds(1000)) < 1.35);
  }

  // Guards against senders that exhaust the memory of a small VM.
  void memory_is_bounded() {
    speed_table table = make_table();
    for (int i = 0; i < 2000; ++i) {
      merge(table, "vm-" + std::to_string(i), {first, 1, 0.1F, 0}, start);
      merge(table, "vm-" + std::to_string(i), {{77, 1}, 1, 0.1F, 0}, start);  // not listed
    }
    CPPUNIT_ASSERT(table.row_count() <= speed_table::max_rows_per_replica);
  }

  // Guards small fleets against another pace of learning: 12% of a sample, a decay in 4 s.
  void own_average_follows_samples_and_decays() {
    own_average average;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, average.estimate(start), 1e-9);
    average.record(3, start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.24, average.estimate(start), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1 + 0.24 * std::exp(-1), average.estimate(start + seconds(4)),
                                 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(speed_table_test);

}  // namespace
}  // namespace fuchsiaspring::capability
