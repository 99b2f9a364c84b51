// The clock and the record of a case.
#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;

// Seconds since the case began.
inline double now_s() {
  static const steady::time_point start = steady::now();
  return std::chrono::duration<double>(steady::now() - start).count();
}

inline void sleep_s(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until_s(double at) {
  if (at > now_s()) {
    sleep_s(at - now_s());
  }
}

// Whether the disruption is to be brought about.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Writes record.txt. Thread-safe.
class record {
 public:
  explicit record(const std::string& path) : m_file(path) { (void)now_s(); }

  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[1024];
    std::va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%9.3f s  ", now_s());
    const std::lock_guard lock(m_mutex);
    m_file << stamp << text << std::endl;
  }

  // Writes the verdict and returns the exit status of the case.
  int verdict(bool is_broken, const std::string& text) {
    line("%s: %s", is_broken ? "BROKEN" : "HELD", text.c_str());
    std::printf("%s: %s\n", is_broken ? "BROKEN" : "HELD", text.c_str());
    return is_broken ? 1 : 0;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

}  // namespace review
