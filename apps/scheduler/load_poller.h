// Polls the load reports of engines over HTTP on a background thread.
//
//   load_poller poller(std::chrono::milliseconds(500));
//   poller.set_targets({{"suds-1", "http://10.0.0.9:8000/load"}});
//   for (const load_reading& reading : poller.take_readings()) { router.on_load_report(...); }
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/routing/router.h"

namespace fuchsiaspring::scheduler {

struct load_reading {
  std::string upstream;
  routing::load_report report;
  base::duration age{};  // at `read_at`
  base::time_point read_at{};
};

class load_poller {
 public:
  explicit load_poller(base::duration interval);
  load_poller(const load_poller&) = delete;
  load_poller& operator=(const load_poller&) = delete;
  load_poller(load_poller&&) = delete;
  load_poller& operator=(load_poller&&) = delete;
  ~load_poller();

  // Replaces the URLs of the load reports, keyed by upstream name.
  void set_targets(std::map<std::string, std::string> urls);

  // The readings since the last call.
  std::vector<load_reading> take_readings();

 private:
  void run();

  const base::duration m_interval;
  std::mutex m_mutex;  // guards the members below
  std::condition_variable m_stop_requested;
  std::map<std::string, std::string> m_urls;
  std::vector<load_reading> m_readings;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace fuchsiaspring::scheduler
