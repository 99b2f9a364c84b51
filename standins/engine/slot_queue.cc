#include "standins/engine/slot_queue.h"

#include <algorithm>
#include <chrono>

namespace fuchsiaspring::standins {
namespace {

constexpr auto closed_check_interval = std::chrono::milliseconds(10);

}  // namespace

slot_lease& slot_lease::operator=(slot_lease&& other) noexcept {
  if (this != &other) {
    release();
    m_queue = std::exchange(other.m_queue, nullptr);
  }
  return *this;
}

void slot_lease::release() {
  if (slot_queue* owner = std::exchange(m_queue, nullptr)) {
    owner->return_slot();
  }
}

slot_outcome slot_queue::acquire(std::int64_t priority, const std::function<bool()>& is_closed) {
  std::unique_lock lock(m_mutex);
  if (m_running >= m_slots && m_queued >= m_queue_bound) {
    return queue_full{};
  }
  const auto waiter = m_waiting.emplace(position{priority, m_next_arrival++}, false).first;
  ++m_queued;
  grant_slots();
  while (!waiter->second) {
    if (is_closed()) {
      m_waiting.erase(waiter);
      --m_queued;
      return caller_disconnected{};
    }
    m_granted.wait_for(lock, closed_check_interval);
  }
  m_waiting.erase(waiter);
  return slot_lease(*this);
}

void slot_queue::set_bounds(int slots, int queue_bound) {
  const std::lock_guard lock(m_mutex);
  m_slots = slots;
  m_queue_bound = queue_bound;
  grant_slots();
}

int slot_queue::slots() {
  const std::lock_guard lock(m_mutex);
  return m_slots;
}

int slot_queue::running() {
  const std::lock_guard lock(m_mutex);
  return m_running;
}

int slot_queue::queued() {
  const std::lock_guard lock(m_mutex);
  return m_queued;
}

int slot_queue::most_running() {
  const std::lock_guard lock(m_mutex);
  return m_most_running;
}

void slot_queue::return_slot() {
  const std::lock_guard lock(m_mutex);
  --m_running;
  grant_slots();
}

void slot_queue::grant_slots() {
  for (auto& [waiter, is_granted] : m_waiting) {
    if (m_running >= m_slots) {
      break;
    }
    if (is_granted) {
      continue;
    }
    is_granted = true;
    --m_queued;
    ++m_running;
    m_most_running = std::max(m_most_running, m_running);
    m_granted.notify_all();
  }
}

}  // namespace fuchsiaspring::standins
