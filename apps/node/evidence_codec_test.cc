#include "apps/node/evidence_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class evidence_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evidence_codec_test);
  CPPUNIT_TEST(evidence_survives_encoding);
  CPPUNIT_TEST(full_message_fits_into_one_packet);
  CPPUNIT_TEST(ages_out_of_range_are_limited);
  CPPUNIT_TEST_SUITE_END();

  static quarantine::part_evidence make_evidence() {
    return {.part = 0xfedcba9876543210,
            .depth = 2,
            .crashes = {{7, milliseconds(20)}, {0xffffffff, seconds(29)}},
            .completion_age = seconds(3),
            .block_age = seconds(40),
            .request_age = milliseconds(15),
            .trials = 1};
  }

  // Guards against a block or a completion that is lost between nodes.
  void evidence_survives_encoding() {
    quarantine::part_evidence neither_blocked_nor_completed = make_evidence();
    neither_blocked_nor_completed.block_age.reset();
    neither_blocked_nor_completed.completion_age.reset();
    const std::vector<quarantine::part_evidence> evidence{make_evidence(),
                                                          neither_blocked_nor_completed};
    schema::PeerHeartbeat message;
    encode_evidence(evidence, message);
    schema::PeerHeartbeat received;
    CPPUNIT_ASSERT(received.ParseFromString(message.SerializeAsString()));
    CPPUNIT_ASSERT(decode_evidence(received) == evidence);
  }

  // Guards against datagrams that are fragmented, which are lost more easily.
  void full_message_fits_into_one_packet() {
    quarantine::part_evidence large = make_evidence();
    large.crashes.assign(quarantine::quarantine_options{}.max_sent_crashes,
                         {0xffffffff, seconds(30)});
    schema::PeerHeartbeat message;
    encode_evidence(std::vector<quarantine::part_evidence>(8, large), message);
    message.set_vm(std::string(60, 'v'));
    message.set_address("100.100.100.100:65535");
    message.set_failure_domain(std::string(40, 'd'));
    message.set_incarnation(1);
    message.set_sequence(1);
    CPPUNIT_ASSERT(message.ByteSizeLong() <= 1400);
  }

  // Guards against ages that wrap around and make old evidence new.
  void ages_out_of_range_are_limited() {
    quarantine::part_evidence odd = make_evidence();
    odd.crashes = {{1, seconds(-1)}, {2, std::chrono::hours(24 * 365)}};
    schema::PeerHeartbeat message;
    encode_evidence({odd}, message);
    const auto decoded = decode_evidence(message);
    CPPUNIT_ASSERT(decoded[0].crashes[0].age == milliseconds(0));
    CPPUNIT_ASSERT(decoded[0].crashes[1].age == milliseconds(0xffffffff));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evidence_codec_test);

}  // namespace
}  // namespace fuchsiaspring::node_app
