#include "apps/node/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/post.hpp>
#include <stdexcept>

namespace fuchsiaspring::node_app {
namespace {

class event_loop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_loop_test);
  CPPUNIT_TEST(exception_of_a_handler_does_not_end_the_loop);
  CPPUNIT_TEST_SUITE_END();

  // Guards against one unexpected error that ends the process and with it all other requests.
  void exception_of_a_handler_does_not_end_the_loop() {
    boost::asio::io_context io;
    telemetry::event_log log("vm", {});
    telemetry::metrics metrics;
    bool is_next_handler_called = false;
    boost::asio::post(io, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(io, [&] { is_next_handler_called = true; });
    run_event_loop(io, log, metrics);
    CPPUNIT_ASSERT(is_next_handler_called);
    CPPUNIT_ASSERT(metrics.text().find("fuchsia_handler_failures_total 1") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_loop_test);

}  // namespace
}  // namespace fuchsiaspring::node_app
