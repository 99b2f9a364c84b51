#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "standins/config/published_value.h"
#include "standins/engine/engine_settings.h"
#include "standins/engine/response.h"
#include "standins/engine/slot_queue.h"
#include "standins/service/run_counter.h"

namespace fuchsiaspring::standins {
namespace {

using std::chrono::milliseconds;

bool never_closed() {
  return false;
}

class standins_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(standins_test);
  CPPUNIT_TEST(full_queue_rejects_request);
  CPPUNIT_TEST(lower_priority_number_runs_first);
  CPPUNIT_TEST(disconnected_caller_is_removed_from_queue);
  CPPUNIT_TEST(output_length_does_not_depend_on_order);
  CPPUNIT_TEST(words_contain_request_id_and_position);
  CPPUNIT_TEST(invalid_control_changes_nothing);
  CPPUNIT_TEST(counter_lists_keys_executed_twice);
  CPPUNIT_TEST(stale_value_hides_newer_one);
  CPPUNIT_TEST_SUITE_END();

  void full_queue_rejects_request() {
    slot_queue slots(1, 0);
    auto first = slots.acquire(0, never_closed);
    CPPUNIT_ASSERT(std::holds_alternative<slot_lease>(first));
    CPPUNIT_ASSERT(std::holds_alternative<queue_full>(slots.acquire(0, never_closed)));
    std::get<slot_lease>(first).release();
    CPPUNIT_ASSERT(std::holds_alternative<slot_lease>(slots.acquire(0, never_closed)));
  }

  // Guards against an engine stand-in that ignores X-Priority, with which tests could not tell
  // tiers apart.
  void lower_priority_number_runs_first() {
    slot_queue slots(1, 2);
    auto running = slots.acquire(0, never_closed);
    std::mutex mutex;
    std::vector<int> order;
    const auto wait_with = [&](int priority) {
      auto outcome = slots.acquire(priority, never_closed);
      const std::lock_guard lock(mutex);
      order.push_back(priority);
    };
    std::thread low(wait_with, 5);
    while (slots.queued() < 1) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    std::thread high(wait_with, 1);
    while (slots.queued() < 2) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    std::get<slot_lease>(running).release();
    low.join();
    high.join();
    CPPUNIT_ASSERT_EQUAL(1, order.at(0));
    CPPUNIT_ASSERT_EQUAL(5, order.at(1));
    CPPUNIT_ASSERT_EQUAL(0, slots.running());
  }

  // Guards against a slot leak when a caller disconnects while it is queued.
  void disconnected_caller_is_removed_from_queue() {
    slot_queue slots(1, 1);
    auto running = slots.acquire(0, never_closed);
    CPPUNIT_ASSERT(
        std::holds_alternative<caller_disconnected>(slots.acquire(0, [] { return true; })));
    CPPUNIT_ASSERT_EQUAL(0, slots.queued());
    std::get<slot_lease>(running).release();
    CPPUNIT_ASSERT_EQUAL(0, slots.running());
  }

  // Guards against output lengths that vary with the arrival order, with which runs of one seed
  // could not be compared.
  void output_length_does_not_depend_on_order() {
    const auto first = draw_output_length(7, "a", 64, 0.6, 8192);
    draw_output_length(7, "b", 64, 0.6, 8192);
    CPPUNIT_ASSERT_EQUAL(first, draw_output_length(7, "a", 64, 0.6, 8192));
    double sum = 0;
    for (int index = 0; index < 1000; ++index) {
      sum += std::log(draw_output_length(7, std::to_string(index), 64, 0.6, 8192));
    }
    // ln 64 = 4.16; the standard error of the mean is 0.6 / sqrt(1000) = 0.019.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(64.0), sum / 1000, 0.1);
  }

  void words_contain_request_id_and_position() {
    response_plan plan;
    plan.request_id = "r";
    plan.tokens = 3;
    CPPUNIT_ASSERT_EQUAL(std::string("r.2/3 "), response_word(plan, 2));
    CPPUNIT_ASSERT(response_body(plan).find("r.1/3 r.2/3 r.3/3 ") != std::string::npos);
    CPPUNIT_ASSERT(closing_events(plan).ends_with("data: [DONE]\n\n"));
  }

  // Guards against control calls that are applied in part when a later field is invalid.
  void invalid_control_changes_nothing() {
    engine_settings settings;
    const auto fields = nlohmann::json::parse(R"({"slots": 3, "token_ms": "fast"})");
    CPPUNIT_ASSERT_EQUAL(std::string("token_ms"), apply_fields(fields, settings));
    CPPUNIT_ASSERT_EQUAL(8, settings.slots);
    CPPUNIT_ASSERT_EQUAL(std::string(), apply_fields({{"slots", 3}}, settings));
    CPPUNIT_ASSERT_EQUAL(3, settings.slots);
  }

  void counter_lists_keys_executed_twice() {
    run_counter counter;
    counter.record_run("a");
    counter.record_run("b");
    counter.record_run("a");
    counter.record_run("");
    const auto report = counter.to_json();
    CPPUNIT_ASSERT_EQUAL(4, report["runs"].get<int>());
    CPPUNIT_ASSERT_EQUAL(1, report["doubles"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), report["doubled_keys"][0].get<std::string>());
    CPPUNIT_ASSERT(counter.first_run_ordinal("a") == 1U);
    CPPUNIT_ASSERT(!counter.first_run_ordinal("c"));
  }

  // Guards against a stale configuration service that still publishes new versions.
  void stale_value_hides_newer_one() {
    const auto path = std::filesystem::temp_directory_path() /
                      ("standins_test-" + std::to_string(::getpid()) + ".txt");
    const auto write = [&path](const std::string& text) { std::ofstream(path) << text; };
    published_value value(path.string(), [](const std::string& text) {
      return std::optional(versioned_bytes{std::stoull(text), text});
    });
    const auto soon = [] { return base::boot_clock::now() + milliseconds(20); };
    write("1");
    value.reload(true);
    CPPUNIT_ASSERT(value.wait_for_newer(0, soon(), [] { return true; })->version == 1);
    value.set_stale(true);
    write("2");
    value.reload(true);
    CPPUNIT_ASSERT(!value.wait_for_newer(1, soon(), [] { return true; }));
    value.set_stale(false);
    CPPUNIT_ASSERT(value.wait_for_newer(1, soon(), [] { return true; })->version == 2);
    std::filesystem::remove(path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(standins_test);

}  // namespace
}  // namespace fuchsiaspring::standins
