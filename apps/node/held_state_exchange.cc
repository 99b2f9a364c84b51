#include "apps/node/held_state_exchange.h"

#include <charconv>
#include <utility>

#include "apps/node/compression.h"
#include "apps/node/message_fields.h"
#include "apps/node/store_lister.h"
#include "peer.pb.h"
#include "platform/configuration.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

constexpr const char* config_version_header = "X-Config-Version";
constexpr unsigned status_ok = 200;
constexpr unsigned status_no_state = 404;
constexpr unsigned status_busy = 503;
constexpr base::duration connect_timeout = milliseconds(300);
// Smaller responses are no load for any link.
constexpr std::size_t min_budgeted_bytes = 65536;

std::uint64_t known_config_version(const relay::request& message) {
  const std::string* text = message.headers.find(config_version_header);
  std::uint64_t version = 0;
  if (text != nullptr) {
    std::from_chars(text->data(), text->data() + text->size(), version);
  }
  return version;
}

base::error peer_error(std::string message) {
  return {base::error_code::invalid_argument, std::move(message)};
}

}  // namespace

std::string encode_held_state(const node::held_state& held) {
  schema::HeldState message;
  set_store_version(held.version, message);
  if (held.config) {
    schema::HeldState::Config& config = *message.mutable_config();
    config.set_version(held.config->config.version);
    config.set_text(held.config->text);
    config.set_age_ms(to_message_ms(held.config->age));
    set_store_version(held.config->version, config);
  }
  for (const node::held_departure& each : held.departures) {
    schema::HeldState::Departure& departure = *message.add_departures();
    departure.set_replica(each.replica);
    departure.set_started_at_ms(each.started_at_ms);
    departure.set_has_drained(each.has_drained);
    departure.set_is_gone(each.is_gone);
    departure.set_age_ms(to_message_ms(each.age));
    departure.set_is_contradicted(each.is_contradicted);
  }
  for (const node::held_evacuation& each : held.evacuations) {
    schema::HeldState::Evacuation& evacuation = *message.add_evacuations();
    evacuation.set_failure_domain(each.failure_domain);
    if (each.remaining) {
      evacuation.set_remaining_ms(to_message_ms(*each.remaining));
    }
  }
  return message.SerializeAsString();
}

base::result<node::held_state> decode_held_state(const std::string& bytes) {
  schema::HeldState message;
  if (!message.ParseFromString(bytes)) {
    return peer_error("malformed held state of " + std::to_string(bytes.size()) + " bytes");
  }
  node::held_state held{
      .version = store_version_of(message), .config = {}, .departures = {}, .evacuations = {}};
  if (message.has_config()) {
    const schema::HeldState::Config& config = message.config();
    auto decoded = platform::decode_configuration(config.text());
    if (!decoded || decoded->version != config.version()) {
      return peer_error("malformed configuration of version " + std::to_string(config.version()));
    }
    held.config = {.config = std::move(*decoded),
                   .text = config.text(),
                   .version = store_version_of(config),
                   .age = milliseconds(config.age_ms())};
  }
  for (const schema::HeldState::Departure& each : message.departures()) {
    held.departures.push_back({.replica = each.replica(),
                               .started_at_ms = each.started_at_ms(),
                               .has_drained = each.has_drained(),
                               .is_gone = each.is_gone(),
                               .age = milliseconds(each.age_ms()),
                               .is_contradicted = each.is_contradicted()});
  }
  for (const schema::HeldState::Evacuation& each : message.evacuations()) {
    std::optional<base::duration> remaining;
    if (each.has_remaining_ms()) {
      remaining = milliseconds(each.remaining_ms());
    }
    held.evacuations.push_back({.failure_domain = each.failure_domain(), .remaining = remaining});
  }
  return held;
}

void held_state_server::serve(relay::caller_connection& caller, const relay::request& message) {
  const std::optional<node::held_state> held = m_held(known_config_version(message));
  if (!held) {
    caller.respond({{status_no_state, {}}, ""});
    return;
  }
  std::string bytes = compress(encode_held_state(*held));
  const bool is_large = bytes.size() > min_budgeted_bytes;
  if (is_large && !m_transfers.try_begin(bytes.size(), base::boot_clock::now())) {
    caller.respond({{status_busy, {}}, ""});
    return;
  }
  caller.respond({{status_ok, {}}, std::move(bytes)});
}

held_state_question::held_state_question(boost::asio::io_context& io, const std::string& address,
                                         std::uint64_t config_version, base::duration timeout,
                                         handler on_answer)
    : m_channel(relay::upstream_channel::create(io, parse_endpoint(address),
                                                {.connect_timeout = connect_timeout})),
      m_timer(io),
      m_on_answer(std::move(on_answer)) {
  const relay::request request{
      .method = "GET",
      .target = held_state_target,
      .headers = {{"Host", "peer"}, {config_version_header, std::to_string(config_version)}}};
  m_channel->send(request, nullptr, nullptr,
                  [this](const relay::channel_event& event) { on_event(event); });
  m_timer.expires_after(timeout);
  m_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      finish(peer_error("no response"));
    }
  });
}

held_state_question::~held_state_question() {
  m_channel->cancel();
}

void held_state_question::on_event(const relay::channel_event& event) {
  std::visit(
      relay::overloaded{
          [this](const relay::response_started& started) { m_status = started.head.status; },
          [this](const relay::body_received& received) { on_body(received.bytes); },
          [this](const relay::response_ended&) { on_response(); },
          [this](const relay::channel_failed& failure) { finish(peer_error(failure.detail)); }},
      event);
}

void held_state_question::on_body(std::string_view bytes) {
  if (m_body.size() + bytes.size() > max_response_bytes) {
    finish(peer_error("more than " + std::to_string(max_response_bytes) + " bytes"));
    return;
  }
  m_body += bytes;
}

void held_state_question::on_response() {
  if (m_status != status_ok) {
    finish(peer_error("status " + std::to_string(m_status)));
    return;
  }
  const auto bytes = decompress(m_body, max_content_bytes);
  finish(bytes ? decode_held_state(*bytes) : peer_error("malformed or too large response"));
}

void held_state_question::finish(base::result<node::held_state> result) {
  m_timer.cancel();
  m_channel->cancel();
  const handler on_answer = std::exchange(m_on_answer, nullptr);
  if (on_answer) {
    on_answer(std::move(result));
  }
}

}  // namespace fuchsiaspring::node_app
