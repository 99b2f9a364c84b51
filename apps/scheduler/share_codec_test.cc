#include "apps/scheduler/share_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <variant>

namespace fuchsiaspring::scheduler {
namespace {

using limits::message_id;
using limits::view_version;

class share_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(share_codec_test);
  CPPUNIT_TEST(loan_messages_keep_every_field);
  CPPUNIT_TEST(share_messages_keep_every_field);
  CPPUNIT_TEST(message_without_body_is_refused);
  CPPUNIT_TEST_SUITE_END();

  template <typename Body>
  static Body round_trip(const Body& body) {
    schema::ShareMessage copy;
    CPPUNIT_ASSERT(copy.ParseFromString(encode("up", "vm1", body).SerializeAsString()));
    CPPUNIT_ASSERT_EQUAL(std::string("vm1"), copy.sender_vm());
    const auto decoded = decode(copy);
    CPPUNIT_ASSERT(decoded && std::holds_alternative<Body>(*decoded));
    return std::get<Body>(*decoded);
  }

  // Guards against a field that encode() or decode() does not copy.
  void loan_messages_keep_every_field() {
    const message_id first{1, 2};
    const message_id second{3, 4};
    const auto request = round_trip(limits::loan_request{first, {5, 6}, 7, 8, 9});
    CPPUNIT_ASSERT(request.id == first && request.demand_by_tier.size() == 2);
    CPPUNIT_ASSERT(request.spare == 7 && request.lent == 8 && request.held == 9);
    const auto order = round_trip(limits::loan_order{"vm2", first, 5, 6, 7});
    CPPUNIT_ASSERT(order.borrower == "vm2" && order.request == first);
    CPPUNIT_ASSERT(order.credits == 5 && order.tier == 6 && order.held == 7);
    const auto grant =
        round_trip(limits::loan_grant{first, second, 5, std::chrono::milliseconds(1500)});
    CPPUNIT_ASSERT(grant.request == first && grant.loan == second && grant.credits == 5);
    CPPUNIT_ASSERT(grant.lease == std::chrono::milliseconds(1500));
    const auto renewal = round_trip(limits::loan_renewal{first, second, 5});
    CPPUNIT_ASSERT(renewal.request == first && renewal.loan == second && renewal.held == 5);
    const auto returned = round_trip(limits::loan_return{second, 5});
    CPPUNIT_ASSERT(returned.loan == second && returned.returned == 5);
    const auto recall = round_trip(limits::loan_recall{first, second, 5, 6});
    CPPUNIT_ASSERT(recall.request == first && recall.loan == second);
    CPPUNIT_ASSERT(recall.credits == 5 && recall.wanted == 6);
  }

  void share_messages_keep_every_field() {
    const view_version view{1, 2};
    const auto settled = round_trip(
        limits::share_settled{view, 3, 4, true, true, true, true, {"vm2"}, {"vm3", "vm4"}});
    CPPUNIT_ASSERT(settled.view == view && settled.incarnation == 3 && settled.round == 4);
    CPPUNIT_ASSERT(settled.fresh && settled.in_force && settled.has_history && settled.witness);
    CPPUNIT_ASSERT(settled.leavers.size() == 1 && settled.newcomers.size() == 2);
    const auto probe = round_trip(limits::share_probe{view, 5});
    CPPUNIT_ASSERT(probe.view == view && probe.round == 5);
    const auto in_force = round_trip(limits::share_in_force{view, 6, true});
    CPPUNIT_ASSERT(in_force.view == view && in_force.incarnation == 6 && in_force.full_start);
    const auto inquiry = round_trip(limits::loan_inquiry_request{view, 7});
    CPPUNIT_ASSERT(inquiry.view == view && inquiry.incarnation == 7);
    const auto statement = round_trip(limits::loan_statement{view, 8, 9, true, {"vm5"}});
    CPPUNIT_ASSERT(statement.view == view && statement.incarnation == 8 && statement.open == 9);
    CPPUNIT_ASSERT(statement.knows_departed && statement.departed.size() == 1);
  }

  void message_without_body_is_refused() { CPPUNIT_ASSERT(!decode(schema::ShareMessage{})); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_codec_test);

}  // namespace
}  // namespace fuchsiaspring::scheduler
