#include "standins/service/run_counter.h"

namespace fuchsiaspring::standins {

std::uint64_t run_counter::record_run(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  ++m_runs;
  if (key.empty()) {
    ++m_unkeyed;
    return m_runs;
  }
  entry& found = m_entries[key];
  if (found.runs == 0) {
    found.first_ordinal = m_runs;
  }
  ++found.runs;
  return m_runs;
}

std::optional<std::uint64_t> run_counter::first_run_ordinal(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return found->second.first_ordinal;
}

void run_counter::record_read() {
  const std::lock_guard lock(m_mutex);
  ++m_reads;
}

void run_counter::record_failure() {
  const std::lock_guard lock(m_mutex);
  ++m_failures;
}

void run_counter::record_replay() {
  const std::lock_guard lock(m_mutex);
  ++m_replays;
}

nlohmann::json run_counter::to_json() {
  const std::lock_guard lock(m_mutex);
  nlohmann::json repeated_keys = nlohmann::json::array();
  for (const auto& [key, found] : m_entries) {
    if (found.runs > 1) {
      repeated_keys.push_back(key);
    }
  }
  return {{"runs", m_runs},
          {"unkeyed_runs", m_unkeyed},
          {"keys", m_entries.size()},
          {"doubles", repeated_keys.size()},
          {"doubled_keys", repeated_keys},
          {"reads", m_reads},
          {"failures", m_failures},
          {"replays", m_replays}};
}

}  // namespace fuchsiaspring::standins
