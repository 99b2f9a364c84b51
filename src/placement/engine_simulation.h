// Simulates a generated load on simple engines, for tests of the placement under load.
//
// Each engine prefills one prompt at a time and caches shared parts without limit. Streams run
// beside the prefills; a stream whose engine prefills without a pause for longer than its gap
// target counts as stalled. Several placers choose replicas, each with the others' load as of their
// last report.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/placement/placer.h"

namespace fuchsiaspring::placement::testing {

struct simulated_load {
  int engines = 9;
  int nodes = 6;
  double long_prompts_per_s = 25;
  double short_prompts_per_s = 50;
  int shared_prefixes = 86;
  double seconds = 12;
  std::uint64_t seed = 1;
  bool can_fetch = true;
  strategy choice_strategy = strategy::prefix;
  bool has_gap_target = true;          // of the short prompts
  int domains = 1;                     // nodes and engines are divided among them
  fleet_view view = fleet_view::full;  // otherwise prompts are announced inside a domain only
  bool exchanges_speeds = true;        // learned speeds of the engines, every 200 ms
  bool sets_view = true;               // whether set_view(view) is called on the placers
  int report_interval_ms = 1;          // of a placer's load; the placers take turns
  int slots = 64;
};

struct simulation_result {
  int long_prompts = 0;
  int long_prompts_in_time = 0;
  int short_prompts = 0;
  int short_prompts_stalled = 0;
  std::uint64_t shared_tokens_recomputed = 0;
  int dispatched_to_full_engine = 0;  // real engines reject these
};

class engine_simulation {
 public:
  explicit engine_simulation(const simulated_load& load) : m_load(load), m_random(load.seed) {
    std::vector<replica> replicas;
    for (int i = 0; i < load.engines; ++i) {
      replicas.push_back({.id = "m" + std::to_string(i),
                          .service = "model",
                          .address = "10.0.0." + std::to_string(i + 1) + ":80",
                          .failure_domain = domain(i),
                          .slots = static_cast<std::uint32_t>(load.slots)});
      m_engines[replicas.back().id];
    }
    const std::vector<service_profile> services{{.name = "model",
                                                 .is_engine = true,
                                                 .can_fetch = load.can_fetch,
                                                 .kv_bytes_per_token = 327680,
                                                 .link_mbps = 550000,
                                                 .has_gap_targets = load.has_gap_target}};
    for (int i = 0; i < load.nodes; ++i) {
      m_placers.push_back(placer({.vm = "vm-" + std::to_string(i),
                                  .failure_domain = domain(i),
                                  .choice_strategy = load.choice_strategy}));
      if (load.sets_view) {
        m_placers.back().set_view(load.view);
      }
      m_placers.back().update(services, replicas, {}, m_now);
    }
  }

  simulation_result run() {
    const base::time_point end = m_now + base::from_seconds(m_load.seconds);
    base::time_point next_long_arrival = m_now;
    base::time_point next_short_arrival = m_now;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(1);
      while (next_long_arrival <= m_now) {
        m_waiting.push_back({next_long_arrival, next_long_prompt()});
        next_long_arrival +=
            base::from_seconds(m_random.exponential(1 / m_load.long_prompts_per_s));
      }
      while (next_short_arrival <= m_now) {
        start(next_short_prompt(), m_now);
        next_short_arrival +=
            base::from_seconds(m_random.exponential(1 / m_load.short_prompts_per_s));
      }
      finish_due();
      std::erase_if(m_waiting, [&](const auto& item) { return start(item.second, item.first); });
      exchange_load();
    }
    return m_result;
  }

 private:
  static constexpr double ms_per_token = 1 / 38.7;
  static constexpr double base_ms = 6;
  static constexpr base::duration gap_target = std::chrono::milliseconds(100);
  static constexpr base::duration first_token_target = std::chrono::milliseconds(600);
  static constexpr base::duration stream_time = std::chrono::milliseconds(1750);

  struct engine {
    base::time_point busy_since{};
    base::time_point busy_until{};
    int running = 0;
    std::set<std::uint64_t> cached;
  };

  struct running {
    std::size_t node = 0;
    choice chosen;
    request_profile request;
    base::time_point arrived;
    base::time_point dispatched;
    base::time_point first_event;
    base::time_point end;
    base::duration longest_gap{};
    bool has_first_event = false;
  };

  std::string domain(int number) const {
    return std::string(1, static_cast<char>('a' + number % m_load.domains));
  }

  request_profile next_long_prompt() {
    const std::uint64_t prefix_id =
        100 + m_random.uniform_below(static_cast<std::uint64_t>(m_load.shared_prefixes));
    return {.service = "model",
            .prompt = {{1 + prefix_id % 4, 2520}, {prefix_id, 3780}, {++m_last_unique_part, 2890}},
            .prompt_tokens = 9190,
            .body_bytes = 18000,
            .is_long_prompt = true};
  }

  request_profile next_short_prompt() {
    return {.service = "model",
            .prompt = {{50 + m_random.uniform_below(20), 119}, {++m_last_unique_part, 700}},
            .prompt_tokens = 819,
            .body_bytes = 1700,
            .event_gap_target = m_load.has_gap_target ? gap_target : base::duration{}};
  }

