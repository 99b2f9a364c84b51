#include "apps/load/response_verifier.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace fuchsiaspring::load {
namespace {

using nlohmann::json;

// Text of one choice of a streamed chunk or of a whole body.
std::string choice_text(const json& choice) {
  for (const char* name : {"delta", "message"}) {
    const auto part = choice.find(name);
    if (part != choice.end() && part->is_object()) {
      const auto content = part->find("content");
      return content != part->end() && content->is_string() ? content->get<std::string>() : "";
    }
  }
  const auto text = choice.find("text");
  return text != choice.end() && text->is_string() ? text->get<std::string>() : "";
}

bool parse_number(std::string_view text, std::uint32_t& value) {
  const auto [stop, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  return failure == std::errc() && stop == text.data() + text.size();
}

}  // namespace

void response_verifier::record_fault(std::string fault) {
  if (m_fault.empty()) {
    m_fault = std::move(fault);
  }
}

event_result response_verifier::add_event(std::string_view data) {
  if (data.empty()) {
    return event_result::no_words;
  }
  if (m_done) {
    record_fault("an event follows [DONE]");
  }
  if (data == "[DONE]") {
    m_done = true;
    return event_result::no_words;
  }
  const json body = json::parse(data, nullptr, false);
  if (!body.is_object()) {
    record_fault("an event is not a JSON object");
    return event_result::no_words;
  }
  if (body.contains("error")) {
    m_failed = true;
    return event_result::no_words;
  }
  const auto id_field = body.find("id");
  const std::string id =
      id_field != body.end() && id_field->is_string() ? id_field->get<std::string>() : "";
  if (m_response_id.empty()) {
    m_response_id = id;
  }
  if (id != m_response_id) {
    record_fault("the response id changes from " + m_response_id + " to " + id);
  }
  const std::uint32_t before = m_words;
  if (const auto choices = body.find("choices"); choices != body.end() && choices->is_array()) {
    for (const json& choice : *choices) {
      add_text(choice_text(choice));
    }
  }
  return m_words > before ? event_result::has_words : event_result::no_words;
}

void response_verifier::add_body(std::string_view body) {
  add_event(body);
  m_done = !m_failed;
}

void response_verifier::add_text(std::string_view text) {
  for (const char character : text) {
    if (character != ' ') {
      m_partial_word += character;
      continue;
    }
    add_word(m_partial_word);
    m_partial_word.clear();
  }
}

void response_verifier::add_word(std::string_view word) {
  const std::size_t slash = word.rfind('/');
  const std::size_t dot = word.rfind('.');
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  if (slash == std::string_view::npos || dot == std::string_view::npos || dot > slash ||
      !parse_number(word.substr(dot + 1, slash - dot - 1), index) ||
      !parse_number(word.substr(slash + 1), count)) {
    record_fault("malformed word " + std::string(word));
    return;
  }
  const std::string_view request_id = word.substr(0, dot);
  if (m_words == 0) {
    m_request_id = request_id;
    m_expected_words = count;
  }
  ++m_words;
  if (request_id != m_request_id || count != m_expected_words) {
    record_fault("another request id or word count at word " + std::string(word));
  } else if (index != m_words) {
    record_fault("expected word " + std::to_string(m_words) + ", received " + std::string(word));
  }
}

response_verdict response_verifier::verdict(const std::string& request_id) const {
  const bool names_other_request = m_words > 0 && !request_id.empty() && request_id != m_request_id;
  if (!m_fault.empty() || names_other_request) {
    return response_verdict::corrupt;
  }
  if (m_failed) {
    return response_verdict::failed;
  }
  if (!m_done) {
    return response_verdict::incomplete;
  }
  const bool is_complete = m_words > 0 && m_words == m_expected_words && m_partial_word.empty();
  return is_complete ? response_verdict::complete : response_verdict::corrupt;
}

}  // namespace fuchsiaspring::load
