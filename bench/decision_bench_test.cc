#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "bench/engine_model.h"
#include "bench/simulation.h"
#include "bench/workload.h"

namespace fuchsiaspring::bench {
namespace {

constexpr const char* small_workload = R"(
run duration_s=40 warmup_s=10
tier gold rank=0
tier bronze rank=1
pool p upstreams=2 domains=2 slots=4 token_ms=25 slowdown=1 cold_limit=1 cold_s=5
class fast tier=gold pool=p target_ms=1300 floor=50 queue=20 share=0.2 prompt=10 output=20
class slow tier=bronze pool=p target_ms=5000 floor=50 queue=20 share=0.8 prompt=10 output=100
team a share=1
event domain_out pool=p index=1 from=20 to=25 grace_s=1
)";

class decision_bench_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(decision_bench_test);
  CPPUNIT_TEST(engine_token_rate_falls_with_batch_size);
  CPPUNIT_TEST(overloaded_cold_engine_fails_all_its_requests);
  CPPUNIT_TEST(offered_work_follows_the_load);
  CPPUNIT_TEST(same_seed_repeats_the_run_and_each_request_ends_once);
  CPPUNIT_TEST(workload_errors_give_the_line);
  CPPUNIT_TEST_SUITE_END();

  static base::result<workload> parse(const std::string& text) {
    const auto path = std::filesystem::temp_directory_path() / "decision_bench_test_workload.txt";
    std::ofstream(path) << text;
    auto result = load_workload(path.string());
    std::filesystem::remove(path);
    return result;
  }

  // Guards against an engine model whose throughput does not depend on the batch size, which would
  // complete more work than the pool's capacity.
  void engine_token_rate_falls_with_batch_size() {
    pool_spec spec;
    spec.slots = 4;
    engine_pool pool(spec, 0, 100);
    pool.start(0, 1, 0, 10, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.025, pool.next_event(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.advance(0.025).size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, pool.next_event(), 1e-9);
    for (std::uint64_t attempt = 2; attempt <= 4; ++attempt) {
      pool.start(0, attempt, 0, 100, 0.025);
    }
    const double finished = 0.025 + 9 * 0.05;  // a full batch halves the rate
    pool.advance(finished - 0.01);
    CPPUNIT_ASSERT_EQUAL(4, pool.running_requests(0));
    CPPUNIT_ASSERT(pool.advance(finished).back().kind == milestone_kind::finished);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, pool.measured_work(1), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9, pool.measured_work(2), 1e-6);
  }

  // Guards against a cold start without a cost, which would favour schedulers that ignore it.
  void overloaded_cold_engine_fails_all_its_requests() {
    pool_spec spec;
    spec.slots = 4;
    spec.cold_limit = 2;
    engine_pool pool(spec, 0, 100);
    pool.start(0, 1, 0, 10, 0);
    pool.restart(0, 0.01);
    CPPUNIT_ASSERT(pool.advance(0.01).front().kind == milestone_kind::failed);
    pool.start(0, 2, 0, 10, 0.02);
    pool.start(0, 3, 0, 10, 0.02);
    CPPUNIT_ASSERT(pool.advance(0.02).empty());
    pool.start(0, 4, 0, 10, 0.03);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pool.advance(0.03).size());
    CPPUNIT_ASSERT_EQUAL(0, pool.running_requests(0));
  }

  // Guards against arrivals that offer another load than the one reported.
  void offered_work_follows_the_load() {
    workload source = parse(small_workload).value();
    source.duration_s = 1000;  // enough arrivals to keep random variation well below the tolerance
    for (const double load : {0.5, 4.0}) {
      double work = 0;
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const arrival& item : generate(source, load, seed)) {
          work += item.output_tokens;
        }
      }
      const double offered = work / 5 / source.duration_s / source.capacity();
      CPPUNIT_ASSERT_DOUBLES_EQUAL(load, offered, 0.1 * load);
    }
  }

  // Guards against requests that the simulation loses or counts twice, which would falsify every
  // metric, and against runs that are not reproducible.
  void same_seed_repeats_the_run_and_each_request_ends_once() {
    const workload source = parse(small_workload).value();
    for (const scheduler_kind kind : {scheduler_kind::fuchsia, scheduler_kind::round_robin_fifo,
                                      scheduler_kind::priority_least_requests}) {
      const auto arrivals = generate(source, 2, 7);
      const run_result first = simulate(source, arrivals, kind, 7);
      const run_result second = simulate(source, arrivals, kind, 7);
      CPPUNIT_ASSERT_EQUAL(first.good_work, second.good_work);
      CPPUNIT_ASSERT(first.good_work <= first.total_work);
      CPPUNIT_ASSERT(first.total_work <= source.capacity() * 30);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.recoveries.size());
      std::uint64_t offered = 0;
      for (const class_result& result : first.classes) {
        offered += result.offered;
        CPPUNIT_ASSERT_EQUAL(result.offered, result.in_time + result.refused + result.abandoned +
                                                 result.late + result.failed);
      }
      const auto expected = std::ranges::count_if(
          arrivals, [&](const arrival& item) { return item.time_s >= source.warmup_s; });
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(expected), offered);
    }
  }

  // Guards against a misspelled key or keyword that is silently ignored.
  void workload_errors_give_the_line() {
    const auto unknown = parse("tier gold rank=0\npool p slot=3\n");
    CPPUNIT_ASSERT(!unknown);
    CPPUNIT_ASSERT(unknown.error().message.find(":2: unknown key 'slot'") != std::string::npos);
    CPPUNIT_ASSERT(!parse("class c pool=absent\n"));
    CPPUNIT_ASSERT(!parse("event flood from=3\n"));
    CPPUNIT_ASSERT(!load_workload("absent.txt"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_bench_test);

}  // namespace
}  // namespace fuchsiaspring::bench
