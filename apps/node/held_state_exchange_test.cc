#include "apps/node/held_state_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include "platform/configuration.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::seconds;

class held_state_exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(held_state_exchange_test);
  CPPUNIT_TEST(held_state_survives_encoding);
  CPPUNIT_TEST(malformed_bytes_are_refused);
  CPPUNIT_TEST_SUITE_END();

  static node::held_state make_held() {
    const std::string text = R"({"version":5,"tenants":[{"name":"t","api-keys":["k"]}]})";
    return {.version = {2, 90},
            .config = node::held_config{.config = *platform::decode_configuration(text),
                                        .text = text,
                                        .version = {std::nullopt, 100},
                                        .age = seconds(3)},
            .departures = {{.replica = "r",
                            .started_at_ms = 7,
                            .has_drained = true,
                            .is_gone = true,
                            .age = seconds(4),
                            .is_contradicted = true}},
            .evacuations = {{.failure_domain = "a", .remaining = seconds(2)},
                            {.failure_domain = "b", .remaining = {}}}};
  }

  // Guards against a departure, an evacuation or a key that is lost between nodes.
  void held_state_survives_encoding() {
    const auto decoded = decode_held_state(encode_held_state(make_held()));
    CPPUNIT_ASSERT(decoded && decoded.value() == make_held());
  }

  // Guards against a malformed configuration of a peer that passes for a newer one.
  void malformed_bytes_are_refused() {
    CPPUNIT_ASSERT(!decode_held_state("x"));
    node::held_state held = make_held();
    held.config->config.version = 6;
    CPPUNIT_ASSERT(!decode_held_state(encode_held_state(held)));
    held.config->text = "{";
    CPPUNIT_ASSERT(!decode_held_state(encode_held_state(held)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(held_state_exchange_test);

}  // namespace
}  // namespace fuchsiaspring::node_app
