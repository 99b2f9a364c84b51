// Highest demand of the last one to two windows.
#pragma once

#include <algorithm>
#include <cstdint>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::limits::internal {

class demand_peak {
 public:
  explicit demand_peak(base::duration window) : m_window(window) {}

  void record(std::uint32_t demand, base::time_point now) {
    if (now - m_window_start >= m_window) {
      m_previous_max = now - m_window_start >= 2 * m_window ? 0 : m_window_max;
      m_window_max = 0;
      m_window_start = now;
    }
    m_window_max = std::max(m_window_max, demand);
  }
  std::uint32_t value() const { return std::max(m_window_max, m_previous_max); }

 private:
  base::duration m_window;
  base::time_point m_window_start{};
  std::uint32_t m_window_max = 0;
  std::uint32_t m_previous_max = 0;
};

}  // namespace fuchsiaspring::limits::internal
