// Implements the HTTP endpoints of the engine stand-in: slots, cold start, faults and counters.
//
//   engine stand_in(settings);
//   server.route("POST", "/v1/chat/completions", [&](const request& incoming) {
//     return stand_in.handle_completion(incoming, true);
//   });
//
// Thread-safe. It must outlive the streams that it returned.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

#include "fuchsiaspring/base/time.h"
#include "standins/common/http_stub.h"
#include "standins/engine/engine_settings.h"
#include "standins/engine/response.h"
#include "standins/engine/slot_queue.h"

namespace fuchsiaspring::standins {

class engine {
 public:
  explicit engine(engine_settings settings);

  // Handles a completion request, streamed or not.
  reply handle_completion(const request& incoming, bool is_chat);

  reply models(const request& incoming);

  // The last load sample and its age.
  reply load(const request& incoming);

  reply counters();
  reply control(const request& incoming);

  // Takes a load sample; called every report interval.
  void sample_load();

  std::chrono::milliseconds report_interval();

 private:
  friend class generation;

  struct load_sample {
    base::time_point taken_at;
    int running = 0;
    int queued = 0;
    int slots = 0;
    bool cold = false;
    bool draining = false;
  };

  engine_settings settings();
  bool is_cold();
  bool is_crashed();
  void record_overload();

  // Factor by which concurrency and a cold start lengthen times.
  double slowdown(const engine_settings& current);

  // Waits until `deadline` and for as long as the stand-in is frozen. A connection with another
  // `silence_epoch` than the current one is silenced: the wait lasts until the caller disconnects.
  // Returns false when the caller disconnects.
  bool wait(const peer_connection& peer, base::time_point deadline, std::uint64_t silence_epoch);

  reply rejection_reply(const request& incoming, const std::string& id);
  response_plan make_plan(const nlohmann::json& body, const std::string& id, bool is_chat,
                          const engine_settings& current);

  slot_queue m_slots;
  std::mutex m_mutex;
  engine_settings m_settings;
  load_sample m_sample;
  std::unordered_map<std::string, std::uint32_t> m_runs;  // by request id
  std::string m_previous_id;
  base::time_point m_cold_until;
  base::time_point m_crashed_until;
  bool m_cold = false;
  std::uint64_t m_start_time_ms;
  std::atomic<std::uint64_t> m_silence_epoch{0};
  std::atomic<std::uint64_t> m_crash_epoch{0};
  std::atomic<std::uint64_t> m_started{0};
  std::atomic<std::uint64_t> m_finished{0};
  std::atomic<std::uint64_t> m_cancelled{0};
  std::atomic<std::uint64_t> m_failed{0};
  std::atomic<std::uint64_t> m_rejected{0};
  std::atomic<std::uint64_t> m_overloads{0};
  std::atomic<std::uint64_t> m_tokens{0};
  std::atomic<std::uint64_t> m_unfinished_tokens{0};
  std::atomic<std::uint64_t> m_last_start_ms{0};
};

}  // namespace fuchsiaspring::standins
