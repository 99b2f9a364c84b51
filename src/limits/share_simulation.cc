#include "limits/share_simulation.h"

#include <algorithm>
#include <numeric>

#include "fuchsiaspring/limits/static_share.h"

namespace fuchsiaspring::limits::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration time_step = milliseconds(5);
// Utilization and waits exclude the start, when the first view comes into force.
constexpr base::duration warm_up = seconds(8);

}  // namespace

ledger_settings short_settings() {
  ledger_settings settings;
  settings.lease = milliseconds(1000);
  settings.max_request = seconds(6);
  settings.isolation_limit = seconds(4);
  // 1.1 x (isolation limit + longest request + lease), plus the longest propagation delay of a new
  // view.
  settings.reclaim_delay = milliseconds(13300);
  settings.recovery_window = milliseconds(1500);
  settings.full_start_delay = milliseconds(1500);
  settings.settle_interval = milliseconds(300);
  return settings;
}

schedule::schedule(const options& chosen)
    : m_options(chosen), m_random(chosen.seed), m_limit(chosen.limit), m_limit_at(m_now) {
  for (std::size_t i = 0; i < chosen.vms; ++i) {
    vm next;
    next.name = "vm" + std::to_string(i);
    next.rate = 0.96 + 0.08 * m_random.uniform();
    next.offset = seconds(m_random.uniform_below(100000));
    m_vm_index[next.name] = i;
    m_vms.push_back(std::move(next));
  }
  published_view first{.version = {1, 1}, .users = {}, .at = m_now};
  for (std::size_t i = 0; i < chosen.members; ++i) {
    first.users.push_back(m_vms[i].name);
  }
  m_views.push_back(first);
  for (vm& node : m_vms) {
    restart(node, true);
  }
}

base::time_point schedule::local_time(const vm& node) const {
  const double elapsed = static_cast<double>(m_now.time_since_epoch().count()) * node.rate;
  return base::time_point(node.offset + base::duration(static_cast<std::int64_t>(elapsed)));
}

bool schedule::event_occurs(base::duration mean) {
  return mean > base::duration::zero() &&
         m_random.uniform() < base::to_seconds(time_step) / base::to_seconds(mean);
}

void schedule::send(std::size_t from, const std::vector<outgoing_message>& messages) {
  for (const outgoing_message& message : messages) {
    ++m_result.messages;
    const int copies = m_random.uniform() < m_options.repeat ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (m_random.uniform() < m_options.loss) {
        continue;
      }
      const bool slow = m_random.uniform() < m_options.long_delay;
      const base::duration delay = slow ? milliseconds(m_random.uniform_below(5000))
                                        : milliseconds(1 + m_random.uniform_below(5));
      m_in_flight.emplace(m_now + delay,
                          in_flight_message{from, m_vm_index.at(message.to), message.body});
    }
  }
}

void schedule::deliver() {
  while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now) {
    const in_flight_message next = std::move(m_in_flight.begin()->second);
    m_in_flight.erase(m_in_flight.begin());
    vm& target = m_vms[next.to];
    if (m_now < target.stopped_until || target.group != m_vms[next.from].group) {
      continue;
    }
    if (m_now < target.paused_until) {
      m_in_flight.emplace(target.paused_until + milliseconds(1), next);
      continue;
    }
    send(next.to, target.ledger->on_message(m_vms[next.from].name, next.body, local_time(target)));
  }
}

void schedule::finish_requests(vm& node) {
  // Requests end at the upstream while the VM is paused; the ledger is updated after the pause.
  const bool ledger_running = is_running(node);
  for (std::size_t i = node.running.size(); i-- > 0;) {
    if (node.running[i].ends > m_now || !ledger_running) {
      continue;
    }
    const bool reported = i >= node.unreported;
    const request_origin origin = node.running[i].origin;
    node.running.erase(node.running.begin() + static_cast<std::ptrdiff_t>(i));
    if (reported) {
      node.ledger->on_finish(local_time(node), origin);
    } else {
      --node.unreported;
    }
  }
}

