#include "fuchsiaspring/event_stream/event_splitter.h"

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

// Sets `id` and `data` from `raw`; data lines are joined by line feeds.
void parse_fields(stream_event& event) {
  std::string_view rest = event.raw;
  bool is_first_data_line = true;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
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
