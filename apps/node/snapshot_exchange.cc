#include "apps/node/snapshot_exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "apps/node/compression.h"
#include "apps/node/message_fields.h"
#include "fuchsiaspring/fleet/read_plan.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {
namespace {

constexpr const char* target = "/snapshot";
constexpr const char* proof_age_header = "X-Proof-Age-Ms";
constexpr const char* known_hash_header = "If-None-Match";
constexpr const char* era_header = "X-Store-Era";
constexpr const char* revision_header = "X-Store-Revision";
constexpr const char* any_size_header = "X-Accepts-Any-Size";
constexpr const char* encoding_header = "Content-Encoding";
constexpr const char* accepted_encoding_header = "Accept-Encoding";
constexpr const char* encoding = "gzip";
constexpr const char* hold_header = "X-Hold-Ms";
constexpr const char* held_header = "X-Held-Ms";
constexpr const char* own_proof_age_header = "X-Own-Proof-Age-Ms";
constexpr const char* read_time_header = "X-Read-Ms";
constexpr unsigned status_ok = 200;
constexpr unsigned status_unchanged = 304;
constexpr unsigned status_no_proof = 404;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_busy = 503;
// Takes 50 ms per requesting node on a link of 10 Mbit/s, the slowest of the deployments.
constexpr std::size_t max_change_bytes = 65536;
// Peers send two keys at most.
constexpr std::size_t max_request_body_bytes = 1024;
constexpr std::size_t max_header_bytes = 4096;

std::optional<std::uint64_t> parse_number_header(const relay::header_list& headers,
                                                 const char* name) {
  const std::string* text = headers.find(name);
  if (text == nullptr) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  return error == std::errc{} ? std::optional(value) : std::nullopt;
}

std::optional<base::duration> parse_duration_header(const relay::header_list& headers,
                                                    const char* name) {
  // A longer time is none that a node states; it would exceed the range of a duration.
  constexpr std::uint64_t max_duration_ms = 3'600'000;
  const auto value = parse_number_header(headers, name);
  return value ? std::optional<base::duration>(
                     std::chrono::milliseconds(std::min(*value, max_duration_ms)))
               : std::nullopt;
}

std::string milliseconds_text(base::duration value) {
  return std::to_string(base::to_milliseconds(value));
}

void add_version(relay::header_list& headers, const node::store_version& version) {
  headers.add(revision_header, std::to_string(version.revision));
  if (version.era) {
    headers.add(era_header, std::to_string(*version.era));
  }
}

}  // namespace

relay::request encode_snapshot_request(const snapshot_request& request) {
  relay::request message{
      .method = "GET",
      .target = target,
      .headers = {{"Host", "peer"}, {known_hash_header, std::to_string(request.known_hash)}}};
  if (request.accepts_any_size) {
    message.headers.add(any_size_header, "1");
  }
  if (request.is_planned) {
    message.headers.add(accepted_encoding_header, encoding);
  }
  if (request.hold > base::duration{}) {
    message.headers.add(hold_header, milliseconds_text(request.hold));
  }
  if (request.proof_age) {
    message.headers.add(own_proof_age_header, milliseconds_text(*request.proof_age));
  }
  return message;
}

snapshot_request parse_snapshot_request(const relay::request& message) {
  const relay::header_list& headers = message.headers;
  const std::string* encodings = headers.find(accepted_encoding_header);
  return {.known_hash = parse_number_header(headers, known_hash_header).value_or(0),
          .accepts_any_size = headers.find(any_size_header) != nullptr,
          .is_planned = encodings != nullptr && *encodings == encoding,
          .hold = parse_duration_header(headers, hold_header).value_or(base::duration{}),
          .proof_age = parse_duration_header(headers, own_proof_age_header)};
}

std::optional<snapshot_response> parse_snapshot_response(const relay::response_head& head) {
  const auto age = parse_number_header(head.headers, proof_age_header);
  if (!age || (head.status != status_ok && head.status != status_unchanged)) {
    return std::nullopt;
  }
  const base::duration held =
      parse_duration_header(head.headers, held_header).value_or(base::duration{});
  snapshot_response response{.proof_age = std::chrono::milliseconds(*age),
                             .is_unchanged = head.status == status_unchanged,
                             .version = {},
                             .is_compressed = head.headers.find(encoding_header) != nullptr,
                             .held = held,
                             .read_time = parse_duration_header(head.headers, read_time_header)};
  if (const auto revision = parse_number_header(head.headers, revision_header)) {
    response.version = {parse_number_header(head.headers, era_header), *revision};
  }
  return response;
}

std::string encode_snapshot(const snapshot_change& snapshot) {
  schema::ConfigSnapshot message;
  set_store_version(snapshot.version, message);
  message.set_base_hash(snapshot.change.base_hash);
  message.set_hash(snapshot.change.hash);
  for (const auto& [key, value] : snapshot.change.changed) {
    schema::ConfigSnapshot::Item& item = *message.add_items();
    item.set_key(key);
    item.set_value(value);
  }
  for (const std::string& key : snapshot.change.removed_keys) {
    message.add_removed_keys(key);
  }
  return message.SerializeAsString();
}

base::result<snapshot_change> decode_snapshot(const std::string& bytes) {
  schema::ConfigSnapshot message;
  if (!message.ParseFromString(bytes)) {
    return base::error{
        base::error_code::invalid_argument,
        "malformed snapshot of " + std::to_string(bytes.size()) + " bytes from a peer"};
  }
  snapshot_change snapshot{
      .change = {.base_hash = message.base_hash(),
                 .hash = message.hash(),
                 .changed = {},
                 .removed_keys = {message.removed_keys().begin(), message.removed_keys().end()}},
      .version = store_version_of(message)};
  for (const schema::ConfigSnapshot::Item& each : message.items()) {
    snapshot.change.changed.emplace(each.key(), each.value());
  }
  return snapshot;
}

