#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fuchsiaspring/routes/route_table.h"

namespace fuchsiaspring::routes {
namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
  route result;
  result.name = name;
  result.host = host;
  result.prefix = prefix;
  result.services = {{"s", 1}};
  return result;
}

class route_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_table_test);
  CPPUNIT_TEST(longest_prefix_of_the_host_wins);
  CPPUNIT_TEST(host_is_compared_without_case_and_port);
  CPPUNIT_TEST(query_is_not_matched_with_the_prefix);
  CPPUNIT_TEST(removed_key_finds_no_team);
  CPPUNIT_TEST(empty_list_of_teams_admits_nobody);
  CPPUNIT_TEST(shared_key_belongs_to_the_first_team);
  CPPUNIT_TEST(services_are_chosen_by_weight);
  CPPUNIT_TEST(only_resumable_streams_are_idempotent);
  CPPUNIT_TEST(homes_of_route_and_team_both_bind);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a request that runs at the service of a route with a shorter prefix.
  void longest_prefix_of_the_host_wins() {
    configuration config;
    config.routes = {make_route("short", "a.example", "/x/"),
                     make_route("long", "a.example", "/x/y/"),
                     make_route("other", "b.example", "/x/y/z/")};
    const route_table table(config);
    CPPUNIT_ASSERT_EQUAL(std::string("long"), table.find_route("a.example", "/x/y/z/1")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), table.find_route("a.example", "/x/1")->name);
    CPPUNIT_ASSERT(table.find_route("a.example", "/x") == nullptr);
    CPPUNIT_ASSERT(table.find_route("c.example", "/x/1") == nullptr);
  }

  void host_is_compared_without_case_and_port() {
    configuration config;
    config.routes = {make_route("r", "A.Example", "/x/")};
    const route_table table(config);
    CPPUNIT_ASSERT(table.find_route("a.EXAMPLE:8080", "/x/1") != nullptr);
  }

  void query_is_not_matched_with_the_prefix() {
    configuration config;
    config.routes = {make_route("r", "a", "/x/")};
    const route_table table(config);
    CPPUNIT_ASSERT(table.find_route("a", "/y?/x/") == nullptr);
    CPPUNIT_ASSERT(table.find_route("a", "/x/?q=1") != nullptr);
  }

  // Guards against a team's homes that replace those of the route, and against homes without a
  // common region that pass for no limit.
  void homes_of_route_and_team_both_bind() {
    const auto east = base::region_limit::only({"east"});
    const auto both_regions = base::region_limit::only({"east", "west"});
    route limited = make_route("r", "h", "/x/");
    team owner{.name = "t", .api_keys = {"k"}};
    CPPUNIT_ASSERT(home_regions(limited, &owner).is_any());
    owner.home_regions = east;
    CPPUNIT_ASSERT(home_regions(limited, &owner) == east);
    limited.home_regions = both_regions;
    CPPUNIT_ASSERT(home_regions(limited, &owner) == east);
    CPPUNIT_ASSERT(home_regions(limited, nullptr) == both_regions);
    limited.home_regions = base::region_limit::only({"west"});
    CPPUNIT_ASSERT(home_regions(limited, &owner).is_none());
    CPPUNIT_ASSERT(!home_regions(limited, &owner).permits("east"));
  }

  // Guards against a revoked key that is still found.
  void removed_key_finds_no_team() {
    configuration config;
    config.teams = {{.name = "t1", .api_keys = {"k1", "k2"}}, {.name = "t2", .api_keys = {"k3"}}};
    const route_table before(config);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), before.find_team("k2")->name);
    config.teams = {{.name = "t1", .api_keys = {"k1"}}, {.name = "t2", .api_keys = {"k3"}}};
    const route_table after(config);
    CPPUNIT_ASSERT(after.find_team("k2") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), after.find_team("k3")->name);
  }

  // Guards against routes that open to everybody, or to revoked keys, when the last team goes.
  void empty_list_of_teams_admits_nobody() {
    const route closed = make_route("r", "h", "/x/");
    route open = closed;
    open.is_public = true;
    const auto verdict_of = [](const team_list& teams, const route& r,
                               const std::optional<std::string>& key) {
      return route_table({.teams = teams}).check_key(r, key).verdict;
    };
    const team_list one_team{{.name = "t", .api_keys = {"k"}}};
    for (const team_list& teams : {team_list(), team_list{{.name = "t"}}, one_team}) {
      CPPUNIT_ASSERT(verdict_of(teams, closed, std::nullopt) == key_verdict::missing);
      CPPUNIT_ASSERT(verdict_of(teams, closed, "other") == key_verdict::unknown);
      CPPUNIT_ASSERT(verdict_of(teams, open, "other") == key_verdict::not_needed);
    }
    CPPUNIT_ASSERT(verdict_of(one_team, closed, "k") == key_verdict::valid);
    const team_list unlisted = team_list::unlisted();
    CPPUNIT_ASSERT(verdict_of(unlisted, closed, std::nullopt) == key_verdict::not_needed);
    CPPUNIT_ASSERT(verdict_of(unlisted, closed, "k") == key_verdict::unknown);
    CPPUNIT_ASSERT(team_list() != unlisted);
  }

  // Guards against a key of two teams whose owner differs from node to node, or that is lost with
  // one of them.
  void shared_key_belongs_to_the_first_team() {
    const team first{.name = "first", .api_keys = {"k"}};
    const team second{.name = "second", .api_keys = {"k"}};
    const route_table shared({.teams = {first, second}});
    CPPUNIT_ASSERT_EQUAL(first.name, shared.find_team("k")->name);
    const route_table after_removal({.teams = {second}});
    CPPUNIT_ASSERT_EQUAL(second.name, after_removal.find_team("k")->name);
  }

  void services_are_chosen_by_weight() {
    route split;
    split.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    CPPUNIT_ASSERT_EQUAL(std::string("a"), choose_service(split, 0.0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), choose_service(split, 0.899));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_service(split, 0.901));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_service(split, 0.999));
  }

  // Guards against a second run of a request that may run only once.
  void only_resumable_streams_are_idempotent() {
    route r;
    r.kind = request_kind::stream;
    CPPUNIT_ASSERT(!r.is_idempotent());
    r.is_resumable = true;
    CPPUNIT_ASSERT(r.is_idempotent());
    r.kind = request_kind::non_idempotent;
    CPPUNIT_ASSERT(!r.is_idempotent());
    r.kind = request_kind::idempotent;
    CPPUNIT_ASSERT(r.is_idempotent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

}  // namespace
}  // namespace fuchsiaspring::routes
