#include "fuchsiaspring/event_stream/event_splitter.h"

namespace fuchsiaspring::event_stream {
namespace {

// The text of a line behind `field` and a colon, without one leading space.
std::optional<std::string_view> value_of(std::string_view line, std::string_view field) {
  if (!line.starts_with(field) || line.size() <= field.size() || line[field.size()] != ':') {
    return std::nullopt;
  }
  line.remove_prefix(field.size() + 1);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

// Fills in the fields of `event`; data lines are joined by line feeds.
void parse_fields(stream_event& event) {
  std::string_view rest = event.raw;
  bool is_first = true;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (const auto id = value_of(line, "id")) {
      event.id = std::string(*id);
      continue;
    }
    const auto data = value_of(line, "data");
    if (!data) {
      continue;
    }
    if (!is_first) {
      event.data.push_back('\n');
    }
    is_first = false;
    event.data.append(*data);
  }
}

}  // namespace

void event_splitter::append(std::string_view bytes) {
  if (m_offset > 0) {
    m_buffer.erase(0, m_offset);
    m_offset = 0;
  }
  m_buffer.append(bytes);
}

std::optional<stream_event> event_splitter::next() {
  const auto line_feeds = m_buffer.find("\n\n", m_offset);
  const auto carriage = m_buffer.find("\r\n\r\n", m_offset);
  std::size_t end = std::string::npos;
  if (line_feeds != std::string::npos) {
    end = line_feeds + 2;
  }
  if (carriage != std::string::npos && (end == std::string::npos || carriage + 4 < end)) {
    end = carriage + 4;
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
