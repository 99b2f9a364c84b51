// A versioned value of the configuration service, read from a file; callers can wait for changes.
//
//   published_value bundles("bundle.json", parse_bundle_file);
//   bundles.reload(false);
//   auto found = bundles.wait_for_newer(5, deadline, keep_waiting);   // empty if there is none
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::standins {

// A serialized message and its revision or version.
struct versioned_bytes {
  std::uint64_t version = 0;
  std::string bytes;
};

// Reads the contents of a file; empty when they are not valid.
using file_parser = std::function<std::optional<versioned_bytes>(const std::string&)>;

class published_value {
 public:
  published_value(std::string path, file_parser parse);

  // Reads the file if it changed since the last read, or in any case with `force`.
  void reload(bool force);

  // While stale, callers receive the value from the time when stale was set.
  void set_stale(bool stale);

  // Wakes all callers in wait_for_newer(), which then evaluate `keep_waiting`.
  void notify_waiters();

  // Waits until `deadline` for a value with a version above `version`. Returns early when
  // `keep_waiting`, evaluated at least every 50 ms, is false.
  std::optional<versioned_bytes> wait_for_newer(std::uint64_t version, base::time_point deadline,
                                                const std::function<bool()>& keep_waiting);

  // Version that callers receive, 0 when there is none.
  std::uint64_t visible_version();

  // Reads of the file that failed.
  std::uint64_t failed_reads();

 private:
  std::string m_path;
  file_parser m_parse;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::filesystem::file_time_type m_read_time;
  std::uintmax_t m_read_size = 0;
  std::optional<versioned_bytes> m_newest;
  std::optional<versioned_bytes> m_visible;
  std::uint64_t m_failed_reads = 0;
  bool m_stale = false;
};

}  // namespace fuchsiaspring::standins
