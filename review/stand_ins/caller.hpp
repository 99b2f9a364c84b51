// A consumer: sends requests with a key and reads whole responses.
#pragma once

#include "net.hpp"

namespace review {

struct answer {
  int status = 0;  // 0: no head
  head top;
  std::string body;
  bool is_complete = false;  // by its length or last chunk
  bool is_closed = false;    // the node ended the connection
  double ended_at = 0;

  std::string text() const {
    return status == 0 ? (is_closed ? "channel closed without an answer" : "no answer in time")
                       : std::to_string(status) + (is_complete ? " complete" : " cut");
  }
};

inline std::string new_id() {
  static std::atomic<unsigned> count = 0;
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", 0x9c41d07bU, ++count);
  return text;
}

struct outgoing {
  std::string id = new_id();
  std::string method = "POST";
  std::string target;
  std::string host = "h.example";
  std::string key = "key-1";
  int deadline_ms = 6000;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string bytes() const {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                       "\r\nFuchsiaspring-Attempt-Id: " + id +
                       "\r\nFuchsiaspring-Request-Deadline: " + std::to_string(deadline_ms) +
                       "\r\nAuthorization: Bearer " + key + "\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

// Reads one response; `deadline_s` is a time of now_s().
inline answer read_answer(channel& from, double deadline_s) {
  answer result;
  auto top = from.read_head(deadline_s);
  while (top && top->word(1) == "100") {
    top = from.read_head(deadline_s);
  }
  if (top) {
    result.top = std::move(*top);
    result.status = std::atoi(result.top.word(1).c_str());
    if (lower(result.top.header("Transfer-Encoding")) == "chunked") {
      while (true) {
        const auto line = from.read_line(deadline_s);
        if (!line) {
          break;
        }
        const std::size_t size = std::stoul(*line, nullptr, 16);
        const auto bytes = from.read_bytes(size + 2, deadline_s);
        if (!bytes) {
          break;
        }
        if (size == 0) {
          result.is_complete = true;
          break;
        }
        result.body += bytes->substr(0, size);
      }
    } else if (!result.top.header("Content-Length").empty()) {
      const auto bytes =
          from.read_bytes(std::stoul(result.top.header("Content-Length")), deadline_s);
      result.is_complete = bytes.has_value();
      result.body = bytes.value_or("");
    } else {
      result.is_complete = result.status == 204 || result.status == 304;
    }
  }
  result.is_closed = from.is_closed();
  result.ended_at = now_s();
  return result;
}

// Connects, sends one request and reads its response.
inline answer call(const endpoint& to, const outgoing& message) {
  const auto open = channel::connect(to);
  if (!open || !open->write(message.bytes())) {
    return {};
  }
  return read_answer(*open, now_s() + message.deadline_ms / 1000.0 + 1);
}

}  // namespace review
