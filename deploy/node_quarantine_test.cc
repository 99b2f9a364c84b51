// End-to-end tests of a fleet whose replicas end: because of a part of the prompt, or without one.
#include <map>
#include <set>

#include "deploy/crashing_replica.h"
#include "deploy/node_fixture.h"
#include "deploy/prompt_load.h"

namespace fuchsiaspring::deploy_test {
namespace {

constexpr std::size_t node_count = 4;
constexpr std::size_t replica_count = 8;
constexpr double sound_per_s = 60;
constexpr double harmful_per_s = 6;
const std::string harmful_part = "bad0c0de";

// The required bounds: after this many crashes, and this time to detect the part and tell all
// nodes of it, at most so many requests with the part reach replicas.
constexpr std::size_t crashes_before_block = 5;
constexpr seconds detection_time{3};
constexpr std::size_t max_arrivals_after_block = 3;
// From this time after the last of these crashes the fleet serves the sound requests again.
constexpr seconds recovery_time{6};
constexpr seconds rack_recovery_time{3};
constexpr double min_complete_share = 0.9;

class node_quarantine_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_quarantine_test);
  CPPUNIT_TEST(part_that_crashes_replicas_is_blocked_on_all_nodes);
  CPPUNIT_TEST(part_that_crashes_replicas_in_bursts_is_blocked);
  CPPUNIT_TEST(node_started_later_learns_of_the_blocked_part);
  CPPUNIT_TEST(lost_rack_blocks_no_part);
  CPPUNIT_TEST(crashes_without_a_common_part_block_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    m_readiness_probe.reset();
    m_load.reset();
    m_fleet.reset();
    node_fixture::tearDown();
  }

 private:
  // Guards against a fleet that loses its replicas one after the other to requests that each node
  // repeats, and against a refusal of the sound requests that share the other parts.
  void part_that_crashes_replicas_is_blocked_on_all_nodes() {
    start_fleet(4101);
    run_load({.sound_per_s = sound_per_s}, seconds(1));
    run_load({.sound_per_s = sound_per_s, .harmful_per_s = harmful_per_s}, seconds(11));
    finish_load();
    expect_crashes();
    expect_answers();
    const auto blocked = block_crash() + detection_time;
    expect(harmful_arrivals(blocked) <= max_arrivals_after_block,
           "requests with the part reach replicas after it must be blocked");
    expect_sound_served(block_crash() + recovery_time);
  }

  // Guards against a burst of requests whose crashes count as one, and push those of earlier bursts
  // out of the evidence.
  void part_that_crashes_replicas_in_bursts_is_blocked() {
    constexpr int bursts = 4;
    constexpr int requests_in_burst = 5;
    start_fleet(4105);
    run_load({.sound_per_s = sound_per_s}, seconds(2));
    for (int i = 0; i < bursts; ++i) {
      m_load->send_harmful_burst(requests_in_burst);
      run_load({.sound_per_s = sound_per_s}, seconds(5));
    }
    finish_load();
    expect_crashes();
    expect_answers();
    expect(harmful_arrivals(block_crash() + detection_time) <= max_arrivals_after_block,
           "bursts of requests with the part reach replicas after it must be blocked");
    expect_sound_served(block_crash() + recovery_time);
  }

  // Guards against a started node that lets requests with the part through because only the other
  // nodes have seen the crashes.
  void node_started_later_learns_of_the_blocked_part() {
    start_fleet(4102);
    run_load({.sound_per_s = sound_per_s}, seconds(1));
    run_load_until({.sound_per_s = sound_per_s, .harmful_per_s = harmful_per_s}, seconds(4),
                   [this] { return m_fleet->record().crashes.size() >= crashes_before_block; });
    expect_crashes();
    const auto kill_at = block_crash() + detection_time + milliseconds(500);
    run_load_until({.sound_per_s = sound_per_s, .harmful_per_s = harmful_per_s}, seconds(5),
                   [&] { return steady_clock::now() >= kill_at; });
    kill_and_start_last_node();
    run_load({.sound_per_s = sound_per_s, .harmful_per_s = harmful_per_s},
             detection_time + seconds(3));
    finish_load();
    expect_answers();
    expect_harmful_requests_at_started_node();
    expect_block_holds_after_restart(block_crash() + detection_time);
    expect_sound_served(block_crash() + recovery_time);
  }

