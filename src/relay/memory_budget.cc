#include "fuchsiaspring/relay/memory_budget.h"

#include <algorithm>

namespace fuchsiaspring::relay {
namespace {

constexpr std::size_t bytes_in_mb = 1'000'000;
// Memory of the smallest VMs that are served.
constexpr std::size_t smallest_limit_mb = 88;

}  // namespace

// Half of the memory is left for the process itself, its configuration, and the receive buffers of
// connections that are being read. Five eighths of the budget hold six bodies of 4 MiB on the
// smallest VM.
memory_limits memory_limits::of_process(std::size_t limit_mb) {
  const std::size_t total = (limit_mb == 0 ? smallest_limit_mb : limit_mb) * bytes_in_mb;
  const std::size_t budget = total / 2;
  return {.bytes = budget, .reserved_bytes = budget / 8 * 5, .waiting_bytes = budget / 8};
}

memory_charge::~memory_charge() {
  resize(0);
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : m_budget(std::move(other.m_budget)),
      m_bytes(std::exchange(other.m_bytes, 0)),
      m_is_reservation(other.m_is_reservation) {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
  if (this != &other) {
    resize(0);
    m_budget = std::move(other.m_budget);
    m_bytes = std::exchange(other.m_bytes, 0);
    m_is_reservation = other.m_is_reservation;
  }
  return *this;
}

void memory_charge::resize(std::size_t bytes) {
  const std::size_t before = std::exchange(m_bytes, bytes);
  if (m_budget && before != bytes) {
    m_budget->change(before, bytes, m_is_reservation);
  }
}

bool memory_charge::try_resize(std::size_t bytes) {
  if (m_budget && bytes > m_bytes &&
      m_budget->m_used_bytes + (bytes - m_bytes) > m_budget->m_limits.bytes) {
    return false;
  }
  resize(bytes);
  return true;
}

std::shared_ptr<memory_budget> memory_budget::create(const memory_limits& limits) {
  return std::shared_ptr<memory_budget>(new memory_budget(limits));
}

bool memory_budget::fits(std::size_t bytes) const {
  return m_reserved_bytes == 0 || (m_reserved_bytes + bytes <= m_limits.reserved_bytes &&
                                   m_used_bytes + bytes <= m_limits.bytes);
}

memory_charge memory_budget::reserve(std::size_t bytes) {
  memory_charge reserved(shared_from_this());
  reserved.m_is_reservation = true;
  reserved.resize(bytes);
  return reserved;
}

std::optional<memory_charge> memory_budget::try_reserve(std::size_t bytes) {
  if (!m_waiters.empty() || !fits(bytes)) {
    return std::nullopt;
  }
  return reserve(bytes);
}

bool memory_budget::wait(const void* owner, std::size_t bytes, std::size_t unread_bytes,
                         grant_handler on_granted) {
  if (m_unread_bytes + unread_bytes > m_limits.waiting_bytes) {
    return false;
  }
  m_unread_bytes += unread_bytes;
  m_used_bytes += unread_bytes;
  m_waiters.push_back({owner, bytes, unread_bytes, std::move(on_granted)});
  update_shortage();
  return true;
}

void memory_budget::stop_waiting(const void* owner) {
  const auto found = std::ranges::find(m_waiters, owner, &waiter::owner);
  if (found == m_waiters.end()) {
    return;
  }
  m_unread_bytes -= found->unread_bytes;
  m_used_bytes -= found->unread_bytes;
  m_waiters.erase(found);
  grant_waiters();
  update_shortage();
}

void memory_budget::record_refusal() {
  ++m_refusals;
  if (!std::exchange(m_is_short, true) && m_on_shortage_change) {
    m_on_shortage_change(true);
  }
}

void memory_budget::set_shortage_handler(std::function<void(bool is_short)> on_change) {
  m_on_shortage_change = std::move(on_change);
}

void memory_budget::change(std::size_t from, std::size_t to, bool is_reservation) {
  m_used_bytes = m_used_bytes - from + to;
  if (is_reservation) {
    m_reserved_bytes = m_reserved_bytes - from + to;
  }
  if (to < from) {
    grant_waiters();
    update_shortage();
  }
}

void memory_budget::grant_waiters() {
  while (!m_waiters.empty() && fits(m_waiters.front().bytes)) {
    waiter granted = std::move(m_waiters.front());
    m_waiters.pop_front();
    m_unread_bytes -= granted.unread_bytes;
    m_used_bytes -= granted.unread_bytes;
    granted.on_granted(reserve(granted.bytes));
  }
}

void memory_budget::update_shortage() {
  const bool is_short = !m_waiters.empty() || (m_is_short && m_used_bytes > m_limits.bytes / 4 * 3);
  if (std::exchange(m_is_short, is_short) != is_short && m_on_shortage_change) {
    m_on_shortage_change(is_short);
  }
}

}  // namespace fuchsiaspring::relay
