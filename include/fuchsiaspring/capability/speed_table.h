// How fast each replica answers relative to its service, from the samples of many nodes.
//
//   capability::speed_table table;
//   table.set_replicas(listed);                                  // on every new snapshot
//   table.record(key, relative_log_ratio, now);                  // at each first event
//   send(table.rows_to_send(audience::group, 16, now));          // at each heartbeat
//   table.merge("vm-2", received, now);
//   double factor = table.estimate(key, model.slow_phases(), now);
//
// Two things are followed. An average with a time constant of a few seconds follows the speed of a
// replica. The likelihood that it is in a slow phase now decays within half a second, and follows
// phases that are over before an average shows them. Without samples both return to the speed of
// an average replica, so that a slow replica is tried again.
//
// Answers this load: 76 nodes before 140 replicas at 386 requests/s. Each node has one sample of a
// replica in 28 s, all together have 8 in 3 s.
//
// A row holds what its sender measured itself, never what it was told, and replaces the sender's
// previous row of the replica, so that no sample counts twice. A sender's weight in an estimate is
// bounded, and so is the ratio that it can report. Rows that make no sense are dropped, and rows of
// a sender that contradicts the other nodes most of the time count little. Ages are relative to the
// time of sending, so that clocks need not agree.
//
// Memory is bounded by the listed replicas times `max_rows_per_replica`. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/capability/service_model.h"

namespace fuchsiaspring::capability {

// One start of a replica; a restarted replica begins as unknown.
struct replica_key {
  std::uint32_t replica_hash = 0;
  std::uint32_t start_hash = 0;

  friend bool operator==(const replica_key&, const replica_key&) = default;
};

std::uint32_t hash_start(std::uint64_t started_at_ms);

// Samples of one sender at one start of a replica. Older samples count for less than one.
struct speed_row {
  replica_key key;
  std::uint32_t count = 0;
  float log_ratio_sum = 0;
  std::uint32_t age_ms = 0;  // of the last sample, at the time of sending

  friend bool operator==(const speed_row&, const speed_row&) = default;
};

// Receivers of rows that have heartbeats of their own.
enum class audience { group, other_domains };

class speed_table {
 public:
  // Rows of one replica that are kept; the oldest is replaced.
  static constexpr std::size_t max_rows_per_replica = 64;
  static constexpr std::size_t max_senders = 512;

  // Replicas that are not listed are forgotten, and rows about them are dropped. A replica that is
  // listed with another start begins as unknown.
  void set_replicas(std::span<const replica_key> listed);

  // A sample of this node, relative to the service.
  void record(const replica_key& key, double relative_log_ratio, base::time_point now);

  // Rows that changed, the ones that were not sent yet first. Each is returned twice, because
  // datagrams get lost.
  std::vector<speed_row> rows_to_send(audience to, std::size_t max_rows, base::time_point now);

  // Returns how many rows were taken.
  std::size_t merge(const std::string& sender, std::span<const speed_row> rows,
                    base::time_point now);

  // The sender was lost or has left.
  void forget(const std::string& sender, base::time_point now);

  // Factor on the expected time; 1 for an average or unknown replica.
  double estimate(const replica_key& key, const slow_mode& slow, base::time_point now) const;

  // Whether the replica's average certainly differs from that of its service.
  bool is_distinct(const replica_key& key, base::time_point now) const;

  // Logarithm of the factor without the slow phases.
  double log_usual(const replica_key& key, base::time_point now) const;

  std::size_t row_count() const;

 private:
  // Sum of values whose weight decays exponentially, as of `at`.
  struct decaying_sum {
    double weight = 0;
    double sum = 0;
    base::time_point at{};
  };

  struct received_row {
    std::uint32_t sender = 0;
    float weight = 0;
    float mean = 0;
    base::time_point at{};  // of the last sample
  };

  struct replica_record {
    std::uint32_t start_hash = 0;
    decaying_sum own;
    double last_own_ratio = 0;
    std::array<std::uint8_t, 2> sends_left{};  // by audience
    std::vector<received_row> rows;
    decaying_sum average;  // of own samples and rows
    decaying_sum recent;   // one value of each sender
  };

  const replica_record* find(const replica_key& key) const;
  static double log_usual(const replica_record& record, base::time_point now);
  struct sender_state {
    std::uint32_t number = 0;
    double deviation = 0;  // mean difference of its rows from the estimates
    double rows = 0;       // that were compared
  };

  // Factor on the weight of the sender's rows.
  static double trust(const sender_state& sender);
  static bool is_distinct(const replica_record& record, base::time_point now);
  static bool is_plausible(const speed_row& row);
  void store(replica_record& record, const received_row& row);
  static void summarize(replica_record& record, base::time_point now);

  std::unordered_map<std::uint32_t, replica_record> m_records;  // by replica hash
  std::array<std::vector<std::uint32_t>, 2> m_pending;          // replica hashes by audience
  std::map<std::string, sender_state> m_senders;
  std::uint32_t m_next_sender = 1;
};

}  // namespace fuchsiaspring::capability
