#include "apps/load/run.h"

#include <curl/curl.h>

#include <algorithm>
#include <map>
#include <memory>
#include <thread>

#include "apps/load/balancer.h"
#include "apps/load/transfer.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::load {
namespace {

constexpr int longest_poll_ms = 50;
constexpr long cached_connections = 4096;
constexpr auto progress_interval = std::chrono::seconds(1);

struct shared_counts {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> ended{0};
  std::atomic<std::uint64_t> ok{0};
  std::atomic<std::uint64_t> refused{0};
};

// Runs part of the schedule on one thread with its own libcurl multi handle.
class worker {
 public:
  worker(const load_plan& plan, std::vector<arrival> schedule, base::time_point start,
         shared_counts& counts, balancer& target_balancer, const std::atomic<bool>& stop_requested)
      : m_plan(plan),
        m_schedule(std::move(schedule)),
        m_start(start),
        m_counts(counts),
        m_balancer(target_balancer),
        m_stop_requested(stop_requested),
        m_multi(curl_multi_init()) {
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, cached_connections);
  }
  ~worker() {
    for (auto& [handle, each] : m_transfers) {
      curl_multi_remove_handle(m_multi, handle);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
  }
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;
  worker(worker&&) = delete;
  worker& operator=(worker&&) = delete;

  void run() {
    while (has_unsent() || !m_transfers.empty()) {
      send_due();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      collect_finished();
      wait();
    }
  }

  std::vector<request_outcome>& outcomes() { return m_outcomes; }

 private:
  bool has_unsent() const { return m_next < m_schedule.size() && !m_stop_requested; }

  void send_due() {
    while (has_unsent()) {
      const base::time_point due = m_start + m_schedule[m_next].offset;
      if (due > base::boot_clock::now()) {
        return;
      }
      arrival& planned = m_schedule[m_next];
      ++m_next;
      planned.target = m_balancer.pick(planned.target);
      auto next = std::make_unique<transfer>(m_plan, std::move(planned), due);
      curl_multi_add_handle(m_multi, next->handle());
      ++m_counts.sent;
      CURL* handle = next->handle();
      m_transfers.emplace(handle, std::move(next));
    }
  }

  void collect_finished() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* handle = message->easy_handle;
      const CURLcode code = message->data.result;
      const auto found = m_transfers.find(handle);
      curl_multi_remove_handle(m_multi, handle);
      if (code == CURLE_COULDNT_CONNECT) {
        m_balancer.mark_down(found->second->target());
        if (found->second->fail_over()) {
          curl_multi_add_handle(m_multi, handle);
          continue;
        }
      }
      m_outcomes.push_back(found->second->finish(code));
      m_transfers.erase(found);
      ++m_counts.ended;
      m_counts.ok += m_outcomes.back().kind == outcome_kind::ok ? 1 : 0;
      m_counts.refused += m_outcomes.back().kind == outcome_kind::refused ? 1 : 0;
    }
  }

  void wait() {
    auto timeout = std::chrono::milliseconds(longest_poll_ms);
    if (has_unsent()) {
      const auto left = m_start + m_schedule[m_next].offset - base::boot_clock::now();
      // Rounded down: the worker polls without a timeout for the last part of a millisecond rather
      // than send the request late.
      timeout = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                           std::chrono::milliseconds(0), timeout);
    }
    curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(timeout.count()), nullptr);
  }

  const load_plan& m_plan;
  std::vector<arrival> m_schedule;
  std::size_t m_next = 0;
  base::time_point m_start;
  shared_counts& m_counts;
  balancer& m_balancer;
  const std::atomic<bool>& m_stop_requested;
  CURLM* m_multi;
  std::map<CURL*, std::unique_ptr<transfer>> m_transfers;
  std::vector<request_outcome> m_outcomes;
};

}  // namespace

run_result run_load(const load_plan& plan, const std::atomic<bool>& stop_requested,
                    const std::function<void(const run_progress&)>& report_progress) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const auto schedule = make_schedule(plan, base::wall_clock_ms());
  std::vector<std::vector<arrival>> shares(plan.threads);
  for (const arrival& each : schedule) {
    shares[each.serial % plan.threads].push_back(each);
  }
  const base::time_point start = base::boot_clock::now();
  shared_counts counts;
  balancer target_balancer(plan);
  std::vector<std::unique_ptr<worker>> workers;
  std::vector<std::thread> threads;
  std::atomic<std::uint32_t> running{plan.threads};
  for (auto& share : shares) {
    workers.push_back(std::make_unique<worker>(plan, std::move(share), start, counts,
                                               target_balancer, stop_requested));
    threads.emplace_back([&running, &each = *workers.back()] {
      each.run();
      --running;
    });
  }
  base::time_point next_report = start + progress_interval;
  while (running > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    if (base::boot_clock::now() >= next_report) {
      next_report += progress_interval;
      report_progress({base::to_seconds(base::boot_clock::now() - start), counts.sent, counts.ended,
                       counts.ok, counts.refused});
    }
  }
  run_result result;
  result.duration_s = base::to_seconds(base::boot_clock::now() - start);
  result.sent = counts.sent;
  for (std::size_t index = 0; index < workers.size(); ++index) {
    threads[index].join();
    auto& found = workers[index]->outcomes();
    std::move(found.begin(), found.end(), std::back_inserter(result.outcomes));
  }
  return result;
}

}  // namespace fuchsiaspring::load
