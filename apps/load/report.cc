#include "apps/load/report.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace fuchsiaspring::load {
namespace {

using nlohmann::json;

constexpr std::size_t max_examples = 10;

// Sums over a group of requests.
struct group {
  std::uint64_t requests = 0;
  std::uint64_t attained = 0;
  std::uint64_t tokens = 0;
  std::uint64_t tokens_in_time = 0;  // of responses that met their targets
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> statuses;
  std::map<std::string, std::uint64_t> reasons;
  std::map<std::string, std::uint64_t> executed;
  std::vector<float> first_token_ms;
  std::vector<float> gaps_ms;
  std::vector<float> total_ms;

  void add(const request_outcome& outcome, const mix_entry& entry) {
    const bool in_time = load::meets_targets(outcome, entry);
    ++requests;
    attained += in_time ? 1 : 0;
    tokens += outcome.tokens;
    tokens_in_time += in_time ? outcome.tokens : 0;
    ++outcomes[to_string(outcome.kind)];
    ++statuses[std::to_string(outcome.status)];
    if (!outcome.reason.empty()) {
      ++reasons[outcome.reason];
    }
    if (!outcome.executed.empty()) {
      ++executed[outcome.executed];
    }
    if (outcome.kind == outcome_kind::ok) {
      first_token_ms.push_back(static_cast<float>(outcome.first_token_ms));
      total_ms.push_back(static_cast<float>(outcome.total_ms));
      gaps_ms.insert(gaps_ms.end(), outcome.gaps_ms.begin(), outcome.gaps_ms.end());
    }
  }
};

double rounded(double value) {
  return std::round(value * 1000.0) / 1000.0;
}

json quantiles(std::vector<float> values) {
  json found = {{"count", values.size()}};
  if (values.empty()) {
    return found;
  }
  for (const auto& [name, fraction] :
       std::map<std::string, double>{{"p50", 0.5}, {"p90", 0.9}, {"p95", 0.95}, {"p99", 0.99}}) {
    found[name] = rounded(quantile(values, fraction));
  }
  found["max"] = rounded(*std::max_element(values.begin(), values.end()));
  return found;
}

json to_json(const group& sums) {
  const double share =
      sums.requests == 0 ? 0
                         : static_cast<double>(sums.attained) / static_cast<double>(sums.requests);
  return {{"requests", sums.requests},
          {"attained", sums.attained},
          {"attainment", rounded(share)},
          {"tokens", sums.tokens},
          {"tokens_in_time", sums.tokens_in_time},
          {"outcomes", sums.outcomes},
          {"statuses", sums.statuses},
          {"reasons", sums.reasons},
          {"executed", sums.executed},
          {"first_token_ms", quantiles(sums.first_token_ms)},
          {"between_tokens_ms", quantiles(sums.gaps_ms)},
          {"total_ms", quantiles(sums.total_ms)}};
}

// Counts keyed requests by key. A key with two successful responses was executed twice, or the
// service replayed its first response.
json key_summary(const std::vector<request_outcome>& outcomes) {
  struct key_sums {
    std::uint64_t requests = 0;
    std::uint64_t ok = 0;
  };
  std::map<std::string, key_sums> keys;
  for (const auto& outcome : outcomes) {
    if (outcome.key.empty()) {
      continue;
    }
    key_sums& sums = keys[outcome.key];
    ++sums.requests;
    sums.ok += outcome.kind == outcome_kind::ok ? 1 : 0;
  }
  const auto repeated = std::count_if(keys.begin(), keys.end(),
                                      [](const auto& each) { return each.second.requests > 1; });
  const auto answered =
      std::count_if(keys.begin(), keys.end(), [](const auto& each) { return each.second.ok > 0; });
  const auto twice =
      std::count_if(keys.begin(), keys.end(), [](const auto& each) { return each.second.ok > 1; });
  return {{"keys", keys.size()},
          {"repeated", repeated},
          {"answered", answered},
          {"answered_twice", twice}};
}

json examples(const std::vector<request_outcome>& outcomes) {
  json found = json::array();
  for (const auto& outcome : outcomes) {
    const bool is_expected =
        outcome.kind == outcome_kind::ok || outcome.kind == outcome_kind::refused;
    if (is_expected || found.size() >= max_examples) {
      continue;
    }
    found.push_back({{"outcome", to_string(outcome.kind)},
                     {"status", outcome.status},
                     {"request_id", outcome.request_id},
                     {"fault", outcome.fault}});
  }
  return found;
}

}  // namespace

double quantile(std::vector<float>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
  const std::size_t index = std::clamp<std::size_t>(rank, 1, values.size()) - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

json make_report(const load_plan& plan, const run_result& result) {
  group all;
  std::map<std::string, group> classes;
  std::map<std::string, group> entries;
  std::vector<float> late_ms;
  for (const auto& outcome : result.outcomes) {
    const mix_entry& entry = plan.mix[outcome.entry];
    const std::string& class_name = entry.request_class.empty() ? entry.name : entry.request_class;
    all.add(outcome, entry);
    classes[class_name].add(outcome, entry);
    entries[entry.name].add(outcome, entry);
    late_ms.push_back(static_cast<float>(outcome.sent_late_ms));
  }
  json report = to_json(all);
  report["seed"] = plan.seed;
  report["duration_s"] = rounded(result.duration_s);
  report["requests_per_s"] =
      rounded(static_cast<double>(all.requests) / std::max(result.duration_s, 0.001));
  report["tokens_per_s"] =
      rounded(static_cast<double>(all.tokens) / std::max(result.duration_s, 0.001));
  report["sent_late_ms"] = quantiles(late_ms);
  report["keys"] = key_summary(result.outcomes);
  report["examples"] = examples(result.outcomes);
  for (const auto& [name, sums] : classes) {
    report["classes"][name] = to_json(sums);
  }
  for (const auto& [name, sums] : entries) {
    report["entries"][name] = to_json(sums);
  }
  return report;
}

}  // namespace fuchsiaspring::load
