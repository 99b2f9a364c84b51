// Simulates fleets of nodes that exchange evidence over a lossy network while a part of some
// prompts ends replicas.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "fuchsiaspring/quarantine/part_quarantine.h"

namespace fuchsiaspring::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t harmful_part = 0xbad;
constexpr std::uint64_t system_prompt = 0x100;
constexpr std::uint64_t first_subject = 0x1000;
constexpr base::duration tick = milliseconds(10);
constexpr base::duration heartbeat_interval = milliseconds(200);
constexpr base::duration replica_restart_time = seconds(2);
// A response that has gone on for this long has not ended its replica.
constexpr base::duration conclusive_time = seconds(1);
constexpr double message_loss = 0.03;
constexpr std::size_t parts_per_message = 8;
constexpr std::size_t relays_per_domain = 2;

struct scenario {
  std::size_t nodes = 8;
  std::size_t domains = 3;
  std::size_t replicas = 12;
  std::size_t subjects = 30;
  double sound_per_s = 80;
  double harmful_per_s = 4;
  std::size_t harmful_burst = 0;  // requests at once, in place of harmful_per_s
  base::duration burst_interval = seconds(5);
  base::duration first_harmful_after{};
  bool is_harmful_part_last = true;                  // otherwise the subject comes behind it
  base::duration response_time = milliseconds(300);  // from the first event to the last
  bool reaches_all_nodes = true;                     // otherwise changes go through relays
  base::duration run_time = seconds(15);
  std::vector<base::duration> racks_lost_at;  // a quarter of the replicas each
  base::duration single_crash_interval{};     // replicas end for another reason, 0: none
  std::uint64_t seed = 1;
};

struct outcome {
  int crashes_by_part = 0;
  int harmful_sent = 0;
  int harmful_sent_late = 0;  // later than the stability window after the fifth crash
  int sound_requests = 0;
  int sound_blocked = 0;
  // Sound requests from twice the stability window after the fifth crash on.
  int sound_requests_later = 0;
  int sound_blocked_later = 0;
  std::size_t parts_wrongly_blocked = 0;  // on the node that blocks most
};

