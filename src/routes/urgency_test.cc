#include "fuchsiaspring/routes/urgency.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fuchsiaspring::routes {
namespace {

route make_route(std::uint32_t priority, bool is_public = false) {
  route result;
  result.priority = priority;
  result.is_public = is_public;
  return result;
}

team make_team(const std::string& name, std::optional<std::uint32_t> priority) {
  return {.name = name, .api_keys = {}, .priority = priority, .home_regions = {}};
}

class urgency_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(urgency_test);
  CPPUNIT_TEST(routes_differ_within_one_team_priority);
  CPPUNIT_TEST(team_priority_ranks_before_route_priority);
  CPPUNIT_TEST(only_possible_levels_are_listed);
  CPPUNIT_TEST(unknown_level_gets_the_rank_of_the_next_less_urgent);
  CPPUNIT_TEST_SUITE_END();

  // Guards against engines that preempt interactive requests in favour of bulk requests because all
  // teams have the same priority.
  void routes_differ_within_one_team_priority() {
    const team usual = make_team("usual", 1);
    configuration config;
    config.routes = {make_route(0), make_route(1)};
    config.teams = {usual, make_team("other", 1)};
    const urgency_order order(config);
    CPPUNIT_ASSERT(order.rank(urgency_of(config.routes[0], &usual)) <
                   order.rank(urgency_of(config.routes[1], &usual)));
  }

  void team_priority_ranks_before_route_priority() {
    const team first = make_team("first", 0);
    const team usual = make_team("usual", 1);
    configuration config;
    config.routes = {make_route(0), make_route(2)};
    config.teams = {first, usual};
    const urgency_order order(config);
    CPPUNIT_ASSERT(order.rank(urgency_of(config.routes[1], &first)) <
                   order.rank(urgency_of(config.routes[0], &usual)));
  }

  // Guards against more ranks than an engine can distinguish.
  void only_possible_levels_are_listed() {
    configuration config;
    config.routes = {make_route(0), make_route(2, true)};
    config.teams = {make_team("usual", 1)};
    const urgency_order order(config);
    const std::vector<urgency> expected{{1, 0}, {1, 2}, {2, 2}};
    CPPUNIT_ASSERT(order.levels() == expected);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, order.levels_of(config.routes[0]).size());
  }

  // Guards against a level of an older configuration that is ranked as the most urgent one.
  void unknown_level_gets_the_rank_of_the_next_less_urgent() {
    configuration config;
    config.routes = {make_route(0), make_route(2)};
    const urgency_order order(config);
    CPPUNIT_ASSERT_EQUAL(1U, order.rank({1, 1}));
    CPPUNIT_ASSERT_EQUAL(2U, order.rank({7, 7}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(urgency_test);

}  // namespace
}  // namespace fuchsiaspring::routes
