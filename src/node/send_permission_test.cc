#include <cppunit/extensions/HelperMacros.h>

#include "fuchsiaspring/node/send_permission.h"

namespace fuchsiaspring::node {
namespace {

class send_permission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(send_permission_test);
  CPPUNIT_TEST(objections_that_hold_for_all_replicas_go_first);
  CPPUNIT_TEST(public_route_needs_no_proof);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a request with a revoked key that is tried at one replica after the other.
  void objections_that_hold_for_all_replicas_go_first() {
    send_situation situation{.needs_key = true,
                             .is_config_proved = false,
                             .is_key_known = false,
                             .is_replica_eligible = false};
    situation.is_time_left = false;
    CPPUNIT_ASSERT(check_send(situation) == send_permission::expired);
    situation.is_time_left = true;
    CPPUNIT_ASSERT(check_send(situation) == send_permission::config_outdated);
    situation.is_config_proved = true;
    CPPUNIT_ASSERT(check_send(situation) == send_permission::key_revoked);
    situation.is_key_known = true;
    CPPUNIT_ASSERT(check_send(situation) == send_permission::replica_left);
    situation.is_replica_eligible = true;
    CPPUNIT_ASSERT(check_send(situation) == send_permission::granted);
  }

  void public_route_needs_no_proof() {
    const send_situation situation{
        .needs_key = false, .is_config_proved = false, .is_key_known = false};
    CPPUNIT_ASSERT(check_send(situation) == send_permission::granted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(send_permission_test);

}  // namespace
}  // namespace fuchsiaspring::node
