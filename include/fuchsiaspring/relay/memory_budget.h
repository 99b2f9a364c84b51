// Budget of the bytes that a process holds for its callers.
//
//   auto budget = relay::memory_budget::create(relay::memory_limits::of_process(limit_mb));
//   relay::memory_charge charge(budget);
//   if (!charge.try_resize(16384)) { ... }           // refuse, or close something first
//   auto body = budget->try_reserve(announced_bytes);
//   if (!body) { budget->wait(&waiter, announced_bytes, [](relay::memory_charge granted) { ... });
//   }
//
// Small amounts are charged as they grow. A body above `small_body_bytes` is reserved as a whole
// before more of it is read: bodies that each hold a part of the budget and wait for the rest would
// never end. Reservations are limited to a part of the budget, so that small requests go on beside
// them, and are granted in the order in which they were asked for. One is always granted when there
// is no other, whatever its size.
//
// Contains no input or output. Not thread-safe; one event loop owns it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <utility>

namespace fuchsiaspring::relay {

// Bodies up to this size need no reservation.
inline constexpr std::size_t small_body_bytes = 65536;

struct memory_limits {
  std::size_t bytes = SIZE_MAX;           // of all charges
  std::size_t reserved_bytes = SIZE_MAX;  // of reservations
  std::size_t waiting_bytes = SIZE_MAX;   // in the system's receive buffers of those that wait

  // Limits of a process that the platform ends at `limit_mb`; 0 if that is unknown.
  static memory_limits of_process(std::size_t limit_mb);

  friend bool operator==(const memory_limits&, const memory_limits&) = default;
};

class memory_budget;

// A part of a budget, which it returns when it is destroyed.
class memory_charge {
 public:
  memory_charge() = default;  // of no budget; its size is not counted
  explicit memory_charge(std::shared_ptr<memory_budget> budget) : m_budget(std::move(budget)) {}
  ~memory_charge();
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;
  memory_charge(memory_charge&& other) noexcept;
  memory_charge& operator=(memory_charge&& other) noexcept;

  std::size_t bytes() const { return m_bytes; }
  bool is_reservation() const { return m_is_reservation; }

  // Sets the size, also beyond the limit of the budget.
  void resize(std::size_t bytes);

  // Returns false and changes nothing if the budget lacks the bytes.
  bool try_resize(std::size_t bytes);

 private:
  friend class memory_budget;

  std::shared_ptr<memory_budget> m_budget;
  std::size_t m_bytes = 0;
  bool m_is_reservation = false;
};

class memory_budget : public std::enable_shared_from_this<memory_budget> {
 public:
  using grant_handler = std::function<void(memory_charge)>;

  static std::shared_ptr<memory_budget> create(const memory_limits& limits = {});

  // Returns nothing while the reservation does not fit or others wait for theirs.
  std::optional<memory_charge> try_reserve(std::size_t bytes);

  // Calls `on_granted` once the reservation fits, from the call that returned the bytes.
  // `unread_bytes` may stay in the system's buffers until then. Returns false if too many of these
  // wait already. `owner` identifies the request for stop_waiting().
  bool wait(const void* owner, std::size_t bytes, std::size_t unread_bytes,
            grant_handler on_granted);
  void stop_waiting(const void* owner);

  // Counts a request that got no memory; the budget is short until a quarter of it is free again.
  void record_refusal();

  // Called with true when the budget becomes short and with false when it is not any more.
  void set_shortage_handler(std::function<void(bool is_short)> on_change);

  const memory_limits& limits() const { return m_limits; }
  std::size_t used_bytes() const { return m_used_bytes; }
  std::size_t reserved_bytes() const { return m_reserved_bytes; }
  std::size_t waiting() const { return m_waiters.size(); }
  std::uint64_t refusals() const { return m_refusals; }
  bool is_short() const { return m_is_short; }

 private:
  friend class memory_charge;

  struct waiter {
    const void* owner = nullptr;
    std::size_t bytes = 0;
    std::size_t unread_bytes = 0;
    grant_handler on_granted;
  };

  explicit memory_budget(const memory_limits& limits) : m_limits(limits) {}

  bool fits(std::size_t bytes) const;
  memory_charge reserve(std::size_t bytes);
  void change(std::size_t from, std::size_t to, bool is_reservation);
  void grant_waiters();
  void update_shortage();

  memory_limits m_limits;
  std::size_t m_used_bytes = 0;  // with reservations
  std::size_t m_reserved_bytes = 0;
  std::size_t m_unread_bytes = 0;  // of all waiters
  std::list<waiter> m_waiters;     // in the order of their calls
  std::uint64_t m_refusals = 0;
  bool m_is_short = false;
  std::function<void(bool)> m_on_shortage_change;
};

}  // namespace fuchsiaspring::relay
