#include "deploy/soak/fleet_config.h"

#include <array>
#include <map>

namespace fuchsiaspring::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct route_kind {
  const char* name;
  const char* kind;
};
constexpr std::array route_kinds{route_kind{"safe", "safe"}, route_kind{"once", "unsafe"},
                                 route_kind{"stream", "streaming"}};
constexpr std::array team_names{"team-0", "team-1"};

milliseconds random_timeout(const timeout_range& range, base::random_source& random) {
  const auto span = static_cast<std::uint64_t>((range.longest - range.shortest).count());
  return range.shortest + milliseconds(random.uniform_below(span + 1));
}

std::string toggle(std::set<std::string>& names, const std::string& name) {
  if (names.erase(name) > 0) {
    return "removed";
  }
  names.insert(name);
  return "added";
}

std::string toggle(bool& is_present) {
  is_present = !is_present;
  return is_present ? "added" : "removed";
}

template <typename Choices>
auto choose(const Choices& choices, base::random_source& random) {
  return choices[random.uniform_below(choices.size())];
}

json make_route(const route_kind& kind, const std::string& name, const std::string& prefix,
                const fleet_config& config) {
  const bool is_stream = std::string(kind.kind) == "streaming";
  // Callers wait for eight times the gap: longer than the pauses of the replicas.
  constexpr int target_gap_ms = 400;
  return {{"name", name},
          {"hostname", "h.example"},
          {"prefix", prefix},
          {"kind", kind.kind},
          {"timeout-ms", (is_stream ? config.stream_timeout : config.response_timeout).count()},
          {"target-latency-ms", 200},
          {"target-gap-ms", is_stream ? target_gap_ms : 0},
          {"priority", 1},
          {"service", "app"},
          {"max-attempts", 2},
          {"public", false},
          {"session-affinity", false},
          {"stream-resumption", is_stream}};
}

json make_routes(const fleet_config& config) {
  json routes = json::array();
  for (const route_kind& each : route_kinds) {
    const std::string name = each.name;
    routes.push_back(make_route(each, name, "/" + name + "/", config));
    if (config.nested_routes.contains(name)) {
      routes.push_back(make_route(each, name + "-1", "/" + name + "/1/", config));
    }
  }
  if (config.has_unused_route) {
    routes.push_back(make_route(route_kinds.front(), "unused", "/unused/", config));
  }
  return routes;
}

json make_teams(const fleet_config& config, const std::vector<team_key>& keys) {
  std::map<std::string, json> keys_by_team;
  for (const char* name : team_names) {
    keys_by_team[name] = json::array();
  }
  for (const team_key& each : keys) {
    if (each.is_granted) {
      keys_by_team[each.team].push_back(each.key);
    }
  }
  for (const std::string& team : config.teams_with_unused_key) {
    keys_by_team[team].push_back("unused-key-" + team);
  }
  if (config.has_unused_team) {
    keys_by_team["unused-team"] = {"unused-team-key"};
  }
  json teams = json::array();
  for (const auto& [name, team_keys] : keys_by_team) {
    teams.push_back({{"name", name}, {"api-keys", team_keys}});
  }
  return teams;
}

}  // namespace

std::string change_config(fleet_config& config, base::random_source& random) {
  // Longer than the callers pause between requests on one connection.
  constexpr std::array idle_timeouts_ms{1000, 2000, 4000, 8000};
  constexpr std::uint64_t kinds = 7;
  switch (random.uniform_below(kinds)) {
    case 0: {
      const std::string route = choose(route_kinds, random).name;
      return "nested route of " + route + " " + toggle(config.nested_routes, route);
    }
    case 1:
      return "unused route " + toggle(config.has_unused_route);
    case 2:
      config.response_timeout = random_timeout(response_timeouts, random);
      return "response timeout " + std::to_string(config.response_timeout.count()) + " ms";
    case 3:
      config.stream_timeout = random_timeout(stream_timeouts, random);
      return "stream timeout " + std::to_string(config.stream_timeout.count()) + " ms";
    case 4:
      return "unused team " + toggle(config.has_unused_team);
    case 5: {
      const std::string team = choose(team_names, random);
      return "unused key of " + team + " " + toggle(config.teams_with_unused_key, team);
    }
    default:
      config.idle_timeout = milliseconds(choose(idle_timeouts_ms, random));
      return "idle timeout " + std::to_string(config.idle_timeout->count()) + " ms";
  }
}

json to_json(const fleet_config& config, const std::vector<team_key>& keys, int version) {
  json document{{"version", version},
                {"routes", make_routes(config)},
                {"services", {{{"name", "app"}, {"health-check-path", "/health"}}}},
                {"tenants", make_teams(config, keys)}};
  if (config.idle_timeout) {
    document["limits"] = {{"idle-timeout-ms", config.idle_timeout->count()}};
  }
  return document;
}

}  // namespace fuchsiaspring::soak