void schedule::start_requests(vm& node) {
  const auto may_start = [&] {
    if (m_options.loans) {
      return node.ledger->in_use() < node.ledger->usable_slots(local_time(node));
    }
    return node.running.size() < static_share(node.limit, "up", m_views.front().users, node.name);
  };
  while (!node.queue.empty() && may_start()) {
    if (node.queue.front().on_idle_vm && node.queue.front().since >= m_measure_from) {
      m_idle_waits.push_back(base::to_seconds(m_now - node.queue.front().since));
    }
    node.queue.pop_front();
    const double longest = base::to_seconds(m_options.settings.max_request);
    const double length = m_random.uniform() < m_options.long_requests
                              ? longest * m_random.uniform()
                              : m_random.exponential(base::to_seconds(m_options.mean_request));
    node.running.push_back({.ends = m_now + base::from_seconds(std::min(length, longest))});
    node.ledger->on_start(local_time(node));
    ++m_result.started;
    check_limit();
  }
}

// Reads the limit and the view from the service as they were up to 500 ms ago.
void schedule::contact_service(vm& node) {
  if (m_now < node.next_contact || node.group != 0) {
    return;
  }
  node.next_contact = m_now + milliseconds(100 + m_random.uniform_below(200));
  const base::time_point known_until = m_now - milliseconds(m_random.uniform_below(500));
  if (m_limit_at <= known_until || node.limit == 0) {
    node.limit = m_limit;
    node.ledger->set_limit(m_limit);
  }
  for (auto view = m_views.rbegin(); view != m_views.rend(); ++view) {
    if (view->at <= known_until || view + 1 == m_views.rend()) {
      node.ledger->update_view(view->version, view->users, local_time(node));
      break;
    }
  }
  node.ledger->on_majority_contact(local_time(node));
}

void schedule::restart(vm& node, bool whole_vm) {
  ++node.incarnation;
  if (whole_vm) {
    node.running.clear();
    node.queue.clear();
  }
  std::erase_if(node.running, [&](const request& entry) { return entry.ends <= m_now; });
  node.unreported = node.running.size();
  for (request& entry : node.running) {
    entry.origin = request_origin::before_restart;
  }
  node.report_at = m_now + milliseconds(m_random.uniform_below(1000));
  node.paused_until = m_now;
  node.limit = 0;
  node.next_contact = m_now + milliseconds(m_random.uniform_below(300));
  node.ledger = std::make_unique<share_ledger>(ledger_identity{"up", node.name, node.incarnation},
                                               m_options.settings, local_time(node));
}

void schedule::change_list() {
  std::vector<std::string> users = m_views.back().users;
  const std::string name = m_vms[m_random.uniform_below(m_vms.size())].name;
  const auto found = std::ranges::find(users, name);
  if (found == users.end()) {
    users.push_back(name);
  } else if (users.size() > 1) {
    users.erase(found);
  }
  view_version version = m_views.back().version;
  (m_random.uniform_below(2) == 0 ? version.list : version.bundle) += 1 + m_random.uniform_below(2);
  m_views.push_back({version, users, m_now});
}

void schedule::inject_faults() {
  vm& chosen = m_vms[m_random.uniform_below(m_vms.size())];
  if (event_occurs(m_options.pauses) && is_running(chosen)) {
    const bool long_pause = m_random.uniform_below(4) == 0;
    chosen.paused_until = m_now + milliseconds(m_random.uniform_below(long_pause ? 25000 : 3000));
  }
  if (m_now >= m_partition_ends && event_occurs(m_options.partitions)) {
    const bool long_partition = m_random.uniform_below(3) == 0;
    m_partition_ends =
        m_now + milliseconds(500 + m_random.uniform_below(long_partition ? 25000 : 4000));
    const std::size_t groups = 2 + m_random.uniform_below(2);
    for (vm& node : m_vms) {
      node.group = m_random.uniform_below(groups);
    }
  }
  if (m_now >= m_partition_ends && m_partition_ends != base::time_point{}) {
    m_partition_ends = {};
    for (vm& node : m_vms) {
      node.group = 0;
    }
  }
  if (event_occurs(m_options.list_changes)) {
    change_list();
  }
  if (event_occurs(m_options.restarts)) {
    restart(chosen, m_random.uniform_below(2) == 0);
    if (m_random.uniform_below(2) == 0) {
      chosen.stopped_until = m_now + milliseconds(m_random.uniform_below(5000));
      chosen.report_at = chosen.stopped_until;
    }
  }
  if (event_occurs(m_options.full_restarts)) {
    const bool whole_vm = m_random.uniform_below(2) == 0;
    for (vm& node : m_vms) {
      restart(node, whole_vm);
    }
  }
  if (event_occurs(m_options.limit_changes)) {
    m_limit = m_limit == m_options.limit ? 1 + m_options.limit / 8 : m_options.limit;
    m_limit_at = m_now;
  }
}

