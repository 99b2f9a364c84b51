#include "fuchsiaspring/fleet/content_history.h"

#include <algorithm>
#include <utility>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::fleet {
namespace {

// Nodes read every 0.7 s; one that missed the changes of several reads still gets a change.
constexpr std::size_t max_former_contents = 8;

}  // namespace

std::uint64_t content_hash(const content_map& content) {
  std::uint64_t hash = 0;
  for (const auto& [key, value] : content) {
    hash = base::hash64(value, base::hash64(key, hash));
  }
  return std::max<std::uint64_t>(1, hash);
}

std::size_t content_change::size() const {
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
                                 const content_change& change) {
  if (change.base_hash != 0 && change.base_hash != hash) {
    return std::nullopt;
  }
  content_map result = change.base_hash == 0 ? content_map{} : content;
  for (const std::string& key : change.removed_keys) {
    result.erase(key);
  }
  for (const auto& [key, value] : change.changed) {
    result[key] = value;
  }
  return content_hash(result) == change.hash ? std::optional(std::move(result)) : std::nullopt;
}

bool content_history::add(content_map content) {
  const std::uint64_t hash = content_hash(content);
  if (hash == m_hash) {
    return false;
  }
  m_content = std::move(content);
  m_hash = hash;
  former_content made{.hash = hash, .value_hashes = {}};
  for (const auto& [key, value] : m_content) {
    made.value_hashes.emplace(key, base::hash64(value));
  }
  m_former.push_back(std::move(made));
  if (m_former.size() > max_former_contents) {
    m_former.pop_front();
  }
  return true;
}

content_change content_history::change_since(std::uint64_t known_hash) const {
  const auto base = std::find_if(m_former.begin(), m_former.end(), [&](const former_content& each) {
    return each.hash == known_hash;
  });
  if (base == m_former.end()) {
    return {.base_hash = 0, .hash = m_hash, .changed = m_content, .removed_keys = {}};
  }
  content_change change{.base_hash = known_hash, .hash = m_hash, .changed = {}, .removed_keys = {}};
  const std::map<std::string, std::uint64_t>& present = m_former.back().value_hashes;
  for (const auto& [key, value_hash] : present) {
    const auto before = base->value_hashes.find(key);
    if (before == base->value_hashes.end() || before->second != value_hash) {
      change.changed.emplace(key, m_content.at(key));
    }
  }
  for (const auto& [key, value_hash] : base->value_hashes) {
    if (!present.contains(key)) {
      change.removed_keys.push_back(key);
    }
  }
  return change;
}

}  // namespace fuchsiaspring::fleet
