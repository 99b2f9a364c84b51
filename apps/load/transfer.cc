#include "apps/load/transfer.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

namespace fuchsiaspring::load {
namespace {

constexpr std::size_t max_kept_body_bytes = 16U << 20U;
constexpr long first_error_status = 400;
constexpr long first_server_error_status = 500;

std::string make_body(const mix_entry& entry, std::uint64_t serial) {
  if (entry.kind == request_kind::service) {
    return nlohmann::json{{"call", serial}}.dump();
  }
  std::string prompt = "request " + std::to_string(serial) + " ";
  prompt.resize(std::max<std::size_t>(prompt.size(), entry.prompt_bytes), 'x');
  nlohmann::json body = {{"model", entry.model}, {"stream", entry.stream}};
  if (entry.max_tokens > 0) {
    body["max_tokens"] = entry.max_tokens;
  }
  if (entry.kind == request_kind::chat) {
    body["messages"] = nlohmann::json::array({{{"role", "user"}, {"content", prompt}}});
  } else {
    body["prompt"] = prompt;
  }
  return body.dump();
}

std::string make_url(const load_plan& plan, const mix_entry& entry, std::size_t target) {
  switch (entry.kind) {
    case request_kind::chat:
      return plan.targets[target] + "/v1/chat/completions";
    case request_kind::completion:
      return plan.targets[target] + "/v1/completions";
    case request_kind::service:
      break;
  }
  return plan.targets[target] + entry.path;
}

// Stores the value of the header `name` in `value` and returns true if `line` is that header.
// `name` is in lower case and ends with a colon.
bool read_header(std::string_view line, std::string_view name, std::string& value) {
  if (line.size() < name.size() ||
      !std::equal(name.begin(), name.end(), line.begin(), [](char expected, char found) {
        return expected == std::tolower(static_cast<unsigned char>(found));
      })) {
    return false;
  }
  line.remove_prefix(name.size());
  const std::size_t first = line.find_first_not_of(" \t");
  const std::size_t last = line.find_last_not_of(" \t\r\n");
  value = first == std::string_view::npos ? "" : line.substr(first, last - first + 1);
  return true;
}

}  // namespace

transfer::transfer(const load_plan& plan, arrival planned, base::time_point scheduled)
    : m_plan(plan),
      m_entry(plan.mix[planned.entry]),
      m_arrival(std::move(planned)),
      m_scheduled(scheduled),
      m_handle(curl_easy_init()) {
  m_outcome.entry = m_arrival.entry;
  m_outcome.key = m_arrival.key;
  m_outcome.sent_late_ms = elapsed_ms();
  set_options();
}

transfer::~transfer() {
  curl_easy_cleanup(m_handle);
  curl_slist_free_all(m_headers);
}

void transfer::set_options() {
  const std::string url = make_url(m_plan, m_entry, m_arrival.target);
  curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_plan.timeout_ms));
  curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &transfer::on_body);
  curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &transfer::on_header);
  curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
  // libcurl itself repeats a request when a reused connection fails early. A keyed request must be
  // sent once, so that the count of requests per key is right.
  if (m_plan.fresh_connections || !m_arrival.key.empty()) {
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
  }
  const auto add_header = [this](const std::string& line) {
    m_headers = curl_slist_append(m_headers, line.c_str());
  };
  add_header("Expect:");
  if (!m_entry.token.empty()) {
    add_header("Authorization: Bearer " + m_entry.token);
  }
  if (!m_entry.request_class.empty()) {
    add_header("X-Request-Class: " + m_entry.request_class);
  }
  if (!m_arrival.key.empty()) {
    add_header("Idempotency-Key: " + m_arrival.key);
  }
  if (m_entry.kind != request_kind::service || m_entry.method == "POST") {
    m_request_body = make_body(m_entry, m_arrival.serial);
    add_header("Content-Type: application/json");
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_request_body.size()));
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request_body.c_str());
  }
  curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
}

bool transfer::fail_over() {
  if (!m_plan.failover || m_targets_tried >= m_plan.targets.size()) {
    return false;
  }
  ++m_targets_tried;
  m_arrival.target = (m_arrival.target + 1) % m_plan.targets.size();
  const std::string url = make_url(m_plan, m_entry, m_arrival.target);
  curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
  return true;
}

double transfer::elapsed_ms() const {
  return base::to_seconds(base::boot_clock::now() - m_scheduled) * 1000.0;
}

std::size_t transfer::on_body(char* data, std::size_t size, std::size_t count, void* context) {
  static_cast<transfer*>(context)->handle_body({data, size * count});
  return size * count;
}

