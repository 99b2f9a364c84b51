// One response that the engine stand-in generates. Holds its slot until the last token.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "fuchsiaspring/base/time.h"
#include "standins/common/http_stub.h"
#include "standins/engine/engine.h"
#include "standins/engine/response.h"
#include "standins/engine/slot_queue.h"

namespace fuchsiaspring::standins {

class generation {
 public:
  generation(engine& owner, response_plan plan, peer_connection peer, slot_lease lease);
  ~generation();
  generation(const generation&) = delete;
  generation& operator=(const generation&) = delete;
  generation(generation&&) = delete;
  generation& operator=(generation&&) = delete;

  // Next part of the event stream; see stream_reader.
  std::ptrdiff_t read(std::span<char> buffer);

  // Generates all tokens. Returns false if the caller disconnected or the response was aborted.
  bool run_to_end();

  const response_plan& plan() const { return m_plan; }

 private:
  enum class step { token, ended, cancelled, aborted };

  // Waits until the next token is due and generates it.
  step advance();

  bool is_next_token_due() const;
  // Returns the slot and counts the outcome. Only the first call has an effect.
  void finish(step reason);

  engine& m_engine;
  response_plan m_plan;
  peer_connection m_peer;
  slot_lease m_lease;
  std::string m_pending;  // bytes not yet taken by the HTTP library
  std::uint64_t m_silence_epoch;
  std::uint64_t m_crash_epoch;
  std::uint32_t m_produced = 0;
  base::time_point m_next_token_at;
  bool m_is_finished = false;
  bool m_stream_ended = false;
};

}  // namespace fuchsiaspring::standins
