#include "apps/node/peer_exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "apps/node/evidence_codec.h"
#include "apps/node/speed_codec.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::node_app {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Work with shorter prompts is reported only by the load in the next heartbeat.
constexpr std::uint32_t immediate_report_tokens = 1024;
// Peers outside the group receive the load with every second heartbeat only.
constexpr std::uint32_t heartbeats_per_distant_message = 2;
// Limits the peers named in one heartbeat, so that a datagram stays below the usual packet size.
constexpr std::size_t max_named_peers = 12;
// Limits the parts in one datagram likewise; a part takes up to 130 bytes.
constexpr std::size_t max_parts_per_datagram = 8;
// Live peers of each other failure domain that get changes of the evidence where nodes do not reach
// all others; they pass them on to their own domain.
constexpr std::size_t forwarders_per_domain = 2;

// Limits the speeds in one datagram likewise; a row takes up to 24 bytes.
constexpr std::size_t max_speeds_per_datagram = 16;
// Copies of rows in one round of datagrams: 31 kB/s at most with heartbeats every 200 ms.
constexpr std::size_t max_speed_copies = 256;

asio::ip::udp::endpoint parse_udp_endpoint(const std::string& address) {
  const asio::ip::tcp::endpoint parsed = parse_endpoint(address);
  return {parsed.address(), parsed.port()};
}

// The port of a seed is replaced by this node's peer port, which is the same on all nodes.
std::vector<std::string> seed_addresses(const schema::NodeSettings& settings) {
  const std::string port = settings.peer_address().substr(settings.peer_address().rfind(':'));
  std::vector<std::string> addresses;
  for (const std::string& seed : settings.seeds()) {
    addresses.push_back(seed.substr(0, seed.rfind(':')) + port);
  }
  return addresses;
}

}  // namespace

peer_exchange::peer_exchange(node_context& context)
    : m_context(context),
      m_directory({.vm = context.settings.vm(),
                   .address = context.settings.peer_address(),
                   .failure_domain = context.settings.failure_domain()},
                  seed_addresses(context.settings)),
      m_socket(context.io, parse_udp_endpoint(context.settings.peer_address())),
      m_heartbeat_timer(context.io),
      m_random(base::system_seed()),
      m_incarnation(m_random.next()) {}

peer_exchange::~peer_exchange() = default;

void peer_exchange::start(handlers on_event) {
  m_on_event = std::move(on_event);
  receive();
  send_discovery(m_directory.discovery_addresses(base::boot_clock::now(), m_random));
  arm_heartbeat();
}

void peer_exchange::arm_heartbeat() {
  m_heartbeat_timer.expires_after(std::chrono::milliseconds(m_context.settings.peer_interval_ms()));
  m_heartbeat_timer.async_wait([this](const error_code& cancelled) {
    if (cancelled) {
      return;
    }
    arm_heartbeat();  // first, so that an exception below does not end the heartbeats
    const base::time_point now = base::boot_clock::now();
    for (const std::string& vm : m_directory.expire(now)) {
      m_context.log.write(telemetry::level::warn, "agent", "peer_lost", {{"peer", vm}});
      m_context.scheduler.placer().set_remote_load(vm, {});
      m_context.scheduler.placer().speeds().forget(vm, now);
      m_on_event.on_peer_lost(vm);
    }
    send_to_group(content::load_and_speeds);
    if (++m_heartbeats % heartbeats_per_distant_message == 0) {
      send_load_totals(m_directory.other_domain_addresses(now));
    }
    send_discovery(m_directory.discovery_addresses(now, m_random));
    send_evidence_changes();
    send_evidence_to_one_peer();
    m_on_event.on_nodes();
  });
}

schema::PeerHeartbeat peer_exchange::make_heartbeat() {
  schema::PeerHeartbeat message;
  message.set_vm(m_context.settings.vm());
  message.set_address(m_context.settings.peer_address());
  message.set_failure_domain(m_context.settings.failure_domain());
  message.set_incarnation(m_incarnation);
  message.set_sequence(++m_sequence);
  message.set_leaving(m_is_leaving);
  message.set_config_version(m_context.own_claim.version);
  message.set_is_config_settled(m_context.own_claim.is_settled);
  return message;
}

void peer_exchange::add_load(schema::PeerHeartbeat& message) {
  message.set_has_load(true);
  for (const placement::remote_load& each : m_context.scheduler.placer().own_load()) {
    schema::UpstreamLoad& load = *message.add_loads();
    load.set_upstream_hash(each.replica_hash);
    load.set_running(each.running);
    load.set_prefill_tokens(each.prefill_tokens);
    load.set_gap_sensitivity(static_cast<float>(each.gap_sensitivity));
  }
}