class fleet {
 public:
  explicit fleet(const scenario& setup)
      : m_setup(setup), m_random(setup.seed), m_replicas(setup.replicas) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < setup.nodes; ++i) {
      names.push_back("vm-" + std::to_string(i));
      m_nodes.push_back(std::make_unique<part_quarantine>(quarantine_options{}, names.back()));
    }
    for (auto& node : m_nodes) {
      node->set_nodes(names);
    }
  }

  outcome run() {
    base::time_point next_heartbeat = m_now;
    while (m_now - start < m_setup.run_time) {
      m_now += tick;
      send_requests();
      fail_replicas();
      run_due_events();
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        send_changes(i, change_origin::own);
      }
      if (m_now >= next_heartbeat) {
        next_heartbeat = m_now + heartbeat_interval;
        heartbeat();
      }
    }
    for (const auto& node : m_nodes) {
      const auto blocked = node->blocked_parts(m_now);
      const auto wrong = std::count_if(blocked.begin(), blocked.end(),
                                       [](std::uint64_t part) { return part != harmful_part; });
      m_outcome.parts_wrongly_blocked =
          std::max(m_outcome.parts_wrongly_blocked, static_cast<std::size_t>(wrong));
    }
    return m_outcome;
  }

 private:
  static constexpr base::time_point start = base::time_point(std::chrono::hours(1));

  struct attempt {
    std::size_t node = 0;
    std::vector<std::uint64_t> parts;
    bool is_repeat = false;
    std::optional<base::time_point> begun_at;
  };
  struct replica_process {
    std::uint32_t incarnation = 0;
    bool is_up = true;
    std::map<std::uint64_t, attempt> running;
  };
  struct event {
    base::time_point at;
    std::uint64_t number = 0;
    std::function<void()> run;
    friend bool operator>(const event& left, const event& right) {
      return std::pair(left.at, left.number) > std::pair(right.at, right.number);
    }
  };

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
  std::size_t below(std::size_t bound) { return m_random() % bound; }
  std::size_t domain_of(std::size_t node) const { return node % m_setup.domains; }

  void schedule(base::duration delay, std::function<void()> function) {
    m_events.push({m_now + delay, m_next_number++, std::move(function)});
  }

  void run_due_events() {
    while (!m_events.empty() && m_events.top().at <= m_now) {
      const auto function = m_events.top().run;
      m_events.pop();
      function();
    }
  }

  void send_requests() {
    const double tick_s = base::to_seconds(tick);
    for (m_sound_due += m_setup.sound_per_s * tick_s; m_sound_due >= 1; --m_sound_due) {
      ++m_outcome.sound_requests;
      m_outcome.sound_requests_later += is_later() ? 1 : 0;
      request({system_prompt, first_subject + below(m_setup.subjects)});
    }
    if (m_now - start < m_setup.first_harmful_after) {
      return;
    }
    if (m_setup.harmful_burst > 0) {
      const base::duration since = m_now - start - m_setup.first_harmful_after;
      const bool is_due = since.count() % m_setup.burst_interval.count() == 0;
      m_harmful_due = is_due ? static_cast<double>(m_setup.harmful_burst) : 0;
    } else {
      m_harmful_due += m_setup.harmful_per_s * tick_s;
    }
    for (; m_harmful_due >= 1; --m_harmful_due) {
      const std::uint64_t subject = first_subject + below(m_setup.subjects);
      request(m_setup.is_harmful_part_last
                  ? std::vector<std::uint64_t>{system_prompt, subject, harmful_part}
                  : std::vector<std::uint64_t>{system_prompt, harmful_part, subject});
    }
  }

  bool is_later() const { return m_fifth_crash && m_now - *m_fifth_crash > 2 * stability_window; }

  static bool is_harmful(const std::vector<std::uint64_t>& parts) {
    return std::find(parts.begin(), parts.end(), harmful_part) != parts.end();
  }

  void request(std::vector<std::uint64_t> parts) {
    const std::size_t node = below(m_nodes.size());
    if (m_nodes[node]->check(parts, m_now) == verdict::blocked) {
      const int sound = is_harmful(parts) ? 0 : 1;
      m_outcome.sound_blocked += sound;
      m_outcome.sound_blocked_later += is_later() ? sound : 0;
      return;
    }
    dispatch({.node = node, .parts = std::move(parts)});
  }

  void dispatch(attempt each) {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
      if (m_replicas[i].is_up) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    if (is_harmful(each.parts)) {
      ++m_outcome.harmful_sent;
      const bool is_late = m_fifth_crash && m_now - *m_fifth_crash > stability_window;
      m_outcome.harmful_sent_late += is_late ? 1 : 0;
    }
    const std::size_t index = up[below(up.size())];
    const std::uint64_t number = m_next_number++;
    const std::uint32_t incarnation = m_replicas[index].incarnation;
    m_replicas[index].running.emplace(number, std::move(each));
    schedule(milliseconds(50 + below(250)),
             [this, index, number, incarnation] { begin_response(index, number, incarnation); });
  }

  void begin_response(std::size_t index, std::uint64_t number, std::uint32_t incarnation) {
    replica_process& replica = m_replicas[index];
    if (replica.incarnation != incarnation || !replica.is_up) {
      return;
    }
    attempt& each = replica.running.at(number);
    if (is_harmful(each.parts)) {
      if (++m_outcome.crashes_by_part == 5) {
        m_fifth_crash = m_now;
      }
      end_replica(index);
      return;
    }
    each.begun_at = m_now;
    if (m_setup.response_time > conclusive_time) {
      schedule(conclusive_time,
               [this, index, number, incarnation] { report_answer(index, number, incarnation); });
    }
    schedule(m_setup.response_time, [this, index, number, incarnation] {
      if (report_answer(index, number, incarnation)) {
        m_replicas[index].running.erase(number);
      }
    });
  }

  // Returns whether the replica still runs.
  bool report_answer(std::size_t index, std::uint64_t number, std::uint32_t incarnation) {
    const replica_process& replica = m_replicas[index];
    if (replica.incarnation != incarnation || !replica.is_up) {
      return false;
    }
    const attempt& each = replica.running.at(number);
    m_nodes[each.node]->record_answer(each.parts, *each.begun_at, m_now);
    return true;
  }

  // The nodes see the ends of their connections at slightly different times.
  void end_replica(std::size_t index) {
    replica_process& replica = m_replicas[index];
    replica.is_up = false;
    std::map<std::size_t, crash_report> reports;
    const std::uint32_t hash =
        hash_replica_start("replica-" + std::to_string(index), replica.incarnation);
    const auto running = std::exchange(replica.running, {});
    for (const auto& [number, each] : running) {
      if (each.begun_at && m_now - *each.begun_at > conclusive_time) {
        continue;
      }
      crash_report& report = reports[each.node];
      report.replica = hash;
      for (std::uint32_t depth = 0; depth < each.parts.size(); ++depth) {
        report.suspects.push_back({each.parts[depth], depth});
      }
    }
    for (const auto& [node, report] : reports) {
      schedule(milliseconds(30 + below(20)), [this, node = node, report = report]() mutable {
        report.at = m_now;
        m_nodes[node]->record_crash(report, m_now);
      });
    }
    for (const auto& [number, each] : running) {
      if (!each.is_repeat && m_nodes[each.node]->recheck(each.parts, m_now) == verdict::allowed) {
        dispatch({.node = each.node, .parts = each.parts, .is_repeat = true});
      }
    }
    schedule(replica_restart_time, [&replica] {
      ++replica.incarnation;
      replica.is_up = true;
    });
  }

  void fail_replicas() {
    for (const base::duration lost_at : m_setup.racks_lost_at) {
      if (m_now - start != lost_at) {
        continue;
      }
      for (std::size_t i = 0; i < m_replicas.size() / 4; ++i) {
        end_if_up(below(m_replicas.size()));
      }
    }
    const base::duration interval = m_setup.single_crash_interval;
    if (interval.count() > 0 && (m_now - start).count() % interval.count() == 0) {
      end_if_up(below(m_replicas.size()));
    }
  }

  void end_if_up(std::size_t index) {
    if (m_replicas[index].is_up) {
      end_replica(index);
    }
  }

  using evidence_list = std::vector<part_evidence>;

  void send(std::size_t from, std::size_t to, const evidence_list& evidence) {
    if (to == from || evidence.empty() || uniform() < message_loss) {
      return;
    }
    const bool is_from_other_domain = domain_of(from) != domain_of(to);
    schedule(milliseconds(1 + below(20)), [this, to, is_from_other_domain,
                                           message =
                                               std::make_shared<const evidence_list>(evidence)] {
      m_nodes[to]->merge(*message,
                         is_from_other_domain && !m_setup.reaches_all_nodes ? change_origin::any
                                                                            : change_origin::own,
                         m_now);
    });
  }

  void send_changes(std::size_t from, change_origin origin) {
    if (origin == change_origin::own && !m_nodes[from]->has_changes()) {
      return;
    }
    const auto changes = m_nodes[from]->take_changes(
        m_setup.reaches_all_nodes ? origin : change_origin::any, m_now, parts_per_message);
    if (changes.empty()) {
      return;
    }
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
      if (m_setup.reaches_all_nodes || domain_of(to) == domain_of(from)) {
        send(from, to, changes);
      }
    }
    for (std::size_t domain = 0; !m_setup.reaches_all_nodes && domain < m_setup.domains; ++domain) {
      for (std::size_t i = 0; domain != domain_of(from) && i < relays_per_domain; ++i) {
        const std::size_t members = m_nodes.size() / m_setup.domains;
        send(from, domain + m_setup.domains * below(members), changes);
      }
    }
  }

  void heartbeat() {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      m_nodes[i]->expire(m_now);
      send_changes(i, change_origin::any);
      send(i, below(m_nodes.size()), m_nodes[i]->evidence(m_now, parts_per_message));
    }
  }

  static constexpr base::duration stability_window = seconds(3);

  scenario m_setup;
  std::mt19937_64 m_random;
  base::time_point m_now = start;
  std::vector<replica_process> m_replicas;
  std::vector<std::unique_ptr<part_quarantine>> m_nodes;
  std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
  std::uint64_t m_next_number = 0;
  double m_sound_due = 0;
  double m_harmful_due = 0;
  std::optional<base::time_point> m_fifth_crash;
  outcome m_outcome;
};

