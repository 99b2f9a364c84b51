#include "apps/node/speed_codec.h"

namespace fuchsiaspring::node_app {

void encode_speeds(const std::vector<capability::speed_row>& rows, schema::PeerHeartbeat& message) {
  for (const capability::speed_row& row : rows) {
    schema::ReplicaSpeed& encoded = *message.add_speeds();
    encoded.set_replica_hash(row.key.replica_hash);
    encoded.set_start_hash(row.key.start_hash);
    encoded.set_count(row.count);
    encoded.set_log_ratio_sum(row.log_ratio_sum);
    encoded.set_age_ms(row.age_ms);
  }
}

std::vector<capability::speed_row> decode_speeds(const schema::PeerHeartbeat& message) {
  std::vector<capability::speed_row> rows;
  rows.reserve(static_cast<std::size_t>(message.speeds_size()));
  for (const schema::ReplicaSpeed& each : message.speeds()) {
    rows.push_back({{each.replica_hash(), each.start_hash()},
                    each.count(),
                    each.log_ratio_sum(),
                    each.age_ms()});
  }
  return rows;
}

}  // namespace fuchsiaspring::node_app
