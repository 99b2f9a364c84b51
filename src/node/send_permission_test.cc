#include <cppunit/extensions/HelperMacros.h>

#include "fuchsiaspring/node/send_permission.h"

namespace fuchsiaspring::node {
namespace {

class send_permission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(send_permission_test);
  CPPUNIT_TEST(reasons_that_apply_to_all_replicas_take_precedence);
  CPPUNIT_TEST(public_route_needs_no_configuration_lease);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a request with a revoked key that is retried at every replica.
  void reasons_that_apply_to_all_replicas_take_precedence() {
    send_conditions conditions{.needs_key = true,
                               .is_config_lease_valid = false,
                               .key = key_state::revoked,
                               .is_prompt_allowed = false,
                               .is_replica_eligible = false};
    conditions.is_before_deadline = false;
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::expired);
    conditions.is_before_deadline = true;
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::config_outdated);
    conditions.is_config_lease_valid = true;
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::key_revoked);
    conditions.key = key_state::reassigned;
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::key_reassigned);
    conditions.key = key_state::valid;
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::prompt_blocked);
    conditions.is_prompt_allowed = true;
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::replica_left);
    conditions.is_replica_eligible = true;
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::granted);
  }

  // Guards against public routes that fail while the lease on the configuration is invalid.
  void public_route_needs_no_configuration_lease() {
    const send_conditions conditions{
        .needs_key = false, .is_config_lease_valid = false, .key = key_state::revoked};
    CPPUNIT_ASSERT(check_send(conditions) == send_permission::granted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(send_permission_test);

}  // namespace
}  // namespace fuchsiaspring::node
