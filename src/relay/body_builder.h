// Collects the body of a request in pieces. Private to the library.
//
// Pieces grow with the body up to a limit, so that a body never has to be copied to grow, its
// memory is at most twice its size, and many small bodies stay small. An announced length reserves
// nothing: only bytes that have arrived do.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaspring::relay::internal {

class body_builder {
 public:
  // Size of the next piece of a body of which at most `bytes_left` are still to come.
  std::size_t next_piece(std::optional<std::size_t> bytes_left) const {
    constexpr std::size_t min_piece = 4096;
    constexpr std::size_t max_piece = 65536;
    const std::size_t size = std::clamp(m_capacity, min_piece, max_piece);
    return std::max<std::size_t>(1, std::min(size, bytes_left.value_or(size)));
  }

  void add_piece(std::size_t size) {
    m_pieces.emplace_back(size, '\0');
    m_capacity += size;
    m_used = 0;
  }

  // The free bytes of the last piece; valid until one is added or the pieces are taken.
  std::span<char> space() {
    return m_pieces.empty() ? std::span<char>() : std::span(m_pieces.back()).subspan(m_used);
  }
  void commit(std::size_t size) {
    m_used += size;
    m_size += size;
  }

  std::size_t size() const { return m_size; }
  std::size_t capacity() const { return m_capacity; }

  // Returns the body and is empty afterwards.
  std::vector<std::string> take() {
    if (!m_pieces.empty()) {
      m_pieces.back().resize(m_used);
    }
    m_size = m_capacity = m_used = 0;
    return std::exchange(m_pieces, {});
  }

 private:
  std::vector<std::string> m_pieces;
  std::size_t m_used = 0;  // of the last piece
  std::size_t m_size = 0;
  std::size_t m_capacity = 0;
};

}  // namespace fuchsiaspring::relay::internal
