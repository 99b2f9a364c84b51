#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "apps/load/load_plan.h"
#include "apps/load/outcome.h"
#include "apps/load/plan_reader.h"
#include "apps/load/report.h"
#include "apps/load/response_verifier.h"

namespace fuchsiaspring::load {
namespace {

std::string chunk(const std::string& id, const std::string& text) {
  return R"({"id":")" + id + R"(","choices":[{"index":0,"delta":{"content":")" + text + R"("}}]})";
}

load_plan two_target_plan() {
  load_plan plan;
  plan.targets = {"http://127.0.0.1:1", "http://127.0.0.1:2"};
  plan.rate = 200;
  plan.duration_s = 10;
  mix_entry entry;
  entry.name = "filings";
  entry.keys = key_kind::uuid7;
  entry.duplicates = 0.5;
  plan.mix.push_back(entry);
  return plan;
}

class load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_test);
  CPPUNIT_TEST(complete_response_is_accepted);
  CPPUNIT_TEST(response_to_another_request_is_corrupt);
  CPPUNIT_TEST(missing_word_before_done_is_corrupt);
  CPPUNIT_TEST(response_without_done_is_incomplete);
  CPPUNIT_TEST(changed_response_id_is_corrupt);
  CPPUNIT_TEST(same_seed_gives_same_schedule);
  CPPUNIT_TEST(poisson_schedule_has_the_planned_rate);
  CPPUNIT_TEST(duplicates_go_to_another_target);
  CPPUNIT_TEST(invalid_mix_field_is_rejected);
  CPPUNIT_TEST(quantile_is_nearest_rank);
  CPPUNIT_TEST(late_response_misses_its_target);
  CPPUNIT_TEST_SUITE_END();

  void complete_response_is_accepted() {
    response_verifier verifier;
    CPPUNIT_ASSERT(verifier.add_event(chunk("a", "r.1/2 ")) == event_result::has_words);
    verifier.add_event(chunk("a", "r.2/2 "));
    verifier.add_event("[DONE]");
    CPPUNIT_ASSERT(verifier.verdict("r") == response_verdict::complete);
    CPPUNIT_ASSERT_EQUAL(2U, verifier.words());
  }

  // Guards against counting a response meant for another caller as a success.
  void response_to_another_request_is_corrupt() {
    response_verifier verifier;
    verifier.add_event(chunk("a", "q.1/1 "));
    verifier.add_event("[DONE]");
    CPPUNIT_ASSERT(verifier.verdict("r") == response_verdict::corrupt);
  }

  // Guards against a router that loses chunks and still ends the stream with [DONE].
  void missing_word_before_done_is_corrupt() {
    response_verifier gap;
    gap.add_event(chunk("a", "r.1/3 "));
    gap.add_event(chunk("a", "r.3/3 "));
    gap.add_event("[DONE]");
    CPPUNIT_ASSERT(gap.verdict("r") == response_verdict::corrupt);
    response_verifier short_end;
    short_end.add_event(chunk("a", "r.1/3 "));
    short_end.add_event("[DONE]");
    CPPUNIT_ASSERT(short_end.verdict("r") == response_verdict::corrupt);
  }

  void response_without_done_is_incomplete() {
    response_verifier verifier;
    verifier.add_event(chunk("a", "r.1/3 "));
    CPPUNIT_ASSERT(verifier.verdict("r") == response_verdict::incomplete);
  }

  // Guards against a retry whose response is appended to a stream that the caller has begun to
  // receive.
  void changed_response_id_is_corrupt() {
    response_verifier verifier;
    verifier.add_event(chunk("a", "r.1/2 "));
    verifier.add_event(chunk("b", "r.2/2 "));
    verifier.add_event("[DONE]");
    CPPUNIT_ASSERT(verifier.verdict("r") == response_verdict::corrupt);
  }

  void same_seed_gives_same_schedule() {
    const auto plan = two_target_plan();
    const auto first = make_schedule(plan, 1000);
    const auto second = make_schedule(plan, 1000);
    CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
      CPPUNIT_ASSERT(first[index].offset == second[index].offset);
      CPPUNIT_ASSERT_EQUAL(first[index].key, second[index].key);
    }
  }

  void poisson_schedule_has_the_planned_rate() {
    auto plan = two_target_plan();
    plan.mix[0].duplicates = 0;
    // 2,000 expected arrivals; five standard deviations are 224.
    const auto size = make_schedule(plan, 1000).size();
    CPPUNIT_ASSERT(size > 1776 && size < 2224);
  }

  // Guards against duplicates sent to the same VM, which a check local to the VM would detect.
  void duplicates_go_to_another_target() {
    std::map<std::string, std::vector<std::size_t>> targets;
    for (const arrival& each : make_schedule(two_target_plan(), 1000)) {
      targets[each.key].push_back(each.target);
    }
    std::size_t repeated = 0;
    for (const auto& [key, found] : targets) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{36}, key.size());
      CPPUNIT_ASSERT_EQUAL('7', key[14]);
      if (found.size() > 1) {
        ++repeated;
        CPPUNIT_ASSERT(found[0] != found[1]);
      }
    }
    CPPUNIT_ASSERT(repeated > targets.size() / 3);
  }

  void invalid_mix_field_is_rejected() {
    load_plan plan;
    CPPUNIT_ASSERT(!add_mix_entry("name=a,colour=red", plan));
    CPPUNIT_ASSERT(!add_mix_entry("weight=-1", plan));
    CPPUNIT_ASSERT(add_mix_entry("name=a,stream=false,keys=uuid7", plan).has_value());
    CPPUNIT_ASSERT(!plan.mix.at(0).stream);
  }

  void quantile_is_nearest_rank() {
    std::vector<float> values = {5, 1, 4, 2, 3};
    CPPUNIT_ASSERT_EQUAL(3.0, quantile(values, 0.5));
    CPPUNIT_ASSERT_EQUAL(5.0, quantile(values, 0.99));
  }

  void late_response_misses_its_target() {
    mix_entry entry;
    entry.first_token_ms = 100;
    request_outcome outcome;
    outcome.kind = outcome_kind::ok;
    outcome.first_token_ms = 99;
    CPPUNIT_ASSERT(meets_targets(outcome, entry));
    outcome.first_token_ms = 101;
    CPPUNIT_ASSERT(!meets_targets(outcome, entry));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_test);

}  // namespace
}  // namespace fuchsiaspring::load
