#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::bench {
namespace {

constexpr double milliseconds_per_second = 1000;

// One line of a workload file. unread_key() returns a key that no getter has read, which is
// therefore unknown, or an empty string.
class line_reader {
 public:
  explicit line_reader(const std::string& line) {
    std::istringstream words(line.substr(0, line.find('#')));
    words >> m_keyword;
    std::string word;
    while (words >> word) {
      const std::size_t equals = word.find('=');
      if (equals == std::string::npos) {
        m_name = word;
      } else {
        m_values[word.substr(0, equals)] = word.substr(equals + 1);
      }
    }
  }

  const std::string& keyword() const { return m_keyword; }
  const std::string& name() const { return m_name; }

  std::string text(const std::string& key) {
    m_read.insert(key);
    const auto place = m_values.find(key);
    return place == m_values.end() ? std::string() : place->second;
  }

  double number(const std::string& key, double default_value) {
    const std::string value = text(key);
    return value.empty() ? default_value : std::strtod(value.c_str(), nullptr);
  }

  std::uint32_t count(const std::string& key, double default_value) {
    return static_cast<std::uint32_t>(number(key, default_value));
  }

  std::string unread_key() const {
    for (const auto& [key, value] : m_values) {
      if (!m_read.contains(key)) {
        return key;
      }
    }
    return {};
  }

 private:
  std::string m_keyword;
  std::string m_name;
  std::map<std::string, std::string> m_values;
  std::set<std::string> m_read;
};

pool_spec read_pool(line_reader& line) {
  pool_spec pool;
  pool.name = line.name();
  pool.upstreams = static_cast<int>(line.number("upstreams", 1));
  pool.domains = static_cast<int>(line.number("domains", 1));
  pool.slots = static_cast<int>(line.number("slots", 1));
  pool.token_ms = line.number("token_ms", pool.token_ms);
  pool.slowdown = line.number("slowdown", pool.slowdown);
  pool.prefill = line.number("prefill", pool.prefill);
  pool.cold_limit = static_cast<int>(line.number("cold_limit", pool.cold_limit));
  pool.cold_seconds = line.number("cold_s", pool.cold_seconds);
  pool.cold_speed = line.number("cold_speed", pool.cold_speed);
  return pool;
}

class_spec read_class(line_reader& line) {
  class_spec result;
  admission::class_policy& policy = result.policy;
  policy.name = line.name();
  policy.tier = line.text("tier");
  policy.pool = line.text("pool");
  const double target_s = line.number("target_ms", 1300) / milliseconds_per_second;
  policy.first_token_target = base::from_seconds(target_s);
  policy.floor_per_mille = line.count("floor", 0);
  policy.max_queue = line.count("queue", 50);
  policy.preemptible = line.number("preemptible", 0) != 0;
  result.idempotent = line.number("idempotent", 1) != 0;
  result.work_share = line.number("share", 0);
  result.prompt_median = line.number("prompt", 1);
  result.prompt_sigma = line.number("prompt_sigma", 0);
  result.output_median = line.number("output", 1);
  result.output_sigma = line.number("output_sigma", 0);
  result.total_seconds = line.number("total_s", 600);
  result.caller_timeout_seconds = line.number("patience_s", 3 * target_s);
  return result;
}

team_spec read_team(line_reader& line) {
  team_spec team;
  team.policy.name = line.name();
  team.policy.weight = line.count("weight", 1);
  team.share = line.number("share", 0);
  team.fixed_rate = line.number("fixed_rate", 0);
  team.only_class = line.text("class");
  const double rate = line.number("guarantee", 0);
  const double burst = line.number("burst", 1);
  if (rate > 0) {
    team.policy.guarantees.push_back({line.text("guarantee_class"), rate, burst});
  }
  return team;
}

base::result<event_spec> read_event(line_reader& line) {
  event_spec event;
  if (line.name() == "burst") {
    event.kind = event_kind::burst;
  } else if (line.name() == "cold") {
    event.kind = event_kind::cold;
  } else if (line.name() == "domain_out") {
    event.kind = event_kind::domain_out;
  } else {
    return base::error{base::error_code::invalid_argument, "unknown event '" + line.name() + "'"};
  }
  event.team = line.text("team");
  event.pool = line.text("pool");
  event.index = static_cast<int>(line.number("index", 0));
  event.factor = line.number("factor", 1);
  event.start_s = line.number("from", 0);
  event.end_s = line.number("to", 0);
  event.grace_s = line.number("grace_s", 3);
  return event;
}

base::result<void> read_line(line_reader& line, workload& target) {
  const std::string& keyword = line.keyword();
  if (keyword == "tier") {
    target.tiers.push_back({line.name(), line.count("rank", 0)});
  } else if (keyword == "pool") {
    target.pools.push_back(read_pool(line));
  } else if (keyword == "class") {
    target.classes.push_back(read_class(line));
  } else if (keyword == "team") {
    target.teams.push_back(read_team(line));
  } else if (keyword == "run") {
    target.duration_s = line.number("duration_s", target.duration_s);
    target.warmup_s = line.number("warmup_s", target.warmup_s);
  } else if (keyword == "profile") {
    target.profile.push_back({line.number("at", 0), line.number("factor", 1)});
  } else if (keyword == "event") {
    auto event = read_event(line);
    if (!event) {
      return event.error();
    }
    target.events.push_back(event.value());
  } else if (!keyword.empty()) {
    return base::error{base::error_code::invalid_argument, "unknown keyword '" + keyword + "'"};
  }
  if (const std::string key = line.unread_key(); !key.empty()) {
    return base::error{base::error_code::invalid_argument, "unknown key '" + key + "'"};
  }
  return base::success();
}

double profile_factor(const std::vector<profile_point>& profile, double time_s) {
  if (profile.empty() || time_s <= profile.front().time_s) {
    return profile.empty() ? 1 : profile.front().factor;
  }
  for (std::size_t i = 1; i < profile.size(); ++i) {
    const profile_point& from = profile[i - 1];
    const profile_point& to = profile[i];
    if (time_s < to.time_s) {
      const double share = (time_s - from.time_s) / (to.time_s - from.time_s);
      return from.factor + share * (to.factor - from.factor);
    }
  }
  return profile.back().factor;
}

double log_normal_mean(double median, double sigma) {
  return median * std::exp(sigma * sigma / 2);
}

double mean_work(const workload& source, const class_spec& spec) {
  const double prompt = log_normal_mean(spec.prompt_median, spec.prompt_sigma);
  return log_normal_mean(spec.output_median, spec.output_sigma) +
         prompt * source.pool(spec.policy.pool).prefill;
}

// Appends the arrivals of one team in one class, a Poisson process with a time-varying rate drawn
// by thinning.
void append_arrivals(const workload& source, std::uint32_t class_index, std::uint32_t team_index,
                     double rate, base::random_source random, std::vector<arrival>& result) {
  const class_spec& spec = source.classes[class_index];
  const team_spec& team = source.teams[team_index];
  double peak = 1;
  for (const profile_point& point : source.profile) {
    peak = std::max(peak, point.factor);
  }
  for (const event_spec& event : source.events) {
    peak = std::max(peak, event.factor * peak);
  }
  for (double time = 0; rate > 0;) {
    time += random.exponential(1 / (rate * peak));
    if (time >= source.duration_s) {
      return;
    }
    double factor = team.fixed_rate > 0 ? 1 : profile_factor(source.profile, time);
    for (const event_spec& event : source.events) {
      const bool active = time >= event.start_s && time < event.end_s;
      if (event.kind == event_kind::burst && event.team == team.policy.name && active) {
        factor *= event.factor;
      }
    }
    const double prompt = random.log_normal(spec.prompt_median, spec.prompt_sigma);
    const double output = random.log_normal(spec.output_median, spec.output_sigma);
    if (random.uniform() * peak < factor) {
      result.push_back({time, class_index, team_index, std::max(1.0, prompt),
                        std::max(1.0, std::floor(output))});
    }
  }
}

}  // namespace

