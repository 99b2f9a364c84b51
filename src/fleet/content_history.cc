#include "fuchsiaspring/fleet/content_history.h"

#include <algorithm>
#include <utility>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::fleet {
namespace {

// Nodes read every 0.7 s. A node that missed several versions still receives a delta instead of
// the whole content.
constexpr std::size_t max_recent_versions = 8;

}  // namespace

std::uint64_t content_hash(const content_map& content) {
  std::uint64_t hash = 0;
  for (const auto& [key, value] : content) {
    hash = base::hash64(value, base::hash64(key, hash));
  }
  return std::max<std::uint64_t>(1, hash);
}

std::size_t content_delta::size() const {
  std::size_t bytes = 0;
  for (const auto& [key, value] : changed) {
    bytes += key.size() + value.size();
  }
  for (const std::string& key : removed_keys) {
    bytes += key.size();
  }
  return bytes;
}

std::optional<content_map> apply(const content_map& content, std::uint64_t hash,
                                 const content_delta& delta) {
  if (delta.base_hash != 0 && delta.base_hash != hash) {
    return std::nullopt;
  }
  content_map result = delta.base_hash == 0 ? content_map{} : content;
  for (const std::string& key : delta.removed_keys) {
    result.erase(key);
  }
  for (const auto& [key, value] : delta.changed) {
    result[key] = value;
  }
  return content_hash(result) == delta.hash ? std::optional(std::move(result)) : std::nullopt;
}

bool content_history::add(content_map content) {
  const std::uint64_t hash = content_hash(content);
  if (hash == m_hash) {
    return false;
  }
  m_content = std::move(content);
  m_hash = hash;
  version_hashes version{.hash = hash, .value_hashes = {}};
  for (const auto& [key, value] : m_content) {
    version.value_hashes.emplace(key, base::hash64(value));
  }
  m_recent_versions.push_back(std::move(version));
  if (m_recent_versions.size() > max_recent_versions) {
    m_recent_versions.pop_front();
  }
  return true;
}

content_delta content_history::delta_since(std::uint64_t known_hash) const {
  const auto known_version =
      std::find_if(m_recent_versions.begin(), m_recent_versions.end(),
                   [&](const version_hashes& each) { return each.hash == known_hash; });
  if (known_version == m_recent_versions.end()) {
    return {.base_hash = 0, .hash = m_hash, .changed = m_content, .removed_keys = {}};
  }
  content_delta delta{.base_hash = known_hash, .hash = m_hash, .changed = {}, .removed_keys = {}};
  const std::map<std::string, std::uint64_t>& current = m_recent_versions.back().value_hashes;
  for (const auto& [key, value_hash] : current) {
    const auto before = known_version->value_hashes.find(key);
    if (before == known_version->value_hashes.end() || before->second != value_hash) {
      delta.changed.emplace(key, m_content.at(key));
    }
  }
  for (const auto& [key, value_hash] : known_version->value_hashes) {
    if (!current.contains(key)) {
      delta.removed_keys.push_back(key);
    }
  }
  return delta;
}

}  // namespace fuchsiaspring::fleet
