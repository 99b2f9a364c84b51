#include "deploy/soak/replica_response.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace fuchsiaspring::soak {
namespace {

using std::chrono::milliseconds;

// Inserts a pause before byte `offset` of the part.
void split(std::vector<response_part>& parts, std::size_t index, std::size_t offset,
           milliseconds pause) {
  response_part rest{.bytes = parts[index].bytes.substr(offset), .pause_before = pause};
  parts[index].bytes.resize(offset);
  parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(rest));
}

}  // namespace

std::string replica_response::head() const {
  const std::size_t size =
      std::accumulate(body.begin(), body.end(), std::size_t{0},
                      [](std::size_t sum, const std::string& piece) { return sum + piece.size(); });
  const std::string id_line = id.empty() ? "" : "Fuchsiaspring-Attempt-Id: " + id + "\r\n";
  return "HTTP/1.1 " + status + "\r\n" + id_line + "Fuchsiaspring-Response-Signature: s\r\n" +
         headers + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
}

std::string replica_response::bytes() const {
  return std::accumulate(body.begin(), body.end(), head());
}

replica_response make_success(bool is_stream, const std::string& id, int last_event_id) {
  replica_response response{.id = id};
  if (!is_stream) {
    response.body = {response_body(id)};
    return response;
  }
  response.headers = "Content-Type: text/event-stream\r\n";
  for (int event = last_event_id; event < invariant_checker::events_per_stream; ++event) {
    response.body.push_back(stream_events(id, event, 1));
  }
  return response;
}

std::vector<response_part> split_into_parts(const replica_response& response,
                                            base::random_source& random) {
  constexpr std::uint64_t max_event_gap_ms = 60;
  std::vector<response_part> parts{{.bytes = response.head()}};
  bool is_first = true;
  for (const std::string& piece : response.body) {
    if (std::exchange(is_first, false)) {
      parts.front().bytes += piece;
      continue;
    }
    parts.push_back(
        {.bytes = piece, .pause_before = milliseconds(random.uniform_below(max_event_gap_ms))});
  }
  return parts;
}

milliseconds random_pause(base::random_source& random) {
  constexpr milliseconds shortest_pause{500};
  const auto span = static_cast<std::uint64_t>((longest_pause - shortest_pause).count());
  return shortest_pause + milliseconds(random.uniform_below(span + 1));
}

void add_pause(std::vector<response_part>& parts, std::size_t head_size, milliseconds pause,
               base::random_source& random) {
  const std::size_t last = parts.size() - 1;
  const std::size_t chosen = random.uniform_below(parts.size());
  constexpr std::uint64_t positions = 5;
  switch (random.uniform_below(positions)) {
    case 0:  // before the head
      parts.front().pause_before = pause;
      return;
    case 1:  // inside the head
      split(parts, 0, 1 + random.uniform_below(head_size - 1), pause);
      return;
    case 2:  // between two events, or behind the head
      if (chosen == 0) {
        split(parts, 0, head_size, pause);
      } else {
        parts[chosen].pause_before = pause;
      }
      return;
    case 3: {  // inside an event
      const std::size_t first_byte = chosen == 0 ? head_size : 0;
      const std::size_t size = parts[chosen].bytes.size() - first_byte;
      split(parts, chosen, first_byte + (size == 0 ? 0 : random.uniform_below(size)), pause);
      return;
    }
    default:  // before the last byte
      split(parts, last, parts[last].bytes.size() - 1, pause);
      return;
  }
}

std::vector<response_part> truncate(const std::vector<response_part>& parts, std::size_t size) {
  std::vector<response_part> kept;
  for (const response_part& each : parts) {
    if (size == 0) {
      break;
    }
    kept.push_back(each);
    kept.back().bytes.resize(std::min(size, each.bytes.size()));
    size -= kept.back().bytes.size();
  }
  return kept;
}

}  // namespace fuchsiaspring::soak
