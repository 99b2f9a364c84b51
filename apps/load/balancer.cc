#include "apps/load/balancer.h"

#include <curl/curl.h>

#include <chrono>

namespace fuchsiaspring::load {
namespace {

constexpr auto check_interval = std::chrono::milliseconds(100);
constexpr long check_timeout_ms = 500;

std::size_t ignore_body(char* /*data*/, std::size_t size, std::size_t count, void* /*context*/) {
  return size * count;
}

bool is_ready(const std::string& url) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, check_timeout_ms);
  curl_easy_setopt(handle.get(), CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &ignore_body);
  return curl_easy_perform(handle.get()) == CURLE_OK;
}

}  // namespace

balancer::balancer(const load_plan& plan)
    : m_ready_urls(plan.ready_urls),
      m_up(std::make_unique<std::atomic<bool>[]>(plan.targets.size())),
      m_count(plan.targets.size()) {
  for (std::size_t index = 0; index < m_count; ++index) {
    m_up[index] = true;
  }
  if (!m_ready_urls.empty()) {
    m_check_thread = std::thread([this] { check_targets(); });
  }
}

balancer::~balancer() {
  m_stopping = true;
  if (m_check_thread.joinable()) {
    m_check_thread.join();
  }
}

std::size_t balancer::pick(std::size_t preferred) const {
  for (std::size_t step = 0; step < m_count; ++step) {
    const std::size_t candidate = (preferred + step) % m_count;
    if (m_up[candidate]) {
      return candidate;
    }
  }
  return preferred;
}

void balancer::mark_down(std::size_t target) {
  if (!m_ready_urls.empty()) {
    m_up[target] = false;
  }
}

void balancer::check_targets() {
  while (!m_stopping) {
    for (std::size_t index = 0; index < m_count; ++index) {
      m_up[index] = is_ready(m_ready_urls[index]);
    }
    std::this_thread::sleep_for(check_interval);
  }
}

}  // namespace fuchsiaspring::load