std::size_t transfer::on_header(char* data, std::size_t size, std::size_t count, void* context) {
  static_cast<transfer*>(context)->handle_header({data, size * count});
  return size * count;
}

void transfer::handle_header(std::string_view line) {
  std::string value;
  if (read_header(line, "x-request-id:", value)) {
    m_outcome.request_id = value;
  } else if (read_header(line, "content-type:", value)) {
    m_is_event_stream = value.starts_with("text/event-stream");
  }
}

void transfer::handle_body(std::string_view data) {
  if (!m_is_event_stream) {
    if (m_outcome.first_token_ms == 0) {
      m_outcome.first_token_ms = elapsed_ms();
    }
    m_body.append(
        data.substr(0, max_kept_body_bytes - std::min(max_kept_body_bytes, m_body.size())));
    return;
  }
  m_splitter.append(data);
  while (const auto event = m_splitter.next()) {
    handle_event(*event);
  }
}

void transfer::handle_event(const event_stream::stream_event& event) {
  if (m_verifier.add_event(event.data) != event_result::has_words) {
    return;
  }
  const double now_ms = elapsed_ms();
  if (m_outcome.first_token_ms == 0) {
    m_outcome.first_token_ms = now_ms;
  } else {
    m_outcome.gaps_ms.push_back(static_cast<float>(now_ms - m_last_token_ms));
  }
  m_last_token_ms = now_ms;
}

request_outcome transfer::finish(CURLcode code) {
  m_outcome.total_ms = elapsed_ms();
  curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &m_outcome.status);
  classify(code);
  m_outcome.tokens = m_verifier.words();
  return std::move(m_outcome);
}

void transfer::classify(CURLcode code) {
  if (m_outcome.status >= first_error_status && code == CURLE_OK) {
    classify_error();
    return;
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    m_outcome.kind = outcome_kind::timed_out;
    m_outcome.fault = "no complete response within " + std::to_string(m_plan.timeout_ms) + " ms";
    return;
  }
  if (code == CURLE_COULDNT_CONNECT) {
    m_outcome.kind = outcome_kind::unreachable;
    m_outcome.fault = curl_easy_strerror(code);
    return;
  }
  if (code != CURLE_OK && m_outcome.status == 0) {
    m_outcome.kind = outcome_kind::lost;
    m_outcome.fault = curl_easy_strerror(code);
    return;
  }
  classify_response();
  if (code != CURLE_OK && m_outcome.kind == outcome_kind::ok &&
      m_entry.kind != request_kind::service) {
    m_outcome.kind = outcome_kind::corrupt;
    m_outcome.fault = "the connection failed after [DONE], before the end of the body";
  } else if (code != CURLE_OK && m_outcome.kind == outcome_kind::ok) {
    m_outcome.kind = outcome_kind::lost;
    m_outcome.fault = curl_easy_strerror(code);
  }
}

void transfer::classify_response() {
  if (m_entry.kind == request_kind::service) {
    m_outcome.kind = outcome_kind::ok;
    return;
  }
  if (!m_is_event_stream) {
    m_verifier.add_body(m_body);
  }
  switch (m_verifier.verdict(m_outcome.request_id)) {
    case response_verdict::complete:
      m_outcome.kind = outcome_kind::ok;
      return;
    case response_verdict::incomplete:
      m_outcome.kind = outcome_kind::cut;
      m_outcome.fault = "the stream ended without [DONE]";
      return;
    case response_verdict::failed:
      m_outcome.kind = outcome_kind::cut;
      m_outcome.fault = "the stream ended with an error event";
      return;
    case response_verdict::corrupt:
      m_outcome.kind = outcome_kind::corrupt;
      m_outcome.fault = m_verifier.fault().empty()
                            ? "words are missing or belong to another request"
                            : m_verifier.fault();
      return;
  }
}

void transfer::classify_error() {
  const auto body = nlohmann::json::parse(m_body, nullptr, false);
  if (body.is_object()) {
    const auto read = [&body](const char* name) {
      const auto found = body.find(name);
      return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    m_outcome.executed = read("executed");
    m_outcome.reason = read("reason");
  }
  if (m_outcome.executed == "no") {
    m_outcome.kind = outcome_kind::refused;
  } else if (m_outcome.status < first_server_error_status) {
    m_outcome.kind = outcome_kind::rejected;
  } else {
    m_outcome.kind = outcome_kind::failed;
  }
  m_outcome.fault = m_body.substr(0, 300);
}

}  // namespace fuchsiaspring::load
