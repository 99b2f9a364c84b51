// Counts the executions of each key in the service stand-in.
//
//   run_counter counter;
//   counter.record_run("key-1");
//   counter.to_json();   // {"runs": 1, "keys": 1, "doubles": 0, ...}
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace fuchsiaspring::standins {

class run_counter {
 public:
  // Counts one execution of `key` and returns its ordinal among all executions.
  std::uint64_t record_run(const std::string& key);

  // Ordinal of the first execution of `key`, empty if there was none.
  std::optional<std::uint64_t> first_run_ordinal(const std::string& key);

  void record_read();
  void record_failure();
  void record_replay();

  // All counts, and the keys executed more than once.
  nlohmann::json to_json();

 private:
  struct entry {
    std::uint64_t first_ordinal = 0;
    std::uint64_t runs = 0;
  };

  std::mutex m_mutex;
  std::map<std::string, entry> m_entries;
  std::uint64_t m_runs = 0;
  std::uint64_t m_unkeyed = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_replays = 0;
};

}  // namespace fuchsiaspring::standins
