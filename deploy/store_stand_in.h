// A stand-in for the platform's key-value store that lists the items that a test has put, in pages
// of at most 500 items or about 1 MB.
//
// A drill of a store that comes back older:
//
//   store.keep_copy();
//   store.remove("servers/i-1");       // acknowledged, then lost
//   store.leave();                     // connections are closed
//   store.come_back();                 // with the copy, its revision and the next era
#pragma once

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "relay/test_peers.h"

namespace fuchsiaspring::deploy_test {

class store_stand_in {
 public:
  explicit store_stand_in(boost::asio::io_context& io, const boost::asio::ip::address_v4& address =
                                                           boost::asio::ip::address_v4::loopback())
      : m_server(
            io,
            [this](relay::testing::tcp::socket& socket,
                   const relay::testing::received_request& request) {
              send_items(socket, request);
            },
            address) {}

  std::uint16_t port() const { return m_server.endpoint().port(); }
  relay::testing::tcp::endpoint endpoint() const { return m_server.endpoint(); }
  int reads() const { return m_server.requests(); }

  void put(const std::string& key, const nlohmann::json& value) {
    m_items[key] = value.dump();
    ++m_revision;
  }

  void put_bytes(const std::string& key, const std::string& value) {
    m_items[key] = value;
    ++m_revision;
  }

  void remove(const std::string& key) {
    m_items.erase(key);
    ++m_revision;
  }

  void keep_copy() { m_copy = {m_items, m_revision}; }

  void leave() { m_is_away = true; }

  // Ends leave(). Revisions behind that of the copy are given out again.
  void come_back() {
    m_items = m_copy.items;
    m_revision = m_copy.revision;
    ++m_era;
    m_is_away = false;
  }

  std::uint64_t era() const { return m_era; }

  // Replaces the text of the header Store-Era; nullopt leaves the header out.
  void state_era_as(std::optional<std::string> text) { m_era_text = std::move(text); }

  std::vector<std::string> keys() const {
    std::vector<std::string> all;
    for (const auto& [key, value] : m_items) {
      all.push_back(key);
    }
    return all;
  }

  // A silent store accepts requests but sends no response.
  void set_silent(bool is_silent) { m_is_silent = is_silent; }

  // Responds to reads with `respond` instead of the listing, unless it is empty.
  void respond_with(std::function<void(relay::testing::tcp::socket&)> respond) {
    m_respond = std::move(respond);
  }

 private:
  struct copy {
    std::map<std::string, std::string> items;
    std::uint64_t revision = 1;
  };

  static constexpr std::size_t max_page_items = 500;
  static constexpr std::size_t max_page_bytes = 1'000'000;

  // The key after which a request continues a listing; empty for the first page. The keys of the
  // tests need no decoding.
  static std::string key_before(const relay::testing::received_request& request) {
    constexpr std::string_view parameter = "&after=";
    const std::size_t at = request.head.find(parameter);
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + parameter.size();
    return request.head.substr(begin, request.head.find(' ', begin) - begin);
  }

  static std::string base64(const std::string& bytes) {
    using boost::archive::iterators::base64_from_binary;
    using boost::archive::iterators::transform_width;
    using digits = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(digits(bytes.begin()), digits(bytes.end()));
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
  }

  void send_items(relay::testing::tcp::socket& socket,
                  const relay::testing::received_request& request) {
    if (m_is_silent) {
      return;
    }
    if (m_is_away) {
      boost::system::error_code ignored;  // the node may have closed the connection
      socket.close(ignored);
      return;
    }
    if (m_respond) {
      m_respond(socket);
      return;
    }
    nlohmann::json listing = {
        {"items", nlohmann::json::array()}, {"has-more", false}, {"at", m_revision}};
    std::size_t page_bytes = 0;
    for (auto item = m_items.upper_bound(key_before(request)); item != m_items.end(); ++item) {
      if (listing["items"].size() >= max_page_items || page_bytes >= max_page_bytes) {
        listing["has-more"] = true;
        break;
      }
      const std::string value = base64(item->second);
      page_bytes += item->first.size() + value.size();
      listing["items"].push_back({{"key", item->first}, {"value", value}, {"revision", 1}});
    }
    const std::string text = listing.dump();
    const std::optional<std::string> era = m_era_text.value_or(std::to_string(m_era));
    relay::testing::write_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                                          (era ? "Store-Era: " + *era + "\r\n" : std::string()) +
                                          "Content-Length: " + std::to_string(text.size()) +
                                          "\r\n\r\n" + text);
  }

  std::map<std::string, std::string> m_items;
  std::uint64_t m_revision = 1;
  std::uint64_t m_era = 1;
  // Outer: whether replaced; inner: the text, if any.
  std::optional<std::optional<std::string>> m_era_text;
  copy m_copy;
  bool m_is_away = false;
  bool m_is_silent = false;
  std::function<void(relay::testing::tcp::socket&)> m_respond;
  relay::testing::raw_upstream m_server;
};

}  // namespace fuchsiaspring::deploy_test
