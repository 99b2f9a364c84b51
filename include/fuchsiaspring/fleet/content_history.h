// The content of the configuration service as it is passed on between nodes, and its last changes.
//
//   fleet::content_history history;
//   history.add({{"config", "..."}, {"replica-1", "..."}});
//   if (const auto change = history.change_since(known_hash)) { send(*change); }
//
//   const auto content = fleet::apply(history.content(), change);   // on the other node
//   if (content) { history.add(*content); }
//
// Load pattern that it answers: a fleet on slow links whose content is large (thousands of routes,
// hundreds of replicas) and changes a little all the time. A node that is a few versions behind
// gets only what changed. Not thread-safe.
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

struct content_change {
  std::uint64_t base_hash = 0;  // 0: the change is from nothing
  std::uint64_t hash = 0;       // afterwards
  content_map changed;          // added items and new values
  std::vector<std::string> removed_keys;

  // Bytes of keys and values.
  std::size_t size() const;

  friend bool operator==(const content_change&, const content_change&) = default;
};

// The content after the change; nothing when it is from another content or the result differs from
// what its sender has.
std::optional<content_map> apply(const content_map& content, std::uint64_t hash,
                                 const content_change& change);

class content_history {
 public:
  // Adopts a content. Returns whether it differs from the one before.
  bool add(content_map content);

  const content_map& content() const { return m_content; }
  std::uint64_t hash() const { return m_hash; }  // 0 before the first content

  // The way from a former content to the present one; from nothing when that content is unknown.
  content_change change_since(std::uint64_t known_hash) const;

 private:
  struct former_content {
    std::uint64_t hash = 0;
    std::map<std::string, std::uint64_t> value_hashes;  // by key
  };

  content_map m_content;
  std::uint64_t m_hash = 0;
  std::deque<former_content> m_former;  // the latest last, the present one included
};

}  // namespace fuchsiaspring::fleet
