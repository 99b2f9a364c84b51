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
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
      : m_io(io),
        m_server(
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

  // Sends each page this time after its request, as over a narrow link.
  void set_page_delay(std::chrono::milliseconds delay) { m_page_delay = delay; }

  // Listings without a prefix, of any page.
  int whole_reads() const { return m_whole_reads; }

  // Listings of the replicas alone, of any page.
  int range_reads() const { return m_range_reads; }

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

  // A parameter of a request; empty if it is absent. The keys of the tests need no decoding.
  static std::string parameter(const relay::testing::received_request& request,
                               std::string_view name) {
    const std::size_t at = request.head.find(name);
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + name.size();
    return request.head.substr(begin, request.head.find_first_of(" &", begin) - begin);
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
    const std::string prefix = parameter(request, "?prefix=");
    ++(prefix.empty() ? m_whole_reads : m_range_reads);
    const std::string text = list(prefix, parameter(request, "&after="));
    const std::optional<std::string> era = m_era_text.value_or(std::to_string(m_era));
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                                 (era ? "Store-Era: " + *era + "\r\n" : std::string()) +
                                 "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
                                 text;
    if (m_page_delay.count() == 0) {
      relay::testing::write_all(socket, response);
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_page_delay);
    timer->async_wait([&socket, timer, response](const boost::system::error_code& cancelled) {
      if (!cancelled && socket.is_open()) {
        relay::testing::write_all(socket, response);
      }
    });
  }

  std::string list(const std::string& prefix, const std::string& after) const {
    nlohmann::json listing = {
        {"items", nlohmann::json::array()}, {"has-more", false}, {"at", m_revision}};
    std::size_t page_bytes = 0;
    auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    for (; item != m_items.end() && item->first.starts_with(prefix); ++item) {
      if (listing["items"].size() >= max_page_items || page_bytes >= max_page_bytes) {
        listing["has-more"] = true;
        break;
      }
      const std::string value = base64(item->second);
      page_bytes += item->first.size() + value.size();
      listing["items"].push_back({{"key", item->first}, {"value", value}, {"revision", 1}});
    }
    return listing.dump();
  }

  boost::asio::io_context& m_io;
  std::map<std::string, std::string> m_items;
  std::uint64_t m_revision = 1;
  std::uint64_t m_era = 1;
  // Outer: whether replaced; inner: the text, if any.
  std::optional<std::optional<std::string>> m_era_text;
  copy m_copy;
  bool m_is_away = false;
  bool m_is_silent = false;
  std::chrono::milliseconds m_page_delay{};
  int m_whole_reads = 0;
  int m_range_reads = 0;
  std::function<void(relay::testing::tcp::socket&)> m_respond;
  relay::testing::raw_upstream m_server;
};

}  // namespace fuchsiaspring::deploy_test