class fleet_simulation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_simulation_test);
  CPPUNIT_TEST(small_fleet_stops_sending_a_part_that_ends_replicas);
  CPPUNIT_TEST(large_fleet_stops_sending_a_part_that_ends_replicas);
  CPPUNIT_TEST(fleet_blocks_a_part_in_front_of_sound_ones);
  CPPUNIT_TEST(started_fleet_blocks_a_part_in_front_of_sound_ones);
  CPPUNIT_TEST(bursts_of_a_part_that_ends_replicas_are_stopped);
  CPPUNIT_TEST(lost_racks_block_nothing);
  CPPUNIT_TEST(replicas_that_end_one_after_the_other_block_nothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t seeds = 20;
  static constexpr std::uint64_t drawn_fleets = 60;
  static constexpr int max_harmful_sent_late = 3;
  static constexpr std::size_t max_burst_interval_s = 30;

  static scenario large_fleet() {
    return {.nodes = 294,
            .domains = 6,
            .replicas = 256,
            .subjects = 400,
            .sound_per_s = 500,
            .harmful_per_s = 6,
            .reaches_all_nodes = false};
  }

  static std::string describe(std::uint64_t seed, const outcome& result) {
    return "seed " + std::to_string(seed) + ": " + std::to_string(result.crashes_by_part) +
           " crashes, " + std::to_string(result.harmful_sent) + " harmful requests sent, " +
           std::to_string(result.harmful_sent_late) + " of them late, " +
           std::to_string(result.sound_blocked) + " of " + std::to_string(result.sound_requests) +
           " sound requests and " + std::to_string(result.parts_wrongly_blocked) +
           " sound parts blocked";
  }

  static void expect_harmful_part_blocked(scenario setup, std::uint64_t seed_count) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      setup.seed = seed;
      const outcome result = fleet(setup).run();
      const std::string text = describe(seed, result);
      CPPUNIT_ASSERT_MESSAGE(text, result.crashes_by_part >= 3);
      CPPUNIT_ASSERT_MESSAGE(text, result.harmful_sent_late <= max_harmful_sent_late);
      // Sound requests are to be served at least half as often as without the harmful part.
      CPPUNIT_ASSERT_MESSAGE(text, 2 * result.sound_blocked < result.sound_requests);
    }
  }

  static void expect_nothing_blocked(scenario setup, std::uint64_t seed_count) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      setup.seed = seed;
      setup.harmful_per_s = 0;
      const outcome result = fleet(setup).run();
      const std::string text = describe(seed, result);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, result.sound_blocked);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, result.parts_wrongly_blocked);
    }
  }

  // Guards against requests that end one replica after the other because no node sees the pattern.
  void small_fleet_stops_sending_a_part_that_ends_replicas() {
    expect_harmful_part_blocked({}, seeds);
  }

  void large_fleet_stops_sending_a_part_that_ends_replicas() {
    expect_harmful_part_blocked(large_fleet(), 2);
  }

  // Guards against a block of the sound part that all requests share behind the harmful one, while
  // replicas end faster than responses do.
  void fleet_blocks_a_part_in_front_of_sound_ones() { expect_part_in_front_blocked(seconds(6)); }

  // The same before any response has shown which parts are sound.
  void started_fleet_blocks_a_part_in_front_of_sound_ones() { expect_part_in_front_blocked({}); }

  // A fleet with bursts of harmful requests, and racks that are lost beside them.
  static scenario draw_bursts(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::size_t low, std::size_t high) {
      return low + random() % (high - low + 1);
    };
    scenario setup{.seed = seed};
    setup.nodes = draw(1, 8);
    setup.domains = std::min<std::size_t>(setup.nodes, 3);
    setup.replicas = draw(6, 24);
    setup.subjects = draw(1, 30);
    setup.sound_per_s = static_cast<double>(draw(10, 80));
    setup.harmful_burst = draw(1, 12);
    setup.burst_interval = milliseconds(100 * draw(10, max_burst_interval_s * 10));
    setup.first_harmful_after = milliseconds(100 * draw(20, 60));
    setup.is_harmful_part_last = draw(0, 1) == 1;
    setup.response_time = milliseconds(100 * draw(3, 30));
    setup.run_time = setup.first_harmful_after + 6 * setup.burst_interval + seconds(10);
    const std::size_t run_time_s = static_cast<std::size_t>(base::to_seconds(setup.run_time));
    for (std::size_t i = draw(0, 2); i > 0; --i) {
      setup.racks_lost_at.push_back(milliseconds(100 * draw(10, run_time_s * 10)));
    }
    return setup;
  }

  // Guards against a burst of requests that count as one crash and push out the crashes before, so
  // that the part which ends the replicas is sent again in each burst.
  void bursts_of_a_part_that_ends_replicas_are_stopped() {
    for (std::uint64_t seed = 1; seed <= drawn_fleets; ++seed) {
      const scenario setup = draw_bursts(seed);
      const outcome result = fleet(setup).run();
      const std::string text = describe(seed, result) + ", bursts of " +
                               std::to_string(setup.harmful_burst) + " every " +
                               std::to_string(base::to_milliseconds(setup.burst_interval)) + " ms";
      CPPUNIT_ASSERT_MESSAGE(text, result.harmful_sent_late <= max_harmful_sent_late);
      CPPUNIT_ASSERT_MESSAGE(text, 2 * result.sound_blocked_later <= result.sound_requests_later);
    }
  }

  static void expect_part_in_front_blocked(base::duration first_harmful_after) {
    for (const double harmful_per_s : {0.6, 2.2, 6.0}) {
      for (const std::size_t nodes : {1U, 3U, 8U}) {
        scenario setup{.nodes = nodes,
                       .domains = std::min<std::size_t>(nodes, 3),
                       .subjects = 1,
                       .sound_per_s = 5,
                       .harmful_per_s = harmful_per_s,
                       .first_harmful_after = first_harmful_after,
                       .is_harmful_part_last = false,
                       .response_time = seconds(3),
                       .run_time = seconds(25)};
        expect_harmful_part_blocked(setup, 5);
        setup.subjects = 4;
        setup.sound_per_s = 40;
        expect_harmful_part_blocked(setup, 5);
      }
    }
  }

  // Guards against blocking sound requests when replicas are lost for another reason.
  void lost_racks_block_nothing() {
    const std::vector<base::duration> racks{seconds(2), seconds(5), seconds(8)};
    expect_nothing_blocked({.racks_lost_at = racks}, seeds);
    scenario large = large_fleet();
    large.racks_lost_at = racks;
    expect_nothing_blocked(large, 1);
  }

  void replicas_that_end_one_after_the_other_block_nothing() {
    expect_nothing_blocked({.single_crash_interval = milliseconds(700)}, seeds);
    scenario large = large_fleet();
    large.single_crash_interval = milliseconds(500);
    expect_nothing_blocked(large, 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_simulation_test);

}  // namespace
}  // namespace fuchsiaspring::quarantine