void schedule::add_demand() {
  const auto rotation =
      static_cast<std::size_t>(m_now.time_since_epoch() / m_options.busy_rotation);
  const double per_second = static_cast<double>(m_limit) / base::to_seconds(m_options.mean_request);
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    const std::size_t position = (i + m_vms.size() - (rotation * 3) % m_vms.size()) % m_vms.size();
    const bool is_busy = position < m_options.busy_vms;
    const double share =
        is_busy ? m_options.offered / static_cast<double>(m_options.busy_vms)
                : m_options.idle_offered / static_cast<double>(m_vms.size() - m_options.busy_vms);
    const bool arrives = m_random.uniform() < share * per_second * base::to_seconds(time_step);
    // Callers do not enqueue when the queue is as long as the limit.
    if (arrives && m_vms[i].queue.size() < m_limit) {
      m_vms[i].queue.push_back({m_now, !is_busy && m_vms[i].queue.empty()});
    }
  }
}

std::size_t schedule::running_total() const {
  std::size_t sum = 0;
  for (const vm& node : m_vms) {
    for (const request& entry : node.running) {
      sum += entry.ends > m_now ? 1 : 0;
    }
  }
  return sum;
}

// A constant limit must hold exactly. After it is lowered, requests and loans that began under the
// old limit may still run.
void schedule::check_limit() {
  std::uint32_t highest = m_limit;
  for (const vm& node : m_vms) {
    highest = std::max(highest, node.limit);
  }
  m_recent_limits.emplace_back(m_now, highest);
  while (m_now - m_recent_limits.front().first > m_options.settings.max_request + seconds(3)) {
    m_recent_limits.pop_front();
  }
  for (const auto& [at, limit] : m_recent_limits) {
    highest = std::max(highest, limit);
  }
  if (running_total() > highest && m_result.violations++ == 0) {
    m_result.first_violation =
        "seed " + std::to_string(m_options.seed) + ": " + std::to_string(running_total()) +
        " running requests exceed the limit of " + std::to_string(highest) + " at " +
        std::to_string(base::to_milliseconds(m_now.time_since_epoch())) + " ms";
  }
}

result schedule::run() {
  const base::time_point end = m_now + m_options.length;
  m_measure_from = m_now + warm_up;
  for (; m_now < end; m_now += time_step) {
    inject_faults();
    add_demand();
    deliver();
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      vm& node = m_vms[i];
      finish_requests(node);
      if (!is_running(node)) {
        continue;
      }
      if (node.unreported > 0 && m_now >= node.report_at) {
        for (; node.unreported > 0; --node.unreported) {
          node.ledger->on_start(local_time(node), request_origin::before_restart);
        }
      }
      contact_service(node);
      node.ledger->set_demand({node.queued()});
      if (m_options.loans && m_now >= node.next_tick) {
        node.next_tick = m_now + milliseconds(100);
        send(i, node.ledger->tick(local_time(node)));
      }
      start_requests(node);
    }
    if (m_now < m_measure_from) {
      continue;
    }
    std::size_t queued = 0;
    for (const vm& node : m_vms) {
      queued += node.queue.size();
    }
    const double limit = m_limit;
    const auto running = static_cast<double>(running_total());
    m_running_sum += running / limit;
    m_demand_sum += std::min(limit, running + static_cast<double>(queued)) / limit;
    ++m_samples;
  }
  summarize();
  return m_result;
}

void schedule::summarize() {
  m_result.utilization = m_running_sum / static_cast<double>(m_samples);
  m_result.demand = m_demand_sum / static_cast<double>(m_samples);
  if (m_idle_waits.empty()) {
    return;
  }
  std::ranges::sort(m_idle_waits);
  const auto count = static_cast<double>(m_idle_waits.size());
  m_result.idle_wait_mean = std::accumulate(m_idle_waits.begin(), m_idle_waits.end(), 0.0) / count;
  m_result.idle_wait_p99 = m_idle_waits[static_cast<std::size_t>(0.99 * (count - 1.0))];
}

}  // namespace fuchsiaspring::limits::simulation