  // Guards against a part that is taken for the cause because all requests of a lost rack had it.
  void lost_rack_blocks_no_part() {
    start_fleet(4103);
    run_load({.sound_per_s = sound_per_s}, seconds(2));
    const auto lost_at = steady_clock::now();
    m_fleet->end_rack(replica_count / 2);
    run_load({.sound_per_s = sound_per_s}, rack_recovery_time + seconds(3));
    finish_load();
    expect_answers();
    expect_nothing_blocked();
    expect_sound_served(lost_at + rack_recovery_time);
  }

  // Guards against a part that is taken for the cause because it is in most of the traffic.
  void crashes_without_a_common_part_block_nothing() {
    constexpr int crashes = 6;
    constexpr milliseconds crash_interval{700};
    start_fleet(4104);
    run_load({.sound_per_s = sound_per_s}, seconds(1));
    base::random_source random(m_seed);
    for (int i = 0; i < crashes; ++i) {
      const milliseconds until_crash(random.uniform_below(crash_interval.count()));
      run_load({.sound_per_s = sound_per_s}, until_crash);
      const bool has_ended = run_load_until({.sound_per_s = sound_per_s}, seconds(1),
                                            [this] { return m_fleet->end_one_that_answers(); });
      expect(has_ended, "no replica was in the middle of a stream");
      run_load({.sound_per_s = sound_per_s}, crash_interval - until_crash);
    }
    run_load({.sound_per_s = sound_per_s}, seconds(2));
    finish_load();
    expect_answers();
    expect_nothing_blocked();
  }

  // The system under test.

  static json make_engine_config() {
    json route = make_route("stream", "streaming", "app");
    route["target-gap-ms"] = 200;
    json config = make_config(1);
    config["routes"] = {route};
    config["services"][0]["engine"] = {{"slots", 6},          {"kv-cache-tokens", 90'000},
                                       {"kv-bytes", 131'072}, {"link-mbps", 10'000},
                                       {"stride", 1},         {"moves", false}};
    return config;
  }

  void start_fleet(std::uint64_t seed) {
    m_seed = seed;
    m_fleet = std::make_unique<replica_fleet>(*m_io, *m_store, *m_ports, seed, harmful_part);
    m_fleet->start(replica_count);
    m_store->put("op/config", make_engine_config());
    m_load = std::make_unique<prompt_load>(*m_io, seed, harmful_part);
    for (std::size_t i = 0; i < node_count; ++i) {
      m_load->add_node(start_node().ports().caller_port);
    }
    const std::string adopted = "replicas=" + std::to_string(replica_count);
    for (const auto& node : m_nodes) {
      CPPUNIT_ASSERT_MESSAGE(node->log(), run_until(*m_io, [&] {
                               return node->log().find(adopted) != std::string::npos;
                             }));
    }
  }

  // Sends requests until `is_over` or the time limit, and returns whether it is over.
  bool run_load_until(const prompt_load::rates& rates, milliseconds limit,
                      const std::function<bool()>& is_over) {
    if (rates.sound_per_s != m_rates.sound_per_s || rates.harmful_per_s != m_rates.harmful_per_s) {
      m_load->set_rates(rates);
      m_rates = rates;
    }
    const auto end = steady_clock::now() + limit;
    bool is_done = false;
    // run_until() asks once more after the end.
    const auto step = [&] {
      if (is_done || steady_clock::now() >= end) {
        return true;
      }
      m_load->advance();
      return_started_node();
      is_done = is_over();
      return is_done;
    };
    run_until(*m_io, step, limit);
    return is_done;
  }

  void run_load(const prompt_load::rates& rates, milliseconds duration) {
    run_load_until(rates, duration, [] { return false; });
  }

  // Ends the load and waits for the answers that are due.
  void finish_load() {
    run_load_until({}, seconds(5), [this] { return m_load->is_idle(); });
    CPPUNIT_ASSERT(m_load->is_idle());
  }

  void kill_and_start_last_node() {
    constexpr milliseconds time_until_start{300};
    m_load->set_in_rotation(node_count - 1, false);
    m_killed_at = steady_clock::now();
    m_nodes.back()->signal(SIGKILL);
    CPPUNIT_ASSERT(m_nodes.back()->wait_for_end(seconds(2)));
    run_load(m_rates, time_until_start);
    m_nodes.back()->restart();
    m_restarted_at = steady_clock::now();
    m_is_returning = true;
  }

  // Puts the started node into rotation as soon as it reports itself ready.
  void return_started_node() {
    if (!m_is_returning) {
      return;
    }
    if (m_readiness_probe && m_readiness_probe->received().starts_with("HTTP/1.1 200")) {
      m_load->set_in_rotation(node_count - 1, true);
      m_is_returning = false;
      m_readiness_probe.reset();
      return;
    }
    if (!m_readiness_probe || m_readiness_probe->is_closed() ||
        m_readiness_probe->received().ends_with("\n")) {
      probe_readiness();
    }
  }

  void probe_readiness() {
    try {
      m_readiness_probe = std::make_unique<raw_caller>(
          *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                               m_nodes.back()->ports().readiness_port));
      m_readiness_probe->write("GET /readyz HTTP/1.1\r\n\r\n");
    } catch (const boost::system::system_error&) {
      m_readiness_probe.reset();  // the process is not listening yet
    }
  }

