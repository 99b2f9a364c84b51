#include "apps/gateway/stream_validator.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace fuchsiaspring::gateway {
namespace {

using nlohmann::json;

// Reads the two top-level members that matter without building a document: a stream has thousands
// of chunks.
class chunk_reader : public nlohmann::json_sax<json> {
 public:
  std::string id;
  bool has_error = false;
  bool is_object = false;

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool string(string_t& value) override {
    if (m_depth == 1 && m_is_id) {
      id = value;
    }
    return true;
  }
  bool start_object(std::size_t /*size*/) override {
    is_object = is_object || m_depth == 0;
    ++m_depth;
    return true;
  }
  bool key(string_t& name) override {
    if (m_depth == 1) {
      m_is_id = name == "id";
      has_error = has_error || name == "error";
    }
    return true;
  }
  bool end_object() override {
    --m_depth;
    return true;
  }
  bool start_array(std::size_t /*size*/) override {
    ++m_depth;
    return true;
  }
  bool end_array() override {
    --m_depth;
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*reason*/) override {
    return false;
  }

 private:
  int m_depth = 0;
  bool m_is_id = false;
};

// Whether `line` is blank, a comment or one of the fields of an event stream.
bool is_event_line(std::string_view line) {
  constexpr std::array<std::string_view, 4> fields{"data", "event", "id", "retry"};
  const std::string_view name = line.substr(0, line.find(':'));
  return name.empty() || std::find(fields.begin(), fields.end(), name) != fields.end();
}

// Callers would skip other lines or take them for the end of the stream; in practice they are the
// text of an error or another response.
bool has_only_event_lines(std::string_view raw) {
  while (!raw.empty()) {
    const auto end = std::min(raw.find('\n'), raw.size());
    std::string_view line = raw.substr(0, end);
    raw.remove_prefix(std::min(end + 1, raw.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!is_event_line(line)) {
      return false;
    }
  }
  return true;
}

}  // namespace

event_kind stream_validator::check(const event_stream::stream_event& event) {
  return has_only_event_lines(event.raw) ? check_data(event.data) : event_kind::invalid;
}

event_kind stream_validator::check_data(std::string_view data) {
  if (data.empty()) {
    return event_kind::comment;
  }
  if (data == "[DONE]") {
    return event_kind::done;
  }
  chunk_reader reader;
  if (!json::sax_parse(data, &reader) || !reader.is_object) {
    return event_kind::invalid;
  }
  if (reader.has_error) {
    return event_kind::failed;
  }
  if (m_completion_id.empty()) {
    m_completion_id = reader.id;
  }
  return reader.id == m_completion_id ? event_kind::token : event_kind::invalid;
}

bool is_json_object(std::string_view body) {
  chunk_reader reader;
  return json::sax_parse(body, &reader) && reader.is_object;
}

}  // namespace fuchsiaspring::gateway
