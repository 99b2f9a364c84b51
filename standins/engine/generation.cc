#include "standins/engine/generation.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::standins {
namespace {

constexpr double milliseconds_per_second = 1000.0;
// Further due tokens are added to one read while the buffer has this much space for an event.
constexpr std::size_t event_reserve_bytes = 1024;

base::duration from_ms(double value) {
  return base::from_seconds(value / milliseconds_per_second);
}

}  // namespace

generation::generation(engine& owner, response_plan plan, peer_connection peer, slot_lease lease)
    : m_engine(owner),
      m_plan(std::move(plan)),
      m_peer(peer),
      m_lease(std::move(lease)),
      m_silence_epoch(owner.m_silence_epoch),
      m_crash_epoch(owner.m_crash_epoch) {
  const engine_settings current = owner.settings();
  const double first_ms =
      current.first_token_ms + current.prompt_token_us * m_plan.prompt_tokens / 1000.0;
  m_next_token_at = base::boot_clock::now() + from_ms(first_ms * owner.slowdown(current));
}

generation::~generation() {
  finish(step::cancelled);
}

void generation::finish(step reason) {
  if (std::exchange(m_is_finished, true)) {
    return;
  }
  m_lease.release();
  if (reason == step::ended) {
    ++m_engine.m_finished;
    return;
  }
  m_engine.m_unfinished_tokens += m_produced;
  ++(reason == step::aborted ? m_engine.m_failed : m_engine.m_cancelled);
}

generation::step generation::advance() {
  if (m_produced == m_plan.tokens) {
    finish(step::ended);
    return step::ended;
  }
  if (!m_engine.wait(m_peer, m_next_token_at, m_silence_epoch)) {
    finish(step::cancelled);
    return step::cancelled;
  }
  const engine_settings current = m_engine.settings();
  const bool is_aborted = current.fail_after_tokens > 0 &&
                          std::cmp_greater_equal(m_produced, current.fail_after_tokens);
  if (is_aborted || m_engine.m_crash_epoch != m_crash_epoch) {
    finish(step::aborted);
    return step::aborted;
  }
  ++m_produced;
  ++m_engine.m_tokens;
  m_next_token_at += from_ms(current.token_ms * m_engine.slowdown(current));
  return step::token;
}

bool generation::is_next_token_due() const {
  return m_produced > 0 && m_next_token_at <= base::boot_clock::now();
}

std::ptrdiff_t generation::read(std::span<char> buffer) {
  while (m_pending.empty() || (m_pending.size() + event_reserve_bytes < buffer.size() &&
                               is_next_token_due() && !m_stream_ended)) {
    if (m_stream_ended) {
      return stream_end;
    }
    const step last_step = advance();
    if (last_step == step::cancelled || last_step == step::aborted) {
      return stream_broken;
    }
    if (last_step == step::ended) {
      m_pending += closing_events(m_plan);
      m_stream_ended = true;
      continue;
    }
    m_pending += m_engine.settings().garbage ? std::string("\xff\xfe\x01 {not json\n\x00\x7f", 15)
                                             : word_event(m_plan, m_produced);
  }
  const std::size_t count = std::min(buffer.size(), m_pending.size());
  std::copy_n(m_pending.begin(), count, buffer.begin());
  m_pending.erase(0, count);
  return static_cast<std::ptrdiff_t>(count);
}

bool generation::run_to_end() {
  while (true) {
    const step last_step = advance();
    if (last_step == step::ended) {
      return true;
    }
    if (last_step != step::token) {
      return false;
    }
  }
}

}  // namespace fuchsiaspring::standins