  // Checks.

  void expect(bool is_met, const std::string& failure) const {
    if (!is_met) {
      CPPUNIT_FAIL(failure + "\n" + report());
    }
  }

  // A fleet that blocks the part after fewer crashes is held to the bounds from its last crash.
  steady_clock::time_point block_crash() const {
    const auto& crashes = m_fleet->record().crashes;
    return crashes[std::min(crashes.size(), crashes_before_block) - 1];
  }

  void expect_crashes() const {
    expect(!m_fleet->record().crashes.empty(), "no replica ended because of the part");
  }

  std::size_t harmful_arrivals(steady_clock::time_point from) const {
    const auto& arrivals = m_fleet->record().arrivals;
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](const replica_arrival& each) {
          return each.at >= from && each.has_part(harmful_part);
        }));
  }

  void expect_harmful_requests_at_started_node() const {
    const auto& requests = m_load->requests();
    expect(
        std::any_of(requests.begin(), requests.end(),
                    [&](const sent_prompt& each) {
                      return each.is_harmful && each.node == node_count - 1 &&
                             each.sent >= *m_restarted_at + detection_time;
                    }),
        "the started node got no request with the part, ready=" + std::to_string(!m_is_returning));
  }

  // Requests with the part that reach replicas through the started node while it may still learn
  // of the block count only against what remains of the bound afterwards.
  void expect_block_holds_after_restart(steady_clock::time_point blocked) const {
    const auto informed = *m_restarted_at + detection_time;
    const std::set<std::string> excused = ids_sent_to_started_node_before(informed);
    std::size_t counted = 0;
    for (const replica_arrival& each : m_fleet->record().arrivals) {
      const bool is_excused = each.at < informed && excused.contains(each.request_id);
      if (each.at >= blocked && each.has_part(harmful_part) && !is_excused) {
        ++counted;
      }
    }
    const std::size_t reached_before = harmful_arrivals(blocked) - harmful_arrivals(informed);
    const std::size_t remaining =
        max_arrivals_after_block - std::min(reached_before, max_arrivals_after_block);
    const std::size_t reached_afterwards = harmful_arrivals(informed);
    expect(counted <= max_arrivals_after_block && reached_afterwards <= remaining,
           "requests with the part reach replicas: " + std::to_string(counted) +
               " after it must be blocked, " + std::to_string(reached_afterwards) +
               " from 3 s after the start of a node, when the rest of the bound was " +
               std::to_string(remaining));
  }

  std::set<std::string> ids_sent_to_started_node_before(steady_clock::time_point end) const {
    std::set<std::string> ids;
    for (const sent_prompt& each : m_load->requests()) {
      if (each.node == node_count - 1 && each.sent >= *m_restarted_at && each.sent < end) {
        ids.insert(each.request_id);
      }
    }
    return ids;
  }

  void expect_sound_served(steady_clock::time_point from) const {
    std::size_t sent = 0;
    std::size_t complete = 0;
    for (const sent_prompt& each : m_load->requests()) {
      if (each.is_harmful || each.sent < from) {
        continue;
      }
      ++sent;
      complete += each.is_complete() ? 1 : 0;
    }
    expect(
        sent > 0 && static_cast<double>(complete) >= min_complete_share * static_cast<double>(sent),
        "of " + std::to_string(sent) + " sound requests after the recovery only " +
            std::to_string(complete) + " got a complete answer");
  }

  void expect_nothing_blocked() const {
    for (const sent_prompt& each : m_load->requests()) {
      expect(!each.mentions("prompt_part_blocked"), "a sound request was refused:\n" + each.answer);
    }
  }

  // No refusal may be a false promise that no replica has run the request.
  void expect_answers() const {
    std::set<std::string> begun;
    for (const replica_arrival& each : m_fleet->record().arrivals) {
      if (each.is_answer_begun) {
        begun.insert(each.request_id);
      }
    }
    for (const sent_prompt& each : m_load->requests()) {
      const bool is_refusal = each.status() == 503;
      expect(!is_refusal || !begun.contains(each.request_id),
             "a request that a replica has begun was refused with 503:\n" + each.answer);
      expect(!is_refusal || each.mentions("\"executed\":\"no\""),
             "a refusal does not state that the request has not run:\n" + each.answer);
      expect(!each.is_harmful || is_lost_with_its_node(each) || is_expected_failure(each),
             "unexpected answer to a request with the part, closed=" +
                 std::to_string(each.is_closed) + ":\n" + each.answer);
    }
  }

  // Whether the connection broke because the test killed the node.
  bool is_lost_with_its_node(const sent_prompt& request) const {
    return m_restarted_at && request.node == node_count - 1 && request.sent < m_killed_at &&
           request.is_closed && request.status() == 0;
  }

  static bool is_expected_failure(const sent_prompt& request) {
    const std::set<int> failures = {502, 503, 504};
    const bool is_broken_off = request.is_closed && request.status() == 200 &&
                               request.has_event() && !request.is_complete();
    return failures.contains(request.status()) || is_broken_off;
  }

  std::string report() const {
    std::ostringstream text;
    const replica_record& record = m_fleet->record();
    text << "seed " << m_seed
         << "\nreplicas that ended because of the part: " << record.crashes.size()
         << "\nrequests with the part that reached replicas: " << harmful_arrivals({});
    if (!record.crashes.empty()) {
      text << ", from " << detection_time.count() << " s after crash "
           << std::min(record.crashes.size(), crashes_before_block) << ": "
           << harmful_arrivals(block_crash() + detection_time);
    }
    text << "\n";
    for (const auto& [answer, count] : count_answers()) {
      text << answer << ": " << count << "\n";
    }
    return text.str() + log_lines();
  }

  std::map<std::string, int> count_answers() const {
    std::map<std::string, int> counts;
    for (const sent_prompt& each : m_load->requests()) {
      const std::string kind = each.is_harmful ? "with the part" : "sound";
      const std::string end = each.is_complete()       ? " complete"
                              : each.status() == 200   ? " broken off"
                              : each.caller != nullptr ? " not ended"
                                                       : "";
      ++counts[kind + ", status " + std::to_string(each.status()) + end];
    }
    return counts;
  }

  // The last log lines of each node that tell of ended replicas and blocked parts. The lines of
  // single refused requests are only counted, because they would hide the others.
  std::string log_lines() const {
    constexpr std::size_t max_lines_per_node = 30;
    std::string text;
    for (const auto& node : m_nodes) {
      std::vector<std::string> lines;
      std::size_t refusals = 0;
      std::istringstream log(node->log());
      for (std::string line; std::getline(log, line);) {
        const bool is_relevant = line.find("prompt_part") != std::string::npos ||
                                 line.find("replica_ended") != std::string::npos;
        if (!is_relevant) {
          continue;
        }
        if (line.find("request_finished") != std::string::npos) {
          ++refusals;
          continue;
        }
        lines.push_back(line);
      }
      text += "node " + node->ports().peer_ip + ": " + std::to_string(refusals) +
              " refused requests, " + std::to_string(lines.size()) + " other lines\n";
      const std::size_t skipped = lines.size() - std::min(lines.size(), max_lines_per_node);
      for (std::size_t i = skipped; i < lines.size(); ++i) {
        text += lines[i] + "\n";
      }
    }
    return text;
  }

  std::uint64_t m_seed = 0;
  std::unique_ptr<replica_fleet> m_fleet;
  std::unique_ptr<prompt_load> m_load;
  prompt_load::rates m_rates;
  std::unique_ptr<raw_caller> m_readiness_probe;
  steady_clock::time_point m_killed_at;
  std::optional<steady_clock::time_point> m_restarted_at;
  bool m_is_returning = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_quarantine_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