void peer_exchange::add_speeds(schema::PeerHeartbeat& message, capability::audience to,
                               std::size_t receivers) {
  const base::time_point now = base::boot_clock::now();
  // Nodes of a small fleet use their own samples only.
  if (m_directory.sharing_level(now) == fleet::work_sharing::full) {
    return;
  }
  const std::size_t max_rows = std::clamp<std::size_t>(
      max_speed_copies / std::max<std::size_t>(1, receivers), 1, max_speeds_per_datagram);
  encode_speeds(m_context.scheduler.placer().speeds().rows_to_send(to, max_rows, now), message);
  m_context.metrics.count("fuchsia_speed_rows_sent_total",
                          "Copies of speed rows sent to other nodes.", {},
                          static_cast<double>(receivers) * message.speeds_size());
}

void peer_exchange::send(const schema::PeerHeartbeat& message,
                         const std::vector<std::string>& addresses) {
  const std::string bytes = message.SerializeAsString();
  for (const std::string& address : addresses) {
    error_code ignored;  // a datagram may be lost; the next heartbeat replaces it
    m_socket.send_to(asio::buffer(bytes), parse_udp_endpoint(address), 0, ignored);
  }
}

void peer_exchange::send_discovery(const std::vector<std::string>& addresses) {
  if (addresses.empty()) {
    return;
  }
  schema::PeerHeartbeat message = make_heartbeat();
  const std::vector<fleet::peer_info> live = m_directory.live(base::boot_clock::now());
  // A different part of the known peers each time, so that all are named after a few heartbeats.
  for (std::size_t i = 0; i < std::min(live.size(), max_named_peers); ++i) {
    const fleet::peer_info& peer = live[(m_sequence + i) % live.size()];
    schema::PeerAddress& named = *message.add_known();
    named.set_vm(peer.vm);
    named.set_address(peer.address);
  }
  encode_evidence(
      m_context.prompt_quarantine.evidence(base::boot_clock::now(), max_parts_per_datagram / 2),
      message);
  send(message, addresses);
}

void peer_exchange::on_evidence_changed() {
  // When many replicas end at once, every node has evidence about many parts. Larger fleets send it
  // at the heartbeat interval only, a datagram at a time, so that the exchange does not delay
  // requests.
  const bool is_small_fleet =
      m_directory.sharing_level(base::boot_clock::now()) == fleet::work_sharing::full;
  if (!is_small_fleet || std::exchange(m_is_evidence_flush_posted, true)) {
    return;
  }
  asio::post(m_context.io, [this] {
    m_is_evidence_flush_posted = false;
    send_evidence_changes();
  });
}

void peer_exchange::send_evidence_changes() {
  const base::time_point now = base::boot_clock::now();
  const bool needs_forwarders = m_directory.sharing_level(now) == fleet::work_sharing::domain_only;
  const auto changes = m_context.prompt_quarantine.take_changes(
      needs_forwarders ? quarantine::change_origin::any : quarantine::change_origin::own, now,
      max_parts_per_datagram);
  if (changes.empty()) {
    return;
  }
  schema::PeerHeartbeat message = make_heartbeat();
  encode_evidence(changes, message);
  send(message, m_directory.group_addresses(now));
  send(message, m_directory.other_domain_addresses(now));
  if (needs_forwarders) {
    send(message, m_directory.forwarder_addresses(forwarders_per_domain, now, m_random));
  }
}

void peer_exchange::send_evidence_to_one_peer() {
  const base::time_point now = base::boot_clock::now();
  const auto evidence =
      m_context.prompt_quarantine.evidence(now, max_parts_per_datagram, m_heartbeats);
  const std::vector<fleet::peer_info> live = m_directory.live(now);
  if (evidence.empty() || live.empty()) {
    return;
  }
  schema::PeerHeartbeat message = make_heartbeat();
  encode_evidence(evidence, message);
  send(message, {live[m_random.uniform_below(live.size())].address});
}

void peer_exchange::send_to_group(content sent) {
  const std::vector<std::string> group = m_directory.group_addresses(base::boot_clock::now());
  if (group.empty()) {
    m_placements.clear();
    return;
  }
  schema::PeerHeartbeat message = make_heartbeat();
  add_load(message);
  for (schema::PromptPlacement& each : m_placements) {
    *message.add_placements() = std::move(each);
  }
  m_placements.clear();
  if (sent == content::load_and_speeds) {
    add_speeds(message, capability::audience::group, group.size());
  }
  send(message, group);
}

