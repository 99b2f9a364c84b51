#include "apps/node/config_reader.h"

#include <algorithm>
#include <utility>

#include "apps/node/compression.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

constexpr base::duration peer_timeout = milliseconds(300);
constexpr base::duration connect_timeout = milliseconds(400);
// Time to read a response that has arrived when its timeout is noticed.
constexpr base::duration overdue_read_time = milliseconds(200);
constexpr base::duration min_interval = milliseconds(100);
constexpr base::duration response_margin = milliseconds(150);
// A peer whose reads succeed has a proof no older than a read interval plus this.
constexpr base::duration proof_margin = milliseconds(150);
// Reads of one listing from its first page because the store came back in between.
constexpr std::uint32_t max_restarts = 2;
// Items of a first page that is full of replicas; a page that is full of other bytes has fewer.
constexpr std::size_t min_large_list = fleet::max_page_items * 4 / 5;

std::string milliseconds_text(base::duration value) {
  return std::to_string(base::to_milliseconds(value)) + " ms";
}

}  // namespace

base::duration read_interval(const schema::NodeSettings& settings) {
  const schema::PromiseSettings& promises = settings.promises();
  const base::duration shortest_limit = milliseconds(
      std::min({promises.drain_ms(), promises.config_apply_ms(), promises.evacuation_ms()}));
  const base::duration configured = milliseconds(settings.config_read_interval_ms());
  return std::max(min_interval, std::min(configured, shortest_limit / 2 - response_margin));
}

config_reader::config_reader(node_context& context, const fleet::peer_directory& peers,
                             state_handler on_state)
    : m_context(context),
      m_peers(peers),
      m_on_state(std::move(on_state)),
      m_random(base::system_seed()),
      m_interval_timer(context.io),
      m_timeout_timer(context.io),
      m_range_reader(context) {}

config_reader::~config_reader() {
  for (const auto& channel : {m_service_channel, m_peer_channel}) {
    if (channel) {
      channel->cancel();
    }
  }
}

void config_reader::start() {
  m_started_at = base::boot_clock::now();
  begin_read();
}

void config_reader::schedule_next() {
  const base::duration interval = read_interval(m_context.settings);
  schedule_after(m_failed_rounds > 0 ? std::min(interval, retry_interval) : interval);
}

void config_reader::schedule_after(base::duration pause) {
  m_interval_timer.expires_after(pause);
  m_interval_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      begin_read();
    }
  });
}

// Called after successful reads too, because a read from a peer may yield a proof that is too old.
void config_reader::log_lease_change() {
  const base::time_point now = base::boot_clock::now();
  const bool is_valid = m_context.lease.is_valid(now);
  if (is_valid == m_is_lease_valid) {
    return;
  }
  m_is_lease_valid = is_valid;
  const base::duration age = m_context.lease.age(now).value_or(base::duration{});
  m_context.log.write(is_valid ? telemetry::level::info : telemetry::level::warn, "agent",
                      is_valid ? "lease_regained" : "lease_lapsed", {{"proof_age_ms", age}});
}

void config_reader::begin_read() {
  const base::time_point now = base::boot_clock::now();
  m_is_second_source = false;
  if (m_is_list_large) {
    take_step(plan_read());
    return;
  }
  m_source_status.proof_age = m_context.content_proof.age(now);
  read_from(fleet::choose_source(m_peers.self(), m_peers.live(now), m_source_status, m_random));
}

void config_reader::read_from(const fleet::config_source& source) {
  m_source = source;
  m_content.clear();
  m_last_key.clear();
  m_content_bytes = 0;
  m_era.reset();
  m_restarts = 0;
  m_requested_at = base::boot_clock::now();
  const auto* peer = std::get_if<fleet::peer_source>(&m_source);
  const auto* question = std::get_if<fleet::peer_question>(&m_step);
  const base::duration hold =
      m_is_list_large && question != nullptr ? question->hold : base::duration{};
  m_context.metrics.count("fuchsia_config_source_reads_total",
                          "Reads of the configuration by kind of source.",
                          {{"source", peer != nullptr ? "peer" : "service"}});
  m_progress_timeout = peer != nullptr ? peer_timeout + hold : service_timeout;
  m_progress_at = m_requested_at;
  m_deadline =
      m_requested_at + hold +
      fleet::max_read_time(read_interval(m_context.settings), m_context.content_proof.bound());
  m_is_overdue = false;
  if (peer != nullptr) {
    wait_for_progress();
    request_snapshot(peer->address);
    return;
  }
  const std::vector<fleet::peer_info> live = m_peers.live(m_requested_at);
  if (m_is_list_large && m_range_reader.can_divide(m_peers.self(), live)) {
    request_ranges(live);
    return;
  }
  wait_for_progress();
  request_page();
}

