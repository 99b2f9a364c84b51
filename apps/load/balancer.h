// Stands in for the platform's load balancer, which sends no new request to a target that is down.
//
//   balancer targets(plan);
//   std::size_t target = targets.pick(preferred);
//
// A target is down from a refused connection or a failed readiness check until its next successful
// check. Without readiness URLs every target always counts as up. Thread-safe.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "apps/load/load_plan.h"

namespace fuchsiaspring::load {

class balancer {
 public:
  // Checks the plan's readiness URLs on a separate thread until destruction.
  explicit balancer(const load_plan& plan);
  ~balancer();
  balancer(const balancer&) = delete;
  balancer& operator=(const balancer&) = delete;
  balancer(balancer&&) = delete;
  balancer& operator=(balancer&&) = delete;

  // `preferred` if it is up, otherwise the next target that is up; `preferred` if all are down.
  std::size_t pick(std::size_t preferred) const;

  // Marks a target down after a refused connection.
  void mark_down(std::size_t target);

 private:
  void check_targets();

  std::vector<std::string> m_ready_urls;
  std::unique_ptr<std::atomic<bool>[]> m_up;
  std::size_t m_count;
  std::atomic<bool> m_stopping{false};
  std::thread m_check_thread;
};

}  // namespace fuchsiaspring::load