  bool start(const request_profile& request, base::time_point arrived) {
    const std::size_t node = m_random.uniform_below(m_placers.size());
    request_profile waiting_request = request;
    waiting_request.waited = m_now - arrived;
    const decision decided = m_placers[node].choose(waiting_request, m_now);
    const auto* chosen = std::get_if<choice>(&decided);
    if (chosen == nullptr) {
      return false;
    }
    m_placers[node].on_dispatch(chosen->replica_id, waiting_request, *chosen, m_now);
    if (waiting_request.is_long_prompt) {
      for (std::size_t other = 0; other < m_placers.size(); ++other) {
        const std::vector<std::uint64_t> parts{waiting_request.prompt[0].id,
                                               waiting_request.prompt[1].id};
        const bool is_announced = m_load.view == fleet_view::full ||
                                  domain(static_cast<int>(other)) == domain(static_cast<int>(node));
        if (other != node && is_announced) {
          m_placers[other].on_remote_prefix(hash_replica_id(chosen->replica_id), parts, m_now);
        }
      }
    }
    engine& target_engine = m_engines[chosen->replica_id];
    m_result.dispatched_to_full_engine += ++target_engine.running > m_load.slots ? 1 : 0;
    const std::uint32_t prefill_tokens = tokens_to_prefill(target_engine, waiting_request, *chosen);
    if (target_engine.busy_until < m_now) {
      target_engine.busy_since = m_now;
      target_engine.busy_until = m_now;
    }
    target_engine.busy_until += base::from_seconds((prefill_tokens * ms_per_token) / 1000);
    running item{.node = node, .chosen = *chosen, .request = waiting_request, .arrived = arrived};
    item.dispatched = m_now;
    item.first_event = target_engine.busy_until + base::from_seconds(base_ms / 1000);
    item.end =
        item.first_event + (waiting_request.is_long_prompt ? base::from_seconds(0.3) : stream_time);
    m_running.push_back(item);
    return true;
  }

  std::uint32_t tokens_to_prefill(engine& target_engine, const request_profile& request,
                                  const choice& chosen) {
    std::uint32_t prefill_tokens = 0;
    bool is_hit = true;
    for (std::size_t i = 0; i < request.prompt.size(); ++i) {
      const prefix_part& part = request.prompt[i];
      const bool is_shared = i + 1 < request.prompt.size();
      const bool is_fetched =
          is_shared && chosen.fetch_from && has_cached(*chosen.fetch_from, part.id);
      is_hit = is_hit && (target_engine.cached.contains(part.id) || is_fetched);
      if (!is_hit) {
        prefill_tokens += part.tokens;
        if (is_shared && m_prefilled_parts.contains(part.id)) {
          m_result.shared_tokens_recomputed += part.tokens;
        }
      }
      m_prefilled_parts.insert(part.id);
      target_engine.cached.insert(part.id);
    }
    return prefill_tokens;
  }

  bool has_cached(const std::string& address, std::uint64_t part) {
    const std::string id = "m" + std::to_string(std::stoi(address.substr(7)) - 1);
    return m_engines[id].cached.contains(part);
  }

  void finish_due() {
    for (running& item : m_running) {
      placer& from = m_placers[item.node];
      const engine& target_engine = m_engines[item.chosen.replica_id];
      if (!item.has_first_event && m_now >= item.first_event) {
        item.has_first_event = true;
        from.on_first_event(item.chosen.replica_id, item.chosen, m_now - item.dispatched, m_now);
      }
      if (item.has_first_event && target_engine.busy_until > m_now) {
        item.longest_gap = std::max(item.longest_gap,
                                    m_now - std::max(target_engine.busy_since, item.first_event));
      }
      if (m_now >= item.end) {
        finish(item);
      }
    }
    std::erase_if(m_running, [&](const running& item) { return m_now >= item.end; });
  }

  void finish(const running& item) {
    --m_engines[item.chosen.replica_id].running;
    placer& from = m_placers[item.node];
    from.on_end(item.chosen.replica_id, item.chosen, outcome::answered, true, m_now);
    if (item.request.is_long_prompt) {
      ++m_result.long_prompts;
      m_result.long_prompts_in_time +=
          item.first_event - item.arrived <= first_token_target ? 1 : 0;
      return;
    }
    from.on_stream_end(item.chosen.replica_id, item.request.event_gap_target, item.longest_gap,
                       m_now);
    ++m_result.short_prompts;
    m_result.short_prompts_stalled += item.longest_gap > gap_target ? 1 : 0;
  }

  void exchange_load() {
    const std::int64_t step = m_now.time_since_epoch() / std::chrono::milliseconds(1);
    for (std::size_t from = 0; from < m_placers.size(); ++from) {
      if ((step + static_cast<std::int64_t>(from)) % m_load.report_interval_ms != 0) {
        continue;
      }
      const std::vector<remote_load> load = m_placers[from].own_load();
      for (std::size_t to = 0; to < m_placers.size(); ++to) {
        if (to != from) {
          m_placers[to].set_remote_load("vm-" + std::to_string(from), load);
        }
      }
    }
    if (m_now >= m_next_speeds && m_load.exchanges_speeds) {
      m_next_speeds = m_now + std::chrono::milliseconds(200);
      exchange_speeds();
    }
  }

  void exchange_speeds() {
    for (std::size_t from = 0; from < m_placers.size(); ++from) {
      const std::vector<capability::speed_row> rows =
          m_placers[from].speeds().rows_to_send(capability::audience::group, 16, m_now);
      for (std::size_t to = 0; to < m_placers.size(); ++to) {
        if (to != from) {
          m_placers[to].speeds().merge("vm-" + std::to_string(from), rows, m_now);
        }
      }
    }
  }

  simulated_load m_load;
  base::random_source m_random;
  base::time_point m_now{std::chrono::seconds(1000)};
  base::time_point m_next_speeds{};
  std::map<std::string, engine> m_engines;
  std::vector<placer> m_placers;
  std::vector<std::pair<base::time_point, request_profile>> m_waiting;
  std::vector<running> m_running;
  std::set<std::uint64_t> m_prefilled_parts;
  std::uint64_t m_last_unique_part = 1000000;
  simulation_result m_result;
};

}  // namespace fuchsiaspring::placement::testing
