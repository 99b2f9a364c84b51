// The content of the configuration service and the deltas between its recent versions, for
// transfer between nodes.
//
//   fleet::content_history history;
//   history.add({{"config", "..."}, {"replica-1", "..."}});
//   send(history.delta_since(known_hash));
//
//   // On the other node:
//   const auto content = fleet::apply(history.content(), history.hash(), delta);
//   if (content) { history.add(*content); }
//
// Designed for a fleet on slow links whose content is large (thousands of routes, hundreds of
// replicas) and changes a little all the time: a node that is a few versions behind receives only
// what changed. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiaspring::fleet {

using content_map = std::map<std::string, std::string>;  // values by key

// The same on every node; never 0.
std::uint64_t content_hash(const content_map& content);

struct content_delta {
  std::uint64_t base_hash = 0;  // 0: `changed` is the whole content
  std::uint64_t hash = 0;       // of the content after the delta
  content_map changed;          // added items and new values
  std::vector<std::string> removed_keys;

  // Bytes of keys and values.
  std::size_t size() const;

  friend bool operator==(const content_delta&, const content_delta&) = default;
};

// The content after the delta; nothing if the delta is based on another content or the result
// differs from the content of its sender. `hash` is that of `content`.
std::optional<content_map> apply(const content_map& content, std::uint64_t hash,
                                 const content_delta& delta);

class content_history {
 public:
  // Makes `content` the current version. Returns whether it differs from the previous one.
  bool add(content_map content);

  const content_map& content() const { return m_content; }
  std::uint64_t hash() const { return m_hash; }  // 0 before the first content

  // The delta from the version with this hash to the current one; the whole content if the
  // version is not held.
  content_delta delta_since(std::uint64_t known_hash) const;

 private:
  struct version_hashes {
    std::uint64_t hash = 0;
    std::map<std::string, std::uint64_t> value_hashes;  // by key
  };

  content_map m_content;
  std::uint64_t m_hash = 0;
  std::deque<version_hashes> m_recent_versions;  // oldest first; the last is the current one
};

}  // namespace fuchsiaspring::fleet
