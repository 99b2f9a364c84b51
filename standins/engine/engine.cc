#include "standins/engine/engine.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

#include "fuchsiaspring/base/hash.h"
#include "standins/engine/generation.h"

namespace fuchsiaspring::standins {
namespace {

constexpr auto freeze_poll_interval = std::chrono::milliseconds(20);
constexpr std::uint32_t characters_per_token = 4;

std::int64_t priority_of(const request& incoming) {
  const std::string text = incoming.header("X-Priority");
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::uint32_t prompt_tokens(const nlohmann::json& body) {
  std::size_t characters = 0;
  if (const auto prompt = body.find("prompt"); prompt != body.end() && prompt->is_string()) {
    characters = prompt->get_ref<const std::string&>().size();
  }
  if (const auto messages = body.find("messages"); messages != body.end() && messages->is_array()) {
    for (const auto& message : *messages) {
      if (message.is_object() && message.contains("content") && message["content"].is_string()) {
        characters += message["content"].get_ref<const std::string&>().size();
      }
    }
  }
  return static_cast<std::uint32_t>(characters / characters_per_token) + 1;
}

std::int64_t token_limit(const nlohmann::json& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto found = body.find(name);
    if (found != body.end() && found->is_number_integer()) {
      return found->get<std::int64_t>();
    }
  }
  return 0;
}

}  // namespace

engine::engine(engine_settings settings)
    : m_slots(settings.slots, settings.queue),
      m_settings(std::move(settings)),
      m_start_time_ms(base::wall_clock_ms()) {
  if (m_settings.cold_for_ms > 0) {
    m_cold = true;
    m_cold_until = base::boot_clock::now() + std::chrono::milliseconds(m_settings.cold_for_ms);
  }
  sample_load();
}

engine_settings engine::settings() {
  const std::lock_guard lock(m_mutex);
  return m_settings;
}

bool engine::is_cold() {
  const std::lock_guard lock(m_mutex);
  if (m_cold && m_settings.cold_for_ms > 0 && base::boot_clock::now() >= m_cold_until) {
    m_cold = false;
  }
  return m_cold;
}

bool engine::is_crashed() {
  const std::lock_guard lock(m_mutex);
  return base::boot_clock::now() < m_crashed_until;
}

void engine::record_overload() {
  ++m_overloads;
  const std::lock_guard lock(m_mutex);
  if (m_settings.crash_ms > 0) {
    ++m_crash_epoch;
    m_crashed_until = base::boot_clock::now() + std::chrono::milliseconds(m_settings.crash_ms);
  }
}

double engine::slowdown(const engine_settings& current) {
  const int others = std::max(m_slots.running() - 1, 0);
  const double by_load = 1.0 + current.slowdown * others;
  return is_cold() ? by_load * current.cold_slowdown : by_load;
}

bool engine::wait(const peer_connection& peer, base::time_point deadline,
                  std::uint64_t silence_epoch) {
  if (!peer.wait_until(deadline)) {
    return false;
  }
  while (m_silence_epoch != silence_epoch || settings().freeze) {
    if (!peer.wait_until(base::boot_clock::now() + freeze_poll_interval)) {
      return false;
    }
  }
  return true;
}

// Error response to a request that cannot be accepted now; its status is 0 if the request can be
// accepted.
reply engine::rejection_reply(const request& incoming, const std::string& id) {
  const engine_settings current = settings();
  reply response;
  response.status = 0;
  if (current.refuse) {
    incoming.peer.abort();
    response = error_reply(503, "refused", "connection closed");
  } else if (current.draining) {
    response = error_reply(503, "draining", "engine is draining");
    response.headers.emplace_back("X-Draining", "true");
  } else if (is_crashed()) {
    response = error_reply(500, "crashed", "engine is restarting");
  } else if (is_cold() && m_slots.running() + m_slots.queued() >= current.cold_limit) {
    record_overload();
    response = error_reply(500, "overload", "too many requests during cold start");
  }
  if (response.status != 0) {
    ++m_rejected;
    response.headers.emplace_back("X-Request-Id", id);
  }
  return response;
}

response_plan engine::make_plan(const nlohmann::json& body, const std::string& id, bool is_chat,
                                const engine_settings& current) {
  response_plan plan;
  plan.request_id = id;
  plan.model = body.value("model", current.model);
  plan.is_chat = is_chat;
  plan.prompt_tokens = prompt_tokens(body);
  plan.created_s = base::wall_clock_ms() / 1000;
  const auto options = body.find("stream_options");
  plan.include_usage =
      options != body.end() && options->is_object() && options->value("include_usage", false);
  plan.tokens = draw_output_length(current.seed, id, current.output_median, current.output_sigma,
                                   static_cast<std::uint32_t>(std::max(current.longest_output, 1)));
  const std::int64_t limit = token_limit(body);
  if (limit > 0 && limit < static_cast<std::int64_t>(plan.tokens)) {
    plan.tokens = static_cast<std::uint32_t>(limit);
    plan.reached_token_limit = true;
  }
  const std::lock_guard lock(m_mutex);
  if (current.wrong_id) {
    plan.request_id = m_previous_id.empty() ? "other-" + id : m_previous_id;
  } else {
    m_previous_id = id;
  }
  ++m_runs[id];
  return plan;
}

reply engine::handle_completion(const request& incoming, bool is_chat) {
  std::string id = incoming.header("X-Request-Id");
  if (id.empty()) {
    id = "engine-" + std::to_string(base::hash64(incoming.body, m_started));
  }
  const std::uint64_t silence_epoch = m_silence_epoch;
  if (!wait(incoming.peer, base::time_point{} + base::duration(1), silence_epoch)) {
    ++m_cancelled;
    return error_reply(503, "caller_gone", "caller left");
  }
  if (reply refused = rejection_reply(incoming, id); refused.status != 0) {
    return refused;
  }
  const auto body = nlohmann::json::parse(incoming.body, nullptr, false);
  if (!body.is_object()) {
    return error_reply(400, "invalid_request_error", "body is not a JSON object");
  }
  auto outcome =
      m_slots.acquire(priority_of(incoming), [&incoming] { return incoming.peer.is_closed(); });
  auto* lease = std::get_if<slot_lease>(&outcome);
  if (lease == nullptr) {
    ++(std::holds_alternative<caller_disconnected>(outcome) ? m_cancelled : m_rejected);
    reply full = error_reply(503, "overloaded", "no free slot");
    full.headers.emplace_back("X-Request-Id", id);
    return full;
  }
  ++m_started;
  m_last_start_ms = base::wall_clock_ms();
  response_plan plan = make_plan(body, id, is_chat, settings());
  reply response;
  response.headers.emplace_back("X-Request-Id", plan.request_id);
  auto running =
      std::make_shared<generation>(*this, std::move(plan), incoming.peer, std::move(*lease));
  if (body.value("stream", false)) {
    response.content_type = "text/event-stream";
    response.stream = [running](std::span<char> buffer) { return running->read(buffer); };
    return response;
  }
  if (!running->run_to_end()) {
    incoming.peer.abort();
    return error_reply(500, "cut", "answer was cut");
  }
  response.body =
      settings().garbage ? std::string("\xff\xfe not json") : response_body(running->plan());
  return response;
}

reply engine::models(const request& incoming) {
  if (!wait(incoming.peer, base::time_point{} + base::duration(1), m_silence_epoch)) {
    return error_reply(503, "caller_gone", "caller left");
  }
  const nlohmann::json entry = {
      {"id", settings().model}, {"object", "model"}, {"owned_by", "standin"}};
  return json_reply(200, {{"object", "list"}, {"data", nlohmann::json::array({entry})}});
}

reply engine::load(const request& incoming) {
  if (!wait(incoming.peer, base::time_point{} + base::duration(1), m_silence_epoch)) {
    return error_reply(503, "caller_gone", "caller left");
  }
  const std::lock_guard lock(m_mutex);
  const auto age = base::to_milliseconds(base::boot_clock::now() - m_sample.taken_at);
  return json_reply(200, {{"running", m_sample.running},
                          {"queued", m_sample.queued},
                          {"slots", m_sample.slots},
                          {"cold", m_sample.cold},
                          {"draining", m_sample.draining},
                          {"start_time_ms", m_start_time_ms},
                          {"age_ms", age}});
}

reply engine::counters() {
  nlohmann::json result = {{"started", m_started.load()},
                           {"finished", m_finished.load()},
                           {"cancelled", m_cancelled.load()},
                           {"failed", m_failed.load()},
                           {"rejected", m_rejected.load()},
                           {"overloads", m_overloads.load()},
                           {"running", m_slots.running()},
                           {"queued", m_slots.queued()},
                           {"most_running", m_slots.most_running()},
                           {"tokens", m_tokens.load()},
                           {"unfinished_tokens", m_unfinished_tokens.load()},
                           {"last_start_ms", m_last_start_ms.load()},
                           {"cold", is_cold()}};
  const std::lock_guard lock(m_mutex);
  const auto doubles = std::count_if(m_runs.begin(), m_runs.end(),
                                     [](const auto& entry) { return entry.second > 1; });
  result["request_ids"] = m_runs.size();
  result["doubles"] = doubles;
  return json_reply(200, result);
}

reply engine::control(const request& incoming) {
  const auto fields = nlohmann::json::parse(incoming.body, nullptr, false);
  if (!fields.is_object()) {
    return error_reply(400, "invalid_control", "body is not a JSON object");
  }
  {
    const std::lock_guard lock(m_mutex);
    const std::string invalid = apply_fields(fields, m_settings);
    if (!invalid.empty()) {
      return error_reply(400, "invalid_control", "unknown or invalid field " + invalid);
    }
    if (fields.contains("cold")) {
      m_cold = fields["cold"] == true;
      m_cold_until = base::boot_clock::now() + std::chrono::milliseconds(m_settings.cold_for_ms);
    }
    if (fields.value("restart", false)) {
      m_start_time_ms = base::wall_clock_ms();
    }
  }
  if (fields.value("silence_open", false)) {
    ++m_silence_epoch;
  }
  const engine_settings current = settings();
  m_slots.set_bounds(current.slots, current.queue);
  return json_reply(200, {{"ok", true}});
}

void engine::sample_load() {
  load_sample sample{.taken_at = base::boot_clock::now(),
                     .running = m_slots.running(),
                     .queued = m_slots.queued(),
                     .slots = m_slots.slots(),
                     .cold = is_cold()};
  const std::lock_guard lock(m_mutex);
  sample.cold = sample.cold && m_settings.report_cold;
  sample.draining = m_settings.draining;
  m_sample = sample;
}

std::chrono::milliseconds engine::report_interval() {
  return std::chrono::milliseconds(std::max(settings().report_interval_ms, 1));
}

}  // namespace fuchsiaspring::standins
