#include "fuchsiaspring/relay/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace fuchsiaspring::relay {
namespace {

const memory_limits small_limits{.bytes = 1000, .reserved_bytes = 600, .waiting_bytes = 30};

class memory_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(memory_budget_test);
  CPPUNIT_TEST(charges_beyond_the_budget_are_refused_and_returned_bytes_are_free_again);
  CPPUNIT_TEST(small_charges_fit_beside_all_reservations);
  CPPUNIT_TEST(waiters_get_their_reservations_in_order);
  CPPUNIT_TEST(reservation_above_the_limit_is_granted_alone);
  CPPUNIT_TEST(those_that_wait_are_limited_by_their_unread_bytes);
  CPPUNIT_TEST(shortage_is_reported_at_its_edges);
  CPPUNIT_TEST(greatest_body_fits_into_the_smallest_vm);
  CPPUNIT_TEST_SUITE_END();

  void charges_beyond_the_budget_are_refused_and_returned_bytes_are_free_again() {
    const auto budget = memory_budget::create(small_limits);
    memory_charge first(budget);
    CPPUNIT_ASSERT(first.try_resize(900));
    memory_charge second(budget);
    CPPUNIT_ASSERT(!second.try_resize(101));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.bytes());
    second.resize(200);  // what exists already is counted
    CPPUNIT_ASSERT_EQUAL(std::size_t{1100}, budget->used_bytes());
    first = memory_charge(budget);
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, budget->used_bytes());
  }

  // Guards against large bodies that keep all other requests out.
  void small_charges_fit_beside_all_reservations() {
    const auto budget = memory_budget::create(small_limits);
    const auto first = budget->try_reserve(300);
    const auto second = budget->try_reserve(300);
    CPPUNIT_ASSERT(first && second);
    CPPUNIT_ASSERT(!budget->try_reserve(1));
    memory_charge small(budget);
    CPPUNIT_ASSERT(small.try_resize(400));
  }

  // Guards against a large body that waits for ever behind smaller ones, and against a grant after
  // the request has ended.
  void waiters_get_their_reservations_in_order() {
    const auto budget = memory_budget::create(small_limits);
    auto held = budget->try_reserve(600);
    std::vector<memory_charge> granted;
    const auto keep = [&granted](memory_charge each) { granted.push_back(std::move(each)); };
    const int owners[3] = {};
    CPPUNIT_ASSERT(budget->wait(&owners[0], 500, 10, keep));
    CPPUNIT_ASSERT(budget->wait(&owners[1], 500, 10, keep));
    CPPUNIT_ASSERT(budget->wait(&owners[2], 100, 10, keep));
    held->resize(200);
    CPPUNIT_ASSERT(granted.empty());
    CPPUNIT_ASSERT(!budget->try_reserve(100));
    budget->stop_waiting(&owners[0]);
    held.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, granted.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, granted.front().bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, budget->used_bytes());
  }

  // Guards against a body within the limits that is never served.
  void reservation_above_the_limit_is_granted_alone() {
    const auto budget = memory_budget::create(small_limits);
    CPPUNIT_ASSERT(budget->try_reserve(5000));
    const auto other = budget->try_reserve(1);
    CPPUNIT_ASSERT(other);
    CPPUNIT_ASSERT(!budget->try_reserve(5000));
  }

  void those_that_wait_are_limited_by_their_unread_bytes() {
    const auto budget = memory_budget::create(small_limits);
    const auto held = budget->try_reserve(600);
    const int owners[4] = {};
    const auto ignore = [](const memory_charge&) {};
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(budget->wait(&owners[i], 100, 10, ignore));
    }
    CPPUNIT_ASSERT(!budget->wait(&owners[3], 100, 10, ignore));
    CPPUNIT_ASSERT_EQUAL(std::size_t{630}, budget->used_bytes());
  }

  void shortage_is_reported_at_its_edges() {
    const auto budget = memory_budget::create(small_limits);
    std::vector<bool> changes;
    budget->set_shortage_handler([&](bool is_short) { changes.push_back(is_short); });
    memory_charge charge(budget);
    charge.resize(990);
    budget->record_refusal();
    budget->record_refusal();
    charge.resize(800);
    CPPUNIT_ASSERT(changes == std::vector<bool>{true});
    charge.resize(700);
    CPPUNIT_ASSERT(changes == (std::vector<bool>{true, false}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, budget->refusals());
  }

  void greatest_body_fits_into_the_smallest_vm() {
    constexpr std::size_t greatest_body = 4'194'304;
    const memory_limits limits = memory_limits::of_process(88);
    CPPUNIT_ASSERT(limits.reserved_bytes > greatest_body);
    CPPUNIT_ASSERT(limits.bytes < 88'000'000);
    CPPUNIT_ASSERT(limits == memory_limits::of_process(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);

}  // namespace
}  // namespace fuchsiaspring::relay
