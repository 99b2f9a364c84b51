#include "apps/load/load_plan.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::load {
namespace {

constexpr std::uint64_t uuid_time_bits = 48;

std::string opaque_key(const mix_entry& entry, std::uint64_t seed, std::uint64_t number) {
  return entry.name + "-" + std::to_string(seed) + "-" + std::to_string(number);
}

// A version 7 UUID (RFC 9562) with the given time and random bits.
std::string uuid7(std::uint64_t time_ms, std::uint64_t high_random, std::uint64_t low_random) {
  char text[37];
  const std::uint64_t time = time_ms & ((1ULL << uuid_time_bits) - 1);
  std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>(time >> 16U),
                static_cast<unsigned long long>(time & 0xFFFFU),
                static_cast<unsigned long long>(high_random & 0xFFFU),
                static_cast<unsigned long long>(0x8000U | (low_random >> 50U)),
                static_cast<unsigned long long>(low_random & 0xFFFFFFFFFFFFULL));
  return text;
}

double entry_rate(const load_plan& plan, const mix_entry& entry) {
  if (entry.rate > 0) {
    return entry.rate;
  }
  double weights = 0;
  for (const mix_entry& each : plan.mix) {
    weights += each.rate > 0 ? 0 : each.weight;
  }
  return weights > 0 ? plan.rate * entry.weight / weights : 0;
}

std::string make_key(const mix_entry& entry, const load_plan& plan, std::uint64_t number,
                     std::uint64_t wall_ms, base::random_source& random) {
  switch (entry.keys) {
    case key_kind::opaque:
      return opaque_key(entry, plan.seed, number);
    case key_kind::uuid7: {
      const std::uint64_t high = random.next();
      return uuid7(wall_ms, high, random.next());
    }
    case key_kind::none:
      break;
  }
  return {};
}

void add_entry(const load_plan& plan, std::size_t index, std::uint64_t start_wall_ms,
               std::vector<arrival>& schedule) {
  const mix_entry& entry = plan.mix[index];
  const double rate = entry_rate(plan, entry);
  if (rate <= 0) {
    return;
  }
  // Each entry has its own random sequence, so that a change to one entry does not affect the
  // arrivals of the others.
  base::random_source random(base::hash64(entry.name, plan.seed));
  const double end_s = entry.end_s > 0 ? std::min(entry.end_s, plan.duration_s) : plan.duration_s;
  double at_s = entry.start_s;
  std::uint64_t number = 0;
  while (true) {
    at_s += plan.arrivals == arrival_process::poisson ? random.exponential(1.0 / rate) : 1.0 / rate;
    if (at_s >= end_s || (plan.count > 0 && number >= plan.count)) {
      break;
    }
    arrival next;
    next.offset = base::from_seconds(at_s);
    next.entry = index;
    next.target = random.uniform_below(plan.targets.size());
    const auto wall_ms = start_wall_ms + static_cast<std::uint64_t>(at_s * 1000.0);
    next.key = make_key(entry, plan, number, wall_ms, random);
    ++number;
    if (!next.key.empty() && random.uniform() < entry.duplicates) {
      arrival duplicate = next;
      duplicate.offset += base::from_seconds(random.uniform() * entry.duplicate_lag_ms / 1000.0);
      duplicate.target = (next.target + 1) % plan.targets.size();
      schedule.push_back(std::move(duplicate));
    }
    schedule.push_back(std::move(next));
  }
}

}  // namespace

std::vector<arrival> make_schedule(const load_plan& plan, std::uint64_t start_wall_ms) {
  std::vector<arrival> schedule;
  for (std::size_t index = 0; index < plan.mix.size(); ++index) {
    add_entry(plan, index, start_wall_ms, schedule);
  }
  std::stable_sort(schedule.begin(), schedule.end(), [](const arrival& left, const arrival& right) {
    return left.offset < right.offset;
  });
  if (plan.count > 0 && schedule.size() > plan.count) {
    schedule.resize(plan.count);
  }
  std::uint64_t serial = 0;
  for (arrival& each : schedule) {
    each.serial = serial++;
  }
  return schedule;
}

}  // namespace fuchsiaspring::load
