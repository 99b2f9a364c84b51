#include "apps/fuchsiactl/operator_client.h"

#include <curl/curl.h>

#include <memory>

namespace fuchsiaspring::ctl {
namespace {

constexpr std::size_t max_body_bytes = 16'000'000;

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

curl_handle make_curl_handle() {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  return {initialized == CURLE_OK ? curl_easy_init() : nullptr, curl_easy_cleanup};
}

std::size_t append_body(const char* data, std::size_t size, std::size_t count, void* target) {
  auto& body = *static_cast<std::string*>(target);
  if (body.size() + size * count > max_body_bytes) {
    return 0;
  }
  body.append(data, size * count);
  return size * count;
}

}  // namespace

base::result<http_response> http_get(const std::string& address, const std::string& target,
                                     std::chrono::milliseconds timeout) {
  const curl_handle handle = make_curl_handle();
  if (handle == nullptr) {
    return base::error{base::error_code::internal, "libcurl cannot be initialized"};
  }
  http_response response;
  const std::string url = "http://" + address + target;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body);
  const CURLcode code = curl_easy_perform(handle.get());
  if (code != CURLE_OK) {
    return base::error{code == CURLE_OPERATION_TIMEDOUT ? base::error_code::timed_out
                                                        : base::error_code::unavailable,
                       address + ": " + curl_easy_strerror(code)};
  }
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &response.status);
  return response;
}

std::string escape_query(const std::string& text) {
  const curl_handle handle = make_curl_handle();
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(handle.get(), text.data(), static_cast<int>(text.size())), curl_free);
  return escaped == nullptr ? "" : escaped.get();
}

}  // namespace fuchsiaspring::ctl
