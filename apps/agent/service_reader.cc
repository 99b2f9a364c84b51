#include "apps/agent/service_reader.h"

#include <array>
#include <optional>
#include <utility>

namespace fuchsiaspring::agent {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time beyond the requested wait after which a watch call has failed.
constexpr base::duration response_slack = seconds(3);
// Delay after a failed call, before jitter. 14 readers with two calls each retry at about
// 28 calls/s.
constexpr base::duration retry_delay = seconds(1);
constexpr std::size_t max_response_bytes = 4U << 20U;
constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

std::optional<std::string> read_body(http::upstream_transfer& transfer) {
  std::string body;
  std::array<char, 16384> buffer{};
  while (body.size() <= max_response_bytes) {
    const auto size = transfer.read(buffer);
    if (!size) {
      return std::nullopt;
    }
    if (size.value() == 0) {
      return body;
    }
    body.append(buffer.data(), size.value());
  }
  return std::nullopt;
}

}  // namespace

service_reader::service_reader(service_reader_options options, delivery deliver)
    : m_options(std::move(options)), m_deliver(std::move(deliver)) {
  m_bundle.path = "/v1/bundle";
  m_bundle.is_bundle = true;
  m_list.path = "/v1/vms";
  m_bundle.thread = std::thread([this] { run(m_bundle, m_options.seed); });
  m_list.thread = std::thread([this] { run(m_list, m_options.seed + 1); });
}

service_reader::~service_reader() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    for (watched_resource* resource : {&m_bundle, &m_list}) {
      if (resource->active_transfer != nullptr) {
        resource->active_transfer->cancel();
      }
    }
  }
  m_changed.notify_all();
  m_bundle.thread.join();
  m_list.thread.join();
}

void service_reader::set_watching(bool watching) {
  const std::lock_guard lock(m_mutex);
  if (m_watching != watching) {
    m_watching = watching;
    m_changed.notify_all();
  }
}

void service_reader::request_read() {
  const std::lock_guard lock(m_mutex);
  m_bundle.read_requested = true;
  m_list.read_requested = true;
  m_changed.notify_all();
}

void service_reader::set_known_versions(std::uint64_t bundle_revision, std::uint64_t list_version) {
  const std::lock_guard lock(m_mutex);
  m_bundle.known_version = bundle_revision;
  m_list.known_version = list_version;
}

void service_reader::run(watched_resource& resource, std::uint64_t seed) {
  base::random_source random(seed);
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    if (!m_watching && !resource.read_requested) {
      m_changed.wait(lock);
      continue;
    }
    resource.read_requested = false;
    const base::duration wait = m_watching ? m_options.wait : base::duration{};
    const std::uint64_t after = resource.known_version;
    lock.unlock();
    const bool succeeded = read_once(resource, after, wait);
    const base::duration delay =
        base::from_seconds(base::to_seconds(retry_delay) * (0.5 + random.uniform()));
    lock.lock();
    if (!succeeded) {
      m_changed.wait_for(lock, delay, [this] { return m_stopping; });
    } else if (resource.known_version == after) {
      // The agent may not have called set_known_versions() yet; without this delay the same value
      // would be read again.
      m_changed.wait_for(lock, milliseconds(20), [this] { return m_stopping; });
    }
  }
}

bool service_reader::read_once(watched_resource& resource, std::uint64_t after,
                               base::duration wait) {
  ++m_calls;
  http::upstream_transfer transfer(
      m_pool, {.url = m_options.url + resource.path + "?after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(base::to_milliseconds(wait)),
               .first_byte_timeout = wait + response_slack,
               .idle_timeout = response_slack});
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
      return false;
    }
    resource.active_transfer = &transfer;
  }
  const auto status = transfer.wait_for_head();
  std::optional<std::string> body;
  if (status && (status.value() == status_ok || status.value() == status_not_modified)) {
    body = read_body(transfer);
  }
  {
    const std::lock_guard lock(m_mutex);
    resource.active_transfer = nullptr;
  }
  schema::Envelope delivered;
  bool parsed = body.has_value();
  const bool has_value = parsed && status.value() == status_ok;
  if (resource.is_bundle) {
    schema::BundleReply& reply = *delivered.mutable_bundle_reply();
    parsed = parsed && (!has_value || reply.mutable_bundle()->ParseFromString(*body));
  } else {
    schema::VmListReply& reply = *delivered.mutable_vm_list_reply();
    parsed = parsed && (!has_value || reply.mutable_list()->ParseFromString(*body));
  }
  if (!parsed) {
    ++m_failed;
    return false;
  }
  m_deliver(std::move(delivered));
  return true;
}

}  // namespace fuchsiaspring::agent
