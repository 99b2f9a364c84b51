#include "apps/node/snapshot_exchange.h"

#include <charconv>

#include "peer.pb.h"

namespace fuchsiaspring::node_app {
namespace {

constexpr const char* target = "/snapshot";
constexpr const char* proof_age_header = "X-Proof-Age-Ms";
constexpr const char* known_hash_header = "If-None-Match";
constexpr const char* any_size_header = "X-Accepts-Any-Size";
constexpr unsigned status_ok = 200;
constexpr unsigned status_unchanged = 304;
constexpr unsigned status_no_proof = 404;
constexpr unsigned status_too_large = 413;
// Takes 50 ms per requesting node on a link of 10 Mbit/s, the slowest of the deployments.
constexpr std::size_t max_change_bytes = 65536;
// Peers send requests without a body.
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

}  // namespace

relay::request encode_snapshot_request(const snapshot_request& request) {
  relay::request message{
      .method = "GET",
      .target = target,
      .headers = {{"Host", "peer"}, {known_hash_header, std::to_string(request.known_hash)}}};
  if (request.accepts_any_size) {
    message.headers.add(any_size_header, "1");
  }
  return message;
}

std::optional<snapshot_response> parse_snapshot_response(const relay::response_head& head) {
  const auto age = parse_number_header(head.headers, proof_age_header);
  if (!age || (head.status != status_ok && head.status != status_unchanged)) {
    return std::nullopt;
  }
  return snapshot_response{.proof_age = std::chrono::milliseconds(*age),
                           .is_unchanged = head.status == status_unchanged};
}

std::string encode_snapshot(const snapshot_change& snapshot) {
  schema::ConfigSnapshot message;
  message.set_revision(snapshot.revision);
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
      .revision = message.revision()};
  for (const schema::ConfigSnapshot::Item& each : message.items()) {
    snapshot.change.changed.emplace(each.key(), each.value());
  }
  return snapshot;
}

snapshot_server::snapshot_server(node_context& context)
    : m_context(context),
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
  const auto age = m_context.lease.age(base::boot_clock::now());
  const fleet::content_history& history = m_context.snapshot.history;
  if (message.target != target || !age || history.hash() == 0) {
    caller.respond({{status_no_proof, {}}, ""});
    return;
  }
  const std::string proof_age = std::to_string(base::to_milliseconds(*age) + 1);
  const std::uint64_t known_hash =
      parse_number_header(message.headers, known_hash_header).value_or(0);
  if (known_hash == history.hash()) {
    caller.respond({{status_unchanged, {{proof_age_header, proof_age}}}, ""});
    return;
  }
  const snapshot_change snapshot{history.delta_since(known_hash), m_context.snapshot.revision};
  const bool is_large = snapshot.change.size() > max_change_bytes;
  if (is_large && message.headers.find(any_size_header) == nullptr) {
    caller.respond({{status_too_large, {}}, ""});
    return;
  }
  caller.respond({{status_ok, {{proof_age_header, proof_age}}}, encode_snapshot(snapshot)});
}

}  // namespace fuchsiaspring::node_app