void peer_exchange::send_load_totals(const std::vector<std::string>& addresses) {
  if (addresses.empty()) {
    return;
  }
  schema::PeerHeartbeat message = make_heartbeat();
  add_load(message);
  add_speeds(message, capability::audience::other_domains, addresses.size());
  send(message, addresses);
}

void peer_exchange::on_load_changed(const std::string& replica_id,
                                    const placement::request_profile& profile, bool is_dispatch) {
  if (profile.prompt_tokens < immediate_report_tokens) {
    return;
  }
  if (is_dispatch && profile.prompt.size() > 1) {
    schema::PromptPlacement placed;
    placed.set_upstream_hash(placement::hash_replica_id(replica_id));
    // The last part is unique to this request and cannot be reused.
    for (std::size_t i = 0; i + 1 < profile.prompt.size(); ++i) {
      placed.add_parts(profile.prompt[i].id);
    }
    m_placements.push_back(std::move(placed));
  }
  if (std::exchange(m_is_flush_posted, true)) {
    return;
  }
  asio::post(m_context.io, [this] {
    m_is_flush_posted = false;
    send_to_group(content::load);
  });
}

void peer_exchange::announce_leaving() {
  m_is_leaving = true;
  send_to_group(content::load);
  send_load_totals(m_directory.other_domain_addresses(base::boot_clock::now()));
}

void peer_exchange::receive() {
  m_socket.async_receive_from(
      asio::buffer(m_buffer), m_sender, [this](const error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        schema::PeerHeartbeat message;
        const bool is_valid =
            !error && message.ParseFromArray(m_buffer.data(), static_cast<int>(size));
        // First, so that an exception below does not end the reception.
        receive();
        if (is_valid) {
          on_message(message);
        }
      });
}

void peer_exchange::on_message(const schema::PeerHeartbeat& message) {
  if (message.vm().empty() || message.vm() == m_context.settings.vm()) {
    return;
  }
  const base::time_point now = base::boot_clock::now();
  if (message.leaving()) {
    m_directory.on_leaving(message.vm(), now);
    m_on_event.on_peer_lost(message.vm());
  } else if (m_directory.on_heartbeat(
                 {message.vm(), message.address(), message.incarnation(), message.failure_domain()},
                 now)) {
    m_context.log.write(telemetry::level::info, "agent", "peer_found",
                        {{"peer", message.vm()}, {"address", message.address()}});
    send_discovery({message.address()});
  }
  if (!message.leaving()) {
    m_on_event.on_config_claim(message.vm(),
                               {message.config_version(), message.is_config_settled()});
  }
  if (message.parts_size() > 0) {
    const bool is_from_other_domain =
        message.failure_domain() != m_context.settings.failure_domain();
    m_context.prompt_quarantine.merge(
        decode_evidence(message),
        is_from_other_domain ? quarantine::change_origin::any : quarantine::change_origin::own,
        now);
    if (m_context.prompt_quarantine.has_changes()) {
      on_evidence_changed();
    }
  }
  apply_speeds(message, now);
  apply_remote_load(message, now);
  for (const schema::PeerAddress& each : message.known()) {
    m_directory.on_peer_listed(each.vm(), each.address(), now);
  }
  m_on_event.on_remote_load();
}

void peer_exchange::apply_speeds(const schema::PeerHeartbeat& message, base::time_point now) {
  if (message.speeds_size() == 0 || message.leaving()) {
    return;
  }
  const std::size_t taken =
      m_context.scheduler.placer().speeds().merge(message.vm(), decode_speeds(message), now);
  m_context.metrics.count("fuchsia_speed_rows_received_total",
                          "Speed rows of other nodes that were used.", {},
                          static_cast<double>(taken));
  m_context.metrics.count(
      "fuchsia_speed_rows_dropped_total",
      "Speed rows of other nodes that were implausible or about unknown replicas.", {},
      static_cast<double>(message.speeds_size()) - static_cast<double>(taken));
}

void peer_exchange::apply_remote_load(const schema::PeerHeartbeat& message, base::time_point now) {
  if (!message.has_load()) {
    return;
  }
  placement::placer& placer = m_context.scheduler.placer();
  std::vector<placement::remote_load> loads;
  loads.reserve(static_cast<std::size_t>(message.loads_size()));
  for (const schema::UpstreamLoad& each : message.loads()) {
    loads.push_back(
        {each.upstream_hash(), each.running(), each.prefill_tokens(), each.gap_sensitivity()});
  }
  placer.set_remote_load(message.vm(), loads);
  for (const schema::PromptPlacement& each : message.placements()) {
    placer.on_remote_prefix(each.upstream_hash(),
                            std::vector<std::uint64_t>(each.parts().begin(), each.parts().end()),
                            now);
  }
}

}  // namespace fuchsiaspring::node_app
