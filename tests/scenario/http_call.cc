#include "tests/scenario/http_call.h"

#include <curl/curl.h>

#include <memory>

namespace fuchsiaspring::scenario {
namespace {

constexpr long timeout_ms = 1000;

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* context) {
  static_cast<std::string*>(context)->append(data, size * count);
  return size * count;
}

}  // namespace

std::optional<http_response> http_call(const std::string& url,
                                       const std::optional<std::string>& body) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  http_response response;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &on_body);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body);
  if (body) {
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body->c_str());
  }
  if (curl_easy_perform(handle.get()) != CURLE_OK) {
    return std::nullopt;
  }
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &response.status);
  return response;
}

}  // namespace fuchsiaspring::scenario
