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
// Takes 50 ms on a link of 10 Mbit/s, the slowest of the deployments, for each node that asks.
constexpr std::size_t max_passed_bytes = 65536;
constexpr std::size_t max_connections = 256;

std::optional<std::uint64_t> number_of(const relay::header_list& headers, const char* name) {
  const std::string* text = headers.find(name);
  if (text == nullptr) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto [end, failed] = std::from_chars(text->data(), text->data() + text->size(), value);
  return failed == std::errc{} ? std::optional(value) : std::nullopt;
}

}  // namespace

relay::request encode_question(const snapshot_question& question) {
  relay::request message{
      .method = "GET",
      .target = target,
      .headers = {{"Host", "peer"}, {known_hash_header, std::to_string(question.known_hash)}}};
  if (question.accepts_any_size) {
    message.headers.add(any_size_header, "1");
  }
  return message;
}

std::optional<snapshot_answer> read_snapshot_answer(const relay::response_head& head) {
  const auto age = number_of(head.headers, proof_age_header);
  if (!age || (head.status != status_ok && head.status != status_unchanged)) {
    return std::nullopt;
  }
  return snapshot_answer{.proof_age = std::chrono::milliseconds(*age),
                         .is_unchanged = head.status == status_unchanged};
}

std::string encode_change(const passed_change& passed) {
  schema::ConfigSnapshot message;
  message.set_revision(passed.revision);
  message.set_base_hash(passed.change.base_hash);
  message.set_hash(passed.change.hash);
  for (const auto& [key, value] : passed.change.changed) {
    schema::ConfigSnapshot::Item& item = *message.add_items();
    item.set_key(key);
    item.set_value(value);
  }
  for (const std::string& key : passed.change.removed_keys) {
    message.add_removed_keys(key);
  }
  return message.SerializeAsString();
}

base::result<passed_change> decode_change(const std::string& bytes) {
  schema::ConfigSnapshot message;
  if (!message.ParseFromString(bytes)) {
    return base::error{base::error_code::invalid_argument, "the peer's snapshot cannot be read"};
  }
  passed_change passed{
      .change = {.base_hash = message.base_hash(),
                 .hash = message.hash(),
                 .changed = {},
                 .removed_keys = {message.removed_keys().begin(), message.removed_keys().end()}},
      .revision = message.revision()};
  for (const schema::ConfigSnapshot::Item& each : message.items()) {
    passed.change.changed.emplace(each.key(), each.value());
  }
  return passed;
}

snapshot_server::snapshot_server(context& shared)
    : m_context(shared),
      m_listener(
          shared.io, parse_endpoint(shared.settings.peer_address()), relay::caller_limits{},
          max_connections,
          [this](relay::caller_connection& caller, const relay::request& message) {
            serve(caller, message);
          },
          nullptr) {}

void snapshot_server::serve(relay::caller_connection& caller, const relay::request& message) {
  const auto age = m_context.lease.age(base::boot_clock::now());
  const fleet::content_history& history = m_context.snapshot.history;
  if (message.target != target || !age || history.hash() == 0) {
    caller.respond({{status_no_proof, {}}, ""});
    return;
  }
  const std::string proof_age = std::to_string(base::to_milliseconds(*age) + 1);
  const std::uint64_t known_hash = number_of(message.headers, known_hash_header).value_or(0);
  if (known_hash == history.hash()) {
    caller.respond({{status_unchanged, {{proof_age_header, proof_age}}}, ""});
    return;
  }
  const passed_change passed{history.change_since(known_hash), m_context.snapshot.revision};
  const bool is_large = passed.change.size() > max_passed_bytes;
  if (is_large && message.headers.find(any_size_header) == nullptr) {
    caller.respond({{status_too_large, {}}, ""});
    return;
  }
  caller.respond({{status_ok, {{proof_age_header, proof_age}}}, encode_change(passed)});
}

}  // namespace fuchsiaspring::node_app
