#include "fuchsiaspring/node/config_claims.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fuchsiaspring::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr base::time_point later = start + seconds(60);

class config_claims_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_claims_test);
  CPPUNIT_TEST(first_state_waits_for_a_peer_that_holds_one);
  CPPUNIT_TEST(fleet_that_starts_as_a_whole_waits_for_a_bounded_time);
  CPPUNIT_TEST(service_without_eras_is_not_waited_for);
  CPPUNIT_TEST(node_that_asked_nobody_is_settled_late);
  CPPUNIT_TEST(later_read_with_a_lower_version_proves_nothing);
  CPPUNIT_TEST(earlier_read_does_not_contradict_a_peer);
  CPPUNIT_TEST(higher_versions_are_asked_for_at_once_after_a_return);
  CPPUNIT_TEST(peer_is_asked_once_after_a_return);
  CPPUNIT_TEST(false_claims_delay_proofs_for_moments_only);
  CPPUNIT_TEST(silent_peer_is_replaced_by_another_one);
  CPPUNIT_TEST_SUITE_END();

  base::random_source m_random{1};

  // Of a node that has used its first state after a peer's answer.
  config_claims settled_claims() {
    config_claims claims(start, true);
    claims.record("first", {1, true}, start);
    claims.on_answer("first", true, start);
    claims.check({1, start}, m_random, start);
    claims.forget("first");
    return claims;
  }

  // Guards against a node that starts after the service came back older and serves revoked keys.
  void first_state_waits_for_a_peer_that_holds_one() {
    config_claims claims(start, true);
    CPPUNIT_ASSERT(!claims.check({3, start}, m_random, start).may_use);
    claims.record("a", {0, true}, start);  // has just started as well
    claims.record("b", {3, true}, start);
    claims.record("c", {5, true}, start);
    const claim_verdict verdict = claims.check({3, start}, m_random, start);
    CPPUNIT_ASSERT(!verdict.may_use && verdict.ask == "c");
    claims.on_answer("c", true, start);
    CPPUNIT_ASSERT(claims.check({5, start}, m_random, start).may_prove);
  }

  // Guards against nodes that wait for each other, and for peers that do not exist.
  void fleet_that_starts_as_a_whole_waits_for_a_bounded_time() {
    for (const bool has_seeds : {true, false}) {
      config_claims claims(start, has_seeds);
      claims.record("a", {0, true}, start);
      const base::time_point end =
          start + (has_seeds ? config_claims::max_wait : config_claims::max_wait_without_seeds);
      CPPUNIT_ASSERT(!claims.check({3, start}, m_random, end - milliseconds(1)).may_use);
      CPPUNIT_ASSERT(claims.check({3, start}, m_random, end).may_prove);
    }
  }

  // Guards against starts that wait although the service loses nothing, and against one that
  // ignores a peer which knows better all the same.
  void service_without_eras_is_not_waited_for() {
    config_claims claims(start, true);
    CPPUNIT_ASSERT(claims.check({3, start, false}, m_random, start).may_prove);
    claims.record("a", {5, true}, start);
    const claim_verdict verdict = claims.check({3, start, false}, m_random, start);
    CPPUNIT_ASSERT(!verdict.may_prove && verdict.ask == "a");
  }

  // Guards against a started node that passes on the copy to the next one that starts.
  void node_that_asked_nobody_is_settled_late() {
    config_claims claims(start, true);
    const base::time_point end = start + config_claims::eager_time;
    CPPUNIT_ASSERT(!claims.check({3, start}, m_random, end - milliseconds(1)).is_settled);
    CPPUNIT_ASSERT(claims.check({3, start}, m_random, end).is_settled);
    config_claims informed(start, true);
    informed.record("b", {3, false}, start);
    CPPUNIT_ASSERT(!informed.check({3, start}, m_random, start).ask);
    informed.record("a", {3, true}, start);
    informed.on_answer("a", true, start);
    CPPUNIT_ASSERT(informed.check({3, start}, m_random, start).is_settled);
  }

  // Guards against a running node that missed a revocation and reads the older copy.
  void later_read_with_a_lower_version_proves_nothing() {
    config_claims claims = settled_claims();
    claims.record("a", {5, true}, later);
    const claim_verdict verdict = claims.check({3, later + milliseconds(1)}, m_random, later);
    CPPUNIT_ASSERT(verdict.may_use && !verdict.may_prove && verdict.ask == "a");
    CPPUNIT_ASSERT(claims.check({5, later + milliseconds(1)}, m_random, later).may_prove);
  }

  // Guards against questions to peers at every change of the configuration.
  void earlier_read_does_not_contradict_a_peer() {
    config_claims claims = settled_claims();
    claims.record("a", {5, true}, later);
    const claim_verdict verdict = claims.check({3, later - milliseconds(1)}, m_random, later);
    CPPUNIT_ASSERT(verdict.may_prove && !verdict.ask);
  }

  // Guards against revoked keys that are accepted until the next read.
  void higher_versions_are_asked_for_at_once_after_a_return() {
    config_claims claims = settled_claims();
    claims.on_return(later);
    claims.record("a", {5, true}, later);
    CPPUNIT_ASSERT(claims.check({3, later - milliseconds(1)}, m_random, later).ask == "a");
  }

  // Guards against replicas that left while the node was cut off before the return.
  void peer_is_asked_once_after_a_return() {
    config_claims claims = settled_claims();
    claims.record("a", {3, true}, later);
    claims.on_answer("a", true, later);
    CPPUNIT_ASSERT(!claims.check({3, later}, m_random, later).ask);
    claims.on_return(later);
    const claim_verdict verdict = claims.check({3, later}, m_random, later);
    CPPUNIT_ASSERT(verdict.may_prove && verdict.ask == "a");
    claims.on_answer("a", true, later);
    CPPUNIT_ASSERT(!claims.check({3, later}, m_random, later).ask);
  }

  // Guards against a fleet that stops because one node states a version that never was.
  void false_claims_delay_proofs_for_moments_only() {
    config_claims claims = settled_claims();
    claims.record("a", {1'000'000, true}, later);
    const proved_config held{3, later + milliseconds(1)};
    CPPUNIT_ASSERT(!claims.check(held, m_random, later).may_prove);
    claims.on_answer("a", false, later);
    CPPUNIT_ASSERT(claims.check(held, m_random, later).may_prove);

    claims.record("b", {1'000'001, true}, later);  // and never answers
    CPPUNIT_ASSERT(!claims.check(held, m_random, later).may_prove);
    const base::time_point end = later + config_claims::max_wait;
    claims.record("b", {1'000'002, true}, end - milliseconds(1));
    const claim_verdict verdict = claims.check(held, m_random, end);
    CPPUNIT_ASSERT(verdict.may_prove || !claims.check(held, m_random, end).ask);
    const base::time_point trusted_again = later + config_claims::distrust_time;
    CPPUNIT_ASSERT(claims.check(held, m_random, trusted_again - milliseconds(1)).may_prove);
  }

  // Guards against a start that waits for a peer which is suspended.
  void silent_peer_is_replaced_by_another_one() {
    config_claims claims(start, true);
    claims.record("a", {5, true}, start);
    claims.record("b", {3, true}, start);
    CPPUNIT_ASSERT(claims.check({3, start}, m_random, start).ask == "a");
    claims.on_no_answer("a", start);
    claims.forget("a");
    CPPUNIT_ASSERT(claims.check({3, start}, m_random, start).ask == "b");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_claims_test);

}  // namespace
}  // namespace fuchsiaspring::node
