#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/fleet/range_plan.h"
#include "fuchsiaspring/fleet/read_plan.h"
#include "fuchsiaspring/fleet/transfer_budget.h"

namespace fuchsiaspring::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
const std::string prefix = "servers/";

content_map make_list(int items) {
  content_map content{{"settings/main", "c"}, {"zz", "other"}};
  for (int i = 0; i < items; ++i) {
    content[prefix + std::to_string(i)] = std::to_string(i);
  }
  return content;
}

class read_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(read_plan_test);
  CPPUNIT_TEST(ranges_cover_all_keys_once);
  CPPUNIT_TEST(ranges_stay_while_they_fit);
  CPPUNIT_TEST(incomplete_reads_are_not_merged);
  CPPUNIT_TEST(reader_takes_part_only_if_others_are_missing);
  CPPUNIT_TEST(nodes_of_a_domain_take_turns);
  CPPUNIT_TEST(bounds_follow_the_time_of_a_read);
  CPPUNIT_TEST(transfers_are_limited_at_once_and_per_second);
  CPPUNIT_TEST_SUITE_END();

  // Guards against replicas that no node reads, also such as have been added since the division.
  void ranges_cover_all_keys_once() {
    range_division division(prefix);
    division.update(make_list(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, division.ranges().size());
    for (const key_range& each : division.ranges()) {
      CPPUNIT_ASSERT(slice(make_list(3000), prefix, each).size() <= max_page_items);
    }
    const content_map later = make_list(3300);
    content_map rest = later;
    std::size_t items = 0;
    for (const key_range& each : division.ranges()) {
      const content_map part = slice(later, prefix, each);
      items += part.size();
      for (const auto& [key, value] : part) {
        CPPUNIT_ASSERT(each.contains(key));
        rest.erase(key);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3300}, items);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rest.size());  // the entries without the prefix
  }

  // Guards against complete transfers of all ranges after each change of the list.
  void ranges_stay_while_they_fit() {
    range_division division(prefix);
    division.update(make_list(3000));
    const std::vector<key_range> before = division.ranges();
    division.update(make_list(3050));
    CPPUNIT_ASSERT(before == division.ranges());
    division.update(make_list(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, division.ranges().size());
    CPPUNIT_ASSERT(division.ranges().front() == key_range{});
  }

  // Guards against replicas that count as gone because their range was not read.
  void incomplete_reads_are_not_merged() {
    const content_map part{{"servers/1", "x"}};
    CPPUNIT_ASSERT(!merge_ranges({}, {part, std::nullopt}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, merge_ranges({{"settings/main", "c"}}, {part})->size());
  }

  void reader_takes_part_only_if_others_are_missing() {
    const std::vector<std::string> order{"a", "b", "c", "d"};
    CPPUNIT_ASSERT((std::vector<std::string>{"d", "c"} == range_members(order, "a", 2)));
    CPPUNIT_ASSERT((std::vector<std::string>{"d", "b"} == range_members(order, "c", 2)));
    CPPUNIT_ASSERT((std::vector<std::string>{"d", "c", "b", "a"} == range_members(order, "a", 9)));
    CPPUNIT_ASSERT((std::vector<std::string>{"a"} == range_members({"a"}, "a", 7)));
  }

  // Guards against all nodes of a domain reading the service when its reader is lost.
  void nodes_of_a_domain_take_turns() {
    std::vector<peer_info> nodes;
    for (int i = 0; i < 75; ++i) {
      nodes.push_back({"vm-" + std::to_string(i), std::to_string(i) + ":7", 1, "a"});
    }
    base::random_source random(1);
    const read_situation overdue{.uptime = seconds(60),
                                 .proof_age = seconds(2) + 3 * turn_length,
                                 .max_proof_age = seconds(2)};
    int service_reads = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      std::vector<peer_info> live = nodes;
      live.erase(live.begin() + static_cast<std::ptrdiff_t>(i));
      const read_step step = next_read(nodes[i], live, overdue, random);
      service_reads += std::holds_alternative<service_source>(step) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(3, service_reads);
  }

  // Guards against proofs that count as too old although all reads succeed, and against reads that
  // take longer than their proof is of use.
  void bounds_follow_the_time_of_a_read() {
    const base::duration interval = milliseconds(700);
    const base::duration validity = milliseconds(4700);
    const base::duration quick = max_proof_age({interval, milliseconds(300)}, validity);
    const base::duration slow = max_proof_age({interval, milliseconds(700)}, validity);
    CPPUNIT_ASSERT(quick >= interval + milliseconds(2 * 300 + 3 * 100));
    CPPUNIT_ASSERT(slow == quick + milliseconds(800));
    CPPUNIT_ASSERT(max_proof_age({interval, seconds(9)}, validity) < validity);
    CPPUNIT_ASSERT(2 * max_read_time(interval, validity) + interval < validity);
    CPPUNIT_ASSERT(max_read_time(interval, validity) > milliseconds(1400));
  }

  // Guards against a node whose link is kept busy by other nodes that start.
  void transfers_are_limited_at_once_and_per_second() {
    transfer_budget budget({.bytes_per_second = 600'000, .concurrent_transfers = 3});
    int begun = 0;
    for (base::time_point now = start; now < start + seconds(10); now += milliseconds(10)) {
      begun += budget.try_begin(300'000, now) ? 1 : 0;
      CPPUNIT_ASSERT(budget.running(now) <= 3);
    }
    CPPUNIT_ASSERT(begun >= 20 && begun <= 23);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(read_plan_test);

}  // namespace
}  // namespace fuchsiaspring::fleet