void config_reader::wait_for_progress() {
  const base::time_point now = base::boot_clock::now();
  m_timeout_timer.expires_after(std::min(m_progress_at + m_progress_timeout, m_deadline) - now);
  m_timeout_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    if (base::boot_clock::now() < std::min(m_progress_at + m_progress_timeout, m_deadline)) {
      wait_for_progress();
      return;
    }
    on_timeout();
  });
}

// When the process got no processor time, a response that has arrived is read behind the timer. It
// is no failure of its source.
void config_reader::on_timeout() {
  const bool is_from_peer = std::holds_alternative<fleet::peer_source>(m_source);
  const auto& channel = is_from_peer ? m_peer_channel : m_service_channel;
  if (channel && channel->has_unread_input() && !std::exchange(m_is_overdue, true)) {
    m_progress_at = base::boot_clock::now();
    m_progress_timeout = overdue_read_time;
    m_deadline = std::max(m_deadline, m_progress_at + overdue_read_time);
    wait_for_progress();
    return;
  }
  const base::duration time = base::boot_clock::now() - m_requested_at;
  on_failure("no response or no progress within " + milliseconds_text(m_progress_timeout) +
             ", after " + milliseconds_text(time));
}

std::shared_ptr<relay::upstream_channel> config_reader::send(
    std::shared_ptr<relay::upstream_channel> channel, const relay::request& request,
    std::function<void()> on_response) {
  m_response_body.clear();
  m_response_head = {};
  channel->send(
      request, nullptr, nullptr,
      [this, on_response = std::move(on_response)](const relay::channel_event& event) {
        std::visit(
            relay::overloaded{
                [this](const relay::response_started& started) { m_response_head = started.head; },
                [this](const relay::body_received& received) { on_body(received.bytes); },
                [&](const relay::response_ended&) { on_response(); },
                [this](const relay::channel_failed& failure) { on_failure(failure.detail); }},
            event);
      });
  return channel;
}

void config_reader::on_body(std::string_view bytes) {
  if (m_response_body.size() + bytes.size() > max_response_bytes) {
    on_failure("more than " + std::to_string(max_response_bytes) + " bytes");
    return;
  }
  m_response_body += bytes;
  m_progress_at = base::boot_clock::now();
}

void config_reader::request_page() {
  const std::string& address = m_context.settings.config_service_address();
  if (!m_service_channel || !m_service_channel->is_reusable()) {
    m_service_channel = relay::upstream_channel::create(m_context.io, parse_endpoint(address),
                                                        {.connect_timeout = connect_timeout});
  }
  send(m_service_channel, platform::make_list_request(address, m_last_key), [this] { on_page(); });
}

void config_reader::request_snapshot(const std::string& address) {
  if (!m_peer_channel || m_peer_address != address || !m_peer_channel->is_reusable()) {
    if (m_peer_channel) {
      m_peer_channel->cancel();
    }
    m_peer_address = address;
    m_peer_channel = relay::upstream_channel::create(m_context.io, parse_endpoint(address),
                                                     {.connect_timeout = peer_timeout});
  }
  snapshot_request request{.known_hash = m_context.snapshot.history.hash(),
                           .accepts_any_size = m_is_second_source,
                           .is_planned = m_is_list_large,
                           .hold = {},
                           .proof_age = m_context.content_proof.age(m_requested_at)};
  if (const auto* question = std::get_if<fleet::peer_question>(&m_step);
      m_is_list_large && question != nullptr) {
    request.hold = question->hold;
  }
  send(m_peer_channel, encode_snapshot_request(request),
       [this] { on_snapshot_response(m_response_head); });
}

