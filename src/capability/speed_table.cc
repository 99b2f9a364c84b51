#include "fuchsiaspring/capability/speed_table.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaspring::capability {
namespace {

using std::chrono::milliseconds;

// A change of speed has 70% of the weight after 3 s.
constexpr base::duration average_decay = milliseconds(2500);
// Slow phases last 600 ms in the fleet that has them. In simulations of it 250 ms gave shorter
// response times than 400 ms and 800 ms.
constexpr base::duration recent_decay = milliseconds(250);
// Rows with a thousandth of their weight are dropped.
constexpr base::duration row_lifetime = milliseconds(10'000);
// Samples that an unknown replica counts as having at the average speed.
constexpr double prior_weight = 0.5;
// Largest weight in samples of one sender in an average.
constexpr double max_peer_weight = 1.5;
constexpr double max_own_weight = 8;
// Reported and own ratios are limited to this range; a single sample of a fault would otherwise
// outweigh all others.
const double max_log_ratio = std::log(6.0);
// A mean outside this range is no measurement: senders limit their samples.
const double max_plausible_log_ratio = std::log(20.0);
// Standard deviation of the log ratio between requests at an unchanged speed.
constexpr double sample_deviation = 0.4;
// A replica's average differs from the service's if it is this far from it. Smaller differences may
// be due to the requests.
const double min_distinct_log_ratio = std::log(1.25);
constexpr double distinct_standard_errors = 3.5;
constexpr std::uint8_t sends_per_change = 2;
// Weight in samples that an average needs before a sender's row is compared with it.
constexpr double min_compared_weight = 3;
constexpr double min_compared_rows = 10;
constexpr double deviation_weight = 0.05;  // of one row in the moving average
// Rows of sound nodes differ from the estimates by 0.3 to 0.5 on average, slow phases included.
constexpr double max_trusted_deviation = 0.8;
constexpr double untrusted_weight = 0.1;

double decay_factor(base::duration age, base::duration constant) {
  return std::exp(-std::max(0.0, base::to_seconds(age) / base::to_seconds(constant)));
}

std::size_t index_of(audience to) {
  return static_cast<std::size_t>(to);
}

}  // namespace

std::uint32_t hash_start(std::uint64_t started_at_ms) {
  return static_cast<std::uint32_t>(started_at_ms ^ (started_at_ms >> 32U));
}

void speed_table::set_replicas(std::span<const replica_key> listed) {
  std::unordered_map<std::uint32_t, replica_record> kept;
  kept.reserve(listed.size());
  for (const replica_key& key : listed) {
    const auto found = m_records.find(key.replica_hash);
    if (found != m_records.end() && found->second.start_hash == key.start_hash) {
      kept.insert(m_records.extract(found));
    } else {
      kept[key.replica_hash].start_hash = key.start_hash;
    }
  }
  m_records = std::move(kept);
}

void speed_table::record(const replica_key& key, double relative_log_ratio, base::time_point now) {
  const auto found = m_records.find(key.replica_hash);
  if (found == m_records.end() || found->second.start_hash != key.start_hash ||
      !std::isfinite(relative_log_ratio)) {
    return;
  }
  replica_record& record = found->second;
  const double value = std::clamp(relative_log_ratio, -max_log_ratio, max_log_ratio);
  const double retained = decay_factor(now - record.own.at, average_decay);
  record.own = {record.own.weight * retained + 1, record.own.sum * retained + value, now};
  record.last_own_ratio = value;
  for (std::size_t i = 0; i < m_pending.size(); ++i) {
    if (record.sends_left[i] == 0) {
      m_pending[i].push_back(key.replica_hash);
    }
    record.sends_left[i] = sends_per_change;
  }
  summarize(record, now);
}

std::vector<speed_row> speed_table::rows_to_send(audience to, std::size_t max_rows,
                                                 base::time_point now) {
  const std::size_t channel = index_of(to);
  std::vector<std::uint32_t>& pending = m_pending[channel];
  // Replicas that were forgotten, and rows that have expired unsent.
  std::erase_if(pending, [&](std::uint32_t hash) {
    const auto found = m_records.find(hash);
    if (found == m_records.end() || found->second.sends_left[channel] == 0) {
      return true;
    }
    if (now - found->second.own.at < row_lifetime) {
      return false;
    }
    found->second.sends_left[channel] = 0;
    return true;
  });
  std::stable_sort(pending.begin(), pending.end(), [&](std::uint32_t left, std::uint32_t right) {
    return m_records.at(left).sends_left[channel] > m_records.at(right).sends_left[channel];
  });
  std::vector<speed_row> rows;
  for (const std::uint32_t hash : pending) {
    if (rows.size() == max_rows) {
      break;
    }
    replica_record& record = m_records.at(hash);
    --record.sends_left[channel];
    const auto count = static_cast<std::uint32_t>(std::max(1L, std::lround(record.own.weight)));
    const double mean = record.own.sum / record.own.weight;
    rows.push_back({{hash, record.start_hash},
                    count,
                    static_cast<float>(mean * count),
                    static_cast<std::uint32_t>(
                        std::max<std::int64_t>(0, base::to_milliseconds(now - record.own.at)))});
  }
  std::erase_if(pending,
                [&](std::uint32_t hash) { return m_records.at(hash).sends_left[channel] == 0; });
  return rows;
}

double speed_table::trust(const sender_state& sender) {
  const bool is_contradicted =
      sender.rows >= min_compared_rows && sender.deviation > max_trusted_deviation;
  return is_contradicted ? untrusted_weight : 1;
}

bool speed_table::is_plausible(const speed_row& row) {
  return row.count > 0 && std::isfinite(row.log_ratio_sum) &&
         std::abs(row.log_ratio_sum / static_cast<double>(row.count)) <= max_plausible_log_ratio &&
         milliseconds(row.age_ms) < row_lifetime;
}

std::size_t speed_table::merge(const std::string& sender, std::span<const speed_row> rows,
                               base::time_point now) {
  auto known = m_senders.find(sender);
  if (known == m_senders.end()) {
    if (m_senders.size() >= max_senders) {
      return 0;
    }
    known = m_senders.emplace(sender, sender_state{.number = m_next_sender++}).first;
  }
  sender_state& from = known->second;
  std::size_t taken = 0;
  for (const speed_row& row : rows) {
    const auto found = m_records.find(row.key.replica_hash);
    if (found == m_records.end() || found->second.start_hash != row.key.start_hash ||
        !is_plausible(row)) {
      continue;
    }
    const double mean = std::clamp(row.log_ratio_sum / static_cast<double>(row.count),
                                   -max_log_ratio, max_log_ratio);
    replica_record& record = found->second;
    if (record.average.weight >= min_compared_weight) {
      from.rows += 1;
      from.deviation += std::max(deviation_weight, 1 / from.rows) *
                        (std::abs(mean - log_usual(record, now)) - from.deviation);
    }
    store(record,
          {.sender = from.number,
           .weight = static_cast<float>(std::min<double>(row.count, max_peer_weight) * trust(from)),
           .mean = static_cast<float>(mean),
           .at = now - milliseconds(row.age_ms)});
    summarize(record, now);
    ++taken;
  }
  return taken;
}

void speed_table::store(replica_record& record, const received_row& row) {
  const auto previous =
      std::find_if(record.rows.begin(), record.rows.end(),
                   [&](const received_row& each) { return each.sender == row.sender; });
  if (previous != record.rows.end()) {
    // A datagram that was overtaken by a later one is older.
    if (row.at >= previous->at - milliseconds(50)) {
      *previous = row;
    }
    return;
  }
  if (record.rows.size() < max_rows_per_replica) {
    record.rows.push_back(row);
    return;
  }
  const auto oldest =
      std::min_element(record.rows.begin(), record.rows.end(),
                       [](const auto& left, const auto& right) { return left.at < right.at; });
  if (oldest->at < row.at) {
    *oldest = row;
  }
}

void speed_table::summarize(replica_record& record, base::time_point now) {
  std::erase_if(record.rows, [&](const auto& row) { return now - row.at >= row_lifetime; });
  record.average = {.at = now};
  record.recent = {.at = now};
  const auto add = [&](double weight, double mean, double latest, base::time_point at) {
    const double average_weight = weight * decay_factor(now - at, average_decay);
    record.average.weight += average_weight;
    record.average.sum += average_weight * mean;
    const double recent_weight = std::min(1.0, weight) * decay_factor(now - at, recent_decay);
    record.recent.weight += recent_weight;
    record.recent.sum += recent_weight * latest;
  };
  if (record.own.weight > 0) {
    add(std::min(record.own.weight, max_own_weight), record.own.sum / record.own.weight,
        record.last_own_ratio, record.own.at);
  }
  for (const received_row& row : record.rows) {
    add(row.weight, row.mean, row.mean, row.at);
  }
}

void speed_table::forget(const std::string& sender, base::time_point now) {
  const auto known = m_senders.find(sender);
  if (known == m_senders.end()) {
    return;
  }
  for (auto& [hash, record] : m_records) {
    if (std::erase_if(record.rows, [&](const received_row& each) {
          return each.sender == known->second.number;
        }) > 0) {
      summarize(record, now);
    }
  }
  m_senders.erase(known);
}

const speed_table::replica_record* speed_table::find(const replica_key& key) const {
  const auto found = m_records.find(key.replica_hash);
  return found == m_records.end() || found->second.start_hash != key.start_hash ? nullptr
                                                                                : &found->second;
}

double speed_table::log_usual(const replica_record& record, base::time_point now) {
  const double retained = decay_factor(now - record.average.at, average_decay);
  return record.average.sum * retained / (record.average.weight * retained + prior_weight);
}

double speed_table::log_usual(const replica_key& key, base::time_point now) const {
  const replica_record* record = find(key);
  return record == nullptr ? 0 : log_usual(*record, now);
}

bool speed_table::is_distinct(const replica_record& record, base::time_point now) {
  const double weight =
      record.average.weight * decay_factor(now - record.average.at, average_decay) + prior_weight;
  // The variance of an exponentially weighted mean is that of twice its weight in samples.
  const double standard_error = sample_deviation / std::sqrt(2 * weight);
  return std::abs(log_usual(record, now)) >
         std::max(min_distinct_log_ratio, distinct_standard_errors * standard_error);
}

bool speed_table::is_distinct(const replica_key& key, base::time_point now) const {
  const replica_record* record = find(key);
  return record != nullptr && is_distinct(*record, now);
}

double speed_table::estimate(const replica_key& key, const slow_mode& slow,
                             base::time_point now) const {
  const replica_record* found = find(key);
  if (found == nullptr) {
    return 1;
  }
  const replica_record& record = *found;
  const double usual = log_usual(record, now);
  const double recent_retained = decay_factor(now - record.recent.at, recent_decay);
  // Logarithm of the odds of a slow phase: two normal distributions of the log ratio, around the
  // usual speed and around that of a slow phase.
  const double evidence = slow.log_ratio / (sample_deviation * sample_deviation) * recent_retained *
                          (record.recent.sum - record.recent.weight * (usual + slow.log_ratio / 2));
  const double odds = std::exp(std::log(slow.share / (1 - slow.share)) + evidence);
  const double probability = odds / (1 + odds);
  const double excess = std::exp(slow.log_ratio) - 1;
  const double slow_now = (1 + excess * probability) / (1 + excess * slow.share);
  return std::exp(usual) * slow_now;
}

std::size_t speed_table::row_count() const {
  std::size_t count = 0;
  for (const auto& [hash, record] : m_records) {
    count += record.rows.size();
  }
  return count;
}

}  // namespace fuchsiaspring::capability
