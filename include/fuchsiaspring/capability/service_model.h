// What one node learns about all replicas of a service together: how its expectations err on
// average, how replicas behave in brief slow phases, and how latency rises with the load.
//
//   capability::service_model model;
//   double relative = model.record(log_ratio, load_share);   // feeds the replica's speed
//   double factor = model.load_factor(0.75);                 // 1 below the knee
//
// Subtracting the average keeps a service that is slow as a whole out of the speeds of its
// replicas: the expectation follows it, and learning it twice would exaggerate it.
//
// Not thread-safe. No time is needed: samples lose weight by the number of later samples.
#pragma once

#include <array>
#include <cstddef>

namespace fuchsiaspring::capability {

// Replicas that are slower than usual for a short time.
struct slow_mode {
  double share;      // of the samples, 0 to 1
  double log_ratio;  // log of the time in a slow phase over the usual one

  friend bool operator==(const slow_mode&, const slow_mode&) = default;
};

// One measured response, as logarithms of measured over expected time.
struct latency_sample {
  double log_ratio = 0;         // to the expectation without any learned factor
  double log_usual = 0;         // the replica's usual speed factor
  double log_speed = 0;         // its factor at the dispatch, with slow phases
  double log_load = 0;          // the load factor at the dispatch
  double load_share = 0;        // of the replica's slots that were in use at the dispatch
  bool is_long_prompt = false;  // whose time also depends on what the replica had cached

  friend bool operator==(const latency_sample&, const latency_sample&) = default;
};

class service_model {
 public:
  // Returns the log ratio of the replica's speed to the service's average, without the effect of
  // the load. It is reduced for a kind of requests whose times vary more for other reasons.
  double record(const latency_sample& sample);

  slow_mode slow_phases() const;

  // Factor on the time at this share of used slots, at least 1 and not decreasing.
  double load_factor(double load_share) const;

  // Lowest share of used slots from which the time rises; 1 if it is not known to rise.
  double knee() const;

 private:
  static constexpr std::size_t bucket_count = 8;

  // Exponentially weighted mean by the number of samples.
  struct running_mean {
    double weight = 0;
    double mean = 0;

    void add(double value, double retained);
  };

  void update_load_factors();

  running_mean m_center;
  std::array<running_mean, 2> m_variance{};  // of the log ratios: short prompts, long prompts
  double m_slow_weight = 0;
  double m_slow_sum = 0;
  double m_all_weight = 0;
  std::array<running_mean, bucket_count> m_by_load{};
  std::array<double, bucket_count> m_load_factors{1, 1, 1, 1, 1, 1, 1, 1};
};

}  // namespace fuchsiaspring::capability
