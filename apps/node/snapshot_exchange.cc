#include "apps/node/snapshot_exchange.h"

#include <charconv>

#include "peer.pb.h"

namespace fuchsiaspring::node_app {
namespace {

constexpr const char* target = "/snapshot";
constexpr const char* proof_age_header = "X-Proof-Age-Ms";
constexpr const char* known_hash_header = "If-None-Match";
constexpr unsigned status_ok = 200;
constexpr unsigned status_unchanged = 304;
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

relay::request snapshot_question(std::uint64_t known_hash) {
  return {.method = "GET",
          .target = target,
          .headers = {{"Host", "peer"}, {known_hash_header, std::to_string(known_hash)}}};
}

std::optional<snapshot_answer> read_snapshot_answer(const relay::response_head& head) {
  const auto age = number_of(head.headers, proof_age_header);
  if (!age || (head.status != status_ok && head.status != status_unchanged)) {
    return std::nullopt;
  }
  return snapshot_answer{.proof_age = std::chrono::milliseconds(*age),
                         .is_unchanged = head.status == status_unchanged};
}

std::string encode_snapshot(const std::vector<platform::store_item>& items,
                            std::uint64_t revision) {
  schema::ConfigSnapshot snapshot;
  snapshot.set_revision(revision);
  for (const platform::store_item& each : items) {
    schema::ConfigSnapshot::Item& item = *snapshot.add_items();
    item.set_key(each.key);
    item.set_value(each.value);
  }
  return snapshot.SerializeAsString();
}

base::result<decoded_snapshot> decode_snapshot(const std::string& bytes) {
  schema::ConfigSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return base::error{base::error_code::invalid_argument, "the peer's snapshot cannot be read"};
  }
  decoded_snapshot decoded{.revision = snapshot.revision()};
  for (const schema::ConfigSnapshot::Item& each : snapshot.items()) {
    decoded.items.push_back({.key = each.key(), .value = each.value()});
  }
  return decoded;
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
  if (message.target != target || !age || m_context.snapshot.hash == 0) {
    caller.respond({{404, {}}, ""});
    return;
  }
  const bool is_unchanged =
      number_of(message.headers, known_hash_header) == m_context.snapshot.hash;
  caller.respond({{is_unchanged ? status_unchanged : status_ok,
                   {{proof_age_header, std::to_string(base::to_milliseconds(*age) + 1)}}},
                  is_unchanged ? std::string() : m_context.snapshot.bytes});
}

}  // namespace fuchsiaspring::node_app
