// Seeded random schedule of many share ledgers against one upstream, for the test and the bench.
//
// One seed gives one schedule. The simulation counts the requests that run at the upstream and
// compares the count with the limit after every start.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/limits/share_ledger.h"

namespace fuchsiaspring::limits::simulation {

struct options {
  std::uint64_t seed = 1;
  std::size_t vms = 8;
  std::size_t members = 8;  // of these, users of the first view
  std::uint32_t limit = 16;
  base::duration length = std::chrono::seconds(120);
  bool loans = true;  // false: static shares alone, without messages
  ledger_settings settings;

  // Probabilities for each message.
  double loss = 0.0;
  double repeat = 0.0;
  double long_delay = 0.0;  // up to 5 s instead of up to 5 ms

  // Mean time between events; zero: none.
  base::duration pauses{};
  base::duration partitions{};
  base::duration list_changes{};
  base::duration restarts{};
  base::duration full_restarts{};
  base::duration limit_changes{};

  // Demand: `busy_vms` VMs share `offered` of the limit, the others `idle_offered`.
  std::size_t busy_vms = 2;
  double offered = 1.1;
  double idle_offered = 0.05;
  base::duration busy_rotation = std::chrono::seconds(7);  // until other VMs become busy
  base::duration mean_request = std::chrono::milliseconds(800);
  double long_requests = 0.0;  // share of requests that run up to `max_request`
};

struct result {
  std::uint64_t violations = 0;
  std::string first_violation;
  std::uint64_t started = 0;
  std::uint64_t messages = 0;
  double utilization = 0.0;  // mean of running / limit
  double demand = 0.0;       // mean of min(limit, running + queued) / limit
  // Queue times, in seconds, of requests that arrive at VMs with little demand and an empty queue.
  // If such a VM has a share, the request starts almost immediately.
  double idle_wait_mean = 0.0;
  double idle_wait_p99 = 0.0;
};

// Settings with short times, so that every time limit passes several times within a schedule.
ledger_settings short_settings();

class schedule {
 public:
  explicit schedule(const options& chosen);
  result run();

 private:
  struct request {
    request_origin origin = request_origin::granted_here;
    base::time_point ends;  // true time
  };
  struct waiting {
    base::time_point since;
    bool on_idle_vm = false;  // arrived at a VM with little demand and an empty queue
  };
  struct vm {
    std::string name;
    std::unique_ptr<share_ledger> ledger;
    std::uint64_t incarnation = 0;
    double rate = 1.0;  // of its clock
    base::duration offset{};
    std::vector<request> running;
    std::size_t unreported = 0;  // of `running`, not yet reported to the restarted ledger
    base::time_point report_at;
    std::deque<waiting> queue;
    std::uint32_t queued() const { return static_cast<std::uint32_t>(queue.size()); }
    std::uint32_t limit = 0;
    std::size_t group = 0;  // partition; only group 0 reaches the service
    base::time_point paused_until;
    base::time_point stopped_until;
    base::time_point next_tick;
    base::time_point next_contact;
  };
  struct in_flight_message {
    std::size_t from;
    std::size_t to;
    share_message body;
  };
  struct published_view {
    view_version version;
    std::vector<std::string> users;
    base::time_point at;
  };

  base::time_point local_time(const vm& node) const;
  bool is_running(const vm& node) const {
    return m_now >= node.paused_until && m_now >= node.stopped_until;
  }
  bool event_occurs(base::duration mean);
  void send(std::size_t from, const std::vector<outgoing_message>& messages);
  void deliver();
  void finish_requests(vm& node);
  void start_requests(vm& node);
  void contact_service(vm& node);
  void inject_faults();
  void change_list();
  void restart(vm& node, bool whole_vm);
  void add_demand();
  void check_limit();
  void summarize();
  std::size_t running_total() const;

  options m_options;
  base::random_source m_random;
  base::time_point m_now{std::chrono::hours(1)};
  std::vector<vm> m_vms;
  std::map<std::string, std::size_t> m_vm_index;
  std::multimap<base::time_point, in_flight_message> m_in_flight;
  std::vector<published_view> m_views;
  std::uint32_t m_limit = 0;
  base::time_point m_limit_at;
  // The highest limit of the fleet at the times of recent starts.
  std::deque<std::pair<base::time_point, std::uint32_t>> m_recent_limits;
  base::time_point m_partition_ends;
  base::time_point m_measure_from;
  result m_result;
  std::vector<double> m_idle_waits;
  double m_running_sum = 0.0;
  double m_demand_sum = 0.0;
  std::uint64_t m_samples = 0;
};

}  // namespace fuchsiaspring::limits::simulation
