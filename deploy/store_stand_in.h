// A stand-in for the platform's key-value store that lists the items that a test has put.
#pragma once

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

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

  // A silent store accepts requests but sends no response.
  void set_silent(bool is_silent) { m_is_silent = is_silent; }

  // Responds to reads with `respond` instead of the listing, unless it is empty.
  void respond_with(std::function<void(relay::testing::tcp::socket&)> respond) {
    m_respond = std::move(respond);
  }

 private:
  static std::string base64(const std::string& bytes) {
    using boost::archive::iterators::base64_from_binary;
    using boost::archive::iterators::transform_width;
    using digits = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(digits(bytes.begin()), digits(bytes.end()));
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
  }

  void send_items(relay::testing::tcp::socket& socket,
                  const relay::testing::received_request& /*request*/) {
    if (m_is_silent) {
      return;
    }
    if (m_respond) {
      m_respond(socket);
      return;
    }
    nlohmann::json listing = {
        {"items", nlohmann::json::array()}, {"has-more", false}, {"at", m_revision}};
    for (const auto& [key, value] : m_items) {
      listing["items"].push_back({{"key", key}, {"value", base64(value)}, {"revision", 1}});
    }
    const std::string text = listing.dump();
    relay::testing::write_all(socket,
                              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                                  std::to_string(text.size()) + "\r\n\r\n" + text);
  }

  std::map<std::string, std::string> m_items;
  std::uint64_t m_revision = 1;
  bool m_is_silent = false;
  std::function<void(relay::testing::tcp::socket&)> m_respond;
  relay::testing::raw_upstream m_server;
};

}  // namespace fuchsiaspring::deploy_test
