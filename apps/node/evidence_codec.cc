#include "apps/node/evidence_codec.h"

#include "apps/node/message_fields.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

}  // namespace

void encode_evidence(const std::vector<quarantine::part_evidence>& evidence,
                     schema::PeerHeartbeat& message) {
  for (const quarantine::part_evidence& each : evidence) {
    schema::PartEvidence& encoded = *message.add_parts();
    encoded.set_part(each.part);
    encoded.set_depth(each.depth);
    for (const quarantine::crash_age& crash : each.crashes) {
      schema::PartEvidence::Crash& encoded_crash = *encoded.add_crashes();
      encoded_crash.set_replica_hash(crash.replica);
      encoded_crash.set_age_ms(to_message_ms(crash.age));
    }
    if (each.completion_age) {
      encoded.set_completion_age_ms(to_message_ms(*each.completion_age));
    }
    if (each.block_age) {
      encoded.set_block_age_ms(to_message_ms(*each.block_age));
    }
    encoded.set_request_age_ms(to_message_ms(each.request_age));
    encoded.set_trials(each.trials);
  }
}

std::vector<quarantine::part_evidence> decode_evidence(const schema::PeerHeartbeat& message) {
  std::vector<quarantine::part_evidence> evidence;
  evidence.reserve(static_cast<std::size_t>(message.parts_size()));
  for (const schema::PartEvidence& encoded : message.parts()) {
    quarantine::part_evidence each{.part = encoded.part(),
                                   .depth = encoded.depth(),
                                   .request_age = milliseconds(encoded.request_age_ms()),
                                   .trials = encoded.trials()};
    for (const schema::PartEvidence::Crash& crash : encoded.crashes()) {
      each.crashes.push_back({crash.replica_hash(), milliseconds(crash.age_ms())});
    }
    if (encoded.has_completion_age_ms()) {
      each.completion_age = milliseconds(encoded.completion_age_ms());
    }
    if (encoded.has_block_age_ms()) {
      each.block_age = milliseconds(encoded.block_age_ms());
    }
    evidence.push_back(std::move(each));
  }
  return evidence;
}

}  // namespace fuchsiaspring::node_app
