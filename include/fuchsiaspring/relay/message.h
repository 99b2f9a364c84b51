// HTTP messages as plain values.
//
//   relay::header_list headers{{"Content-Type", "text/plain"}};
//   headers.set("Retry-After", "1");
//   if (const std::string* host = headers.find("host")) { ... }
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/relay/memory_budget.h"

namespace fuchsiaspring::relay {

struct header {
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

// Compares header names, ignoring case.
bool same_name(std::string_view left, std::string_view right);

// The members of a header's value that is a comma-separated list, without the whitespace around
// them. Quoted strings are not recognized: a comma in one separates members too.
std::vector<std::string_view> list_members(std::string_view value);

// Returns `text` without the spaces and tabs around it.
std::string_view trimmed(std::string_view text);

// Headers in the order in which they arrived. A name may occur more than once.
class header_list {
 public:
  header_list() = default;
  header_list(std::initializer_list<header> headers) : m_headers(headers) {}

  // Value of the first header of that name, or nullptr.
  const std::string* find(std::string_view name) const;

  void add(std::string name, std::string value) {
    m_headers.push_back({std::move(name), std::move(value)});
  }

  // Replaces every header of that name by one.
  void set(std::string_view name, std::string value);

  void remove(std::string_view name);

  auto begin() const { return m_headers.begin(); }
  auto end() const { return m_headers.end(); }
  std::size_t size() const { return m_headers.size(); }

  friend bool operator==(const header_list&, const header_list&) = default;

 private:
  std::vector<header> m_headers;
};

// Removes the hop-by-hop headers: `Connection`, the headers that it lists, the other standard ones,
// and those that frame the body. A listed header stays if `is_end_to_end` returns true for its
// name: a sender that lists it is mistaken or hostile (RFC 9110, section 7.6.1).
void remove_hop_by_hop_headers(header_list& headers, bool (*is_end_to_end)(std::string_view name));

// The body of a request. Copies share the bytes, which never change, and the charge for them.
class message_body {
 public:
  message_body() = default;
  // Implicit, like the initialization of a string.
  message_body(std::string bytes);  // NOLINT(google-explicit-constructor)
  message_body(std::vector<std::string> pieces, memory_charge charge);

  std::size_t size() const { return m_contents ? m_contents->size : 0; }
  bool empty() const { return size() == 0; }

  // The bytes in order. Valid as long as a copy of this body exists.
  const std::vector<std::string>& pieces() const;

  // A copy of all bytes.
  std::string text() const;

  friend bool operator==(const message_body& left, const message_body& right) {
    return left.text() == right.text();
  }

 private:
  struct contents {
    std::vector<std::string> pieces;
    std::size_t size = 0;
    memory_charge charge;
  };

  std::shared_ptr<const contents> m_contents;
};

struct request {
  std::string method;
  std::string target;
  header_list headers;
  message_body body;

  friend bool operator==(const request&, const request&) = default;
};

struct response_head {
  unsigned status = 0;
  header_list headers;

  friend bool operator==(const response_head&, const response_head&) = default;
};

struct response {
  response_head head;
  std::string body;

  friend bool operator==(const response&, const response&) = default;
};

}  // namespace fuchsiaspring::relay
