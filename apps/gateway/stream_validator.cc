#include "apps/gateway/stream_validator.h"

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

}  // namespace

event_kind stream_validator::check(std::string_view data) {
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