void config_reader::on_page() {
  m_context.metrics.count("fuchsia_config_reads_total", "Calls to the configuration service.",
                          {{"status", std::to_string(m_response_head.status)}});
  m_context.metrics.count("fuchsia_config_read_bytes_total",
                          "Bytes of responses to reads of the configuration.",
                          {{"source", "service"}}, static_cast<double>(m_response_body.size()));
  if (m_response_head.status != 200) {
    on_failure("service returned status " + std::to_string(m_response_head.status));
    return;
  }
  if (!is_same_era()) {
    restart_listing();
    return;
  }
  auto page = platform::decode_page(m_response_body);
  if (!page) {
    on_failure(page.error().message);
    return;
  }
  platform::store_page& read = page.value();
  for (auto& [key, value] : read.content) {
    m_content_bytes += key.size() + value.size();
    m_content[key] = std::move(value);
  }
  if (m_content_bytes > max_content_bytes) {
    on_failure("more than " + std::to_string(max_content_bytes) + " bytes of content");
    return;
  }
  if (read.has_more && !read.last_key.empty()) {
    m_progress_at = base::boot_clock::now();
    m_last_key = std::move(read.last_key);
    if (!m_is_list_large && m_content.size() >= min_large_list) {
      m_is_list_large = true;
      const fleet::read_step step = plan_read();
      if (!std::holds_alternative<fleet::service_source>(step)) {
        m_timeout_timer.cancel();
        m_content.clear();
        take_step(step);
        return;
      }
      m_step = step;
    }
    request_page();
    return;
  }
  adopt(std::exchange(m_content, {}), {m_era, read.revision}, m_requested_at);
}

bool config_reader::is_same_era() {
  const platform::era_statement stated = platform::read_era(m_response_head.headers);
  if (!stated.unreadable.empty()) {
    m_context.metrics.count("fuchsia_store_era_unreadable_total",
                            "Responses of the configuration service whose era is malformed.");
    m_context.log.write(telemetry::level::warn, "agent", "store_era_unreadable",
                        {{"text", stated.unreadable}});
  }
  const std::optional<std::uint64_t> before = m_era;
  m_era = stated.era ? stated.era : before;
  return !before || m_era == before;
}

// The pages of a listing are parts of one state only within an era.
void config_reader::restart_listing() {
  if (++m_restarts > max_restarts) {
    on_failure("pages of one listing have different eras");
    return;
  }
  m_content.clear();
  m_content_bytes = 0;
  m_last_key.clear();
  m_era.reset();
  request_page();
}

void config_reader::on_snapshot_response(const relay::response_head& head) {
  m_context.metrics.count("fuchsia_peer_reads_total", "Questions to peers about the configuration.",
                          {{"status", std::to_string(head.status)}});
  m_context.metrics.count("fuchsia_config_read_bytes_total",
                          "Bytes of responses to reads of the configuration.", {{"source", "peer"}},
                          static_cast<double>(m_response_body.size()));
  const auto response = parse_snapshot_response(head);
  if (!response) {
    on_failure("peer returned no proof, status " + std::to_string(head.status));
    return;
  }
  // An old proof means that the peer missed a read, possibly because only that peer lost the
  // service.
  const base::duration age_limit = read_interval(m_context.settings) + proof_margin;
  if (!m_is_list_large && !m_is_second_source && response->proof_age > age_limit) {
    on_failure("peer's proof is " + milliseconds_text(response->proof_age) + " old, limit " +
               milliseconds_text(age_limit));
    return;
  }
  const base::time_point proved_at = response->proved_at(m_requested_at);
  m_context.snapshot.read_time = response->read_time;
  if (response->is_unchanged) {
    if (!response->version || hold_version(*response->version, proved_at)) {
      on_success(proved_at);
    }
    return;
  }
  if (response->is_compressed) {
    auto bytes = decompress(m_response_body, max_content_bytes);
    if (!bytes) {
      on_failure("malformed or too large content from a peer");
      return;
    }
    m_response_body = std::move(*bytes);
  }
  const auto snapshot = decode_snapshot(m_response_body);
  if (!snapshot) {
    on_failure(snapshot.error().message);
    return;
  }
  const node::store_version& version = snapshot.value().version;
  if (node::compare(m_held, {version, proved_at}) == node::answer_order::older) {
    on_older_answer(version);
    return;
  }
  const fleet::content_history& history = m_context.snapshot.history;
  auto content = fleet::apply(history.content(), history.hash(), snapshot.value().change);
  if (!content) {
    on_failure("peer's change does not apply to the local content");
    return;
  }
  adopt(std::move(*content), version, proved_at);
}

