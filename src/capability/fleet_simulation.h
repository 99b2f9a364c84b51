// Simulates nodes that measure the same replicas and exchange rows, for tests without a network.
//
// Every request goes from a random node to a random replica, or to the one that `choose` names. The
// replica answers after its usual time with a random deviation.
#pragma once

#include <cmath>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/capability/service_model.h"
#include "fuchsiaspring/capability/speed_table.h"

namespace fuchsiaspring::capability::testing {

struct simulated_fleet {
  std::size_t nodes = 76;
  std::size_t domains = 4;
  std::size_t replicas = 140;
  double requests_per_s = 386;
  double lost_share = 0.05;  // of the datagrams
  double deviation = 0.35;   // of the logarithm of a response's time
  bool exchanges_rows = true;
  std::uint64_t seed = 1;
};

class fleet_simulation {
 public:
  struct node {
    speed_table table;
    service_model model;
  };

  explicit fleet_simulation(const simulated_fleet& fleet) : m_fleet(fleet), m_random(fleet.seed) {
    for (std::size_t i = 0; i < fleet.replicas; ++i) {
      keys.push_back({static_cast<std::uint32_t>(1000 + i), 1});
      slowness.push_back(1);
    }
    nodes.resize(fleet.nodes);
    for (node& each : nodes) {
      each.table.set_replicas(keys);
    }
  }

  void run(double seconds) {
    const auto steps = static_cast<std::uint64_t>(seconds * 1000 / step_ms);
    for (std::uint64_t i = 0; i < steps; ++i) {
      m_now += std::chrono::milliseconds(step_ms);
      ++m_steps;
      on_step(*this);
      m_due += m_fleet.requests_per_s * step_ms / 1000;
      for (; m_due >= 1; m_due -= 1) {
        request(m_random.uniform_below(nodes.size()));
      }
      if (m_fleet.exchanges_rows) {
        exchange();
      }
    }
  }

  double estimate(std::size_t at_node, std::size_t replica) const {
    const node& from = nodes[at_node];
    return from.table.estimate(keys[replica], from.model.slow_phases(), m_now);
  }

  // Share of the pairs of a node and one of the replicas whose estimate is at least `bound`.
  double share_above(double bound, std::size_t first, std::size_t last) const {
    double above = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (std::size_t replica = first; replica < last; ++replica) {
        above += estimate(i, replica) >= bound ? 1 : 0;
      }
    }
    return above / static_cast<double>(nodes.size() * (last - first));
  }

  base::time_point now() const { return m_now; }
  base::random_source& random() { return m_random; }

  std::vector<replica_key> keys;
  std::vector<double> slowness;  // of the replicas: multiples of the service's usual time
  std::vector<node> nodes;
  std::function<void(fleet_simulation&)> on_step = [](fleet_simulation&) {};
  std::function<std::size_t(std::size_t node)> choose;  // unset: a random replica
  std::function<bool(std::size_t from, std::size_t to)> is_cut = [](std::size_t, std::size_t) {
    return false;
  };
  std::uint64_t rows_sent = 0;  // copies for each receiver
  double time_sum = 0;          // of the responses, in multiples of the usual time
  std::uint64_t responses = 0;

 private:
  static constexpr std::uint64_t step_ms = 10;

  void request(std::size_t at_node) {
    const std::size_t replica = choose ? choose(at_node) : m_random.uniform_below(keys.size());
    node& from = nodes[at_node];
    const double log_ratio = std::log(m_random.log_normal(slowness[replica], m_fleet.deviation));
    time_sum += std::exp(log_ratio);
    ++responses;
    const double relative =
        from.model.record({.log_ratio = log_ratio,
                           .log_usual = from.table.log_usual(keys[replica], m_now),
                           .log_speed = std::log(estimate(at_node, replica))});
    from.table.record(keys[replica], relative, m_now);
  }

  // Nodes send to their domain at every heartbeat of 200 ms, to the others at every second one, and
  // not all at the same moment.
  void exchange() {
    for (std::size_t from = 0; from < nodes.size(); ++from) {
      const std::uint64_t phase = m_steps + from;
      if (phase % 20 == 0) {
        send(from, audience::group, 10);
      }
      if (phase % 40 == 0) {
        send(from, audience::other_domains, 5);
      }
    }
  }

  void send(std::size_t from, audience to, std::size_t max_rows) {
    const std::vector<speed_row> rows = nodes[from].table.rows_to_send(to, max_rows, m_now);
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      const bool is_group = other % m_fleet.domains == from % m_fleet.domains;
      if (other == from || is_group != (to == audience::group) || is_cut(from, other)) {
        continue;
      }
      rows_sent += rows.size();
      if (m_random.uniform() >= m_fleet.lost_share) {
        nodes[other].table.merge("vm-" + std::to_string(from), rows, m_now);
      }
    }
  }

  simulated_fleet m_fleet;
  base::random_source m_random;
  base::time_point m_now{std::chrono::seconds(1000)};
  std::uint64_t m_steps = 0;
  double m_due = 0;
};

}  // namespace fuchsiaspring::capability::testing
