#include "fuchsiaspring/node/store_version.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;

constexpr base::time_point start{std::chrono::seconds(1000)};

class store_version_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_version_test);
  CPPUNIT_TEST(era_precedes_revision);
  CPPUNIT_TEST(late_answer_of_the_old_era_is_older);
  CPPUNIT_TEST(newer_proof_overrules_a_higher_era);
  CPPUNIT_TEST(missing_era_is_that_of_the_held_state);
  CPPUNIT_TEST_SUITE_END();

  static answer_order order(const store_version& held, const store_version& answer,
                            milliseconds later_by = milliseconds(0)) {
    return compare(proved_version{held, start}, {answer, start + later_by});
  }

  static void expect(answer_order expected, answer_order actual) {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(actual));
  }

  // Guards against a state of the new era that is refused until its revision has caught up.
  void era_precedes_revision() {
    CPPUNIT_ASSERT((store_version{2, 1} > store_version{1, 9}));
    CPPUNIT_ASSERT((store_version{2, 1} < store_version{2, 2}));
    CPPUNIT_ASSERT((store_version{{}, 9} < store_version{0, 1}));
    expect(answer_order::follows, compare({}, {{1, 5}, start}));
    expect(answer_order::follows, order({1, 5}, {1, 5}));
    expect(answer_order::returned, order({1, 9}, {2, 3}));
    // Its read may have begun before that of the held state.
    expect(answer_order::returned, order({1, 9}, {2, 3}, milliseconds(-900)));
  }

  // Guards against nodes that go back and forth between two eras.
  void late_answer_of_the_old_era_is_older() {
    for (const int ms : {-5000, 0, 900}) {
      expect(answer_order::older, order({2, 3}, {1, 9}, milliseconds(ms)));
      expect(answer_order::older, order({2, 3}, {2, 2}, milliseconds(ms)));
    }
  }

  // Guards against a fleet that refuses a store for ever, because one header was too high or the
  // store numbers anew.
  void newer_proof_overrules_a_higher_era() {
    expect(answer_order::renumbered, order({7, 3}, {1, 9}, milliseconds(1600)));
    expect(answer_order::renumbered, order({7, 9}, {7, 3}, milliseconds(1600)));
    // A peer that has not noticed does not take the node back.
    expect(answer_order::older, order({1, 9}, {7, 3}, milliseconds(-1600)));
  }

  // Guards against a missing or malformed header that counts as a return.
  void missing_era_is_that_of_the_held_state() {
    expect(answer_order::follows, order({2, 3}, {{}, 4}));
    expect(answer_order::older, order({2, 3}, {{}, 2}));
    expect(answer_order::renumbered, order({2, 3}, {{}, 2}, milliseconds(1600)));
    CPPUNIT_ASSERT((store_version{2, 4} ==
                    adopted_version(proved_version{{2, 3}, start}, store_version{{}, 4})));
    // The header appears: with a fallen revision the store has come back.
    expect(answer_order::follows, order({{}, 3}, {1, 4}));
    expect(answer_order::returned, order({{}, 3}, {1, 2}));
    expect(answer_order::follows, order({{}, 3}, {{}, 4}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_version_test);

}  // namespace
}  // namespace fuchsiaspring::node