void config_reader::adopt(fleet::content_map content, const node::store_version& version,
                          base::time_point proved_at) {
  if (!hold_version(version, proved_at)) {
    return;
  }
  fleet::content_history& history = m_context.snapshot.history;
  if (history.add(std::move(content)) || !m_state) {
    m_state = m_decoder.decode(history.content(), m_held->version);
  }
  m_is_list_large = history.content().size() > fleet::max_page_items;
  on_success(proved_at);
}

bool config_reader::hold_version(const node::store_version& version, base::time_point proved_at) {
  if (node::compare(m_held, {version, proved_at}) == node::answer_order::older) {
    on_older_answer(version);
    return false;
  }
  m_held = {node::adopted_version(m_held, version),
            m_held ? std::max(m_held->proved_at, proved_at) : proved_at};
  m_context.snapshot.version = m_held->version;
  return true;
}

void config_reader::on_success(base::time_point proved_at) {
  m_timeout_timer.cancel();
  if (m_failed_rounds > 0) {
    m_context.log.write(telemetry::level::info, "agent", "configuration_regained",
                        {{"failed_rounds", m_failed_rounds},
                         {"proof_age_ms", base::boot_clock::now() - proved_at}});
  }
  m_failed_rounds = 0;
  if (std::holds_alternative<fleet::service_source>(m_source)) {
    m_context.snapshot.read_time = base::boot_clock::now() - m_requested_at;
    m_context.metrics.set("fuchsia_config_read_seconds",
                          "Duration of the last complete read of the service by this node.", {},
                          base::to_seconds(*m_context.snapshot.read_time));
  }
  // A source that failed is tried again in a later round.
  m_source_status = {};
  const base::duration interval = read_interval(m_context.settings);
  // First, so that an exception below does not end the reads.
  schedule_after(m_is_list_large ? fleet::interval_after(m_step, interval) : interval);
  m_state->version = m_held->version;
  m_on_state(*m_state, {proved_at, m_service_failed_at});
  log_lease_change();
}

void config_reader::on_older_answer(const node::store_version& version) {
  m_timeout_timer.cancel();
  m_context.metrics.count("fuchsia_config_older_answers_total",
                          "Answers with a state from before the one that is held.");
  m_context.log.write(telemetry::level::info, "agent", "configuration_answer_older",
                      {{"era", version.era.value_or(0)},
                       {"revision", version.revision},
                       {"held_era", m_held->version.era.value_or(0)},
                       {"held_revision", m_held->version.revision}});
  m_source_status = {};
  log_lease_change();
  schedule_next();
}

void config_reader::on_failure(const std::string& detail) {
  m_timeout_timer.cancel();
  m_range_reader.cancel();
  const auto* peer = std::get_if<fleet::peer_source>(&m_source);
  auto& channel = peer != nullptr ? m_peer_channel : m_service_channel;
  if (channel) {
    channel->cancel();
    channel = nullptr;
  }
  (peer != nullptr ? m_source_status.did_peer_fail : m_source_status.did_service_fail) = true;
  if (peer == nullptr) {
    m_service_failed_at = base::boot_clock::now();
  }
  m_context.log.write(
      telemetry::level::info, "agent", "configuration_read_failed",
      {{"source", peer != nullptr ? peer->address : std::string("service")},
       {"detail", detail},
       {"proof_age_ms",
        m_context.content_proof.age(base::boot_clock::now()).value_or(base::duration{})}});
  if (m_is_list_large) {
    on_planned_failure(detail);
    return;
  }
  if (!std::exchange(m_is_second_source, true)) {
    const base::time_point now = base::boot_clock::now();
    m_source_status.proof_age = m_context.content_proof.age(now);
    const fleet::config_source next =
        fleet::choose_source(m_peers.self(), m_peers.live(now), m_source_status, m_random);
    const bool is_other_kind =
        std::holds_alternative<fleet::peer_source>(next) != (peer != nullptr);
    if (is_other_kind) {
      read_from(next);
      return;
    }
  }
  if (++m_failed_rounds == 1) {
    m_context.log.write(telemetry::level::warn, "agent", "configuration_lost",
                        {{"detail", detail}});
  }
  m_source_status = {};
  log_lease_change();
  schedule_next();
}

}  // namespace fuchsiaspring::node_app
