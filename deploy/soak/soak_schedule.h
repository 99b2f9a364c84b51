// Runs the actions of a soak test at later times and records what is done to its fleet.
//
//   soak_schedule schedule(io);
//   schedule.record_fault("suspend", 1, 500ms);
//   schedule.run_after(500ms, [&] { resume(); });
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

constexpr std::chrono::milliseconds shortest_fault{200};
// Longer than the revocation bound, so that a suspended node resumes with an expired lease.
constexpr std::chrono::milliseconds longest_fault{4500};

// Short faults are more frequent than long ones.
inline std::chrono::milliseconds random_fault_length(base::random_source& random) {
  const auto span = static_cast<double>((longest_fault - shortest_fault).count());
  const double fraction = random.uniform() * random.uniform();
  return shortest_fault + std::chrono::milliseconds(static_cast<int>(fraction * span));
}

class soak_schedule {
 public:
  explicit soak_schedule(boost::asio::io_context& io) : m_io(io) {}

  void run_after(std::chrono::milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
  }

  void record_fault(const std::string& fault, std::size_t which, std::chrono::milliseconds length) {
    ++m_faults;
    record(fault + " " + std::to_string(which) + " for " + std::to_string(length.count()) + " ms");
  }

  void record_change(const std::string& change) {
    ++m_changes;
    record("change " + std::to_string(m_changes) + ": " + change);
  }

  std::size_t faults() const { return m_faults; }
  std::size_t changes() const { return m_changes; }
  // Faults and changes of the configuration with their times, in order.
  const std::vector<std::string>& events() const { return m_events; }
  std::chrono::milliseconds elapsed() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 m_begin);
  }

 private:
  void record(const std::string& text) {
    m_events.push_back(std::to_string(elapsed().count()) + " ms: " + text);
  }

  boost::asio::io_context& m_io;
  std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
  std::vector<std::string> m_events;
  std::size_t m_faults = 0;
  std::size_t m_changes = 0;
};

}  // namespace fuchsiaspring::soak
