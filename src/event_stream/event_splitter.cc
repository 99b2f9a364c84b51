#include "fuchsiaspring/event_stream/event_splitter.h"

#include <charconv>
#include <cstdint>

namespace fuchsiaspring::event_stream {
namespace {

// Value of the field `field` in `line`, without one leading space, if the line has that field.
std::optional<std::string_view> field_value(std::string_view line, std::string_view field) {
  if (!line.starts_with(field) || line.size() <= field.size() || line[field.size()] != ':') {
    return std::nullopt;
  }
  line.remove_prefix(field.size() + 1);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Removes the first line, with its line break, from `text` and returns it without the break.
std::string_view take_line(std::string_view& text) {
  const auto end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

// Whether the lines of an event carry nothing of its stream.
bool is_idle(const stream_event& event) {
  std::string_view rest = event.raw;
  while (!rest.empty()) {
    const std::string_view line = take_line(rest);
    if (!line.empty() && !line.starts_with(':') && !field_value(line, "retry")) {
      return false;
    }
  }
  return true;
}

// Whether `id` repeats the id `last_id` or goes back behind it.
bool goes_back(std::string_view id, std::string_view last_id) {
  const auto number = parse_number(id);
  const auto last_number = parse_number(last_id);
  return id == last_id || (number && last_number && *number <= *last_number);
}

// Sets `id` and `data` from `raw`; data lines are joined by line feeds.
void parse_fields(stream_event& event) {
  std::string_view rest = event.raw;
  bool is_first_data_line = true;
  while (!rest.empty()) {
    const std::string_view line = take_line(rest);
    if (const auto id = field_value(line, "id")) {
      event.id = std::string(*id);
      continue;
    }
    const auto data = field_value(line, "data");
    if (!data) {
      continue;
    }
    if (!is_first_data_line) {
      event.data.push_back('\n');
    }
    is_first_data_line = false;
    event.data.append(*data);
  }
}

}  // namespace

event_fit fit_behind(const stream_event& event, std::string_view last_id) {
  if (is_idle(event)) {
    return event_fit::idle;
  }
  if (last_id.empty()) {
    return event_fit::follows;
  }
  if (event.id.empty()) {
    return event.data == "[DONE]" ? event_fit::follows : event_fit::unfit;
  }
  return goes_back(event.id, last_id) ? event_fit::unfit : event_fit::follows;
}

void event_splitter::append(std::string_view bytes) {
  if (m_offset > 0) {
    m_buffer.erase(0, m_offset);
    m_offset = 0;
  }
  m_buffer.append(bytes);
}

std::optional<stream_event> event_splitter::next() {
  const auto lf_blank_line = m_buffer.find("\n\n", m_offset);
  const auto crlf_blank_line = m_buffer.find("\r\n\r\n", m_offset);
  std::size_t end = std::string::npos;
  if (lf_blank_line != std::string::npos) {
    end = lf_blank_line + 2;
  }
  if (crlf_blank_line != std::string::npos &&
      (end == std::string::npos || crlf_blank_line + 4 < end)) {
    end = crlf_blank_line + 4;
  }
  if (end == std::string::npos) {
    return std::nullopt;
  }
  stream_event event;
  event.raw = m_buffer.substr(m_offset, end - m_offset);
  parse_fields(event);
  m_offset = end;
  return event;
}

}  // namespace fuchsiaspring::event_stream