double pool_spec::token_seconds(int active) const {
  const double others = slots > 1 ? static_cast<double>(active - 1) / (slots - 1) : 0;
  return token_ms / milliseconds_per_second * (1 + slowdown * others);
}

double pool_spec::upstream_capacity() const {
  return slots / token_seconds(slots);
}

admission::policy workload::admission_policy() const {
  admission::policy result;
  result.tiers = tiers;
  for (const class_spec& spec : classes) {
    result.classes.push_back(spec.policy);
  }
  for (const team_spec& team : teams) {
    result.teams.push_back(team.policy);
  }
  return result;
}

const pool_spec& workload::pool(const std::string& pool_name) const {
  return *std::ranges::find(pools, pool_name, &pool_spec::name);
}

double workload::capacity() const {
  double result = 0;
  for (const pool_spec& pool : pools) {
    result += pool.upstreams * pool.upstream_capacity();
  }
  return result;
}

base::result<workload> load_workload(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return base::error{base::error_code::not_found, path + " cannot be read"};
  }
  workload result;
  result.name = std::filesystem::path(path).stem().string();
  std::string text;
  for (int number = 1; std::getline(file, text); ++number) {
    line_reader line(text);
    if (auto done = read_line(line, result); !done) {
      return base::error{done.error().code,
                         path + ":" + std::to_string(number) + ": " + done.error().message};
    }
  }
  for (const class_spec& spec : result.classes) {
    if (std::ranges::find(result.pools, spec.policy.pool, &pool_spec::name) == result.pools.end()) {
      return base::error{base::error_code::invalid_argument,
                         path + ": class " + spec.policy.name + " names an unknown pool"};
    }
  }
  return result;
}

std::vector<arrival> generate(const workload& source, double load, std::uint64_t seed) {
  std::vector<arrival> result;
  base::random_source seeds(seed);
  double shares = 0;
  for (const team_spec& team : source.teams) {
    shares += team.share;
  }
  for (std::uint32_t c = 0; c < source.classes.size(); ++c) {
    const class_spec& spec = source.classes[c];
    const double class_rate = load * source.capacity() * spec.work_share / mean_work(source, spec);
    for (std::uint32_t t = 0; t < source.teams.size(); ++t) {
      const team_spec& team = source.teams[t];
      const double fixed = team.only_class == spec.policy.name ? team.fixed_rate : 0;
      const double rate = shares > 0 ? class_rate * team.share / shares + fixed : fixed;
      append_arrivals(source, c, t, rate, base::random_source(seeds.next()), result);
    }
  }
  std::ranges::sort(result, {}, &arrival::time_s);
  return result;
}

}  // namespace fuchsiaspring::bench