snapshot_server::snapshot_server(node_context& context, held_state_server::source held)
    : m_context(context),
      m_ranges(context),
      m_held_states(std::move(held)),
      m_listener(
          context.io, parse_endpoint(context.settings.peer_address()),
          relay::caller_limits{.header_bytes = max_header_bytes,
                               .body_bytes = max_request_body_bytes},
          context.connections().peers,
          [this](relay::caller_connection& caller, const relay::request& message) {
            serve(caller, message);
          },
          nullptr, context.memory) {}

void snapshot_server::serve(relay::caller_connection& caller, const relay::request& message) {
  if (message.target == range_target) {
    m_ranges.serve(caller, message);
    return;
  }
  if (message.target == held_state_target) {
    m_held_states.serve(caller, message);
    return;
  }
  if (message.target != target) {
    caller.respond({{status_no_proof, {}}, ""});
    return;
  }
  const snapshot_request request = parse_snapshot_request(message);
  if (request.hold > base::duration{} && !has_news_for(request)) {
    hold(caller, request);
    return;
  }
  answer(caller, request, base::boot_clock::now());
}

bool snapshot_server::has_news_for(const snapshot_request& request) const {
  const auto age = m_context.content_proof.age(base::boot_clock::now());
  if (!age || m_context.snapshot.history.hash() == 0) {
    return false;
  }
  // The requester takes this node's proof for up to this much older than it is.
  constexpr base::duration rounding = std::chrono::milliseconds(20);
  return !request.proof_age || *age + rounding < *request.proof_age;
}

void snapshot_server::hold(relay::caller_connection& caller, const snapshot_request& request) {
  const std::uint64_t number = m_next_number++;
  const base::time_point now = base::boot_clock::now();
  auto timer = std::make_unique<boost::asio::steady_timer>(m_context.io);
  timer->expires_after(std::min(request.hold, fleet::max_hold_time));
  timer->async_wait([this, number](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      answer_held(number);
    }
  });
  m_held.emplace(number, held_request{caller.shared_from_this(), request, now, std::move(timer)});
  caller.set_disconnect_handler([this, number] { m_held.erase(number); });
}

void snapshot_server::on_proof() {
  // A response may end a connection, which removes its request.
  std::vector<std::uint64_t> numbers;
  numbers.reserve(m_held.size());
  for (const auto& [number, held] : m_held) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    answer_held(number);
  }
}

void snapshot_server::answer_held(std::uint64_t number) {
  const auto found = m_held.find(number);
  if (found == m_held.end()) {
    return;
  }
  const held_request held = std::move(found->second);
  m_held.erase(found);
  held.caller->set_disconnect_handler(nullptr);
  answer(*held.caller, held.request, held.received_at);
}

void snapshot_server::refuse(relay::caller_connection& caller, unsigned status,
                             const char* reason) {
  m_context.metrics.count("fuchsia_peer_refusals_total",
                          "Questions of other nodes that were refused.", {{"reason", reason}});
  caller.respond({{status, {}}, ""});
}

void snapshot_server::answer(relay::caller_connection& caller, const snapshot_request& request,
                             base::time_point received_at) {
  const base::time_point now = base::boot_clock::now();
  const auto age = m_context.content_proof.age(now);
  const fleet::content_history& history = m_context.snapshot.history;
  if (!age || history.hash() == 0) {
    refuse(caller, status_no_proof, "no_proof");
    return;
  }
  relay::header_list headers{{proof_age_header, std::to_string(base::to_milliseconds(*age) + 1)}};
  headers.add(held_header, milliseconds_text(now - received_at));
  if (m_context.snapshot.read_time) {
    headers.add(read_time_header, milliseconds_text(*m_context.snapshot.read_time));
  }
  if (request.known_hash == history.hash()) {
    add_version(headers, m_context.snapshot.version);
    caller.respond({{status_unchanged, std::move(headers)}, ""});
    return;
  }
  std::string bytes;
  if (request.is_planned) {
    bytes = encode_compressed(request.known_hash);
    const bool is_large = request.known_hash == 0 || bytes.size() > max_change_bytes;
    if (is_large && !m_transfers.try_begin(bytes.size(), now)) {
      refuse(caller, status_busy, "budget");
      return;
    }
    headers.add(encoding_header, encoding);
  } else {
    const snapshot_change snapshot{history.delta_since(request.known_hash),
                                   m_context.snapshot.version};
    if (snapshot.change.size() > max_change_bytes && !request.accepts_any_size) {
      refuse(caller, status_too_large, "too_large");
      return;
    }
    bytes = encode_snapshot(snapshot);
  }
  m_context.metrics.count("fuchsia_peer_sent_bytes_total",
                          "Bytes of the configuration that were sent to other nodes.",
                          {{"content", "snapshot"}}, static_cast<double>(bytes.size()));
  caller.respond({{status_ok, std::move(headers)}, std::move(bytes)});
}

std::string snapshot_server::encode_compressed(std::uint64_t known_hash) {
  const shared_snapshot& own = m_context.snapshot;
  const bool is_current = m_whole_hash == own.history.hash() && m_whole_version == own.version;
  if (known_hash == 0 && is_current) {
    return m_whole;
  }
  std::string bytes = compress(encode_snapshot({own.history.delta_since(known_hash), own.version}));
  if (known_hash == 0) {
    m_whole = bytes;
    m_whole_hash = own.history.hash();
    m_whole_version = own.version;
  }
  return bytes;
}

}  // namespace fuchsiaspring::node_app
