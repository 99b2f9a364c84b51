// Slots of the engine stand-in, granted by priority and then in order of arrival.
//
//   slot_queue slots(8, 4);
//   auto outcome = slots.acquire(priority, is_closed);
//   if (auto* lease = std::get_if<slot_lease>(&outcome)) { ... }   // the lease returns the slot
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <variant>

namespace fuchsiaspring::standins {

class slot_queue;

// One occupied slot. Returns it on destruction. The queue must outlive the lease.
class slot_lease {
 public:
  slot_lease() = default;
  explicit slot_lease(slot_queue& owner) : m_queue(&owner) {}
  slot_lease(slot_lease&& other) noexcept : m_queue(std::exchange(other.m_queue, nullptr)) {}
  slot_lease& operator=(slot_lease&& other) noexcept;
  slot_lease(const slot_lease&) = delete;
  slot_lease& operator=(const slot_lease&) = delete;
  ~slot_lease() { release(); }

  void release();

 private:
  slot_queue* m_queue = nullptr;
};

struct queue_full {};
struct caller_disconnected {};
using slot_outcome = std::variant<slot_lease, queue_full, caller_disconnected>;

class slot_queue {
 public:
  // Up to `slots` requests run concurrently and up to `queue_bound` more are queued.
  slot_queue(int slots, int queue_bound) : m_slots(slots), m_queue_bound(queue_bound) {}

  // Waits for a slot; a lower `priority` is served first. Polls `is_closed` at least every 10 ms
  // and gives up when it returns true.
  slot_outcome acquire(std::int64_t priority, const std::function<bool()>& is_closed);

  void set_bounds(int slots, int queue_bound);
  int slots();
  int running();
  int queued();
  int most_running();

 private:
  friend class slot_lease;

  using position = std::pair<std::int64_t, std::uint64_t>;  // priority, arrival

  void return_slot();
  void grant_slots();  // requires m_mutex

  std::mutex m_mutex;
  std::condition_variable m_granted;
  std::map<position, bool> m_waiting;  // value: whether a slot was granted
  std::uint64_t m_next_arrival = 0;
  int m_slots;
  int m_queue_bound;
  int m_running = 0;
  int m_queued = 0;
  int m_most_running = 0;
};

}  // namespace fuchsiaspring::standins
