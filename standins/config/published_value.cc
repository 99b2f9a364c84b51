#include "standins/config/published_value.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <utility>

namespace fuchsiaspring::standins {
namespace {

constexpr auto check_interval = std::chrono::milliseconds(50);

}  // namespace

published_value::published_value(std::string path, file_parser parse)
    : m_path(std::move(path)), m_parse(std::move(parse)) {}

void published_value::reload(bool force) {
  if (m_path.empty()) {
    return;
  }
  std::error_code failure;
  const auto time = std::filesystem::last_write_time(m_path, failure);
  const auto size = failure ? 0 : std::filesystem::file_size(m_path, failure);
  const std::lock_guard lock(m_mutex);
  if (failure || (!force && time == m_read_time && size == m_read_size)) {
    return;
  }
  m_read_time = time;
  m_read_size = size;
  std::ifstream file(m_path, std::ios::binary);
  const std::string contents{std::istreambuf_iterator<char>(file), {}};
  auto parsed = m_parse(contents);
  if (!parsed) {
    ++m_failed_reads;
    return;
  }
  m_newest = std::move(parsed);
  if (!m_stale) {
    m_visible = m_newest;
    m_changed.notify_all();
  }
}

void published_value::set_stale(bool stale) {
  const std::lock_guard lock(m_mutex);
  m_stale = stale;
  if (!stale) {
    m_visible = m_newest;
  }
  m_changed.notify_all();
}

void published_value::notify_waiters() {
  const std::lock_guard lock(m_mutex);
  m_changed.notify_all();
}

std::optional<versioned_bytes> published_value::wait_for_newer(
    std::uint64_t version, base::time_point deadline, const std::function<bool()>& keep_waiting) {
  std::unique_lock lock(m_mutex);
  while (true) {
    if (m_visible && m_visible->version > version) {
      return m_visible;
    }
    const auto left = deadline - base::boot_clock::now();
    if (left <= base::duration::zero() || !keep_waiting()) {
      return std::nullopt;
    }
    m_changed.wait_for(lock, std::min<base::duration>(left, check_interval));
  }
}

std::uint64_t published_value::visible_version() {
  const std::lock_guard lock(m_mutex);
  return m_visible ? m_visible->version : 0;
}

std::uint64_t published_value::failed_reads() {
  const std::lock_guard lock(m_mutex);
  return m_failed_reads;
}

}  // namespace fuchsiaspring::standins
