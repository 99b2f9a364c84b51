#include "fuchsiaspring/base/time.h"

#include <ctime>

namespace fuchsiaspring::base {

boot_clock::time_point boot_clock::now() noexcept {
  timespec value{};
  ::clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

std::uint64_t wall_clock_ms() noexcept {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace fuchsiaspring::base
