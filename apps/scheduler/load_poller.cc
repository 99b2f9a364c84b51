#include "apps/scheduler/load_poller.h"

#include <curl/curl.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace fuchsiaspring::scheduler {
namespace {

// A slower reply would describe an outdated load.
constexpr long read_timeout_ms = 400;
constexpr std::size_t max_report_bytes = 16U << 10U;
constexpr int poll_wait_ms = 100;

struct pending_read {
  std::string upstream;
  CURL* handle = nullptr;
  std::string body;
};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
  auto& body = *static_cast<std::string*>(target);
  if (body.size() + size * count > max_report_bytes) {
    return 0;
  }
  body.append(data, size * count);
  return size * count;
}

template <typename Value>
Value member_or(const nlohmann::json& object, const char* name, Value default_value) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return default_value;
  }
  if constexpr (std::is_same_v<Value, bool>) {
    return found->is_boolean() ? found->get<bool>() : default_value;
  } else {
    return found->is_number_unsigned() ? found->get<Value>() : default_value;
  }
}

std::optional<load_reading> parse_load_report(const pending_read& read) {
  const auto body = nlohmann::json::parse(read.body, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  load_reading reading{.upstream = read.upstream, .read_at = base::boot_clock::now()};
  reading.report.running = member_or<std::uint32_t>(body, "running", 0);
  reading.report.queued = member_or<std::uint32_t>(body, "queued", 0);
  reading.report.cold = member_or(body, "cold", false);
  reading.report.draining = member_or(body, "draining", false);
  reading.report.started_at = member_or<std::uint64_t>(body, "start_time_ms", 0);
  reading.age = std::chrono::milliseconds(member_or<std::uint64_t>(body, "age_ms", 0));
  return reading;
}

// Reads all reports concurrently, so that an unresponsive engine does not delay the others.
std::vector<load_reading> read_all(CURLM* multi, const std::map<std::string, std::string>& urls) {
  std::vector<std::unique_ptr<pending_read>> reads;
  for (const auto& [upstream, url] : urls) {
    auto read = std::make_unique<pending_read>();
    read->upstream = upstream;
    read->handle = curl_easy_init();
    curl_easy_setopt(read->handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(read->handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(read->handle, CURLOPT_PROXY, "");
    curl_easy_setopt(read->handle, CURLOPT_TIMEOUT_MS, read_timeout_ms);
    curl_easy_setopt(read->handle, CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(read->handle, CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(read->handle, CURLOPT_WRITEDATA, &read->body);
    curl_multi_add_handle(multi, read->handle);
    reads.push_back(std::move(read));
  }
  int running = static_cast<int>(reads.size());
  while (running > 0) {
    curl_multi_perform(multi, &running);
    if (running > 0) {
      curl_multi_poll(multi, nullptr, 0, poll_wait_ms, nullptr);
    }
  }
  std::vector<load_reading> readings;
  for (const auto& read : reads) {
    if (auto reading = parse_load_report(*read)) {
      readings.push_back(std::move(*reading));
    }
    curl_multi_remove_handle(multi, read->handle);
    curl_easy_cleanup(read->handle);
  }
  return readings;
}

}  // namespace

load_poller::load_poller(base::duration interval) : m_interval(interval) {
  m_thread = std::thread([this] { run(); });
}

load_poller::~load_poller() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_stop_requested.notify_all();
  m_thread.join();
}

void load_poller::set_targets(std::map<std::string, std::string> urls) {
  const std::lock_guard lock(m_mutex);
  m_urls = std::move(urls);
}

std::vector<load_reading> load_poller::take_readings() {
  const std::lock_guard lock(m_mutex);
  return std::exchange(m_readings, {});
}

void load_poller::run() {
  CURLM* multi = curl_multi_init();
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    const auto urls = m_urls;
    lock.unlock();
    auto readings = read_all(multi, urls);
    lock.lock();
    for (load_reading& reading : readings) {
      m_readings.push_back(std::move(reading));
    }
    m_stop_requested.wait_for(lock, m_interval, [&] { return m_stopping; });
  }
  lock.unlock();
  curl_multi_cleanup(multi);
}

}  // namespace fuchsiaspring::scheduler
